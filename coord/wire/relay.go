package wire

import (
	"github.com/cespare/xxhash/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// RelayedStart requests that the receiver sends a start to a worker, with the spec of the job as stored; SpecSum is its
// [SpecSum]. The start must not be sent after Until, a time on the receiver's clock in milliseconds, nor by a process other than
// the one with the ID Process. Clock and process are those of a [RequestRelayClock].
type RelayedStart struct {
	Process    uint64         `cbor:"process"`
	Until      int64          `cbor:"until"`
	Worker     fleet.WorkerID `cbor:"worker"`
	Address    string         `cbor:"address"`
	Job        fleet.JobID    `cbor:"job"`
	Occurrence int64          `cbor:"occurrence,omitempty"`
	Step       int            `cbor:"step,omitempty"`
	Index      int            `cbor:"index,omitempty"`
	Run        infra.Run      `cbor:"run"`
	SpecSum    uint64         `cbor:"spec_sum"`
	Checkpoint string         `cbor:"checkpoint,omitempty"`
	Ticket     string         `cbor:"ticket,omitempty"`
	Deadline   int64          `cbor:"deadline"`
	Token      infra.Token    `cbor:"token"`
}

// RelayOutcome is the outcome of a [RelayedStart].
type RelayOutcome string

// The outcomes of a [RelayedStart]. The worker has received the start if it accepted or refused it. In all other cases but
// RelayNoAnswer it has not, and will not.
const (
	RelayAccepted RelayOutcome = "accepted"
	RelayRefused  RelayOutcome = "refused"
	// RelayNoAnswer means that the worker may have received the start.
	RelayNoAnswer RelayOutcome = "no_answer"
	// RelayNoConnection means that the relay cannot connect to the worker.
	RelayNoConnection RelayOutcome = "no_connection"
	// RelayFenced means that the relay knows a newer scheduler.
	RelayFenced RelayOutcome = "fenced"
	RelayLate   RelayOutcome = "late"
	RelayBusy   RelayOutcome = "busy"
	// RelayNoSpec means that the relay has not read the spec in time.
	RelayNoSpec RelayOutcome = "no_spec"
	// RelayRestarted means that the start was meant for a former process of the relay.
	RelayRestarted RelayOutcome = "restarted"
)

// RelayedStartResponse is the response to a [RelayedStart]. Clock is the worker's clock in milliseconds and Refusal the reason if
// it refused the start.
type RelayedStartResponse struct {
	Outcome RelayOutcome        `cbor:"outcome"`
	Clock   int64               `cbor:"clock,omitempty"`
	Refusal infra.RefusalReason `cbor:"refusal,omitempty"`
	Reason  string              `cbor:"reason,omitempty"`
}

// RelayClock is the response to a [RequestRelayClock], in the Data of a [HostedResponse]: a random ID of the process, and its
// clock in milliseconds, which advances while the host is suspended.
type RelayClock struct {
	Process uint64 `cbor:"process"`
	Clock   int64  `cbor:"clock"`
}

// SpecSum identifies the spec of a job among those that were stored under its ID.
func SpecSum(spec string) uint64 { return xxhash.Sum64String(spec) }

func (RelayedStart) kind() string         { return "relayed_start" }
func (RelayedStartResponse) kind() string { return "relayed_start_answer" }
