package budget_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/budget"
	"lovagefork.example/coord/store"
)

// counting is a store that only counts its calls.
type counting struct {
	store.Client
	writes, reads int
}

func (c *counting) Txn(context.Context, store.Txn) (store.TxnResult, error) {
	c.writes++
	return store.TxnResult{}, nil
}

func (c *counting) Range(context.Context, store.Get) (store.RangeResult, error) {
	c.reads++
	return store.RangeResult{}, nil
}

// A wrapper that lets calls pass before their turn voids the budget; one that forgets a waiting call stops its caller for
// ever, and one that reports a call that was never sent as unclear makes its caller read back.
func TestClientWaitsForItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		next := &counting{}
		client := budget.NewClient(next, budget.New(budget.Rates{Writes: 100, Reads: 1000}, 2))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		put := store.Txn{Then: []store.Op{store.Put{Key: "k"}}}
		var err error
		for err == nil {
			_, err = client.Txn(ctx, put)
		}
		var notSent *store.NotSentError
		assert.Assert(t, errors.As(err, &notSent), "%v", err)
		assert.Equal(t, time.Since(started), time.Second)
		// Without a session the process has half of the reserve of 20 writes a second.
		assert.Assert(t, next.writes >= 8 && next.writes <= 10, "%d writes", next.writes)
		_, err = client.Txn(t.Context(), store.Txn{Then: []store.Op{store.Get{Key: "k"}}})
		assert.NilError(t, err)
		_, err = client.Range(t.Context(), store.Get{Key: "k"})
		assert.NilError(t, err)
		assert.Equal(t, next.reads, 1)
		client.SetSessionEnd(time.Now().Add(time.Hour))
		client.SetMemberCount(1)
		time.Sleep(6 * time.Second)
		client.SetMemberCount(1)
		assert.Equal(t, client.Share(), budget.Rates{Writes: 80, Reads: 800})
	})
}
