package stand

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/platform"
	"lovagefork.example/platform/wkfake"
	"lovagefork.example/soak/check"
	"lovagefork.example/soak/links"
	"lovagefork.example/soak/plan"
)

const (
	serviceName = "desk"
	// workerRemovalTime is the time after which the platform removes the entry of a worker that has crashed.
	workerRemovalTime = 3300 * time.Millisecond
	// recentReturn is the time after its return for which a worker counts as one that has crashed.
	recentReturn = 2 * time.Second
)

// workerCapacity is what each worker can carry. A few tasks fill it, so that placement has to wait for ends.
var workerCapacity = fleet.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30}

// machine is a host of workers: one life after another at one address.
type machine struct {
	index int

	mu       sync.Mutex
	listener *links.Listener
	lives    int
	// worker is nil while the machine is down.
	worker *wkfake.Worker
	// isLost is set once the machine is down for good.
	isLost bool
	// isDark is set while the machine is down and its listener goes on.
	isDark bool
	// returnedAt is when a worker has returned last after a crash.
	returnedAt time.Time
	// pending are the late calls of all lives.
	pending wkfake.Pending
	// effects are those of the faults in force.
	effects []*effect
}

// effect is what a fault does to a machine while it lasts.
type effect struct {
	fault plan.Fault
	// worker is the one that a drain or a crash has met.
	worker *wkfake.Worker
	// isAnnounced is set once the store has the notice of a drain.
	isAnnounced bool
	// isAimed is set if the machine was a target when the fault began, and isStruck once the fault has met its worker.
	isAimed  bool
	isStruck bool
}

// boot starts a worker on the machine, which the faults in force meet too. It has the ID of the one before unless newID is set.
func (s *soak) boot(m *machine, newID bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if newID || m.lives == 0 {
		m.lives++
	}
	if !m.isDark {
		listener, err := links.Listen(s.network.address(workersHost, firstWorkerPort+m.index), links.WithLinks(s.links.of))
		if err != nil {
			return err
		}
		m.listener = listener
	}
	m.isDark = false
	// The first connections meet the faults too.
	if err := m.listener.SetMode(links.Strongest(m.modes()...)); err != nil {
		return err
	}
	info := infra.Worker{
		ID: fleet.WorkerID(fmt.Sprintf("w%d-%d", m.index, m.lives)), Service: serviceName, Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", m.index%3)),
		Version: "1", Labels: []string{"a", fmt.Sprintf("r%d", m.index/6)}, Capacity: workerCapacity,
	}
	opts := []wkfake.Option{
		wkfake.WithClockRate(1 - 0.02*float64(m.index%3)/2), wkfake.WithSeed(s.plan.Seed + uint64(m.index)),
		wkfake.WithReportTime(time.Duration(s.plan.ReportMS) * time.Millisecond), wkfake.WithPending(&m.pending),
	}
	if m.isCutFromStore() {
		opts = append(opts, wkfake.WithoutStore())
	}
	s.observe(check.WorkerJoined{Worker: info.ID, Capacity: workerCapacity, Labels: info.Labels})
	m.worker = wkfake.New(info, m.listener, s.store, func(ev wkfake.Event) { s.workerSaw(m, ev) }, opts...)
	return m.apply()
}

// workerSaw passes on what the worker of a machine has seen.
func (s *soak) workerSaw(m *machine, ev wkfake.Event) {
	s.observe(check.WorkerSaw{Event: ev})
	if _, isNotice := ev.(wkfake.Draining); isNotice {
		m.noteDrain()
	}
}

// noteDrain marks the drains of the present worker as announced.
func (m *machine) noteDrain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.effects {
		if e.fault.Kind == plan.WorkerDrain && e.worker == m.worker {
			e.isAnnounced = true
		}
	}
}

// modes returns what the faults in force do to the links of the machine.
func (m *machine) modes() (out []links.Mode) {
	for _, e := range m.effects {
		if mode := linkMode(e.fault); mode != nil {
			out = append(out, mode)
		}
	}
	return out
}

func (m *machine) isCutFromStore() bool {
	return slices.ContainsFunc(m.effects, func(e *effect) bool { return e.fault.CutsStore })
}

