package form

import (
	"fmt"
	"strings"
)

// FieldError reports one invalid answer. Allowed describes the valid values.
type FieldError struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error returns a message with the field, its value and the valid values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed: want %s", e.Field, e.Value, e.Allowed)
}

// InvalidError reports all invalid answers in the order of the questionnaire; there is at least one.
type InvalidError struct {
	Problems []*FieldError
}

// Error returns the messages of all problems, separated by semicolons.
func (e *InvalidError) Error() string {
	parts := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		parts[i] = p.Error()
	}
	return strings.Join(parts, "; ")
}

// Unwrap returns the problems as errors.
func (e *InvalidError) Unwrap() []error {
	all := make([]error, len(e.Problems))
	for i, p := range e.Problems {
		all[i] = p
	}
	return all
}
