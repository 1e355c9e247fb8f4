package slope

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/member"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/serve"
	"lovagefork.example/coord/wire"
)

// roster returns two entry hosts in each of 16 availability zones.
func roster() []grant.Member {
	all := make([]grant.Member, 32)
	for i := range all {
		all[i] = grant.Member{Host: fleet.EntryHostID(fmt.Sprintf("entry-%02d", i)), Zone: fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", i%16))}
	}
	return all
}

// newServe returns a machine with n workers and a service with replicas on some of them, and a time at which the
// start-up delay of its own share of slots has passed.
func newServe(n, replicas int) (*serve.Machine, time.Time) {
	m := serve.New(serve.Config{Self: roster()[0], Boot: "1", Roster: roster(), Random: rand.New(rand.NewPCG(1, 1))}, startTime)
	m.Step(startTime, serve.FleetObserved{Workers: newWorkers(n)})
	m.Step(startTime, serve.EndpointsObserved{Endpoints: endpoints(replicas)})
	return m, startTime.Add(10 * time.Second)
}

// endpoints returns the endpoints of a service with a replica on every 16th worker, all in the zone of the first entry
// host.
func endpoints(replicas int) wire.Endpoints {
	e := wire.Endpoints{Partition: "zone-00/0", Epoch: 1, Sequence: 1, Services: map[fleet.ServiceID][]fleet.WorkerID{}}
	for i := range replicas {
		e.Services["team/quote"] = append(e.Services["team/quote"], fleet.WorkerID(fmt.Sprintf("worker-%05d", 16*i)))
	}
	return e
}

func runRequest(m *serve.Machine, now time.Time, id uint64) {
	effects := m.Step(now, serve.Arrived{Request: serve.Request{
		ID: id, Service: "team/quote", Customer: "team", Class: fleet.Urgent, Deadline: now.Add(2 * time.Second),
	}})
	for _, e := range effects {
		if send, ok := e.(serve.Send); ok {
			m.Step(now, serve.AttemptEnded{ID: id, Attempt: send.Attempt, Result: serve.ResultCompleted, Status: 200, Latency: 50 * time.Millisecond})
			return
		}
	}
	panic("request was not sent")
}

var replicaSizes = []int{10, 50, 200}

func serveLines() []Line {
	return []Line{
		measureLine("serve", "one request", "µs", "replica of its service", replicaSizes, func(n int) float64 {
			m, now := newServe(targetWorkers, n)
			return microseconds(2000, func(i int) { runRequest(m, now, uint64(i+1)) })
		}),
		measureLine("serve", "tick", "µs", "worker", workerSizes, func(n int) float64 {
			m, now := newServe(n, 5)
			return microseconds(50, func(i int) { m.Step(now.Add(time.Duration(i)*50*time.Millisecond), serve.Tick{}) })
		}),
		measureLine("serve", "new host list", "µs", "worker", workerSizes, func(n int) float64 {
			m, now := newServe(n, 5)
			all := newWorkers(n)
			return microseconds(5, func(int) { m.Step(now, serve.FleetObserved{Workers: all}) })
		}),
		measureLine("serve", "memory", "MB", "worker", workerSizes, func(n int) float64 {
			return megabytes(func() any { m, _ := newServe(n, 5); return m })
		}),
		measureLine("admit", "push and next", "µs", "waiting request", []int{100, 1000, 4000}, func(n int) float64 {
			return admitTime(n)
		}),
		measureLine("member", "host list", "µs", "worker", workerSizes, func(n int) float64 {
			m := member.New()
			return microseconds(5, func(i int) {
				at := startTime.Add(time.Duration(i+1) * time.Second)
				m.Step(at, member.HostsListed{List: plat.HostList{Hosts: newWorkers(n)}, SentAt: at})
			})
		}),
		measureLine("wire", "load message, 5 times a second to a peer whose requests wait", "bytes", "worker of its services with free slots", []int{10, 50, 200}, func(n int) float64 {
			freeSlots := map[fleet.WorkerID]int{}
			for _, w := range newWorkers(n) {
				freeSlots[w.ID] = 4
			}
			return encodedSize(wire.LoadReport{IncludesFreeSlots: true, FreeSlots: freeSlots})
		}),
		measureLine("wire", "usage message, of what changed in a partition", "bytes", "customer", []int{10, 100, 360}, func(n int) float64 {
			changed := map[fleet.CustomerID]wire.CustomerUsage{}
			for i := range n {
				used := fleet.Resources{MilliCPU: 64_000, MemoryBytes: 256 << 30}
				changed[fleet.CustomerID(fmt.Sprintf("team-%03d", i))] = wire.CustomerUsage{
					Tasks: 20, Resources: used, LimitTasks: 25, LimitResources: used, RequestedTasks: 5, RequestedResources: used, GrantSequence: 1000,
				}
			}
			return encodedSize(wire.Usage{Partition: "region-1-a/0", Epoch: 7, Sequence: 1000, Customers: changed})
		}),
		measureLine("wire", "endpoints message", "bytes", "replica", []int{100, 1000, 23000 / targetPartitions * 8}, func(n int) float64 {
			return encodedSize(endpoints(n))
		}),
	}
}

// admitTime returns the time in microseconds to add and take one item with n waiting items of 100 customers.
func admitTime(n int) float64 {
	m := admit.New()
	push := func(i int) {
		item := admit.Item{
			ID: uint64(i + 1), Class: fleet.Classes[i%3], Customer: fleet.CustomerID(fmt.Sprintf("team-%03d", i%100)),
			Flow: admit.Flow{Service: "team/quote"}, Deadline: startTime.Add(time.Hour), Cost: time.Millisecond,
		}
		m.Step(startTime, admit.Push{Item: item})
	}
	for i := range n {
		push(i)
	}
	return microseconds(1000, func(i int) {
		push(n + i)
		m.Next(startTime, func(admit.Item) bool { return true })
	})
}
