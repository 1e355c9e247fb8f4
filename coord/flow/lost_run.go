package flow

import (
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// lostLifePrunePause is the pause between two searches for lost lives under which no run is recorded any more.
const lostLifePrunePause = 10 * time.Second

// lostRun is a run that may have ended in a crash of its worker, which has become unreachable. Neither silence nor refused
// connections show a crash: a worker that is only cut off runs on. Another life of the worker, or another worker at its address,
// shows that this life has ended.
type lostRun struct {
	openRun
	// address is where the worker has answered in this life.
	address string
	number  infra.Run
	// existed is set if the run is known to have existed, so that a crash of the worker is a loss for the task.
	existed bool
	// suspect is set for a recent run. confirmed and isolated say what a crash of the worker would be, see [Machine.suspect].
	suspect, confirmed, isolated bool
}

// lostLife is a life of a worker that became unreachable at a time, with the tasks whose records have a lost or an open run on it.
type lostLife struct {
	since   time.Time
	address string
	tasks   []infra.TaskID
}

// lostLifeOf returns the entry of a worker in m.lostLives.
func (m *Machine) lostLifeOf(id fleet.WorkerID, since time.Time, address string) *lostLife {
	l := m.lostLives[id]
	if l == nil {
		l = &lostLife{since: since, address: address}
		m.lostLives[id] = l
	}
	return l
}

func (l *lostLife) add(id infra.TaskID) {
	if !slices.Contains(l.tasks, id) {
		l.tasks = append(l.tasks, id)
	}
}

// lostRunOn returns the index of the run of a task that was lost with a life of a worker, or -1.
func (c *crashRecord) lostRunOn(on openRun) int {
	return slices.IndexFunc(c.lost, func(l lostRun) bool { return l.openRun == on })
}

// lostSuspects returns how many of the lost runs were recent, and lostLosses how many are known to have existed.
func (c *crashRecord) lostSuspects() int {
	return countFunc(c.lost, func(l lostRun) bool { return l.suspect })
}

func (c *crashRecord) lostLosses() int {
	return countFunc(c.lost, func(l lostRun) bool { return l.existed })
}

func countFunc[T any](s []T, f func(T) bool) int {
	count := 0
	for _, e := range s {
		if f(e) {
			count++
		}
	}
	return count
}

// loseRuns records runs of an unreachable worker as lost, unless they are already. Those that cannot have anything to do with a
// crash are left out. A recent run must be durable before its task starts again, so that a successor counts on from it.
func (m *Machine) loseRuns(w *worker, runs []*run) {
	if w.Draining || w.cordoned {
		return
	}
	noticed := m.now
	if !w.reachable {
		noticed = w.unreachableSince
	}
	suspects := w.suspects()
	for _, r := range runs {
		s, t := m.lookupTask(r.id)
		suspect := slices.Contains(suspects, r)
		on := openRun{worker: w.ID, startedAt: w.StartedAt}
		if t == nil || r.step == nil || t.phase == done || !r.occ.job.live() || !suspect && !r.existed() {
			continue
		}
		confirmed := suspect && r.startedSoonBefore(noticed)
		if at := t.lostRunOn(on); at >= 0 {
			// The answer to the start may have arrived since.
			if l := &t.lost[at]; r.existed() && !l.existed || confirmed && !l.confirmed {
				l.existed, l.confirmed = l.existed || r.existed(), l.confirmed || confirmed
				m.markTaskDirty(r.id)
			}
			continue
		}
		m.lostLifeOf(w.ID, noticed, w.answeredAt).add(r.id)
		if t.openRun.worker == w.ID {
			t.openRun = openRun{}
		}
		t.lost = append(t.lost, lostRun{
			openRun: on, address: w.answeredAt, number: r.number, existed: r.existed(),
			suspect: suspect, confirmed: confirmed, isolated: suspect && r.isolated,
		})
		seq := m.markTaskDirty(r.id)
		if suspect {
			t.unsavedSeq, r.occ.job.crashed = seq, true
			s.suspectLoss(w.ID, r.id.Index)
		}
	}
}

// dropLostRun forgets that a run was lost, because it has never started.
func (m *Machine) dropLostRun(r *run) {
	s, t := m.lookupTask(r.id)
	if t == nil {
		return
	}
	at := slices.IndexFunc(t.lost, func(l lostRun) bool { return l.worker == r.worker.ID && l.number == r.number })
	if at < 0 {
		return
	}
	t.lost = slices.Delete(t.lost, at, at+1)
	s.crashesChanged(r.id.Index)
	m.markTaskDirty(r.id)
}

// suspectLoss notes that a worker may have crashed under a recent run of the step.
func (s *step) suspectLoss(id fleet.WorkerID, index int) {
	if s.lostWorkers == nil {
		s.lostWorkers = make(map[fleet.WorkerID]struct{})
	}
	s.lostWorkers[id] = struct{}{}
	s.crashesChanged(index)
}

// rememberLostRuns keeps the lost runs and the open run in the record of a job until their workers are heard of.
func (m *Machine) rememberLostRuns(j *job) {
	if !j.live() {
		return
	}
	for _, o := range j.occurrences {
		for i := range o.steps {
			for index, t := range o.steps[i].tasks.allocated() {
				if t.phase == done {
					continue
				}
				id := infra.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: i, Index: index}
				for _, l := range t.lost {
					m.lostLifeOf(l.worker, m.now, l.address).add(id)
					if l.suspect {
						o.steps[i].suspectLoss(l.worker, index)
					}
				}
				if on := t.openRun.worker; on != "" {
					m.lostLifeOf(on, m.now, m.roster[on].Address).add(id)
				}
			}
		}
	}
}

