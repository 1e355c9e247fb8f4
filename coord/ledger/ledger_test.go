package ledger_test

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/store"
)

var errNoAnswer = errors.New("no answer")

// memStore runs transactions on a map. It has no leases.
type memStore map[string][]byte

func (s memStore) get(g store.Get) []store.Entry {
	var found []store.Entry
	for _, key := range slices.Sorted(maps.Keys(s)) {
		if (key == g.Key || g.Prefix && strings.HasPrefix(key, g.Key)) && key > g.After && (g.Limit == 0 || len(found) < g.Limit) {
			found = append(found, store.Entry{Key: key, Value: s[key]})
		}
	}
	return found
}

func (s memStore) run(t store.Txn) store.TxnResult {
	result := store.TxnResult{Committed: true}
	for _, c := range t.If {
		switch c := c.(type) {
		case store.KeyAbsent:
			_, exists := s[c.Key]
			result.Committed = result.Committed && !exists
		case store.ValueEqual:
			value, exists := s[c.Key]
			result.Committed = result.Committed && exists && bytes.Equal(value, c.Value)
		}
	}
	ops := t.Else
	if result.Committed {
		ops = t.Then
	}
	for _, op := range ops {
		switch op := op.(type) {
		case store.Put:
			s[op.Key] = op.Value
		case store.Delete:
			maps.DeleteFunc(s, func(key string, _ []byte) bool {
				return key == op.Key || op.Prefix && strings.HasPrefix(key, op.Key)
			})
		case store.Get:
			result.Reads = append(result.Reads, s.get(op))
		}
	}
	return result
}

func ownerKey(p fleet.PartitionID) string { return "partitions/" + string(p) + "/owner" }

func recoverAll(t assert.TestingT, s memStore, p fleet.PartitionID, owner []byte) (*ledger.Recovery, int) {
	r, calls := ledger.NewRecovery(p, ownerKey(p), owner), 0
	for {
		txn, more := r.Next()
		if !more {
			return r, calls
		}
		calls++
		assert.NilError(t, r.Feed(s.run(txn)))
	}
}

func cancelled(records []ledger.Record) []string {
	var ids []string
	for _, r := range records {
		ids = append(ids, string(r.(ledger.JobCancelled).Job))
	}
	return ids
}

