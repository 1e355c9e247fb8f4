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

var errLost = errors.New("answer lost")

// disk runs transactions over a map, without leases.
type disk map[string][]byte

func (d disk) get(g store.Get) []store.Entry {
	var found []store.Entry
	for _, key := range slices.Sorted(maps.Keys(d)) {
		if (key == g.Key || g.Prefix && strings.HasPrefix(key, g.Key)) && key > g.After && (g.Limit == 0 || len(found) < g.Limit) {
			found = append(found, store.Entry{Key: key, Value: d[key]})
		}
	}
	return found
}

func (d disk) run(t store.Txn) store.TxnResult {
	result := store.TxnResult{Committed: true}
	for _, c := range t.If {
		switch c := c.(type) {
		case store.KeyAbsent:
			_, exists := d[c.Key]
			result.Committed = result.Committed && !exists
		case store.ValueEqual:
			value, exists := d[c.Key]
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
			d[op.Key] = op.Value
		case store.Delete:
			maps.DeleteFunc(d, func(key string, _ []byte) bool {
				return key == op.Key || op.Prefix && strings.HasPrefix(key, op.Key)
			})
		case store.Get:
			result.Reads = append(result.Reads, d.get(op))
		}
	}
	return result
}

func ownerKey(p fleet.PartitionID) string { return "partitions/" + string(p) + "/owner" }

func recoverAll(t assert.TestingT, d disk, p fleet.PartitionID, owner []byte) (*ledger.Recovery, int) {
	r, calls := ledger.NewRecovery(p, ownerKey(p), owner), 0
	for {
		txn, more := r.Next()
		if !more {
			return r, calls
		}
		calls++
		assert.NilError(t, r.Feed(d.run(txn)))
	}
}

func cancelled(records []ledger.Record) []string {
	var ids []string
	for _, r := range records {
		ids = append(ids, string(r.(ledger.JobCancelled).Job))
	}
	return ids
}

// A record that was reported as durable must be read by the next owner, once and in order, and none of a former owner
// may follow, whatever answers were lost and whenever late requests arrived.
func TestNextOwnerReadsWhatWasCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := disk{}
		partitions := []fleet.PartitionID{"a/0", "b/0"}
		m, now, n := ledger.New(), time.Now(), 0
		durable := make(map[fleet.PartitionID][]string)
		heads := make(map[fleet.PartitionID][]byte)
		owners := make(map[fleet.PartitionID][]byte)
		take := func(p fleet.PartitionID, epoch int) {
			owners[p] = fmt.Appendf(nil, "owner %d", epoch)
			d[ownerKey(p)] = owners[p]
			r, _ := recoverAll(t, d, p, owners[p])
			// A commit without an answer may be durable as well.
			got := cancelled(r.Records())
			if len(got) < len(durable[p]) || !slices.Equal(got[:len(durable[p])], durable[p]) {
				t.Fatalf("%s: recovered %v, durable are %v", p, got, durable[p])
			}
			durable[p] = got
			heads[p] = r.Head()
			m.Step(now, ledger.Open{
				Partition: p, Epoch: fleet.Epoch(epoch), OwnerKey: ownerKey(p), OwnerValue: owners[p], Next: r.NextSequence(),
			})
		}
		for _, p := range partitions {
			take(p, 1)
		}
		type request struct {
			txn    store.Txn
			owners map[fleet.PartitionID][]byte
		}
		var late []request
		perform := func(effects []ledger.Effect) {
			for len(effects) > 0 {
				e := effects[0]
				effects = effects[1:]
				switch e := e.(type) {
				case ledger.Commit:
					switch rapid.IntRange(0, 9).Draw(t, "fate") {
					case 0: // the request is delayed and its answer lost
						late = append(late, request{e.Txn, maps.Clone(owners)})
						effects = append(effects, m.Step(now, ledger.CommitDone{Err: errLost})...)
					case 1: // the answer is lost
						d.run(e.Txn)
						effects = append(effects, m.Step(now, ledger.CommitDone{Err: errLost})...)
					default:
						effects = append(effects, m.Step(now, ledger.CommitDone{Result: d.run(e.Txn)})...)
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
							if d.run(txn).Committed && txn.Else != nil {
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
			if len(late) > 0 && rapid.IntRange(0, 3).Draw(t, "arrives") == 0 {
				arrived := late[0]
				late = late[1:]
				committed := d.run(arrived.txn).Committed
				for _, op := range arrived.txn.Then {
					p := fleet.PartitionID(op.(store.Put).Key[len("ledger/"):][:len("a/0")])
					if committed && !bytes.Equal(arrived.owners[p], owners[p]) {
						t.Fatalf("%s: a record of a former owner took effect", p)
					}
				}
			}
			if rapid.IntRange(0, 99).Draw(t, "lost") == 0 {
				take(p, step+2)
			}
		}
		for _, p := range partitions {
			take(p, 1000)
		}
	})
}

// Reading a partition must cost few calls, or the new owners of a failed process exceed the store's read rate.
func BenchmarkRecovery(b *testing.B) {
	d := disk{ownerKey("a/0"): []byte("me")}
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
			for _, done := range m.Step(time.Now(), ledger.CommitDone{Result: d.run(e.(ledger.Commit).Txn)}) {
				if c := done.(ledger.Committed); c.SnapshotDue {
					snap, err := ledger.NewCompaction("a/0", ownerKey("a/0"), []byte("me"), head, c.Sequence, all)
					assert.NilError(b, err)
					for _, txn := range snap.Txns {
						d.run(txn)
					}
					head = snap.Head
				}
			}
		}
	}
	for b.Loop() {
		r, calls := recoverAll(b, d, "a/0", []byte("me"))
		b.ReportMetric(float64(calls), "calls/op")
		b.ReportMetric(float64(len(r.Records())), "records/op")
	}
}