// workerAnswered handles the first answer of a life of a worker: it shows that the worker's other lives have ended, and those of
// workers that had the same address. Runs that were lost with this life were not lost in a crash.
func (m *Machine) workerAnswered(w *worker) {
	m.countRestart(w)
	m.takeBackLosses(w, true)
	var replaced []fleet.WorkerID
	for id, l := range m.lostLives {
		// A worker that still has runs is asked itself, and they end with its answer.
		other := m.workers[id]
		if id != w.ID && l.address == w.Address && (other == nil || len(other.runs) == 0) {
			replaced = append(replaced, id)
		}
	}
	slices.Sort(replaced)
	for _, id := range replaced {
		m.countCrash(id, anyLife, "address belongs to another worker")
	}
}

// anyLife selects all lives of a worker, see [Machine.countCrash].
func anyLife(int64) bool { return true }

// countRestart counts the crash of the lives of a worker other than the one that answers.
func (m *Machine) countRestart(w *worker) {
	m.countCrash(w.ID, func(startedAt int64) bool { return startedAt != 0 && w.StartedAt != 0 && startedAt != w.StartedAt }, "worker restarted")
}

// takeBackLosses drops the runs that were lost with the present life of a worker, which answers and has therefore not crashed. The
// record of a trial remains: isFirst says that a predecessor may have started it, and otherwise it goes on or has ended.
func (m *Machine) takeBackLosses(w *worker, isFirst bool) {
	life := m.lostLives[w.ID]
	if life == nil {
		return
	}
	isPresent := func(on openRun) bool {
		return on.worker == w.ID && (on.startedAt == w.StartedAt || on.startedAt == 0 || w.StartedAt == 0)
	}
	takenBack := 0
	for _, id := range life.tasks {
		s, t := m.lookupTask(id)
		if t == nil {
			continue
		}
		before := len(t.lost)
		t.lost = slices.DeleteFunc(t.lost, func(l lostRun) bool { return isPresent(l.openRun) })
		isLost := len(t.lost) < before
		if isLost {
			takenBack++
			delete(s.lostWorkers, w.ID)
			s.crashesChanged(id.Index)
		}
		isOpenHere := isPresent(t.openRun) || isLost && t.openRun.worker == ""
		mayGoOn := w.trial != nil && w.trial.id == id || isFirst && t.isSuspect()
		switch {
		case isOpenHere && mayGoOn:
			t.openRun = openRun{worker: w.ID, startedAt: w.StartedAt}
		case isOpenHere:
			t.openRun = openRun{}
		}
		m.markTaskDirty(id)
	}
	m.pruneLostLife(w.ID)
	if takenBack > 0 {
		m.emit(Log{Text: "worker has not crashed", Worker: w.ID, Reason: fmt.Sprintf("it answers in the life in which %d runs were lost", takenBack)})
		m.counts.TakenBack += int64(takenBack)
		m.searchAgain()
	}
}

