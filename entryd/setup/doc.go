// Package setup reads and checks the settings of the entry daemon from flags and environment variables.
package setup
