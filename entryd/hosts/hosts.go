package hosts

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/member"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/retry"
)

const (
	// pollInterval and pollTimeout together keep a leaving mark from being seen later than 2 s after its publication.
	pollInterval = time.Second
	pollTimeout  = time.Second
	// retryLimit bounds the wait between polls while the list is down.
	retryLimit = 4 * time.Second
	// maxPending bounds the observations that wait for the runtime; an excess one is dropped, since failures repeat.
	maxPending = 4096
)

// View polls the host list, reconciles it with observations, and passes changes to subscribers.
type Watcher struct {
	source plat.HostLister
	log    *slog.Logger
	events chan member.Event
	every  time.Duration

	mu          sync.Mutex
	machine     *member.Machine
	subscribers []func([]fleet.Worker)

	// notifying orders the notifications, which run without mu held so that subscribers may call the View.
	notifying sync.Mutex
}

// Option changes a [View] under construction.
type Option func(*Watcher)

// WithInterval sets the time between two polls.
func WithInterval(every time.Duration) Option {
	return func(v *Watcher) { v.every = every }
}

// New returns a view that knows no worker until [View.Run] has read the list.
func New(source plat.HostLister, log *slog.Logger, opts ...Option) *Watcher {
	v := &Watcher{
		source: source, log: log, every: pollInterval, machine: member.New(),
		events: make(chan member.Event, maxPending),
	}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

// Subscribe calls f with all known workers, now if there are any and after each change. A worker takes new work only in
// state [fleet.HostLive]. Calls do not overlap, and f must not block.
func (v *Watcher) Subscribe(f func([]fleet.Worker)) {
	v.notifying.Lock()
	defer v.notifying.Unlock()
	v.mu.Lock()
	v.subscribers = append(v.subscribers, f)
	workers := v.workersLocked()
	v.mu.Unlock()
	if len(workers) > 0 {
		f(workers)
	}
}

// Contacted reports that a worker answered a call of this process.
func (v *Watcher) ReportReachable(id fleet.WorkerID) { v.observe(member.Contacted{Worker: id}) }

// Unreachable reports that a call of this process to a worker failed.
func (v *Watcher) ReportUnreachable(id fleet.WorkerID) { v.observe(member.Unreachable{Worker: id}) }

func (v *Watcher) observe(ev member.Event) {
	select {
	case v.events <- ev:
	default:
	}
}

// Status returns every known worker with the reason of its state.
func (v *Watcher) Status() []member.Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.machine.Workers()
}

// Workers returns every known worker with its state.
func (v *Watcher) Workers() []fleet.Worker {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.workersLocked()
}

func (v *Watcher) workersLocked() []fleet.Worker {
	all := v.machine.Workers()
	out := make([]fleet.Worker, len(all))
	for i, s := range all {
		out[i] = s.Worker
	}
	return out
}

// Run polls the list and applies observations until ctx ends.
func (v *Watcher) Run(ctx context.Context) {
	lists := make(chan member.HostsListed)
	go v.poll(ctx, lists)
	ticker := time.NewTicker(v.every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-lists:
			v.step(l)
		case ev := <-v.events:
			v.step(ev)
		case <-ticker.C:
			v.step(member.Tick{})
		}
	}
}

func (v *Watcher) step(ev member.Event) {
	v.mu.Lock()
	effects := v.machine.Step(time.Now(), ev)
	v.mu.Unlock()
	if len(effects) == 0 {
		return
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case member.WorkerChanged:
			v.log.Info("member: worker changed", "worker", effect.Worker.ID, "state", effect.Worker.State,
				"reason", effect.Reason, "forgotten", effect.Removed)
		}
	}
	v.notify()
}

func (v *Watcher) notify() {
	v.notifying.Lock()
	defer v.notifying.Unlock()
	v.mu.Lock()
	workers := v.workersLocked()
	subscribers := slices.Clone(v.subscribers)
	v.mu.Unlock()
	for _, f := range subscribers {
		f(slices.Clone(workers))
	}
}

// poll reads the list at the interval, with jitter so that the processes do not all ask at once.
func (v *Watcher) poll(ctx context.Context, lists chan<- member.HostsListed) {
	backoff := retry.NewBackoff(v.every, max(v.every, retryLimit), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	failing := false
	for ctx.Err() == nil {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		list, err := v.source.List(callCtx)
		cancel()
		if err == nil {
			backoff.Reset()
			select {
			case lists <- member.HostsListed{List: list, SentAt: sent}:
			case <-ctx.Done():
			}
		}
		v.logOutage(&failing, err)
		select {
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
		}
	}
}

// logOutage logs the start and the end of a series of failures, not each one.
func (v *Watcher) logOutage(failing *bool, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if (err != nil) == *failing {
		return
	}
	*failing = err != nil
	if err != nil {
		v.log.Warn("member: host list cannot be read, keeping the last one", "error", err)
		return
	}
	v.log.Info("member: host list can be read again")
}
