package place

import (
	"math"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

const (
	// observedHalfLife is the half-life of the decay of an observed size. The batch tasks of the two user organizations
	// change phase within minutes; with a shorter half-life the memory of a phase would be reserved for other tasks just
	// before the phase recurs.
	observedHalfLife = 5 * time.Minute
	// endedRunTTL is how long an ended run is kept for late reports.
	endedRunTTL = 2 * time.Minute
)

// endedRun is an attempt that has ended. It is kept for late reports that were measured while it ran.
type endedRun struct {
	kind               kindID
	declaredSize       fleet.Resources
	usage              fleet.Resources
	startedAt, endedAt time.Time
}

// report processes a worker's report; it ignores reports that are not newer than the last one.
func (m *Machine) report(now time.Time, ev Report) []Effect {
	h, ok := m.hosts[ev.Worker]
	if !ok {
		return nil
	}
	at := ev.MeasuredAt
	if at.After(now) {
		at = now
	}
	if !at.After(h.measuredAt) {
		return nil
	}
	h.measuredAt = at
	h.dropEndedRuns(at)
	ran := h.runningAt(at)
	ended := h.endedRunsAt(at)
	m.markStarted(now, h, ev.Tasks)
	m.attributeUsage(at, ran, ended, ev.Usage)
	h.resolvePending()
	h.kindLoads = nil
	effects := m.evictOverload(now, h, ev.Usage, ran, ended)
	m.learnSlowdowns(h, ran, ended, ev.Tasks)
	if m.mitigationEnabled {
		effects = append(effects, m.mitigate(now, h)...)
	}
	return effects
}

// markStarted sets the start of each attempt in the task list whose start was not confirmed to now.
//
// The usage in a report is older than its task list, so it may not include these attempts.
func (m *Machine) markStarted(now time.Time, h *host, tasks []plat.TaskStatus) {
	for _, s := range tasks {
		if t, ok := h.byRef[s.TaskRef]; ok && t.startedAt.IsZero() {
			t.startedAt = now
		}
	}
}

// runningAt returns the reservations whose attempts have started before the given time, oldest first.
func (h *host) runningAt(at time.Time) []*reservation {
	ran := make([]*reservation, 0, len(h.reservations))
	for _, t := range h.reservations {
		if !t.startedAt.IsZero() && t.startedAt.Before(at) {
			ran = append(ran, t)
		}
	}
	return ran
}

// endedRunsAt returns the ended runs that were running at the given time.
func (h *host) endedRunsAt(at time.Time) []endedRun {
	var ran []endedRun
	for _, r := range h.endedRuns {
		if r.startedAt.Before(at) && at.Before(r.endedAt) {
			ran = append(ran, r)
		}
	}
	return ran
}

// dropEndedRuns removes the runs that ended at or before the given time.
func (h *host) dropEndedRuns(at time.Time) {
	kept := h.endedRuns[:0]
	for _, r := range h.endedRuns {
		if at.Before(r.endedAt) {
			kept = append(kept, r)
		}
	}
	h.endedRuns = kept
}

// attributeUsage apportions a worker's measured usage to the attempts that ran at the time of measurement.
//
// A worker reports only the sum. It is divided in proportion to the declared sizes, corrected by the learned ratios of
// the task kinds; the ratios are updated from the difference between the expected and the measured sum.
func (m *Machine) attributeUsage(at time.Time, ran []*reservation, ended []endedRun, usage fleet.Resources) {
	if len(ran) == 0 {
		return
	}
	cpu := m.sizes.divide(cpuSize, ran, ended, usage.MilliCPU)
	memory := m.sizes.divide(memorySize, ran, ended, usage.MemoryBytes)
	accelerators := m.sizes.divide(acceleratorSize, ran, ended, usage.Accelerators)
	for i, t := range ran {
		observed := fleet.Resources{MilliCPU: cpu[i], MemoryBytes: memory[i], Accelerators: accelerators[i]}
		t.usage, t.measured = observed, true
		if !m.useObservedSizes {
			continue
		}
		t.observedSize = decay(t.observedSize, at.Sub(t.observedAt)).Max(observed)
		t.observedAt = at
		t.resize(t.task.Resources.Max(t.observedSize))
	}
}

// decay reduces r by half for each observedHalfLife of age.
func decay(r fleet.Resources, age time.Duration) fleet.Resources {
	if age <= 0 {
		return r
	}
	f := math.Exp2(-age.Seconds() / observedHalfLife.Seconds())
	return fleet.Resources{
		MilliCPU:     int64(float64(r.MilliCPU) * f),
		MemoryBytes:  int64(float64(r.MemoryBytes) * f),
		Accelerators: int64(float64(r.Accelerators) * f),
	}
}
