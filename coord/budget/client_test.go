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

// countingStore is a store client that only counts its calls.
type countingStore struct {
	store.Client
	writes, reads int
}

func (c *countingStore) Txn(context.Context, store.Txn) (store.TxnResult, error) {
	c.writes++
	return store.TxnResult{}, nil
}

func (c *countingStore) Range(context.Context, store.Get) (store.RangeResult, error) {
	c.reads++
	return store.RangeResult{}, nil
}

// Guards against three faults of the client: calls that are sent before the machine admits them exceed the budget, a
// waiting call that is lost blocks its caller forever, and a call that was not sent but is reported with an unknown
// outcome makes its caller read the key again.
func TestClientWaitsForAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		next := &countingStore{}
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
		// Without a session the process may use half of the reserved 20 writes per second.
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
