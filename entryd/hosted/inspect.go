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
type inspector struct{ intake *Intake }

// SchedulerView is who the scheduler is, with its state.
type SchedulerView struct {
	EntryHost fleet.EntryHostID `json:"entry_host"`
	Token     infra.Token       `json:"token"`
	Overview  json.RawMessage   `json:"overview"`
}

func (s inspector) register(r *mux.Router) {
	r.HandleFunc("/v1/scheduler", s.overview).Methods(http.MethodGet)
	r.HandleFunc("/v1/scheduler/workers", s.workers).Methods(http.MethodGet)
	r.HandleFunc("/v1/scheduler/jobs/{job}", s.job).Methods(http.MethodGet)
}

func (s inspector) overview(w http.ResponseWriter, r *http.Request) {
	seat, known := s.intake.currentLeader()
	data, status := s.query(r.Context(), wire.Ask{Kind: wire.AskOverview})
	if !known || status != http.StatusOK {
		s.writeError(w, status, "no scheduler answers")
		return
	}
	s.writeJSON(w, http.StatusOK, SchedulerView{EntryHost: seat.EntryHost, Token: seat.Token, Overview: data})
}

func (s inspector) workers(w http.ResponseWriter, r *http.Request) {
	s.forward(w, r, wire.Ask{Kind: wire.AskWorkers})
}

func (s inspector) job(w http.ResponseWriter, r *http.Request) {
	s.forward(w, r, wire.Ask{Kind: wire.AskJob, Job: fleet.JobID(mux.Vars(r)["job"])})
}

func (s inspector) forward(w http.ResponseWriter, r *http.Request, ask wire.Ask) {
	data, status := s.query(r.Context(), ask)
	switch status {
	case http.StatusOK:
		s.writeJSON(w, status, data)
	case http.StatusNotFound:
		s.writeError(w, status, "the scheduler knows no such job")
	default:
		s.writeError(w, status, "no scheduler answers")
	}
}

// ask returns the scheduler's answer and the HTTP status that it stands for.
func (s inspector) query(ctx context.Context, ask wire.Ask) (json.RawMessage, int) {
	reply, asked := s.intake.queryScheduler(ctx, ask)
	switch {
	case !asked:
		return nil, http.StatusServiceUnavailable
	case reply.Status == wire.ReplyNone:
		return nil, http.StatusNotFound
	default:
		return reply.Data, http.StatusOK
	}
}

func (s inspector) writeError(w http.ResponseWriter, status int, reason string) {
	s.writeJSON(w, status, form.Failure{Error: reason, Outcome: form.OutcomeNotRun})
}

func (s inspector) writeJSON(w http.ResponseWriter, status int, body any) {
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
func schedulerView(m *flow.Machine, ask wire.Ask) wire.Reply {
	var view any
	switch ask.Kind {
	case wire.AskOverview:
		view = m.Overview()
	case wire.AskWorkers:
		view = m.Workers()
	default:
		job, found := m.Job(ask.Job)
		if !found {
			return wire.Reply{Status: wire.ReplyNone}
		}
		view = job
	}
	data, err := json.Marshal(view)
	if err != nil {
		return wire.Reply{Status: wire.ReplyNotRun, Reason: err.Error()}
	}
	return wire.Reply{Status: wire.ReplyOK, Data: data}
}
