// Package sets holds small generic values: a set and an optional value.
package sets
