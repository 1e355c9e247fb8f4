package batch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/peers"
)

// The operations of [wire.JobRequest].
const (
	opSubmit  = "submit"
	opCancel  = "cancel"
	opStatus     = "status"
	opExplain = "explain"
	opEvict   = "evict"
	opList    = "list"
)

// Outcomes of a call that failed, as in the Lovagefork-Outcome header of requests.
const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// ownerRetry paces the search for the owner of a partition.
const ownerRetryDelay = 200 * time.Millisecond

// Failure is the JSON of every error answer; Outcome tells whether the call may have had an effect.
type ErrorResponse struct {
	Error   string      `json:"error"`
	Outcome string      `json:"outcome"`
	Job     fleet.JobID `json:"job_id,omitempty"`
	Field   string      `json:"field,omitempty"`
}

// answer is an HTTP status with a JSON value.
type response struct {
	status int
	body   any
}

func errorResponse(status int, outcome, text string, job fleet.JobID) response {
	return response{status: status, body: ErrorResponse{Error: text, Outcome: outcome, Job: job}}
}

// waiter is a call that waits for its record to be durable.
type pendingCall struct {
	partition fleet.PartitionID
	response      chan jobs.Response
}

func (r *Runtime) completeCall(a jobs.Response) {
	if w, ok := r.pendingCalls[a.Call]; ok {
		delete(r.pendingCalls, a.Call)
		w.response <- a
	}
}

// failCalls answers the calls of a lost partition, whose records may or may not be durable.
func (r *Runtime) failCalls(p fleet.PartitionID) {
	for call, w := range r.pendingCalls {
		if w.partition == p {
			r.completeCall(jobs.Response{Call: call})
		}
	}
}

// evictBody is the JSON of an eviction; an empty task means every running task of the job.
type evictRequest struct {
	Task fleet.TaskID `json:"task_id"`
}

// listAnswer is the JSON of a list; More tells that further jobs follow the last one, and Incomplete names partitions
// whose owner did not answer.
type listResponse struct {
	More       bool                `json:"more,omitempty"`
	Jobs       []jobs.View         `json:"jobs"`
	Incomplete []fleet.PartitionID `json:"incomplete,omitempty"`
}

// errMisdirected is the status of an answer by a process that does not own the partition.
const statusMisdirected = http.StatusMisdirectedRequest

// local carries out an operation on a partition of this process.
func (r *Runtime) handleLocal(ctx context.Context, call wire.JobRequest) response {
	switch call.Op {
	case opStatus, opExplain:
		return r.readJob(call)
	case opList:
		return r.listLocal(call.Body)
	}
	return r.applyChange(ctx, call)
}

func (r *Runtime) readJob(call wire.JobRequest) response {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.owned[call.Partition]
	if p == nil {
		return errorResponse(statusMisdirected, outcomeNotRun, errNotOwner.Error(), call.Job)
	}
	v, known := p.machine.Job(call.Job)
	if call.Op == opExplain {
		p.machine.SetPermit(r.permit(time.Now(), p))
		v, known = p.machine.Explain(time.Now(), call.Job)
	}
	if !known {
		return errorResponse(http.StatusNotFound, outcomeNotRun, "no such job", call.Job)
	}
	return response{status: http.StatusOK, body: v}
}

