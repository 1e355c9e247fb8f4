// Package hosts polls the platform's host list and notifies the other components of the entry daemon of worker changes.
package hosts
