package serve_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/serve"
	"lovagefork.example/coord/wire"
)

// BenchmarkDecisions measures the arrival of a request with all steps that follow from it, at the target size of one
// availability zone: 220 workers, 4 entry hosts, and 60 services with 12 replicas. In the overload case ten times as
// many requests arrive as can run.
func BenchmarkDecisions(b *testing.B) {
	for _, overload := range []bool{false, true} {
		b.Run(fmt.Sprintf("overload=%v", overload), func(b *testing.B) {
			now := time.Unix(0, 0)
			random := rand.New(rand.NewPCG(1, 1))
			var roster []grant.Member
			for i := range 4 {
				roster = append(roster, grant.Member{Host: fleet.EntryHostID(fmt.Sprint("e", i)), Zone: "a"})
			}
			m := serve.New(serve.Config{Self: roster[0], Roster: roster, Random: random}, now)
			var workers []fleet.Worker
			for i := range 220 {
				workers = append(workers, fleet.Worker{
					ID: fleet.WorkerID(fmt.Sprint("w", i)), Zone: "a", State: fleet.HostLive, Slots: 8, Connections: 64,
				})
			}
			m.Step(now, serve.FleetObserved{Workers: workers})
			services := make(map[fleet.ServiceID][]fleet.WorkerID)
			for i := range 60 {
				for range 12 {
					id := fleet.NewServiceID(fleet.CustomerID(fmt.Sprint("c", i/2)), fmt.Sprint(i))
					services[id] = append(services[id], workers[random.IntN(len(workers))].ID)
				}
			}
			m.Step(now, serve.EndpointsObserved{Endpoints: wire.Endpoints{Partition: "a/0", Services: services}})
			m.Step(now, serve.LoadReceived{From: "e1"})
			now = now.Add(6 * time.Second)
			m.Step(now, serve.Tick{})
			var running []serve.Send
			id := uint64(0)
			apply := func(effects []serve.Effect) {
				for _, e := range effects {
					if send, ok := e.(serve.Send); ok {
						running = append(running, send)
					}
				}
			}
			b.ResetTimer()
			for range b.N {
				id++
				service := fleet.NewServiceID(fleet.CustomerID(fmt.Sprint("c", id%60/2)), fmt.Sprint(id%60))
				now = now.Add(20 * time.Microsecond)
				apply(m.Step(now, serve.Arrived{Request: serve.Request{
					ID: id, Service: service, Customer: service.Customer(), Class: fleet.Classes[id%3],
					Deadline: now.Add(time.Second),
				}}))
				if id%250 == 0 {
					apply(m.Step(now, serve.Tick{}))
				}
				if (!overload || id%10 == 0) && len(running) > 50 {
					r := running[0]
					running = running[1:]
					apply(m.Step(now, serve.AttemptEnded{
						ID: r.Request.ID, Attempt: r.Attempt, Status: 200, Latency: time.Millisecond,
					}))
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}
