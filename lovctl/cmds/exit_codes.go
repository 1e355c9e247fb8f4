package cmds

import (
	"errors"
	"net/http"

	"lovagefork.example/coord/form"
	"lovagefork.example/lovctl/entry"
	"lovagefork.example/lovctl/prompt"
)

// exitCode maps an error of a subcommand to the exit code of lovctl.
func exitCode(err error) int {
	statusErr, unknown, notRun := (*entry.StatusError)(nil), (*entry.OutcomeUnknownError)(nil), (*entry.NotRunError)(nil)
	usage, invalid, field := (*UsageError)(nil), (*form.InvalidError)(nil), (*form.FieldError)(nil)
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unknown):
		return ExitOutcomeUnknown
	case errors.As(err, &notRun):
		return ExitUnavailable
	case errors.As(err, &statusErr):
		return exitCodeForStatus(statusErr.Status)
	case errors.As(err, &invalid), errors.As(err, &field):
		return ExitRefused
	case errors.Is(err, errNotFound):
		return ExitNotFound
	case errors.Is(err, errAborted), errors.Is(err, prompt.ErrInputEnded):
		return ExitAborted
	default:
		return ExitFailed
	}
}

// exitCodeForStatus maps the HTTP status of an error response to the exit code of lovctl.
func exitCodeForStatus(status int) int {
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
