// Package fleet defines the value types shared by all other packages: identifiers, resources, workers and classes.
package fleet
