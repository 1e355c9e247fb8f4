package ledger_test

import (
	"fmt"
	"time"

	"lovagefork.example/coord/ledger"
)

func ExampleMachine_Step() {
	now := time.Unix(0, 0)
	m := ledger.New()
	m.Step(now, ledger.Open{Partition: "a/0", Epoch: 1, OwnerKey: "partitions/a/0/owner", OwnerValue: []byte("e1")})
	for _, record := range []ledger.Record{ledger.JobCancelled{Job: "j1"}, ledger.JobCancelled{Job: "j2"}} {
		m.Step(now, ledger.Append{Partition: "a/0", Records: []ledger.Record{record}})
	}
	for _, effect := range m.Step(now, ledger.Tick{}) {
		if commit, ok := effect.(ledger.Commit); ok {
			fmt.Println(commit.Records, "records in one transaction")
		}
	}
	// Output: 2 records in one transaction
}
