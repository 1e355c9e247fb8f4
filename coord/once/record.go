package once

import (
	"encoding/json"
	"fmt"

	"lovagefork.example/coord/fleet"
)

// Record is the stored value of a claim; Outcome is empty while it is unknown. Owner, Boot and Serial together identify
// the claim.
type Record struct {
	Owner   fleet.EntryHostID `json:"entry_host"`
	Boot    fleet.BootID      `json:"boot_id"`
	Serial  uint64            `json:"serial"`
	Outcome string            `json:"outcome,omitempty"`
	Status  int               `json:"status,omitempty"`
}

// RecordError reports a value that is not a valid record.
type RecordError struct{ Cause error }

// Error returns a message with the cause.
func (e *RecordError) Error() string { return fmt.Sprintf("decode claim: %v", e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// DecodeRecord parses the value of a claim, or returns a [*RecordError].
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &RecordError{Cause: err}
	}
	return r, nil
}

// encode returns the JSON encoding. It cannot fail, because a record has only strings and numbers.
func (r Record) encode() []byte {
	data, _ := json.Marshal(r)
	return data
}

// sameClaim reports whether both records belong to the same claim.
func (r Record) sameClaim(o Record) bool {
	return r.Owner == o.Owner && r.Boot == o.Boot && r.Serial == o.Serial
}
