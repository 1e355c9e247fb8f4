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

// Draft is a change that is not accepted yet. ChangeID is empty until the change has been sent with an unknown outcome.
type Draft struct {
	BaseRevision     store.Revision `json:"base_revision"`
	ChangeID string         `json:"change_id,omitempty"`
	Answers  form.Answers   `json:"answers"`
	// Based is false for a file of plain answers, which does not tell the revision it was derived from.
	HasBase bool `json:"-"`
}

// FileError reports a file that holds neither answers nor a draft.
type FileError struct {
	Path  string
	Cause error
}

// Error names the file and the cause.
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

func parse(data []byte) (Draft, error) {
	var shape map[string]json.RawMessage
	if err := json.Unmarshal(data, &shape); err != nil {
		return Draft{}, err
	}
	if _, isDraft := shape["answers"]; !isDraft {
		answers, err := form.Decode(data)
		return Draft{Answers: answers}, err
	}
	var d struct {
		Base     *store.Revision `json:"base_revision"`
		ChangeID string          `json:"change_id"`
		Answers  json.RawMessage `json:"answers"`
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
	if d.Base != nil {
		draft.BaseRevision, draft.HasBase = *d.Base, true
	}
	return draft, nil
}

// Save writes a draft that [Load] reads back; its error is a [*FileError].
func Save(path string, d Draft) error {
	answers, err := form.Encode(d.Answers)
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	data, err := json.MarshalIndent(struct {
		Base     store.Revision  `json:"base_revision"`
		ChangeID string          `json:"change_id,omitempty"`
		Answers  json.RawMessage `json:"answers"`
	}{d.BaseRevision, d.ChangeID, answers}, "", "  ")
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return &FileError{Path: path, Cause: err}
	}
	return nil
}

// NewID returns a change or job id that no other operator will use.
func NewID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
