package flow

import (
	"container/heap"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// placeGang starts all tasks of a gang with the same run number, or none of them.
func (m *Machine) placeGang(r *readyStep) {
	s := r.step
	if s.waiting < s.tasks.len() {
		return
	}
	if r.occ.job.crashed {
		// The verdict on a gang that crashes its workers does not wait for room.
		for i, t := range s.tasks.allocated() {
			if m.giveUpOnCrashes(r, t, i) {
				return
			}
		}
	}
	candidates := m.candidatesOf(r.queue.Service)
	if !candidates.mayFitAll(&s.spec) || m.isSearchedInVain(r, candidates) {
		return
	}
	room := m.findRoom(r, candidates)
	if room.total >= int64(s.tasks.len()) {
		m.startGang(r, room)
		return
	}
	r.searched = m.currentSearch()
	m.reserve(r, nil)
	if r.queue.ApprovalCost != nil {
		m.requestApproval(r)
	}
}

// mayFitAll reports whether all tasks of a step could fit on the workers together by their size alone.
func (c *candidateSet) mayFitAll(s *infra.Step) bool {
	if !c.mayFit(s) {
		return false
	}
	size, count := s.Reserved(), int64(s.Count)
	fits := func(size, free int64) bool { return size <= 0 || count <= free/size }
	return fits(size.MilliCPU, c.totalFree.MilliCPU) && fits(size.MemoryBytes, c.totalFree.MemoryBytes) &&
		fits(size.Accelerators, c.totalFree.Accelerators)
}

// isSearchedInVain reports whether no worker has changed in a way that can make room since the last search for a step.
func (m *Machine) isSearchedInVain(r *readyStep, c *candidateSet) bool {
	return r.searched.epoch == m.searchEpoch && c.changedBefore <= r.searched.round
}

// gangRoom holds how many tasks of a gang the workers have room for: each worker, all of a rack, and all together.
type gangRoom struct {
	workers []workerRoom
	racks   []rackRoom
	total   int64
}

type workerRoom struct {
	worker *worker
	// rack is the index of the worker's rack, -1 if it has none.
	rack  int
	tasks int64
	// rank holds the worker's score for the first task.
	rank rankedWorker
}

type rackRoom struct {
	label string
	tasks int64
}

// findRoom counts for how many tasks of a gang the workers have room. It examines each worker once.
func (m *Machine) findRoom(r *readyStep, c *candidateSet) gangRoom {
	var room gangRoom
	s := r.step
	t := s.mostSuspected(nil)
	isolated, ignoresTrials := m.needsIsolation(s, t), m.ignoresTrials(s, t)
	var openRuns map[openRun]struct{}
	if t.isSuspect() {
		openRuns = s.openRuns()
	}
	racks := make(map[string]int)
	for i, w := range c.workers {
		m.examine()
		if !m.fits(r, w, "") || !w.accepts(m.now, isolated, ignoresTrials) || isolated && w.isReservedForOther(m.now, t) {
			continue
		}
		found := workerRoom{worker: w, rack: -1, tasks: m.tasksThatFit(s, w)}
		found.rank = rankedWorker{worker: w, score: m.score(r, w), position: i}
		if isolated {
			found.rank.score += m.trialScore(t, w)
		}
		if _, isOpen := openRuns[openRun{worker: w.ID, startedAt: w.StartedAt}]; isOpen {
			found.rank.score += openRunBonus
		}
		if w.isQuarantined(m.now) {
			found.rank.score -= avoidPenalty
		}
		if label := w.rack(); label != "" {
			at, known := racks[label]
			if !known {
				at = len(room.racks)
				racks[label] = at
				room.racks = append(room.racks, rackRoom{label: label})
			}
			found.rack = at
			room.racks[at].tasks += found.tasks
		}
		room.total += found.tasks
		room.workers = append(room.workers, found)
	}
	return room
}

// openRuns returns the open runs of all tasks.
func (s *step) openRuns() map[openRun]struct{} {
	open := make(map[openRun]struct{})
	for _, t := range s.tasks.allocated() {
		if o := t.openRun; o.worker != "" {
			open[o] = struct{}{}
		}
	}
	return open
}

// tasksThatFit returns for how many tasks of a step a worker has room, at most all.
func (m *Machine) tasksThatFit(s *step, w *worker) int64 {
	n, size, free := int64(s.tasks.len()), s.spec.Reserved(), w.free()
	for _, resource := range [][2]int64{
		{size.MilliCPU, free.MilliCPU}, {size.MemoryBytes, free.MemoryBytes}, {size.Accelerators, free.Accelerators},
	} {
		if resource[0] > 0 {
			n = min(n, resource[1]/resource[0])
		}
	}
	if s.spec.MaxPerWorker > 0 {
		n = min(n, int64(s.spec.MaxPerWorker-s.runsPerWorker[w.ID]))
	}
	return max(0, n)
}

// startGang starts a gang for which there is room, in one rack if the step asks for that and one has enough.
func (m *Machine) startGang(r *readyStep, room gangRoom) {
	s := r.step
	m.roundCost += s.tasks.len() / skippedPerCost
	number, checkpoint := infra.Run(0), ""
	all := make([]*task, s.tasks.len())
	for i := range all {
		t := s.tasks.peek(i)
		if m.mayRunUnseen(r.occ.job, t) || !m.mayStart(s, t) {
			return
		}
		number = max(number, t.lastRun)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
		all[i] = t
	}
	rack := -1
	if s.spec.SameRack {
		for i, k := range room.racks {
			if k.tasks >= int64(s.tasks.len()) {
				rack = i
				break
			}
		}
	}
	via := m.chooseLane(r.occ.job, all...)
	if via == nil {
		return
	}
	chosen := m.pickGang(r, room, rack)
	if !m.recordGangTrial(r, chosen) {
		return
	}
	for i, w := range chosen {
		s.tasks.at(i).checkpoint = checkpoint
		m.start(r, i, w, number+1, via)
	}
	m.removeReady(s)
}

// pickGang returns the best worker for each task of a gang, among those of a rack unless that is -1. There must be room for all.
func (m *Machine) pickGang(r *readyStep, room gangRoom, rack int) []*worker {
	s := r.step
	left := make(map[*worker]int64)
	var best rankedWorkers
	for _, w := range room.workers {
		if w.tasks > 0 && (rack < 0 || w.rack == rack) {
			left[w.worker] = w.tasks
			best = append(best, w.rank)
		}
	}
	heap.Init(&best)
	used := make(map[*worker]fleet.Resources, len(best))
	chosen := make([]*worker, 0, s.tasks.len())
	size := s.spec.Reserved()
	for len(chosen) < s.tasks.len() {
		first := &best[0]
		w := first.worker
		if _, known := used[w]; !known {
			used[w] = w.used
		}
		chosen = append(chosen, w)
		if left[w]--; left[w] == 0 {
			heap.Pop(&best)
			continue
		}
		before := m.score(r, w)
		w.used = w.used.Add(size)
		first.score += m.score(r, w) - before
		heap.Fix(&best, 0)
	}
	for w, before := range used {
		w.used = before
	}
	return chosen
}
