// Package drain closes the connections of an HTTP server between two requests, so that a graceful shutdown breaks none
// that is on its way.
package drain
