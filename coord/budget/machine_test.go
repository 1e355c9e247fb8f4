package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/budget"
)

const (
	step       = 100 * time.Millisecond
	sessionTTL = 10 * time.Second
	// confirmedTTL is the part of the session TTL during which the process is certain to hold the session.
	confirmedTTL = 9 * time.Second
)

// process is one entry process in the simulation. Unless idle, it enqueues far more calls than any budget allows.
type process struct {
	m              *budget.Machine
	until          time.Time
	pausedUntil    time.Time
	readsFailUntil time.Time // until when the process cannot read the members
	nextID         uint64
	waiting        map[uint64]int
	queued         [2]int
	countSeen      int
	countReady     time.Time
	nextPoll       time.Time
}

func (p *process) step(now time.Time, ev budget.Event) (spent [2]int) {
	for _, effect := range p.m.Step(now, ev) {
		if e, ok := effect.(budget.Proceed); ok {
			kind := p.waiting[e.ID]
			spent[kind]++
			p.queued[kind]--
			delete(p.waiting, e.ID)
		}
	}
	return spent
}

// fill keeps more calls of each kind waiting than any budget allows in one step.
func (p *process) fill(now time.Time) (spent [2]int) {
	for kind, limit := range [2]int{40, 160} {
		for p.queued[kind] < limit {
			p.nextID++
			p.waiting[p.nextID] = kind
			p.queued[kind]++
			spent = add(spent, p.step(now, budget.Enqueue{ID: p.nextID, Write: kind == 0, Priority: budget.PriorityLedger}))
		}
	}
	return add(spent, p.step(now, budget.Tick{}))
}

func add(a, b [2]int) [2]int { return [2]int{a[0] + b[0], a[1] + b[1]} }

func newProcess(total budget.Rates, roster int) *process {
	return &process{m: budget.New(total, roster), waiting: map[uint64]int{}}
}

// Guards against exceeding the store's rates: processes with different member counts could together send too many
// calls, and the store would then reject session keepalives as well as other calls.
func TestSumStaysWithinRates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := budget.Rates{Writes: 300, Reads: 1500}
		roster := rapid.SampledFrom([]int{1, 2, 2, 3, 6, 8}).Draw(t, "roster")
		all := make([]*process, roster)
		leases := make([]time.Time, roster)
		now := time.Unix(1_800_000_000, 0)
		var outageUntil, idleUntil time.Time
		var window [][2]int
		for range int(60 * time.Second / step) {
			now = now.Add(step)
			outage := now.Before(outageUntil)
			switch rapid.IntRange(0, 99).Draw(t, "event") {
			case 0:
				outageUntil = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "outage")) * time.Second)
			case 1:
				all[rapid.IntRange(0, roster-1).Draw(t, "killed")] = nil
			case 2, 3, 4, 5, 6, 7, 8:
				if i := rapid.IntRange(0, roster-1).Draw(t, "booted"); all[i] == nil {
					all[i] = newProcess(total, roster)
				}
			case 9:
				// Processes that send no calls fill their buckets up to the burst.
				idleUntil = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "idle")) * time.Second)
			case 10, 11:
				// The process renews its session but cannot read the members.
				if p := all[rapid.IntRange(0, roster-1).Draw(t, "without reads")]; p != nil {
					p.readsFailUntil = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "length")) * time.Second)
				}
			case 12, 13, 14:
				if p := all[rapid.IntRange(0, roster-1).Draw(t, "paused")]; p != nil {
					p.pausedUntil = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Second)
				}
			}
			live := 0
			for _, until := range leases {
				if now.Before(until) {
					live++
				}
			}
			var spent [2]int
			for i, p := range all {
				if p == nil || now.Before(p.pausedUntil) {
					continue
				}
				if !now.Before(idleUntil) {
					spent = add(spent, p.fill(now))
				}
				if !outage && !now.Before(p.nextPoll) {
					leases[i], p.until = now.Add(sessionTTL), now.Add(confirmedTTL)
					p.countSeen = live
					p.countReady = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "read")) * step)
					p.nextPoll = p.countReady.Add(time.Second)
				}
				if !p.countReady.IsZero() && !now.Before(p.countReady) {
					p.countReady = time.Time{}
					spent = add(spent, p.step(now, budget.SessionConfirmed{Until: p.until}))
					if !now.Before(p.readsFailUntil) {
						spent = add(spent, p.step(now, budget.MembersCounted{Count: p.countSeen}))
					}
				}
			}
			window = append(window, spent)
			if len(window) > int(time.Second/step) {
				window = window[1:]
			}
			sum := [2]int{}
			for _, s := range window {
				sum = add(sum, s)
			}
			assert.Assert(t, float64(sum[0]) <= total.Writes && float64(sum[1]) <= total.Reads, "%v in one second", sum)
		}
	})
}

// Guards against too low a share: it would stop the group commits of a settled process.
func TestSettledProcessGetsItsShare(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newProcess(budget.Rates{Writes: 300, Reads: 1500}, 8)
	writes := 0
	for i := range 400 {
		now = now.Add(step)
		spent := add(p.step(now, budget.SessionConfirmed{Until: now.Add(confirmedTTL)}), p.step(now, budget.MembersCounted{Count: 2}))
		spent = add(spent, p.fill(now))
		if i >= 200 {
			writes += spent[0]
		}
	}
	assert.Assert(t, writes >= 10*100, "%d writes in 10 s", writes)
}

// Guards against sessions that expire after each store outage, which happens if keepalives wait behind the reads of
// recovery.
func TestCallsAreSentInPriorityOrder(t *testing.T) {
	m := budget.New(budget.Rates{Writes: 300, Reads: 1500}, 8)
	now := time.Unix(1_800_000_000, 0)
	for i, p := range []budget.Priority{budget.PriorityProbe, budget.PriorityLedger, budget.PriorityClaims, budget.PrioritySession, budget.PrioritySession} {
		m.Step(now, budget.Enqueue{ID: uint64(i), Write: true, Priority: p})
	}
	m.Step(now, budget.Cancel{ID: 4})
	var order []uint64
	for range 40 {
		now = now.Add(step)
		for _, effect := range m.Step(now, budget.Tick{}) {
			if e, ok := effect.(budget.Proceed); ok {
				order = append(order, e.ID)
			}
		}
	}
	assert.DeepEqual(t, order, []uint64{3, 2, 1, 0})
}
