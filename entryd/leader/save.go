package leader

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/retry"
	"lovagefork.example/coord/store"
)

// batchID identifies a batch in the store, which shows whether a write without an answer took effect.
type batchID struct {
	Token infra.Token `cbor:"token"`
	Batch int64       `cbor:"batch"`
}

// save makes a batch durable. A write without an answer may still take effect later, so save repeats it until the
// outcome is known or the leadership has ended; the next batch waits for it. A batch that the store never accepts is not repeated. The condition on sequenceKey lets each batch take
// effect at most once and in order, and that on leaderKey prevents writes of a leader that was replaced.
func (l *loop) save(ctx context.Context, s flow.Save) {
	select {
	case <-l.sequenceRead:
	case <-ctx.Done():
		return
	}
	id := batchID{Token: l.leadership.leader.Token, Batch: s.Batch}
	txn, err := l.encodeBatch(s, id)
	if err != nil {
		l.log.Error("scheduler: cannot encode progress", "batch", s.Batch, "error", err)
		l.leadership.end("progress cannot be encoded")
		return
	}
	backoff := retry.NewBackoff(retryMinDelay, retryMaxDelay, rand.New(rand.NewPCG(uint64(id.Token), uint64(id.Batch))))
	for ctx.Err() == nil {
		result, err := l.txn(ctx, txn)
		switch {
		case store.IsPermanent(err) && l.saveNothing(ctx, id):
			l.log.Error("scheduler: storing progress failed for good", "batch", s.Batch, "error", err, describeTxn(txn))
			l.post(flow.SaveRejected{Batch: s.Batch, Reason: err.Error()})
			return
		case err == nil && result.Committed:
			l.sequenceRevision = result.Revision
			l.post(flow.Saved{Batch: s.Batch, Revision: int64(l.sequenceRevision)})
			return
		case err == nil && l.alreadySaved(result, id):
			l.post(flow.Saved{Batch: s.Batch, Revision: int64(l.sequenceRevision)})
			return
		case err == nil:
			l.leadership.end("another scheduler has stored progress")
			return
		case ctx.Err() != nil:
			return
		}
		l.log.Warn("scheduler: storing progress failed, will retry", "batch", s.Batch, "error", err, describeTxn(txn))
		sleep(ctx, backoff.Next())
	}
}

func (l *loop) encodeBatch(s flow.Save, id batchID) (store.Txn, error) {
	txn := store.Txn{If: []store.Compare{
		store.KeyUnchanged{Key: leaderKey, ModRevision: store.Revision(id.Token)}, l.sequenceCondition(),
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
	for _, p := range s.Parts {
		if value, err = cbor.Marshal(p.Part); err != nil {
			return txn, err
		}
		txn.Then = append(txn.Then, store.Put{Key: PartKey(p.Key), Value: value})
	}
	for _, key := range s.DeleteParts {
		txn.Then = append(txn.Then, store.Delete{Key: PartKey(key)})
	}
	for _, job := range s.Delete {
		txn.Then = append(txn.Then, store.Delete{Key: JobKey(job)}, store.Delete{Key: CancelKey(job)}, store.Delete{Key: RecordKey(job)})
	}
	for _, j := range s.Finished {
		if value, err = EncodeJob(j); err != nil {
			return txn, err
		}
		txn.Then = append(txn.Then, store.Put{Key: JobKey(j.ID), Value: value})
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
		txn.Then = append(txn.Then, store.Put{Key: interferenceKey, Value: value})
	}
	return txn, nil
}

// saveNothing stores an empty batch in place of a rejected one, and reports whether the store accepts it. If it does not, it rejects
// whatever is written, and nothing is wrong with the contents of the batch.
func (l *loop) saveNothing(ctx context.Context, rejected batchID) bool {
	id := batchID{Token: rejected.Token, Batch: -rejected.Batch}
	txn, err := l.encodeBatch(flow.Save{}, id)
	if err != nil {
		l.log.Error("scheduler: cannot encode an empty batch", "error", err)
		return false
	}
	backoff := retry.NewBackoff(retryMinDelay, retryMaxDelay, rand.New(rand.NewPCG(uint64(id.Token), uint64(id.Batch))))
	for ctx.Err() == nil {
		result, err := l.store.Txn(ctx, txn)
		switch {
		case err == nil && result.Committed:
			l.sequenceRevision = result.Revision
			return true
		case err == nil && l.alreadySaved(result, id):
			return true
		case err == nil:
			l.leadership.end("another scheduler has stored progress")
			return false
		case store.IsPermanent(err):
			return false
		}
		l.log.Warn("scheduler: storing an empty batch failed, will retry", "batch", rejected.Batch, "error", err)
		sleep(ctx, backoff.Next())
	}
	return false
}

// txn makes a transaction unless the store would reject it for the size of a value.
func (l *loop) txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	for _, op := range txn.Then {
		if put, isPut := op.(store.Put); isPut && len(put.Value) > store.MaxValueBytes {
			reason := fmt.Sprintf("%s has %d bytes, at most %d are allowed", put.Key, len(put.Value), store.MaxValueBytes)
			return store.TxnResult{}, &store.RejectedError{Op: "txn", Status: http.StatusRequestEntityTooLarge, Reason: reason}
		}
	}
	return l.store.Txn(ctx, txn)
}

// describeTxn returns the size of a transaction, and the key of its largest value.
func describeTxn(txn store.Txn) slog.Attr {
	var largest store.Put
	total := 0
	for _, op := range txn.Then {
		if put, isPut := op.(store.Put); isPut {
			total += len(put.Value)
			if len(put.Value) > len(largest.Value) {
				largest = put
			}
		}
	}
	return slog.Group("txn", "entries", len(txn.If)+len(txn.Then), "bytes", total, "largest_key", largest.Key, "largest_bytes", len(largest.Value))
}

func (l *loop) sequenceCondition() store.Compare {
	if l.sequenceRevision == 0 {
		return store.KeyAbsent{Key: sequenceKey}
	}
	return store.KeyUnchanged{Key: sequenceKey, ModRevision: l.sequenceRevision}
}

// alreadySaved reports whether a batch whose conditions failed took effect in an earlier attempt, and if so records its
// revision.
func (l *loop) alreadySaved(result store.TxnResult, id batchID) bool {
	for _, read := range result.Reads {
		for _, e := range read {
			var found batchID
			if e.Key != sequenceKey || cbor.Unmarshal(e.Value, &found) != nil || found != id {
				continue
			}
			l.sequenceRevision = e.ModRevision
			return true
		}
	}
	return false
}
