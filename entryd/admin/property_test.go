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
const bound = 9 * time.Second

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
	Processes int
	Plan      []delivery
	Seed      uint64
	Actions   []action
	// StoreUp keeps the store at the end, with links cut as the actions left them; otherwise a star of links around Centre
	// is the only path.
	StoreUp bool
	Deaf    bool
	Centre  int
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
		Processes: rapid.IntRange(2, len(hosts)).Draw(t, "processes"),
		Plan:      append([]delivery{first, first, first}, rapid.SliceOfN(plan, 0, 2).Draw(t, "plan")...),
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Actions:   rapid.SliceOfN(one, 1, 25).Draw(t, "actions"),
		StoreUp:   rapid.Bool().Draw(t, "store_up"),
		Deaf:      rapid.Bool().Draw(t, "deaf"),
		Centre:    rapid.IntRange(0, len(hosts)-1).Draw(t, "centre"),
	}
}

// fate is what an operator knows of one change.
type fate struct {
	outcome  string
	revision store.Revision
}

// trial runs one scenario and collects what contradicts the guarantees.
type trial struct {
	*cluster
	scenario

	mu     sync.Mutex
	wg     sync.WaitGroup
	next   int
	fates  map[string]fate
	faults []string
}

func (r *trial) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// An accepted change must be in effect everywhere within the bound, no process may go back, no operator may be told
// that a change was made or not made when the opposite is true, and no change may replace one that it was not derived from.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		r := &trial{scenario: s, fates: make(map[string]fate)}
		synctest.Test(t, func(*testing.T) { r.run() })
		if len(r.faults) > 0 {
			rt.Fatal(strings.Join(r.faults, "\n"))
		}
	})
}

func (r *trial) run() {
	r.cluster = newCluster()
	r.mesh.plan, r.mesh.random = r.Plan, rand.New(rand.NewPCG(r.Seed, 1))
	for _, id := range hosts[:r.Processes] {
		r.launch(id)
	}
	time.Sleep(time.Second)
	for _, a := range r.Actions {
		time.Sleep(a.Pause)
		r.act(a)
	}
	r.settle()
	// The first round covers changes accepted before the last fault, the second those that were on their way.
	for range 2 {
		held := r.newest()
		time.Sleep(bound)
		r.checkEffect(held)
		r.wg.Wait()
	}
	r.checkStore()
	r.stop()
}

func (r *trial) launch(id fleet.EntryHostID) {
	n := r.start(id)
	last := make(map[fleet.CustomerID]store.Revision)
	n.admin.Subscribe(func(v config.VersionedDocument) {
		c := v.Document.Customer
		if v.Revision <= last[c] {
			r.fault("%s: %s went from revision %d to %d", id, c, last[c], v.Revision)
		}
		last[c] = v.Revision
	})
}

func (r *trial) act(a action) {
	switch a.Kind {
	case "change":
		r.wg.Go(func() { r.change(a) })
	case "down":
		r.kv.set(func(k *kv) { k.down = a.On })
	case "lose":
		r.kv.set(func(k *kv) { k.lose = a.On })
	case "late":
		r.kv.set(func(k *kv) { k.late = time.Duration(a.Number) * time.Second })
	case "stale":
		r.kv.set(func(k *kv) { k.stale = a.Number })
	case "deaf":
		r.kv.set(func(k *kv) { k.deaf = a.On })
	case "cut":
		r.mesh.setCut(a.Host, a.Other, a.On)
	case "start":
		r.launch(a.Host)
	case "kill":
		r.kill(a.Host)
	}
}

// settle leaves one path: the store, or a star of links.
func (r *trial) settle() {
	r.kv.set(func(k *kv) {
		k.down, k.lose, k.late, k.stale, k.deaf = !r.StoreUp, false, 0, 0, r.Deaf
	})
	if r.StoreUp {
		return
	}
	for i, a := range hosts {
		for j, b := range hosts[:i] {
			r.mesh.setCut(a, b, i != r.Centre && j != r.Centre)
		}
	}
	if r.mesh.node(hosts[r.Centre]) == nil {
		r.launch(hosts[r.Centre])
	}
}

