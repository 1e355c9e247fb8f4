package config_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

// Target scale: the number of customers, with ten services and kinds of batch work each, and of entry processes.
const (
	targetCustomers = 360
	targetProcesses = 32
)

func customerDocument(i int) (config.Document, json.RawMessage) {
	d := config.Document{Customer: fleet.CustomerID(fmt.Sprintf("team-%03d", i)), ChangeID: "000000000000000000000000"}
	size := fleet.Resources{MilliCPU: 2000, MemoryBytes: 4 << 30}
	for j := range 5 {
		d.Services = append(d.Services, config.Service{Name: fmt.Sprintf("service-%d", j), Replicas: 12, Resources: size, DeadlineMS: 800})
		d.Batch = append(d.Batch, config.BatchKind{Name: fmt.Sprintf("batch-%d", j), Resources: size, MaxAttempts: 5})
	}
	// The answers have about the same size as the document.
	answers, _ := json.Marshal(d)
	return d, answers
}

// newLoadedMachine returns a machine with the documents of all customers, linked to all other processes, which have the
// same documents. It also returns the machine's checksum.
func newLoadedMachine(now time.Time) (*config.Machine, uint64) {
	m := config.New()
	var documents []config.VersionedDocument
	for i := range targetCustomers {
		d, answers := customerDocument(i)
		documents = append(documents, config.VersionedDocument{Document: d, Revision: store.Revision(i + 1), Sequence: 200, Answers: answers})
	}
	m.Step(now, config.DocsReceived{From: "p00", Documents: documents})
	var checksum uint64
	for i := range targetProcesses - 1 {
		peer := fleet.EntryHostID(fmt.Sprintf("p%02d", i))
		for _, e := range m.Step(now, config.PeerUp{Peer: peer}) {
			if s, ok := e.(config.SendState); ok {
				checksum = s.State.Checksum
			}
		}
		m.Step(now, config.StateReceived{From: peer, State: config.State{Checksum: checksum}})
	}
	return m, checksum
}

// BenchmarkChange measures one accepted change at the accepting process, including the size of its messages.
func BenchmarkChange(b *testing.B) {
	now := time.Now()
	m, _ := newLoadedMachine(now)
	revision := store.Revision(targetCustomers)
	calls, sent, written := 0, 0, 0
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		d, answers := customerDocument(n % targetCustomers)
		inEffect, _ := m.Customer(d.Customer)
		d.ChangeID = fmt.Sprint(n)
		c := config.Change{Customer: d.Customer, BaseRevision: inEffect.Revision, ID: d.ChangeID, Answers: answers, Document: d}
		revision++
		token := uint64(n + 1)
		for _, e := range m.Step(now, config.Propose{Token: token, Change: c}) {
			if txn, ok := e.(config.RunTxn); ok {
				calls++
				written += putBytes(txn.Txn)
			}
		}
		done := config.TxnDone{Token: token, Result: store.TxnResult{Committed: true, Revision: revision}}
		for _, e := range m.Step(now, done) {
			if docs, ok := e.(config.SendDocs); ok && n == 0 {
				data, _ := wire.Encode(wire.Envelope{Message: wire.ConfigDoc{Documents: docs.Documents}})
				sent += len(data)
			}
		}
	}
	b.ReportMetric(float64(calls)/float64(b.N), "txns/change")
	b.ReportMetric(float64(written)/float64(b.N), "stored_bytes/change")
	b.ReportMetric(float64(sent), "sent_bytes/change")
}

func putBytes(t store.Txn) int {
	n := 0
	for _, op := range t.Then {
		if p, ok := op.(store.Put); ok {
			n += len(p.Value)
		}
	}
	return n
}

// BenchmarkIdleSecond measures one second without changes: four ticks, and one checksum from each other process.
func BenchmarkIdleSecond(b *testing.B) {
	now := time.Now()
	m, checksum := newLoadedMachine(now)
	sent := 0
	b.ReportAllocs()
	for b.Loop() {
		for range 4 {
			now = now.Add(config.TickInterval)
			for _, e := range m.Step(now, config.Tick{}) {
				if s, ok := e.(config.SendState); ok {
					data, _ := wire.Encode(wire.Envelope{Message: wire.ConfigState(s.State)})
					sent += len(data)
				}
			}
		}
		for i := range targetProcesses - 1 {
			m.Step(now, config.StateReceived{From: fleet.EntryHostID(fmt.Sprintf("p%02d", i)), State: config.State{Checksum: checksum}})
		}
	}
	b.ReportMetric(float64(sent)/float64(b.N), "sent_bytes/s")
}

// BenchmarkMemory reports the heap size of the documents at the target scale, including their answers.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var m *config.Machine
	for b.Loop() {
		m, _ = newLoadedMachine(time.Now())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap_bytes")
	runtime.KeepAlive(m)
}
