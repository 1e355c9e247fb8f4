package leader

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/retry"
	"lovagefork.example/coord/store"
)

// predecessorPollInterval is the interval of calls to the entry hosts of previous schedulers.
const predecessorPollInterval = 150 * time.Millisecond

// awaitPredecessors waits until all previous schedulers that may have acted at the election confirm that they send no more
// orders, which shortens the wait for workers that cannot be reached.
func (l *loop) awaitPredecessors(ctx context.Context) {
	hosts := l.leadership.leader.Predecessors
	if len(hosts) == 0 {
		return
	}
	stoppedAt := make([]time.Time, len(hosts))
	var calls sync.WaitGroup
	for i, host := range hosts {
		calls.Go(func() { stoppedAt[i] = l.awaitPredecessor(ctx, host) })
	}
	calls.Wait()
	if ctx.Err() != nil {
		return
	}
	ago := Now().Sub(slices.MaxFunc(stoppedAt, time.Time.Compare))
	if l.leadership.leader.HasForgotten {
		// One that the campaign left out may have acted until shortly before it.
		ago = min(ago, Now().Sub(l.leadership.electedAt))
	}
	l.log.Info("scheduler: all previous schedulers have stopped", "former", hosts, "ago_ms", ago.Milliseconds())
	l.post(flow.PredecessorStopped{Ago: ago})
}

// awaitPredecessor waits until an entry host confirms that it runs no previous scheduler, and returns since when.
func (l *loop) awaitPredecessor(ctx context.Context, host fleet.EntryHostID) time.Time {
	for ctx.Err() == nil {
		if ago, stopped := l.supersede(ctx, host, l.leadership.leader.Token); stopped {
			return Now().Add(-ago)
		}
		sleep(ctx, predecessorPollInterval)
	}
	return time.Time{}
}

// predecessorLeaseWait is how long after the election a predecessor may take its lease as confirmed, because the store can end a
// lease early. The clocks of two hosts may differ in rate.
const predecessorLeaseWait = leaderTTL + leaderTTL/20

// awaitPredecessorLeases reads a revision of the store once no predecessor takes new jobs any more.
func (l *loop) awaitPredecessorLeases(ctx context.Context) {
	// Without a predecessor, none has taken a job.
	revision := store.Revision(l.leadership.leader.Token)
	if len(l.leadership.leader.Predecessors) > 0 {
		sleep(ctx, predecessorLeaseWait)
		revision = l.currentRevision(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	l.log.Info("scheduler: leases of all previous schedulers have ended", "revision", revision)
	l.post(flow.PredecessorLeaseEnded{Revision: int64(revision)})
}

// currentRevision returns a revision of the store that is at least as high as that of each entry stored before the call. It
// repeats the read until it succeeds or ctx ends.
func (l *loop) currentRevision(ctx context.Context) store.Revision {
	token := l.leadership.leader.Token
	backoff := retry.NewBackoff(retryMinDelay, retryMaxDelay, rand.New(rand.NewPCG(uint64(token), 0)))
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		found, err := l.store.Range(callCtx, store.Get{Key: leaderKey})
		cancel()
		// The answer to a read of a missing key may have no revision.
		if err == nil && found.Revision >= store.Revision(token) {
			return found.Revision
		}
		l.log.Warn("scheduler: reading the revision of the store failed", "revision", found.Revision, "error", err)
		sleep(ctx, backoff.Next())
	}
	return 0
}
