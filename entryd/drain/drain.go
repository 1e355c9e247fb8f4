package drain

import (
	"net/http"
	"sync/atomic"
)

// Connections closes the connections of an HTTP server after their next response once [Connections.CloseAfterResponse]
// has been called.
//
// [http.Server.SetKeepAlivesEnabled] and [http.Server.Shutdown] close idle connections at once, which breaks requests
// that a caller has sent meanwhile. The zero value keeps connections open.
type Connections struct{ closing atomic.Bool }

// CloseAfterResponse makes each response from now on the last one of its connection.
func (c *Connections) CloseAfterResponse() { c.closing.Store(true) }

// Handler returns a handler that calls next and announces the end of the connection to the caller.
func (c *Connections) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&responseWriter{ResponseWriter: w, connections: c}, r)
	})
}

// responseWriter decides at the first write, because the drain may begin while the request is in flight.
type responseWriter struct {
	http.ResponseWriter
	connections *Connections
	wroteHeader bool
}

// Unwrap returns the wrapped writer, for [http.ResponseController].
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	if !w.wroteHeader {
		w.wroteHeader = true
		if w.connections.closing.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, after the header if it has not been sent.
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}
