package agent

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"time"

	"lovagefork.example/coord/fleet"
)

func unescape(segment string) (string, error) { return url.PathUnescape(segment) }

// Control returns the handler of the control page: GET returns settings and the audit, POST changes settings.
func (p *Pool) Control() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { p.writeReport(w) })
	m.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		if err := p.updateSettings(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.writeReport(w)
	})
	return m
}

func (p *Pool) writeReport(w http.ResponseWriter) {
	p.mu.Lock()
	set := p.settings
	set.Workers = maps.Clone(p.settings.Workers)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Settings Settings `json:"settings"`
		Audit    Audit    `json:"audit"`
	}{set, p.auditor.report()})
}

// updateSettings changes the settings present in the request. The fault of a listed worker is replaced as a whole.
func (p *Pool) updateSettings(r *http.Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.settings
	set.Workers = maps.Clone(p.settings.Workers)
	set.Kinds = KindProperties{}
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	var update struct {
		ListLagMS  *int                           `json:"list_lag_ms"`
		ListOutage *bool                          `json:"list_outage"`
		Kinds      *KindProperties                `json:"pairs"`
		Workers    map[fleet.WorkerID]WorkerFault `json:"workers"`
	}
	if err := dec.Decode(&update); err != nil {
		return err
	}
	for id := range update.Workers {
		if p.workers[id] == nil {
			return fmt.Errorf("no worker %q", id)
		}
	}
	p.applySettings(update.ListLagMS, update.ListOutage, update.Kinds, update.Workers)
	return nil
}

func (p *Pool) applySettings(lag *int, outage *bool, kinds *KindProperties, faults map[fleet.WorkerID]WorkerFault) {
	now := time.Now()
	if lag != nil {
		p.settings.ListLagMS = *lag
	}
	if outage != nil {
		p.settings.ListOutage = *outage
	}
	if kinds != nil {
		p.settings.Kinds = *kinds
		for _, w := range p.workerList {
			w.setKinds(*kinds, now)
		}
	}
	for id, f := range faults {
		p.settings.Workers[id] = f
		p.workers[id].setFault(f, now)
	}
}
