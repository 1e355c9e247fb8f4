package front

import (
	"context"
	"time"

	"lovagefork.example/coord/once"
	"lovagefork.example/coord/serve"
	"lovagefork.example/coord/store"
)

// storeTimeout bounds one store call; a claim is given up earlier than that.
const storeTimeout = 5 * time.Second

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

func (f *Front) grantLease(e serve.StoreLease) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		var lease store.LeaseID
		lease, err := f.deps.Store.Grant(ctx, e.TTL)
		if err != nil {
			f.deps.Log.Warn("once: no lease", "error", err)
		}
		f.step(serve.StoreLeaseEnded{GrantLeaseEnded: once.GrantLeaseEnded{Lease: lease, Err: err}})
	}()
}
