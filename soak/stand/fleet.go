package stand

import (
	"fmt"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/platform/wkfake"
	"lovagefork.example/soak/check"
	"lovagefork.example/soak/links"
	"lovagefork.example/soak/plan"
)

const (
	serviceName = "desk"
	// workerRemovalTime is the time after which the platform removes the entry of a worker that has crashed.
	workerRemovalTime = 3300 * time.Millisecond
)

// workerCapacity is what each worker can carry. A few tasks fill it, so that placement has to wait for ends.
var workerCapacity = fleet.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30}

// machine is a host of workers: one life after another at one address.
type machine struct {
	index    int
	listener *links.Listener

	mu    sync.Mutex
	lives int
	// worker is nil while the machine is down.
	worker *wkfake.Worker
	// isBusy is set while a fault disturbs the machine, so that faults of one machine do not overlap.
	isBusy bool
}

// boot starts a worker on the machine. It has the ID of the one before unless newID is set.
func (s *soak) boot(m *machine, newID bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if newID || m.lives == 0 {
		m.lives++
	}
	listener, err := links.Listen(s.network.address(workersHost, firstWorkerPort+m.index))
	if err != nil {
		return err
	}
	m.listener = listener
	info := infra.Worker{
		ID: fleet.WorkerID(fmt.Sprintf("w%d-%d", m.index, m.lives)), Service: serviceName, Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", m.index%3)),
		Version: "1", Labels: []string{"a", fmt.Sprintf("r%d", m.index/6)}, Capacity: workerCapacity,
	}
	s.observe(check.WorkerJoined{Worker: info.ID, Capacity: workerCapacity})
	m.worker = wkfake.New(info, listener, s.store, func(ev wkfake.Event) { s.observe(check.WorkerSaw{Event: ev}) },
		wkfake.WithClockRate(1-0.02*float64(m.index%3)/2), wkfake.WithSeed(s.plan.Seed+uint64(m.index)),
		wkfake.WithReportTime(time.Duration(s.plan.ReportMS)*time.Millisecond))
	return nil
}

// idleMachines returns up to count machines that are up and not disturbed, and marks them as busy.
func (s *soak) idleMachines(count int) []*machine {
	var found []*machine
	for _, i := range s.permutation(len(s.machines)) {
		m := s.machines[i]
		m.mu.Lock()
		if len(found) < count && !m.isBusy && m.worker != nil {
			m.isBusy = true
			found = append(found, m)
		}
		m.mu.Unlock()
	}
	return found
}

// delayOrders makes the workers of some machines carry orders out late for a time, whatever else happens to them meanwhile.
func (s *soak) delayOrders(f plan.Fault) {
	chosen := s.permutation(len(s.machines))[:min(f.Count, len(s.machines))]
	for deadline := time.Now().Add(f.Duration()); time.Now().Before(deadline) && s.sleep(checkInterval); {
		for _, i := range chosen {
			s.machines[i].setLateOrders(f.Share, f.Delay())
		}
	}
	for _, i := range chosen {
		s.machines[i].setLateOrders(0, 0)
	}
}

func (m *machine) setLateOrders(share float64, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.worker != nil {
		m.worker.SetLateOrders(share, delay)
	}
}

func (m *machine) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isBusy = false
}

// crash ends the worker of a machine without notice and returns it.
func (m *machine) crash() *wkfake.Worker {
	m.mu.Lock()
	w := m.worker
	m.worker = nil
	m.mu.Unlock()
	w.Crash()
	return w
}
