package stand

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"lovagefork.example/platform/kvfake"
	"lovagefork.example/platform/wkfake"
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
	if f.Kind.DisturbsWorkers() {
		s.disturbWorkers(f)
		return
	}
	switch f.Kind {
	case plan.HostKill, plan.HostStop, plan.HostPause, plan.HostReload, plan.HostLoss, plan.HostDark:
		s.disturbHosts(f)
	case plan.StoreExcludes:
		s.excludeHosts(f)
	case plan.StoreCompact:
		s.store.Compact()
		s.noteStrike(strike{kind: f.Kind, aimed: 1, struck: 1})
	default:
		s.noteStrike(strike{kind: f.Kind, aimed: 1, struck: min(1, s.disturbStore(f, storeFault(f)))})
	}
}

// disturbStore puts a fault of the store into force for its time, and returns how many calls it has met.
func (s *soak) disturbStore(f plan.Fault, injected kvfake.Fault) (met int) {
	end := s.store.Inject(injected)
	s.sleep(f.Duration())
	return end()
}

func storeFault(f plan.Fault) kvfake.Fault {
	switch f.Kind {
	case plan.StoreDown:
		return kvfake.Unavailable{PausesLeases: f.PausesLeases}
	case plan.StoreSlow:
		return kvfake.Slow{Delay: f.Delay()}
	case plan.StoreLost:
		return kvfake.LostAnswers{Share: f.Share}
	case plan.StoreLate:
		return kvfake.LateWrites{Share: f.Share, Delay: f.Delay()}
	case plan.StoreWatchLag:
		return kvfake.WatchLag{Delay: f.Delay()}
	}
	panic("not a fault of the store: " + f.Kind)
}

// excludeHosts keeps some hosts from the store.
func (s *soak) excludeHosts(f plan.Fault) {
	hosts, term := s.chooseHosts(f)
	var names []string
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	began := time.Since(s.began)
	met := s.disturbStore(f, kvfake.Excluded{Clients: names, Silent: f.Silent})
	s.noteHosts(f, began, term, slices.Repeat([]bool{met > 0}, len(hosts)))
}

// chooseHosts returns the hosts of a fault. If the fault asks for the scheduler, its host is the first, and the number of its
// election is returned, or 0 if there is no scheduler.
func (s *soak) chooseHosts(f plan.Fault) (found []*host, term int) {
	present := s.presentHosts()
	if f.Group > 0 {
		present = slices.DeleteFunc(present, func(h *host) bool { return h.group != f.Group })
	}
	for _, index := range s.permutation(len(present)) {
		found = append(found, present[index])
	}
	if f.OnLeader {
		var leader *host
		if leader, term = s.scheduler(); leader != nil {
			if i := slices.Index(found, leader); i >= 0 {
				found[0], found[i] = found[i], found[0]
			} else {
				term = 0
			}
		}
	}
	return found[:min(f.Count, len(found))], term
}

func (s *soak) disturbHosts(f plan.Fault) {
	hosts, term := s.chooseHosts(f)
	began := time.Since(s.began)
	isStruck := make([]bool, len(hosts))
	var disturbed sync.WaitGroup
	for i, h := range hosts {
		disturbed.Go(func() { isStruck[i] = s.disturbHost(h, f) })
	}
	disturbed.Wait()
	s.noteHosts(f, began, term, isStruck)
}

// disturbHost carries out a fault on a host, and reports whether its process ran.
func (s *soak) disturbHost(h *host, f plan.Fault) bool {
	switch f.Kind {
	case plan.HostKill:
		return h.kill(f.Duration())
	case plan.HostReload:
		return h.signal(syscall.SIGHUP)
	case plan.HostLoss:
		return s.loseHost(h, f.Duration())
	case plan.HostStop:
		s.observe(check.StopRequested{Host: h.Name})
		ended := h.currentEnd()
		isStruck := h.signal(syscall.SIGTERM)
		select {
		case <-ended:
		case <-time.After(gracePeriod):
			h.signal(syscall.SIGKILL)
		}
		s.sleep(restartDelay)
		return isStruck
	}
	life := h.currentLife()
	isStruck := h.signal(syscall.SIGSTOP)
	s.sleep(f.Duration())
	switch {
	case f.Kind == plan.HostPause:
		h.signal(syscall.SIGCONT)
	case h.isRunning(life):
		h.kill(restartDelay)
	}
	return isStruck
}

// disturbWorkers disturbs some machines, and restores them.
func (s *soak) disturbWorkers(f plan.Fault) {
	effects := make(map[*machine]*effect)
	for _, m := range s.chooseMachines(f) {
		effects[m] = s.disturb(m, f)
	}
	s.sleep(f.Duration())
	struck := 0
	for m, e := range effects {
		s.restore(m, e)
		if e.isStruck {
			struck++
		}
	}
	s.noteStrike(strike{kind: f.Kind, of: string(f.Among), aimed: f.Count, struck: struck})
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

// disturb puts a fault into force on a machine.
func (s *soak) disturb(m *machine, f plan.Fault) *effect {
	m.mu.Lock()
	e := &effect{fault: f, worker: m.worker}
	wasDraining := m.isDisturbed(plan.WorkerDrain)
	e.isAimed = f.Among == "" || m.isDisturbed(f.Among)
	m.effects = append(m.effects, e)
	s.abortOn(m.apply())
	e.isStruck = m.isStruck(e)
	m.mu.Unlock()
	switch f.Kind {
	case plan.WorkerDrain:
		if e.worker != nil {
			e.worker.Drain(f.Duration())
		}
	case plan.WorkerLoss:
		w := m.crash(false)
		m.mu.Lock()
		e.isStruck, m.isLost = e.isAimed && w != nil, m.isLost || w != nil
		m.mu.Unlock()
		if w != nil {
			s.unlistLater(w)
		}
	case plan.WorkerCrash:
		w := m.crash(f.Silent)
		m.mu.Lock()
		e.isStruck = e.isAimed && w != nil
		// A worker that was told to leave does not return.
		e.worker, e.fault.NewID = w, f.NewID || wasDraining
		m.mu.Unlock()
		if w != nil && e.fault.NewID {
			s.unlistLater(w)
		}
	}
	return e
}

// unlistLater removes the entry of a worker that does not return, as the platform does.
func (s *soak) unlistLater(w *wkfake.Worker) {
	s.faults.Go(func() {
		s.sleep(workerRemovalTime)
		w.Unlist()
	})
}

// restore ends a fault on a machine. Another fault may have ended the worker that it met, or may still disturb the machine.
func (s *soak) restore(m *machine, e *effect) {
	m.mu.Lock()
	e.isStruck = e.isStruck || m.isStruck(e)
	m.effects = slices.DeleteFunc(m.effects, func(other *effect) bool { return other == e })
	s.abortOn(m.apply())
	isPresent := m.worker == e.worker
	m.mu.Unlock()
	switch {
	case e.worker == nil:
	case e.fault.Kind == plan.WorkerDrain && isPresent:
		if w := m.crash(false); w != nil {
			w.Unlist()
			s.abortOn(s.boot(m, true))
		}
	case e.fault.Kind == plan.WorkerCrash:
		s.abortOn(s.boot(m, e.fault.NewID))
		m.mu.Lock()
		m.returnedAt = time.Now()
		m.mu.Unlock()
	}
}
