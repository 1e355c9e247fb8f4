package form

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
)

// Decode parses answers from JSON and validates them. Its error is an [*InvalidError] with the fields at fault.
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

// Encode returns the canonical JSON encoding of answers: equal answers have equal encodings.
func Encode(a Answers) (json.RawMessage, error) {
	return json.Marshal(a.normalized())
}

// normalized returns the answers with empty lists in place of missing ones, so that both have the same JSON encoding.
func (a Answers) normalized() Answers {
	a.Urgent = append([]string{}, a.Urgent...)
	a.MayWait = append([]string{}, a.MayWait...)
	a.NeverTwice = append([]string{}, a.NeverTwice...)
	a.Services = append([]Service{}, a.Services...)
	a.Batch = append([]Batch{}, a.Batch...)
	return a
}

func parse(data []byte) (Answers, *FieldError) {
	var a Answers
	if field := firstAmbiguousKey(json.NewDecoder(bytes.NewReader(data))); field != "" {
		return Answers{}, unknownFieldError(field)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return Answers{}, toFieldError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Answers{}, &FieldError{Field: "answers", Value: "text after the JSON object", Allowed: "one JSON object"}
	}
	return a.normalized(), nil
}

// toFieldError converts an error of encoding/json to a [*FieldError]. The name of an unknown field is taken from the
// error text, because encoding/json has no error type for it.
func toFieldError(err error) *FieldError {
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
		return unknownFieldError(field)
	}
	return &FieldError{Field: "answers", Value: err.Error(), Allowed: "one JSON object"}
}

func unknownFieldError(field string) *FieldError {
	return &FieldError{
		Field: field, Value: "an unknown or repeated field",
		Allowed: "customer, urgent, may_wait, never_twice, services, batch, quota and their fields, each once",
	}
}

// firstAmbiguousKey returns the first object key that is repeated, or that differs from the field names in case or
// character set, or "" if there is none. encoding/json would use the last of repeated keys and ignore case, so the
// value in effect could differ from the one that the operator reads in the file.
func firstAmbiguousKey(d *json.Decoder) string {
	// open has one element for each enclosing object or array: the set of keys of an object, or nil for an array.
	var open []map[string]bool
	keyNext := false
	for {
		token, err := d.Token()
		if err != nil {
			return ""
		}
		switch token := token.(type) {
		case json.Delim:
			open = updateNesting(open, token)
			if len(open) == 0 {
				return ""
			}
			keyNext = open[len(open)-1] != nil
			continue
		case string:
			if keyNext {
				keys := open[len(open)-1]
				if keys[token] || strings.ContainsFunc(token, invalidInKey) {
					return token
				}
				keys[token] = true
				keyNext = false
				continue
			}
		}
		if len(open) == 0 {
			return ""
		}
		keyNext = open[len(open)-1] != nil
	}
}

func updateNesting(open []map[string]bool, token json.Delim) []map[string]bool {
	switch token {
	case '{':
		return append(open, make(map[string]bool))
	case '[':
		return append(open, nil)
	default:
		return open[:len(open)-1]
	}
}

func invalidInKey(r rune) bool { return r != '_' && (r < 'a' || r > 'z') }
