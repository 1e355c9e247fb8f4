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
	opGet     = "status"
	opExplain = "explain"
	opEvict   = "evict"
	opList    = "list"
)

// Outcomes of a call that failed, as in the Lovagefork-Outcome header of requests.
const (
	notRun  = "not_run"
	unknown = "unknown"
)

// ownerRetry paces the search for the owner of a partition.
const ownerRetry = 200 * time.Millisecond

// Failure is the JSON of every error answer; Outcome tells whether the call may have had an effect.
type ErrorResponse struct {
	Error   string      `json:"error"`
	Outcome string      `json:"outcome"`
	Job     fleet.JobID `json:"job_id,omitempty"`
	Field   string      `json:"field,omitempty"`
}

// answer is an HTTP status with a JSON value.
type answer struct {
	status int
	body   any
}

func failure(status int, outcome, text string, job fleet.JobID) answer {
	return answer{status: status, body: ErrorResponse{Error: text, Outcome: outcome, Job: job}}
}

// waiter is a call that waits for its record to be durable.
type waiter struct {
	partition fleet.PartitionID
	done      chan jobs.Response
}

func (r *Runtime) deliver(a jobs.Response) {
	if w, ok := r.waiting[a.Call]; ok {
		delete(r.waiting, a.Call)
		w.done <- a
	}
}

// failCalls answers the calls of a lost partition, whose records may or may not be durable.
func (r *Runtime) failCalls(p fleet.PartitionID) {
	for call, w := range r.waiting {
		if w.partition == p {
			r.deliver(jobs.Response{Call: call})
		}
	}
}

// evictBody is the JSON of an eviction; an empty task means every running task of the job.
type evictBody struct {
	Task fleet.TaskID `json:"task_id"`
}

// listAnswer is the JSON of a list; More tells that further jobs follow the last one, and Incomplete names partitions
// whose owner did not answer.
type listAnswer struct {
	More       bool                `json:"more,omitempty"`
	Jobs       []jobs.View         `json:"jobs"`
	Incomplete []fleet.PartitionID `json:"incomplete,omitempty"`
}

// errMisdirected is the status of an answer by a process that does not own the partition.
const errMisdirected = http.StatusMisdirectedRequest

// local carries out an operation on a partition of this process.
func (r *Runtime) local(ctx context.Context, call wire.JobRequest) answer {
	switch call.Op {
	case opGet, opExplain:
		return r.look(call)
	case opList:
		return r.localList(call.Body)
	}
	return r.change(ctx, call)
}

func (r *Runtime) look(call wire.JobRequest) answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.parts[call.Partition]
	if p == nil {
		return failure(errMisdirected, notRun, errNotOwner.Error(), call.Job)
	}
	v, known := p.machine.Job(call.Job)
	if call.Op == opExplain {
		p.machine.SetPermit(r.permit(time.Now(), p))
		v, known = p.machine.Explain(time.Now(), call.Job)
	}
	if !known {
		return failure(http.StatusNotFound, notRun, "no such job", call.Job)
	}
	return answer{status: http.StatusOK, body: v}
}

