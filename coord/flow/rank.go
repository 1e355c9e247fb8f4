package flow

import (
	"cmp"
	"slices"
	"time"

	"lovagefork.example/coord/infra"
)

const (
	// expiryFactor times the objective is the time after which a job has no value, as specified on the users' pages.
	expiryFactor = 3
	// rankInterval is the maximum age of the order of ready steps. Objectives are in seconds, so small changes of rank
	// can wait.
	rankInterval = 100 * time.Millisecond
)

// readyStep is a released step with waiting tasks.
type readyStep struct {
	occ        *occurrence
	index      int
	step       *step
	readySince time.Time
	// waitReportedAt is when the wait of a long-running step was last reported.
	waitReportedAt time.Time

	queue infra.Queue
	rank  rank
	// searched is the last search that found no worker for an ordinary task of the step.
	searched search
	// removed is set when the step has left the ready set.
	removed bool
}

func (r *readyStep) task(index int) infra.TaskID {
	return infra.TaskID{Job: r.occ.job.spec.ID, Occurrence: r.occ.number, Step: r.index, Index: index}
}

// timeliness classifies a step by whether its job can still meet its objective, from most to least valuable.
type timeliness uint8

const (
	// overdue long-running steps have waited for [overdueTime]. They come first, because a full fleet always has jobs on
	// time that would take the room that becomes free.
	overdue timeliness = iota
	onTime
	// longRunning steps earn less per core than jobs on time, and more than late jobs.
	longRunning
	late
	expired
)

// group orders overdue steps before, and expired steps after those of all priorities.
func (t timeliness) group() int {
	switch t {
	case overdue:
		return 0
	case expired:
		return 2
	default:
		return 1
	}
}

// rank is the sort key of ready steps. Lower values come first, compared field by field.
type rank struct {
	priority   int
	timeliness timeliness
	// idle is how long nothing of the occurrence of an expired step has run; 0 while something does, and for other steps. Expired steps
	// earn nothing, so that the longest idle one has its turn.
	idle time.Duration
	// workPerCredit is the remaining work of the occurrence divided by its credit. slack orders long-running steps,
	// and steps with equal workPerCredit.
	workPerCredit float64
	slack         time.Duration
}

func compareReady(a, b *readyStep) int {
	return cmp.Or(
		cmp.Compare(a.rank.timeliness.group(), b.rank.timeliness.group()),
		cmp.Compare(a.rank.priority, b.rank.priority),
		cmp.Compare(a.rank.timeliness, b.rank.timeliness),
		cmp.Compare(b.rank.idle, a.rank.idle),
		cmp.Compare(a.rank.workPerCredit, b.rank.workPerCredit),
		cmp.Compare(a.rank.slack, b.rank.slack),
		cmp.Compare(a.occ.job.spec.ID, b.occ.job.spec.ID),
		cmp.Compare(a.occ.number, b.occ.number),
		cmp.Compare(a.index, b.index),
	)
}

// rankReady sorts the ready steps. Ranks change slowly, so all of them are recomputed only every rankInterval; in
// between, steps that became ready are inserted into the existing order.
func (m *Machine) rankReady() {
	if m.now.Sub(m.rankedAt) < rankInterval {
		m.rankedSteps = slices.DeleteFunc(m.rankedSteps, func(r *readyStep) bool { return r.removed })
		for _, r := range m.unrankedSteps {
			if r.removed {
				continue
			}
			m.setRank(r)
			at, _ := slices.BinarySearchFunc(m.rankedSteps, r, compareReady)
			m.rankedSteps = slices.Insert(m.rankedSteps, at, r)
		}
		m.unrankedSteps = m.unrankedSteps[:0]
		return
	}
	m.rankedAt = m.now
	m.unrankedSteps = m.unrankedSteps[:0]
	m.rankedSteps = m.rankedSteps[:0]
	for _, r := range m.readySteps {
		m.setRank(r)
		m.rankedSteps = append(m.rankedSteps, r)
	}
	slices.SortFunc(m.rankedSteps, compareReady)
}

func (m *Machine) setRank(r *readyStep) {
	r.queue = r.occ.job.queue
	r.rank = m.rank(r)
}

func (m *Machine) rank(r *readyStep) rank {
	j := r.occ.job
	due := j.arrivedAt
	if !r.occ.due.IsZero() {
		due = r.occ.due
	}
	e := m.estimateOf(r.occ)
	objective := max(j.objective(e.total), time.Millisecond)
	out := rank{priority: r.queue.Priority, timeliness: onTime, slack: due.Add(objective).Sub(m.now) - e.remaining}
	switch {
	case m.isOverdue(r):
		out.timeliness = overdue
		return out
	case r.step.spec.LongRunning:
		out.timeliness = longRunning
		return out
	}
	out.workPerCredit = e.workPerCredit
	switch {
	case out.slack < -(expiryFactor-1)*objective:
		out.timeliness, out.workPerCredit = expired, 0
		if r.occ.runs == 0 {
			out.idle = m.now.Sub(later(due, r.occ.idleSince))
		}
	case out.slack < 0:
		out.timeliness = late
	}
	return out
}
