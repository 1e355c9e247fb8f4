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

// Control serves the control page: GET returns settings and the audit, POST changes settings.
func (p *Pool) Control() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { p.report(w) })
	m.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		if err := p.change(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.report(w)
	})
	return m
}

func (p *Pool) report(w http.ResponseWriter) {
	p.mu.Lock()
	set := p.set
	set.Workers = maps.Clone(p.set.Workers)
	p.mu.Unlock()
	answer(w, http.StatusOK, struct {
		Settings Settings `json:"settings"`
		Audit    Audit    `json:"audit"`
	}{set, p.audit.report()})
}

// change merges the request into the settings; the entry of a worker, if given, replaces its former one.
func (p *Pool) change(r *http.Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.set
	set.Workers = maps.Clone(p.set.Workers)
	set.Kinds = KindProperties{}
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	var named struct {
		ListLagMS  *int                           `json:"list_lag_ms"`
		ListOutage *bool                          `json:"list_outage"`
		Pairs      *KindProperties                         `json:"pairs"`
		Workers    map[fleet.WorkerID]WorkerFault `json:"workers"`
	}
	if err := dec.Decode(&named); err != nil {
		return err
	}
	for id := range named.Workers {
		if p.workers[id] == nil {
			return fmt.Errorf("no worker %q", id)
		}
	}
	p.apply(named.ListLagMS, named.ListOutage, named.Pairs, named.Workers)
	return nil
}

func (p *Pool) apply(lag *int, outage *bool, pairs *KindProperties, faults map[fleet.WorkerID]WorkerFault) {
	now := time.Now()
	if lag != nil {
		p.set.ListLagMS = *lag
	}
	if outage != nil {
		p.set.ListOutage = *outage
	}
	if pairs != nil {
		p.set.Kinds = *pairs
		for _, w := range p.order {
			w.setPairs(*pairs, now)
		}
	}
	for id, f := range faults {
		p.set.Workers[id] = f
		p.workers[id].apply(f, now)
	}
}
