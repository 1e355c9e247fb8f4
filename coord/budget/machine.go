package budget

import (
	"time"
)

const (
	// reservedFraction is the fraction of the rates that is reserved for processes that the others may not have counted
	// yet. It is divided equally among the entry hosts of the roster.
	reservedFraction = 0.2
	// burstFraction is the fraction of one second's calls that may be sent at once. The steady rate is lower by that
	// fraction, so that the calls of no second exceed the share.
	burstFraction = 0.1
	// maxCountAge is the maximum age of a member count; an older one is not used.
	maxCountAge = 3 * time.Second
	// settleTime is how long a process that has joined uses only its part of the reserved rates. All others have counted
	// it by then: to maxCountAge it adds one second for a slow read of the members, and another one because the store's
	// rates apply to any interval of one second.
	settleTime = maxCountAge + 2*time.Second
	// holdTime is the delay after which a lower member count raises the rate. A process whose session has expired keeps
	// its share for the same time, so that a short store outage changes no rate.
	holdTime = 10 * time.Second
	// maxWaiting bounds the number of waiting calls of one process.
	maxWaiting = 4096
)

// Machine is the state machine for the budget of one process. It is not safe for concurrent use.
//
// The following rules keep the sum over all processes within the rates. A process whose session is older than
// settleTime uses 1/n of the unreserved part of the rates, where n is the highest member count within holdTime, or the
// number of entry hosts in the roster if the last count is older than maxCountAge. Any other process uses 1/roster of
// the reserved part.
type Machine struct {
	total  Rates
	roster int

	joinedAt     time.Time
	sessionUntil time.Time
	settledUntil time.Time // set to the end of a settled session plus holdTime
	counts       []memberCount
	writes       bucket
	reads        bucket
	waiting      int
}

type memberCount struct {
	at    time.Time
	count int
}

// bucket is the token bucket for reads or for writes, with its waiting calls by priority.
type bucket struct {
	tokens     float64
	rate       float64
	burst      float64
	refilledAt time.Time
	queues     [numPriorities][]uint64
}

// New returns the budget of a process that has no session yet; roster is the number of entry hosts in the settings.
func New(total Rates, roster int) *Machine {
	return &Machine{total: total, roster: max(1, roster)}
}

// Step applies one event and returns the effects that the caller must carry out. The time now must not decrease.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.refill(now)
	var out []Effect
	switch ev := ev.(type) {
	case MembersCounted:
		m.addCount(now, ev.Count)
	case SessionConfirmed:
		m.confirmSession(now, ev.Until)
	case Enqueue:
		out = m.enqueue(ev)
	case Cancel:
		m.cancel(ev.ID)
	case Tick:
	}
	m.refill(now)
	return m.admit(now, out)
}

// Share returns the rates, in calls per second, that this process may use at now.
func (m *Machine) Share(now time.Time) Rates {
	part := reservedFraction / float64(m.roster)
	if m.settled(now) {
		part = (1 - reservedFraction) / float64(m.divisor(now))
	}
	return Rates{Writes: m.total.Writes * part, Reads: m.total.Reads * part}
}

// settled reports whether this process uses a part of the unreserved rates instead of its part of the reserved ones.
func (m *Machine) settled(now time.Time) bool {
	joined := now.Before(m.sessionUntil) && now.Sub(m.joinedAt) >= settleTime
	return joined || now.Before(m.settledUntil)
}

// divisor returns the number of processes by which the unreserved part of the rates is divided.
func (m *Machine) divisor(now time.Time) int {
	last := len(m.counts) - 1
	if last < 0 || now.Sub(m.counts[last].at) > maxCountAge {
		return m.roster
	}
	n := 1
	for i, c := range m.counts {
		replacedAt := now
		if i < last {
			replacedAt = m.counts[i+1].at
		}
		if i == last || now.Sub(replacedAt) < holdTime {
			n = max(n, c.count)
		}
	}
	return n
}

func (m *Machine) confirmSession(now, until time.Time) {
	if !now.Before(m.sessionUntil) {
		m.joinedAt = now
	}
	m.sessionUntil = until
	if now.Before(until) && now.Sub(m.joinedAt) >= settleTime {
		m.settledUntil = until.Add(holdTime)
	}
}

func (m *Machine) addCount(now time.Time, count int) {
	m.counts = append(m.counts, memberCount{now, count})
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

func (m *Machine) enqueue(ev Enqueue) []Effect {
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

// refill adds tokens for the time since the last refill. It uses the lower of the rates at the start and at the end of
// that interval, because the share may have dropped in between without an event.
func (b *bucket) refill(now time.Time, share float64) {
	burst := max(1, share*burstFraction)
	rate := max(share-burst, share/2)
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens += now.Sub(b.refilledAt).Seconds() * min(rate, b.rate)
	}
	b.refilledAt, b.rate, b.burst = now, rate, burst
	b.tokens = min(b.tokens, burst)
}

// admit appends a [Proceed] to out for each waiting call that gets a token, and a [Wake] for the next one.
func (m *Machine) admit(now time.Time, out []Effect) []Effect {
	var wake time.Time
	for _, b := range []*bucket{&m.writes, &m.reads} {
		for b.tokens >= 1 {
			id, ok := b.pop()
			if !ok {
				break
			}
			b.tokens--
			m.waiting--
			out = append(out, Proceed{id})
		}
		if at, ok := b.nextTokenAt(now); ok && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	if !wake.IsZero() {
		out = append(out, Wake{wake})
	}
	return out
}

func (b *bucket) pop() (uint64, bool) {
	for p, q := range b.queues {
		if len(q) > 0 {
			b.queues[p] = q[1:]
			return q[0], true
		}
	}
	return 0, false
}

// nextTokenAt returns when the next waiting call gets a token at the current rate, and false if no call waits.
func (b *bucket) nextTokenAt(now time.Time) (time.Time, bool) {
	for _, q := range b.queues {
		if len(q) > 0 {
			wait := (1 - b.tokens) / b.rate
			return now.Add(time.Duration(wait*float64(time.Second)) + time.Microsecond), true
		}
	}
	return time.Time{}, false
}
