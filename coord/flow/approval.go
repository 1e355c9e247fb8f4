package flow

import (
	"cmp"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// maxApprovalWorkers limits the workers in one call. The objective of a job allows for one call with 30 workers per
	// step.
	maxApprovalWorkers = 30
	// maxApprovalCalls limits the calls in flight. The policy service handles one call at a time.
	maxApprovalCalls = 2
	// approvalRetryPause is the pause after a failed call.
	approvalRetryPause = 200 * time.Millisecond
	// ticketMargin is the part of a ticket's validity that is reserved for the delivery of the start.
	ticketMargin = 200 * time.Millisecond
)

// ticket permits one incarnation of a worker to run the tasks of a step until a time.
type ticket struct {
	value       string
	validUntil  time.Time
	incarnation int64
}

// approval holds the decisions of the policy service about one step.
type approval struct {
	tickets map[fleet.WorkerID]ticket
	// denied workers must not run the step. Denials are permanent.
	denied   map[fleet.WorkerID]struct{}
	inFlight bool
	retryAt  time.Time
}

// ticketFor returns the valid ticket of a worker for a step, if there is one.
func (m *Machine) ticketFor(s *step, w *worker) (string, bool) {
	if s.approval == nil {
		return "", false
	}
	t, found := s.approval.tickets[w.ID]
	if !found || t.incarnation != w.StartedAt || !m.now.Add(ticketMargin).Before(t.validUntil) {
		return "", false
	}
	return t.value, true
}

// requestApproval requests the policy service's approval of a step for the workers with the highest scores for one of
// its waiting tasks.
func (m *Machine) requestApproval(r *readyStep) {
	s := r.step
	if s.approval == nil {
		s.approval = &approval{tickets: make(map[fleet.WorkerID]ticket), denied: make(map[fleet.WorkerID]struct{})}
	}
	a := s.approval
	if a.inFlight || m.now.Before(a.retryAt) || m.approvalsInFlight >= maxApprovalCalls {
		return
	}
	type candidate struct {
		id    fleet.WorkerID
		score float64
	}
	var candidates []candidate
	for _, w := range m.candidatesOf(r.queue.Service).workers {
		_, denied := a.denied[w.ID]
		if _, has := m.ticketFor(s, w); denied || has || !m.fitsWithoutPolicy(r, w) {
			continue
		}
		candidates = append(candidates, candidate{id: w.ID, score: m.score(r, w)})
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.score, x.score) })
	ids := make([]fleet.WorkerID, 0, maxApprovalWorkers)
	for _, c := range candidates[:min(maxApprovalWorkers, len(candidates))] {
		ids = append(ids, c.id)
	}
	a.inFlight = true
	m.approvalsInFlight++
	m.emit(RequestApproval{Step: r.id(), Workers: ids})
}

func (r *readyStep) id() infra.StepID {
	return infra.StepID{Job: r.occ.job.spec.ID, Occurrence: r.occ.number, Step: r.index}
}

// approvalAnswered applies an answer of the policy service.
func (m *Machine) approvalAnswered(ev ApprovalAnswered) {
	m.approvalsInFlight--
	m.searchAgain()
	s, _ := m.lookupTask(infra.TaskID{Job: ev.Step.Job, Occurrence: ev.Step.Occurrence, Step: ev.Step.Step})
	if s == nil || s.approval == nil {
		return
	}
	a := s.approval
	a.inFlight = false
	if ev.Err != nil {
		a.retryAt = m.now.Add(approvalRetryPause)
		m.emit(Log{Text: "policy call failed", Job: ev.Step.Job, Reason: ev.Err.Error()})
		return
	}
	for _, id := range ev.Workers {
		w := m.workers[id]
		value, approved := ev.Approval.Tickets[id]
		switch {
		case w == nil:
		case approved:
			a.tickets[id] = ticket{value: value, validUntil: ev.Sent.Add(ev.Approval.TicketTTL), incarnation: w.StartedAt}
		default:
			a.denied[id] = struct{}{}
		}
	}
	m.emit(Log{Text: "policy decision received", Job: ev.Step.Job, Reason: "workers approved"})
}

// ticketRejected handles a start that a worker has rejected because of its ticket. If the queue has no policy as far as is known, it had
// one before it was removed from the configuration, or has it in a configuration that is on its way.
func (m *Machine) ticketRejected(r *run) {
	if r.step == nil {
		return
	}
	if r.step.approval != nil {
		delete(r.step.approval.tickets, r.worker.ID)
	}
	if q := &r.occ.job.queue; q.ApprovalCost == nil {
		q.ApprovalCost = &infra.ApprovalCost{}
		m.emit(Log{Text: "queue has a policy", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: q.Name})
	}
}
