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

func (m *Machine) workerSeen(now time.Time, info fleet.Worker) {
	w := m.worker(info.ID)
	w.info, w.listed = info, true
	if w.usable {
		m.placer.Step(now, place.WorkerUpdated{Worker: info})
	}
	m.version++
}

func (m *Machine) workerGone(now time.Time, id fleet.WorkerID) {
	w := m.workers[id]
	if w == nil {
		return
	}
	w.listed = false
	m.setUsable(now, w, false)
}

// setUsable offers a worker for new tasks only after it has accepted this owner's epoch.
func (m *Machine) setUsable(now time.Time, w *worker, usable bool) {
	if w.usable == usable {
		return
	}
	w.usable = usable
	m.version++
	if usable {
		m.placer.Step(now, place.WorkerUpdated{Worker: w.info})
	} else {
		m.placer.Step(now, place.WorkerRemoved{ID: w.info.ID})
	}
}

func (m *Machine) tickWorker(now time.Time, w *worker) {
	if w.info.AgentURL == "" && !w.listed {
		m.expire(now, w)
		return
	}
	if w.suspect() && now.Sub(w.failedAt) > unusableAfter {
		m.setUsable(now, w, false)
	}
	if m.permit.Renew {
		m.pollStatus(now, w)
		m.renew(now, w)
	}
	if m.permit.Write {
		m.sendAcks(w)
		m.stopDue(now, w)
		m.expire(now, w)
	}
}

func (m *Machine) pollStatus(now time.Time, w *worker) {
	if w.busy || now.Before(w.statusAt) || !m.permit.Renew || (!w.listed && len(w.tasks) == 0) {
		return
	}
	every := idleEvery
	switch {
	case w.suspect():
		every = suspectEvery
	case len(w.tasks) > 0:
		every = statusEvery
	}
	w.busy, w.statusAt = true, now.Add(every)
	m.emit(ReadStatus{Worker: w.info, Epoch: m.workerEpoch(w)})
}

func (m *Machine) statusDone(now time.Time, ev StatusDone) {
	w := m.worker(ev.Worker)
	w.busy = false
	if m.superseded(w, ev.Epoch, ev.Err) {
		return
	}
	if ev.Err != nil {
		m.fail(now, w)
		return
	}
	if w.suspect() {
		w.failedAt = time.Time{}
		w.renewAt = now
	}
	w.fenced = true
	m.setUsable(now, w, w.listed)
	listed := make(map[plat.TaskRef]bool, len(ev.Status.Tasks))
	for _, s := range ev.Status.Tasks {
		listed[s.TaskRef] = true
		m.takeReport(now, w, s)
	}
	m.checkAbsent(now, w, listed, ev)
	measured := ev.SentAt.Add(-time.Duration(ev.Status.Usage.AgeMS) * time.Millisecond)
	m.act(now, m.placer.Step(now, place.Report{
		Worker: w.info.ID, MeasuredAt: measured, Usage: ev.Status.Usage.Resources, Tasks: ev.Status.Tasks,
	}))
}

// superseded reports whether a worker refused an epoch, and steps down unless this owner's own fence overtook the call.
func (m *Machine) superseded(w *worker, sent fleet.Epoch, err error) bool {
	var refused *plat.RefusedError
	if !errors.As(err, &refused) || refused.Reason != plat.ReasonStaleEpoch {
		return false
	}
	if sent >= m.workerEpoch(w) {
		m.emit(Superseded{Worker: w.info.ID})
	}
	return true
}

func (m *Machine) fail(now time.Time, w *worker) {
	if w.failedAt.IsZero() {
		w.failedAt = now
		w.statusAt = now.Add(suspectEvery)
	}
}

// takeReport handles one attempt of a worker's report. Reports on attempts that this owner has closed change nothing:
// a terminal one is acknowledged, and one that still runs is stopped.
func (m *Machine) takeReport(now time.Time, w *worker, s plat.TaskStatus) {
	t := m.tasks[s.Task]
	if t != nil && t.ref() == s.TaskRef && t.state.live() && t.worker == w.info.ID {
		m.reported(now, w, t, s)
		return
	}
	if t != nil && t.pending && t.reserved == w.info.ID && t.nextRef() == s.TaskRef {
		return
	}
	if !m.permit.Write {
		return
	}
	if s.State.Terminal() {
		if !slices.Contains(w.acks, s.TaskRef) {
			w.acks = append(w.acks, s.TaskRef)
		}
		return
	}
	m.note("jobs: unknown attempt stopped", "task", s.Task, "attempt", s.Attempt, "worker", w.info.ID)
	m.emit(Stop{Worker: w.info, Epoch: m.workerEpoch(w), Ref: s.TaskRef})
}

