package config

import (
	"encoding/json"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Event is an input of the [Machine].
type Event interface{ event() }

// Change asks to replace the document that has revision Base, zero for a customer without one.
type Change struct {
	Customer fleet.CustomerID
	BaseRevision     store.Revision
	ID       string
	Answers  json.RawMessage
	Document Document
}

// Propose starts the acceptance of a change; the token is nonzero and names it in effects and later events.
type Propose struct {
	Token  uint64
	Change Change
}

// TxnDone is the result of [RunTxn].
type TxnDone struct {
	Token  uint64
	Result store.TxnResult
	Err    error
}

// HeadRead is the result of [ReadHead].
type HeadRead struct {
	Result store.RangeResult
	Err    error
}

// PageRead is the result of [ReadPage].
type PageRead struct {
	Result store.RangeResult
	Err    error
}

// WatchChanged passes on changes that the watch with the given number observed.
type WatchChanged struct {
	WatchID    uint64
	Revision store.Revision
	Changes  []store.Change
}

// WatchEnded reports that the watch with the given number broke.
type WatchEnded struct {
	WatchID uint64
	Err   error
}

// PeerUp reports a new link to a peer.
type PeerUp struct{ Peer fleet.EntryHostID }

// PeerDown reports that the link to a peer broke.
type PeerDown struct{ Peer fleet.EntryHostID }

// DocsReceived passes on documents that a peer sent.
type DocsReceived struct {
	From      fleet.EntryHostID
	Documents []VersionedDocument
}

// StateReceived passes on a peer's [State].
type StateReceived struct {
	From  fleet.EntryHostID
	State State
}

// Tick lets time pass; it is due every [TickInterval].
type Tick struct{}

func (Propose) event()       {}
func (TxnDone) event()       {}
func (HeadRead) event()      {}
func (PageRead) event()      {}
func (WatchChanged) event()  {}
func (WatchEnded) event()    {}
func (PeerUp) event()        {}
func (PeerDown) event()      {}
func (DocsReceived) event()  {}
func (StateReceived) event() {}
func (Tick) event()          {}

// Effect is an output of the [Machine], to be carried out in order.
type Effect interface{ effect() }

// RunTxn asks for a transaction, to be answered by [TxnDone] unless the token is zero.
type RunTxn struct {
	Token uint64
	Txn   store.Txn
}

// ReadHead asks for a read that [HeadRead] answers.
type ReadHead struct{ Get store.Get }

// ReadPage asks for a read that [PageRead] answers.
type ReadPage struct{ Get store.Get }

// StartWatch asks for a watch in place of the former one.
type StartWatch struct {
	WatchID  uint64
	Prefix string
	After  store.Revision
}

// SendDocs asks to send documents to a peer.
type SendDocs struct {
	To        fleet.EntryHostID
	Documents []VersionedDocument
}

// SendState asks to send this process's state to a peer.
type SendState struct {
	To    fleet.EntryHostID
	State State
}

// Applied tells that a document came into effect in this process.
type DocApplied struct {
	Versioned VersionedDocument
	Source    Source
}

// Ignored tells that a stored value could not be decoded and was left out.
type DecodeFailed struct{ Err error }

// Answered ends a proposal.
type ProposalFinished struct {
	Token   uint64
	Outcome Outcome
}

func (RunTxn) effect()     {}
func (ReadHead) effect()   {}
func (ReadPage) effect()   {}
func (StartWatch) effect() {}
func (SendDocs) effect()   {}
func (SendState) effect()  {}
func (DocApplied) effect()    {}
func (DecodeFailed) effect()    {}
func (ProposalFinished) effect()   {}

// Source is the way by which a document reached this process.
type Source string

// The sources of documents.
const (
	SourceChange Source = "change"
	SourceWatch  Source = "watch"
	SourceRead   Source = "read"
	SourcePeer   Source = "peer"
)

// Outcome is the result of a proposal.
type Outcome interface{ outcome() }

// Accepted tells that the store confirmed the change, at the revision of Versioned.
type Accepted struct{ Versioned VersionedDocument }

// Conflict tells that the change was not run and cannot be, because its base is not the current revision.
type Conflict struct{ Current VersionedDocument }

// Reused tells that the change was not run, because an accepted change with other answers has the same id.
type ChangeIDReused struct{ Revision store.Revision }

// NotRun tells that the change was not run, because the store could not be reached or refused it.
type NotRun struct{ Reason string }

// Unknown tells that the change may have taken effect; repeating it with the same id resolves it.
type OutcomeUnknown struct{ Reason string }

func (Accepted) outcome() {}
func (Conflict) outcome() {}
func (ChangeIDReused) outcome()   {}
func (NotRun) outcome()   {}
func (OutcomeUnknown) outcome()  {}
