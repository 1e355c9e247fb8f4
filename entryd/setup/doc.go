// Package setup parses and validates the settings of the entry daemon from flags and environment variables.
package setup
