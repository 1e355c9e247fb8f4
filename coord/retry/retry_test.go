package retry_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/retry"
)

// Delays without jitter or an upper bound would make all processes call a recovering store at the same time.
func TestBackoffGrowsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "first"))
		limit := first * time.Duration(rapid.IntRange(1, 100).Draw(t, "factor"))
		b := retry.NewBackoff(first, limit, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		bound := first
		for range 12 {
			delay := b.Next()
			assert.Assert(t, delay >= bound/2 && delay <= bound, "delay %v is not between half and all of %v", delay, bound)
			bound = min(2*bound, limit)
		}
		b.Reset()
		assert.Assert(t, b.Next() <= first)
	})
}

// Retries above their share of the calls would multiply an overload.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.NewBudget(0.1, 10)
		firsts, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "calls") {
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirst()
				firsts++
			} else if b.AllowRetry() {
				retries++
			}
			assert.Assert(t, float64(retries) <= 10+0.1*float64(firsts)+1e-9)
		}
	})
}

// A retry loop that does not stop with its context would delay the drain of the process.
func TestUntilEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		failed := errors.New("failed")
		attempts := 0
		b := retry.NewBackoff(time.Second, 2*time.Second, rand.New(rand.NewPCG(1, 1)))
		err := retry.Until(ctx, b, func(context.Context) (bool, error) {
			attempts++
			return false, failed
		})
		assert.ErrorIs(t, err, failed)
		assert.Assert(t, attempts >= 5 && attempts <= 13, "%d attempts", attempts)
	})
}
