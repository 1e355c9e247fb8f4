package kvsrv

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// maxRequestBytes is the maximum size of a request body; a transaction can contain several values.
const maxRequestBytes = 16 << 20

// Server is an http.Handler for the etcd JSON interface. Create it with New.
type Server struct {
	data   *data
	faults *faults
	router *mux.Router
}

// New returns a server with an empty store at revision 1 and no faults.
func New() *Server {
	s := &Server{data: newData(), faults: newFaults(), router: mux.NewRouter()}
	post := func(path string, h http.HandlerFunc) { s.router.HandleFunc(path, h).Methods(http.MethodPost) }
	post("/v3/kv/range", newHandler(s, s.handleRange))
	post("/v3/kv/txn", newHandler(s, s.handleTxn))
	post("/v3/lease/grant", newHandler(s, s.handleGrant))
	post("/v3/lease/keepalive", newHandler(s, s.handleKeepAlive))
	post("/v3/lease/revoke", newHandler(s, s.handleRevoke))
	post("/v3/watch", s.handleWatch)
	return s
}

// Run expires leases until ctx is done.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.data.expire(time.Now())
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// call is a decoded request: its kind for the counters, whether it is a write, and the function that runs it.
type call struct {
	kind    string
	isWrite bool
	run     func() (any, error)
}

// newHandler returns a handler that decodes the request, injects faults and runs the call returned by prepare.
func newHandler[T any](s *Server, prepare func(T) call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req T
		if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&req); err != nil {
			writeError(w, invalid("%v", err))
			return
		}
		c := prepare(req)
		if !s.faults.inject(w, r, c) {
			return
		}
		resp, err := c.run()
		if c.isWrite && s.faults.loseResponse() {
			breakConnection(w)
			return
		}
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(resp)
	}
}

func writeError(w http.ResponseWriter, err error) {
	var apiErr *apiError
	if !errors.As(err, &apiErr) {
		apiErr = &apiError{http.StatusInternalServerError, 13, err.Error()}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(apiErr.status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: apiErr.text, Code: apiErr.code, Message: apiErr.text})
}

// breakConnection closes the connection without completing the response.
func breakConnection(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

func (s *Server) handleRange(req rangeRequest) call {
	read := func() *rangeResponse {
		s.data.mu.Lock()
		defer s.data.mu.Unlock()
		return s.data.get(req)
	}
	return call{kind: "range", run: func() (any, error) { return s.faults.staleRange(req, time.Now(), read), nil }}
}

func (s *Server) handleTxn(req txnRequest) call {
	c := call{kind: "txn_read", run: func() (any, error) { return s.data.txn(req) }}
	for _, ops := range [][]requestOp{req.Success, req.Failure} {
		for _, op := range ops {
			if op.Put != nil || op.Delete != nil {
				c.kind, c.isWrite = "txn_write", true
			}
		}
	}
	return c
}

func (s *Server) handleGrant(req leaseRequest) call {
	return call{kind: "grant", isWrite: true, run: func() (any, error) { return s.data.grant(req, time.Now()) }}
}

func (s *Server) handleKeepAlive(req leaseRequest) call {
	return call{kind: "keepalive", isWrite: true, run: func() (any, error) {
		return result[*leaseResponse]{s.data.keepAlive(req.ID, time.Now())}, nil
	}}
}

func (s *Server) handleRevoke(req leaseRequest) call {
	return call{kind: "revoke", isWrite: true, run: func() (any, error) { return s.data.revoke(req.ID) }}
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&req); err != nil || req.Create == nil {
		writeError(w, invalid("watch without create_request"))
		return
	}
	if !s.faults.inject(w, r, call{kind: "watch"}) {
		return
	}
	s.streamWatch(w, r, req)
}

// streamWatch sends the events of a watch until the client disconnects, an outage begins or the revision is compacted.
func (s *Server) streamWatch(w http.ResponseWriter, r *http.Request, req watchRequest) {
	from := req.Create.StartRevision
	s.data.mu.Lock()
	if from == 0 {
		from = s.data.revision + 1
	}
	created := watchResponse{Header: header{s.data.revision}, Created: true}
	s.data.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	send := func(resp watchResponse) bool {
		return json.NewEncoder(w).Encode(result[watchResponse]{resp}) == nil && http.NewResponseController(w).Flush() == nil
	}
	if !send(created) {
		return
	}
	for {
		events, revision, changed, err := s.data.eventsSince(req.Create.Key, req.Create.RangeEnd, from)
		if err != nil {
			send(watchResponse{Header: header{revision}, Canceled: true, CompactRevision: revision})
			return
		}
		if len(events) > 0 && !send(watchResponse{Header: header{revision}, Events: events}) {
			return
		}
		from = max(from, revision+1)
		select {
		case <-changed:
		case <-s.faults.outageSignal():
			breakConnection(w)
		case <-r.Context().Done():
			return
		}
	}
}
