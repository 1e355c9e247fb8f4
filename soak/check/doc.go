// Package check compares what workers and callers have seen with what is promised to them: it is a reducer over their
// observations that returns the promises that were broken.
package check
