// Package infra defines the types that the platform adapter, the scheduler and the entry process of a hosted
// deployment share: settings, the operator's configuration, jobs, workers, machines, and the interfaces to the
// platform's services.
package infra
