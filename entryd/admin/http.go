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

// maxBodyBytes limits the body of a request; the largest valid set of answers takes about 300 KB.
const maxBodyBytes = 512 << 10

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// Register adds the routes below /v1/config.
func (a *Admin) Register(r *mux.Router) {
	r.HandleFunc("/v1/config", a.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/config/{customer}", a.serveChange).Methods(http.MethodPut)
	r.HandleFunc("/v1/config/{customer}", a.serveCurrent).Methods(http.MethodGet)
	r.HandleFunc("/v1/config/{customer}/history", a.serveHistory).Methods(http.MethodGet)
	r.HandleFunc("/v1/config/{customer}/preview", a.servePreview).Methods(http.MethodPost)
}

// serveChange validates a change, proposes it and writes its outcome.
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

// checkChange validates a change and returns its answers, or the response that rejects it.
func checkChange(customer fleet.CustomerID, request form.ChangeRequest) (form.Answers, *form.ErrorResponse) {
	switch {
	case !changeIDPattern.MatchString(request.ChangeID):
		return form.Answers{}, invalidField("change_id", "1 to 128 letters, digits, dots, colons, hyphens or underscores")
	case request.BaseRevision < 0:
		return form.Answers{}, invalidField("base_revision", "0 for a new customer, or the revision that was amended")
	}
	return checkAnswers(customer, request.Answers)
}

// checkAnswers decodes and validates the answers of a customer.
func checkAnswers(customer fleet.CustomerID, data []byte) (form.Answers, *form.ErrorResponse) {
	answers, err := form.Decode(data)
	invalid := (*form.InvalidError)(nil)
	if errors.As(err, &invalid) {
		return form.Answers{}, &form.ErrorResponse{
			Error: err.Error(), Field: invalid.Problems[0].Field, Outcome: form.OutcomeNotRun, Problems: invalid.Problems,
		}
	}
	if answers.Customer != customer {
		return form.Answers{}, invalidField("customer", fmt.Sprintf("%q as in the path", customer))
	}
	return answers, nil
}

// invalidField returns the response that rejects the value of a field.
func invalidField(field, allowed string) *form.ErrorResponse {
	return &form.ErrorResponse{Error: field + ": want " + allowed, Field: field, Outcome: form.OutcomeNotRun}
}

func writeOutcome(w http.ResponseWriter, c config.Change, answers form.Answers, outcome config.Outcome) {
	switch o := outcome.(type) {
	case config.Accepted:
		writeJSON(w, http.StatusOK, form.ChangeResponse{
			Outcome: form.OutcomeAccepted, Customer: c.Customer, Revision: o.Doc.Revision, Sequence: o.Doc.Sequence,
			ChangeID: c.ID, Document: o.Doc.Document,
		})
	case config.Conflict:
		writeJSON(w, http.StatusConflict, conflictResponse(c, answers, o.Current))
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

// conflictResponse returns the response to a change of an outdated revision, with the differences from the current
// answers.
func conflictResponse(c config.Change, answers form.Answers, current config.VersionedDocument) form.ErrorResponse {
	f := form.ErrorResponse{
		Error:   fmt.Sprintf("base_revision %d is not current: the current revision is %d", c.BaseRevision, current.Revision),
		Field:   "base_revision",
		Outcome: form.OutcomeNotRun, ChangeID: c.ID, Revision: current.Revision, Answers: current.Answers,
	}
	// Answers accepted by an older version of the questionnaire may no longer decode; they are returned without a
	// comparison.
	if stored, err := form.Decode(current.Answers); err == nil {
		f.Differences = form.Diff(stored, answers)
	}
	return f
}

func writeUnavailable(w http.ResponseWriter, changeID, outcome, reason string) {
	w.Header().Set("Retry-After", "3")
	writeJSON(w, http.StatusServiceUnavailable, form.ErrorResponse{Error: reason, Outcome: outcome, ChangeID: changeID})
}

func customerOf(r *http.Request) fleet.CustomerID { return fleet.CustomerID(mux.Vars(r)["customer"]) }

// readBody decodes a JSON body and rejects unknown fields. On an error it responds with status 400 and returns false.
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

// readRange reads from the store within readTimeout.
func (a *Admin) readRange(ctx context.Context, get store.Get) (store.RangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return a.store.Range(ctx, get)
}
