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

// partition drives one jobs.Machine with a simulated store and workers that respond immediately.
type partition struct {
	m                *jobs.Machine
	now              time.Time
	rng              *rand.Rand
	statusesByWorker map[fleet.WorkerID][]plat.TaskStatus
	runningCount     int
	submittedJobs    int
	stepTime         time.Duration
	records          int
	effectCounts     map[string]int
	events           []jobs.Event
}

func newPartition(n int) *partition {
	p := &partition{
		m:   jobs.New("zone-00/0", 1, place.New(place.Interference{})),
		now: startTime, rng: rand.New(rand.NewPCG(1, 1)),
		statusesByWorker: map[fleet.WorkerID][]plat.TaskStatus{}, effectCounts: map[string]int{},
	}
	p.m.Recover(startTime, nil, true, 0)
	p.m.SetPermit(jobs.Permit{Write: true, Renew: true})
	for _, w := range newWorkers(n) {
		p.step(jobs.WorkerListed{Worker: w})
	}
	return p
}

func (p *partition) step(ev jobs.Event) {
	p.events = append(p.events, ev)
	for len(p.events) > 0 {
		next := p.events[0]
		p.events = p.events[1:]
		began := time.Now()
		effects := p.m.Step(p.now, next)
		p.stepTime += time.Since(began)
		for _, e := range effects {
			p.handleEffect(e)
		}
	}
}

func (p *partition) handleEffect(e jobs.Effect) {
	p.effectCounts[fmt.Sprintf("%T", e)]++
	switch e := e.(type) {
	case jobs.Append:
		p.records += len(e.Records)
		p.events = append(p.events, jobs.Committed{Records: e.Records})
	case jobs.Start:
		w := e.Worker.ID
		p.statusesByWorker[w] = append(p.statusesByWorker[w], plat.TaskStatus{TaskRef: e.Start.TaskRef, State: plat.TaskRunning, SlowdownPermille: 1050})
		p.runningCount++
		p.events = append(p.events, jobs.StartDone{Ref: e.Start.TaskRef, Worker: w, Epoch: e.Start.Epoch})
	case jobs.Renew:
		p.events = append(p.events, jobs.RenewDone{Worker: e.Worker.ID, Epoch: e.Epoch, Tasks: e.Tasks})
	case jobs.ReadStatus:
		p.events = append(p.events, jobs.StatusDone{
			Worker: e.Worker.ID, Epoch: e.Epoch, SentAt: p.now,
			Status: plat.WorkerStatus{Epoch: e.Epoch, Usage: plat.Usage{Resources: declaredUsage(len(p.statusesByWorker[e.Worker.ID]))}, Tasks: append([]plat.TaskStatus(nil), p.statusesByWorker[e.Worker.ID]...)},
		})
	case jobs.Ack:
		for _, ref := range e.Tasks {
			p.removeTask(e.Worker.ID, ref)
		}
	}
}

func (p *partition) removeTask(w fleet.WorkerID, ref plat.TaskRef) {
	kept := p.statusesByWorker[w][:0]
	for _, s := range p.statusesByWorker[w] {
		if s.TaskRef != ref {
			kept = append(kept, s)
		}
	}
	p.statusesByWorker[w] = kept
}

func (p *partition) submit(tasks int) {
	p.submittedJobs++
	p.step(jobs.Submit{Spec: ledger.Spec{
		Job: fleet.JobID(fmt.Sprintf("job-%06d", p.submittedJobs)), Customer: fleet.CustomerID(fmt.Sprintf("team-%03d", p.submittedJobs%targetCustomers)),
		Class: fleet.Standard, Kind: kindName(p.submittedJobs), Tasks: tasks, Resources: taskSize, MaxAttempts: 5,
	}})
}

// finishTasks marks up to n running tasks on random workers as succeeded.
func (p *partition) finishTasks(n int, workers []fleet.Worker) {
	for range n {
		list := p.statusesByWorker[workers[p.rng.IntN(len(workers))].ID]
		if len(list) == 0 {
			continue
		}
		s := &list[p.rng.IntN(len(list))]
		if s.State == plat.TaskRunning {
			s.State = plat.TaskSucceeded
			p.runningCount--
		}
	}
}

// runSecond advances the virtual time by one second, with the given number of tasks finished and submitted.
func (p *partition) runSecond(workers []fleet.Worker, starts float64) {
	p.finishTasks(int(starts), workers)
	for left := int(starts); left > 0; left -= 10 {
		p.submit(min(left, 10))
	}
	for range 20 {
		p.now = p.now.Add(ledger.TickInterval)
		p.step(jobs.Tick{})
	}
}

// newLoadedPartition returns a partition of n workers that runs the target number of tasks per worker.
func newLoadedPartition(n int) (*partition, []fleet.Worker) {
	p := newPartition(n)
	for range n * tasksPerWorker / 100 {
		p.submit(100)
	}
	workers := newWorkers(n)
	// Placing the queue of a partition takes a few seconds of virtual time. The limit of 1200 ticks, one minute, is not
	// reached.
	for range 1200 {
		if p.runningCount >= n*tasksPerWorker/100*100 {
			break
		}
		p.now = p.now.Add(ledger.TickInterval)
		p.step(jobs.Tick{})
	}
	return p, workers
}

// steadyLoad returns the processor time in percent of a core and the ledger records per second of a loaded partition at
// the target rate of starts.
func steadyLoad(n int) (percent, records float64) {
	p, workers := newLoadedPartition(n)
	return p.measureSteadyLoad(workers)
}

func (p *partition) measureSteadyLoad(workers []fleet.Worker) (percent, records float64) {
	const seconds = 5
	starts := max(startsPerWorker*float64(len(workers)), 1)
	p.runSecond(workers, starts)
	p.stepTime, p.records = 0, 0
	for range seconds {
		p.runSecond(workers, starts)
	}
	return 100 * p.stepTime.Seconds() / seconds, float64(p.records) / seconds
}

// partitionSizes are numbers of workers in a partition. The target deployment has 55.
var partitionSizes = []int{55, 110, 220}

func jobsLines() []Line {
	records := measureLine("jobs", "ledger records a second at the target's rate of starts", "records/s", "worker", partitionSizes, func(n int) float64 {
		_, records := steadyLoad(n)
		return records
	})
	cpu := func(n int) float64 { percent, _ := steadyLoad(n); return percent }
	singlePartition := map[int]float64{}
	memory := func(n int) float64 {
		return megabytes(func() any {
			p, workers := newLoadedPartition(n)
			singlePartition[n], _ = p.measureSteadyLoad(workers)
			p.statusesByWorker = nil
			return p.m
		})
	}
	memoryLine := measureLine("jobs and place", "memory, one partition for all", "MB", "worker", workerSizes, memory)
	return []Line{
		measureLine("jobs and place", "steady load of one partition", "% of a core", "worker", partitionSizes, cpu),
		measureLine("jobs and place", "steady load, one partition for all", "% of a core", "worker", workerSizes, func(n int) float64 {
			return singlePartition[n]
		}),
		records,
		measureLine("ledger", "snapshot of one partition, read by a new owner", "bytes", "worker", partitionSizes, func(n int) float64 {
			p, _ := newLoadedPartition(n)
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
