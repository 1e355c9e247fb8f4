// Package event implements an event loop in virtual time.
package event
