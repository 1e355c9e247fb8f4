package wire

import (
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// AskKind is what an [Ask] is about.
type AskKind string

// The kinds of questions about jobs.
const (
	// AskStore stores a job for an entry process that cannot reach the store.
	AskStore AskKind = "store"
	// AskCancel stores a cancellation for an entry process that cannot reach the store.
	AskCancel AskKind = "cancel"
	// AskState asks the scheduler for the state of a job.
	AskState AskKind = "state"
	// AskPending asks the scheduler for the number of jobs of a queue of which no task has started.
	AskPending AskKind = "pending"
	// AskOverview, AskWorkers and AskJob ask for the scheduler's state for operators, as JSON.
	AskOverview AskKind = "overview"
	AskWorkers  AskKind = "workers"
	AskJob      AskKind = "job"
	// AskNotice tells the scheduler of a job that has been stored.
	AskNotice AskKind = "notice"
	// AskCancelNotice tells the scheduler of a cancellation that has been stored.
	AskCancelNotice AskKind = "cancel_notice"
	// AskOver asks whether no reign with a lower token than Token goes on.
	AskOver AskKind = "over"
)

// Ask is a question about jobs to another entry process. Data is an encoded job for [AskStore] and [AskNotice].
type Ask struct {
	Kind        AskKind     `cbor:"kind"`
	Job         fleet.JobID `cbor:"job"`
	Queue       string      `cbor:"queue"`
	Data        []byte      `cbor:"data,omitempty"`
	RemainingMS int64       `cbor:"remaining_ms"`
	Token       infra.Token `cbor:"token,omitempty"`
}

// ReplyStatus is the outcome of an [Ask].
type ReplyStatus string

// The outcomes of an [Ask].
const (
	ReplyOK ReplyStatus = "ok"
	// ReplyNone means that there is no such job.
	ReplyNone ReplyStatus = "none"
	// ReplyNotRun means that the call had no effect and never will.
	ReplyNotRun  ReplyStatus = "not_run"
	ReplyUnclear ReplyStatus = "unclear"
)

// Reply answers an [Ask].
type Reply struct {
	Status ReplyStatus `cbor:"status"`
	State  infra.State `cbor:"state,omitempty"`
	Count  int         `cbor:"count,omitempty"`
	Reason string      `cbor:"reason,omitempty"`
	Data   []byte      `cbor:"data,omitempty"`
}

// Elected tells which entry process is the scheduler; a higher token is newer.
type Elected struct {
	EntryHost fleet.EntryHostID `cbor:"entry_host"`
	Token     infra.Token       `cbor:"token"`
}

// CatalogDoc passes on the operator's configuration as the store holds it.
type CatalogDoc struct {
	Version int64  `cbor:"version"`
	Data    []byte `cbor:"data"`
}

// CatalogHave tells which version of the operator's configuration a process holds.
type CatalogHave struct {
	Version int64 `cbor:"version"`
}

// CatalogWant asks for the configuration that a process holds, which answers with [CatalogDoc].
type CatalogWant struct{}

func (Ask) kind() string         { return "ask" }
func (Reply) kind() string       { return "reply" }
func (Elected) kind() string     { return "elected" }
func (CatalogDoc) kind() string  { return "catalog_doc" }
func (CatalogHave) kind() string { return "catalog_have" }
func (CatalogWant) kind() string { return "catalog_want" }
