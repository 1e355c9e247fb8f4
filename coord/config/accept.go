package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"lovagefork.example/coord/store"
)

// Timing of a proposal. An operator waits for the answer, and the answer of a store that recovers within the limit spares
// a repetition by hand.
const (
	proposalLimit = 5 * time.Second
	retryFirst    = 250 * time.Millisecond
	retryMost     = time.Second
)

// trimBatch is how many of the oldest history entries each change reads; more than one makes up for a trim that failed.
const trimBatch = 3

// proposal is a change on its way into the store.
type proposal struct {
	change   Change
	deadline time.Time
	wait     time.Duration
	retryAt  time.Time
	// running is set while a transaction of this proposal is on its way.
	running bool
	// sequence is the number of the change if that transaction writes it.
	sequence int64
	// writing is set if that transaction puts the change, as opposed to only reading.
	writing bool
	// unclear is set once a transaction that puts the change may have taken effect.
	unclear bool
	reason  string
}

func (m *Machine) propose(now time.Time, ev Propose) []Effect {
	p := &proposal{change: ev.Change, deadline: now.Add(proposalLimit), wait: retryFirst}
	p.change.Document.Customer = p.change.Customer
	p.change.Document.ChangeID = p.change.ID
	m.proposals[ev.Token] = p
	return m.attempt(now, ev.Token, p)
}

// attempt starts the next transaction of a proposal, or ends it if the document in effect already tells its outcome.
func (m *Machine) attempt(now time.Time, token uint64, p *proposal) []Effect {
	held := m.docs[p.change.Customer]
	if held.Document.ChangeID == p.change.ID && held.Revision > 0 {
		return m.found(token, p.change, held)
	}
	p.running = true
	p.writing = held.Revision == p.change.BaseRevision
	p.sequence = held.Sequence + 1
	if !p.writing {
		return []Effect{RunTxn{Token: token, Txn: store.Txn{Then: lookup(p.change)}}}
	}
	txn, err := writeTxn(now, p.change, p.sequence)
	if err != nil {
		return m.finish(token, NotRun{Reason: err.Error()})
	}
	return []Effect{RunTxn{Token: token, Txn: txn}}
}

// lookup reads the current document and the change that replaced the proposal's base, if there is one.
func lookup(c Change) []store.Op {
	return []store.Op{
		store.Get{Key: CustomerKey(c.Customer)},
		store.Get{Key: HistoryKey(c.Customer, c.BaseRevision)},
	}
}

func writeTxn(now time.Time, c Change, sequence int64) (store.Txn, error) {
	value, err := json.Marshal(record{Sequence: sequence, Document: c.Document, Answers: c.Answers})
	if err != nil {
		return store.Txn{}, err
	}
	past, err := json.Marshal(HistoryRecord{
		Sequence: sequence, ChangeID: c.ID, BaseRevision: c.BaseRevision, Time: now.Round(0).UTC(), Answers: c.Answers,
	})
	if err != nil {
		return store.Txn{}, err
	}
	then := []store.Op{
		store.Put{Key: CustomerKey(c.Customer), Value: value},
		store.Put{Key: HistoryKey(c.Customer, c.BaseRevision), Value: past},
		store.Put{Key: HeadKey, Value: []byte(c.Customer)},
	}
	if sequence > HistoryLimit {
		then = append(then, store.Get{Key: CustomerHistoryPrefix(c.Customer), Prefix: true, Limit: trimBatch})
	}
	return store.Txn{If: []store.Compare{unchanged(c)}, Then: then, Else: lookup(c)}, nil
}

func unchanged(c Change) store.Compare {
	if c.BaseRevision == 0 {
		return store.KeyAbsent{Key: CustomerKey(c.Customer)}
	}
	return store.KeyUnchanged{Key: CustomerKey(c.Customer), ModRevision: c.BaseRevision}
}

func (m *Machine) txnDone(now time.Time, ev TxnDone) []Effect {
	p := m.proposals[ev.Token]
	if p == nil {
		return nil
	}
	p.running = false
	if ev.Err != nil {
		return m.failed(now, ev.Token, p, ev.Err)
	}
	if p.writing && ev.Result.Committed {
		return m.confirmed(ev.Token, p, ev.Result)
	}
	return m.resolve(now, ev.Token, p, ev.Result)
}

