package slope

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
)

var start = time.Unix(1_000_000, 0)

func placeTask(i int) place.Task {
	return place.Task{
		Ref:  plat.TaskRef{Task: fleet.TaskID(fmt.Sprintf("job-%06d/%d", i/10, i%10)), Attempt: 1},
		Kind: kind(i), Class: fleet.Classes[i%len(fleet.Classes)], Customer: fleet.CustomerID(fmt.Sprintf("team-%03d", i%targetCustomers)),
		Resources: taskSize,
	}
}

// fullPlacer returns a machine with running tasks on n workers, and the tasks by worker.
func fullPlacer(policy place.Policy, n int) (*place.Machine, map[fleet.WorkerID][]plat.TaskStatus) {
	m := place.New(policy)
	running := map[fleet.WorkerID][]plat.TaskStatus{}
	for _, w := range workers(n) {
		m.Step(start, place.WorkerUpdated{Worker: w})
	}
	for i := range n * tasksPerWorker {
		// Spread keeps the preparation short at every size; the policy under test is used for what is measured.
		task := placeTask(i)
		w := fleet.WorkerID(fmt.Sprintf("worker-%05d", i%n))
		before := start.Add(-time.Second)
		m.Step(before, place.ReservationRestored{Task: task, Worker: w})
		m.Step(before, place.Started{TaskRef: task.Ref, Worker: w})
		running[w] = append(running[w], plat.TaskStatus{TaskRef: task.Ref, State: plat.TaskRunning, SlowdownPermille: 1050})
	}
	// Three reports make the sizes of all kinds known, without which tasks of one kind are kept apart.
	for i := range 3 {
		at := start.Add(time.Duration(i+1-3) * time.Millisecond)
		for _, w := range workers(n) {
			m.Step(start, place.Report{Worker: w.ID, MeasuredAt: at, Usage: usage(len(running[w.ID])), Tasks: running[w.ID]})
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
		lines = append(lines, line("place", "start and end, "+p.name, "µs", "worker", workerSizes, func(n int) float64 {
			m, _ := fullPlacer(p.policy, n)
			return microseconds(500, func(i int) {
				task := placeTask(10_000_000 + i)
				d, err := m.Place(start, task)
				if err != nil {
					panic(err)
				}
				m.Step(start, place.Ended{TaskRef: task.Ref, Worker: d.Worker})
			})
		}))
	}
	lines = append(lines, line("place", "report, interference", "µs", "worker", workerSizes, func(n int) float64 {
		m, running := fullPlacer(place.Interference{}, n)
		all := workers(n)
		return microseconds(2000, func(i int) {
			at := start.Add(time.Duration(i+1) * time.Second)
			w := all[i%n].ID
			m.Step(at, place.Report{Worker: w, MeasuredAt: at, Usage: usage(len(running[w])), Tasks: running[w]})
		})
	}))
	lines = append(lines, line("place", "tick", "µs", "worker", workerSizes, func(n int) float64 {
		m, _ := fullPlacer(place.Interference{}, n)
		return microseconds(50, func(i int) { m.Step(start, place.Tick{}) })
	}))
	return append(lines, line("place", "memory", "MB", "worker", workerSizes, func(n int) float64 {
		return megabytes(func() any { m, _ := fullPlacer(place.Interference{}, n); return m })
	}))
}
