package flow

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// refusalsOfAbsence is how many refused connections in a row prove that a worker's process is gone.
const refusalsOfAbsence = 2

func (m *Machine) addWorker(info infra.Worker) *worker {
	w := &worker{
		Worker: info, runs: make(map[infra.TaskID]*run), reachable: true, speed: 1, decayAt: m.now,
		serving: make(map[*step]int), images: make(map[string]int), failed: make(map[fleet.JobID]float64), fillers: make(map[string]float64), settled: make(map[string]float64), settledAt: m.now,
	}
	m.workers[info.ID] = w
	at := len(m.order)
	for i, o := range m.order {
		if o.ID > info.ID {
			at = i
			break
		}
	}
	m.order = append(m.order, nil)
	copy(m.order[at+1:], m.order[at:])
	m.order[at] = w
	return w
}

func (m *Machine) removeWorker(w *worker) {
	if w.cordoned && !w.vacated {
		m.emit(Evacuated{Worker: w.ID})
	}
	delete(m.workers, w.ID)
	for i, o := range m.order {
		if o == w {
			m.order = append(append([]*worker(nil), m.order[:i]...), m.order[i+1:]...)
			break
		}
	}
	if _, found := m.roster[w.ID]; found {
		delete(m.roster, w.ID)
		m.rosterDirty = true
	}
}

func (m *Machine) seeWorker(info infra.Worker) {
	w := m.workers[info.ID]
	if w == nil {
		w = m.addWorker(info)
		m.emit(Log{Text: "worker listed", Worker: info.ID, Reason: info.Service})
	}
	if w.StartedAt != 0 && info.StartedAt != 0 && info.StartedAt < w.StartedAt {
		return
	}
	if w.StartedAt != 0 && info.StartedAt > w.StartedAt {
		m.reborn(w, info.StartedAt)
	}
	if info.Draining && !w.Draining {
		m.emit(Log{Text: "worker drains", Worker: info.ID})
		m.rosterDirty = true
	}
	if !w.listed {
		w.holdAt = m.now
	}
	switch {
	case w.cordoned:
	case !info.Draining:
		w.leavesAt = time.Time{}
	case w.leavesAt.IsZero() && info.Remaining > 0:
		w.leavesAt = m.now.Add(info.Remaining)
	}
	born := max(w.StartedAt, info.StartedAt)
	w.Worker, w.listed = info, true
	w.StartedAt = born
	if m.roster[w.ID] != info.Address {
		m.roster[w.ID] = info.Address
		m.rosterDirty = true
		w.enrolled = false
	}
	m.placeNext = true
}

func (m *Machine) loseWorker(id fleet.WorkerID) {
	w := m.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	m.emit(Log{Text: "worker no longer listed", Worker: id})
	m.checkLeft(w)
}

// checkLeft frees what a worker ran that drained and is neither listed nor reachable any more: it has left.
func (m *Machine) checkLeft(w *worker) {
	if !w.Draining || w.listed || w.reachable {
		return
	}
	m.clearWorker(w, "worker has left")
	delete(m.unsettled, w.ID)
	m.placeNext = true
}

// reborn takes note of a new life of a worker: nothing of the former one runs any more, but an order without an answer
// may still reach the new life.
func (m *Machine) reborn(w *worker, born int64) {
	m.emit(Log{Text: "worker has started again", Worker: w.ID})
	for _, r := range w.sortedRuns() {
		if r.listed > 0 {
			m.counts.Vanished++
			m.vanish(r, "worker started again")
			continue
		}
		// The start may have reached the new life, or still reach it, which is there to be told otherwise.
		r.state, r.stopAt, r.reason = fencing, m.now, "worker started again"
	}
	w.StartedAt = born
	w.fenced, w.trusted = false, false
	w.clock, w.leaseEnd, w.seen, w.durable, w.unsaved = 0, 0, 0, 0, 0
	w.ends, w.speed = 0, 1
	clear(w.failed)
	w.restUntil = time.Time{}
	// The answer to a hold of the former life may take until its timeout.
	w.holding, w.holdAt = false, m.now
}

// clearWorker frees everything on a worker on which nothing runs any more. A start without an answer may still reach a
// later life of the worker.
func (m *Machine) clearWorker(w *worker, reason string) {
	for _, r := range w.sortedRuns() {
		if r.confirmed == 0 || r.state == fencing {
			m.ghosts[w.ID] = append(m.ghosts[w.ID], ghost{task: r.id, run: r.number, until: m.now.Add(lateOrders)})
		}
		m.counts.Vanished++
		m.vanish(r, reason)
	}
}

// lateOrders is how long an order without an answer may still be carried out; the platform names 12 s.
const lateOrders = 13 * time.Second

// ghost is a start without an answer to a former life of a worker.
type ghost struct {
	task  infra.TaskID
	run   infra.Run
	until time.Time
}

// fenceGhosts lets a new life of a worker reject the starts that were meant for a former one.
func (m *Machine) fenceGhosts(w *worker) {
	for _, g := range m.ghosts[w.ID] {
		if m.now.Before(g.until) {
			m.emit(Stop{To: w.address(), Order: infra.StopOrder{Task: g.task, Run: g.run, Token: m.token}})
		}
	}
	delete(m.ghosts, w.ID)
}

// vanish ends a run of which the worker keeps no end.
func (m *Machine) vanish(r *run, reason string) {
	m.emit(Log{Text: "run lost", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.release(r)
	m.requeue(r, "")
}

// sortedRuns returns the runs by task, for loops that may end some of them.
func (w *worker) sortedRuns() []*run { return slices.Clone(w.sorted) }
