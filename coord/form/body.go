package form

import (
	"encoding/json"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Outcomes of a change in answers to operators.
const (
	OutcomeAccepted = "accepted"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

// ChangeRequest is the body of a change; BaseRevision is the revision that the operator amended, zero for a new customer.
type ChangeRequest struct {
	BaseRevision store.Revision  `json:"base_revision"`
	ChangeID     string          `json:"change_id"`
	Answers      json.RawMessage `json:"answers"`
}

// ChangeAnswer is the body of the answer to an accepted change.
type ChangeResponse struct {
	Outcome  string           `json:"outcome"`
	Customer fleet.CustomerID `json:"customer"`
	Revision store.Revision   `json:"revision"`
	Sequence int64            `json:"sequence"`
	ChangeID string           `json:"change_id"`
	Document config.Document  `json:"document"`
}

// Failure is the body of every answer that reports an error; only the first three fields are always present.
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

// Current is the body of the answer that shows a customer's configuration.
type CurrentConfig struct {
	Customer fleet.CustomerID `json:"customer"`
	Revision store.Revision   `json:"revision"`
	Sequence int64            `json:"sequence"`
	ChangeID string           `json:"change_id"`
	Document config.Document  `json:"document"`
	Answers  json.RawMessage  `json:"answers"`
}

// HistoryEntry is one accepted change with what it changed in the answers.
type HistoryEntry struct {
	config.HistoryRecord
	Differences []Difference `json:"differences"`
}

// History is the body of the answer that lists a customer's changes, the newest first.
type History struct {
	Customer fleet.CustomerID `json:"customer"`
	History  []HistoryEntry   `json:"history"`
}

// PeerStatus is the last known state of a peer's configuration; HeardMS is -1 if it has sent none on this link.
type PeerStatus struct {
	EntryHost fleet.EntryHostID                   `json:"entry_host"`
	Linked    bool                                `json:"linked"`
	StateAgeMS   int64                               `json:"heard_ms"`
	Revisions map[fleet.CustomerID]store.Revision `json:"revisions"`
}

// Status is the body of the answer that shows the revisions in effect here and at each peer.
type Status struct {
	EntryHost fleet.EntryHostID                   `json:"entry_host"`
	Loaded    bool                                `json:"loaded"`
	Watching  bool                                `json:"watching"`
	Revisions map[fleet.CustomerID]store.Revision `json:"revisions"`
	Peers     []PeerStatus                        `json:"peers"`
}

// Preview is the body of the answer that shows what answers would change.
type Preview struct {
	Customer            fleet.CustomerID `json:"customer"`
	Revision            store.Revision   `json:"revision"`
	Document            config.Document  `json:"document"`
	Differences         []Difference     `json:"differences"`
	DocumentDifferences []Difference     `json:"document_differences"`
}

// PreviewRequest is the body of a preview.
type PreviewRequest struct {
	Answers json.RawMessage `json:"answers"`
}
