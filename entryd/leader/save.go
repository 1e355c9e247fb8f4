package leader

import (
	"context"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/retry"
	"lovagefork.example/coord/store"
)

// batchID names a batch in the store, so that an unclear write can be recognised.
type batchID struct {
	Token infra.Token `cbor:"token"`
	Batch int64       `cbor:"batch"`
}

// save makes a batch durable. It is repeated until its outcome is known, because a write without an answer may be carried
// out later; the sequence key lets each batch take effect at most once and in order.
func (l *loop) save(ctx context.Context, s flow.Save) {
	id := batchID{Token: l.reign.seat.Token, Batch: s.Batch}
	txn, err := l.encode(s, id)
	if err != nil {
		l.log.Error("scheduler: progress not encoded", "batch", s.Batch, "error", err)
		l.reign.end("progress cannot be encoded")
		return
	}
	backoff := retry.NewBackoff(retryFirst, retryLimit, rand.New(rand.NewPCG(uint64(id.Token), uint64(id.Batch))))
	for ctx.Err() == nil && l.reign.Valid() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		result, err := l.store.Txn(callCtx, txn)
		cancel()
		switch {
		case err == nil && result.Committed:
			l.sequence = result.Revision
			l.post(flow.Saved{Batch: s.Batch})
			return
		case err == nil && l.alreadySaved(result, id):
			l.post(flow.Saved{Batch: s.Batch})
			return
		case err == nil:
			l.reign.end("the store has newer progress")
			return
		}
		l.log.Warn("scheduler: progress not stored yet", "batch", s.Batch, "error", err)
		sleep(ctx, backoff.Next())
	}
}

func (l *loop) encode(s flow.Save, id batchID) (store.Txn, error) {
	txn := store.Txn{If: []store.Compare{
		store.KeyUnchanged{Key: leaderKey, ModRevision: store.Revision(id.Token)}, l.sequenceAt(),
	}}
	value, err := cbor.Marshal(id)
	if err != nil {
		return txn, err
	}
	txn.Then = append(txn.Then, store.Put{Key: sequenceKey, Value: value})
	for _, j := range s.Jobs {
		if value, err = cbor.Marshal(j.Record); err != nil {
			return txn, err
		}
		txn.Then = append(txn.Then, store.Put{Key: RecordKey(j.Job), Value: value})
	}
	for _, job := range s.Delete {
		txn.Then = append(txn.Then, store.Delete{Key: JobKey(job)}, store.Delete{Key: CancelKey(job)}, store.Delete{Key: RecordKey(job)})
	}
	if s.Roster != nil {
		if value, err = cbor.Marshal(s.Roster); err != nil {
			return txn, err
		}
		txn.Then = append(txn.Then, store.Put{Key: rosterKey, Value: value})
	}
	if s.Interference != nil {
		if value, err = cbor.Marshal(s.Interference); err != nil {
			return txn, err
		}
		txn.Then = append(txn.Then, store.Put{Key: learntKey, Value: value})
	}
	return txn, nil
}

func (l *loop) sequenceAt() store.Compare {
	if l.sequence == 0 {
		return store.KeyAbsent{Key: sequenceKey}
	}
	return store.KeyUnchanged{Key: sequenceKey, ModRevision: l.sequence}
}

// alreadySaved reports whether a batch whose conditions failed has taken effect before, and takes up its revision.
func (l *loop) alreadySaved(result store.TxnResult, id batchID) bool {
	for _, read := range result.Reads {
		for _, e := range read {
			var found batchID
			if e.Key != sequenceKey || cbor.Unmarshal(e.Value, &found) != nil || found != id {
				continue
			}
			l.sequence = e.ModRevision
			return true
		}
	}
	return false
}
