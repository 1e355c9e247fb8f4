package leader

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/store"
)

// termRecord is the stored value of termKey: the last elected leader, which outlives the leader's lease. Earlier lists the
// entry hosts of the leaders before it, the latest first, that may have acted when it was elected: a leader may act for
// leadershipTimeout without the store, and an election whose answer was lost has no leader at all.
type termRecord struct {
	Term      int64               `cbor:"term"`
	EntryHost fleet.EntryHostID   `cbor:"entry_host"`
	Earlier   []fleet.EntryHostID `cbor:"earlier,omitempty"`
	// EarlierTerms holds the last terms of the leaders in Earlier, as far as they are known.
	EarlierTerms map[fleet.EntryHostID]int64 `cbor:"earlier_terms,omitempty"`
	// Fenced is set once most workers reject the leaders before this one.
	Fenced bool `cbor:"fenced,omitempty"`
	// Capacity is that of the leader's entry host. It outlives registrations, so that smaller hosts wait for such a host after
	// all have failed.
	Capacity Capacity `cbor:"capacity,omitzero"`
	// HandOvers counts the leaderships in a row that ended for a larger entry host without one having been elected.
	HandOvers int `cbor:"hand_overs,omitempty"`
	// Expected is the capacity of the entry host to which the leadership is handed over. Smaller hosts wait for it, also those that
	// know of no larger one because registrations cannot be renewed.
	Expected Capacity `cbor:"expected,omitzero"`
}

// next returns the record of the election of a leader after this one.
func (r termRecord) next(elected Leader, capacity Capacity) termRecord {
	next := termRecord{Term: elected.Term, EntryHost: elected.EntryHost, Earlier: elected.Predecessors, Capacity: capacity}
	for _, h := range elected.Predecessors {
		if term, known := r.termOf(h); known {
			if next.EarlierTerms == nil {
				next.EarlierTerms = make(map[fleet.EntryHostID]int64)
			}
			next.EarlierTerms[h] = term
		}
	}
	if !capacity.Exceeds(r.Capacity) {
		next.HandOvers = r.HandOvers
	}
	return next
}

// termOf returns the last term of an entry host that has led, and false if it is unknown.
func (r termRecord) termOf(host fleet.EntryHostID) (int64, bool) {
	if host == r.EntryHost {
		return r.Term, true
	}
	term, known := r.EarlierTerms[host]
	return term, known
}

// predecessors returns the entry hosts on which a leader may act when the next one is elected, the latest first, and whether it
// leaves out others that have stopped by now.
func (r termRecord) predecessors(history *takeoverHistory) (hosts []fleet.EntryHostID, hasForgotten bool) {
	hosts = []fleet.EntryHostID{r.EntryHost}
	for _, h := range r.Earlier {
		term, known := r.termOf(h)
		switch {
		case slices.Contains(hosts, h):
		case known && history.hasStopped(term):
			hasForgotten = true
		default:
			hosts = append(hosts, h)
		}
	}
	return hosts, hasForgotten
}

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
