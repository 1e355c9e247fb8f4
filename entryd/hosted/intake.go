package hosted

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/leader"
	"lovagefork.example/entryd/peers"
)

const (
	// storeTimeout limits one attempt of a store call, which takes 4 ms, and up to 300 ms while the store is slow.
	storeTimeout = 700 * time.Millisecond
	// queryTimeout limits a query to the scheduler, which takes one round trip between zones.
	queryTimeout = 400 * time.Millisecond
	// eligibleTimeout limits the question whether a peer would take over, which reads from the store and may wait behind the orders on
	// a small link.
	eligibleTimeout = 1400 * time.Millisecond
	// peerWriteTimeout limits a write to the store through a peer.
	peerWriteTimeout = 900 * time.Millisecond
	// retryAfter is the delay after which callers should retry while the store is unreachable. Outages of the store
	// last 4 to 9 s, and callers retry four times.
	retryAfter = 2 * time.Second
	// maxPendingAge is the maximum age of a cached count, which is returned while the scheduler does not answer.
	// Callers accept counts of up to 2 s of age.
	maxPendingAge = 1500 * time.Millisecond
	// writeRetryDelay is the delay between two attempts to write a change within one call.
	writeRetryDelay = 40 * time.Millisecond
)

// Intake implements [infra.Jobs]: it stores jobs and cancellations, and reports the state of jobs.
type Intake struct {
	self      fleet.EntryHostID
	store     store.Client
	health    *storeHealth
	group     *leader.Group
	scheduler *leader.Scheduler
	mesh      *peers.Mesh
	catalog   *CatalogWatcher
	specs     *specCache
	log       *slog.Logger

	submits metrics.Timer
	states  metrics.Timer
	notRun  metrics.Counter
	unknown metrics.Counter

	mu      sync.Mutex
	pending map[string]pendingCount
}

// pendingCount is the last known number of pending jobs of a queue.
type pendingCount struct {
	value int
	at    time.Time
}

var _ infra.Jobs = (*Intake)(nil)

// Option configures an [Intake].
type Option func(*Intake)

// WithMetrics registers the call times and the failure counters in a registry.
func WithMetrics(r metrics.Registry) Option {
	return func(i *Intake) { i.registerMetrics(r) }
}

// WithScheduler sets the group that elects the scheduler, and the scheduler of this process.
func WithScheduler(g *leader.Group, s *leader.Scheduler) Option {
	return func(i *Intake) { i.group, i.scheduler = g, s }
}

// NewIntake returns an intake that stores jobs in a store. Without peers and a group it uses the store only.
func NewIntake(self fleet.EntryHostID, client store.Client, log *slog.Logger, opts ...Option) *Intake {
	i := &Intake{
		self: self, store: client, health: &storeHealth{store: client, log: log}, log: log, pending: make(map[string]pendingCount),
	}
	i.specs = newSpecCache(i.readSpec)
	i.registerMetrics(metrics.NewRegistry())
	for _, opt := range opts {
		opt(i)
	}
	return i
}

func (i *Intake) registerMetrics(r metrics.Registry) {
	i.submits = metrics.GetOrRegisterTimer("intake.submit_seconds", r)
	i.states = metrics.GetOrRegisterTimer("intake.state_seconds", r)
	i.notRun = metrics.GetOrRegisterCounter("intake.not_run.total", r)
	i.unknown = metrics.GetOrRegisterCounter("intake.unclear.total", r)
}

// currentLeader returns the elected scheduler as last observed by this process. It returns false if there is none.
func (i *Intake) currentLeader() (leader.Leader, bool) {
	if i.group == nil {
		return leader.Leader{}, false
	}
	return i.group.Leader()
}

// peers returns the peers with a working link.
func (i *Intake) peers() []fleet.EntryHostID {
	if i.mesh == nil {
		return nil
	}
	return i.mesh.LinkedPeers()
}

// Catalog implements [infra.Jobs].
func (i *Intake) Catalog() *infra.Catalog { return i.catalog.Current() }

// Submit implements [infra.Jobs].
func (i *Intake) Submit(ctx context.Context, q infra.Queue, j infra.Job) error {
	start := time.Now()
	j.Submitted, j.MaxAttempts, j.Service, j.HasPolicy = time.Now().UnixMilli(), q.MaxAttempts, q.Service, q.ApprovalCost != nil
	data, err := leader.EncodeJob(j)
	if err != nil {
		return &infra.InvalidJobError{Job: j.ID, Reason: err.Error()}
	}
	if len(data) > store.MaxValueBytes {
		return &infra.InvalidJobError{Job: j.ID, Reason: fmt.Sprintf("takes %d bytes, at most %d are allowed", len(data), store.MaxValueBytes)}
	}
	req := wire.HostedRequest{Kind: wire.RequestStoreJob, Job: j.ID, Queue: q.Name, Data: data}
	stored, via, err := i.persist(ctx, req)
	i.submits.UpdateSince(start)
	i.logCall("submit", j.ID, q.Name, via, start, err)
	if err == nil {
		i.specs.add(j.ID, j.Spec)
	}
	if err == nil && via == viaStore {
		i.notifyScheduler(notification(req, stored))
	}
	return err
}

