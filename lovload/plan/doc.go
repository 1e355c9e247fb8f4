// Package plan describes an experiment: the arrivals of requests and jobs, reproducible by seed, and the faults. All
// values are bounded.
package plan
