package form

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
)

// Decode parses answers from JSON and validates them; its error is an [*InvalidError] that names the fields.
func Decode(data []byte) (Answers, error) {
	a, err := parse(data)
	if err != nil {
		return Answers{}, &InvalidError{Problems: []*FieldError{err}}
	}
	if err := a.Validate(); err != nil {
		return Answers{}, err
	}
	return a, nil
}

// Encode returns the JSON form of answers; equal answers have equal forms.
func Encode(a Answers) (json.RawMessage, error) {
	return json.Marshal(a.normal())
}

// normal replaces missing lists by empty ones, so that both have one JSON form.
func (a Answers) normal() Answers {
	a.Urgent = append([]string{}, a.Urgent...)
	a.MayWait = append([]string{}, a.MayWait...)
	a.NeverTwice = append([]string{}, a.NeverTwice...)
	a.Services = append([]Service{}, a.Services...)
	a.Batch = append([]Batch{}, a.Batch...)
	return a
}

func parse(data []byte) (Answers, *FieldError) {
	var a Answers
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return Answers{}, decodeProblem(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Answers{}, &FieldError{Field: "answers", Value: "text after the JSON object", Allowed: "one JSON object"}
	}
	return a.normal(), nil
}

// decodeProblem names the field of a JSON error; encoding/json reports an unknown field only in its text.
func decodeProblem(err error) *FieldError {
	if mismatch := (*json.UnmarshalTypeError)(nil); errors.As(err, &mismatch) {
		field := mismatch.Field
		if field == "" {
			field = "answers"
		}
		return &FieldError{Field: field, Value: "a JSON " + mismatch.Value, Allowed: "a value of type " + mismatch.Type.String()}
	}
	if _, quoted, found := strings.Cut(err.Error(), "unknown field "); found {
		field, err := strconv.Unquote(quoted)
		if err != nil || field == "" {
			field = "answers"
		}
		return &FieldError{
			Field: field, Value: "an unknown field",
			Allowed: "customer, urgent, may_wait, never_twice, services, batch, quota and their fields",
		}
	}
	return &FieldError{Field: "answers", Value: err.Error(), Allowed: "one JSON object"}
}
