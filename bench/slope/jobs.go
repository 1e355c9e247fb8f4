package slope

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
)

// partition drives one jobs machine with a store and workers that answer at once.
type partition struct {
	m       *jobs.Machine
	now     time.Time
	random  *rand.Rand
	running map[fleet.WorkerID][]plat.TaskStatus
	tasks   int
	jobs    int
	spent   time.Duration
	records int
	calls   map[string]int
	queue   []jobs.Event
}

func newPartition(n int) *partition {
	p := &partition{
		m:   jobs.New("zone-00/0", 1, place.New(place.Interference{})),
		now: start, random: rand.New(rand.NewPCG(1, 1)),
		running: map[fleet.WorkerID][]plat.TaskStatus{}, calls: map[string]int{},
	}
	p.m.Recover(start, nil, true, 0)
	p.m.SetPermit(jobs.Permit{Write: true, Renew: true})
	for _, w := range workers(n) {
		p.step(jobs.WorkerListed{Worker: w})
	}
	return p
}

func (p *partition) step(ev jobs.Event) {
	p.queue = append(p.queue, ev)
	for len(p.queue) > 0 {
		next := p.queue[0]
		p.queue = p.queue[1:]
		begin := time.Now()
		effects := p.m.Step(p.now, next)
		p.spent += time.Since(begin)
		for _, e := range effects {
			p.answer(e)
		}
	}
}

func (p *partition) answer(e jobs.Effect) {
	p.calls[fmt.Sprintf("%T", e)]++
	switch e := e.(type) {
	case jobs.Append:
		p.records += len(e.Records)
		p.queue = append(p.queue, jobs.Committed{Records: e.Records})
	case jobs.Start:
		w := e.Worker.ID
		p.running[w] = append(p.running[w], plat.TaskStatus{TaskRef: e.Start.TaskRef, State: plat.TaskRunning, SlowdownPermille: 1050})
		p.tasks++
		p.queue = append(p.queue, jobs.StartDone{Ref: e.Start.TaskRef, Worker: w, Epoch: e.Start.Epoch})
	case jobs.Renew:
		p.queue = append(p.queue, jobs.RenewDone{Worker: e.Worker.ID, Epoch: e.Epoch, Tasks: e.Tasks})
	case jobs.ReadStatus:
		p.queue = append(p.queue, jobs.StatusDone{
			Worker: e.Worker.ID, Epoch: e.Epoch, SentAt: p.now,
			Status: plat.WorkerStatus{Epoch: e.Epoch, Usage: plat.Usage{Resources: usage(len(p.running[e.Worker.ID]))}, Tasks: append([]plat.TaskStatus(nil), p.running[e.Worker.ID]...)},
		})
	case jobs.Ack:
		for _, ref := range e.Tasks {
			p.forget(e.Worker.ID, ref)
		}
	}
}

func (p *partition) forget(w fleet.WorkerID, ref plat.TaskRef) {
	kept := p.running[w][:0]
	for _, s := range p.running[w] {
		if s.TaskRef != ref {
			kept = append(kept, s)
		}
	}
	p.running[w] = kept
}

func (p *partition) submit(tasks int) {
	p.jobs++
	p.step(jobs.Submit{Spec: ledger.Spec{
		Job: fleet.JobID(fmt.Sprintf("job-%06d", p.jobs)), Customer: fleet.CustomerID(fmt.Sprintf("team-%03d", p.jobs%targetCustomers)),
		Class: fleet.Standard, Kind: kind(p.jobs), Tasks: tasks, Resources: taskSize, MaxAttempts: 5,
	}})
}

// finish lets some running tasks succeed at random workers.
func (p *partition) finish(n int, ids []fleet.Worker) {
	for range n {
		list := p.running[ids[p.random.IntN(len(ids))].ID]
		if len(list) == 0 {
			continue
		}
		s := &list[p.random.IntN(len(list))]
		if s.State == plat.TaskRunning {
			s.State = plat.TaskSucceeded
			p.tasks--
		}
	}
}

// second lets one second of virtual time pass at the target's rate of starts.
func (p *partition) second(ids []fleet.Worker, starts float64) {
	p.finish(int(starts), ids)
	for left := int(starts); left > 0; left -= 10 {
		p.submit(min(left, 10))
	}
	for range 20 {
		p.now = p.now.Add(ledger.TickInterval)
		p.step(jobs.Tick{})
	}
}

// loaded fills the partition to the target's tasks for each worker.
func loaded(n int) (*partition, []fleet.Worker) {
	p := newPartition(n)
	for range n * tasksPerWorker / 100 {
		p.submit(100)
	}
	ids := workers(n)
	// The queue of a partition is placed over some seconds; a minute is a bound that is never reached.
	for range 1200 {
		if p.tasks >= n*tasksPerWorker/100*100 {
			break
		}
		p.now = p.now.Add(ledger.TickInterval)
		p.step(jobs.Tick{})
	}
	return p, ids
}

// steady returns the seconds of processor time for each virtual second, in percent of a core.
func steady(n int) (percent, records float64) {
	p, ids := loaded(n)
	return p.steady(ids)
}

func (p *partition) steady(ids []fleet.Worker) (percent, records float64) {
	const seconds = 5
	starts := max(startsPerWorker*float64(len(ids)), 1)
	p.second(ids, starts)
	p.spent, p.records = 0, 0
	for range seconds {
		p.second(ids, starts)
	}
	return 100 * p.spent.Seconds() / seconds, float64(p.records) / seconds
}

// partitionSizes begin at the partition of the target, 55 workers.
var partitionSizes = []int{55, 110, 220}

func jobsLines() []Line {
	records := line("jobs", "ledger records a second at the target's rate of starts", "records/s", "worker", partitionSizes, func(n int) float64 {
		_, records := steady(n)
		return records
	})
	cpu := func(n int) float64 { percent, _ := steady(n); return percent }
	whole := map[int]float64{}
	memory := func(n int) float64 {
		return megabytes(func() any {
			p, ids := loaded(n)
			whole[n], _ = p.steady(ids)
			p.running = nil
			return p.m
		})
	}
	memoryLine := line("jobs and place", "memory, one partition for all", "MB", "worker", workerSizes, memory)
	return []Line{
		line("jobs and place", "steady load of one partition", "% of a core", "worker", partitionSizes, cpu),
		line("jobs and place", "steady load, one partition for all", "% of a core", "worker", workerSizes, func(n int) float64 {
			return whole[n]
		}),
		records,
		line("ledger", "snapshot of one partition, read by a new owner", "bytes", "worker", partitionSizes, func(n int) float64 {
			p, _ := loaded(n)
			total := 0
			for _, r := range p.m.Snapshot(p.now) {
				data, err := ledger.EncodeRecord(r)
				if err != nil {
					panic(err)
				}
				total += len(data)
			}
			return float64(total)
		}),
		memoryLine,
	}
}
