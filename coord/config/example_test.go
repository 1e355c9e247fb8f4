package config_test

import (
	"fmt"
	"time"

	"lovagefork.example/coord/config"
)

func ExampleMachine_Step() {
	now := time.Unix(0, 0)
	m := config.New()
	for _, v := range []config.VersionedDocument{
		{Document: config.Document{Customer: "acme", ChangeID: "second"}, Revision: 2},
		{Document: config.Document{Customer: "acme", ChangeID: "first"}, Revision: 1},
	} {
		m.Step(now, config.DocsReceived{From: "e2", Documents: []config.VersionedDocument{v}})
		fmt.Println(m.Revisions()["acme"])
	}
	// Output:
	// 2
	// 2
}
