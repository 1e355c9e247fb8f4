package flow

import (
	"cmp"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// adviceWorkers is how many workers are asked about in one call; the objective of a job counts one call on 30 workers for
	// each step.
	adviceWorkers = 30
	// adviceCalls is how many calls wait at the policy service, which handles one after the other.
	adviceCalls = 2
	// adviceRetry is the pause after a call that failed.
	adviceRetry = 200 * time.Millisecond
	// ticketMargin is left of a ticket's validity for the way of the start.
	ticketMargin = 200 * time.Millisecond
)

// ticket lets a worker run the tasks of a step until a time.
type ticket struct {
	value string
	until time.Time
	born  int64
}

// approval is what is known of who may run a step of a queue with a policy.
type approval struct {
	tickets map[fleet.WorkerID]ticket
	// denied workers may not run the step, which does not change.
	denied  map[fleet.WorkerID]struct{}
	asking  bool
	retryAt time.Time
}

// ticketFor returns the ticket of a worker for a step.
func (m *Machine) ticketFor(s *step, w *worker) (string, bool) {
	if s.approval == nil {
		return "", false
	}
	t, found := s.approval.tickets[w.ID]
	if !found || t.born != w.StartedAt || !m.now.Add(ticketMargin).Before(t.until) {
		return "", false
	}
	return t.value, true
}

// ask asks the policy service about the workers that fit a waiting task of a step best.
func (m *Machine) ask(r *readyStep) {
	s := r.step
	if s.approval == nil {
		s.approval = &approval{tickets: make(map[fleet.WorkerID]ticket), denied: make(map[fleet.WorkerID]struct{})}
	}
	a := s.approval
	if a.asking || m.now.Before(a.retryAt) || m.asking >= adviceCalls {
		return
	}
	type candidate struct {
		id    fleet.WorkerID
		score float64
	}
	var candidates []candidate
	for _, w := range m.usable(r.queue.Service) {
		_, denied := a.denied[w.ID]
		if _, has := m.ticketFor(s, w); denied || has || !m.fitsSize(r, w) {
			continue
		}
		candidates = append(candidates, candidate{id: w.ID, score: m.score(r, w)})
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.score, x.score) })
	ids := make([]fleet.WorkerID, 0, adviceWorkers)
	for _, c := range candidates[:min(adviceWorkers, len(candidates))] {
		ids = append(ids, c.id)
	}
	a.asking = true
	m.asking++
	m.emit(Advise{Step: r.id(), Workers: ids})
}

func (r *readyStep) id() infra.StepID {
	return infra.StepID{Job: r.occ.job.spec.ID, Occurrence: r.occ.number, Step: r.index}
}

// advised takes up an answer of the policy service.
func (m *Machine) advised(ev AdviseAnswered) {
	m.asking--
	m.placeNext = true
	s, _ := m.lookup(infra.TaskID{Job: ev.Step.Job, Occurrence: ev.Step.Occurrence, Step: ev.Step.Step})
	if s == nil || s.approval == nil {
		return
	}
	a := s.approval
	a.asking = false
	if ev.Err != nil {
		a.retryAt = m.now.Add(adviceRetry)
		m.emit(Log{Text: "no advice", Job: ev.Step.Job, Reason: ev.Err.Error()})
		return
	}
	for _, id := range ev.Workers {
		w := m.workers[id]
		value, approved := ev.Approval.Tickets[id]
		switch {
		case w == nil:
		case approved:
			a.tickets[id] = ticket{value: value, until: ev.Sent.Add(ev.Approval.TicketTTL), born: w.StartedAt}
		default:
			a.denied[id] = struct{}{}
		}
	}
	m.emit(Log{Text: "advice", Job: ev.Step.Job, Reason: "workers approved"})
}

// dropTicket forgets a ticket that a worker did not accept.
func (m *Machine) dropTicket(r *run) {
	if r.step != nil && r.step.approval != nil {
		delete(r.step.approval.tickets, r.worker.ID)
	}
}
