// Package route selects the backend server for a request and ejects servers that fail or are much slower than the
// others.
package route
