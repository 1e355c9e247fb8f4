package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Spec describes a batch job as its customer submitted it.
type Spec struct {
	Job         fleet.JobID      `json:"job_id" cbor:"job_id"`
	Customer    fleet.CustomerID `json:"customer" cbor:"customer"`
	Class       fleet.Class      `json:"class" cbor:"class"`
	Kind        string           `json:"kind,omitempty" cbor:"kind"`
	Tasks       int              `json:"tasks" cbor:"tasks"`
	Resources   fleet.Resources  `json:"resources" cbor:"resources"`
	EstimatedMS int64            `json:"estimated_run_ms" cbor:"estimated_run_ms"`
	MaxAttempts int              `json:"max_attempts" cbor:"max_attempts"`
}

// Outcome is the way in which an attempt ended.
type Outcome string

// The outcomes of attempts.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
	OutcomeEvicted   Outcome = "evicted"
	OutcomeLost      Outcome = "lost"
	// OutcomeCrashed means that the worker may have crashed because of the attempt.
	OutcomeCrashed    Outcome = "crashed"
	OutcomeNotStarted Outcome = "not_started"
)

// Record is a durable change to the state of a partition.
type Record interface{ kind() string }

type (
	// JobSubmitted adds a job. Moves counts its moves between partitions, and Tasks holds the state of the tasks that
	// were claimed before the last move.
	JobSubmitted struct {
		Spec  Spec           `cbor:"spec"`
		AtMS  int64          `cbor:"at_ms"`
		Moves int            `cbor:"moves"`
		Tasks []TaskSnapshot `cbor:"tasks,omitempty"`
	}
	// TaskClaimed assigns an attempt to a worker before it is started there.
	TaskClaimed struct {
		Task    fleet.TaskID   `cbor:"task_id"`
		Attempt fleet.Attempt  `cbor:"attempt"`
		Worker  fleet.WorkerID `cbor:"worker"`
	}
	// AttemptEnded ends an attempt. The next one resumes from Checkpoint. Shared is set if the attempt crashed while many
	// workers crashed, so that a common cause is likely.
	AttemptEnded struct {
		Task       fleet.TaskID  `cbor:"task_id"`
		Attempt    fleet.Attempt `cbor:"attempt"`
		Outcome    Outcome       `cbor:"outcome"`
		Checkpoint []byte        `cbor:"checkpoint,omitempty"`
		Reason     string        `cbor:"reason,omitempty"`
		AtMS       int64         `cbor:"at_ms"`
		Shared     bool          `cbor:"shared,omitempty"`
	}
	// JobCancelled cancels a job. It has no effect if the job has already ended.
	JobCancelled struct {
		Job  fleet.JobID `cbor:"job_id"`
		AtMS int64       `cbor:"at_ms"`
	}
	// JobMoved moves a job to another partition.
	JobMoved struct {
		Job  fleet.JobID       `cbor:"job_id"`
		To   fleet.PartitionID `cbor:"to"`
		AtMS int64             `cbor:"at_ms"`
	}
	// ServiceConfigured sets the replicas of a service that this partition runs. It has no effect unless its revision
	// is higher than that of the last one.
	ServiceConfigured struct {
		Service   fleet.ServiceID `cbor:"service"`
		Class     fleet.Class     `cbor:"class"`
		Replicas  []int           `cbor:"replicas"`
		Resources fleet.Resources `cbor:"resources"`
		Revision  store.Revision  `cbor:"revision"`
	}
	// TaskSnapshot is the state of a task in a snapshot or in the record of a moved job.
	TaskSnapshot struct {
		Task          fleet.TaskID     `cbor:"task_id"`
		State         string           `cbor:"state"`
		Attempt       fleet.Attempt    `cbor:"attempt"`
		Worker        fleet.WorkerID   `cbor:"worker,omitempty"`
		Failures      int              `cbor:"failures,omitempty"`
		FailedOn      []fleet.WorkerID `cbor:"failed_on,omitempty"`
		Crashes       int              `cbor:"crashes,omitempty"`
		SharedCrashes int              `cbor:"shared_crashes,omitempty"`
		Checkpoint    []byte           `cbor:"checkpoint,omitempty"`
		Reason        string           `cbor:"reason,omitempty"`
		EndedMS       int64            `cbor:"ended_ms,omitempty"`
	}
)

func (JobSubmitted) kind() string      { return "submitted" }
func (TaskClaimed) kind() string       { return "claimed" }
func (AttemptEnded) kind() string      { return "ended" }
func (JobCancelled) kind() string      { return "cancelled" }
func (JobMoved) kind() string          { return "moved" }
func (ServiceConfigured) kind() string { return "service" }
func (TaskSnapshot) kind() string      { return "task" }

// FormatError reports a key or value of the store that is not a valid part of a ledger.
type FormatError struct {
	Key   string
	Cause error
}

// Error names the key and the cause.
func (e *FormatError) Error() string { return fmt.Sprintf("ledger value %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// frame is the encoding of a record together with its kind.
type frame struct {
	Kind string          `cbor:"k"`
	Body cbor.RawMessage `cbor:"b"`
}

var decoders = map[string]func([]byte) (Record, error){
	JobSubmitted{}.kind():      decodeAs[JobSubmitted],
	TaskClaimed{}.kind():       decodeAs[TaskClaimed],
	AttemptEnded{}.kind():      decodeAs[AttemptEnded],
	JobCancelled{}.kind():      decodeAs[JobCancelled],
	JobMoved{}.kind():          decodeAs[JobMoved],
	ServiceConfigured{}.kind(): decodeAs[ServiceConfigured],
	TaskSnapshot{}.kind():      decodeAs[TaskSnapshot],
}

func decodeAs[T Record](data []byte) (Record, error) {
	var r T
	err := cbor.Unmarshal(data, &r)
	return r, err
}

func encodeFrame(r Record) (frame, error) {
	body, err := cbor.Marshal(r)
	return frame{Kind: r.kind(), Body: body}, err
}

// EncodeRecord encodes a single record for [DecodeRecord]. Values below "inbox/" have this encoding.
func EncodeRecord(r Record) ([]byte, error) {
	f, err := encodeFrame(r)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(f)
}

// DecodeRecord decodes a record that was encoded by [EncodeRecord]. Its error is a [*FormatError] with the given key.
func DecodeRecord(key string, data []byte) (Record, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, &FormatError{Key: key, Cause: err}
	}
	return f.record(key)
}

func (f frame) record(key string) (Record, error) {
	decode, found := decoders[f.Kind]
	if !found {
		return nil, &FormatError{Key: key, Cause: fmt.Errorf("unknown kind %q", f.Kind)}
	}
	r, err := decode(f.Body)
	if err != nil {
		return nil, &FormatError{Key: key, Cause: err}
	}
	return r, nil
}

// entry is the value of a log key or of a snapshot chunk. In a log entry, Epoch distinguishes a repeated write of this
// owner from a write of another owner.
type entry struct {
	Epoch  fleet.Epoch `cbor:"epoch"`
	Frames []frame     `cbor:"records"`
}

func decodeEntry(key string, data []byte) (entry, []Record, error) {
	var e entry
	if err := cbor.Unmarshal(data, &e); err != nil {
		return e, nil, &FormatError{Key: key, Cause: err}
	}
	records := make([]Record, 0, len(e.Frames))
	for _, f := range e.Frames {
		r, err := f.record(key)
		if err != nil {
			return e, nil, err
		}
		records = append(records, r)
	}
	return e, records, nil
}
