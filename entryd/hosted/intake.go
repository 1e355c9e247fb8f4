package hosted

import (
	"context"
	"errors"
	"log/slog"
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
	// storeTimeout bounds one try of a call of the store, which takes 4 ms and up to 300 ms when it is slow.
	storeTimeout = 700 * time.Millisecond
	// askTimeout bounds a question to the scheduler, which is a round trip between zones.
	askTimeout = 400 * time.Millisecond
	// helpTimeout bounds a call that a peer makes of the store for this process.
	helpTimeout = 900 * time.Millisecond
	// retryAfter is when a caller should come back while the store is out of reach; its outages last 4 to 9 s, and callers
	// repeat four times.
	retryAfter = 2 * time.Second
	// pendingAge is how old a count may be that is given while the scheduler cannot be asked; callers allow 2 s.
	pendingAge = 1500 * time.Millisecond
	// tryPause is the pause between two tries of the store within one call.
	tryPause = 40 * time.Millisecond
)

// Intake takes jobs from callers: it makes them durable, and answers questions about them.
type Intake struct {
	self      fleet.EntryHostID
	store     store.Client
	health    *health
	group     *leader.Group
	scheduler *leader.Scheduler
	mesh      *peers.Mesh
	catalogs  *Catalogs
	log       *slog.Logger

	submits metrics.Timer
	states  metrics.Timer
	refused metrics.Counter
	unclear metrics.Counter

	mu      sync.Mutex
	pending map[string]count
}

type count struct {
	value int
	at    time.Time
}

var _ infra.Jobs = (*Intake)(nil)

// Option changes an [Intake] under construction.
type Option func(*Intake)

// WithMetrics records times and refusals in a registry.
func WithMetrics(r metrics.Registry) Option {
	return func(i *Intake) { i.measure(r) }
}

// NewIntake returns an intake that stores jobs in a store; without peers and a group it answers from the store alone.
func NewIntake(self fleet.EntryHostID, client store.Client, log *slog.Logger, opts ...Option) *Intake {
	i := &Intake{
		self: self, store: client, health: &health{store: client, log: log}, log: log, pending: make(map[string]count),
	}
	i.measure(metrics.NewRegistry())
	for _, opt := range opts {
		opt(i)
	}
	return i
}

func (i *Intake) measure(r metrics.Registry) {
	i.submits = metrics.GetOrRegisterTimer("intake.submit_seconds", r)
	i.states = metrics.GetOrRegisterTimer("intake.state_seconds", r)
	i.refused = metrics.GetOrRegisterCounter("intake.not_run.total", r)
	i.unclear = metrics.GetOrRegisterCounter("intake.unclear.total", r)
}

// seat returns who the scheduler is, as far as this process knows.
func (i *Intake) seat() (leader.Leader, bool) {
	if i.group == nil {
		return leader.Leader{}, false
	}
	return i.group.Leader()
}

// peers lists the peers with a working link.
func (i *Intake) peers() []fleet.EntryHostID {
	if i.mesh == nil {
		return nil
	}
	return i.mesh.Up()
}

// Catalog implements [infra.Jobs].
func (i *Intake) Catalog() *infra.Catalog { return i.catalogs.Current() }

// Submit implements [infra.Jobs].
func (i *Intake) Submit(ctx context.Context, q infra.Queue, j infra.Job) error {
	began := time.Now()
	j.Submitted, j.MaxAttempts, j.Service = time.Now().UnixMilli(), q.MaxAttempts, q.Service
	data, err := leader.EncodeJob(j)
	if err != nil {
		return &infra.InvalidJobError{Job: j.ID, Reason: err.Error()}
	}
	via, err := i.durably(ctx, wire.Ask{Kind: wire.AskStore, Job: j.ID, Queue: q.Name, Data: data})
	i.submits.UpdateSince(began)
	i.logCall("submit", j.ID, q.Name, via, began, err)
	if err == nil && via == viaStore {
		i.notify(wire.Ask{Kind: wire.AskNotice, Job: j.ID, Queue: q.Name, Data: data})
	}
	return err
}

// Cancel implements [infra.Jobs].
func (i *Intake) Cancel(ctx context.Context, q infra.Queue, id fleet.JobID) error {
	began := time.Now()
	via, err := i.durably(ctx, wire.Ask{Kind: wire.AskCancel, Job: id, Queue: q.Name})
	i.logCall("cancel", id, q.Name, via, began, err)
	if err == nil && via == viaStore {
		i.notify(wire.Ask{Kind: wire.AskCancelNotice, Job: id})
	}
	return err
}

