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

// Timing of a proposal. An operator waits for the outcome. Retrying for up to proposalTimeout bridges short store
// outages, after which the operator would otherwise have to repeat the change by hand.
const (
	proposalTimeout   = 5 * time.Second
	initialRetryDelay = 250 * time.Millisecond
	maxRetryDelay     = time.Second
)

// historyTrimBatch is the number of oldest history entries that each change reads as candidates for deletion. Each
// change adds one entry, so a value above 1 lets later changes delete what a failed trim left behind.
const historyTrimBatch = 3

// proposal is the state of a change from [Propose] to [ProposalFinished].
type proposal struct {
	change     Change
	deadline   time.Time
	retryDelay time.Duration
	retryAt    time.Time
	// txnRunning is set while a transaction of this proposal is in flight.
	txnRunning bool
	// sequence is the sequence number of the change if that transaction writes it.
	sequence int64
	// txnWrites is set if that transaction writes the change, and unset if it only reads.
	txnWrites bool
	// mayBeStored is set once a transaction that writes the change has ended without a definite result.
	mayBeStored bool
	// reason describes the last failure.
	reason string
}

func (m *Machine) propose(now time.Time, ev Propose) []Effect {
	p := &proposal{change: ev.Change, deadline: now.Add(proposalTimeout), retryDelay: initialRetryDelay}
	p.change.Document.Customer = p.change.Customer
	p.change.Document.ChangeID = p.change.ID
	m.proposals[ev.Token] = p
	return m.startTxn(now, ev.Token, p)
}

// startTxn starts the next transaction of a proposal. If the document in effect has the change's id, it finishes the
// proposal instead.
func (m *Machine) startTxn(now time.Time, token uint64, p *proposal) []Effect {
	inEffect := m.docs[p.change.Customer]
	if inEffect.Document.ChangeID == p.change.ID && inEffect.Revision > 0 {
		return m.finishWithStored(token, p.change, inEffect)
	}
	p.txnRunning = true
	p.txnWrites = inEffect.Revision == p.change.BaseRevision
	p.sequence = inEffect.Sequence + 1
	if !p.txnWrites {
		return []Effect{RunTxn{Token: token, Txn: store.Txn{Then: lookupOps(p.change)}}}
	}
	txn, err := writeTxn(now, p.change, p.sequence)
	if err != nil {
		return m.finish(token, NotRun{Reason: err.Error()})
	}
	return []Effect{RunTxn{Token: token, Txn: txn}}
}

// lookupOps reads the stored document and the change that replaced the proposal's base revision, if there is one.
func lookupOps(c Change) []store.Op {
	return []store.Op{
		store.Get{Key: CustomerKey(c.Customer)},
		store.Get{Key: HistoryKey(c.Customer, c.BaseRevision)},
	}
}

func writeTxn(now time.Time, c Change, sequence int64) (store.Txn, error) {
	value, err := json.Marshal(documentRecord{Sequence: sequence, Document: c.Document, Answers: c.Answers})
	if err != nil {
		return store.Txn{}, err
	}
	history, err := json.Marshal(HistoryRecord{
		Sequence: sequence, ChangeID: c.ID, BaseRevision: c.BaseRevision, Time: now.Round(0).UTC(), Answers: c.Answers,
	})
	if err != nil {
		return store.Txn{}, err
	}
	then := []store.Op{
		store.Put{Key: CustomerKey(c.Customer), Value: value},
		store.Put{Key: HistoryKey(c.Customer, c.BaseRevision), Value: history},
		store.Put{Key: HeadKey, Value: []byte(c.Customer)},
	}
	if sequence > HistoryLimit {
		then = append(then, store.Get{Key: CustomerHistoryPrefix(c.Customer), Prefix: true, Limit: historyTrimBatch})
	}
	return store.Txn{If: []store.Compare{baseIsCurrent(c)}, Then: then, Else: lookupOps(c)}, nil
}

func baseIsCurrent(c Change) store.Compare {
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
	p.txnRunning = false
	if ev.Err != nil {
		return m.txnFailed(now, ev.Token, p, ev.Err)
	}
	if p.txnWrites && ev.Result.Committed {
		return m.writeConfirmed(ev.Token, p, ev.Result)
	}
	return m.resolveFromReads(now, ev.Token, p, ev.Result)
}

