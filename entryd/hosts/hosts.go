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
	// pollInterval and pollTimeout add up to 2 s: the change of a worker to leaving is observed at most that long after
	// it is published.
	pollInterval = time.Second
	pollTimeout  = time.Second
	// maxBackoff is the longest wait between polls while the list cannot be read.
	maxBackoff = 4 * time.Second
	// maxQueuedEvents bounds the queue of observations. Observations beyond it are dropped, because a persistent
	// failure is reported again.
	maxQueuedEvents = 4096
)

// Watcher polls the host list, combines it with observed successes and failures of calls to workers, and notifies
// subscribers of changes.
type Watcher struct {
	source   plat.HostLister
	log      *slog.Logger
	events   chan member.Event
	interval time.Duration

	mu          sync.Mutex
	machine     *member.Machine
	subscribers []func([]fleet.Worker)

	// notifyMu serializes the notifications. They run without mu held, so that subscribers may call the Watcher.
	notifyMu sync.Mutex
}

// Option configures a [Watcher].
type Option func(*Watcher)

// WithInterval sets the interval between polls.
func WithInterval(interval time.Duration) Option {
	return func(w *Watcher) { w.interval = interval }
}

// New returns a Watcher without workers. [Watcher.Run] fills it from the host list.
func New(source plat.HostLister, log *slog.Logger, opts ...Option) *Watcher {
	w := &Watcher{
		source: source, log: log, interval: pollInterval, machine: member.New(),
		events: make(chan member.Event, maxQueuedEvents),
	}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Subscribe calls f with all known workers, immediately if there are any and then after each change. Workers in states
// other than [fleet.HostLive] must get no new work. Calls do not overlap, and f must not block.
func (w *Watcher) Subscribe(f func([]fleet.Worker)) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.mu.Lock()
	w.subscribers = append(w.subscribers, f)
	workers := w.workersLocked()
	w.mu.Unlock()
	if len(workers) > 0 {
		f(workers)
	}
}

// ReportReachable records that a worker responded to a call of this process.
func (w *Watcher) ReportReachable(id fleet.WorkerID) { w.observe(member.Contacted{Worker: id}) }

// ReportUnreachable records that a call of this process to a worker failed.
func (w *Watcher) ReportUnreachable(id fleet.WorkerID) { w.observe(member.Unreachable{Worker: id}) }

func (w *Watcher) observe(ev member.Event) {
	select {
	case w.events <- ev:
	default:
	}
}

// Status returns every known worker with its state and the reason of that state.
func (w *Watcher) Status() []member.Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Workers()
}

// Workers returns every known worker with its state.
func (w *Watcher) Workers() []fleet.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workersLocked()
}

func (w *Watcher) workersLocked() []fleet.Worker {
	all := w.machine.Workers()
	out := make([]fleet.Worker, len(all))
	for i, s := range all {
		out[i] = s.Worker
	}
	return out
}

// Run polls the host list and applies observations until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	lists := make(chan member.HostsListed)
	go w.poll(ctx, lists)
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-lists:
			w.step(l)
		case ev := <-w.events:
			w.step(ev)
		case <-ticker.C:
			w.step(member.Tick{})
		}
	}
}

func (w *Watcher) step(ev member.Event) {
	w.mu.Lock()
	effects := w.machine.Step(time.Now(), ev)
	w.mu.Unlock()
	if len(effects) == 0 {
		return
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case member.WorkerChanged:
			w.log.Info("member: worker changed", "worker", effect.Worker.ID, "state", effect.Worker.State,
				"reason", effect.Reason, "forgotten", effect.Removed)
		}
	}
	w.notify()
}

func (w *Watcher) notify() {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.mu.Lock()
	workers := w.workersLocked()
	subscribers := slices.Clone(w.subscribers)
	w.mu.Unlock()
	for _, f := range subscribers {
		f(slices.Clone(workers))
	}
}

// poll reads the list repeatedly. Jitter spreads the calls of the entry processes over time, and failures increase the
// wait.
func (w *Watcher) poll(ctx context.Context, lists chan<- member.HostsListed) {
	backoff := retry.NewBackoff(w.interval, max(w.interval, maxBackoff), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	failing := false
	for ctx.Err() == nil {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		list, err := w.source.List(callCtx)
		cancel()
		if err == nil {
			backoff.Reset()
			select {
			case lists <- member.HostsListed{List: list, SentAt: sent}:
			case <-ctx.Done():
			}
		}
		w.logOutage(&failing, err)
		select {
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
		}
	}
}

// logOutage logs the first failure of an outage and its end, not each failure.
func (w *Watcher) logOutage(failing *bool, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if (err != nil) == *failing {
		return
	}
	*failing = err != nil
	if err != nil {
		w.log.Warn("member: reading the host list failed, keeping the previous list", "error", err)
		return
	}
	w.log.Info("member: reading the host list succeeded again")
}