// apply makes the worker and its links follow the faults in force. The worker is cut off from the store before its links change.
func (m *machine) apply() error {
	if m.worker != nil {
		m.worker.CutFromStore(m.isCutFromStore())
		var late plan.Fault
		for _, e := range m.effects {
			if e.fault.Kind == plan.WorkersLate {
				late = e.fault
			}
		}
		m.worker.SetLateOrders(late.Share, late.Delay(), late.MaxDelay())
	}
	return m.listener.SetMode(links.Strongest(m.modes()...))
}

// isDisturbed reports whether a fault of a kind disturbs the machine. A worker drains from its notice until it has gone, and one
// that has crashed is disturbed until some time after its return.
func (m *machine) isDisturbed(kind plan.Kind) bool {
	if kind == plan.WorkerCrash && time.Since(m.returnedAt) < recentReturn {
		return true
	}
	return slices.ContainsFunc(m.effects, func(e *effect) bool {
		switch {
		case e.fault.Kind != kind:
			return false
		case kind == plan.WorkerDrain:
			return e.isAnnounced && e.worker == m.worker
		}
		return true
	})
}

// isStruck reports whether a fault in force meets the present worker. Crashes and losses are noted where they are caused.
func (m *machine) isStruck(e *effect) bool {
	switch {
	case !e.isAimed || e.fault.Kind == plan.WorkerCrash || e.fault.Kind == plan.WorkerLoss:
		return false
	case e.fault.Kind == plan.WorkerDrain:
		return e.isAnnounced
	case m.worker == nil:
		return false
	}
	mode := linkMode(e.fault)
	return mode == nil || m.listener.Mode() == mode
}

// NotRestoredError reports a machine that is still disturbed after all faults have ended.
type NotRestoredError struct {
	Machine int
	Reason  string
}

// Error returns the number of the machine and what is wrong with it.
func (e *NotRestoredError) Error() string {
	return fmt.Sprintf("machine %d is not restored: %s", e.Machine, e.Reason)
}

// checkRestored returns a [*NotRestoredError] if a machine is disturbed although no fault is in force.
func (s *soak) checkRestored() error {
	for _, m := range s.machines {
		m.mu.Lock()
		reason := ""
		switch {
		case len(m.effects) > 0:
			reason = fmt.Sprintf("%d faults are in force", len(m.effects))
		case m.isLost:
		case m.worker == nil:
			reason = "it is down"
		case m.listener.Mode() != links.Mode(links.Open{}):
			reason = fmt.Sprintf("its links are %T", m.listener.Mode())
		case !s.store.Has(platform.WorkersPrefix + string(m.worker.ID())):
			reason = "its worker is not registered"
		}
		m.mu.Unlock()
		if reason != "" {
			return &NotRestoredError{Machine: m.index, Reason: reason}
		}
	}
	return nil
}

// isTarget reports whether a fault may disturb the machine.
func (m *machine) isTarget(f plan.Fault) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case f.Among != "" && !m.isDisturbed(f.Among):
		return false
	case f.Kind == plan.WorkerDrain && m.isDisturbed(plan.WorkerDrain):
		return false
	}
	// The links of a machine that is down meet its next worker.
	return m.worker != nil || f.Among == plan.WorkerCrash && f.Kind != plan.WorkerCrash && f.Kind != plan.WorkerDrain && f.Kind != plan.WorkerLoss
}

// chooseMachines returns up to as many machines as a fault disturbs.
func (s *soak) chooseMachines(f plan.Fault) (found []*machine) {
	count := f.Count
	if f.Kind == plan.WorkerLoss {
		count = min(count, s.spareMachines())
	}
	for _, i := range s.permutation(len(s.machines)) {
		if m := s.machines[i]; len(found) < count && m.isTarget(f) {
			found = append(found, m)
		}
	}
	return found
}

// spareMachines returns how many machines may be lost so that half of them remain.
func (s *soak) spareMachines() int {
	spare := len(s.machines) / 2
	for _, m := range s.machines {
		m.mu.Lock()
		if m.isLost {
			spare--
		}
		m.mu.Unlock()
	}
	return max(0, spare)
}

// crash ends the worker of a machine without notice and returns it. It returns nil if another fault has ended it. Calls to a dark
// machine wait for its next worker.
func (m *machine) crash(isDark bool) *wkfake.Worker {
	m.mu.Lock()
	w := m.worker
	m.worker, m.isDark = nil, m.isDark || w != nil && isDark
	m.mu.Unlock()
	switch {
	case w == nil:
	case isDark:
		w.CrashDark()
	default:
		w.Crash()
	}
	return w
}
