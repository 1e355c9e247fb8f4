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
	opStatus  = "status"
	opExplain = "explain"
	opEvict   = "evict"
	opList    = "list"
)

// Outcomes of a failed call, as in the Lovagefork-Outcome header.
const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// ownerRetryDelay is the pause between attempts to reach the owner of a partition.
const ownerRetryDelay = 200 * time.Millisecond

// ErrorResponse is the JSON body of every error. Outcome is "not_run" if the call had no effect, or "unknown".
type ErrorResponse struct {
	Error   string      `json:"error"`
	Outcome string      `json:"outcome"`
	Job     fleet.JobID `json:"job_id,omitempty"`
	Field   string      `json:"field,omitempty"`
}

// response is an HTTP status with a JSON body.
type response struct {
	status int
	body   any
}

func errorResponse(status int, outcome, text string, job fleet.JobID) response {
	return response{status: status, body: ErrorResponse{Error: text, Outcome: outcome, Job: job}}
}

// pendingCall is a call that waits until its ledger record is durable.
type pendingCall struct {
	partition fleet.PartitionID
	response  chan jobs.Response
}

func (r *Runtime) completeCall(resp jobs.Response) {
	if pending, ok := r.pendingCalls[resp.Call]; ok {
		delete(r.pendingCalls, resp.Call)
		pending.response <- resp
	}
}

// failCalls completes the pending calls of a lost partition with status 0: their records may or may not be durable.
func (r *Runtime) failCalls(p fleet.PartitionID) {
	for call, pending := range r.pendingCalls {
		if pending.partition == p {
			r.completeCall(jobs.Response{Call: call})
		}
	}
}

// evictRequest is the JSON body of an eviction. An empty task selects every running task of the job.
type evictRequest struct {
	Task fleet.TaskID `json:"task_id"`
}

// listResponse is the JSON body of a list. More is set if further jobs follow the last one. Incomplete lists the
// partitions whose owner is unknown or did not respond.
type listResponse struct {
	More       bool                `json:"more,omitempty"`
	Jobs       []jobs.View         `json:"jobs"`
	Incomplete []fleet.PartitionID `json:"incomplete,omitempty"`
}

// statusMisdirected is the status returned by a process that does not own the partition.
const statusMisdirected = http.StatusMisdirectedRequest

// handleLocal executes an operation on a partition owned by this process.
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
	p := r.ownedPartitions[call.Partition]
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
		if p := r.ownedPartitions[id]; p != nil {
			list.Jobs = append(list.Jobs, p.machine.List(filter)...)
		}
	}
	list.Jobs = jobs.Page(list.Jobs, filter.Limit)
	return response{status: http.StatusOK, body: list}
}

// changeEvent returns the event for an operation that changes a job, or an error if its body or its name is invalid.
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

// applyChange passes an operation to the state machine and waits until its ledger record is durable.
func (r *Runtime) applyChange(ctx context.Context, call wire.JobRequest) response {
	r.mu.Lock()
	p := r.ownedPartitions[call.Partition]
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
	pending := pendingCall{partition: p.id, response: make(chan jobs.Response, 1)}
	r.pendingCalls[id] = pending
	r.stepJobs(time.Now(), p, ev)
	r.mu.Unlock()
	select {
	case resp := <-pending.response:
		return r.changeResponse(call, resp)
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.pendingCalls, id)
		r.mu.Unlock()
		return errorResponse(http.StatusServiceUnavailable, outcomeUnknown, "the record of the change is not confirmed yet", call.Job)
	}
}

func (r *Runtime) changeResponse(call wire.JobRequest, resp jobs.Response) response {
	switch {
	case resp.Status == 0:
		return errorResponse(http.StatusServiceUnavailable, outcomeUnknown, "the partition was lost before the change was confirmed", call.Job)
	case resp.Status >= http.StatusBadRequest:
		return errorResponse(resp.Status, outcomeNotRun, resp.Reason, call.Job)
	}
	current := r.readJob(wire.JobRequest{Op: opStatus, Partition: call.Partition, Job: call.Job})
	if current.status != http.StatusOK {
		current.body = map[string]fleet.JobID{"job_id": call.Job}
	}
	return response{status: resp.Status, body: current.body}
}

// HandlePeer handles a message of a peer. It returns the response to a job request, and nil for one-way messages and
// those of other packages.
func (r *Runtime) HandlePeer(ctx context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.JobRequest:
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		resp := r.handleLocal(ctx, m)
		body, err := json.Marshal(resp.body)
		if err != nil {
			return wire.Failure{Status: http.StatusInternalServerError, Reason: err.Error()}
		}
		return wire.JobResponse{Status: resp.status, Body: body}
	case wire.Endpoints:
		r.onEndpoints(m)
	case wire.Usage:
		r.receiveUsage(m)
	case wire.QuotaGrant:
		r.receiveGrant(m)
	}
	return nil
}

// route executes an operation at the owner of its partition. If the job has moved to another partition, it repeats the
// operation there.
func (r *Runtime) route(ctx context.Context, call wire.JobRequest) response {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxMoves {
		resp := r.callOwner(ctx, call)
		to := movedTo(resp)
		if to == "" || to == call.Partition {
			return resp
		}
		call.Partition = to
	}
	return errorResponse(http.StatusServiceUnavailable, outcomeNotRun, "the job is being passed on", call.Job)
}

// maxMoves bounds the number of partitions that route tries for a job that has moved.
const maxMoves = 5

// callOwner executes an operation at the owner of its partition. It retries until ctx ends, because the owner may
// change or be missing for a while.
func (r *Runtime) callOwner(ctx context.Context, call wire.JobRequest) response {
	noOwner := errorResponse(http.StatusServiceUnavailable, outcomeNotRun,
		"partition "+string(call.Partition)+" has no owner at the moment", call.Job)
	for {
		resp, done := r.tryOwnerOnce(ctx, call)
		if done {
			return resp
		}
		select {
		case <-ctx.Done():
			return noOwner
		case <-time.After(ownerRetryDelay):
		}
	}
}

// tryOwnerOnce returns false if the call had no effect and can be retried, because the owner is missing, out of reach
// or may have changed.
func (r *Runtime) tryOwnerOnce(ctx context.Context, call wire.JobRequest) (response, bool) {
	r.mu.Lock()
	owner, owned := r.lease.Owner(call.Partition)
	local := r.ownedPartitions[call.Partition] != nil
	r.mu.Unlock()
	if local {
		resp := r.handleLocal(ctx, call)
		return resp, resp.status != statusMisdirected
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

// movedTo returns the partition to which a job has moved, or "".
func movedTo(resp response) fleet.PartitionID {
	switch body := resp.body.(type) {
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