// failed plans a retry. After an unclear write the next transaction is also the read-back: it repeats the write only if
// the base is still current, and otherwise reads which change replaced it.
func (m *Machine) failed(now time.Time, token uint64, p *proposal, err error) []Effect {
	notSent, rejected := (*store.NotSentError)(nil), (*store.RejectedError)(nil)
	refused := errors.As(err, &rejected)
	if p.writing && !refused && !errors.As(err, &notSent) {
		p.unclear = true
	}
	p.reason = err.Error()
	if refused && !p.unclear {
		return m.finish(token, NotRun{Reason: p.reason})
	}
	p.retryAt = now.Add(p.wait)
	p.wait = min(2*p.wait, retryMost)
	return nil
}

func (m *Machine) retryProposals(now time.Time) []Effect {
	var effects []Effect
	for _, token := range slices.Sorted(maps.Keys(m.proposals)) {
		p := m.proposals[token]
		switch {
		case !now.Before(p.deadline):
			effects = append(effects, m.finish(token, p.expired())...)
		case !p.running && !now.Before(p.retryAt):
			effects = append(effects, m.attempt(now, token, p)...)
		}
	}
	return effects
}

func (p *proposal) expired() Outcome {
	reason := p.reason
	if p.running {
		reason = "no answer from the store"
	}
	if p.unclear || p.running && p.writing {
		return OutcomeUnknown{Reason: reason}
	}
	return NotRun{Reason: reason}
}

func (m *Machine) confirmed(token uint64, p *proposal, result store.TxnResult) []Effect {
	v := VersionedDocument{
		Document: p.change.Document, Answers: p.change.Answers,
		Revision: result.Revision, Sequence: p.sequence,
	}
	effects := m.applyAll([]VersionedDocument{v}, SourceChange)
	effects = append(effects, m.sendToAll(v)...)
	effects = append(effects, m.finish(token, Accepted{Versioned: v})...)
	if len(result.Reads) > 0 {
		effects = append(effects, trim(result.Reads[0], v.Sequence)...)
	}
	return effects
}

// trim deletes the oldest entries of a history whose last change has the given sequence number.
func trim(oldest []store.Entry, last int64) []Effect {
	var deletes []store.Op
	for _, e := range oldest {
		if past, err := ParseHistoryRecord(e); err == nil && past.Sequence <= last-HistoryLimit {
			deletes = append(deletes, store.Delete{Key: e.Key})
		}
	}
	if len(deletes) == 0 {
		return nil
	}
	return []Effect{RunTxn{Txn: store.Txn{Then: deletes}}}
}

// resolve decides from the store's current state about a change that was not written by the last transaction.
func (m *Machine) resolve(now time.Time, token uint64, p *proposal, result store.TxnResult) []Effect {
	if len(result.Reads) != 2 {
		return m.failed(now, token, p, errors.New("the store returned an incomplete answer"))
	}
	effects := m.applyEntries(result.Reads[0], SourceRead)
	for _, e := range result.Reads[1] {
		past, err := ParseHistoryRecord(e)
		if err == nil && past.ChangeID == p.change.ID {
			v := VersionedDocument{Document: p.change.Document, Revision: past.Revision, Sequence: past.Sequence, Answers: past.Answers}
			return append(effects, m.found(token, p.change, v)...)
		}
	}
	var current store.Revision
	for _, e := range result.Reads[0] {
		current = e.ModRevision
	}
	held := m.docs[p.change.Customer]
	switch {
	case current != p.change.BaseRevision:
		return append(effects, m.finish(token, Conflict{Current: held})...)
	case held.Revision == current:
		return append(effects, m.attempt(now, token, p)...)
	default:
		// A watch overtook the answer, which no longer tells what replaced the base.
		return append(effects, m.failed(now, token, p, errors.New("the store returned an older document"))...)
	}
}

// found ends a proposal whose id the accepted change v has.
func (m *Machine) found(token uint64, c Change, v VersionedDocument) []Effect {
	if !bytes.Equal(v.Answers, c.Answers) {
		return m.finish(token, ChangeIDReused{Revision: v.Revision})
	}
	effects := m.sendToAll(m.docs[c.Customer])
	return append(effects, m.finish(token, Accepted{Versioned: v})...)
}

func (m *Machine) finish(token uint64, outcome Outcome) []Effect {
	delete(m.proposals, token)
	return []Effect{ProposalFinished{Token: token, Outcome: outcome}}
}