// Cancel implements [infra.Jobs].
func (i *Intake) Cancel(ctx context.Context, q infra.Queue, id fleet.JobID) error {
	start := time.Now()
	req := wire.HostedRequest{Kind: wire.RequestStoreCancellation, Job: id, Queue: q.Name}
	_, via, err := i.persist(ctx, req)
	i.logCall("cancel", id, q.Name, via, start, err)
	if err == nil && via == viaStore {
		i.notifyScheduler(notification(req, store.Entry{}))
	}
	return err
}

// How a change was stored.
const (
	viaStore = "store"
	viaPeer  = "peer"
	viaNone  = "none"
)

// persist writes a change to the store, directly or through a peer that can reach it. An attempt with an unknown
// outcome is retried until ctx is done; the change is idempotent. It returns how the change was stored, and the entry of a
// job that this process has stored or found.
func (i *Intake) persist(ctx context.Context, req wire.HostedRequest) (store.Entry, string, error) {
	unknown := false
	for {
		if i.health.reachable() {
			stored, err := i.write(ctx, req)
			if err == nil || isFinal(err) {
				return stored, viaStore, err
			}
			unknown = unknown || !isNotRun(err)
		}
		err := i.writeViaPeers(ctx, req)
		if err == nil || isFinal(err) {
			return store.Entry{}, viaPeer, err
		}
		unknown = unknown || !isNotRun(err)
		if !unknown {
			i.notRun.Inc(1)
			return store.Entry{}, viaNone, &infra.NotRunError{Reason: "the store is out of reach", RetryAfter: retryAfter}
		}
		if !sleep(ctx, writeRetryDelay) {
			i.unknown.Inc(1)
			return store.Entry{}, viaNone, &infra.OutcomeUnknownError{Reason: "the store has not answered"}
		}
	}
}

// isFinal reports whether a retry would return the same error.
func isFinal(err error) bool {
	var notFound *infra.JobNotFoundError
	var cancelled *infra.JobCancelledError
	var invalid *infra.InvalidJobError
	return errors.As(err, &notFound) || errors.As(err, &cancelled) || errors.As(err, &invalid)
}

func isNotRun(err error) bool {
	var e *infra.NotRunError
	return errors.As(err, &e)
}

// write attempts once to write a change to the store. It returns the entry of a job that it has stored or found.
func (i *Intake) write(ctx context.Context, req wire.HostedRequest) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if req.Kind == wire.RequestStoreJob {
		return i.writeJob(ctx, req)
	}
	return store.Entry{}, i.writeCancellation(ctx, req.Job)
}

// writeJob writes a job unless it already exists or was cancelled before. It returns the entry of the job.
func (i *Intake) writeJob(ctx context.Context, req wire.HostedRequest) (store.Entry, error) {
	jobKey, cancelKey := leader.JobKey(req.Job), leader.CancelKey(req.Job)
	result, err := i.put(ctx, jobKey, req.Data, store.KeyAbsent{Key: jobKey}, store.KeyAbsent{Key: cancelKey})
	if store.IsPermanent(err) {
		return store.Entry{}, &infra.InvalidJobError{Job: req.Job, Reason: err.Error()}
	}
	if err != nil {
		return store.Entry{}, toJobsError(err)
	}
	if result.Committed {
		return store.Entry{Key: jobKey, Value: req.Data, ModRevision: result.Revision}, nil
	}
	existing, found := findRead(result, jobKey)
	if _, cancelled := findRead(result, cancelKey); cancelled && !found {
		return store.Entry{}, &infra.JobCancelledError{Job: req.Job}
	}
	if len(existing.Value) == 0 {
		existing.Value = req.Data
	}
	return existing, nil
}

// writeCancellation writes the cancellation of a job. That of an unknown job is written too, because a submission without
// an answer may still be carried out; the cancellation prevents it.
func (i *Intake) writeCancellation(ctx context.Context, id fleet.JobID) error {
	jobKey, cancelKey := leader.JobKey(id), leader.CancelKey(id)
	found, err := i.store.Range(ctx, store.Get{Key: jobKey})
	i.health.record(err)
	if err != nil {
		return toJobsError(err)
	}
	if len(found.Entries) == 0 {
		result, err := i.put(ctx, cancelKey, cancelValue, store.KeyAbsent{Key: jobKey}, store.KeyAbsent{Key: cancelKey})
		if err != nil {
			return toJobsError(err)
		}
		if _, found := findRead(result, jobKey); !found {
			return &infra.JobNotFoundError{Job: id}
		}
	}
	_, err = i.put(ctx, cancelKey, cancelValue, store.KeyAbsent{Key: cancelKey})
	return toJobsError(err)
}

