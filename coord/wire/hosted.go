package wire

import (
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// HostedRequestKind is the operation of a [HostedRequest].
type HostedRequestKind string

// The operations of a [HostedRequest].
const (
	// RequestStoreJob stores a job for an entry process that cannot reach the store.
	RequestStoreJob HostedRequestKind = "store"
	// RequestStoreCancellation stores a cancellation for an entry process that cannot reach the store.
	RequestStoreCancellation HostedRequestKind = "cancel"
	// RequestJobState queries the scheduler for the state of a job.
	RequestJobState HostedRequestKind = "state"
	// RequestPendingCount queries the scheduler for the number of jobs of a queue of which no task has started.
	RequestPendingCount HostedRequestKind = "pending"
	// RequestOverview, RequestWorkers and RequestJobDetails query the scheduler for the state that operators see, as
	// JSON.
	RequestOverview   HostedRequestKind = "overview"
	RequestWorkers    HostedRequestKind = "workers"
	RequestJobDetails HostedRequestKind = "job"
	// NotifyJobStored notifies the scheduler of a job that has been stored.
	NotifyJobStored HostedRequestKind = "notice"
	// NotifyCancellationStored notifies the scheduler of a cancellation that has been stored.
	NotifyCancellationStored HostedRequestKind = "cancel_notice"
	// RequestSupersede ends the receiver's leadership as scheduler if its token is lower than Token. The response is
	// [ResponseOK] once no such leadership is running.
	RequestSupersede HostedRequestKind = "over"
	// RequestEligible asks whether the receiver would take over from the scheduler with Token. The response is [ResponseOK] if it
	// would.
	RequestEligible HostedRequestKind = "eligible"
	// RequestRelayClock asks whether the receiver takes a [RelayedStart]. The response is [ResponseOK] with a [RelayClock]. A process
	// of an earlier version does not know the kind, and would break the link on a RelayedStart.
	RequestRelayClock HostedRequestKind = "relay_clock"
)

// HostedRequest is a request about jobs, or about the scheduler, to another entry process of a hosted deployment. Data
// is an encoded job for [RequestStoreJob] and [NotifyJobStored]. Revision is the store revision of the job for
// [NotifyJobStored]; it is 0 if the sender does not know it.
type HostedRequest struct {
	Kind        HostedRequestKind `cbor:"kind"`
	Job         fleet.JobID       `cbor:"job"`
	Queue       string            `cbor:"queue"`
	Data        []byte            `cbor:"data,omitempty"`
	RemainingMS int64             `cbor:"remaining_ms"`
	Token       infra.Token       `cbor:"token,omitempty"`
	Revision    int64             `cbor:"revision,omitempty"`
}

// ResponseStatus is the outcome of a [HostedRequest].
type ResponseStatus string

// The outcomes of a [HostedRequest].
const (
	ResponseOK ResponseStatus = "ok"
	// ResponseNoJob means that the job does not exist.
	ResponseNoJob ResponseStatus = "none"
	// ResponseCancelled means that a submitted job was cancelled before.
	ResponseCancelled ResponseStatus = "cancelled"
	// ResponseInvalid means that a job can never be accepted.
	ResponseInvalid ResponseStatus = "invalid"
	// ResponseNotRun means that the request had no effect and will have none.
	ResponseNotRun ResponseStatus = "not_run"
	// ResponseOutcomeUnknown means that the request may have taken effect.
	ResponseOutcomeUnknown ResponseStatus = "unclear"
)

// HostedResponse is the response to a [HostedRequest].
type HostedResponse struct {
	Status ResponseStatus `cbor:"status"`
	State  infra.State    `cbor:"state,omitempty"`
	Count  int            `cbor:"count,omitempty"`
	Reason string         `cbor:"reason,omitempty"`
	Data   []byte         `cbor:"data,omitempty"`
	// IdleMS is for how long at least no scheduler has run on the entry host, in milliseconds.
	IdleMS int64 `cbor:"idle_ms,omitempty"`
}

// SchedulerElected announces which entry process is the scheduler; a higher token replaces a lower one.
type SchedulerElected struct {
	EntryHost fleet.EntryHostID `cbor:"entry_host"`
	Token     infra.Token       `cbor:"token"`
	Term      int64             `cbor:"term,omitempty"`
}

// CatalogDoc holds the operator's configuration as stored, or a part of its compressed form; Version is 0 if the sender
// has none.
type CatalogDoc struct {
	Version int64        `cbor:"version"`
	Data    []byte       `cbor:"data"`
	Part    *CatalogPart `cbor:"part,omitempty"`
}

// CatalogPart says which part of the compressed configuration a [CatalogDoc] holds. Digest identifies the compressed
// configuration and Size is its length in bytes; two processes can compress the same version differently.
type CatalogPart struct {
	Offset int    `cbor:"offset"`
	Size   int    `cbor:"size"`
	Digest uint64 `cbor:"digest"`
}

// CatalogVersion announces the version of the operator's configuration that the sender holds.
type CatalogVersion struct {
	Version int64 `cbor:"version"`
}

// CatalogRequest requests the operator's configuration that the receiver holds; the response is a [CatalogDoc]. If
// Compressed is set, it is the part of the compressed configuration that begins at Offset.
type CatalogRequest struct {
	Compressed bool `cbor:"compressed,omitempty"`
	Offset     int  `cbor:"offset,omitempty"`
}

func (HostedRequest) kind() string    { return "ask" }
func (HostedResponse) kind() string   { return "reply" }
func (SchedulerElected) kind() string { return "elected" }
func (CatalogDoc) kind() string       { return "catalog_doc" }
func (CatalogVersion) kind() string   { return "catalog_have" }
func (CatalogRequest) kind() string   { return "catalog_want" }
