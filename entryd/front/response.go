package front

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"lovagefork.example/coord/serve"
)

// writeAnswer gives the caller the answer of the backend server, or the outcome without one.
func (f *Front) writeResponse(w http.ResponseWriter, c *call, a serve.Response) {
	if a.Attempt == 0 {
		writeUnansweredOutcome(w, a)
		return
	}
	answer := c.response(a.Attempt)
	copyHeader(w.Header(), answer.header)
	w.Header().Set(headerOutcome, string(a.Outcome))
	w.Header().Set(headerReason, a.Reason)
	if answer.rest == nil && c.method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	w.WriteHeader(answer.status)
	_, err := w.Write(answer.body)
	if answer.rest == nil || err != nil {
		return
	}
	if _, err := io.Copy(w, answer.rest); err != nil {
		// Ends the connection without the end of the body, which the caller sees as a truncated answer.
		panic(http.ErrAbortHandler)
	}
}

func writeUnansweredOutcome(w http.ResponseWriter, a serve.Response) {
	h := w.Header()
	h.Set(headerOutcome, string(a.Outcome))
	h.Set(headerReason, a.Reason)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	w.WriteHeader(a.Status)
	_, _ = io.WriteString(w, string(a.Outcome)+": "+a.Reason+"\n")
}

// hopByHop lists the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// copyHeader copies all headers but those of the connection and of this system.
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
