package admin

import (
	"fmt"
	"net/http"
	"slices"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/form"
	"lovagefork.example/coord/store"
)

func (a *Admin) serveCurrent(w http.ResponseWriter, r *http.Request) {
	v, found := a.View().Customer(customerOf(r))
	if !found {
		a.writeMissing(w, customerOf(r))
		return
	}
	writeJSON(w, http.StatusOK, form.CurrentConfig{
		Customer: v.Document.Customer, Revision: v.Revision, Sequence: v.Sequence,
		ChangeID: v.Document.ChangeID, Document: v.Document, Answers: v.Answers,
	})
}

// writeMissing answers 404 only if the store has been read: before, the customer may exist without being known here.
func (a *Admin) writeMissing(w http.ResponseWriter, id fleet.CustomerID) {
	if !a.Loaded() {
		writeUnavailable(w, "", form.OutcomeUnknown, "the configuration has not been read from the store yet")
		return
	}
	writeJSON(w, http.StatusNotFound, form.ErrorResponse{Error: fmt.Sprintf("no configuration of customer %q", id), Field: "customer"})
}

func (a *Admin) serveHistory(w http.ResponseWriter, r *http.Request) {
	id := customerOf(r)
	result, err := a.read(r.Context(), store.Get{Key: config.CustomerHistoryPrefix(id), Prefix: true, Limit: 2 * config.HistoryLimit})
	if err != nil {
		writeUnavailable(w, "", form.OutcomeNotRun, err.Error())
		return
	}
	answer := form.History{Customer: id, History: []form.HistoryEntry{}}
	var before form.Answers
	for _, e := range result.Entries {
		past, err := config.ParseHistoryRecord(e)
		if err != nil {
			a.log.Error("config: stored value ignored", "error", err)
			continue
		}
		after, _ := form.Decode(past.Answers)
		answer.History = append(answer.History, form.HistoryEntry{HistoryRecord: past, Differences: form.Diff(before, after)})
		before = after
	}
	slices.Reverse(answer.History)
	answer.History = answer.History[:min(len(answer.History), config.HistoryLimit)]
	writeJSON(w, http.StatusOK, answer)
}

func (a *Admin) serveStatus(w http.ResponseWriter, r *http.Request) {
	only := fleet.CustomerID(r.URL.Query().Get("customer"))
	a.mu.Lock()
	now := a.now()
	status := form.Status{
		EntryHost: a.self, Loaded: a.machine.Loaded(), Watching: a.machine.Watching(),
		Revisions: pick(a.machine.Revisions(), only), Peers: []form.PeerStatus{},
	}
	for _, p := range a.machine.Peers(now) {
		heard := int64(-1)
		if !p.StateReceivedAt.IsZero() {
			heard = now.Sub(p.StateReceivedAt).Milliseconds()
		}
		status.Peers = append(status.Peers, form.PeerStatus{
			EntryHost: p.Peer, Linked: p.Reachable, StateAgeMS: heard, Revisions: pick(p.Revisions, only),
		})
	}
	a.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// pick returns the revisions of one customer, or of all if the customer is empty.
func pick(revisions map[fleet.CustomerID]store.Revision, only fleet.CustomerID) map[fleet.CustomerID]store.Revision {
	if only == "" {
		return revisions
	}
	picked := make(map[fleet.CustomerID]store.Revision)
	if revision, found := revisions[only]; found {
		picked[only] = revision
	}
	return picked
}

func (a *Admin) servePreview(w http.ResponseWriter, r *http.Request) {
	var request form.PreviewRequest
	if !readBody(w, r, &request) {
		return
	}
	answers, failure := checkAnswers(customerOf(r), request.Answers)
	if failure != nil {
		writeJSON(w, http.StatusUnprocessableEntity, failure)
		return
	}
	held, _ := a.View().Customer(answers.Customer)
	before, _ := form.Decode(held.Answers)
	doc := answers.Generate()
	doc.ChangeID = held.Document.ChangeID
	writeJSON(w, http.StatusOK, form.Preview{
		Customer: answers.Customer, Revision: held.Revision, Document: doc,
		Differences: form.Diff(before, answers), DocumentDifferences: form.DiffDocuments(held.Document, doc),
	})
}