// cancelValue is the value of a cancellation's key. Only the key matters, but the store rejects an empty value.
var cancelValue = []byte("cancelled")

// put writes a key if all conditions are true; a false condition is not an error.
func (i *Intake) put(ctx context.Context, key string, value []byte, conditions ...store.Compare) (store.TxnResult, error) {
	result, err := i.store.Txn(ctx, store.Txn{If: conditions, Then: []store.Op{store.Put{Key: key, Value: value}}})
	i.health.record(err)
	return result, err
}

// findRead returns the entry with a key that a transaction whose conditions were false has found, and false if there is none.
func findRead(result store.TxnResult, key string) (store.Entry, bool) {
	entries := slices.Concat(result.Reads...)
	if at := slices.IndexFunc(entries, func(e store.Entry) bool { return e.Key == key }); at >= 0 {
		return entries[at], true
	}
	return store.Entry{}, false
}

// toJobsError converts an error of the store to an [*infra.NotRunError] if the call had no effect, and to an
// [*infra.OutcomeUnknownError] otherwise.
func toJobsError(err error) error {
	var notSent *store.NotSentError
	var rejected *store.RejectedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notSent), errors.As(err, &rejected):
		return &infra.NotRunError{Reason: err.Error(), RetryAfter: retryAfter}
	default:
		return &infra.OutcomeUnknownError{Reason: err.Error()}
	}
}

// Supersede makes the process on an entry host end any leadership with a lower token. It returns true if no such leadership
// remains, and for how long at least.
func (i *Intake) Supersede(ctx context.Context, host fleet.EntryHostID, token infra.Token) (time.Duration, bool) {
	if host == i.self {
		// This process was elected only after its own previous leadership had ended.
		return 0, true
	}
	resp, err := i.call(ctx, host, wire.HostedRequest{Kind: wire.RequestSupersede, Token: token}, queryTimeout)
	return time.Duration(resp.IdleMS) * time.Millisecond, err == nil && resp.Status == wire.ResponseOK
}

// AskEligible asks the process on an entry host whether it would take over from the scheduler with a token, see
// [leader.Group.Eligible].
func (i *Intake) AskEligible(ctx context.Context, host fleet.EntryHostID, token infra.Token) error {
	resp, err := i.call(ctx, host, wire.HostedRequest{Kind: wire.RequestEligible, Token: token}, eligibleTimeout)
	if err == nil && resp.Status != wire.ResponseOK {
		return &leader.IneligibleError{Reason: resp.Reason}
	}
	return err
}

// notification returns the notification of the scheduler about a change that was written. That of a job that existed already
// contains the job as it was stored before.
func notification(req wire.HostedRequest, stored store.Entry) wire.HostedRequest {
	if req.Kind == wire.RequestStoreCancellation {
		return wire.HostedRequest{Kind: wire.NotifyCancellationStored, Job: req.Job}
	}
	return wire.HostedRequest{
		Kind: wire.NotifyJobStored, Job: req.Job, Queue: req.Queue, Data: stored.Value, Revision: int64(stored.ModRevision),
	}
}

// notifyScheduler sends a change to the scheduler before the scheduler reads it from the store. A lost notification
// only delays the change until that read.
func (i *Intake) notifyScheduler(req wire.HostedRequest) {
	elected, known := i.currentLeader()
	if !known {
		return
	}
	if elected.EntryHost == i.self {
		i.handleNotification(req)
		return
	}
	if err := i.mesh.Send(elected.EntryHost, req); err != nil {
		i.log.Debug("intake: cannot notify the scheduler", "job", req.Job, "error", err)
	}
}

func (i *Intake) handleNotification(req wire.HostedRequest) {
	if req.Kind == wire.NotifyCancellationStored {
		i.scheduler.NotifyCancel(req.Job)
		return
	}
	job, err := leader.DecodeJob(req.Data)
	if err != nil {
		i.log.Error("intake: cannot decode a notification", "job", req.Job, "error", err)
		return
	}
	i.scheduler.NotifyJob(job, store.Revision(req.Revision))
}

