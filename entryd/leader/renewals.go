package leader

import (
	"context"
	"sync"
	"time"

	"lovagefork.example/coord/flow"
)

const (
	// maxRenewals limits the renewals on their way that ask for an answer at once. All workers of a fleet are asked after a
	// takeover, and share the link: 64 calls of 1 KB take 50 ms of 10 Mbit/s.
	maxRenewals = 64
	// maxRenewalTime is how long a renewal counts, so that silent workers do not hold up others.
	maxRenewalTime = 150 * time.Millisecond
)

// renewalWindow limits the renewals on their way.
type renewalWindow chan struct{}

func newRenewalWindow() renewalWindow { return make(renewalWindow, maxRenewals) }

// enter waits until a renewal may be sent or ctx ends, and returns a function to call at its answer. A renewal that waits for an
// end of a run does not count.
func (w renewalWindow) enter(ctx context.Context, e flow.Renew) func() {
	if e.Order.Wait > 0 {
		return func() {}
	}
	select {
	case w <- struct{}{}:
	case <-ctx.Done():
		return func() {}
	}
	leave := sync.OnceFunc(func() { <-w })
	timer := time.AfterFunc(maxRenewalTime, leave)
	return func() {
		timer.Stop()
		leave()
	}
}
