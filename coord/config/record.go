package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Store keys. Every change writes the head key, so that one small read shows whether any customer has a newer document.
const (
	CustomersPrefix = "config/customers/"
	HistoryPrefix   = "config/history/"
	HeadKey         = "config/head"
)

// HistoryLimit is the number of latest changes that the store keeps for each customer.
const HistoryLimit = 100

// CustomerKey returns the key of a customer's document. The ModRevision of its entry is the document's revision.
func CustomerKey(id fleet.CustomerID) string { return CustomersPrefix + string(id) }

// HistoryKey returns the key of the change that replaced the given base revision.
//
// The key can't contain the revision of the change itself, which is known only after its transaction: it is the
// ModRevision of the entry.
func HistoryKey(id fleet.CustomerID, base store.Revision) string {
	return fmt.Sprintf("%s%020d", CustomerHistoryPrefix(id), base)
}

// CustomerHistoryPrefix returns the key prefix of a customer's changes. The order of the keys is that of the revisions.
func CustomerHistoryPrefix(id fleet.CustomerID) string { return HistoryPrefix + string(id) + "/" }

// documentRecord is the stored form of a customer's document. The revision is not part of it, but taken from the entry.
type documentRecord struct {
	Sequence int64           `json:"sequence"`
	Document Document        `json:"document"`
	Answers  json.RawMessage `json:"answers"`
}

// HistoryRecord is one accepted change in a customer's history. Time is taken from the clock of the accepting process.
// Revision is taken from the store entry when the record is read.
type HistoryRecord struct {
	Sequence     int64           `json:"sequence"`
	ChangeID     string          `json:"change_id"`
	BaseRevision store.Revision  `json:"base_revision"`
	Revision     store.Revision  `json:"revision"`
	Time         time.Time       `json:"time"`
	Answers      json.RawMessage `json:"answers"`
}

// EntryError reports a stored value that this package can't decode.
type EntryError struct {
	Key   string
	Cause error
}

// Error returns a message with the key and the cause.
func (e *EntryError) Error() string { return fmt.Sprintf("stored value of %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Cause }

// ParseEntry decodes a store entry of a customer's document, or returns an [*EntryError].
func ParseEntry(e store.Entry) (VersionedDocument, error) {
	var r documentRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return VersionedDocument{}, &EntryError{Key: e.Key, Cause: err}
	}
	if want := strings.TrimPrefix(e.Key, CustomersPrefix); string(r.Document.Customer) != want {
		return VersionedDocument{}, &EntryError{Key: e.Key, Cause: fmt.Errorf("document of customer %q", r.Document.Customer)}
	}
	return VersionedDocument{Document: r.Document, Revision: e.ModRevision, Sequence: r.Sequence, Answers: r.Answers}, nil
}

// ParseHistoryRecord decodes a store entry of the history, or returns an [*EntryError].
func ParseHistoryRecord(e store.Entry) (HistoryRecord, error) {
	var p HistoryRecord
	if err := json.Unmarshal(e.Value, &p); err != nil {
		return HistoryRecord{}, &EntryError{Key: e.Key, Cause: err}
	}
	p.Revision = e.ModRevision
	return p, nil
}
