package wire

import (
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// AskKind is what an [Ask] is about.
type HostedRequestKind string

// The kinds of questions about jobs.
const (
	// AskStore stores a job for an entry process that cannot reach the store.
	RequestStoreJob HostedRequestKind = "store"
	// AskCancel stores a cancellation for an entry process that cannot reach the store.
	RequestStoreCancellation HostedRequestKind = "cancel"
	// AskState asks the scheduler for the state of a job.
	RequestJobState HostedRequestKind = "state"
	// AskPending asks the scheduler for the number of jobs of a queue of which no task has started.
	RequestPendingCount HostedRequestKind = "pending"
	// AskOverview, AskWorkers and AskJob ask for the scheduler's state for operators, as JSON.
	RequestOverview   HostedRequestKind = "overview"
	RequestWorkers    HostedRequestKind = "workers"
	RequestJobDetails HostedRequestKind = "job"
	// AskNotice tells the scheduler of a job that has been stored.
	NotifyJobStored HostedRequestKind = "notice"
	// AskCancelNotice tells the scheduler of a cancellation that has been stored.
	NotifyCancellationStored HostedRequestKind = "cancel_notice"
	// AskOver asks whether no reign with a lower token than Token goes on.
	RequestSupersede HostedRequestKind = "over"
)

// Ask is a question about jobs to another entry process. Data is an encoded job for [AskStore] and [AskNotice].
type HostedRequest struct {
	Kind        HostedRequestKind `cbor:"kind"`
	Job         fleet.JobID       `cbor:"job"`
	Queue       string            `cbor:"queue"`
	Data        []byte            `cbor:"data,omitempty"`
	RemainingMS int64             `cbor:"remaining_ms"`
	Token       infra.Token       `cbor:"token,omitempty"`
}

// ReplyStatus is the outcome of an [Ask].
type ResponseStatus string

// The outcomes of an [Ask].
const (
	ResponseOK ResponseStatus = "ok"
	// ReplyNone means that there is no such job.
	ResponseNoJob ResponseStatus = "none"
	// ReplyNotRun means that the call had no effect and never will.
	ResponseNotRun         ResponseStatus = "not_run"
	ResponseOutcomeUnknown ResponseStatus = "unclear"
)

// Reply answers an [Ask].
type HostedResponse struct {
	Status ResponseStatus `cbor:"status"`
	State  infra.State    `cbor:"state,omitempty"`
	Count  int            `cbor:"count,omitempty"`
	Reason string         `cbor:"reason,omitempty"`
	Data   []byte         `cbor:"data,omitempty"`
}

// Elected tells which entry process is the scheduler; a higher token is newer.
type SchedulerElected struct {
	EntryHost fleet.EntryHostID `cbor:"entry_host"`
	Token     infra.Token       `cbor:"token"`
}

// CatalogDoc passes on the operator's configuration as the store holds it.
type CatalogDoc struct {
	Version int64  `cbor:"version"`
	Data    []byte `cbor:"data"`
}

// CatalogHave tells which version of the operator's configuration a process holds.
type CatalogVersion struct {
	Version int64 `cbor:"version"`
}

// CatalogWant asks for the configuration that a process holds, which answers with [CatalogDoc].
type CatalogRequest struct{}

func (HostedRequest) kind() string    { return "ask" }
func (HostedResponse) kind() string   { return "reply" }
func (SchedulerElected) kind() string { return "elected" }
func (CatalogDoc) kind() string       { return "catalog_doc" }
func (CatalogVersion) kind() string   { return "catalog_have" }
func (CatalogRequest) kind() string   { return "catalog_want" }
