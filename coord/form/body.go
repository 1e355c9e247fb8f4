package form

import (
	"encoding/json"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Outcomes of a change in responses to operators.
const (
	OutcomeAccepted = "accepted"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

// ChangeRequest is the body of a request to change a configuration. BaseRevision is the revision that the operator
// edited, or zero for a new customer.
type ChangeRequest struct {
	BaseRevision store.Revision  `json:"base_revision"`
	ChangeID     string          `json:"change_id"`
	Answers      json.RawMessage `json:"answers"`
}

// ChangeResponse is the response body for an accepted change.
type ChangeResponse struct {
	Outcome  string           `json:"outcome"`
	Customer fleet.CustomerID `json:"customer"`
	Revision store.Revision   `json:"revision"`
	Sequence int64            `json:"sequence"`
	ChangeID string           `json:"change_id"`
	Document config.Document  `json:"document"`
}

// ErrorResponse is the body of every error response. Only the first three fields are always present.
type ErrorResponse struct {
	Error   string `json:"error"`
	Field   string `json:"field"`
	Outcome string `json:"outcome"`

	Problems    []*FieldError   `json:"problems,omitempty"`
	ChangeID    string          `json:"change_id,omitempty"`
	Revision    store.Revision  `json:"revision,omitempty"`
	Answers     json.RawMessage `json:"answers,omitempty"`
	Differences []Difference    `json:"differences,omitempty"`
}

// CurrentConfig is the response body with a customer's configuration in effect.
type CurrentConfig struct {
	Customer fleet.CustomerID `json:"customer"`
	Revision store.Revision   `json:"revision"`
	Sequence int64            `json:"sequence"`
	ChangeID string           `json:"change_id"`
	Document config.Document  `json:"document"`
	Answers  json.RawMessage  `json:"answers"`
}

// HistoryEntry is one accepted change with the answers that it changed.
type HistoryEntry struct {
	config.HistoryRecord
	Differences []Difference `json:"differences"`
}

// History is the response body with a customer's changes, the newest first.
type History struct {
	Customer fleet.CustomerID `json:"customer"`
	History  []HistoryEntry   `json:"history"`
}

// PeerStatus is the last known state of a peer's configuration. StateAgeMS is the time since the peer last sent its
// state, or -1 if it has sent none on the current link.
type PeerStatus struct {
	EntryHost  fleet.EntryHostID                   `json:"entry_host"`
	Linked     bool                                `json:"linked"`
	StateAgeMS int64                               `json:"heard_ms"`
	Revisions  map[fleet.CustomerID]store.Revision `json:"revisions"`
}

// Status is the response body with the revisions in effect at the responding process and at each of its peers.
type Status struct {
	EntryHost fleet.EntryHostID                   `json:"entry_host"`
	Loaded    bool                                `json:"loaded"`
	Watching  bool                                `json:"watching"`
	Revisions map[fleet.CustomerID]store.Revision `json:"revisions"`
	Peers     []PeerStatus                        `json:"peers"`
}

// Preview is the response body with the changes that a set of answers would make.
type Preview struct {
	Customer            fleet.CustomerID `json:"customer"`
	Revision            store.Revision   `json:"revision"`
	Document            config.Document  `json:"document"`
	Differences         []Difference     `json:"differences"`
	DocumentDifferences []Difference     `json:"document_differences"`
}

// PreviewRequest is the body of a request for a [Preview].
type PreviewRequest struct {
	Answers json.RawMessage `json:"answers"`
}
