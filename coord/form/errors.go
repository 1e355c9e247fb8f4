package form

import (
	"fmt"
	"strings"
)

// FieldError reports one answer that is not allowed.
type FieldError struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error names the field, its value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed: want %s", e.Field, e.Value, e.Allowed)
}

// InvalidError reports every answer that is not allowed, in the order of the questionnaire; it holds at least one.
type InvalidError struct {
	Problems []*FieldError
}

// Error joins the problems.
func (e *InvalidError) Error() string {
	parts := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		parts[i] = p.Error()
	}
	return strings.Join(parts, "; ")
}

// Unwrap returns the problems.
func (e *InvalidError) Unwrap() []error {
	all := make([]error, len(e.Problems))
	for i, p := range e.Problems {
		all[i] = p
	}
	return all
}
