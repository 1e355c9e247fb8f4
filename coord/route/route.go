package route

import (
	"math"
	"math/rand/v2"
	"time"

	"lovagefork.example/coord/fleet"
)

// Candidate is a backend server that could take a request now.
type Candidate struct {
	Worker    fleet.WorkerID
	FreeSlots int
}

// Choice is the selected backend server and the reason for the log.
type Choice struct {
	Worker fleet.WorkerID
	Reason string
}

// Event is an input of a [Machine].
type Event interface{ event() }

// Observed replaces the known workers; leaving ones are no longer selected.
type Observed struct{ Workers []fleet.Worker }

// Started tells that a request was sent to a worker.
type Started struct{ Worker fleet.WorkerID }

// Ended tells how a request to a worker ended; Failed counts against the worker, Ignored counts neither way.
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

// Ejected tells that a worker gets no requests for a time, except for single ones that test it afterwards.
type Ejected struct {
	Worker fleet.WorkerID
	For    time.Duration
	Reason string
}

// Restored tells that an ejected worker answered again.
type Restored struct{ Worker fleet.WorkerID }

func (Ejected) effect()  {}
func (Restored) effect() {}

// Machine is the reducer for the selection of backend servers by one process.
type Machine struct {
	zone    fleet.AvailabilityZone
	policy  Policy
	random  *rand.Rand
	workers map[fleet.WorkerID]*server
	turn    int
	typical time.Duration
}

type server struct {
	zone        fleet.AvailabilityZone
	known       bool
	leaving     bool
	outstanding int
	latency     time.Duration
	sampled     time.Time
	health
}

// Option changes a [Machine] under construction.
type Option func(*Machine)

// WithPolicy sets the selection; the default is [TwoChoices].
func WithPolicy(p Policy) Option { return func(m *Machine) { m.policy = p } }

// New returns a machine for a process in the given zone.
func New(zone fleet.AvailabilityZone, random *rand.Rand, opts ...Option) *Machine {
	m := &Machine{zone: zone, policy: TwoChoices{}, random: random, workers: make(map[fleet.WorkerID]*server)}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Step applies an event.
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
		s.known = false
	}
	for _, w := range workers {
		s := m.workers[w.ID]
		if s == nil {
			s = &server{}
			m.workers[w.ID] = s
		}
		s.known, s.zone, s.leaving = true, w.Zone, w.State == fleet.HostLeaving
	}
	for id, s := range m.workers {
		if !s.known && s.outstanding == 0 {
			delete(m.workers, id)
		}
	}
}

// latencyWeight is the weight of a new sample in the moving average, about the last ten requests.
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
		s.latency = average(s.expected(now, m.typical), ev.Latency, latencyWeight)
		s.sampled = now
		m.typical = average(m.typical, ev.Latency, latencyWeight/10)
	}
	return m.judge(now, ev, s)
}

func average(old, sample time.Duration, weight float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(weight*float64(sample-old))
}

// latencyHalfLife lets a server that looks slow, and so is never chosen, be tried again.
const latencyHalfLife = 5 * time.Second

// expected returns the average latency; without new samples it approaches the typical one.
func (s *server) expected(now time.Time, typical time.Duration) time.Duration {
	if s.latency == 0 {
		return 0
	}
	age := now.Sub(s.sampled).Seconds() / latencyHalfLife.Seconds()
	return typical + time.Duration(float64(s.latency-typical)*math.Exp2(-age))
}

// Eligible reports whether a worker may get a request now: known, not leaving, and not ejected.
func (m *Machine) Eligible(now time.Time, id fleet.WorkerID) bool {
	s := m.workers[id]
	return s != nil && s.known && !s.leaving && s.open(now)
}

// Choose selects one of the candidates; own-zone candidates come first. It returns false if none is eligible.
func (m *Machine) Choose(now time.Time, candidates []Candidate) (Choice, bool) {
	var near, far []Candidate
	for _, c := range candidates {
		switch {
		case c.FreeSlots <= 0 || !m.Eligible(now, c.Worker):
		case m.workers[c.Worker].zone == m.zone:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	switch {
	case len(near) > 0:
		return m.pick(now, near, "own zone"), true
	case len(far) > 0:
		return m.pick(now, far, "other zone"), true
	}
	return Choice{}, false
}
