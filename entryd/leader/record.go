package leader

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/store"
)

// keepRecord updates the record of this leader's election. It notes there when most workers reject the earlier leaders, from
// which the processes that observe the record count what a later leader has to wait for. It removes the earlier leaders once
// none of them can act any more, because a successor would wait for their entry hosts, which may be gone.
func (l *Leadership) keepRecord(ctx context.Context, log *slog.Logger) {
	if len(l.leader.Predecessors) == 0 {
		return
	}
	timeout := time.NewTimer(leadershipTimeout)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timeout.C:
	case <-l.fenced:
		if !l.updateRecord(ctx, log, func(r *termRecord) { r.Fenced = true }) {
			return
		}
		sleep(ctx, flow.WitnessTimeout)
	}
	l.updateRecord(ctx, log, func(r *termRecord) { r.Earlier, r.EarlierTerms = nil, nil })
}

// handOvers returns the number of hand-overs before this leadership that no larger entry host has taken.
func (l *Leadership) handOvers() int {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	return l.record.HandOvers
}

// updateRecord changes the stored record of this leader's election. It returns false if there is a newer leader or the leadership
// has ended.
func (l *Leadership) updateRecord(ctx context.Context, log *slog.Logger, change func(*termRecord)) bool {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	record := l.record
	change(&record)
	revision, isOurs := l.putRecord(ctx, log, record, l.recordRevision)
	if isOurs {
		l.record, l.recordRevision = record, revision
	}
	return isOurs
}

// putRecord replaces the record of the election that was stored at a revision and returns the new revision. It returns false if
// there is a newer leader or the leadership has ended.
func (l *Leadership) putRecord(ctx context.Context, log *slog.Logger, record termRecord, revision store.Revision) (store.Revision, bool) {
	value, err := cbor.Marshal(record)
	if err != nil {
		log.Error("group: cannot encode the record of the election", "error", err)
		return 0, false
	}
	for ; ctx.Err() == nil; sleep(ctx, renewInterval) {
		txn := store.Txn{
			If:   []store.Compare{store.KeyUnchanged{Key: termKey, ModRevision: revision}},
			Then: []store.Op{store.Put{Key: termKey, Value: value}},
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		result, err := l.store.Txn(callCtx, txn)
		cancel()
		switch {
		case err != nil:
			log.Info("group: record of the election not updated", "error", err)
		case result.Committed:
			return result.Revision, true
		default:
			found, isOurs := ownRecord(result, record.Term)
			if !isOurs || bytes.Equal(found.Value, value) {
				return found.ModRevision, isOurs
			}
			// An earlier change without an answer was carried out.
			revision = found.ModRevision
		}
	}
	return 0, false
}

// ownRecord returns the entry of the record that a failed transaction has found, and whether it is of a term, in which case an
// earlier attempt without an answer was carried out.
func ownRecord(result store.TxnResult, term int64) (store.Entry, bool) {
	for _, read := range result.Reads {
		for _, e := range read {
			var found termRecord
			if e.Key == termKey && cbor.Unmarshal(e.Value, &found) == nil && found.Term == term {
				return e, true
			}
		}
	}
	return store.Entry{}, false
}
