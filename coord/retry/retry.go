package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff yields the waits between the tries of one operation; its zero value is not usable.
type Backoff struct {
	first time.Duration
	limit time.Duration
	next  time.Duration
	rng   *rand.Rand
}

// New returns a backoff whose waits are uniform between half and all of a bound that starts at first and doubles up to
// limit. Half of the bound is kept so that a recovering server never sees an immediate repeat.
func NewBackoff(first, limit time.Duration, rng *rand.Rand) *Backoff {
	return &Backoff{first: first, limit: limit, next: first, rng: rng}
}

// Next returns the wait before the next try.
func (b *Backoff) Next() time.Duration {
	bound := b.next
	b.next = min(2*b.next, b.limit)
	half := bound / 2
	return half + time.Duration(b.rng.Int64N(int64(bound-half)+1))
}

// Reset starts over after a success.
func (b *Backoff) Reset() {
	b.next = b.first
}

// Budget bounds repeats to a share of first tries, so that repeats cannot multiply an overload. It is not safe for
// concurrent use.
type Budget struct {
	ratio  float64
	limit  float64
	tokens float64
}

// Allow returns a budget that grants ratio repeats for each first try, and saves up at most limit of them; it starts
// full.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, tokens: limit}
}

// First records a first try.
func (b *Budget) RecordFirst() {
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// Repeat reports whether a repeat may be sent, and counts it if so.
func (b *Budget) AllowRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Until calls try until it reports that it is done or ctx ends, with the waits of b in between. It returns the last
// error, or that of ctx if try was not called.
func Until(ctx context.Context, b *Backoff, try func(context.Context) (done bool, err error)) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	for {
		done, err := try(ctx)
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
