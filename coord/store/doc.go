// Package store defines the interface to the platform's key-value store: conditional transactions, leases and watches.
package store
