// Package procs contains end-to-end tests that run the built programs as processes and inject failures.
package procs
