package drain

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const pollInterval = time.Millisecond

// Connections ends the connections of an HTTP server without breaking a request.
//
// [http.Server.SetKeepAlivesEnabled] and [http.Server.Shutdown] close idle connections at once, which breaks requests that a
// caller has sent meanwhile, and a server that shuts down closes a connection without an answer when it has read a request.
// The zero value keeps connections open.
type Connections struct {
	closing  atomic.Bool
	listener *listener

	mu   sync.Mutex
	open map[net.Conn]http.ConnState
}

// Attach prepares a server for [Connections.Shutdown] and returns the listener that it has to serve in place of l.
func (c *Connections) Attach(server *http.Server, l *net.TCPListener) net.Listener {
	server.Handler = c.Handler(server.Handler)
	server.ConnState = c.track
	c.listener = newListener(l)
	return c.listener
}

func (c *Connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	if c.open == nil {
		c.open = make(map[net.Conn]http.ConnState)
	}
	c.open[conn] = state
}

// CloseAfterResponse makes each response from now on the last one of its connection.
func (c *Connections) CloseAfterResponse() { c.closing.Store(true) }

// Shutdown refuses new connections, answers the requests that were sent on the others, and shuts the attached server down.
// A new connection is open until its first request is answered or the server's ReadHeaderTimeout has passed. When ctx ends
// before, Shutdown returns the error of ctx.
func (c *Connections) Shutdown(ctx context.Context, server *http.Server) error {
	c.CloseAfterResponse()
	lost, err := c.listener.stop()
	if err != nil {
		return errors.Join(lost, err, server.Shutdown(ctx))
	}
	select {
	case <-ctx.Done():
	case <-c.listener.empty:
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for c.closeUnused() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return errors.Join(lost, server.Shutdown(ctx))
}

// closeUnused closes the connections on which nothing was sent after their last response, and returns how many the server
// had not closed before.
func (c *Connections) closeUnused() int {
	c.mu.Lock()
	open := maps.Clone(c.open)
	c.mu.Unlock()
	for conn, state := range open {
		if tcp := unwrap(conn); state == http.StateIdle && (tcp == nil || !tcp.hasInput()) {
			_ = conn.Close()
		}
	}
	return len(open)
}

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
