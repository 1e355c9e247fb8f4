// Package route selects the backend server of a request.
package route
