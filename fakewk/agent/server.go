package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// maxRequestBytes is the maximum size of a request body; a renewal can list thousands of tasks.
const maxRequestBytes = 4 << 20

// command is the body of every request but a start; each request uses some of its fields.
type command struct {
	Epoch      fleet.Epoch    `json:"epoch"`
	Attempt    fleet.Attempt  `json:"attempt"`
	LeaseMS    int64          `json:"lease_ms"`
	Permille   int            `json:"permille"`
	Checkpoint bool           `json:"checkpoint"`
	Tasks      []plat.TaskRef `json:"tasks"`
}

// Handler returns the handler of the host list and of the agents of all workers.
func (p *Pool) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/hosts", p.handleHosts).Methods(http.MethodGet)
	s := r.PathPrefix("/v1/workers/{worker}").Subrouter()
	s.HandleFunc("/tasks", p.forWorker(handleStart)).Methods(http.MethodPost)
	s.HandleFunc("/renew", p.forWorker(handleRenew)).Methods(http.MethodPost)
	s.HandleFunc("/tasks/{task}/stop", p.forWorker(handleStop)).Methods(http.MethodPost)
	s.HandleFunc("/tasks/{task}/throttle", p.forWorker(handleThrottle)).Methods(http.MethodPost)
	s.HandleFunc("/status", p.forWorker(handleStatus)).Methods(http.MethodGet)
	s.HandleFunc("/ack", p.forWorker(handleAck)).Methods(http.MethodPost)
	return r
}

func (p *Pool) handleHosts(w http.ResponseWriter, _ *http.Request) {
	list, ok := p.hosts(time.Now())
	if !ok {
		http.Error(w, "host list unavailable", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

type handler func(wk *worker, r *http.Request) (status int, body any, refused *refusal)

// forWorker returns a handler that looks up the worker, applies its faults, runs h and writes the response.
func (p *Pool) forWorker(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		wk := p.workers[fleet.WorkerID(mux.Vars(r)["worker"])]
		if wk == nil {
			http.Error(w, "no such worker", http.StatusNotFound)
			return
		}
		dead, paused := wk.availability()
		if dead {
			panic(http.ErrAbortHandler)
		}
		if paused != nil {
			select {
			case <-paused:
			case <-r.Context().Done():
				return
			}
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		status, body, refused := h(wk, r)
		wk.mu.Lock()
		delay := time.Duration(wk.fault.DelayMS) * time.Millisecond
		wk.mu.Unlock()
		time.Sleep(delay)
		if refused != nil {
			writeJSON(w, refused.status, map[string]string{"reason": refused.reason})
			return
		}
		writeJSON(w, status, body)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func decode[T any](r *http.Request) (v T, refused *refusal) {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &v)
	}
	if err != nil {
		return v, &refusal{http.StatusBadRequest, err.Error()}
	}
	return v, nil
}

func taskRef(r *http.Request, attempt fleet.Attempt) (plat.TaskRef, *refusal) {
	name, err := unescape(mux.Vars(r)["task"])
	if err != nil {
		return plat.TaskRef{}, &refusal{http.StatusBadRequest, err.Error()}
	}
	return plat.TaskRef{Task: fleet.TaskID(name), Attempt: attempt}, nil
}

func handleStart(wk *worker, r *http.Request) (int, any, *refusal) {
	s, refused := decode[plat.StartRequest](r)
	if refused != nil {
		return 0, nil, refused
	}
	status, refused := wk.start(s, time.Now())
	return status, struct{}{}, refused
}

func handleRenew(wk *worker, r *http.Request) (int, any, *refusal) {
	c, refused := decode[command](r)
	if refused != nil {
		return 0, nil, refused
	}
	lease := time.Duration(c.LeaseMS) * time.Millisecond
	unknown, refused := wk.renew(c.Epoch, lease, c.Tasks, time.Now())
	return http.StatusOK, map[string]any{"unknown": unknown}, refused
}

func handleStop(wk *worker, r *http.Request) (int, any, *refusal) {
	c, refused := decode[command](r)
	if refused != nil {
		return 0, nil, refused
	}
	ref, refused := taskRef(r, c.Attempt)
	if refused != nil {
		return 0, nil, refused
	}
	status, refused := wk.stop(c.Epoch, ref, time.Now())
	if !c.Checkpoint {
		status.Checkpoint = nil
	}
	return http.StatusOK, status, refused
}

func handleThrottle(wk *worker, r *http.Request) (int, any, *refusal) {
	c, refused := decode[command](r)
	if refused != nil {
		return 0, nil, refused
	}
	ref, refused := taskRef(r, c.Attempt)
	if refused != nil {
		return 0, nil, refused
	}
	return http.StatusOK, struct{}{}, wk.throttle(c.Epoch, ref, c.Permille, time.Now())
}

func handleStatus(wk *worker, r *http.Request) (int, any, *refusal) {
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil {
		return 0, nil, &refusal{http.StatusBadRequest, "epoch is not a number"}
	}
	return http.StatusOK, wk.status(fleet.Epoch(epoch), time.Now()), nil
}

func handleAck(wk *worker, r *http.Request) (int, any, *refusal) {
	c, refused := decode[command](r)
	if refused != nil {
		return 0, nil, refused
	}
	return http.StatusOK, struct{}{}, wk.ack(c.Epoch, c.Tasks)
}
