package once_test

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/once"
	"lovagefork.example/coord/store"
)

// A claim must be held for at least 24 h: no claim may use a lease that was asked for more than an hour before.
func TestLeaseIsReplacedHourly(t *testing.T) {
	m := once.New("e", "b")
	start := time.Unix(0, 0)
	granted := make(map[store.LeaseID]time.Time)
	for i := range 400 {
		now := start.Add(time.Duration(i) * time.Minute)
		m.Step(now, once.Claim{ID: uint64(i), Key: once.Key{Request: "r"}, Deadline: now.Add(time.Hour)})
		for j := range 10 {
			now := now.Add(time.Duration(j) * 10 * time.Millisecond)
			for _, e := range m.Step(now, once.Tick{}) {
				switch e := e.(type) {
				case once.GrantLease:
					assert.Assert(t, e.TTL >= 25*time.Hour)
					if i > 100 && i < 200 {
						m.Step(now, once.GrantLeaseEnded{Err: &store.NotSentError{Op: "grant"}})
						continue
					}
					id := store.LeaseID(len(granted) + 1)
					granted[id] = now
					m.Step(now, once.GrantLeaseEnded{Lease: id})
				case once.RunTxn:
					for _, op := range e.Txn.Then {
						if put, ok := op.(store.Put); ok {
							assert.Assert(t, now.Sub(granted[put.Lease]) <= time.Hour, "lease of %v at %v", granted[put.Lease], now)
						}
					}
					m.Step(now, once.TxnEnded{Txn: e.ID, Result: store.TxnResult{Committed: true}})
					m.Step(now, once.Finished{ID: uint64(i), NotRun: true})
				}
			}
		}
	}
	assert.Assert(t, len(granted) >= 5 && len(granted) <= 8, "%d leases in 400 minutes", len(granted))
}

// Claims that each try on their own would spend the store budget of the process on an outage, and the keepalives with it.
func TestOutageIsProbed(t *testing.T) {
	m := once.New("e", "b")
	start := time.Unix(0, 0)
	sent, id := 0, uint64(0)
	var granted int
	step := func(now time.Time, down bool) {
		id++
		m.Step(now, once.Claim{ID: id, Key: once.Key{Request: fleet.RequestID(strconv.FormatUint(id, 10))}, Deadline: now.Add(time.Second)})
		for _, e := range m.Step(now, once.Tick{}) {
			if _, ok := e.(once.GrantLease); ok {
				m.Step(now, once.GrantLeaseEnded{Lease: 1})
			}
			run, ok := e.(once.RunTxn)
			if !ok {
				continue
			}
			sent++
			ended := once.TxnEnded{Txn: run.ID, Result: store.TxnResult{Committed: true}}
			if down {
				ended = once.TxnEnded{Txn: run.ID, Err: &store.OutcomeUnknownError{Op: "txn"}}
			}
			for _, e := range m.Step(now, ended) {
				if _, ok := e.(once.ClaimGranted); ok {
					granted++
				}
			}
		}
	}
	for i := range 1000 {
		step(start.Add(time.Duration(i)*10*time.Millisecond), true)
	}
	assert.Assert(t, sent <= 25, "%d transactions in an outage of 10 s", sent)
	for i := range 200 {
		step(start.Add(10*time.Second+time.Duration(i)*10*time.Millisecond), false)
	}
	assert.Assert(t, granted > 100, "%d claims granted in 2 s after the outage", granted)
}

// A value from outside must be decoded or reported, never stop the process.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"entry_host":"e","boot_id":"b","serial":1,"outcome":"ran","status":200}`))
	f.Add([]byte(`{"serial":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := once.DecodeRecord(data)
		var recordErr *once.RecordError
		assert.Assert(t, err == nil || errors.As(err, &recordErr))
	})
}
