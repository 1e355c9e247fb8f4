package cmds

import (
	"errors"
	"net/http"

	"lovagefork.example/coord/form"
	"lovagefork.example/lovctl/entry"
	"lovagefork.example/lovctl/prompt"
)

func exitCode(err error) int {
	refused, unclear, unreachable := (*entry.Refused)(nil), (*entry.Unclear)(nil), (*entry.Unreachable)(nil)
	usage, invalid, field := (*UsageError)(nil), (*form.InvalidError)(nil), (*form.FieldError)(nil)
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unclear):
		return ExitUnknown
	case errors.As(err, &unreachable):
		return ExitUnavailable
	case errors.As(err, &refused):
		return refusedCode(refused.Status)
	case errors.As(err, &invalid), errors.As(err, &field):
		return ExitRefused
	case errors.Is(err, errMissing):
		return ExitMissing
	case errors.Is(err, errAborted), errors.Is(err, prompt.ErrEnded):
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
		return ExitMissing
	default:
		return ExitFailed
	}
}
