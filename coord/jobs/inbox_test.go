package jobs_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/store"
)

// Guards against the loss of a job that has moved away and back (LOST): its former inbox entry, which a watch that lags delivers
// again, was received again, and the key deleted that held the returned job.
func TestFormerInboxEntryDoesNotDeleteReturnedJob(t *testing.T) {
	m := jobs.New("a/0", 1, place.New(place.Spread{}))
	m.SetPermit(jobs.Permit{Write: true, Renew: true})
	now := time.Now()
	key := jobs.InboxPrefix("a/0") + "j"
	deliver := func(moves int, revision store.Revision) []jobs.Effect {
		job := ledger.JobSubmitted{Spec: ledger.Spec{Job: "j", Tasks: 1}, Moves: moves}
		return m.Step(now, jobs.JobReceived{Key: key, Revision: revision, Job: job})
	}
	// receive makes the record of a delivered job durable.
	receive := func(moves int, revision store.Revision) {
		t.Helper()
		effects := deliver(moves, revision)
		at := slices.IndexFunc(effects, func(e jobs.Effect) bool { _, ok := e.(jobs.Append); return ok })
		assert.Assert(t, at >= 0)
		record := effects[at].(jobs.Append)
		assert.DeepEqual(t, record.Ops, []store.Op{store.Delete{Key: key}})
		m.Step(now, jobs.Committed{Records: record.Records})
	}
	assertDiscarded := func(moves int, revision store.Revision) {
		t.Helper()
		assert.DeepEqual(t, deliver(moves, revision), []jobs.Effect{jobs.DiscardInboxEntry{Key: key, Revision: revision}})
	}
	receive(1, 5)
	assertDiscarded(1, 5)
	m.Step(now, jobs.Committed{Records: []ledger.Record{ledger.JobMoved{Job: "j", To: fleet.PartitionID("b/0"), AtMS: 1}}})
	assertDiscarded(1, 5)
	receive(3, 9)
	assertDiscarded(3, 9)
}
