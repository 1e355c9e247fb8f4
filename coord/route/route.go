package route

import (
	"math"
	"math/rand/v2"
	"time"

	"lovagefork.example/coord/fleet"
)

// Candidate is a backend server and the number of its slots that are free for a request.
type Candidate struct {
	Worker    fleet.WorkerID
	FreeSlots int
}

// Choice is the selected backend server; Reason explains the selection for the log.
type Choice struct {
	Worker fleet.WorkerID
	Reason string
}

// Event is an input of a [Machine].
type Event interface{ event() }

// Observed replaces the list of workers; leaving workers are no longer selected.
type Observed struct{ Workers []fleet.Worker }

// Started reports that a request was sent to a worker.
type Started struct{ Worker fleet.WorkerID }

// Ended reports the end of a request to a worker. Failed counts as a failure of the worker; Ignored excludes the
// request from the statistics.
type Ended struct {
	Worker  fleet.WorkerID
	Latency time.Duration
	Failed  bool
	Ignored bool
}

func (Observed) event() {}
func (Started) event()  {}
func (Ended) event()    {}

// Effect is an output of a [Machine].
type Effect interface{ effect() }

// Ejected reports that a worker gets no requests for the duration For, and afterwards one test request at a time until
// one succeeds.
type Ejected struct {
	Worker fleet.WorkerID
	For    time.Duration
	Reason string
}

// Restored reports that an ejected worker passed its test request.
type Restored struct{ Worker fleet.WorkerID }

func (Ejected) effect()  {}
func (Restored) effect() {}

// Machine is the state machine that selects backend servers for one process. It performs no I/O.
type Machine struct {
	zone           fleet.AvailabilityZone
	policy         Policy
	random         *rand.Rand
	workers        map[fleet.WorkerID]*server
	rotation       int
	typicalLatency time.Duration
}

// server is the state of one worker. latency is the moving average of its responses; typicalLatency of
// [Machine] is that of all workers, in which a sample has a tenth of the weight.
type server struct {
	zone        fleet.AvailabilityZone
	listed      bool
	leaving     bool
	outstanding int
	latency     time.Duration
	sampledAt   time.Time
	health
}

// Option configures a [Machine].
type Option func(*Machine)

// WithPolicy sets the selection policy; the default is [TwoChoices].
func WithPolicy(p Policy) Option { return func(m *Machine) { m.policy = p } }

// New returns a machine for a process in the given zone.
func New(zone fleet.AvailabilityZone, random *rand.Rand, opts ...Option) *Machine {
	m := &Machine{zone: zone, policy: TwoChoices{}, random: random, workers: make(map[fleet.WorkerID]*server)}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Step applies an event and returns its effects.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Observed:
		m.observe(ev.Workers)
	case Started:
		if s := m.workers[ev.Worker]; s != nil {
			s.outstanding++
			s.probing = s.probing || s.ejected
		}
	case Ended:
		return m.ended(now, ev)
	}
	return nil
}

func (m *Machine) observe(workers []fleet.Worker) {
	for _, s := range m.workers {
		s.listed = false
	}
	for _, w := range workers {
		s := m.workers[w.ID]
		if s == nil {
			s = &server{}
			m.workers[w.ID] = s
		}
		s.listed, s.zone, s.leaving = true, w.Zone, w.State == fleet.HostLeaving
	}
	for id, s := range m.workers {
		if !s.listed && s.outstanding == 0 {
			delete(m.workers, id)
		}
	}
}

// latencyWeight is the weight of a new sample in a server's moving average, which covers about the last ten requests.
const latencyWeight = 0.1

func (m *Machine) ended(now time.Time, ev Ended) []Effect {
	s := m.workers[ev.Worker]
	if s == nil {
		return nil
	}
	s.outstanding = max(0, s.outstanding-1)
	if ev.Ignored {
		s.probing = false
		return nil
	}
	if !ev.Failed {
		s.latency = movingAverage(s.expected(now, m.typicalLatency), ev.Latency, latencyWeight)
		s.sampledAt = now
		m.typicalLatency = movingAverage(m.typicalLatency, ev.Latency, latencyWeight/10)
	}
	return m.updateHealth(now, ev, s)
}

func movingAverage(old, sample time.Duration, weight float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(weight*float64(sample-old))
}

// latencyHalfLife is the half-life of a server's deviation from the average of all servers. The decay makes a server
// eligible for selection again whose latency was too high for it to be selected and get new samples.
const latencyHalfLife = 5 * time.Second

// expected returns the server's average latency, which without new samples approaches that of all servers (typical).
func (s *server) expected(now time.Time, typical time.Duration) time.Duration {
	if s.latency == 0 {
		return 0
	}
	age := now.Sub(s.sampledAt).Seconds() / latencyHalfLife.Seconds()
	return typical + time.Duration(float64(s.latency-typical)*math.Exp2(-age))
}

// Eligible reports whether a request may be sent to a worker now: it is listed, not leaving, and not ejected.
func (m *Machine) Eligible(now time.Time, id fleet.WorkerID) bool {
	s := m.workers[id]
	return s != nil && s.listed && !s.leaving && s.accepts(now)
}

// Choose selects one of the eligible candidates with a free slot. Candidates in the zone of this process take
// precedence. It returns false if there is no such candidate.
func (m *Machine) Choose(now time.Time, candidates []Candidate) (Choice, bool) {
	var ownZone, otherZone []Candidate
	for _, c := range candidates {
		switch {
		case c.FreeSlots <= 0 || !m.Eligible(now, c.Worker):
		case m.workers[c.Worker].zone == m.zone:
			ownZone = append(ownZone, c)
		default:
			otherZone = append(otherZone, c)
		}
	}
	switch {
	case len(ownZone) > 0:
		return m.pickByPolicy(now, ownZone, "own zone"), true
	case len(otherZone) > 0:
		return m.pickByPolicy(now, otherZone, "other zone"), true
	}
	return Choice{}, false
}
