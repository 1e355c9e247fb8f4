// Package procs holds the tests that run the built programs as processes and let them fail.
package procs
