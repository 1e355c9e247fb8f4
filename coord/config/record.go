package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Keys of the store. The head key is written with every change, so that one small read tells whether any customer has a
// newer document.
const (
	CustomersPrefix = "config/customers/"
	HistoryPrefix   = "config/history/"
	HeadKey         = "config/head"
)

// HistoryLimit is the number of changes of a customer that the store keeps.
const HistoryLimit = 100

// CustomerKey is the key of a customer's document; its ModRevision is the document's revision.
func CustomerKey(id fleet.CustomerID) string { return CustomersPrefix + string(id) }

// HistoryKey is the key of the change that replaced the given revision.
//
// The revision of the change itself is unknown until its transaction has run; it is the ModRevision of the entry.
func HistoryKey(id fleet.CustomerID, base store.Revision) string {
	return fmt.Sprintf("%s%020d", CustomerHistoryPrefix(id), base)
}

// HistoryKeys is the prefix of the keys of a customer's changes, which ascend with their revisions.
func CustomerHistoryPrefix(id fleet.CustomerID) string { return HistoryPrefix + string(id) + "/" }

// record is the stored form of a customer's document; its revision is that of the key.
type record struct {
	Sequence int64           `json:"sequence"`
	Document Document        `json:"document"`
	Answers  json.RawMessage `json:"answers"`
}

// Past is one accepted change in a customer's history; Time is the accepting process's clock.
type HistoryRecord struct {
	Sequence int64           `json:"sequence"`
	ChangeID string          `json:"change_id"`
	BaseRevision     store.Revision  `json:"base_revision"`
	Revision store.Revision  `json:"revision"`
	Time     time.Time       `json:"time"`
	Answers  json.RawMessage `json:"answers"`
}

// EntryError reports a stored value that is not in the form of this package.
type EntryError struct {
	Key   string
	Cause error
}

// Error names the key and the cause.
func (e *EntryError) Error() string { return fmt.Sprintf("stored value of %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Cause }

// ParseEntry decodes a customer's stored document, or returns an [*EntryError].
func ParseEntry(e store.Entry) (VersionedDocument, error) {
	var r record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return VersionedDocument{}, &EntryError{Key: e.Key, Cause: err}
	}
	if want := strings.TrimPrefix(e.Key, CustomersPrefix); string(r.Document.Customer) != want {
		return VersionedDocument{}, &EntryError{Key: e.Key, Cause: fmt.Errorf("document of customer %q", r.Document.Customer)}
	}
	return VersionedDocument{Document: r.Document, Revision: e.ModRevision, Sequence: r.Sequence, Answers: r.Answers}, nil
}

// ParsePast decodes an entry of the history, or returns an [*EntryError].
func ParseHistoryRecord(e store.Entry) (HistoryRecord, error) {
	var p HistoryRecord
	if err := json.Unmarshal(e.Value, &p); err != nil {
		return HistoryRecord{}, &EntryError{Key: e.Key, Cause: err}
	}
	p.Revision = e.ModRevision
	return p, nil
}