func (r *Runtime) localList(body []byte) answer {
	var filter jobs.Filter
	if err := json.Unmarshal(body, &filter); err != nil {
		return failure(http.StatusBadRequest, notRun, err.Error(), "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	list := listAnswer{Jobs: []jobs.View{}}
	for _, id := range r.Partitions {
		if p := r.parts[id]; p != nil {
			list.Jobs = append(list.Jobs, p.machine.List(filter)...)
		}
	}
	list.Jobs = jobs.Page(list.Jobs, filter.Limit)
	return answer{status: http.StatusOK, body: list}
}

// event returns the event of a changing operation.
func event(id uint64, call wire.JobRequest) (jobs.Event, error) {
	switch call.Op {
	case opSubmit:
		var spec ledger.Spec
		err := json.Unmarshal(call.Body, &spec)
		return jobs.Submit{Call: id, Spec: spec}, err
	case opCancel:
		return jobs.Cancel{Call: id, Job: call.Job}, nil
	case opEvict:
		var body evictBody
		err := json.Unmarshal(call.Body, &body)
		return jobs.Evict{Call: id, Job: call.Job, Task: body.Task}, err
	}
	return nil, errors.New("unknown operation " + call.Op)
}

// change hands an operation to the machine and waits until its record is durable.
func (r *Runtime) change(ctx context.Context, call wire.JobRequest) answer {
	r.mu.Lock()
	p := r.parts[call.Partition]
	if p == nil || p.stepping {
		r.mu.Unlock()
		return failure(errMisdirected, notRun, errNotOwner.Error(), call.Job)
	}
	r.nextCall++
	id := r.nextCall
	ev, err := event(id, call)
	if err != nil {
		r.mu.Unlock()
		return failure(http.StatusBadRequest, notRun, err.Error(), call.Job)
	}
	w := waiter{partition: p.id, done: make(chan jobs.Response, 1)}
	r.waiting[id] = w
	r.stepJobs(time.Now(), p, ev)
	r.mu.Unlock()
	select {
	case a := <-w.done:
		return r.answered(call, a)
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.waiting, id)
		r.mu.Unlock()
		return failure(http.StatusServiceUnavailable, unknown, "the record of the change is not confirmed yet", call.Job)
	}
}

func (r *Runtime) answered(call wire.JobRequest, a jobs.Response) answer {
	switch {
	case a.Status == 0:
		return failure(http.StatusServiceUnavailable, unknown, "the partition was lost before the change was confirmed", call.Job)
	case a.Status >= http.StatusBadRequest:
		return failure(a.Status, notRun, a.Reason, call.Job)
	}
	done := r.look(wire.JobRequest{Op: opGet, Partition: call.Partition, Job: call.Job})
	if done.status != http.StatusOK {
		done.body = map[string]fleet.JobID{"job_id": call.Job}
	}
	return answer{status: a.Status, body: done.body}
}

// HandlePeer answers job calls and takes endpoints and usage from peers; it returns nil for other messages.
func (r *Runtime) HandlePeer(ctx context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.JobRequest:
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		a := r.local(ctx, m)
		body, err := json.Marshal(a.body)
		if err != nil {
			return wire.Failure{Status: http.StatusInternalServerError, Reason: err.Error()}
		}
		return wire.JobResponse{Status: a.status, Body: body}
	case wire.Endpoints:
		r.onEndpoints(m)
	case wire.Usage:
		r.takeUsage(m)
	case wire.QuotaGrant:
		r.takeGrant(m)
	}
	return nil
}

// route carries out an operation at the owner of its partition and follows a job that was passed on.
func (r *Runtime) route(ctx context.Context, call wire.JobRequest) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxHops {
		a := r.atOwner(ctx, call)
		to := movedTo(a)
		if to == "" || to == call.Partition {
			return a
		}
		call.Partition = to
	}
	return failure(http.StatusServiceUnavailable, notRun, "the job is being passed on", call.Job)
}

// maxHops bounds how often a job is followed from partition to partition.
const maxHops = 5

// atOwner finds the owner of a partition, which may change meanwhile.
func (r *Runtime) atOwner(ctx context.Context, call wire.JobRequest) answer {
	last := failure(http.StatusServiceUnavailable, notRun, "partition "+string(call.Partition)+" has no owner at the moment", call.Job)
	for {
		a, final := r.tryOwner(ctx, call)
		if final {
			return a
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(ownerRetry):
		}
	}
}

// tryOwner reports false if the call had no effect and another process may own the partition by now.
func (r *Runtime) tryOwner(ctx context.Context, call wire.JobRequest) (answer, bool) {
	r.mu.Lock()
	owner, owned := r.lease.Owner(call.Partition)
	mine := r.parts[call.Partition] != nil
	r.mu.Unlock()
	if mine {
		a := r.local(ctx, call)
		return a, a.status != errMisdirected
	}
	if !owned || owner.EntryHost == r.Self.EntryHost {
		return answer{}, false
	}
	m, err := r.Peers.Call(ctx, owner.EntryHost, call)
	if err != nil {
		var link *peers.LinkError
		if errors.As(err, &link) && link.NotSent {
			return answer{}, false
		}
		return failure(http.StatusServiceUnavailable, unknown, err.Error(), call.Job), true
	}
	switch m := m.(type) {
	case wire.JobResponse:
		return answer{status: m.Status, body: json.RawMessage(m.Body)}, m.Status != errMisdirected
	case wire.Failure:
		outcome := unknown
		if m.NotRun {
			outcome = notRun
		}
		return failure(m.Status, outcome, m.Reason, call.Job), true
	}
	return failure(http.StatusBadGateway, unknown, "unexpected answer of a peer", call.Job), true
}

// movedTo returns the partition that a job was passed on to, or "".
func movedTo(a answer) fleet.PartitionID {
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
