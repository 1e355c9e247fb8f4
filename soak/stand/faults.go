package stand

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"lovagefork.example/platform/kvfake"
	"lovagefork.example/soak/check"
	"lovagefork.example/soak/links"
	"lovagefork.example/soak/plan"
)

// injectAll carries out the faults of the plan at their times, and returns when all have ended.
func (s *soak) injectAll() {
	began := time.Now()
	for _, f := range s.plan.Faults {
		if !s.sleep(time.Until(began.Add(time.Duration(f.AtMS) * time.Millisecond))) {
			return
		}
		s.faults.Go(func() { s.inject(f) })
	}
}

// inject carries out one fault and waits for its end.
func (s *soak) inject(f plan.Fault) {
	text, isPlanned := fmt.Sprintf("%+v", f), f.Kind == plan.HostStop || f.Kind == plan.HostReload
	s.observe(check.FaultBegan{Text: text, IsPlanned: isPlanned})
	defer s.observe(check.FaultEnded{Text: text, IsPlanned: isPlanned})
	switch f.Kind {
	case plan.HostKill, plan.HostStop, plan.HostPause, plan.HostReload:
		s.disturbHosts(f)
	case plan.WorkersRefuse, plan.WorkersReset, plan.WorkersSilent, plan.WorkersOneWay, plan.WorkersDelay,
		plan.WorkerCrash, plan.WorkerDrain:
		s.disturbWorkers(f)
	case plan.WorkersLate:
		s.delayOrders(f)
	case plan.StoreCompact:
		s.store.Compact()
	default:
		end := s.store.Inject(s.storeFault(f))
		s.sleep(f.Duration())
		end()
	}
}

func (s *soak) storeFault(f plan.Fault) kvfake.Fault {
	switch f.Kind {
	case plan.StoreDown:
		return kvfake.Unavailable{PausesLeases: f.PausesLeases}
	case plan.StoreSlow:
		return kvfake.Slow{Delay: f.Delay()}
	case plan.StoreLost:
		return kvfake.LostAnswers{Share: f.Share}
	case plan.StoreLate:
		return kvfake.LateWrites{Share: f.Share, Delay: f.Delay()}
	}
	var names []string
	hosts, _ := s.chooseHosts(f)
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	return kvfake.Excluded{Clients: names, Silent: f.Silent}
}

// chooseHosts returns the hosts of a fault. If the fault asks for the scheduler, its host is the first, and the number of its
// election is returned, or 0 if there is no scheduler.
func (s *soak) chooseHosts(f plan.Fault) (found []*host, term int) {
	for _, index := range s.permutation(len(s.hosts)) {
		found = append(found, s.hosts[index])
	}
	if f.OnLeader {
		var leader *host
		if leader, term = s.scheduler(); leader != nil {
			i := slices.Index(found, leader)
			found[0], found[i] = found[i], found[0]
		}
	}
	return found[:min(f.Count, len(found))], term
}

func (s *soak) disturbHosts(f plan.Fault) {
	hosts, _ := s.chooseHosts(f)
	for _, h := range hosts {
		switch f.Kind {
		case plan.HostKill:
			h.signal(syscall.SIGKILL)
		case plan.HostReload:
			h.signal(syscall.SIGHUP)
		case plan.HostStop:
			s.observe(check.StopRequested{Host: h.Name})
			ended := h.currentEnd()
			h.signal(syscall.SIGTERM)
			select {
			case <-ended:
			case <-time.After(gracePeriod):
				h.signal(syscall.SIGKILL)
			}
			s.sleep(restartDelay)
		case plan.HostPause:
			h.signal(syscall.SIGSTOP)
			s.sleep(f.Duration())
			h.signal(syscall.SIGCONT)
		}
	}
}

// disturbWorkers disturbs some machines, and restores them.
func (s *soak) disturbWorkers(f plan.Fault) {
	machines := s.idleMachines(f.Count)
	for _, m := range machines {
		s.disturb(m, f)
	}
	s.sleep(f.Duration())
	for _, m := range machines {
		s.restore(m, f)
		m.release()
	}
}

// linkMode returns what a fault does to the connections of a worker; nil if it leaves them alone.
func linkMode(f plan.Fault) links.Mode {
	switch f.Kind {
	case plan.WorkersRefuse:
		return links.Refused{}
	case plan.WorkersReset:
		return links.Reset{}
	case plan.WorkersSilent:
		return links.Silent{}
	case plan.WorkersOneWay:
		return links.OneWay{}
	case plan.WorkersDelay:
		return links.Delayed{Delay: f.Delay()}
	}
	return nil
}

func (s *soak) disturb(m *machine, f plan.Fault) {
	if mode := linkMode(f); mode != nil {
		m.worker.CutFromStore(f.CutsStore)
		s.abortOn(m.listener.SetMode(mode))
		return
	}
	switch f.Kind {
	case plan.WorkerDrain:
		m.worker.Drain(f.Duration())
	case plan.WorkerCrash:
		w := m.crash()
		if f.NewID {
			s.faults.Go(func() {
				s.sleep(workerRemovalTime)
				w.Unlist()
			})
		}
	}
}

func (s *soak) restore(m *machine, f plan.Fault) {
	if linkMode(f) != nil {
		s.abortOn(m.listener.SetMode(links.Open{}))
		m.worker.CutFromStore(false)
		return
	}
	switch f.Kind {
	case plan.WorkerDrain:
		m.crash().Unlist()
		s.abortOn(s.boot(m, true))
	case plan.WorkerCrash:
		s.abortOn(s.boot(m, f.NewID))
	}
}