// How a call took effect.
const (
	viaStore = "store"
	viaPeer  = "peer"
	viaNone  = "none"
)

// durably makes a change durable, in the store or through a peer that can reach it, within the time of ctx.
func (i *Intake) durably(ctx context.Context, ask wire.Ask) (string, error) {
	unclear := false
	for {
		if i.health.reachable() {
			err := i.write(ctx, ask)
			if err == nil || isFinal(err) {
				return viaStore, err
			}
			unclear = unclear || !notRun(err)
		}
		err := i.viaPeers(ctx, ask)
		if err == nil || isFinal(err) {
			return viaPeer, err
		}
		unclear = unclear || !notRun(err)
		if !unclear {
			i.refused.Inc(1)
			return viaNone, &infra.NotRunError{Reason: "the store is out of reach", RetryAfter: retryAfter}
		}
		if !pause(ctx, tryPause) {
			i.unclear.Inc(1)
			return viaNone, &infra.UnclearError{Reason: "the store has not answered"}
		}
	}
}

// isFinal reports whether an error is an answer that a repeat would not change.
func isFinal(err error) bool {
	var none *infra.NoJobError
	var invalid *infra.InvalidJobError
	return errors.As(err, &none) || errors.As(err, &invalid)
}

func notRun(err error) bool {
	var e *infra.NotRunError
	return errors.As(err, &e)
}

// write makes a change durable in the store with one try.
func (i *Intake) write(ctx context.Context, ask wire.Ask) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if ask.Kind == wire.AskStore {
		key := leader.JobKey(ask.Job)
		return i.putOnce(ctx, key, ask.Data)
	}
	found, err := i.store.Range(ctx, store.Get{Key: leader.JobKey(ask.Job)})
	i.health.observe(err)
	if err != nil {
		return translate(err)
	}
	if len(found.Entries) == 0 {
		return &infra.NoJobError{Job: ask.Job}
	}
	return i.putOnce(ctx, leader.CancelKey(ask.Job), cancelValue)
}

// cancelValue is what a cancellation's key holds; the key alone tells, but the store wants a value.
var cancelValue = []byte("cancelled")

// putOnce writes a key unless it exists, which is as good.
func (i *Intake) putOnce(ctx context.Context, key string, value []byte) error {
	_, err := i.store.Txn(ctx, store.Txn{
		If:   []store.Compare{store.Absent{Key: key}},
		Then: []store.Op{store.Put{Key: key, Value: value}},
	})
	i.health.observe(err)
	return translate(err)
}

// translate tells a call that had no effect from one that may have.
func translate(err error) error {
	var unsent *store.NotSentError
	var rejected *store.RejectedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unsent), errors.As(err, &rejected):
		return &infra.NotRunError{Reason: err.Error(), RetryAfter: retryAfter}
	default:
		return &infra.UnclearError{Reason: err.Error()}
	}
}

// Over asks an entry host whether no reign with a lower token goes on there.
func (i *Intake) Over(ctx context.Context, host fleet.EntryHostID, token infra.Token) bool {
	if host == i.self {
		// This process was elected after the former one had ended.
		return true
	}
	reply, err := i.call(ctx, host, wire.Ask{Kind: wire.AskOver, Token: token}, askTimeout)
	return err == nil && reply.Status == wire.ReplyOK
}

// notify tells the scheduler of a change before it finds it in the store; a lost notice costs only that time.
func (i *Intake) notify(ask wire.Ask) {
	seat, known := i.seat()
	if !known {
		return
	}
	if seat.EntryHost == i.self {
		i.takeNotice(ask)
		return
	}
	if err := i.mesh.Send(seat.EntryHost, ask); err != nil {
		i.log.Debug("intake: scheduler not told", "job", ask.Job, "error", err)
	}
}

func (i *Intake) takeNotice(ask wire.Ask) {
	if ask.Kind == wire.AskCancelNotice {
		i.scheduler.NotifyCancel(ask.Job)
		return
	}
	job, err := leader.DecodeJob(ask.Data)
	if err != nil {
		i.log.Error("intake: unreadable notice", "job", ask.Job, "error", err)
		return
	}
	i.scheduler.NotifyJob(job)
}

