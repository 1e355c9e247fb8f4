// Package front runs the request path of an entry process: it accepts callers' requests over HTTP, sends them to
// backend servers, and borrows slots from and forwards requests to other entry processes.
package front