// crashedRun is a run of a task under which a worker has crashed.
type crashedRun struct {
	id infra.TaskID
	lostRun
}

// countCrash counts the crash of a worker against the tasks whose runs were lost with lives that have ended, which hasEnded selects by
// their start times. A task that has run soundly elsewhere since is not blamed.
func (m *Machine) countCrash(id fleet.WorkerID, hasEnded func(startedAt int64) bool, reason string) {
	life := m.lostLives[id]
	if life == nil {
		return
	}
	var crashed []crashedRun
	suspects, isIsolated, steps := 0, false, make(map[*step]struct{})
	for _, task := range life.tasks {
		s, t := m.lookupTask(task)
		if t == nil {
			continue
		}
		lost, found := t.takeLostRun(id, hasEnded)
		if !found {
			continue
		}
		m.markTaskDirty(task)
		delete(s.lostWorkers, id)
		s.crashesChanged(task.Index)
		isSound := slices.ContainsFunc(t.runs, func(r *run) bool { return r.sound && r.worker.ID != id })
		if t.phase == done || !m.jobs[task.Job].live() || isSound {
			continue
		}
		if lost.suspect {
			suspects++
			isIsolated, steps[s] = lost.isolated, struct{}{}
		}
		crashed = append(crashed, crashedRun{task, lost})
	}
	m.pruneLostLife(id)
	if len(crashed) == 0 {
		return
	}
	m.counts.Crashes++
	m.emit(Log{Text: "worker crashed", Worker: id, Reason: fmt.Sprintf("%s; %d suspects of %d runs", reason, suspects, len(crashed))})
	if suspects != 1 || !isIsolated {
		m.recentCrashes = slices.DeleteFunc(m.recentCrashes, func(at time.Time) bool { return m.now.Sub(at) > goneAfter })
		m.recentCrashes = append(m.recentCrashes, life.since)
	}
	for s := range steps {
		s.crashes++
	}
	logged := 0
	for _, c := range crashed {
		m.countLostRun(c.id, c.lostRun, life.since, logged < maxLoggedSuspects)
		if c.suspect {
			logged++
		}
	}
}

// countLostRun counts a crash of the worker of a lost run against its task.
func (m *Machine) countLostRun(id infra.TaskID, l lostRun, at time.Time, logged bool) {
	if l.existed {
		_, t := m.lookupTask(id)
		m.countLoss(id, t)
	}
	if l.suspect {
		m.suspect(id, l, at, logged)
	}
}

// takeLostRun removes the run of a task that was lost with an ended life of a worker. Whether a predecessor has started the trial
// in an open run is not known; it counts as if it had, but not as confirmed.
func (t *task) takeLostRun(on fleet.WorkerID, hasEnded func(startedAt int64) bool) (lostRun, bool) {
	at := slices.IndexFunc(t.lost, func(l lostRun) bool { return l.worker == on && hasEnded(l.startedAt) })
	if at >= 0 {
		l := t.lost[at]
		t.lost = slices.Delete(t.lost, at, at+1)
		return l, true
	}
	if t.openRun.worker == on && hasEnded(t.openRun.startedAt) {
		l := lostRun{openRun: t.openRun, number: t.lastRun, existed: true, suspect: true}
		t.openRun = openRun{}
		return l, true
	}
	return lostRun{}, false
}

// pruneLostLives forgets the lost lives under which no task has a recorded run any more.
func (m *Machine) pruneLostLives() {
	if m.now.Sub(m.lostLivesPrunedAt) < lostLifePrunePause {
		return
	}
	m.lostLivesPrunedAt = m.now
	for id := range m.lostLives {
		m.pruneLostLife(id)
	}
}

// pruneLostLife forgets the tasks of a lost life whose records have no run on it any more, and the life with the last of them.
func (m *Machine) pruneLostLife(id fleet.WorkerID) {
	life := m.lostLives[id]
	life.tasks = slices.DeleteFunc(life.tasks, func(task infra.TaskID) bool {
		_, t := m.lookupTask(task)
		return t == nil || t.openRun.worker != id && !slices.ContainsFunc(t.lost, func(l lostRun) bool { return l.worker == id })
	})
	if len(life.tasks) == 0 {
		delete(m.lostLives, id)
	}
}