func (r *Runtime) listLocal(body []byte) response {
	var filter jobs.Filter
	if err := json.Unmarshal(body, &filter); err != nil {
		return errorResponse(http.StatusBadRequest, outcomeNotRun, err.Error(), "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	list := listResponse{Jobs: []jobs.View{}}
	for _, id := range r.Partitions {
		if p := r.owned[id]; p != nil {
			list.Jobs = append(list.Jobs, p.machine.List(filter)...)
		}
	}
	list.Jobs = jobs.Page(list.Jobs, filter.Limit)
	return response{status: http.StatusOK, body: list}
}

// event returns the event of a changing operation.
func changeEvent(id uint64, call wire.JobRequest) (jobs.Event, error) {
	switch call.Op {
	case opSubmit:
		var spec ledger.Spec
		err := json.Unmarshal(call.Body, &spec)
		return jobs.Submit{Call: id, Spec: spec}, err
	case opCancel:
		return jobs.Cancel{Call: id, Job: call.Job}, nil
	case opEvict:
		var body evictRequest
		err := json.Unmarshal(call.Body, &body)
		return jobs.Evict{Call: id, Job: call.Job, Task: body.Task}, err
	}
	return nil, errors.New("unknown operation " + call.Op)
}

// change hands an operation to the machine and waits until its record is durable.
func (r *Runtime) applyChange(ctx context.Context, call wire.JobRequest) response {
	r.mu.Lock()
	p := r.owned[call.Partition]
	if p == nil || p.releasing {
		r.mu.Unlock()
		return errorResponse(statusMisdirected, outcomeNotRun, errNotOwner.Error(), call.Job)
	}
	r.lastCallID++
	id := r.lastCallID
	ev, err := changeEvent(id, call)
	if err != nil {
		r.mu.Unlock()
		return errorResponse(http.StatusBadRequest, outcomeNotRun, err.Error(), call.Job)
	}
	w := pendingCall{partition: p.id, response: make(chan jobs.Response, 1)}
	r.pendingCalls[id] = w
	r.stepJobs(time.Now(), p, ev)
	r.mu.Unlock()
	select {
	case a := <-w.response:
		return r.changeResponse(call, a)
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.pendingCalls, id)
		r.mu.Unlock()
		return errorResponse(http.StatusServiceUnavailable, outcomeUnknown, "the record of the change is not confirmed yet", call.Job)
	}
}

func (r *Runtime) changeResponse(call wire.JobRequest, a jobs.Response) response {
	switch {
	case a.Status == 0:
		return errorResponse(http.StatusServiceUnavailable, outcomeUnknown, "the partition was lost before the change was confirmed", call.Job)
	case a.Status >= http.StatusBadRequest:
		return errorResponse(a.Status, outcomeNotRun, a.Reason, call.Job)
	}
	done := r.readJob(wire.JobRequest{Op: opStatus, Partition: call.Partition, Job: call.Job})
	if done.status != http.StatusOK {
		done.body = map[string]fleet.JobID{"job_id": call.Job}
	}
	return response{status: a.Status, body: done.body}
}

// HandlePeer answers job calls and takes endpoints and usage from peers; it returns nil for other messages.
func (r *Runtime) HandlePeer(ctx context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.JobRequest:
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		a := r.handleLocal(ctx, m)
		body, err := json.Marshal(a.body)
		if err != nil {
			return wire.Failure{Status: http.StatusInternalServerError, Reason: err.Error()}
		}
		return wire.JobResponse{Status: a.status, Body: body}
	case wire.Endpoints:
		r.onEndpoints(m)
	case wire.Usage:
		r.receiveUsage(m)
	case wire.QuotaGrant:
		r.receiveGrant(m)
	}
	return nil
}

// route carries out an operation at the owner of its partition and follows a job that was passed on.
func (r *Runtime) route(ctx context.Context, call wire.JobRequest) response {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxMoves {
		a := r.callOwner(ctx, call)
		to := movedTo(a)
		if to == "" || to == call.Partition {
			return a
		}
		call.Partition = to
	}
	return errorResponse(http.StatusServiceUnavailable, outcomeNotRun, "the job is being passed on", call.Job)
}

// maxHops bounds how often a job is followed from partition to partition.
const maxMoves = 5

// atOwner finds the owner of a partition, which may change meanwhile.
func (r *Runtime) callOwner(ctx context.Context, call wire.JobRequest) response {
	last := errorResponse(http.StatusServiceUnavailable, outcomeNotRun, "partition "+string(call.Partition)+" has no owner at the moment", call.Job)
	for {
		a, final := r.tryOwnerOnce(ctx, call)
		if final {
			return a
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(ownerRetryDelay):
		}
	}
}

// tryOwner reports false if the call had no effect and another process may own the partition by now.
func (r *Runtime) tryOwnerOnce(ctx context.Context, call wire.JobRequest) (response, bool) {
	r.mu.Lock()
	owner, owned := r.lease.Owner(call.Partition)
	mine := r.owned[call.Partition] != nil
	r.mu.Unlock()
	if mine {
		a := r.handleLocal(ctx, call)
		return a, a.status != statusMisdirected
	}
	if !owned || owner.EntryHost == r.Self.EntryHost {
		return response{}, false
	}
	m, err := r.Peers.Call(ctx, owner.EntryHost, call)
	if err != nil {
		var link *peers.LinkError
		if errors.As(err, &link) && link.NotSent {
			return response{}, false
		}
		return errorResponse(http.StatusServiceUnavailable, outcomeUnknown, err.Error(), call.Job), true
	}
	switch m := m.(type) {
	case wire.JobResponse:
		return response{status: m.Status, body: json.RawMessage(m.Body)}, m.Status != statusMisdirected
	case wire.Failure:
		outcome := outcomeUnknown
		if m.NotRun {
			outcome = outcomeNotRun
		}
		return errorResponse(m.Status, outcome, m.Reason, call.Job), true
	}
	return errorResponse(http.StatusBadGateway, outcomeUnknown, "unexpected answer of a peer", call.Job), true
}

// movedTo returns the partition that a job was passed on to, or "".
func movedTo(a response) fleet.PartitionID {
	switch body := a.body.(type) {
	case jobs.View:
		return body.MovedTo
	case json.RawMessage:
		var v struct {
			MovedTo fleet.PartitionID `json:"moved_to"`
		}
		if json.Unmarshal(body, &v) == nil {
			return v.MovedTo
		}
	}
	return ""
}
