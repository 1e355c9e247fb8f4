package once_test

import (
	"fmt"
	"time"

	"lovagefork.example/coord/once"
	"lovagefork.example/coord/store"
)

func ExampleMachine_Step() {
	now := time.Unix(0, 0)
	m := once.New("e1", "boot-1")
	m.Step(now, once.Claim{ID: 1, Key: once.Key{Customer: "acme", Request: "invoice-7"}, Deadline: now.Add(time.Second)})
	for range 10 {
		now = now.Add(10 * time.Millisecond)
		for _, effect := range m.Step(now, once.Tick{}) {
			switch effect := effect.(type) {
			case once.GrantLease:
				m.Step(now, once.GrantLeaseEnded{Lease: 1})
			case once.RunTxn:
				result := m.Step(now, once.TxnEnded{Txn: effect.ID, Result: store.TxnResult{Committed: true}})
				fmt.Printf("%T\n", result[0])
			}
		}
	}
	// Output: once.Granted
}
