package admin_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/form"
	"lovagefork.example/coord/store"
)

// convergenceBound is the time within which an accepted change must be in effect in every process.
const convergenceBound = 9 * time.Second

var (
	hosts     = []fleet.EntryHostID{"e0", "e1", "e2", "e3", "e4"}
	customers = []fleet.CustomerID{"acme", "globex"}
)

// action is a step of a scenario: a change of the configuration or of the faults, after a pause.
type action struct {
	Pause    time.Duration
	Kind     string
	Host     fleet.EntryHostID
	Other    fleet.EntryHostID
	Customer fleet.CustomerID
	Number   int
	On       bool
}

// scenario is a sequence of actions, and the state of the store and the links after them.
type scenario struct {
	Processes  int
	Deliveries []delivery
	Seed       uint64
	Actions    []action
	// StoreUp leaves the store available at the end, and the links as the actions left them. Otherwise the store is
	// down and each process has only a link to the one at index StarCentre.
	StoreUp      bool
	WatchStalled bool
	StarCentre   int
}

func drawScenario(t *rapid.T) scenario {
	genAction := rapid.Custom(func(t *rapid.T) action {
		return action{
			Pause:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
			Kind:     rapid.SampledFrom([]string{"change", "change", "change", "change", "down", "lose", "late", "stale", "deaf", "cut", "start", "kill"}).Draw(t, "kind"),
			Host:     rapid.SampledFrom(hosts).Draw(t, "host"),
			Other:    rapid.SampledFrom(hosts).Draw(t, "other"),
			Customer: rapid.SampledFrom(customers).Draw(t, "customer"),
			Number:   rapid.IntRange(0, 5).Draw(t, "number"),
			On:       rapid.Bool().Draw(t, "on"),
		}
	})
	genDelivery := rapid.Custom(func(t *rapid.T) delivery {
		return delivery{
			Copies: rapid.IntRange(0, 2).Draw(t, "copies"),
			Delay:  time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond,
		}
	})
	// Three of at most five deliveries are reliable, so that at most 40% of the messages are lost on average.
	reliable := delivery{Copies: 1, Delay: 4 * time.Millisecond}
	return scenario{
		Processes:    rapid.IntRange(2, len(hosts)).Draw(t, "processes"),
		Deliveries:   append([]delivery{reliable, reliable, reliable}, rapid.SliceOfN(genDelivery, 0, 2).Draw(t, "plan")...),
		Seed:         rapid.Uint64().Draw(t, "seed"),
		Actions:      rapid.SliceOfN(genAction, 1, 25).Draw(t, "actions"),
		StoreUp:      rapid.Bool().Draw(t, "store_up"),
		WatchStalled: rapid.Bool().Draw(t, "deaf"),
		StarCentre:   rapid.IntRange(0, len(hosts)-1).Draw(t, "centre"),
	}
}

// changeResult is the outcome of a change as reported to the operator, with the revision of an accepted one.
type changeResult struct {
	outcome  string
	revision store.Revision
}

// simulation runs a scenario and collects violations of the guarantees.
type simulation struct {
	*cluster
	scenario

	mu          sync.Mutex
	wg          sync.WaitGroup
	changeCount int
	results     map[string]changeResult
	violations  []string
}

func (r *simulation) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Guards the guarantees of configuration changes under faults of the store, links and processes: an accepted change is
// in effect in every process within the bound, no process returns to an older revision, a reported outcome matches the
// store, and no change overwrites a revision that it was not derived from.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		r := &simulation{scenario: s, results: make(map[string]changeResult)}
		synctest.Test(t, func(*testing.T) { r.run() })
		if len(r.violations) > 0 {
			rt.Fatal(strings.Join(r.violations, "\n"))
		}
	})
}

func (r *simulation) run() {
	r.cluster = newCluster()
	r.mesh.deliveries, r.mesh.rng = r.Deliveries, rand.New(rand.NewPCG(r.Seed, 1))
	for _, id := range hosts[:r.Processes] {
		r.startProcess(id)
	}
	time.Sleep(time.Second)
	for _, a := range r.Actions {
		time.Sleep(a.Pause)
		r.apply(a)
	}
	r.endFaults()
	// The first round covers changes accepted before the last fault, the second those still in progress then.
	for range 2 {
		required := r.requiredRevisions()
		time.Sleep(convergenceBound)
		r.checkInEffect(required)
		r.wg.Wait()
	}
	r.checkHistory()
	r.stop()
}

// startProcess starts a process and reports a violation if a document returns to an older revision.
func (r *simulation) startProcess(id fleet.EntryHostID) {
	p := r.start(id)
	last := make(map[fleet.CustomerID]store.Revision)
	p.admin.Subscribe(func(v config.VersionedDocument) {
		c := v.Document.Customer
		if v.Revision <= last[c] {
			r.violation("%s: %s went from revision %d to %d", id, c, last[c], v.Revision)
		}
		last[c] = v.Revision
	})
}

func (r *simulation) apply(a action) {
	switch a.Kind {
	case "change":
		r.wg.Go(func() { r.proposeChange(a) })
	case "down":
		r.store.set(func(s *fakeStore) { s.down = a.On })
	case "lose":
		r.store.set(func(s *fakeStore) { s.loseResponses = a.On })
	case "late":
		r.store.set(func(s *fakeStore) { s.commitDelay = time.Duration(a.Number) * time.Second })
	case "stale":
		r.store.set(func(s *fakeStore) { s.readLag = a.Number })
	case "deaf":
		r.store.set(func(s *fakeStore) { s.watchStalled = a.On })
	case "cut":
		r.mesh.setCut(a.Host, a.Other, a.On)
	case "start":
		r.startProcess(a.Host)
	case "kill":
		r.kill(a.Host)
	}
}

