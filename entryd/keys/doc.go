// Package keys loads TLS certificates and private keys from files and reloads them when the files change.
package keys
