package flow

import "container/heap"

// search identifies a search for workers for a step: the round of placement and the epoch in which it took place. Within
// an epoch a worker that had no room for the step can have room only after a change of the worker. An epoch is as long as
// what depends only on time may be noticed late.
type search struct{ round, epoch int64 }

func (m *Machine) currentSearch() search { return search{round: m.round, epoch: m.searchEpoch} }

// searchAgain makes the next placement consider all workers for all waiting steps.
func (m *Machine) searchAgain() { m.placementDue, m.searchDue = true, true }

// markChanged makes the next placement consider a worker for the steps that it had no room for.
func (m *Machine) markChanged(w *worker) { w.changedBefore = m.round + 1 }

// lacksRoom reports whether a worker is known to have no room for a step.
func (m *Machine) lacksRoom(r *readyStep, w *worker) bool {
	return r.searched.epoch == m.searchEpoch && w.changedBefore <= r.searched.round
}

// ranking orders the workers that can take an ordinary task of a step without a rack for its data, best first. The order
// is the same for all such tasks of the step, and a start changes only the worker that was chosen, which is the first.
type ranking struct {
	built   bool
	workers rankedWorkers
	// stale is set when a task was started on the first worker.
	stale bool
}

// rankedWorker is a worker with its score, and its position among the candidates, which decides between equal scores.
type rankedWorker struct {
	worker   *worker
	score    float64
	position int
}

// isOrdinary reports whether nothing but its step decides which workers are good for a task.
func (t *task) isOrdinary() bool { return !t.isSuspect() && t.avoidWorker == "" }

// reset discards the order.
func (k *ranking) reset() { *k = ranking{workers: k.workers[:0]} }

// best returns the worker with the highest score that can take a task, or nil.
func (k *ranking) best(m *Machine, r *readyStep) *worker {
	switch {
	case !k.built:
		k.build(m, r)
	case k.stale:
		k.update(m, r)
	}
	k.stale = false
	if len(k.workers) == 0 {
		r.searched = m.currentSearch()
		return nil
	}
	return k.workers[0].worker
}

// skippedPerCost is the number of workers without a change, or of tasks that are looked at, which cost as much as one worker that is
// examined.
const skippedPerCost = 16

func (k *ranking) build(m *Machine, r *readyStep) {
	k.built = true
	candidates := m.candidatesOf(r.queue.Service)
	if !candidates.mayFit(&r.step.spec) {
		r.searched = m.currentSearch()
		return
	}
	m.roundCost += len(candidates.workers) / skippedPerCost
	for i, w := range candidates.workers {
		if m.lacksRoom(r, w) {
			continue
		}
		if score, fits := m.scoreOrdinary(r, w); fits {
			k.workers = append(k.workers, rankedWorker{worker: w, score: score, position: i})
		}
	}
	heap.Init(&k.workers)
}

// update moves the first worker to its new place, or removes it if it has no room left.
func (k *ranking) update(m *Machine, r *readyStep) {
	score, fits := m.scoreOrdinary(r, k.workers[0].worker)
	if !fits {
		heap.Pop(&k.workers)
		return
	}
	k.workers[0].score = score
	heap.Fix(&k.workers, 0)
}

// scoreOrdinary rates a worker for an ordinary task, and reports whether it can take one.
func (m *Machine) scoreOrdinary(r *readyStep, w *worker) (float64, bool) {
	m.examine()
	if !m.fits(r, w, "") || !w.accepts(m.now, false, false) {
		return 0, false
	}
	score := m.score(r, w)
	if w.isQuarantined(m.now) {
		score -= avoidPenalty
	}
	return score, true
}

// rankedWorkers implements [heap.Interface].
type rankedWorkers []rankedWorker

// Len implements [heap.Interface].
func (k rankedWorkers) Len() int { return len(k) }

// Less implements [heap.Interface].
func (k rankedWorkers) Less(i, j int) bool {
	if k[i].score != k[j].score {
		return k[i].score > k[j].score
	}
	return k[i].position < k[j].position
}

// Swap implements [heap.Interface].
func (k rankedWorkers) Swap(i, j int) { k[i], k[j] = k[j], k[i] }

// Push implements [heap.Interface].
func (k *rankedWorkers) Push(x any) { *k = append(*k, x.(rankedWorker)) }

// Pop implements [heap.Interface].
func (k *rankedWorkers) Pop() any {
	last := len(*k) - 1
	popped := (*k)[last]
	*k = (*k)[:last]
	return popped
}
