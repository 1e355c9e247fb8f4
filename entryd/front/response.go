package front

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"lovagefork.example/coord/serve"
)

// writeResponse writes the backend server's response, or only the outcome if there is none.
func (f *Front) writeResponse(w http.ResponseWriter, c *call, r serve.Response) {
	if r.Attempt == 0 {
		writeUnansweredOutcome(w, r)
		return
	}
	response := c.response(r.Attempt)
	copyHeader(w.Header(), response.header)
	w.Header().Set(headerOutcome, string(r.Outcome))
	w.Header().Set(headerReason, r.Reason)
	if response.rest == nil && c.method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	w.WriteHeader(response.status)
	_, err := w.Write(response.body)
	if response.rest == nil || err != nil {
		return
	}
	if _, err := io.Copy(w, response.rest); err != nil {
		// Closes the connection before the end of the body, so that the caller detects a truncated response.
		panic(http.ErrAbortHandler)
	}
}

// writeUnansweredOutcome writes the outcome of a request that has no response of a backend server.
func writeUnansweredOutcome(w http.ResponseWriter, r serve.Response) {
	h := w.Header()
	h.Set(headerOutcome, string(r.Outcome))
	h.Set(headerReason, r.Reason)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_, _ = io.WriteString(w, string(r.Outcome)+": "+r.Reason+"\n")
}

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// copyHeader copies all headers except hop-by-hop headers and those with the prefix Lovagefork-.
func copyHeader(to, from http.Header) {
	drop := make(map[string]bool, len(hopByHop))
	for _, name := range hopByHop {
		drop[name] = true
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		name = http.CanonicalHeaderKey(name)
		if !drop[name] && !strings.HasPrefix(name, "Lovagefork-") {
			to[name] = values
		}
	}
}
