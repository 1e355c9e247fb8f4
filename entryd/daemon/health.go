package daemon

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// Health tracks the readiness conditions of the process. The load balancer sends requests only while all are satisfied.
type Health struct {
	mu    sync.Mutex
	unmet map[string]string
}

// NewHealth returns a Health whose unmet conditions are the keys of unmet, with the reasons as values.
func NewHealth(unmet map[string]string) *Health {
	return &Health{unmet: unmet}
}

// Satisfy marks a condition as satisfied.
func (h *Health) Satisfy(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.unmet, name)
}

// Fail marks a condition as unmet for the given reason, even if it was satisfied before.
func (h *Health) Fail(name, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unmet[name] = reason
}

// Ready reports whether all conditions are satisfied, and maps each unmet condition to its reason.
func (h *Health) Ready() (bool, map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reasons := make(map[string]string, len(h.unmet))
	for name, reason := range h.unmet {
		reasons[name] = reason
	}
	return len(reasons) == 0, reasons
}

// Register adds GET /healthz, which always responds with 200, and GET /readyz, which responds with 503 and the reasons
// while a condition is unmet.
func (h *Health) Register(r *mux.Router) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	}).Methods(http.MethodGet)
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready, reasons := h.Ready()
		status := http.StatusOK
		if !ready {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, readinessResponse{Ready: ready, Reasons: reasons})
	}).Methods(http.MethodGet)
}

type readinessResponse struct {
	Ready   bool              `json:"ready"`
	Reasons map[string]string `json:"reasons,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