// change amends the customer's answers as one process shows them; an unclear outcome is repeated at another process.
func (r *trial) change(a action) {
	n := r.mesh.node(a.Host)
	if n == nil {
		return
	}
	r.mu.Lock()
	r.next++
	number := r.next
	r.mu.Unlock()
	id := fmt.Sprintf("change-%d", number)
	v, _ := n.admin.View().Customer(a.Customer)
	size := form.Size{MilliCPU: 1, MemoryMiB: 1}
	answers, err := form.Encode(form.Answers{
		Customer: a.Customer, Services: []form.Service{{Name: "s", Replicas: number, DeadlineMS: 1, Size: size}},
	})
	if err != nil {
		r.fault("encode: %v", err)
		return
	}
	request := form.ChangeRequest{BaseRevision: v.Revision, ChangeID: id, Answers: answers}
	// The pause lets another operator amend the same revision.
	time.Sleep(time.Duration(a.Number) * 100 * time.Millisecond)
	result := r.put(n, a.Customer, request, fate{outcome: form.OutcomeNotRun})
	if other := r.mesh.node(a.Other); other != nil && result.outcome == form.OutcomeUnknown {
		result = r.put(other, a.Customer, request, result)
	}
	r.mu.Lock()
	r.fates[id] = result
	r.mu.Unlock()
}

// put sends a change and combines its outcome with that of an earlier attempt: only acceptance or a conflict settles an
// unknown one.
func (r *trial) put(n *node, c fleet.CustomerID, request form.ChangeRequest, earlier fate) fate {
	var answer struct {
		Outcome  string         `json:"outcome"`
		Revision store.Revision `json:"revision"`
	}
	status := call(n, http.MethodPut, "/v1/config/"+string(c), request, &answer)
	switch {
	case status == http.StatusOK:
		return fate{outcome: form.OutcomeAccepted, revision: answer.Revision}
	case status == http.StatusConflict:
		return fate{outcome: form.OutcomeNotRun}
	case status != http.StatusServiceUnavailable:
		r.fault("%s: status %d", request.ChangeID, status)
	case earlier.outcome == form.OutcomeUnknown:
		return earlier
	}
	return fate{outcome: answer.Outcome}
}

// newest returns the newest revision that the remaining path must carry: what the store has, or what a process holds.
func (r *trial) newest() map[fleet.CustomerID]store.Revision {
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

func (r *trial) checkEffect(want map[fleet.CustomerID]store.Revision) {
	for _, id := range r.ids() {
		for c, revision := range want {
			if v, _ := r.mesh.node(id).admin.View().Customer(c); v.Revision < revision {
				r.fault("%s: %s is at revision %d, want %d", id, c, v.Revision, revision)
			}
		}
	}
}

func (r *trial) stored(prefix string) []store.Entry {
	r.kv.mu.Lock()
	defer r.kv.mu.Unlock()
	entries, _ := r.kv.get(store.Get{Key: prefix, Prefix: true}, len(r.kv.log))
	return entries
}

// checkStore compares what operators were told with every write that the store has seen.
func (r *trial) checkStore() {
	written := make(map[string]store.Revision)
	current := make(map[fleet.CustomerID]store.Revision)
	for _, change := range slices.Concat(r.kv.log...) {
		if !strings.HasPrefix(change.Entry.Key, config.HistoryPrefix) {
			continue
		}
		var past config.HistoryRecord
		if err := json.Unmarshal(change.Entry.Value, &past); err != nil {
			r.fault("%s: %v", change.Entry.Key, err)
		}
		c := fleet.CustomerID(strings.Split(change.Entry.Key, "/")[2])
		if past.BaseRevision != current[c] {
			r.fault("%s: derived from revision %d, replaced %d", past.ChangeID, past.BaseRevision, current[c])
		}
		if written[past.ChangeID] != 0 {
			r.fault("%s: written twice", past.ChangeID)
		}
		current[c] = change.Entry.ModRevision
		written[past.ChangeID] = change.Entry.ModRevision
	}
	for id, f := range r.fates {
		if f.outcome == form.OutcomeAccepted && written[id] != f.revision || f.outcome == form.OutcomeNotRun && written[id] != 0 {
			r.fault("%s: reported as %s at revision %d, written at %d", id, f.outcome, f.revision, written[id])
		}
	}
}
