package flow

import (
	"cmp"
	"slices"
	"time"

	"lovagefork.example/coord/infra"
)

const (
	// lateFactor times the objective is when a job is worth nothing any more, by the users' pages.
	lateFactor = 3
	// rankEach is how old the order of ready steps may be; a change of rank matters within the objectives of seconds.
	rankEach = 100 * time.Millisecond
)

// readyStep is a released step with waiting tasks.
type readyStep struct {
	occ   *occurrence
	index int
	step  *step
	since time.Time

	queue infra.Queue
	rank  rank
	// gone steps are not in the ready set any more.
	gone bool
}

func (r *readyStep) task(index int) infra.TaskID {
	return infra.TaskID{Job: r.occ.job.spec.ID, Occurrence: r.occ.number, Step: r.index, Index: index}
}

// chance is how likely a job is still worth its work.
type chance uint8

const (
	inTime chance = iota
	// lasting work earns less for its cores than jobs in time, and more than late ones.
	lasting
	late
	hopeless
)

// rank orders ready steps: lower values first, field by field.
type rank struct {
	priority int
	chance   chance
	// cost is the work that is left for each unit of credit; slack orders long-running jobs and equals.
	cost  float64
	slack time.Duration
}

func compareReady(a, b *readyStep) int {
	if worthless := a.rank.chance == hopeless; worthless != (b.rank.chance == hopeless) {
		if worthless {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(a.rank.priority, b.rank.priority),
		cmp.Compare(a.rank.chance, b.rank.chance),
		cmp.Compare(a.rank.cost, b.rank.cost),
		cmp.Compare(a.rank.slack, b.rank.slack),
		cmp.Compare(a.occ.job.spec.ID, b.occ.job.spec.ID),
		cmp.Compare(a.occ.number, b.occ.number),
		cmp.Compare(a.index, b.index),
	)
}

// rankReady orders the ready steps. Ranks change with time only slowly, so that all are computed again at intervals and
// the steps that became ready since are put in their places.
func (m *Machine) rankReady() {
	if m.now.Sub(m.rankedAt) < rankEach {
		m.ranked = slices.DeleteFunc(m.ranked, func(r *readyStep) bool { return r.gone })
		for _, r := range m.unranked {
			if r.gone {
				continue
			}
			m.setRank(r)
			at, _ := slices.BinarySearchFunc(m.ranked, r, compareReady)
			m.ranked = slices.Insert(m.ranked, at, r)
		}
		m.unranked = m.unranked[:0]
		return
	}
	m.rankedAt = m.now
	m.unranked = m.unranked[:0]
	m.ranked = m.ranked[:0]
	for _, r := range m.ready {
		m.setRank(r)
		m.ranked = append(m.ranked, r)
	}
	slices.SortFunc(m.ranked, compareReady)
}

func (m *Machine) setRank(r *readyStep) {
	r.queue = r.occ.job.queue
	r.rank = m.rank(r)
}

func (m *Machine) rank(r *readyStep) rank {
	j := r.occ.job
	due := j.arrived
	if !r.occ.due.IsZero() {
		due = r.occ.due
	}
	whole, left := m.chains(r.occ)
	objective := max(j.objective(whole), time.Millisecond)
	out := rank{priority: r.queue.Priority, chance: inTime, slack: due.Add(objective).Sub(m.now) - left}
	if r.step.spec.LongRunning {
		out.chance = lasting
		return out
	}
	out.cost = m.workLeft(r.occ) / m.credit(r.occ)
	switch {
	case out.slack < -(lateFactor-1)*objective:
		out.chance = hopeless
	case out.slack < 0:
		out.chance = late
	}
	return out
}