// endFaults ends all faults except those of the final state, which leaves the store or a star of links as the only
// path.
func (r *simulation) endFaults() {
	r.store.set(func(s *fakeStore) {
		s.down, s.loseResponses, s.commitDelay, s.readLag, s.watchStalled = !r.StoreUp, false, 0, 0, r.WatchStalled
	})
	if r.StoreUp {
		return
	}
	for i, a := range hosts {
		for j, b := range hosts[:i] {
			r.mesh.setCut(a, b, i != r.StarCentre && j != r.StarCentre)
		}
	}
	if r.mesh.processOn(hosts[r.StarCentre]) == nil {
		r.startProcess(hosts[r.StarCentre])
	}
}

// proposeChange changes the customer's current answers at one process. If the outcome is unknown, it repeats the change
// at another process.
func (r *simulation) proposeChange(a action) {
	p := r.mesh.processOn(a.Host)
	if p == nil {
		return
	}
	r.mu.Lock()
	r.changeCount++
	number := r.changeCount
	r.mu.Unlock()
	id := fmt.Sprintf("change-%d", number)
	v, _ := p.admin.View().Customer(a.Customer)
	size := form.Size{MilliCPU: 1, MemoryMiB: 1}
	answers, err := form.Encode(form.Answers{
		Customer: a.Customer, Services: []form.Service{{Name: "s", Replicas: number, DeadlineMS: 1, Size: size}},
	})
	if err != nil {
		r.violation("encode: %v", err)
		return
	}
	request := form.ChangeRequest{BaseRevision: v.Revision, ChangeID: id, Answers: answers}
	// During the pause another operator may change the same revision.
	time.Sleep(time.Duration(a.Number) * 100 * time.Millisecond)
	result := r.sendChange(p, a.Customer, request, changeResult{outcome: form.OutcomeNotRun})
	if other := r.mesh.processOn(a.Other); other != nil && result.outcome == form.OutcomeUnknown {
		result = r.sendChange(other, a.Customer, request, result)
	}
	r.mu.Lock()
	r.results[id] = result
	r.mu.Unlock()
}

// sendChange sends a change and combines its outcome with that of an earlier attempt: only acceptance or a conflict
// resolves an unknown outcome.
func (r *simulation) sendChange(p *process, c fleet.CustomerID, request form.ChangeRequest, earlier changeResult) changeResult {
	var response struct {
		Outcome  string         `json:"outcome"`
		Revision store.Revision `json:"revision"`
	}
	status := call(p, http.MethodPut, "/v1/config/"+string(c), request, &response)
	switch {
	case status == http.StatusOK:
		return changeResult{outcome: form.OutcomeAccepted, revision: response.Revision}
	case status == http.StatusConflict:
		return changeResult{outcome: form.OutcomeNotRun}
	case status != http.StatusServiceUnavailable:
		r.violation("%s: status %d", request.ChangeID, status)
	case earlier.outcome == form.OutcomeUnknown:
		return earlier
	}
	return changeResult{outcome: response.Outcome}
}

// requiredRevisions returns the newest revision of each customer's document in any process and, if it is up, in the
// store. Every process must reach it.
func (r *simulation) requiredRevisions() map[fleet.CustomerID]store.Revision {
	required := make(map[fleet.CustomerID]store.Revision)
	for _, id := range r.ids() {
		for _, v := range r.mesh.processOn(id).admin.View().All() {
			c := v.Document.Customer
			required[c] = max(required[c], v.Revision)
		}
	}
	if !r.StoreUp {
		return required
	}
	for _, e := range r.stored(config.CustomersPrefix) {
		required[fleet.CustomerID(strings.TrimPrefix(e.Key, config.CustomersPrefix))] = e.ModRevision
	}
	return required
}

// checkInEffect checks that every process has at least the given revisions.
func (r *simulation) checkInEffect(want map[fleet.CustomerID]store.Revision) {
	for _, id := range r.ids() {
		for c, revision := range want {
			if v, _ := r.mesh.processOn(id).admin.View().Customer(c); v.Revision < revision {
				r.violation("%s: %s is at revision %d, want %d", id, c, v.Revision, revision)
			}
		}
	}
}

// stored returns the current entries of the store below a prefix.
func (r *simulation) stored(prefix string) []store.Entry {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	entries, _ := r.store.entriesAt(store.Get{Key: prefix, Prefix: true}, len(r.store.log))
	return entries
}

// checkHistory checks every history entry ever written against the base revision of its change and the reported
// outcome.
func (r *simulation) checkHistory() {
	written := make(map[string]store.Revision)
	current := make(map[fleet.CustomerID]store.Revision)
	for _, change := range slices.Concat(r.store.log...) {
		if !strings.HasPrefix(change.Entry.Key, config.HistoryPrefix) {
			continue
		}
		var record config.HistoryRecord
		if err := json.Unmarshal(change.Entry.Value, &record); err != nil {
			r.violation("%s: %v", change.Entry.Key, err)
		}
		c := fleet.CustomerID(strings.Split(change.Entry.Key, "/")[2])
		if record.BaseRevision != current[c] {
			r.violation("%s: derived from revision %d, replaced %d", record.ChangeID, record.BaseRevision, current[c])
		}
		if written[record.ChangeID] != 0 {
			r.violation("%s: written twice", record.ChangeID)
		}
		current[c] = change.Entry.ModRevision
		written[record.ChangeID] = change.Entry.ModRevision
	}
	for id, f := range r.results {
		if f.outcome == form.OutcomeAccepted && written[id] != f.revision || f.outcome == form.OutcomeNotRun && written[id] != 0 {
			r.violation("%s: reported as %s at revision %d, written at %d", id, f.outcome, f.revision, written[id])
		}
	}
}