// txnFailed finishes the proposal if the store rejected it before any write could have taken effect, and otherwise
// schedules a retry. After a write with an unknown outcome the next transaction also resolves that outcome: it repeats
// the write only if the base revision is still current, and otherwise reads which change replaced it.
func (m *Machine) txnFailed(now time.Time, token uint64, p *proposal, err error) []Effect {
	notSent, rejectedErr := (*store.NotSentError)(nil), (*store.RejectedError)(nil)
	rejected := errors.As(err, &rejectedErr)
	if p.txnWrites && !rejected && !errors.As(err, &notSent) {
		p.mayBeStored = true
	}
	p.reason = err.Error()
	if rejected && !p.mayBeStored {
		return m.finish(token, NotRun{Reason: p.reason})
	}
	p.retryAt = now.Add(p.retryDelay)
	p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
	return nil
}

func (m *Machine) retryProposals(now time.Time) []Effect {
	var effects []Effect
	for _, token := range slices.Sorted(maps.Keys(m.proposals)) {
		p := m.proposals[token]
		switch {
		case !now.Before(p.deadline):
			effects = append(effects, m.finish(token, p.timeoutOutcome())...)
		case !p.txnRunning && !now.Before(p.retryAt):
			effects = append(effects, m.startTxn(now, token, p)...)
		}
	}
	return effects
}

func (p *proposal) timeoutOutcome() Outcome {
	reason := p.reason
	if p.txnRunning {
		reason = "no answer from the store"
	}
	if p.mayBeStored || p.txnRunning && p.txnWrites {
		return OutcomeUnknown{Reason: reason}
	}
	return NotRun{Reason: reason}
}

func (m *Machine) writeConfirmed(token uint64, p *proposal, result store.TxnResult) []Effect {
	v := VersionedDocument{
		Document: p.change.Document, Answers: p.change.Answers,
		Revision: result.Revision, Sequence: p.sequence,
	}
	effects := m.applyAll([]VersionedDocument{v}, SourceChange)
	effects = append(effects, m.sendToAll(v)...)
	effects = append(effects, m.finish(token, Accepted{Doc: v})...)
	if len(result.Reads) > 0 {
		effects = append(effects, trimHistory(result.Reads[0], v.Sequence)...)
	}
	return effects
}

// trimHistory deletes those of the oldest entries that are outside of [HistoryLimit]; last is the latest sequence
// number.
func trimHistory(oldest []store.Entry, last int64) []Effect {
	var deletes []store.Op
	for _, e := range oldest {
		if stored, err := ParseHistoryRecord(e); err == nil && stored.Sequence <= last-HistoryLimit {
			deletes = append(deletes, store.Delete{Key: e.Key})
		}
	}
	if len(deletes) == 0 {
		return nil
	}
	return []Effect{RunTxn{Txn: store.Txn{Then: deletes}}}
}

// resolveFromReads determines the state of a change that the last transaction did not write from what it read.
func (m *Machine) resolveFromReads(now time.Time, token uint64, p *proposal, result store.TxnResult) []Effect {
	if len(result.Reads) != 2 {
		return m.txnFailed(now, token, p, errors.New("the store returned an incomplete answer"))
	}
	effects := m.applyEntries(result.Reads[0], SourceRead)
	for _, e := range result.Reads[1] {
		stored, err := ParseHistoryRecord(e)
		if err == nil && stored.ChangeID == p.change.ID {
			v := VersionedDocument{Document: p.change.Document, Revision: stored.Revision, Sequence: stored.Sequence, Answers: stored.Answers}
			return append(effects, m.finishWithStored(token, p.change, v)...)
		}
	}
	var storedRevision store.Revision
	for _, e := range result.Reads[0] {
		storedRevision = e.ModRevision
	}
	inEffect := m.docs[p.change.Customer]
	switch {
	case storedRevision != p.change.BaseRevision:
		return append(effects, m.finish(token, Conflict{Current: inEffect})...)
	case inEffect.Revision == storedRevision:
		return append(effects, m.startTxn(now, token, p)...)
	default:
		// A watch delivered a newer document than this read, which is too old to show what replaced the base revision.
		return append(effects, m.txnFailed(now, token, p, errors.New("the store returned an older document"))...)
	}
}

// finishWithStored finishes a proposal whose change id is that of the accepted change v.
func (m *Machine) finishWithStored(token uint64, c Change, v VersionedDocument) []Effect {
	if !bytes.Equal(v.Answers, c.Answers) {
		return m.finish(token, ChangeIDReused{Revision: v.Revision})
	}
	effects := m.sendToAll(m.docs[c.Customer])
	return append(effects, m.finish(token, Accepted{Doc: v})...)
}

func (m *Machine) finish(token uint64, outcome Outcome) []Effect {
	delete(m.proposals, token)
	return []Effect{ProposalFinished{Token: token, Outcome: outcome}}
}
