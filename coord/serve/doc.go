// Package serve implements the life cycle of a request: admission, the claim that makes a non-idempotent request run at
// most once, selection of a backend server, attempts, and the outcome.
package serve
