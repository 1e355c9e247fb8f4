package front

import (
	"context"
	"time"

	"lovagefork.example/coord/once"
	"lovagefork.example/coord/serve"
	"lovagefork.example/coord/store"
)

// storeTimeout limits a store call; it exceeds the time after which package once abandons a claim.
const storeTimeout = 5 * time.Second

// runTxn runs a store transaction in a goroutine and reports its result to the state machine.
func (f *Front) runTxn(e serve.StoreTxn) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		result, err := f.deps.Store.Txn(ctx, e.Txn)
		if err != nil {
			f.deps.Log.Warn("once: transaction failed", "error", err)
		}
		f.step(serve.StoreTxnEnded{TxnEnded: once.TxnEnded{Txn: e.ID, Result: result, Err: err}})
	}()
}

// grantLease requests a store lease in a goroutine and reports the result to the state machine.
func (f *Front) grantLease(e serve.StoreLease) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		var lease store.LeaseID
		lease, err := f.deps.Store.Grant(ctx, e.TTL)
		if err != nil {
			f.deps.Log.Warn("once: lease grant failed", "error", err)
		}
		f.step(serve.StoreLeaseEnded{GrantLeaseEnded: once.GrantLeaseEnded{Lease: lease, Err: err}})
	}()
}
