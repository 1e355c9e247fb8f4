package slope

import (
	"fmt"
	"time"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

func record(i int) ledger.Record {
	return ledger.TaskClaimed{
		Task: fleet.TaskID(fmt.Sprintf("job-%06d/%d", i/10, i%10)), Attempt: 1,
		Worker: fleet.WorkerID(fmt.Sprintf("worker-%05d", i%targetWorkers)),
	}
}

// commit returns the transaction of one group commit of n records over the partitions of one of 8 processes.
func commit(m *ledger.Machine, now time.Time, n int) store.Txn {
	const partitions = targetPartitions / 8
	for i := range n {
		p := fleet.NewPartitionID("zone-00", i%partitions)
		m.Step(now, ledger.Append{Partition: p, Records: []ledger.Record{record(i)}})
	}
	for _, e := range m.Step(now, ledger.Tick{}) {
		if c, ok := e.(ledger.Commit); ok {
			m.Step(now, ledger.CommitDone{Result: store.TxnResult{Committed: true, Revision: 1}})
			return c.Txn
		}
	}
	panic("no commit")
}

func newLedger() *ledger.Machine {
	m := ledger.New()
	for i := range targetPartitions / 8 {
		p := fleet.NewPartitionID("zone-00", i)
		m.Step(start, ledger.Open{Partition: p, Epoch: 1, OwnerKey: "partitions/x/owner", OwnerValue: []byte("x"), Next: 1})
	}
	return m
}

var recordSizes = []int{10, 100, 1000}

func ledgerLines() []Line {
	return []Line{
		line("ledger", "one group commit", "µs", "record", recordSizes, func(n int) float64 {
			m, now := newLedger(), start
			return microseconds(50, func(int) {
				now = now.Add(ledger.TickInterval)
				commit(m, now, n)
			})
		}),
		line("ledger", "values of one group commit", "bytes", "record", recordSizes, func(n int) float64 {
			total := 0
			for _, op := range commit(newLedger(), start.Add(time.Second), n).Then {
				if put, ok := op.(store.Put); ok {
					total += len(put.Key) + len(put.Value)
				}
			}
			return float64(total)
		}),
	}
}

func document(i int) config.VersionedDocument {
	d := config.Document{
		Customer: fleet.CustomerID(fmt.Sprintf("team-%04d", i)), ChangeID: fmt.Sprintf("change-%06d", i),
		Quota: config.Quota{Resources: capacity, RunningTasks: 500, RequestsPerSecond: 100, Weight: 1},
	}
	for s := range 3 {
		d.Services = append(d.Services, config.Service{Name: fmt.Sprintf("service-%d", s), Replicas: 20, Resources: taskSize, DeadlineMS: 2000})
		d.Batch = append(d.Batch, config.BatchKind{Name: fmt.Sprintf("batch-%d", s), Class: fleet.Deferrable, Resources: taskSize, MaxAttempts: 5})
	}
	return config.VersionedDocument{Document: d, Revision: store.Revision(i + 1)}
}

var customerSizes = []int{36, targetCustomers, 3600}

func configLines() []Line {
	fill := func(n int) *config.Machine {
		m := config.New()
		for i := range n {
			m.Step(start, config.DocsReceived{From: "e1", Documents: []config.VersionedDocument{document(i)}})
		}
		return m
	}
	return []Line{
		line("config", "one change from a peer", "µs", "customer", customerSizes, func(n int) float64 {
			m := fill(n)
			return microseconds(500, func(i int) {
				v := document(i % n)
				v.Revision = store.Revision(1_000_000 + i)
				m.Step(start, config.DocsReceived{From: "e1", Documents: []config.VersionedDocument{v}})
			})
		}),
		line("config", "tick", "µs", "customer", customerSizes, func(n int) float64 {
			m, now := fill(n), start
			return microseconds(200, func(int) {
				now = now.Add(config.TickInterval)
				m.Step(now, config.Tick{})
			})
		}),
		line("config", "memory", "MB", "customer", customerSizes, func(n int) float64 {
			return megabytes(func() any { return fill(n) })
		}),
		line("wire", "config_state message", "bytes", "customer", customerSizes, func(n int) float64 {
			revisions := map[fleet.CustomerID]store.Revision{}
			for i := range n {
				revisions[document(i).Document.Customer] = store.Revision(1_000_000 + i)
			}
			return encoded(wire.ConfigState{Revisions: revisions})
		}),
	}
}

func encoded(m wire.Message) float64 {
	data, err := wire.Encode(wire.Envelope{ID: 1, Message: m})
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}
