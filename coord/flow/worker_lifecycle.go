package flow

import (
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// restartConnRefusals is the number of consecutive refused connections after which a worker may have restarted. Its runs are
// recorded as lost, so that a successor knows of them, but they are kept: a cut can refuse connections too.
const restartConnRefusals = 2

func (m *Machine) addWorker(info infra.Worker) *worker {
	w := &worker{
		Worker: info, runs: make(map[infra.TaskID]*run), reachable: true, speed: 1, decayedAt: m.now,
		servingSteps: make(map[*step]int), servingImages: make(map[string]int), failures: make(map[fleet.JobID]float64),
		laggedAt: m.now,
		// The worker may have been known before, with any token up to this one.
		token: m.maxToken,
	}
	// [Evacuated] has been emitted for a cordoned worker that was not known.
	_, w.cordoned = m.cordons[info.ID]
	w.evacuationReported = w.cordoned
	m.workers[info.ID] = w
	at := len(m.workersByID)
	for i, o := range m.workersByID {
		if o.ID > info.ID {
			at = i
			break
		}
	}
	m.workersByID = append(m.workersByID, nil)
	copy(m.workersByID[at+1:], m.workersByID[at:])
	m.workersByID[at] = w
	return w
}

func (m *Machine) removeWorker(w *worker) {
	if w.cordoned && !w.evacuationReported {
		m.emit(Evacuated{Worker: w.ID})
	}
	delete(m.workers, w.ID)
	m.reports.settle(w.ID, false)
	for i, o := range m.workersByID {
		if o == w {
			m.workersByID = append(append([]*worker(nil), m.workersByID[:i]...), m.workersByID[i+1:]...)
			break
		}
	}
	m.removeFromRoster(w, "no longer listed")
}

// isKnownElsewhere reports whether a registration names an address at which this incarnation of the worker does not listen.
func (w *worker) isKnownElsewhere(info infra.Worker) bool {
	return w.clock > 0 && info.StartedAt != 0 && info.StartedAt == w.StartedAt && info.Address != w.answeredAt
}

// confirmRestart requests a report from the address in a registration that announces a restart. Only the report shows
// that the runs of the worker have ended, because the registration may come from another writer.
func (m *Machine) confirmRestart(w *worker, info infra.Worker) {
	if w.unconfirmed == nil {
		m.emit(Log{Text: "restart announced", Worker: w.ID})
	}
	m.noteRestart(w)
	w.Worker.Address, w.listed, w.restartedSinceListing, w.unconfirmed = info.Address, true, true, &info
	m.sendRenewal(w)
}

// addToRoster adds a listed worker to the roster once it has answered at its address, unless it drains and nothing of it is
// needed, and notes there that this scheduler may renew its lease. Until that is stored no task is started there, and no
// lease renewed; a successor would wait for an entry that names no worker.
func (m *Machine) addToRoster(w *worker) {
	stored, isKnown := m.roster[w.ID]
	entry := RosterEntry{
		Worker: w.ID, Address: w.Address, RenewedBefore: m.term + 1, Joining: !m.rosterOpened && (!isKnown || stored.Joining),
		StartedAt: w.StartedAt,
	}
	switch {
	case !w.tokenAccepted || w.unconfirmed != nil || stored == entry:
		return
	case isKnown && !w.listed:
		entry.Address = stored.Address
		if stored == entry {
			return
		}
	case !w.listed || w.Draining && m.isForgettable(w):
		return
	}
	m.roster[w.ID] = entry
	m.rosterDirty = true
	// Leases do not depend on the life: a successor waits longer for one that it does not know.
	stored.Joining, stored.StartedAt, stored.Restarted = entry.Joining, entry.StartedAt, entry.Restarted
	w.inStoredRoster = w.inStoredRoster && stored == entry
}

func (m *Machine) removeFromRoster(w *worker, reason string) {
	if _, found := m.roster[w.ID]; !found {
		return
	}
	m.emit(Log{Text: "worker left the roster", Worker: w.ID, Reason: fmt.Sprintf("%s; %d jobs are not stored yet", reason, m.UnsavedJobs())})
	delete(m.roster, w.ID)
	m.rosterDirty, w.inStoredRoster, w.isLeaseKnown = true, false, false
}

// isForgettable reports whether a successor need not hear from a worker: nothing runs there, and all ends are durable. Ends
// that were never reported do not count once the lease has expired.
func (m *Machine) isForgettable(w *worker) bool {
	mayReportMore := w.hasMoreEnds && (w.reachable || !w.leaseExpired(m.now))
	return len(w.runs) == 0 && !w.hasUnsavedEnds() && !mayReportMore && !m.isUnreconciled(w)
}

func (m *Machine) workerListed(info infra.Worker) {
	w := m.workers[info.ID]
	if w == nil {
		w = m.addWorker(info)
		m.emit(Log{Text: "worker listed", Worker: info.ID, Reason: info.Service})
	}
	if w.StartedAt != 0 && info.StartedAt != 0 && info.StartedAt < w.StartedAt {
		// The registration is that of a former life, or the clock of the worker's host was set back.
		switch {
		case !w.reachable && info.Address != w.Address:
			m.confirmRestart(w, info)
		case w.clock == 0 && w.life == 0:
			w.unconfirmed = &info
		}
		return
	}
	if w.isKnownElsewhere(info) {
		m.emit(Log{Text: "registration ignored", Worker: info.ID, Reason: "the worker has answered at another address since its start"})
		return
	}
	if w.StartedAt != 0 && info.StartedAt > w.StartedAt {
		mustKeep := len(w.runs) > 0 || w.hasUnsavedEnds() || w.hasMoreEnds
		if mustKeep && w.clock > 0 && !w.leaseExpired(m.now) {
			m.confirmRestart(w, info)
			return
		}
		m.workerRestarted(w, info.StartedAt)
	}
	w.unconfirmed = nil
	if info.Draining && !w.Draining {
		m.emit(Log{Text: "worker is draining", Worker: info.ID})
		m.takeBackLosses(w, false)
	}
	if !w.listed {
		w.nextRenewal = m.now
	}
	switch {
	case w.cordoned:
	case !info.Draining:
		w.leavesAt = time.Time{}
	case w.leavesAt.IsZero() && info.Remaining > 0:
		w.leavesAt = m.now.Add(info.Remaining)
	}
	if w.Address != info.Address {
		// The renewal in flight goes to the former address.
		w.renewalInFlight, w.nextRenewal = false, m.now
		w.renewalSequence++
	}
	isChanged := !w.listed || w.restartedSinceListing || !w.offersSame(info)
	startedAt := max(w.StartedAt, info.StartedAt)
	w.Worker, w.listed, w.restartedSinceListing = info, true, false
	w.StartedAt = startedAt
	m.addToRoster(w)
	if isChanged {
		m.searchAgain()
	}
}

// workerUnlisted takes a worker out of service. Its runs are kept until a report or the end of their lease shows that they
// have ended, because the platform also removes the registration of a worker that is only cut off from the store.
func (m *Machine) workerUnlisted(id fleet.WorkerID) {
	w := m.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	m.emit(Log{Text: "worker no longer listed", Worker: id})
}

// workerRestarted handles a new incarnation of a worker. The runs of the previous incarnation have ended, but a start
// without an answer may still reach the new one.
func (m *Machine) workerRestarted(w *worker, startedAt int64) {
	m.emit(Log{Text: "worker restarted", Worker: w.ID, Reason: fmt.Sprintf(
		"started at %d, before at %d; last report %d ms ago; %d of %d runs were listed", startedAt, w.StartedAt, w.reportAge(m.now), w.listedRuns(), len(w.runs),
	)})
	m.noteRestart(w)
	m.loseRuns(w, w.runsByTask)
	for _, r := range w.sortedRuns() {
		if r.listedClock > 0 {
			m.counts.Vanished++
			m.dropRun(r, "worker restarted")
			continue
		}
		// The start may have reached the new incarnation or may still reach it, so the new incarnation must reject it.
		r.state, r.nextStop, r.stopReason, r.fromPreviousIncarnation = fencing, m.now, "worker restarted", true
	}
	w.StartedAt, w.restartedSinceListing, w.unconfirmed, w.sawOtherClock = startedAt, true, nil, false
	w.tokenAccepted, w.hasAnswered, w.leadershipConfirmed, w.acceptedToken = false, false, false, 0
	m.raiseToken(w)
	w.bestClock, w.bestClockAt = 0, time.Time{}
	w.ackedEnd, w.renewalAckedEnd = 0, 0
	w.clock, w.leaseEnd, w.seenEnd, w.durableEnd, w.unsavedEnds = 0, 0, 0, 0, nil
	w.heldEnds, w.hasMoreEnds = 0, false
	w.life++
	w.endWeight, w.speed = 0, 1
	clear(w.failures)
	w.quarantinedUntil = time.Time{}
	// The answer to a renewal of the previous incarnation may take until its timeout, and is ignored.
	w.renewalInFlight, w.nextRenewal = false, m.now
	w.renewalSequence++
}

// listedRuns returns how many of the runs a report has listed.
func (w *worker) listedRuns() int {
	count := 0
	for _, r := range w.runsByTask {
		if r.listedClock > 0 {
			count++
		}
	}
	return count
}

// clearRuns drops runs of a worker that go on no longer. Starts without an answer are kept, because they may still reach a later
// incarnation of the worker.
func (m *Machine) clearRuns(w *worker, runs []*run, reason string) {
	m.expectLateStarts(w)
	for _, r := range runs {
		if r.confirmedClock == 0 || r.state == fencing {
			m.lateStarts[w.ID] = append(m.lateStarts[w.ID], lateStart{task: r.id, run: r.number, until: m.now.Add(maxOrderDelay)})
		}
		m.counts.Vanished++
		m.dropRun(r, reason)
	}
}

// lateStart is an unanswered start that was sent to a previous incarnation of a worker. The present one rejects it once it
// has accepted a stop.
type lateStart struct {
	task     infra.TaskID
	run      infra.Run
	until    time.Time
	nextStop time.Time
	rejected bool
}

// expectLateStarts makes the stops for late starts due again, because the next incarnation of a worker has not seen them.
func (m *Machine) expectLateStarts(w *worker) {
	for i := range m.lateStarts[w.ID] {
		s := &m.lateStarts[w.ID][i]
		s.nextStop, s.rejected = m.now, false
	}
}

// fenceLateStarts sends a new incarnation of a worker the stops for late starts.
func (m *Machine) fenceLateStarts(w *worker) {
	m.expectLateStarts(w)
	m.stopLateStarts(w)
}

// stopLateStarts sends the stops for late starts that are due, until the worker has accepted them.
func (m *Machine) stopLateStarts(w *worker) {
	for i := range m.lateStarts[w.ID] {
		s := &m.lateStarts[w.ID][i]
		if s.rejected || m.now.Before(s.nextStop) || !m.now.Before(s.until) {
			continue
		}
		s.nextStop = m.now.Add(stopRetryPause)
		m.emit(Stop{To: w.address(), Order: infra.StopOrder{Task: s.task, Run: s.run, Token: w.token}})
	}
}

// lateStartStopped notes that a worker has accepted a stop.
func (m *Machine) lateStartStopped(w *worker, order infra.StopOrder) {
	for i := range m.lateStarts[w.ID] {
		if s := &m.lateStarts[w.ID][i]; s.task == order.Task && s.run == order.Run {
			s.rejected = true
		}
	}
}

// sweepLateStarts repeats the stops for late starts, and forgets those that can no longer be carried out.
func (m *Machine) sweepLateStarts() {
	for id, starts := range m.lateStarts {
		starts = slices.DeleteFunc(starts, func(s lateStart) bool { return !m.now.Before(s.until) })
		if len(starts) == 0 {
			delete(m.lateStarts, id)
			continue
		}
		m.lateStarts[id] = starts
		if w := m.workers[id]; w != nil && w.tokenAccepted && w.reachable {
			m.stopLateStarts(w)
		}
	}
}

// dropRun removes a run whose end the worker does not report, and requeues its task.
func (m *Machine) dropRun(r *run, reason string) {
	m.emit(Log{Text: "run lost", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.releaseRun(r)
	m.requeue(r, "")
	// A long-running task on a silent worker counts as not running for as long as the worker was silent.
	if ready := m.readySteps[r.step]; ready != nil && r.step.spec.LongRunning && !r.worker.reachable && r.worker.unreachableSince.Before(ready.readySince) {
		ready.readySince = r.worker.unreachableSince
	}
}

// sortedRuns returns a copy of the runs sorted by task, for loops that may remove some of them.
func (w *worker) sortedRuns() []*run { return slices.Clone(w.runsByTask) }

// offersSame reports whether a registration differs from the present one only in what placement does not depend on. A
// worker renews its registration about once a second.
func (w *worker) offersSame(info infra.Worker) bool {
	return w.Service == info.Service && w.Capacity == info.Capacity && w.Draining == info.Draining && slices.Equal(w.Labels, info.Labels)
}

// isRosterPending reports whether an entry of the worker in the roster is not stored yet.
func (m *Machine) isRosterPending(w *worker) bool {
	e, found := m.roster[w.ID]
	return found && !w.inStoredRoster && e.RenewedBefore > m.term
}
