package slope

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
)

var startTime = time.Unix(1_000_000, 0)

func placeTask(i int) place.Task {
	return place.Task{
		Ref:  plat.TaskRef{Task: fleet.TaskID(fmt.Sprintf("job-%06d/%d", i/10, i%10)), Attempt: 1},
		Kind: kindName(i), Class: fleet.Classes[i%len(fleet.Classes)], Customer: fleet.CustomerID(fmt.Sprintf("team-%03d", i%targetCustomers)),
		Resources: taskSize,
	}
}

// newLoadedPlacer returns a placement machine with running tasks on n workers, and the status of the tasks by worker.
func newLoadedPlacer(policy place.Policy, n int) (*place.Machine, map[fleet.WorkerID][]plat.TaskStatus) {
	m := place.New(policy)
	running := map[fleet.WorkerID][]plat.TaskStatus{}
	for _, w := range newWorkers(n) {
		m.Step(startTime, place.WorkerUpdated{Worker: w})
	}
	for i := range n * tasksPerWorker {
		// Restoring the tasks evenly over the workers keeps the preparation short at every size. The policy under test
		// makes only the measured placements.
		task := placeTask(i)
		w := fleet.WorkerID(fmt.Sprintf("worker-%05d", i%n))
		before := startTime.Add(-time.Second)
		m.Step(before, place.ReservationRestored{Task: task, Worker: w})
		m.Step(before, place.Started{TaskRef: task.Ref, Worker: w})
		running[w] = append(running[w], plat.TaskStatus{TaskRef: task.Ref, State: plat.TaskRunning, SlowdownPermille: 1050})
	}
	// Three reports of each worker provide the measured sizes of all kinds. Without them
	// tasks of the same kind are placed on different workers.
	for i := range 3 {
		at := startTime.Add(time.Duration(i+1-3) * time.Millisecond)
		for _, w := range newWorkers(n) {
			m.Step(startTime, place.Report{Worker: w.ID, MeasuredAt: at, Usage: declaredUsage(len(running[w.ID])), Tasks: running[w.ID]})
		}
	}
	return m, running
}

func placeLines() []Line {
	var lines []Line
	for _, p := range []struct {
		name   string
		policy place.Policy
	}{{"first fit", place.FirstFit{}}, {"spread", place.Spread{}}, {"interference", place.Interference{}}} {
		lines = append(lines, measureLine("place", "start and end, "+p.name, "µs", "worker", workerSizes, func(n int) float64 {
			m, _ := newLoadedPlacer(p.policy, n)
			return microseconds(500, func(i int) {
				task := placeTask(10_000_000 + i)
				d, err := m.Place(startTime, task)
				if err != nil {
					panic(err)
				}
				m.Step(startTime, place.Ended{TaskRef: task.Ref, Worker: d.Worker})
			})
		}))
	}
	lines = append(lines, measureLine("place", "report, interference", "µs", "worker", workerSizes, func(n int) float64 {
		m, running := newLoadedPlacer(place.Interference{}, n)
		all := newWorkers(n)
		return microseconds(2000, func(i int) {
			at := startTime.Add(time.Duration(i+1) * time.Second)
			w := all[i%n].ID
			m.Step(at, place.Report{Worker: w, MeasuredAt: at, Usage: declaredUsage(len(running[w])), Tasks: running[w]})
		})
	}))
	lines = append(lines, measureLine("place", "tick", "µs", "worker", workerSizes, func(n int) float64 {
		m, _ := newLoadedPlacer(place.Interference{}, n)
		return microseconds(50, func(i int) { m.Step(startTime, place.Tick{}) })
	}))
	return append(lines, measureLine("place", "memory", "MB", "worker", workerSizes, func(n int) float64 {
		return megabytes(func() any { m, _ := newLoadedPlacer(place.Interference{}, n); return m })
	}))
}
