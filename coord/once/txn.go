package once

import (
	"errors"
	"slices"
	"time"

	"lovagefork.example/coord/store"
)

// sendClaims sends the claims in batches, in at most limit transactions, if one of them is due or a batch is full. A
// claim waits while the deletion of an earlier claim of its key is not confirmed.
func (m *Machine) sendClaims(now time.Time, limit int) []Effect {
	var ready []*claim
	due := false
	for _, c := range m.pending {
		if c.inFlight || c.abandoned || m.releasing[c.Key.String()] {
			continue
		}
		ready = append(ready, c)
		due = due || !now.Before(c.nextAttempt)
	}
	if !due && len(ready) < maxBatch {
		return nil
	}
	var effects []Effect
	for batch := range slices.Chunk(ready, maxBatch) {
		if len(effects) >= limit {
			break
		}
		effects = append(effects, m.claimTxn(batch))
	}
	return effects
}

// claimTxn returns a transaction that writes the claims if none of their keys exists, and otherwise reads the keys.
func (m *Machine) claimTxn(claims []*claim) Effect {
	var t store.Txn
	for _, c := range claims {
		c.inFlight = true
		c.lease = m.lease
		key := c.Key.String()
		t.If = append(t.If, store.KeyAbsent{Key: key})
		t.Then = append(t.Then, store.Put{Key: key, Value: c.value, Lease: c.lease})
		t.Else = append(t.Else, store.Get{Key: key, Limit: 1})
	}
	return m.startTxn(t, pendingTxn{claims: claims})
}

func (m *Machine) startTxn(t store.Txn, purpose pendingTxn) Effect {
	m.nextTxn++
	m.txns[m.nextTxn] = purpose
	return RunTxn{ID: m.nextTxn, Txn: t}
}

func (m *Machine) txnEnded(now time.Time, ev TxnEnded) []Effect {
	t, known := m.txns[ev.Txn]
	if !known {
		return nil
	}
	delete(m.txns, ev.Txn)
	if ev.Err == nil {
		m.failures = 0
	} else {
		m.failures++
	}
	var effects []Effect
	for i, c := range t.claims {
		effects = append(effects, m.claimEnded(now, c, resultOf(ev, i))...)
	}
	for i, o := range t.outcomes {
		m.outcomeEnded(now, o, resultOf(ev, i))
	}
	return effects
}

// keyResult is the result of a transaction for one of its keys. found and value are set only if the transaction was not
// committed and the key exists.
type keyResult struct {
	err       error
	committed bool
	found     bool
	value     []byte
}

func resultOf(ev TxnEnded, i int) keyResult {
	switch {
	case ev.Err != nil:
		return keyResult{err: ev.Err}
	case ev.Result.Committed:
		return keyResult{committed: true}
	case i >= len(ev.Result.Reads):
		return keyResult{err: &store.OutcomeUnknownError{Op: "txn", Cause: errReads}}
	case len(ev.Result.Reads[i]) == 0:
		return keyResult{}
	}
	return keyResult{found: true, value: ev.Result.Reads[i][0].Value}
}

var errReads = errors.New("answer lacks the entries that were asked for")

// claimEnded decides a claim if the result of its transaction is conclusive. Otherwise it leaves the claim pending: the
// next attempt reads the key and so shows whether an earlier one took effect.
func (m *Machine) claimEnded(now time.Time, c *claim, r keyResult) []Effect {
	c.inFlight = false
	if r.err != nil {
		m.claimFailed(now, c, r.err)
		return nil
	}
	if r.committed {
		return m.claimGranted(now, c)
	}
	if !r.found {
		c.nextAttempt = now
		return nil
	}
	// A value that cannot be decoded still occupies the key.
	holder, _ := DecodeRecord(r.value)
	if holder.sameClaim(c.record) {
		return m.claimGranted(now, c)
	}
	m.removeClaim(c)
	if c.abandoned {
		return nil
	}
	return []Effect{ClaimExists{ID: c.ID, Record: holder}}
}

func (m *Machine) claimFailed(now time.Time, c *claim, err error) {
	c.nextAttempt = now.Add(minBackoff)
	var rejected *store.RejectedError
	var notSent *store.NotSentError
	switch {
	case errors.As(err, &rejected):
		// The store may no longer have the lease, for example because an operator revoked it.
		m.lease = 0
	case errors.As(err, &notSent):
	default:
		c.outcomeUnknown = true
	}
}

func (m *Machine) claimGranted(now time.Time, c *claim) []Effect {
	m.pending = slices.DeleteFunc(m.pending, func(o *claim) bool { return o == c })
	if c.abandoned {
		m.removeClaim(c)
		m.addOutcome(now, c, nil)
		return nil
	}
	c.granted = true
	return []Effect{ClaimGranted{ID: c.ID}}
}

// sendOutcomes sends the outcomes that are due, in at most limit transactions.
func (m *Machine) sendOutcomes(now time.Time, limit int) []Effect {
	var due, kept []*outcomeWrite
	for _, o := range m.outcomes {
		if now.Before(o.nextAttempt) || len(due) >= limit*maxBatch {
			kept = append(kept, o)
		} else {
			due = append(due, o)
		}
	}
	m.outcomes = kept
	var effects []Effect
	for batch := range slices.Chunk(due, maxBatch) {
		effects = append(effects, m.outcomeTxn(batch))
	}
	return effects
}

// outcomeTxn returns a transaction that replaces the records only if all of them are still this process's claims
// without an outcome, so that repeating it has no effect.
func (m *Machine) outcomeTxn(outcomes []*outcomeWrite) Effect {
	var t store.Txn
	for _, o := range outcomes {
		t.If = append(t.If, store.ValueEqual{Key: o.key, Value: o.claimValue})
		t.Else = append(t.Else, store.Get{Key: o.key, Limit: 1})
		if o.value == nil {
			t.Then = append(t.Then, store.Delete{Key: o.key})
		} else {
			t.Then = append(t.Then, store.Put{Key: o.key, Value: o.value, Lease: o.lease})
		}
	}
	return m.startTxn(t, pendingTxn{outcomes: outcomes})
}

// outcomeEnded schedules another attempt if the claim without an outcome may still be in the store.
func (m *Machine) outcomeEnded(now time.Time, o *outcomeWrite, r keyResult) {
	var rejected *store.RejectedError
	if errors.As(r.err, &rejected) {
		o.rejections++
	}
	unchanged := r.found && string(r.value) == string(o.claimValue)
	if (r.err == nil && !unchanged) || o.rejections > maxRejections {
		if o.value == nil {
			delete(m.releasing, o.key)
		}
		return
	}
	o.nextAttempt = now
	if r.err != nil {
		o.nextAttempt = now.Add(o.backoff)
		o.backoff = min(2*o.backoff, maxBackoff)
	}
	m.outcomes = append(m.outcomes, o)
}
