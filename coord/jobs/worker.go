package jobs

import (
	"errors"
	"slices"
	"time"

	"lovagefork.example/coord/place"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/plat"
)

func (m *Machine) workerListed(now time.Time, info fleet.Worker) {
	w := m.worker(info.ID)
	w.info, w.listed = info, true
	if w.usable {
		m.placer.Step(now, place.WorkerUpdated{Worker: info})
	}
	m.placementVersion++
}

func (m *Machine) workerUnlisted(now time.Time, id fleet.WorkerID) {
	w := m.workers[id]
	if w == nil {
		return
	}
	w.listed = false
	m.setUsable(now, w, false)
}

// setUsable adds a worker to the placer or removes it. A worker is usable only after it has accepted this owner's
// epoch.
func (m *Machine) setUsable(now time.Time, w *worker, usable bool) {
	if w.usable == usable {
		return
	}
	w.usable = usable
	m.placementVersion++
	if usable {
		m.placer.Step(now, place.WorkerUpdated{Worker: w.info})
	} else {
		m.placer.Step(now, place.WorkerRemoved{ID: w.info.ID})
	}
}

func (m *Machine) tickWorker(now time.Time, w *worker) {
	if w.info.AgentURL == "" && !w.listed {
		m.expireLeases(now, w)
		return
	}
	if w.suspect() && now.Sub(w.failingSince) > unusableAfter {
		m.setUsable(now, w, false)
	}
	if m.permit.Renew {
		m.pollStatus(now, w)
		m.renew(now, w)
	}
	if m.permit.Write {
		m.sendAcks(w)
		m.sendDueStops(now, w)
		m.expireLeases(now, w)
	}
}

func (m *Machine) pollStatus(now time.Time, w *worker) {
	if w.statusInFlight || now.Before(w.nextStatusAt) || !m.permit.Renew || (!w.listed && len(w.tasks) == 0) {
		return
	}
	interval := idleStatusInterval
	switch {
	case w.suspect():
		interval = suspectStatusInterval
	case len(w.tasks) > 0:
		interval = statusInterval
	}
	w.statusInFlight, w.nextStatusAt = true, now.Add(interval)
	m.emit(ReadStatus{Worker: w.info, Epoch: m.workerEpoch(w)})
}

func (m *Machine) statusDone(now time.Time, ev StatusDone) {
	w := m.worker(ev.Worker)
	w.statusInFlight = false
	if m.staleEpoch(w, ev.Epoch, ev.Err) {
		return
	}
	if ev.Err != nil {
		m.markSuspect(now, w)
		return
	}
	if w.suspect() {
		w.failingSince = time.Time{}
		w.nextRenewAt = now
	}
	w.epochAccepted = true
	m.setUsable(now, w, w.listed)
	reported := make(map[plat.TaskRef]bool, len(ev.Status.Tasks))
	for _, s := range ev.Status.Tasks {
		reported[s.TaskRef] = true
		m.handleReportedTask(now, w, s)
	}
	m.checkAbsent(now, w, reported, ev)
	measuredAt := ev.SentAt.Add(-time.Duration(ev.Status.Usage.AgeMS) * time.Millisecond)
	m.applyPlacement(now, m.placer.Step(now, place.Report{
		Worker: w.info.ID, MeasuredAt: measuredAt, Usage: ev.Status.Usage.Resources, Tasks: ev.Status.Tasks,
	}))
}

// staleEpoch reports whether err refuses the sent epoch as stale. It emits [Superseded] unless a higher fence of this
// owner overtook the call.
func (m *Machine) staleEpoch(w *worker, sent fleet.Epoch, err error) bool {
	var refused *plat.RefusedError
	if !errors.As(err, &refused) || refused.Reason != plat.ReasonStaleEpoch {
		return false
	}
	if sent >= m.workerEpoch(w) {
		m.emit(Superseded{Worker: w.info.ID})
	}
	return true
}

func (m *Machine) markSuspect(now time.Time, w *worker) {
	w.failedAt = now
	if w.failingSince.IsZero() {
		w.failingSince = now
		w.nextStatusAt = now.Add(suspectStatusInterval)
	}
}

// handleReportedTask handles one attempt in a worker's status. An attempt that this owner does not manage changes no
// state: it is acknowledged if it has ended, and stopped if it still runs.
func (m *Machine) handleReportedTask(now time.Time, w *worker, s plat.TaskStatus) {
	t := m.tasks[s.Task]
	if t != nil && t.ref() == s.TaskRef && t.state.live() && t.worker == w.info.ID {
		m.handleTaskStatus(now, w, t, s)
		return
	}
	if t != nil && t.recordPending && t.reservedOn == w.info.ID && t.nextRef() == s.TaskRef {
		return
	}
	if !m.permit.Write {
		return
	}
	if s.State.Terminal() {
		if !slices.Contains(w.pendingAcks, s.TaskRef) {
			w.pendingAcks = append(w.pendingAcks, s.TaskRef)
		}
		return
	}
	m.log("jobs: stopping unknown attempt", "task", s.Task, "attempt", s.Attempt, "worker", w.info.ID)
	m.emit(Stop{Worker: w.info, Epoch: m.workerEpoch(w), Ref: s.TaskRef})
}

