// Package config holds the versioned configuration of customers: its document, acceptance and monotonic application.
package config
