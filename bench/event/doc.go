// Package event is a queue of actions in virtual time.
package event
