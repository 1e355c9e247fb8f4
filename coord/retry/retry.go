package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes the delays between the attempts of one operation. Its zero value is not usable; use [NewBackoff].
type Backoff struct {
	first time.Duration
	limit time.Duration
	next  time.Duration
	rng   *rand.Rand
}

// NewBackoff returns a backoff with delays that are uniformly distributed between half of a bound and the bound, which
// starts at first and doubles up to limit. The minimum of half the bound prevents immediate retries to a recovering
// server.
func NewBackoff(first, limit time.Duration, rng *rand.Rand) *Backoff {
	return &Backoff{first: first, limit: limit, next: first, rng: rng}
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	bound := b.next
	b.next = min(2*b.next, b.limit)
	half := bound / 2
	return half + time.Duration(b.rng.Int64N(int64(bound-half)+1))
}

// Reset sets the bound back to its first value, for use after a success.
func (b *Backoff) Reset() {
	b.next = b.first
}

// Budget is a token bucket that limits retries to a share of the first attempts, so that retries cannot multiply an
// overload. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	limit  float64
	tokens float64
}

// NewBudget returns a budget that grants ratio retries for each first attempt and saves up at most limit retries. It
// starts full.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, tokens: limit}
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() {
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// AllowRetry reports whether a retry may be sent, and counts it if so.
func (b *Budget) AllowRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Until calls attempt until it returns done or ctx ends, with the delays of b between the calls. It returns the error
// of the last call, or that of ctx if attempt was not called.
func Until(ctx context.Context, b *Backoff, attempt func(context.Context) (done bool, err error)) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	for {
		done, err := attempt(ctx)
		if done {
			return err
		}
		timer := time.NewTimer(b.Next())
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}
