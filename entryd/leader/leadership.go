package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/store"
)

// Leadership is the period during which this process is the scheduler. It ends when the lease is lost, the store was
// unreachable for too long, a newer leader is known, a larger entry host takes over, or the process resigns.
type Leadership struct {
	store  store.Client
	lease  store.LeaseID
	leader Leader
	// history holds the elections that this process has observed.
	history *takeoverHistory

	// recordMu is held while the record of the election is written. record is what was stored at recordRevision.
	recordMu       sync.Mutex
	record         termRecord
	recordRevision store.Revision

	// fenced is closed once most workers reject the earlier leaders.
	fenced     chan struct{}
	fencedOnce sync.Once
	// ended is closed when the leadership ends, released when the scheduler has also stopped.
	ended    chan struct{}
	released chan struct{}

	mu sync.Mutex
	// confirmedAt is when the last renewal that the store confirmed was sent.
	confirmedAt time.Time
	// witnessedAt is when most workers last knew no newer leader.
	witnessedAt time.Time
	reason      string
}

func newLeadership(client store.Client, lease store.LeaseID, leader Leader, record termRecord, sent time.Time, history *takeoverHistory) *Leadership {
	return &Leadership{
		store: client, lease: lease, leader: leader, history: history, confirmedAt: sent,
		record: record, recordRevision: store.Revision(leader.Token),
		fenced: make(chan struct{}), ended: make(chan struct{}), released: make(chan struct{}),
	}
}

// Leader returns the identity, fencing token and term of this leadership.
func (l *Leadership) Leader() Leader { return l.leader }

// LeaseConfirmed reports whether the last confirmed renewal is recent enough that the lease cannot have expired in the
// store.
func (l *Leadership) LeaseConfirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Now().Before(l.confirmedAt.Add(leaderTTL))
}

// lastConfirmed returns when the last renewal that the store confirmed was sent.
func (l *Leadership) lastConfirmed() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedAt
}

// witnessedAgo returns the time since most workers last knew no newer leader.
func (l *Leadership) witnessedAgo() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Now().Sub(l.witnessedAt)
}

// witness notes when most workers last knew no newer leader.
func (l *Leadership) witness(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.witnessedAt = at
}

// fence notes that most workers reject the earlier leaders.
func (l *Leadership) fence() { l.fencedOnce.Do(func() { close(l.fenced) }) }

// Valid reports whether orders may be sent: the leadership has not ended, and the lease is confirmed, or may have expired less
// than outageTolerance ago while most workers know no newer leader.
func (l *Leadership) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := Now()
	isWitnessed := now.Before(l.witnessedAt.Add(flow.WitnessTimeout)) && now.Before(l.confirmedAt.Add(leadershipTimeout))
	return l.reason == "" && (isWitnessed || now.Before(l.confirmedAt.Add(leaderTTL)))
}

// Reason returns why the leadership ended; it is empty while the leadership lasts.
func (l *Leadership) Reason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// end ends the leadership; only the first reason is kept.
func (l *Leadership) end(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == "" {
		l.reason = reason
		close(l.ended)
	}
}

// renew keeps the lease alive until the leadership ends. The lease time is counted from before each renewal was sent,
// so the store's own lease never ends earlier than assumed here.
func (l *Leadership) renew(ctx context.Context, log *slog.Logger) {
	unreachable := false
	for ctx.Err() == nil {
		sleep(ctx, renewInterval)
		if ctx.Err() != nil {
			return
		}
		sent := Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		left, err := l.store.KeepAlive(callCtx, l.lease)
		cancel()
		switch {
		case err == nil && left == 0:
			l.end("the lease expired in the store")
			return
		case err == nil:
			l.mu.Lock()
			l.confirmedAt = sent
			l.mu.Unlock()
			if unreachable {
				log.Info("group: store reachable again")
			}
			unreachable = false
		case !unreachable && ctx.Err() == nil:
			unreachable = true
			log.Warn("group: store unreachable", "error", err)
		}
		if l.Reason() == "" && !l.Valid() {
			log.Warn("group: leadership is not confirmed", "store_ago_ms", Now().Sub(l.lastConfirmed()).Milliseconds(), "workers_ago_ms", l.witnessedAgo().Milliseconds())
			l.end("the store was unreachable for too long")
			return
		}
	}
}
