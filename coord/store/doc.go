// Package store is the narrow interface to the platform's key-value service: conditional writes, leases and watches.
package store
