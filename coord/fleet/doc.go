// Package fleet defines the value types that every other package shares: identifiers, resources, workers and classes.
package fleet
