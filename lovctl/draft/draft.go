package draft

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"

	"lovagefork.example/coord/form"
	"lovagefork.example/coord/store"
)

// Draft is a change that has not been accepted yet. If ChangeID is set, the change may have been sent under this id,
// and repeating the draft reuses the id so that the change is not made twice.
type Draft struct {
	BaseRevision store.Revision `json:"base_revision"`
	ChangeID     string         `json:"change_id,omitempty"`
	Answers      form.Answers   `json:"answers"`
	// HasBase is false for a file of plain answers, which does not contain the revision that it was derived from.
	HasBase bool `json:"-"`
}

// FileError reports a file that cannot be read or written, or that contains neither answers nor a draft.
type FileError struct {
	Path  string
	Cause error
}

// Error returns the path and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Load reads a draft, or plain answers, from a JSON file; its error is a [*FileError].
func Load(path string) (Draft, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Draft{}, &FileError{Path: path, Cause: err}
	}
	d, err := parse(data)
	if err != nil {
		return Draft{}, &FileError{Path: path, Cause: err}
	}
	return d, nil
}

// parse decodes a draft, or plain answers if the object has no field "answers".
func parse(data []byte) (Draft, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &object); err != nil {
		return Draft{}, err
	}
	if _, isDraft := object["answers"]; !isDraft {
		answers, err := form.Decode(data)
		return Draft{Answers: answers}, err
	}
	var d struct {
		BaseRevision *store.Revision `json:"base_revision"`
		ChangeID     string          `json:"change_id"`
		Answers      json.RawMessage `json:"answers"`
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Draft{}, err
	}
	answers, err := form.Decode(d.Answers)
	if err != nil {
		return Draft{}, err
	}
	draft := Draft{ChangeID: d.ChangeID, Answers: answers}
	if d.BaseRevision != nil {
		draft.BaseRevision, draft.HasBase = *d.BaseRevision, true
	}
	return draft, nil
}

// Save writes a draft in the format that [Load] reads; its error is a [*FileError].
func Save(path string, d Draft) error {
	answers, err := form.Encode(d.Answers)
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	data, err := json.MarshalIndent(struct {
		BaseRevision store.Revision  `json:"base_revision"`
		ChangeID     string          `json:"change_id,omitempty"`
		Answers      json.RawMessage `json:"answers"`
	}{d.BaseRevision, d.ChangeID, answers}, "", "  ")
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return &FileError{Path: path, Cause: err}
	}
	return nil
}

// NewID returns a random id for a change or a job: 96 bits in hexadecimal, so that ids of operators do not collide.
func NewID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
