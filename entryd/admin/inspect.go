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
		a.writeNotFound(w, customerOf(r))
		return
	}
	writeJSON(w, http.StatusOK, form.CurrentConfig{
		Customer: v.Document.Customer, Revision: v.Revision, Sequence: v.Sequence,
		ChangeID: v.Document.ChangeID, Document: v.Document, Answers: v.Answers,
	})
}

// writeNotFound responds with status 404 once the store has been read. Before that, the customer may exist although
// this process has not read its document, so it responds with status 503.
func (a *Admin) writeNotFound(w http.ResponseWriter, id fleet.CustomerID) {
	if !a.Loaded() {
		writeUnavailable(w, "", form.OutcomeUnknown, "the configuration has not been read from the store yet")
		return
	}
	writeJSON(w, http.StatusNotFound, form.ErrorResponse{Error: fmt.Sprintf("no configuration of customer %q", id), Field: "customer"})
}

// serveHistory lists the latest changes of a customer, newest first, each with its differences from the one before.
func (a *Admin) serveHistory(w http.ResponseWriter, r *http.Request) {
	id := customerOf(r)
	result, err := a.readRange(r.Context(), store.Get{Key: config.CustomerHistoryPrefix(id), Prefix: true, Limit: 2 * config.HistoryLimit})
	if err != nil {
		writeUnavailable(w, "", form.OutcomeNotRun, err.Error())
		return
	}
	history := form.History{Customer: id, History: []form.HistoryEntry{}}
	var before form.Answers
	for _, e := range result.Entries {
		record, err := config.ParseHistoryRecord(e)
		if err != nil {
			a.log.Error("config: stored value ignored", "error", err)
			continue
		}
		after, _ := form.Decode(record.Answers)
		history.History = append(history.History, form.HistoryEntry{HistoryRecord: record, Differences: form.Diff(before, after)})
		before = after
	}
	slices.Reverse(history.History)
	history.History = history.History[:min(len(history.History), config.HistoryLimit)]
	writeJSON(w, http.StatusOK, history)
}

// serveStatus reports the revisions in effect here and, as far as known, in the peers.
func (a *Admin) serveStatus(w http.ResponseWriter, r *http.Request) {
	customer := fleet.CustomerID(r.URL.Query().Get("customer"))
	a.mu.Lock()
	now := a.now()
	status := form.Status{
		EntryHost: a.self, Loaded: a.machine.Loaded(), Watching: a.machine.Watching(),
		Revisions: filterCustomer(a.machine.Revisions(), customer), Peers: []form.PeerStatus{},
	}
	for _, p := range a.machine.Peers(now) {
		stateAge := int64(-1)
		if !p.StateReceivedAt.IsZero() {
			stateAge = now.Sub(p.StateReceivedAt).Milliseconds()
		}
		status.Peers = append(status.Peers, form.PeerStatus{
			EntryHost: p.Peer, Linked: p.Reachable, StateAgeMS: stateAge, Revisions: filterCustomer(p.Revisions, customer),
		})
	}
	a.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// filterCustomer returns the revision of one customer, or those of all customers if customer is empty.
func filterCustomer(revisions map[fleet.CustomerID]store.Revision, customer fleet.CustomerID) map[fleet.CustomerID]store.Revision {
	if customer == "" {
		return revisions
	}
	filtered := make(map[fleet.CustomerID]store.Revision)
	if revision, found := revisions[customer]; found {
		filtered[customer] = revision
	}
	return filtered
}

// servePreview returns the document that the given answers would generate, without storing it.
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
	current, _ := a.View().Customer(answers.Customer)
	before, _ := form.Decode(current.Answers)
	doc := answers.Generate()
	doc.ChangeID = current.Document.ChangeID
	writeJSON(w, http.StatusOK, form.Preview{
		Customer: answers.Customer, Revision: current.Revision, Document: doc,
		Differences: form.Diff(before, answers), DocumentDifferences: form.DiffDocuments(current.Document, doc),
	})
}
