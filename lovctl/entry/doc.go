// Package entry is a client of the HTTP API of entry processes, with failover between them.
package entry
