package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"

	"github.com/gorilla/mux"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/form"
	"lovagefork.example/coord/store"
)

// maxBodyBytes bounds a request; the largest valid answers take about 300 KB.
const maxBodyBytes = 512 << 10

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// Register adds the routes of this package.
func (a *Admin) Register(r *mux.Router) {
	r.HandleFunc("/v1/config", a.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/config/{customer}", a.serveChange).Methods(http.MethodPut)
	r.HandleFunc("/v1/config/{customer}", a.serveCurrent).Methods(http.MethodGet)
	r.HandleFunc("/v1/config/{customer}/history", a.serveHistory).Methods(http.MethodGet)
	r.HandleFunc("/v1/config/{customer}/preview", a.servePreview).Methods(http.MethodPost)
}

func (a *Admin) serveChange(w http.ResponseWriter, r *http.Request) {
	var request form.ChangeRequest
	if !readBody(w, r, &request) {
		return
	}
	customer := customerOf(r)
	answers, failure := checkChange(customer, request)
	if failure != nil {
		writeJSON(w, http.StatusUnprocessableEntity, failure)
		return
	}
	encoded, err := form.Encode(answers)
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, form.ErrorResponse{Error: err.Error(), Outcome: form.OutcomeNotRun})
		return
	}
	change := config.Change{
		Customer: customer, BaseRevision: request.BaseRevision, ID: request.ChangeID, Answers: encoded, Document: answers.Generate(),
	}
	writeOutcome(w, change, answers, a.propose(r.Context(), change))
}

func checkChange(customer fleet.CustomerID, request form.ChangeRequest) (form.Answers, *form.ErrorResponse) {
	switch {
	case !changeIDPattern.MatchString(request.ChangeID):
		return form.Answers{}, refusal("change_id", "1 to 128 letters, digits, dots, colons, hyphens or underscores")
	case request.BaseRevision < 0:
		return form.Answers{}, refusal("base_revision", "0 for a new customer, or the revision that was amended")
	}
	return checkAnswers(customer, request.Answers)
}

func checkAnswers(customer fleet.CustomerID, data []byte) (form.Answers, *form.ErrorResponse) {
	answers, err := form.Decode(data)
	invalid := (*form.InvalidError)(nil)
	if errors.As(err, &invalid) {
		return form.Answers{}, &form.ErrorResponse{
			Error: err.Error(), Field: invalid.Problems[0].Field, Outcome: form.OutcomeNotRun, Problems: invalid.Problems,
		}
	}
	if answers.Customer != customer {
		return form.Answers{}, refusal("customer", fmt.Sprintf("%q as in the path", customer))
	}
	return answers, nil
}

func refusal(field, allowed string) *form.ErrorResponse {
	return &form.ErrorResponse{Error: field + ": want " + allowed, Field: field, Outcome: form.OutcomeNotRun}
}

func writeOutcome(w http.ResponseWriter, c config.Change, answers form.Answers, outcome config.Outcome) {
	switch o := outcome.(type) {
	case config.Accepted:
		writeJSON(w, http.StatusOK, form.ChangeResponse{
			Outcome: form.OutcomeAccepted, Customer: c.Customer, Revision: o.Versioned.Revision, Sequence: o.Versioned.Sequence,
			ChangeID: c.ID, Document: o.Versioned.Document,
		})
	case config.Conflict:
		writeJSON(w, http.StatusConflict, conflict(c, answers, o.Current))
	case config.ChangeIDReused:
		writeJSON(w, http.StatusUnprocessableEntity, form.ErrorResponse{
			Error: fmt.Sprintf("change_id %s was accepted with other answers at revision %d", c.ID, o.Revision),
			Field: "change_id", Outcome: form.OutcomeNotRun, ChangeID: c.ID, Revision: o.Revision,
		})
	case config.NotRun:
		writeUnavailable(w, c.ID, form.OutcomeNotRun, "the change was not run: "+o.Reason)
	case config.OutcomeUnknown:
		writeUnavailable(w, c.ID, form.OutcomeUnknown, "the change may have taken effect; repeat it with the same change_id: "+o.Reason)
	}
}

func conflict(c config.Change, answers form.Answers, current config.VersionedDocument) form.ErrorResponse {
	f := form.ErrorResponse{
		Error:   fmt.Sprintf("base_revision %d is not current: the current revision is %d", c.BaseRevision, current.Revision),
		Field:   "base_revision",
		Outcome: form.OutcomeNotRun, ChangeID: c.ID, Revision: current.Revision, Answers: current.Answers,
	}
	// Answers that an older version of the questionnaire accepted are still shown, only not compared.
	if held, err := form.Decode(current.Answers); err == nil {
		f.Differences = form.Diff(held, answers)
	}
	return f
}

func writeUnavailable(w http.ResponseWriter, changeID, outcome, reason string) {
	w.Header().Set("Retry-After", "3")
	writeJSON(w, http.StatusServiceUnavailable, form.ErrorResponse{Error: reason, Outcome: outcome, ChangeID: changeID})
}

func customerOf(r *http.Request) fleet.CustomerID { return fleet.CustomerID(mux.Vars(r)["customer"]) }

// readBody decodes a JSON body without unknown fields, or answers 400 and returns false.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		err = d.Decode(into)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, form.ErrorResponse{Error: "body: " + err.Error(), Field: "body", Outcome: form.OutcomeNotRun})
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (a *Admin) read(ctx context.Context, get store.Get) (store.RangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return a.store.Range(ctx, get)
}
