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

// inspection answers operators' questions about the scheduler, wherever it runs, as JSON on the metrics address.
type inspection struct{ intake *Intake }

// SchedulerView is who the scheduler is, with its state.
type SchedulerView struct {
	EntryHost fleet.EntryHostID `json:"entry_host"`
	Token     infra.Token       `json:"token"`
	Overview  json.RawMessage   `json:"overview"`
}

func (s inspection) register(r *mux.Router) {
	r.HandleFunc("/v1/scheduler", s.overview).Methods(http.MethodGet)
	r.HandleFunc("/v1/scheduler/workers", s.workers).Methods(http.MethodGet)
	r.HandleFunc("/v1/scheduler/jobs/{job}", s.job).Methods(http.MethodGet)
}

func (s inspection) overview(w http.ResponseWriter, r *http.Request) {
	seat, known := s.intake.seat()
	data, status := s.ask(r.Context(), wire.HostedRequest{Kind: wire.RequestOverview})
	if !known || status != http.StatusOK {
		s.fail(w, status, "no scheduler answers")
		return
	}
	s.write(w, http.StatusOK, SchedulerView{EntryHost: seat.EntryHost, Token: seat.Token, Overview: data})
}

func (s inspection) workers(w http.ResponseWriter, r *http.Request) {
	s.pass(w, r, wire.HostedRequest{Kind: wire.RequestWorkers})
}

func (s inspection) job(w http.ResponseWriter, r *http.Request) {
	s.pass(w, r, wire.HostedRequest{Kind: wire.RequestJobDetails, Job: fleet.JobID(mux.Vars(r)["job"])})
}

func (s inspection) pass(w http.ResponseWriter, r *http.Request, ask wire.HostedRequest) {
	data, status := s.ask(r.Context(), ask)
	switch status {
	case http.StatusOK:
		s.write(w, status, data)
	case http.StatusNotFound:
		s.fail(w, status, "the scheduler knows no such job")
	default:
		s.fail(w, status, "no scheduler answers")
	}
}

// ask returns the scheduler's answer and the HTTP status that it stands for.
func (s inspection) ask(ctx context.Context, ask wire.HostedRequest) (json.RawMessage, int) {
	reply, asked := s.intake.askScheduler(ctx, ask)
	switch {
	case !asked:
		return nil, http.StatusServiceUnavailable
	case reply.Status == wire.ResponseNoJob:
		return nil, http.StatusNotFound
	default:
		return reply.Data, http.StatusOK
	}
}

func (s inspection) fail(w http.ResponseWriter, status int, reason string) {
	s.write(w, status, form.Failure{Error: reason, Outcome: form.OutcomeNotRun})
}

func (s inspection) write(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		s.intake.log.Error("inspect: answer not encoded", "error", err)
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		s.intake.log.Warn("inspect: answer not sent", "error", err)
	}
}

// inspect answers an operators' question from the scheduler's state.
func inspect(m *flow.Machine, ask wire.HostedRequest) wire.HostedResponse {
	var view any
	switch ask.Kind {
	case wire.RequestOverview:
		view = m.Overview()
	case wire.RequestWorkers:
		view = m.Workers()
	default:
		job, found := m.Job(ask.Job)
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