// State implements [infra.Jobs].
func (i *Intake) State(ctx context.Context, q infra.Queue, id fleet.JobID) (infra.State, error) {
	began := time.Now()
	defer i.states.UpdateSince(began)
	reply, asked := i.askScheduler(ctx, wire.Ask{Kind: wire.AskState, Job: id, Queue: q.Name})
	if asked && reply.Status == wire.ReplyOK {
		return reply.State, nil
	}
	state, err := i.storedState(ctx, id)
	if err != nil {
		i.logCall("state", id, q.Name, viaStore, began, err)
	}
	return state, err
}

// askScheduler asks the scheduler, here or at a peer; it returns false if there was no answer.
func (i *Intake) askScheduler(ctx context.Context, ask wire.Ask) (wire.Reply, bool) {
	seat, known := i.seat()
	if !known {
		return wire.Reply{}, false
	}
	if seat.EntryHost == i.self {
		return i.answerLocally(ctx, ask)
	}
	reply, err := i.call(ctx, seat.EntryHost, ask, askTimeout)
	if err != nil {
		i.log.Debug("intake: scheduler not reached", "job", ask.Job, "scheduler", seat.EntryHost, "error", err)
		return wire.Reply{}, false
	}
	return reply, reply.Status == wire.ReplyOK || reply.Status == wire.ReplyNone
}

func (i *Intake) answerLocally(ctx context.Context, ask wire.Ask) (wire.Reply, bool) {
	reply := wire.Reply{Status: wire.ReplyNone}
	asked := i.scheduler.Query(ctx, func(m *flow.Machine) {
		switch ask.Kind {
		case wire.AskState:
			if state, found := m.State(ask.Job); found {
				reply = wire.Reply{Status: wire.ReplyOK, State: state}
			}
		case wire.AskPending:
			reply = wire.Reply{Status: wire.ReplyOK, Count: m.Pending(ask.Queue)}
		case wire.AskOverview, wire.AskWorkers, wire.AskJob:
			reply = inspect(m, ask)
		default:
		}
	})
	return reply, asked
}

// storedState reads the state of a job from the store, for jobs that the scheduler does not know yet or any more.
func (i *Intake) storedState(ctx context.Context, id fleet.JobID) (infra.State, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	job, err := i.read(ctx, leader.JobKey(id))
	if err != nil {
		return "", err
	}
	if job == nil {
		return "", &infra.NoJobError{Job: id}
	}
	record, err := i.read(ctx, leader.RecordKey(id))
	if err != nil {
		return "", err
	}
	state := infra.Queued
	if record != nil {
		var r flow.Record
		if err := cbor.Unmarshal(record.Value, &r); err != nil {
			return "", &infra.UnclearError{Reason: err.Error()}
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
		return infra.Cancelled, nil
	}
	return state, nil
}

func (i *Intake) read(ctx context.Context, key string) (*store.Entry, error) {
	found, err := i.store.Range(ctx, store.Get{Key: key})
	i.health.observe(err)
	if err != nil {
		return nil, translate(err)
	}
	if len(found.Entries) == 0 {
		return nil, nil
	}
	return &found.Entries[0], nil
}

// Pending implements [infra.Jobs].
func (i *Intake) Pending(ctx context.Context, q infra.Queue) (int, error) {
	reply, asked := i.askScheduler(ctx, wire.Ask{Kind: wire.AskPending, Queue: q.Name})
	i.mu.Lock()
	defer i.mu.Unlock()
	if asked && reply.Status == wire.ReplyOK {
		i.pending[q.Name] = count{value: reply.Count, at: leader.Now()}
		return reply.Count, nil
	}
	last, found := i.pending[q.Name]
	if found && leader.Now().Sub(last.at) < pendingAge {
		return last.value, nil
	}
	return 0, &infra.NotRunError{Reason: "no scheduler at the moment", RetryAfter: retryAfter}
}

func (i *Intake) logCall(call string, id fleet.JobID, queue, via string, began time.Time, err error) {
	attrs := []any{"call", call, "job", id, "queue", queue, "via", via, "took_ms", time.Since(began).Milliseconds()}
	if err != nil {
		i.log.Warn("intake: call failed", append(attrs, "error", err)...)
		return
	}
	i.log.Info("intake: call answered", attrs...)
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
