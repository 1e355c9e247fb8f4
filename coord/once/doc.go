// Package once implements the state machine that claims non-idempotent requests in the store, so that each request runs
// at most once within 24 h.
package once
