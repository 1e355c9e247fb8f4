// Package member determines the state of each worker from the platform's host list, which lags, and from the results of
// this process's own calls to the workers.
package member
