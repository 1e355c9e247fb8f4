// Package budget divides the store's call rates over the live processes and orders the calls of one process by priority.
package budget
