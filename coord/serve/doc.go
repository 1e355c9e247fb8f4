// Package serve is the life cycle of a request: admission, claim, selection of a backend server, attempts and outcome.
package serve
