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

// bound is the time within which an accepted configuration must be in effect everywhere.
const convergenceBound = 9 * time.Second

var (
	hosts     = []fleet.EntryHostID{"e0", "e1", "e2", "e3", "e4"}
	customers = []fleet.CustomerID{"acme", "globex"}
)

// action is one thing that happens in a scenario, after a pause.
type action struct {
	Pause    time.Duration
	Kind     string
	Host     fleet.EntryHostID
	Other    fleet.EntryHostID
	Customer fleet.CustomerID
	Number   int
	On       bool
}

// scenario is a series of faults and changes, and the state of store and links that stays at the end.
type scenario struct {
	Processes  int
	Deliveries []delivery
	Seed       uint64
	Actions    []action
	// StoreUp keeps the store at the end, with links cut as the actions left them; otherwise a star of links around Centre
	// is the only path.
	StoreUp      bool
	WatchStalled bool
	StarCentre   int
}

func drawScenario(t *rapid.T) scenario {
	one := rapid.Custom(func(t *rapid.T) action {
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
	plan := rapid.Custom(func(t *rapid.T) delivery {
		return delivery{
			Copies: rapid.IntRange(0, 2).Draw(t, "copies"),
			Delay:  time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond,
		}
	})
	// At most two of five messages are lost on average.
	first := delivery{Copies: 1, Delay: 4 * time.Millisecond}
	return scenario{
		Processes:    rapid.IntRange(2, len(hosts)).Draw(t, "processes"),
		Deliveries:   append([]delivery{first, first, first}, rapid.SliceOfN(plan, 0, 2).Draw(t, "plan")...),
		Seed:         rapid.Uint64().Draw(t, "seed"),
		Actions:      rapid.SliceOfN(one, 1, 25).Draw(t, "actions"),
		StoreUp:      rapid.Bool().Draw(t, "store_up"),
		WatchStalled: rapid.Bool().Draw(t, "deaf"),
		StarCentre:   rapid.IntRange(0, len(hosts)-1).Draw(t, "centre"),
	}
}

// fate is what an operator knows of one change.
type changeResult struct {
	outcome  string
	revision store.Revision
}

// trial runs one scenario and collects what contradicts the guarantees.
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

// An accepted change must be in effect everywhere within the bound, no process may go back, no operator may be told
// that a change was made or not made when the opposite is true, and no change may replace one that it was not derived from.
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
	r.mesh.deliveries, r.mesh.random = r.Deliveries, rand.New(rand.NewPCG(r.Seed, 1))
	for _, id := range hosts[:r.Processes] {
		r.startProcess(id)
	}
	time.Sleep(time.Second)
	for _, a := range r.Actions {
		time.Sleep(a.Pause)
		r.apply(a)
	}
	r.endFaults()
	// The first round covers changes accepted before the last fault, the second those that were on their way.
	for range 2 {
		held := r.requiredRevisions()
		time.Sleep(convergenceBound)
		r.checkInEffect(held)
		r.wg.Wait()
	}
	r.checkHistory()
	r.stop()
}

func (r *simulation) startProcess(id fleet.EntryHostID) {
	n := r.start(id)
	last := make(map[fleet.CustomerID]store.Revision)
	n.admin.Subscribe(func(v config.Versioned) {
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
		r.store.set(func(k *fakeStore) { k.down = a.On })
	case "lose":
		r.store.set(func(k *fakeStore) { k.loseResponses = a.On })
	case "late":
		r.store.set(func(k *fakeStore) { k.commitDelay = time.Duration(a.Number) * time.Second })
	case "stale":
		r.store.set(func(k *fakeStore) { k.readLag = a.Number })
	case "deaf":
		r.store.set(func(k *fakeStore) { k.watchStalled = a.On })
	case "cut":
		r.mesh.setCut(a.Host, a.Other, a.On)
	case "start":
		r.startProcess(a.Host)
	case "kill":
		r.kill(a.Host)
	}
}

// settle leaves one path: the store, or a star of links.
func (r *simulation) endFaults() {
	r.store.set(func(k *fakeStore) {
		k.down, k.loseResponses, k.commitDelay, k.readLag, k.watchStalled = !r.StoreUp, false, 0, 0, r.WatchStalled
	})
	if r.StoreUp {
		return
	}
	for i, a := range hosts {
		for j, b := range hosts[:i] {
			r.mesh.setCut(a, b, i != r.StarCentre && j != r.StarCentre)
		}
	}
	if r.mesh.node(hosts[r.StarCentre]) == nil {
		r.startProcess(hosts[r.StarCentre])
	}
}

// change amends the customer's answers as one process shows them; an unclear outcome is repeated at another process.
func (r *simulation) proposeChange(a action) {
	n := r.mesh.node(a.Host)
	if n == nil {
		return
	}
	r.mu.Lock()
	r.changeCount++
	number := r.changeCount
	r.mu.Unlock()
	id := fmt.Sprintf("change-%d", number)
	v, _ := n.admin.View().Customer(a.Customer)
	size := form.Size{MilliCPU: 1, MemoryMiB: 1}
	answers, err := form.Encode(form.Answers{
		Customer: a.Customer, Services: []form.Service{{Name: "s", Replicas: number, DeadlineMS: 1, Size: size}},
	})
	if err != nil {
		r.violation("encode: %v", err)
		return
	}
	request := form.ChangeRequest{BaseRevision: v.Revision, ChangeID: id, Answers: answers}
	// The pause lets another operator amend the same revision.
	time.Sleep(time.Duration(a.Number) * 100 * time.Millisecond)
	result := r.sendChange(n, a.Customer, request, changeResult{outcome: form.OutcomeNotRun})
	if other := r.mesh.node(a.Other); other != nil && result.outcome == form.OutcomeUnknown {
		result = r.sendChange(other, a.Customer, request, result)
	}
	r.mu.Lock()
	r.results[id] = result
	r.mu.Unlock()
}

// put sends a change and combines its outcome with that of an earlier attempt: only acceptance or a conflict settles an
// unknown one.
func (r *simulation) sendChange(n *node, c fleet.CustomerID, request form.ChangeRequest, earlier changeResult) changeResult {
	var answer struct {
		Outcome  string         `json:"outcome"`
		Revision store.Revision `json:"revision"`
	}
	status := call(n, http.MethodPut, "/v1/config/"+string(c), request, &answer)
	switch {
	case status == http.StatusOK:
		return changeResult{outcome: form.OutcomeAccepted, revision: answer.Revision}
	case status == http.StatusConflict:
		return changeResult{outcome: form.OutcomeNotRun}
	case status != http.StatusServiceUnavailable:
		r.violation("%s: status %d", request.ChangeID, status)
	case earlier.outcome == form.OutcomeUnknown:
		return earlier
	}
	return changeResult{outcome: answer.Outcome}
}

// newest returns the newest revision that the remaining path must carry: what the store has, or what a process holds.
func (r *simulation) requiredRevisions() map[fleet.CustomerID]store.Revision {
	newest := make(map[fleet.CustomerID]store.Revision)
	for _, id := range r.ids() {
		for _, v := range r.mesh.node(id).admin.View().All() {
			c := v.Document.Customer
			newest[c] = max(newest[c], v.Revision)
		}
	}
	if !r.StoreUp {
		return newest
	}
	for _, e := range r.stored(config.CustomersPrefix) {
		newest[fleet.CustomerID(strings.TrimPrefix(e.Key, config.CustomersPrefix))] = e.ModRevision
	}
	return newest
}

func (r *simulation) checkInEffect(want map[fleet.CustomerID]store.Revision) {
	for _, id := range r.ids() {
		for c, revision := range want {
			if v, _ := r.mesh.node(id).admin.View().Customer(c); v.Revision < revision {
				r.violation("%s: %s is at revision %d, want %d", id, c, v.Revision, revision)
			}
		}
	}
}

func (r *simulation) stored(prefix string) []store.Entry {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	entries, _ := r.store.entriesAt(store.Get{Key: prefix, Prefix: true}, len(r.store.log))
	return entries
}

// checkStore compares what operators were told with every write that the store has seen.
func (r *simulation) checkHistory() {
	written := make(map[string]store.Revision)
	current := make(map[fleet.CustomerID]store.Revision)
	for _, change := range slices.Concat(r.store.log...) {
		if !strings.HasPrefix(change.Entry.Key, config.HistoryPrefix) {
			continue
		}
		var past config.Past
		if err := json.Unmarshal(change.Entry.Value, &past); err != nil {
			r.violation("%s: %v", change.Entry.Key, err)
		}
		c := fleet.CustomerID(strings.Split(change.Entry.Key, "/")[2])
		if past.Base != current[c] {
			r.violation("%s: derived from revision %d, replaced %d", past.ChangeID, past.Base, current[c])
		}
		if written[past.ChangeID] != 0 {
			r.violation("%s: written twice", past.ChangeID)
		}
		current[c] = change.Entry.ModRevision
		written[past.ChangeID] = change.Entry.ModRevision
	}
	for id, f := range r.results {
		if f.outcome == form.OutcomeAccepted && written[id] != f.revision || f.outcome == form.OutcomeNotRun && written[id] != 0 {
			r.violation("%s: reported as %s at revision %d, written at %d", id, f.outcome, f.revision, written[id])
		}
	}
}
