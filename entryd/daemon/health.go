package daemon

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// Health collects the conditions of readiness; the load balancer sends requests only while all of them hold.
type Health struct {
	mu      sync.Mutex
	pending map[string]string
}

// NewHealth returns a health with the given conditions still unmet, each with its reason.
func NewHealth(pending map[string]string) *Health {
	return &Health{pending: pending}
}

// Meet marks a condition as met.
func (h *Health) Satisfy(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, name)
}

// Fail marks a condition as unmet for the given reason.
func (h *Health) Fail(name, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[name] = reason
}

// Ready reports whether all conditions hold, and otherwise the reasons by condition.
func (h *Health) Ready() (bool, map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reasons := make(map[string]string, len(h.pending))
	for name, reason := range h.pending {
		reasons[name] = reason
	}
	return len(reasons) == 0, reasons
}

// Register adds GET /healthz, which answers while the process serves, and GET /readyz.
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
		writeJSON(w, status, readiness{Ready: ready, Reasons: reasons})
	}).Methods(http.MethodGet)
}

type readiness struct {
	Ready   bool              `json:"ready"`
	Reasons map[string]string `json:"reasons,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
