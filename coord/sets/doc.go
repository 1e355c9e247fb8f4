// Package sets provides two generic immutable types: a set and an optional value.
package sets
