package front_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/front"
)

// Guards against panics and responses without an outcome for arbitrary requests. The process is draining, so that each
// request must be reported as not_run.
func FuzzCallerRequest(f *testing.F) {
	fr := front.New(front.Deps{
		Self: wire.Hello{EntryHost: "e1"}, Roster: []grant.Member{{Host: "e1"}}, Peers: noPeers{},
		Config: globexConfig, Log: discardLog,
	}, front.WithDrainNotice(0))
	assert.NilError(f, fr.Drain(context.Background()))
	router := mux.NewRouter()
	fr.Register(router)
	f.Add("globex/quotes", "a/b", "acme", "urgent", "100", "k", []byte("x"))
	f.Add("globex/orders", "?", "a/b", "", "-1", "", []byte{})
	f.Fuzz(func(t *testing.T, service, path, customer, class, deadline, key string, body []byte) {
		r := &http.Request{
			Method: "POST", URL: &url.URL{Path: "/v1/services/" + service + "/requests/" + path},
			Body: http.NoBody, ContentLength: int64(len(body)),
			Header: http.Header{
				"Lovagefork-Customer": {customer}, "Lovagefork-Class": {class}, "Lovagefork-Deadline-Ms": {deadline},
				"Idempotency-Key": {key},
			},
		}
		r.Body = readCloser{bytes.NewReader(body)}
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		routerResponse := w.Code == http.StatusMovedPermanently ||
			(w.Code == http.StatusNotFound && w.Header().Get("Lovagefork-Reason") == "")
		assert.Assert(t, routerResponse || w.Header().Get("Lovagefork-Outcome") == "not_run", "%d %v", w.Code, w.Header())
	})
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }

// Guards against panics and missing responses for arbitrary messages of a peer.
func FuzzPeerMessage(f *testing.F) {
	fr := front.New(front.Deps{
		Self: wire.Hello{EntryHost: "e1"}, Roster: []grant.Member{{Host: "e1"}}, Peers: noPeers{},
		Config: globexConfig, Log: discardLog,
	})
	fr.ObserveFleet([]fleet.Worker{worker("http://127.0.0.1:1")})
	f.Add("c/s", uint8(0), int64(10), "GET", "/x", 3, "l", -1)
	f.Add("", uint8(9), int64(-1), "", "@host", -3, "", 1<<40)
	f.Fuzz(func(t *testing.T, service string, class uint8, ms int64, method, path string, slots int, loan string, n int) {
		id := fleet.ServiceID(service)
		forward := wire.ForwardRequest{
			Service: id, Class: fleet.Class(class), RemainingMS: ms, Method: method, Path: path,
		}
		borrow := wire.BorrowRequest{Service: id, Class: fleet.Class(class), Slots: slots}
		back := wire.LoanReturn{ID: loan, Kept: []wire.LoanPart{{Worker: "w1", Slots: n}}}
		load := wire.LoadReport{FreeSlots: map[fleet.WorkerID]int{"w1": n}}
		for _, m := range []wire.Message{load, back} {
			assert.Assert(t, fr.HandlePeer(context.Background(), "e2", m) == nil)
		}
		for _, m := range []wire.Message{forward, borrow} {
			assert.Assert(t, fr.HandlePeer(context.Background(), "e2", m) != nil)
		}
	})
}
