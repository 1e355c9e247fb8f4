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

// maxRequestBytes bounds a command; a renewal may name thousands of tasks.
const maxRequestBytes = 4 << 20

type command struct {
	Epoch      fleet.Epoch    `json:"epoch"`
	Attempt    fleet.Attempt  `json:"attempt"`
	LeaseMS    int64          `json:"lease_ms"`
	Permille   int            `json:"permille"`
	Checkpoint bool           `json:"checkpoint"`
	Tasks      []plat.TaskRef `json:"tasks"`
}

// Handler serves the agents of all workers and the host list.
func (p *Pool) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/hosts", p.handleHosts).Methods(http.MethodGet)
	s := r.PathPrefix("/v1/workers/{worker}").Subrouter()
	s.HandleFunc("/tasks", p.with(handleStart)).Methods(http.MethodPost)
	s.HandleFunc("/renew", p.with(handleRenew)).Methods(http.MethodPost)
	s.HandleFunc("/tasks/{task}/stop", p.with(handleStop)).Methods(http.MethodPost)
	s.HandleFunc("/tasks/{task}/throttle", p.with(handleThrottle)).Methods(http.MethodPost)
	s.HandleFunc("/status", p.with(handleStatus)).Methods(http.MethodGet)
	s.HandleFunc("/ack", p.with(handleAck)).Methods(http.MethodPost)
	return r
}

func (p *Pool) handleHosts(w http.ResponseWriter, _ *http.Request) {
	list, ok := p.hosts(time.Now())
	if !ok {
		http.Error(w, "host list unavailable", http.StatusServiceUnavailable)
		return
	}
	answer(w, http.StatusOK, list)
}

type handler func(k *worker, r *http.Request) (status int, body any, refused *refuse)

// with finds the worker, applies its faults and writes the answer.
func (p *Pool) with(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k := p.workers[fleet.WorkerID(mux.Vars(r)["worker"])]
		if k == nil {
			http.Error(w, "no such worker", http.StatusNotFound)
			return
		}
		dead, paused := k.gate()
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
		status, body, refused := h(k, r)
		k.mu.Lock()
		delay := time.Duration(k.fault.DelayMS) * time.Millisecond
		k.mu.Unlock()
		time.Sleep(delay)
		if refused != nil {
			answer(w, refused.status, map[string]string{"reason": refused.reason})
			return
		}
		answer(w, status, body)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func decode[T any](r *http.Request) (v T, refused *refuse) {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &v)
	}
	if err != nil {
		return v, &refuse{http.StatusBadRequest, err.Error()}
	}
	return v, nil
}

func taskRef(r *http.Request, attempt fleet.Attempt) (plat.TaskRef, *refuse) {
	name, err := unescape(mux.Vars(r)["task"])
	if err != nil {
		return plat.TaskRef{}, &refuse{http.StatusBadRequest, err.Error()}
	}
	return plat.TaskRef{Task: fleet.TaskID(name), Attempt: attempt}, nil
}

func handleStart(k *worker, r *http.Request) (int, any, *refuse) {
	s, refused := decode[plat.StartRequest](r)
	if refused != nil {
		return 0, nil, refused
	}
	status, refused := k.start(s, time.Now())
	return status, struct{}{}, refused
}

func handleRenew(k *worker, r *http.Request) (int, any, *refuse) {
	c, refused := decode[command](r)
	if refused != nil {
		return 0, nil, refused
	}
	lease := time.Duration(c.LeaseMS) * time.Millisecond
	unknown, refused := k.renew(c.Epoch, lease, c.Tasks, time.Now())
	return http.StatusOK, map[string]any{"unknown": unknown}, refused
}

func handleStop(k *worker, r *http.Request) (int, any, *refuse) {
	c, refused := decode[command](r)
	if refused != nil {
		return 0, nil, refused
	}
	ref, refused := taskRef(r, c.Attempt)
	if refused != nil {
		return 0, nil, refused
	}
	status, refused := k.stop(c.Epoch, ref, time.Now())
	if !c.Checkpoint {
		status.Checkpoint = nil
	}
	return http.StatusOK, status, refused
}

func handleThrottle(k *worker, r *http.Request) (int, any, *refuse) {
	c, refused := decode[command](r)
	if refused != nil {
		return 0, nil, refused
	}
	ref, refused := taskRef(r, c.Attempt)
	if refused != nil {
		return 0, nil, refused
	}
	return http.StatusOK, struct{}{}, k.throttle(c.Epoch, ref, c.Permille, time.Now())
}

func handleStatus(k *worker, r *http.Request) (int, any, *refuse) {
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil {
		return 0, nil, &refuse{http.StatusBadRequest, "epoch is not a number"}
	}
	return http.StatusOK, k.status(fleet.Epoch(epoch), time.Now()), nil
}

func handleAck(k *worker, r *http.Request) (int, any, *refuse) {
	c, refused := decode[command](r)
	if refused != nil {
		return 0, nil, refused
	}
	return http.StatusOK, struct{}{}, k.ack(c.Epoch, c.Tasks)
}
