package wire

import (
	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Message is a message between two entry processes.
type Message interface{ kind() string }

// Hello is the first message on a link, in both directions.
type Hello struct {
	EntryHost fleet.EntryHostID      `cbor:"entry_host"`
	Boot      fleet.BootID           `cbor:"boot_id"`
	Zone      fleet.AvailabilityZone `cbor:"availability_zone"`
}

// Ack is the response to a request that returns no data.
type Ack struct{}

// Failure is the response to a request that failed; NotRun is set if the request had no effect.
type Failure struct {
	Status int    `cbor:"status"`
	Reason string `cbor:"reason"`
	NotRun bool   `cbor:"not_run"`
}

// BorrowRequest requests free slots of the receiver's share of the workers of a service, for requests of one class.
//
// ID is unique across restarts of the sender, so that a loan for a previous process does not match a request of this
// one.
type BorrowRequest struct {
	ID      string          `cbor:"borrow_id"`
	Service fleet.ServiceID `cbor:"service"`
	Class   fleet.Class     `cbor:"class"`
	Slots   int             `cbor:"slots"`
}

// Loan is the response to a [BorrowRequest]. The borrower may use the slots for TTLMS milliseconds from the time at
// which it sends the request, so that its loan expires before the lender counts it as expired.
//
// BorrowID is the ID of the request.
type Loan struct {
	ID       string     `cbor:"loan_id"`
	BorrowID string     `cbor:"borrow_id"`
	Parts    []LoanPart `cbor:"parts"`
	TTLMS    int64      `cbor:"ttl_ms"`
}

// LoanPart is the part of a loan that one worker provides.
type LoanPart struct {
	Worker      fleet.WorkerID `cbor:"worker"`
	Slots       int            `cbor:"slots"`
	Connections int            `cbor:"connections"`
}

// LoanReturn reduces a loan before its TTL to the parts still in use, or ends it if Kept is empty.
type LoanReturn struct {
	ID   string     `cbor:"loan_id"`
	Kept []LoanPart `cbor:"kept"`
}

// ForwardRequest passes a caller's request to another entry process, which sends it to a backend server. The sender has
// already claimed a non-idempotent request.
type ForwardRequest struct {
	Service       fleet.ServiceID     `cbor:"service"`
	Customer      fleet.CustomerID    `cbor:"customer"`
	Class         fleet.Class         `cbor:"class"`
	RequestID     fleet.RequestID     `cbor:"request_id"`
	NonIdempotent bool                `cbor:"non_idempotent"`
	RemainingMS   int64               `cbor:"remaining_ms"`
	Method        string              `cbor:"method"`
	Path          string              `cbor:"path"`
	Header        map[string][]string `cbor:"header"`
	Body          []byte              `cbor:"body"`
}

// ForwardResponse is the response to a [ForwardRequest]: the complete response of the backend server, or only the
// outcome if there is none.
type ForwardResponse struct {
	Outcome string              `cbor:"outcome"`
	Reason  string              `cbor:"reason"`
	Status  int                 `cbor:"status"`
	Header  map[string][]string `cbor:"header"`
	Body    []byte              `cbor:"body"`
}

// Endpoints lists the workers that run the replicas of each service in one partition; a higher (Epoch, Sequence)
// replaces a lower one.
type Endpoints struct {
	Partition fleet.PartitionID                    `cbor:"partition"`
	Epoch     fleet.Epoch                          `cbor:"epoch"`
	Sequence  uint64                               `cbor:"sequence"`
	Services  map[fleet.ServiceID][]fleet.WorkerID `cbor:"services"`
}

// ConfigDoc distributes versions of configuration documents.
type ConfigDoc struct {
	Documents []config.VersionedDocument `cbor:"documents"`
}

// ConfigState summarises the documents in effect at the sender; Checksum is computed over their revisions.
//
// Full is set if Revisions holds the revision of every customer; otherwise Revisions is empty. RequestNewer requests
// the documents that the receiver holds at a higher revision.
type ConfigState struct {
	Checksum     uint64                              `cbor:"sum"`
	Full         bool                                `cbor:"full"`
	Revisions    map[fleet.CustomerID]store.Revision `cbor:"revisions,omitempty"`
	RequestNewer bool                                `cbor:"reply"`
}

// JobRequest passes an operation on a job to the owner of its home partition; Body is the JSON of the HTTP interface.
type JobRequest struct {
	Op        string            `cbor:"op"`
	Partition fleet.PartitionID `cbor:"partition"`
	Job       fleet.JobID       `cbor:"job_id"`
	Body      []byte            `cbor:"body"`
}

// JobResponse is the response to a [JobRequest]: an HTTP status and the JSON of the HTTP interface.
type JobResponse struct {
	Status int    `cbor:"status"`
	Body   []byte `cbor:"body"`
}

// Usage reports the resource usage in one partition of the customers whose quotas the receiver divides.
//
// HomePartitions are the partitions whose owner divides those quotas. If Full is set, Customers lists all customers of
// the home partitions. Otherwise it lists the changes since the message with the preceding sequence number; zeros mean
// that the customer no longer has an account in the partition.
type Usage struct {
	Partition      fleet.PartitionID                  `cbor:"partition"`
	Epoch          fleet.Epoch                        `cbor:"epoch"`
	Sequence       uint64                             `cbor:"sequence"`
	Full           bool                               `cbor:"full"`
	HomePartitions []fleet.PartitionID                `cbor:"homes"`
	Customers      map[fleet.CustomerID]CustomerUsage `cbor:"customers"`
}

// CustomerUsage is what a customer's tasks use, may use, and request in a partition. GrantSequence is the sequence
// number of the last [QuotaGrant].
//
// It is encoded as an array without field names, because a process sends thousands of them per second at the target
// size.
type CustomerUsage struct {
	_ struct{} `cbor:",toarray"`

	Tasks              int             `cbor:"tasks"`
	Resources          fleet.Resources `cbor:"resources"`
	LimitTasks         int             `cbor:"limit_tasks"`
	LimitResources     fleet.Resources `cbor:"limit_resources"`
	RequestedTasks     int             `cbor:"want_tasks"`
	RequestedResources fleet.Resources `cbor:"want_resources"`
	GrantSequence      uint64          `cbor:"grant"`
}

// QuotaGrant sets the limits of a customer's tasks in a partition; a higher Sequence replaces a lower one.
type QuotaGrant struct {
	Partition fleet.PartitionID `cbor:"partition"`
	Epoch     fleet.Epoch       `cbor:"epoch"`
	Customer  fleet.CustomerID  `cbor:"customer"`
	Tasks     int               `cbor:"tasks"`
	Resources fleet.Resources   `cbor:"resources"`
	Sequence  uint64            `cbor:"sequence"`
}

// LoadReport lists the services whose requests wait for a slot at the sender. If IncludesFreeSlots is set, FreeSlots
// holds the number of the sender's free slots on each worker of the services that the receiver has listed as waiting.
type LoadReport struct {
	WaitingServices   []fleet.ServiceID      `cbor:"wanted,omitempty"`
	IncludesFreeSlots bool                   `cbor:"reported,omitempty"`
	FreeSlots         map[fleet.WorkerID]int `cbor:"free_slots,omitempty"`
}

func (Hello) kind() string           { return "hello" }
func (Ack) kind() string             { return "ack" }
func (Failure) kind() string         { return "failure" }
func (BorrowRequest) kind() string   { return "borrow" }
func (Loan) kind() string            { return "loan" }
func (LoanReturn) kind() string      { return "return" }
func (ForwardRequest) kind() string  { return "forward" }
func (ForwardResponse) kind() string { return "forward_answer" }
func (Endpoints) kind() string       { return "endpoints" }
func (ConfigDoc) kind() string       { return "config_doc" }
func (ConfigState) kind() string     { return "config_state" }
func (JobRequest) kind() string      { return "job_call" }
func (JobResponse) kind() string     { return "job_answer" }
func (Usage) kind() string           { return "usage" }
func (QuotaGrant) kind() string      { return "quota_grant" }
func (LoadReport) kind() string      { return "load" }
