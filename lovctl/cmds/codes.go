package cmds

import (
	"errors"
	"net/http"

	"lovagefork.example/coord/form"
	"lovagefork.example/lovctl/entry"
	"lovagefork.example/lovctl/prompt"
)

func exitCode(err error) int {
	refused, unclear, unreachable := (*entry.StatusError)(nil), (*entry.OutcomeUnknownError)(nil), (*entry.NotRunError)(nil)
	usage, invalid, field := (*UsageError)(nil), (*form.InvalidError)(nil), (*form.FieldError)(nil)
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unclear):
		return ExitOutcomeUnknown
	case errors.As(err, &unreachable):
		return ExitUnavailable
	case errors.As(err, &refused):
		return refusedCode(refused.Status)
	case errors.As(err, &invalid), errors.As(err, &field):
		return ExitRefused
	case errors.Is(err, errMissing):
		return ExitNotFound
	case errors.Is(err, errAborted), errors.Is(err, prompt.ErrInputEnded):
		return ExitAborted
	default:
		return ExitFailed
	}
}

func refusedCode(status int) int {
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return ExitRefused
	case http.StatusConflict:
		return ExitConflict
	case http.StatusNotFound:
		return ExitNotFound
	default:
		return ExitFailed
	}
}
