// Package once claims non-idempotent requests in the store, so that each runs at most once within 24 h.
package once