// State implements [infra.Jobs].
func (i *Intake) State(ctx context.Context, q infra.Queue, id fleet.JobID) (infra.State, error) {
	start := time.Now()
	defer i.states.UpdateSince(start)
	resp, answered := i.queryScheduler(ctx, wire.HostedRequest{Kind: wire.RequestJobState, Job: id, Queue: q.Name})
	if answered && resp.Status == wire.ResponseOK {
		return resp.State, nil
	}
	state, err := i.storedState(ctx, id)
	if err != nil {
		i.logCall("state", id, q.Name, viaStore, start, err)
	}
	return state, err
}

// queryScheduler sends a query to the scheduler, which may be this process or a peer. It returns false if the
// scheduler did not answer.
func (i *Intake) queryScheduler(ctx context.Context, req wire.HostedRequest) (wire.HostedResponse, bool) {
	elected, known := i.currentLeader()
	if !known {
		return wire.HostedResponse{}, false
	}
	if elected.EntryHost == i.self {
		return i.queryLocalScheduler(ctx, req)
	}
	resp, err := i.call(ctx, elected.EntryHost, req, queryTimeout)
	if err != nil {
		i.log.Debug("intake: cannot query the scheduler", "job", req.Job, "scheduler", elected.EntryHost, "error", err)
		return wire.HostedResponse{}, false
	}
	return resp, resp.Status == wire.ResponseOK || resp.Status == wire.ResponseNoJob
}

func (i *Intake) queryLocalScheduler(ctx context.Context, req wire.HostedRequest) (wire.HostedResponse, bool) {
	// A busy scheduler must leave time to read the answer from the store.
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	resp := wire.HostedResponse{Status: wire.ResponseNoJob}
	answered := i.scheduler.Query(ctx, func(m *flow.Machine) {
		switch req.Kind {
		case wire.RequestJobState:
			if state, found := m.State(req.Job); found {
				resp = wire.HostedResponse{Status: wire.ResponseOK, State: state}
			}
		case wire.RequestPendingCount:
			resp = wire.HostedResponse{Status: wire.ResponseOK, Count: m.Pending(req.Queue)}
		case wire.RequestOverview, wire.RequestWorkers, wire.RequestJobDetails:
			resp = schedulerView(m, req)
		default:
		}
	})
	return resp, answered
}

// storedState reads the state of a job from the store, for a job that the scheduler has not loaded yet or has already
// dropped.
func (i *Intake) storedState(ctx context.Context, id fleet.JobID) (infra.State, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	job, err := i.read(ctx, leader.JobKey(id))
	if err != nil {
		return "", err
	}
	if job == nil {
		return "", &infra.JobNotFoundError{Job: id}
	}
	record, err := i.read(ctx, leader.RecordKey(id))
	if err != nil {
		return "", err
	}
	state := infra.StateQueued
	if record != nil {
		var r flow.Record
		if err := cbor.Unmarshal(record.Value, &r); err != nil {
			return "", &infra.OutcomeUnknownError{Reason: err.Error()}
		}
		state = r.State
	}
	if state.Final() {
		return state, nil
	}
	cancelled, err := i.read(ctx, leader.CancelKey(id))
	if err != nil {
		return "", err
	}
	if cancelled != nil {
		return infra.StateCancelled, nil
	}
	return state, nil
}

// read returns the entry with a key, or nil if it does not exist.
func (i *Intake) read(ctx context.Context, key string) (*store.Entry, error) {
	found, err := i.store.Range(ctx, store.Get{Key: key})
	i.health.record(err)
	if err != nil {
		return nil, toJobsError(err)
	}
	if len(found.Entries) == 0 {
		return nil, nil
	}
	return &found.Entries[0], nil
}

// Pending implements [infra.Jobs].
func (i *Intake) Pending(ctx context.Context, q infra.Queue) (int, error) {
	resp, answered := i.queryScheduler(ctx, wire.HostedRequest{Kind: wire.RequestPendingCount, Queue: q.Name})
	i.mu.Lock()
	defer i.mu.Unlock()
	if answered && resp.Status == wire.ResponseOK {
		i.pending[q.Name] = pendingCount{value: resp.Count, at: leader.Now()}
		return resp.Count, nil
	}
	last, found := i.pending[q.Name]
	if found && leader.Now().Sub(last.at) < maxPendingAge {
		return last.value, nil
	}
	return 0, &infra.NotRunError{Reason: "no scheduler at the moment", RetryAfter: retryAfter}
}

func (i *Intake) logCall(call string, id fleet.JobID, queue, via string, start time.Time, err error) {
	attrs := []any{"call", call, "job", id, "queue", queue, "via", via, "took_ms", time.Since(start).Milliseconds()}
	if err != nil {
		i.log.Warn("intake: call failed", append(attrs, "error", err)...)
		return
	}
	i.log.Info("intake: call answered", attrs...)
}

// sleep waits for d and returns true, or returns false as soon as ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
