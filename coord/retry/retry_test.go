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

// Waits without jitter or bound would bring all processes back to a recovering store at the same moment.
func TestWaitsGrowWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "first"))
		limit := first * time.Duration(rapid.IntRange(1, 100).Draw(t, "factor"))
		b := retry.NewBackoff(first, limit, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		bound := first
		for range 12 {
			wait := b.Next()
			assert.Assert(t, wait >= bound/2 && wait <= bound, "%v outside of %v", wait, bound)
			bound = min(2*bound, limit)
		}
		b.Reset()
		assert.Assert(t, b.Next() <= first)
	})
}

// Repeats above the share would multiply an overload.
func TestRepeatsStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.NewBudget(0.1, 10)
		first, repeats := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "calls") {
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirst()
				first++
			} else if b.AllowRetry() {
				repeats++
			}
			assert.Assert(t, float64(repeats) <= 10+0.1*float64(first)+1e-9)
		}
	})
}

// A loop that ignores the end of its context would hold up a drain.
func TestUntilEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		failed := errors.New("failed")
		tries := 0
		b := retry.NewBackoff(time.Second, 2*time.Second, rand.New(rand.NewPCG(1, 1)))
		err := retry.Until(ctx, b, func(context.Context) (bool, error) {
			tries++
			return false, failed
		})
		assert.ErrorIs(t, err, failed)
		assert.Assert(t, tries >= 5 && tries <= 13, "%d tries", tries)
	})
}
