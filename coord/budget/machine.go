package budget

import (
	"time"
)

const (
	// reservedShare of the rates belongs to processes that the others may not count yet, divided by the roster.
	reservedShare = 0.2
	// burstShare of a second's calls may go at once; the steady rate is lower by it, so that no second exceeds the share.
	burstShare = 0.1
	// learnTime is the age at which a count of members is no longer trusted.
	learnTime = 3 * time.Second
	// settleTime is how long a process that joined keeps to the reserve. All others have counted it by then: it adds a
	// second for a slow read of the members, and one because the store's rates hold for any second.
	settleTime = learnTime + 2*time.Second
	// holdTime is how long a lower count waits before it raises the rate. A process whose session lapsed keeps its share
	// for as long, so that a short store outage changes no rate.
	holdTime = 10 * time.Second
	// maxWaiting bounds the calls that wait in one process.
	maxWaiting = 4096
)

// Machine is the budget of one process.
//
// The sum over all processes stays within the rates under these rules. A process whose session is older than the settle
// time spends 1/n of the shared part, where n is the highest count of members seen in the hold time, and 1/roster if the
// last count is too old. Any other process spends 1/roster of the reserved part.
type Machine struct {
	total  Rates
	roster int

	joinedAt     time.Time
	sessionUntil time.Time
	settledUntil time.Time
	counts       []countAt
	writes       bucket
	reads        bucket
	waiting      int
}

type countAt struct {
	at    time.Time
	count int
}

// bucket holds the tokens of one kind of call and the calls that wait for one, by priority.
type bucket struct {
	tokens float64
	rate   float64
	burst  float64
	filled time.Time
	queues [priorities][]uint64
}

// New returns the budget of a process that has no session yet; roster is the number of entry hosts in the settings.
func New(total Rates, roster int) *Machine {
	return &Machine{total: total, roster: max(1, roster)}
}

// Step applies one event; now never decreases.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.refill(now)
	var out []Effect
	switch ev := ev.(type) {
	case MembersCounted:
		m.members(now, ev.Count)
	case SessionConfirmed:
		m.held(now, ev.Until)
	case Enqueue:
		out = m.ask(ev)
	case Cancel:
		m.cancel(ev.ID)
	case Tick:
	}
	m.refill(now)
	return m.release(now, out)
}

// Share returns the calls a second that this process may spend at a time.
func (m *Machine) Share(now time.Time) Rates {
	part := reservedShare / float64(m.roster)
	if m.settled(now) {
		part = (1 - reservedShare) / float64(m.divisor(now))
	}
	return Rates{Writes: m.total.Writes * part, Reads: m.total.Reads * part}
}

func (m *Machine) settled(now time.Time) bool {
	held := now.Before(m.sessionUntil) && now.Sub(m.joinedAt) >= settleTime
	return held || now.Before(m.settledUntil)
}

func (m *Machine) divisor(now time.Time) int {
	last := len(m.counts) - 1
	if last < 0 || now.Sub(m.counts[last].at) > learnTime {
		return m.roster
	}
	n := 1
	for i, c := range m.counts {
		held := now
		if i < last {
			held = m.counts[i+1].at
		}
		if i == last || now.Sub(held) < holdTime {
			n = max(n, c.count)
		}
	}
	return n
}

func (m *Machine) held(now, until time.Time) {
	if !now.Before(m.sessionUntil) {
		m.joinedAt = now
	}
	m.sessionUntil = until
	if now.Before(until) && now.Sub(m.joinedAt) >= settleTime {
		m.settledUntil = until.Add(holdTime)
	}
}

func (m *Machine) members(now time.Time, count int) {
	m.counts = append(m.counts, countAt{now, count})
	for len(m.counts) > 1 && now.Sub(m.counts[1].at) >= holdTime {
		m.counts = m.counts[1:]
	}
}

func (m *Machine) bucket(write bool) *bucket {
	if write {
		return &m.writes
	}
	return &m.reads
}

func (m *Machine) ask(ev Enqueue) []Effect {
	if m.waiting >= maxWaiting && ev.Priority > PriorityClaims {
		return []Effect{Reject{ev.ID}}
	}
	b := m.bucket(ev.Write)
	p := min(ev.Priority, PriorityProbe)
	b.queues[p] = append(b.queues[p], ev.ID)
	m.waiting++
	return nil
}

func (m *Machine) cancel(id uint64) {
	for _, b := range []*bucket{&m.writes, &m.reads} {
		for p, q := range b.queues {
			for i, waiting := range q {
				if waiting == id {
					b.queues[p] = append(q[:i:i], q[i+1:]...)
					m.waiting--
					return
				}
			}
		}
	}
}

func (m *Machine) refill(now time.Time) {
	share := m.Share(now)
	m.writes.refill(now, share.Writes)
	m.reads.refill(now, share.Reads)
}

// refill adds the tokens since the last call at the lower of the rates at its ends, because the share may have dropped
// in between without an event.
func (b *bucket) refill(now time.Time, share float64) {
	burst := max(1, share*burstShare)
	rate := max(share-burst, share/2)
	if !b.filled.IsZero() && now.After(b.filled) {
		b.tokens += now.Sub(b.filled).Seconds() * min(rate, b.rate)
	}
	b.filled, b.rate, b.burst = now, rate, burst
	b.tokens = min(b.tokens, burst)
}

func (m *Machine) release(now time.Time, out []Effect) []Effect {
	var wake time.Time
	for _, b := range []*bucket{&m.writes, &m.reads} {
		for b.tokens >= 1 {
			id, ok := b.next()
			if !ok {
				break
			}
			b.tokens--
			m.waiting--
			out = append(out, Proceed{id})
		}
		if at, ok := b.nextAt(now); ok && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	if !wake.IsZero() {
		out = append(out, Wake{wake})
	}
	return out
}

func (b *bucket) next() (uint64, bool) {
	for p, q := range b.queues {
		if len(q) > 0 {
			b.queues[p] = q[1:]
			return q[0], true
		}
	}
	return 0, false
}

// nextAt is when the next waiting call gets a token at the present rate.
func (b *bucket) nextAt(now time.Time) (time.Time, bool) {
	for _, q := range b.queues {
		if len(q) > 0 {
			wait := (1 - b.tokens) / b.rate
			return now.Add(time.Duration(wait*float64(time.Second)) + time.Microsecond), true
		}
	}
	return time.Time{}, false
}
