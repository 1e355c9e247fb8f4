// Package keys loads TLS certificates and keys from files and replaces them while the process runs.
package keys
