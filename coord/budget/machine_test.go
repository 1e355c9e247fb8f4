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
	// surely is the part of the session that the process counts on.
	surely = 9 * time.Second
)

// process is one entry host in the simulation; it asks for far more calls than any budget allows.
type process struct {
	m          *budget.Machine
	until      time.Time
	pausedTo   time.Time
	blindTo    time.Time
	nextID     uint64
	waiting    map[uint64]int
	queued     [2]int
	countSeen  int
	countReady time.Time
	nextPoll   time.Time
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

func boot(total budget.Rates, roster int) *process {
	return &process{m: budget.New(total, roster), waiting: map[uint64]int{}}
}

// Processes that disagree about how many they are would together exceed the store's rates, and the store would refuse
// the session keepalives among the rest.
func TestSumStaysWithinRates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := budget.Rates{Writes: 300, Reads: 1500}
		roster := rapid.SampledFrom([]int{1, 2, 2, 3, 6, 8}).Draw(t, "roster")
		all := make([]*process, roster)
		leases := make([]time.Time, roster)
		now := time.Unix(1_800_000_000, 0)
		var outageTo, idleTo time.Time
		var window [][2]int
		for range int(60 * time.Second / step) {
			now = now.Add(step)
			outage := now.Before(outageTo)
			switch rapid.IntRange(0, 99).Draw(t, "event") {
			case 0:
				outageTo = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "outage")) * time.Second)
			case 1:
				all[rapid.IntRange(0, roster-1).Draw(t, "killed")] = nil
			case 2, 3, 4, 5, 6, 7, 8:
				if i := rapid.IntRange(0, roster-1).Draw(t, "booted"); all[i] == nil {
					all[i] = boot(total, roster)
				}
			case 9:
				// Processes that ask for nothing save up their burst.
				idleTo = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "idle")) * time.Second)
			case 10, 11:
				// The session is renewed, but the members cannot be read.
				if p := all[rapid.IntRange(0, roster-1).Draw(t, "blind")]; p != nil {
					p.blindTo = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "length")) * time.Second)
				}
			case 12, 13, 14:
				if p := all[rapid.IntRange(0, roster-1).Draw(t, "paused")]; p != nil {
					p.pausedTo = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Second)
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
				if p == nil || now.Before(p.pausedTo) {
					continue
				}
				if !now.Before(idleTo) {
					spent = add(spent, p.fill(now))
				}
				if !outage && !now.Before(p.nextPoll) {
					leases[i], p.until = now.Add(sessionTTL), now.Add(surely)
					p.countSeen = live
					p.countReady = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "read")) * step)
					p.nextPoll = p.countReady.Add(time.Second)
				}
				if !p.countReady.IsZero() && !now.Before(p.countReady) {
					p.countReady = time.Time{}
					spent = add(spent, p.step(now, budget.SessionConfirmed{Until: p.until}))
					if !now.Before(p.blindTo) {
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

// A budget that gives away too little would stop the group commits of a settled process.
func TestSettledProcessGetsItsShare(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := boot(budget.Rates{Writes: 300, Reads: 1500}, 8)
	writes := 0
	for i := range 400 {
		now = now.Add(step)
		spent := add(p.step(now, budget.SessionConfirmed{Until: now.Add(surely)}), p.step(now, budget.MembersCounted{Count: 2}))
		spent = add(spent, p.fill(now))
		if i >= 200 {
			writes += spent[0]
		}
	}
	assert.Assert(t, writes >= 10*100, "%d writes in 10 s", writes)
}

// A keepalive that waits behind recovery reads would let the session lapse after every outage.
func TestUrgentCallsGoFirst(t *testing.T) {
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