// Guards against lost, repeated or reordered records when a partition changes its owner, and against records of a
// former owner that take effect afterwards. Both could come from lost answers and from requests that arrive late.
func TestNextOwnerReadsCommittedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := memStore{}
		partitions := []fleet.PartitionID{"a/0", "b/0"}
		m, now, n := ledger.New(), time.Now(), 0
		durable := make(map[fleet.PartitionID][]string)
		heads := make(map[fleet.PartitionID][]byte)
		owners := make(map[fleet.PartitionID][]byte)
		takeOver := func(p fleet.PartitionID, epoch int) {
			owners[p] = fmt.Appendf(nil, "owner %d", epoch)
			s[ownerKey(p)] = owners[p]
			r, _ := recoverAll(t, s, p, owners[p])
			// The records of a commit without an answer may be durable as well.
			got := cancelled(r.Records())
			if len(got) < len(durable[p]) || !slices.Equal(got[:len(durable[p])], durable[p]) {
				t.Fatalf("%s: recovered records %v do not start with the durable records %v", p, got, durable[p])
			}
			durable[p] = got
			heads[p] = r.Head()
			m.Step(now, ledger.Open{
				Partition: p, Epoch: fleet.Epoch(epoch), OwnerKey: ownerKey(p), OwnerValue: owners[p], Next: r.NextSequence(),
			})
		}
		for _, p := range partitions {
			takeOver(p, 1)
		}
		type request struct {
			txn    store.Txn
			owners map[fleet.PartitionID][]byte
		}
		var delayed []request
		perform := func(effects []ledger.Effect) {
			for len(effects) > 0 {
				e := effects[0]
				effects = effects[1:]
				switch e := e.(type) {
				case ledger.Commit:
					switch rapid.IntRange(0, 9).Draw(t, "outcome") {
					case 0: // the request is delayed and its answer is lost
						delayed = append(delayed, request{e.Txn, maps.Clone(owners)})
						effects = append(effects, m.Step(now, ledger.CommitDone{Err: errNoAnswer})...)
					case 1: // the answer is lost
						s.run(e.Txn)
						effects = append(effects, m.Step(now, ledger.CommitDone{Err: errNoAnswer})...)
					default:
						effects = append(effects, m.Step(now, ledger.CommitDone{Result: s.run(e.Txn)})...)
					}
				case ledger.Committed:
					durable[e.Partition] = append(durable[e.Partition], cancelled(e.Records)...)
					if e.SnapshotDue {
						var all []ledger.Record
						for _, id := range durable[e.Partition] {
							all = append(all, ledger.JobCancelled{Job: fleet.JobID(id)})
						}
						p := e.Partition
						c, err := ledger.NewCompaction(p, ownerKey(p), owners[p], heads[p], e.Sequence, all)
						assert.NilError(t, err)
						for _, txn := range c.Txns[:rapid.IntRange(0, len(c.Txns)).Draw(t, "chunks")] {
							if s.run(txn).Committed && txn.Else != nil {
								heads[p] = c.Head
							}
						}
					}
				}
			}
		}
		for step := range rapid.IntRange(1, 700).Draw(t, "steps") {
			now = now.Add(300 * time.Millisecond)
			n++
			p := partitions[step%2]
			m.Step(now, ledger.Append{Partition: p, Records: []ledger.Record{ledger.JobCancelled{Job: fleet.JobID(fmt.Sprint(n))}}})
			perform(m.Step(now, ledger.Tick{}))
			if len(delayed) > 0 && rapid.IntRange(0, 3).Draw(t, "arrives") == 0 {
				arrived := delayed[0]
				delayed = delayed[1:]
				committed := s.run(arrived.txn).Committed
				for _, op := range arrived.txn.Then {
					p := fleet.PartitionID(op.(store.Put).Key[len("ledger/"):][:len("a/0")])
					if committed && !bytes.Equal(arrived.owners[p], owners[p]) {
						t.Fatalf("%s: a record of a former owner took effect", p)
					}
				}
			}
			if rapid.IntRange(0, 99).Draw(t, "lost") == 0 {
				takeOver(p, step+2)
			}
		}
		for _, p := range partitions {
			takeOver(p, 1000)
		}
	})
}

// Recovery must need few calls. Otherwise the new owners of a failed process's partitions exceed the store's read rate.
func BenchmarkRecovery(b *testing.B) {
	s := memStore{ownerKey("a/0"): []byte("me")}
	m := ledger.New()
	m.Step(time.Now(), ledger.Open{Partition: "a/0", OwnerKey: ownerKey("a/0"), OwnerValue: []byte("me")})
	var head []byte
	var all []ledger.Record
	for i := range 1300 {
		task := ledger.TaskSnapshot{Task: fleet.TaskID(fmt.Sprintf("job-%d/0", i)), State: "claimed", Attempt: 1, Worker: "worker-0001"}
		all = append(all, ledger.JobSubmitted{Spec: ledger.Spec{Job: fleet.JobID(fmt.Sprintf("job-%d", i)), Customer: "c", Tasks: 1}}, task)
	}
	for i := range 400 {
		var records []ledger.Record
		for k := range 5 {
			records = append(records, ledger.AttemptEnded{Task: fleet.TaskID(fmt.Sprintf("job-%d/%d", i, k)), Attempt: 1, Outcome: ledger.OutcomeSucceeded})
		}
		m.Step(time.Now(), ledger.Append{Partition: "a/0", Records: records})
		for _, e := range m.Step(time.Now(), ledger.Tick{}) {
			for _, done := range m.Step(time.Now(), ledger.CommitDone{Result: s.run(e.(ledger.Commit).Txn)}) {
				if c := done.(ledger.Committed); c.SnapshotDue {
					snap, err := ledger.NewCompaction("a/0", ownerKey("a/0"), []byte("me"), head, c.Sequence, all)
					assert.NilError(b, err)
					for _, txn := range snap.Txns {
						s.run(txn)
					}
					head = snap.Head
				}
			}
		}
	}
	for b.Loop() {
		r, calls := recoverAll(b, s, "a/0", []byte("me"))
		b.ReportMetric(float64(calls), "calls/op")
		b.ReportMetric(float64(len(r.Records())), "records/op")
	}
}
