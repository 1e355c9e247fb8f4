// Package besrv emulates the backend servers of workers over HTTP, with fault injection.
package besrv
