package wire

import (
	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Message is any message between two entry processes.
type Message interface{ kind() string }

// Hello is the first message on a link, in both directions.
type Hello struct {
	EntryHost fleet.EntryHostID      `cbor:"entry_host"`
	Boot      fleet.BootID           `cbor:"boot_id"`
	Zone      fleet.AvailabilityZone `cbor:"availability_zone"`
}

// Ack answers a call that returns nothing.
type Ack struct{}

// Failure answers a call that the receiver could not carry out; NotRun is set if it had no effect.
type Failure struct {
	Status int    `cbor:"status"`
	Reason string `cbor:"reason"`
	NotRun bool   `cbor:"not_run"`
}

// Borrow asks for idle slots on the workers of some availability zones for a class of requests.
//
// ID is unique over the processes of the sender's entry host, so that an answer to a former one is not taken for another.
type BorrowRequest struct {
	ID      string          `cbor:"borrow_id"`
	Service fleet.ServiceID `cbor:"service"`
	Class   fleet.Class     `cbor:"class"`
	Slots   int             `cbor:"slots"`
}

// Loan answers [Borrow] with slots that the borrower may use for TTLMS milliseconds from before it asked.
//
// Borrow is the ID of the question.
type Loan struct {
	ID       string     `cbor:"loan_id"`
	BorrowID string     `cbor:"borrow_id"`
	Parts    []LoanPart `cbor:"parts"`
	TTLMS    int64      `cbor:"ttl_ms"`
}

// LoanPart is the part of a loan on one worker.
type LoanPart struct {
	Worker      fleet.WorkerID `cbor:"worker"`
	Slots       int            `cbor:"slots"`
	Connections int            `cbor:"connections"`
}

// Return reduces a loan early to the parts that are still in use, or ends it if there are none.
type LoanReturn struct {
	ID   string     `cbor:"loan_id"`
	Kept []LoanPart `cbor:"kept"`
}

// Forward passes a caller's request to another entry process, to be sent on from there. The sender has already claimed
// a non-idempotent request.
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

// ForwardAnswer answers [Forward] with the whole answer of the backend server, or with the outcome without one.
type ForwardResponse struct {
	Outcome string              `cbor:"outcome"`
	Reason  string              `cbor:"reason"`
	Status  int                 `cbor:"status"`
	Header  map[string][]string `cbor:"header"`
	Body    []byte              `cbor:"body"`
}

// Endpoints tells where the replicas of services run in one partition; a higher (Epoch, Sequence) replaces a lower one.
type Endpoints struct {
	Partition fleet.PartitionID                    `cbor:"partition"`
	Epoch     fleet.Epoch                          `cbor:"epoch"`
	Sequence  uint64                               `cbor:"sequence"`
	Services  map[fleet.ServiceID][]fleet.WorkerID `cbor:"services"`
}

// ConfigDoc spreads versions of configuration documents.
type ConfigDoc struct {
	Documents []config.Versioned `cbor:"documents"`
}

// ConfigState summarises the documents in effect at the sender; Sum is equal for equal revisions.
//
// Full is set if Revisions gives the revision of every customer; otherwise it is empty. Reply asks for the documents that
// the receiver holds at a higher revision.
type ConfigState struct {
	Sum       uint64                              `cbor:"sum"`
	Full      bool                                `cbor:"full"`
	Revisions map[fleet.CustomerID]store.Revision `cbor:"revisions,omitempty"`
	Reply     bool                                `cbor:"reply"`
}

// JobCall passes an operation on a job to the owner of its home partition; Body is the JSON of the HTTP interface.
type JobRequest struct {
	Op        string            `cbor:"op"`
	Partition fleet.PartitionID `cbor:"partition"`
	Job       fleet.JobID       `cbor:"job_id"`
	Body      []byte            `cbor:"body"`
}

// JobAnswer answers [JobCall] with an HTTP status and the JSON of the HTTP interface.
type JobResponse struct {
	Status int    `cbor:"status"`
	Body   []byte `cbor:"body"`
}

// Usage tells what the customers whose quotas the receiver divides hold in a partition.
//
// Homes are the partitions whose owner divides those quotas. A full message lists all customers of the homes; any other
// lists those that changed since the message with the sequence before, with zeros for an account that has ended.
type Usage struct {
	Partition      fleet.PartitionID                  `cbor:"partition"`
	Epoch          fleet.Epoch                        `cbor:"epoch"`
	Sequence       uint64                             `cbor:"sequence"`
	Full           bool                               `cbor:"full"`
	HomePartitions []fleet.PartitionID                `cbor:"homes"`
	Customers      map[fleet.CustomerID]CustomerUsage `cbor:"customers"`
}

// Share is what a customer's tasks hold, may hold, and ask for in a partition; Grant is the sequence of its last grant.
//
// It is encoded without names, because a process sends thousands of them in a second at the target size.
type CustomerUsage struct {
	_ struct{} `cbor:",toarray"`

	Tasks              int             `cbor:"tasks"`
	Resources          fleet.Resources `cbor:"resources"`
	LimitTasks         int             `cbor:"limit_tasks"`
	LimitResources     fleet.Resources `cbor:"limit_resources"`
	RequestedTasks     int             `cbor:"want_tasks"`
	RequestedResources fleet.Resources `cbor:"want_resources"`
	Grant              uint64          `cbor:"grant"`
}

// QuotaGrant sets what a customer's tasks may hold in a partition; a higher Sequence replaces a lower one.
type QuotaGrant struct {
	Partition fleet.PartitionID `cbor:"partition"`
	Epoch     fleet.Epoch       `cbor:"epoch"`
	Customer  fleet.CustomerID  `cbor:"customer"`
	Tasks     int               `cbor:"tasks"`
	Resources fleet.Resources   `cbor:"resources"`
	Sequence  uint64            `cbor:"sequence"`
}

// Load tells the services whose requests wait for a slot at the sender. If Reported is set, FreeSlots lists the sender's
// idle slots on the workers of the services that the receiver wants.
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
