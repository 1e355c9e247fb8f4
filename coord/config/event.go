package config

import (
	"encoding/json"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Event is an input of the [Machine].
type Event interface{ event() }

// Change is a request to replace the document of a customer. BaseRevision is the revision to be replaced, or zero if
// the customer has no document yet. ID makes repeated requests of the same change idempotent.
type Change struct {
	Customer     fleet.CustomerID
	BaseRevision store.Revision
	ID           string
	Answers      json.RawMessage
	Document     Document
}

// Propose submits a change. The token is nonzero and identifies the proposal in effects and later events.
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

// WatchChanged delivers changes that the watch with the given id observed.
type WatchChanged struct {
	WatchID  uint64
	Revision store.Revision
	Changes  []store.Change
}

// WatchEnded reports that the watch with the given id ended.
type WatchEnded struct {
	WatchID uint64
	Err     error
}

// PeerUp reports that a link to a peer was established.
type PeerUp struct{ Peer fleet.EntryHostID }

// PeerDown reports that the link to a peer was lost.
type PeerDown struct{ Peer fleet.EntryHostID }

// DocsReceived delivers documents that a peer sent.
type DocsReceived struct {
	From      fleet.EntryHostID
	Documents []VersionedDocument
}

// StateReceived delivers a peer's [State].
type StateReceived struct {
	From  fleet.EntryHostID
	State State
}

// Tick runs the timers of the machine; the caller sends one every [TickInterval].
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

// Effect is an output of the [Machine]; the caller carries effects out in order.
type Effect interface{ effect() }

// RunTxn requests a store transaction. The caller reports its result with [TxnDone] unless the token is zero.
type RunTxn struct {
	Token uint64
	Txn   store.Txn
}

// ReadHead requests a read of [HeadKey]; the caller reports its result with [HeadRead].
type ReadHead struct{ Get store.Get }

// ReadPage requests a read of one page of the customers' documents; the caller reports its result with [PageRead].
type ReadPage struct{ Get store.Get }

// StartWatch requests a watch on a key prefix, which replaces the previous watch.
type StartWatch struct {
	WatchID uint64
	Prefix  string
	After   store.Revision
}

// SendDocs requests that documents be sent to a peer.
type SendDocs struct {
	To        fleet.EntryHostID
	Documents []VersionedDocument
}

// SendState requests that this process's state be sent to a peer.
type SendState struct {
	To    fleet.EntryHostID
	State State
}

// DocApplied reports that a document came into effect in this process.
type DocApplied struct {
	Doc    VersionedDocument
	Source Source
}

// DecodeFailed reports that a stored value could not be decoded and was skipped.
type DecodeFailed struct{ Err error }

// ProposalFinished reports the outcome of the proposal with the given token, its last effect.
type ProposalFinished struct {
	Token   uint64
	Outcome Outcome
}

func (RunTxn) effect()           {}
func (ReadHead) effect()         {}
func (ReadPage) effect()         {}
func (StartWatch) effect()       {}
func (SendDocs) effect()         {}
func (SendState) effect()        {}
func (DocApplied) effect()       {}
func (DecodeFailed) effect()     {}
func (ProposalFinished) effect() {}

// Source identifies how a document reached this process.
type Source string

// Sources of documents: a change accepted here, a store watch, a store read, and a peer.
const (
	SourceChange Source = "change"
	SourceWatch  Source = "watch"
	SourceRead   Source = "read"
	SourcePeer   Source = "peer"
)

// Outcome is the result of a proposal.
type Outcome interface{ outcome() }

// Accepted means that the store confirmed the change, at the revision of Doc.
type Accepted struct{ Doc VersionedDocument }

// Conflict means that the change was not applied because its base revision is not the current one. Current is the
// document in effect.
type Conflict struct{ Current VersionedDocument }

// ChangeIDReused means that the change was not applied because an accepted change with the same id has other answers.
type ChangeIDReused struct{ Revision store.Revision }

// NotRun means that the change was not applied because the store could not be reached or rejected it.
type NotRun struct{ Reason string }

// OutcomeUnknown means that the change may have taken effect. Repeating it with the same id resolves the outcome.
type OutcomeUnknown struct{ Reason string }

func (Accepted) outcome()       {}
func (Conflict) outcome()       {}
func (ChangeIDReused) outcome() {}
func (NotRun) outcome()         {}
func (OutcomeUnknown) outcome() {}