// checkAbsent closes attempts that the worker does not have. A report proves that only if it was read under a higher
// epoch than the start was sent with; otherwise the fence is raised and the next report decides.
func (m *Machine) checkAbsent(now time.Time, w *worker, listed map[plat.TaskRef]bool, ev StatusDone) {
	raise := false
	for _, id := range sortedIDs(w.tasks) {
		t := w.tasks[id]
		if listed[t.ref()] || t.pending || !t.sent {
			continue
		}
		switch {
		case t.sentEpoch < ev.Epoch && t.confirmed.IsZero() && !t.inherited:
			m.end(now, t, ledger.OutcomeNotStarted, nil, "the worker has not started it")
		case t.sentEpoch < ev.Epoch:
			m.end(now, t, ledger.OutcomeLost, nil, "the worker does not have it")
		case !t.startBusy && !t.confirmed.IsZero() && t.confirmed.Before(ev.SentAt):
			raise = true
		}
	}
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

// renew extends the leases of the attempts that the worker has confirmed. A worker that failed to answer is asked for
// its status first, so that leases of an unreachable worker run out as early as possible.
func (m *Machine) renew(now time.Time, w *worker) {
	if w.renewBusy || w.suspect() || !w.fenced || now.Before(w.renewAt) {
		return
	}
	w.renewAt = now.Add(RenewInterval)
	var refs []plat.TaskRef
	for _, id := range sortedIDs(w.tasks) {
		if t := w.tasks[id]; !t.confirmed.IsZero() && !t.pending {
			refs = append(refs, t.ref())
		}
	}
	if len(refs) == 0 {
		return
	}
	w.renewBusy = true
	m.emit(Renew{Worker: w.info, Epoch: m.workerEpoch(w), Tasks: refs})
}

func (m *Machine) renewDone(now time.Time, ev RenewDone) {
	w := m.worker(ev.Worker)
	w.renewBusy = false
	if m.superseded(w, ev.Epoch, ev.Err) {
		return
	}
	var unclear *plat.OutcomeUnknownError
	extended := now.Add(TaskLeaseTTL + TaskLeaseMargin)
	if ev.Err != nil {
		m.fail(now, w)
		if !errors.As(ev.Err, &unclear) {
			return
		}
		extended = extended.Add(unclearExtra)
	}
	for _, ref := range ev.Tasks {
		if t := w.tasks[ref.Task]; t != nil && t.ref() == ref && extended.After(t.mayRunTo) {
			t.mayRunTo = extended
		}
	}
	if len(ev.Unknown) > 0 {
		m.raiseFence(now, w)
	}
}

// expire closes attempts on an unreachable worker once their leases have run out by any clock.
func (m *Machine) expire(now time.Time, w *worker) {
	if !m.permit.Write || w.renewBusy {
		return
	}
	for _, id := range sortedIDs(w.tasks) {
		t := w.tasks[id]
		if !t.sent || t.startBusy || t.pending || t.mayRunTo.IsZero() || now.Before(t.mayRunTo) {
			continue
		}
		m.end(now, t, ledger.OutcomeLost, nil, "the worker is unreachable and the task lease has run out")
	}
}

func (m *Machine) sendAcks(w *worker) {
	if len(w.acks) == 0 || w.suspect() || !w.fenced {
		return
	}
	m.emit(Ack{Worker: w.info, Epoch: m.workerEpoch(w), Tasks: w.acks})
	w.acks = nil
}

// stopDue repeats stops, and moves the tasks of a worker that is about to leave.
func (m *Machine) stopDue(now time.Time, w *worker) {
	if len(w.tasks) == 0 || w.suspect() {
		return
	}
	leaving := w.info.State == fleet.HostLeaving
	for _, id := range sortedIDs(w.tasks) {
		t := w.tasks[id]
		switch {
		case !t.stopAt.IsZero():
			m.sendStop(now, t)
		case leaving && t.state == StateRunning && !t.pending:
			m.evict(now, t.ref(), "the worker is leaving")
		}
	}
}
