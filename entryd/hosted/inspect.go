package hosted

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/form"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/wire"
)

// inspector serves the state of the scheduler to operators as JSON on the metrics address. It forwards queries to the
// process that is the scheduler.
type inspector struct{ intake *Intake }

// SchedulerView identifies the scheduler and contains an overview of its state.
type SchedulerView struct {
	EntryHost fleet.EntryHostID `json:"entry_host"`
	Token     infra.Token       `json:"token"`
	Overview  json.RawMessage   `json:"overview"`
}

func (i inspector) register(r *mux.Router) {
	r.HandleFunc("/v1/scheduler", i.overview).Methods(http.MethodGet)
	r.HandleFunc("/v1/scheduler/workers", i.workers).Methods(http.MethodGet)
	r.HandleFunc("/v1/scheduler/jobs/{job}", i.job).Methods(http.MethodGet)
}

func (i inspector) overview(w http.ResponseWriter, r *http.Request) {
	elected, known := i.intake.currentLeader()
	data, status := i.query(r.Context(), wire.HostedRequest{Kind: wire.RequestOverview})
	if !known || status != http.StatusOK {
		i.writeError(w, status, "no scheduler answers")
		return
	}
	i.writeJSON(w, http.StatusOK, SchedulerView{EntryHost: elected.EntryHost, Token: elected.Token, Overview: data})
}

func (i inspector) workers(w http.ResponseWriter, r *http.Request) {
	i.forward(w, r, wire.HostedRequest{Kind: wire.RequestWorkers})
}

func (i inspector) job(w http.ResponseWriter, r *http.Request) {
	i.forward(w, r, wire.HostedRequest{Kind: wire.RequestJobDetails, Job: fleet.JobID(mux.Vars(r)["job"])})
}

func (i inspector) forward(w http.ResponseWriter, r *http.Request, req wire.HostedRequest) {
	data, status := i.query(r.Context(), req)
	switch status {
	case http.StatusOK:
		i.writeJSON(w, status, data)
	case http.StatusNotFound:
		i.writeError(w, status, "the scheduler knows no such job")
	default:
		i.writeError(w, status, "no scheduler answers")
	}
}

// query returns the scheduler's response and the corresponding HTTP status.
func (i inspector) query(ctx context.Context, req wire.HostedRequest) (json.RawMessage, int) {
	resp, answered := i.intake.queryScheduler(ctx, req)
	switch {
	case !answered:
		return nil, http.StatusServiceUnavailable
	case resp.Status == wire.ResponseNoJob:
		return nil, http.StatusNotFound
	default:
		return resp.Data, http.StatusOK
	}
}

func (i inspector) writeError(w http.ResponseWriter, status int, reason string) {
	i.writeJSON(w, status, form.ErrorResponse{Error: reason, Outcome: form.OutcomeNotRun})
}

func (i inspector) writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		i.intake.log.Error("inspect: cannot encode the response", "error", err)
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		i.intake.log.Warn("inspect: cannot send the response", "error", err)
	}
}

// schedulerView answers an operator's query from the scheduler's state.
func schedulerView(m *flow.Machine, req wire.HostedRequest) wire.HostedResponse {
	var view any
	switch req.Kind {
	case wire.RequestOverview:
		view = m.Overview()
	case wire.RequestWorkers:
		view = m.Workers()
	default:
		job, found := m.Job(req.Job)
		if !found {
			return wire.HostedResponse{Status: wire.ResponseNoJob}
		}
		view = job
	}
	data, err := json.Marshal(view)
	if err != nil {
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: err.Error()}
	}
	return wire.HostedResponse{Status: wire.ResponseOK, Data: data}
}
