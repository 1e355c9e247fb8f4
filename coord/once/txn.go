package once

import (
	"errors"
	"slices"
	"time"

	"lovagefork.example/coord/store"
)

// sendClaims sends the claims that are due in at most room groups. A claim waits while the release of its key is not
// confirmed.
func (m *Machine) sendClaims(now time.Time, room int) []Effect {
	var group []*claim
	due := false
	for _, c := range m.open {
		if c.inFlight || c.dropped || m.releasing[c.Key.String()] {
			continue
		}
		group = append(group, c)
		due = due || !now.Before(c.next)
	}
	if !due && len(group) < maxGroup {
		return nil
	}
	var effects []Effect
	for part := range slices.Chunk(group, maxGroup) {
		if len(effects) >= room {
			break
		}
		effects = append(effects, m.runClaims(part))
	}
	return effects
}

// runClaims writes the claims if none of their keys exists, and else reads the holders of the keys.
func (m *Machine) runClaims(claims []*claim) Effect {
	var t store.Txn
	for _, c := range claims {
		c.inFlight = true
		c.lease = m.lease
		key := c.Key.String()
		t.If = append(t.If, store.KeyAbsent{Key: key})
		t.Then = append(t.Then, store.Put{Key: key, Value: c.value, Lease: c.lease})
		t.Else = append(t.Else, store.Get{Key: key, Limit: 1})
	}
	return m.start(t, txn{claims: claims})
}

func (m *Machine) start(t store.Txn, purpose txn) Effect {
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
		effects = append(effects, m.claimEnded(now, c, read(ev, i))...)
	}
	for i, o := range t.outcomes {
		m.outcomeEnded(now, o, read(ev, i))
	}
	return effects
}

// answer is what a transaction tells about one of its keys.
type answer struct {
	err       error
	committed bool
	held      bool
	value     []byte
}

func read(ev TxnEnded, i int) answer {
	switch {
	case ev.Err != nil:
		return answer{err: ev.Err}
	case ev.Result.Committed:
		return answer{committed: true}
	case i >= len(ev.Result.Reads):
		return answer{err: &store.OutcomeUnknownError{Op: "txn", Cause: errReads}}
	case len(ev.Result.Reads[i]) == 0:
		return answer{}
	}
	return answer{held: true, value: ev.Result.Reads[i][0].Value}
}

var errReads = errors.New("answer lacks the entries that were asked for")

// claimEnded decides a claim from a clear answer. After any other answer the claim is sent again, which reads back
// whether an earlier try took effect.
func (m *Machine) claimEnded(now time.Time, c *claim, a answer) []Effect {
	c.inFlight = false
	if a.err != nil {
		m.claimFailed(now, c, a.err)
		return nil
	}
	if a.committed {
		return m.claimGranted(now, c)
	}
	if !a.held {
		c.next = now
		return nil
	}
	// A value that cannot be read still holds the key.
	holder, _ := DecodeRecord(a.value)
	if holder.same(c.record) {
		return m.claimGranted(now, c)
	}
	m.forget(c)
	if c.dropped {
		return nil
	}
	return []Effect{ClaimExists{ID: c.ID, Record: holder}}
}

func (m *Machine) claimFailed(now time.Time, c *claim, err error) {
	c.next = now.Add(backoff)
	var rejected *store.RejectedError
	var notSent *store.NotSentError
	switch {
	case errors.As(err, &rejected):
		// The store may have lost the lease, for example by an operator's hand.
		m.lease = 0
	case errors.As(err, &notSent):
	default:
		c.unclear = true
	}
}

func (m *Machine) claimGranted(now time.Time, c *claim) []Effect {
	m.open = slices.DeleteFunc(m.open, func(o *claim) bool { return o == c })
	if c.dropped {
		m.forget(c)
		m.record(now, c, nil)
		return nil
	}
	c.granted = true
	return []Effect{ClaimGranted{ID: c.ID}}
}

// sendOutcomes sends the outcomes that are due in at most room groups.
func (m *Machine) sendOutcomes(now time.Time, room int) []Effect {
	var due, kept []*outcome
	for _, o := range m.outcomes {
		if now.Before(o.next) || len(due) >= room*maxGroup {
			kept = append(kept, o)
		} else {
			due = append(due, o)
		}
	}
	m.outcomes = kept
	var effects []Effect
	for part := range slices.Chunk(due, maxGroup) {
		effects = append(effects, m.runOutcomes(part))
	}
	return effects
}

// runOutcomes replaces records only while they are this process's open claims, so a repeat changes nothing.
func (m *Machine) runOutcomes(outcomes []*outcome) Effect {
	var t store.Txn
	for _, o := range outcomes {
		t.If = append(t.If, store.ValueEqual{Key: o.key, Value: o.old})
		t.Else = append(t.Else, store.Get{Key: o.key, Limit: 1})
		if o.value == nil {
			t.Then = append(t.Then, store.Delete{Key: o.key})
		} else {
			t.Then = append(t.Then, store.Put{Key: o.key, Value: o.value, Lease: o.lease})
		}
	}
	return m.start(t, txn{outcomes: outcomes})
}

// outcomeEnded sends an outcome again while its open claim may still be in the store.
func (m *Machine) outcomeEnded(now time.Time, o *outcome, a answer) {
	var rejected *store.RejectedError
	if errors.As(a.err, &rejected) {
		o.rejections++
	}
	open := a.held && string(a.value) == string(o.old)
	if (a.err == nil && !open) || o.rejections > maxRejections {
		if o.value == nil {
			delete(m.releasing, o.key)
		}
		return
	}
	o.next = now
	if a.err != nil {
		o.next = now.Add(o.wait)
		o.wait = min(2*o.wait, maxBackoff)
	}
	m.outcomes = append(m.outcomes, o)
}
