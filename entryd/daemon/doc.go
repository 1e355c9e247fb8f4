// Package daemon assembles the entry daemon with uber/fx and handles its startup, readiness checks and graceful
// shutdown.
package daemon
