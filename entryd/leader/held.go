package leader

import (
	"context"

	"lovagefork.example/coord/flow"
)

// hold keeps a new job, or the end of a lookup, from the state machine until the lease is confirmed again. If a successor has
// been elected meanwhile, it may take the job for one that this scheduler does not have. It reads the job from the store, so
// that none is lost if this leadership ends.
func (l *loop) hold(ev flow.Event) {
	if len(l.heldEvents) == 0 {
		l.log.Warn("scheduler: new jobs are held back, the lease is not confirmed")
	}
	l.heldEvents = append(l.heldEvents, ev)
}

// releaseHeldEvents passes on what was held back if the lease is confirmed again: it has not ended meanwhile.
func (l *loop) releaseHeldEvents(ctx context.Context) {
	if len(l.heldEvents) == 0 || !l.leadership.LeaseConfirmed() {
		return
	}
	l.log.Info("scheduler: lease confirmed again, held jobs are taken", "events", len(l.heldEvents))
	held := l.heldEvents
	l.heldEvents = nil
	for _, ev := range held {
		l.handle(ctx, ev)
	}
}