// checkAbsent ends attempts that are missing from a worker's status. The status proves that such an attempt does not
// run only if it was read under a higher epoch than the start was sent with. Otherwise the fence is raised, and the
// next status decides.
func (m *Machine) checkAbsent(now time.Time, w *worker, reported map[plat.TaskRef]bool, ev StatusDone) {
	raise := false
	var crashed []*task
	for _, id := range sortedIDs(w.tasks) {
		t := w.tasks[id]
		if reported[t.ref()] || t.recordPending || !t.startSent {
			continue
		}
		switch {
		case t.startEpoch < ev.Epoch && (!t.confirmedAt.IsZero() || t.startUnanswered && w.failedAt.After(t.startSentAt)):
			crashed = append(crashed, t)
		case t.startEpoch < ev.Epoch && t.confirmedAt.IsZero() && !t.inherited:
			m.recordEnd(now, t, ledger.OutcomeNotStarted, nil, "the worker has not started it")
		case t.startEpoch < ev.Epoch:
			m.recordEnd(now, t, ledger.OutcomeLost, nil, "the worker does not have it")
		case !t.startInFlight && !t.confirmedAt.IsZero() && t.confirmedAt.Before(ev.SentAt):
			raise = true
		}
	}
	m.workerLost(now, w, crashed, "the worker does not have it")
	if raise {
		m.raiseFence(now, w)
	}
}

func sortedIDs(tasks map[fleet.TaskID]*task) []fleet.TaskID {
	ids := make([]fleet.TaskID, 0, len(tasks))
	for id := range tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// renew renews the leases of the confirmed attempts of a worker. A suspect worker must answer a status read first, so
// that the leases of an unreachable worker expire as early as possible.
func (m *Machine) renew(now time.Time, w *worker) {
	if w.renewInFlight || w.suspect() || !w.epochAccepted || now.Before(w.nextRenewAt) {
		return
	}
	w.nextRenewAt = now.Add(RenewInterval)
	var refs []plat.TaskRef
	for _, id := range sortedIDs(w.tasks) {
		if t := w.tasks[id]; !t.confirmedAt.IsZero() && !t.recordPending {
			refs = append(refs, t.ref())
		}
	}
	if len(refs) == 0 {
		return
	}
	w.renewInFlight = true
	m.emit(Renew{Worker: w.info, Epoch: m.workerEpoch(w), Tasks: refs})
}

func (m *Machine) renewDone(now time.Time, ev RenewDone) {
	w := m.worker(ev.Worker)
	w.renewInFlight = false
	if m.staleEpoch(w, ev.Epoch, ev.Err) {
		return
	}
	var unknown *plat.OutcomeUnknownError
	leaseEnd := now.Add(TaskLeaseTTL + TaskLeaseMargin)
	if ev.Err != nil {
		m.markSuspect(now, w)
		if !errors.As(ev.Err, &unknown) {
			return
		}
		leaseEnd = leaseEnd.Add(lateCommandMargin)
	}
	for _, ref := range ev.Tasks {
		if t := w.tasks[ref.Task]; t != nil && t.ref() == ref && leaseEnd.After(t.mayRunUntil) {
			t.mayRunUntil = leaseEnd
		}
	}
	if len(ev.Unknown) > 0 {
		m.raiseFence(now, w)
	}
}

// expireLeases ends attempts on an unreachable worker once their leases have expired, even with clock drift.
func (m *Machine) expireLeases(now time.Time, w *worker) {
	if !m.permit.Write || w.renewInFlight {
		return
	}
	const reason = "the worker is unreachable and the task lease has run out"
	var lost []*task
	for _, id := range sortedIDs(w.tasks) {
		t := w.tasks[id]
		switch {
		case !t.startSent || t.startInFlight || t.recordPending || t.mayRunUntil.IsZero() || now.Before(t.mayRunUntil):
		case t.confirmedAt.IsZero():
			m.recordEnd(now, t, ledger.OutcomeLost, nil, reason)
		default:
			lost = append(lost, t)
		}
	}
	m.workerLost(now, w, lost, reason)
}

func (m *Machine) sendAcks(w *worker) {
	if len(w.pendingAcks) == 0 || w.suspect() || !w.epochAccepted {
		return
	}
	m.emit(Ack{Worker: w.info, Epoch: m.workerEpoch(w), Tasks: w.pendingAcks})
	w.pendingAcks = nil
}

// sendDueStops repeats stops without an answer, and evicts the tasks of a leaving worker.
func (m *Machine) sendDueStops(now time.Time, w *worker) {
	if len(w.tasks) == 0 || w.suspect() {
		return
	}
	leaving := w.info.State == fleet.HostLeaving
	for _, id := range sortedIDs(w.tasks) {
		t := w.tasks[id]
		switch {
		case !t.nextStopAt.IsZero():
			m.sendStop(now, t)
		case leaving && t.state == StateRunning && !t.recordPending:
			m.evict(now, t.ref(), "the worker is leaving")
		}
	}
}
