package place

import (
	"math"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

const (
	// observedHalfLife is how fast an observed size decays without being seen again. Batch tasks of the two firms
	// change phase within minutes; a shorter time would give a phase's memory away just before it returns.
	observedHalfLife = 5 * time.Minute
	// runTTL is how long an ended run can still be part of a late report.
	endedRunTTL = 2 * time.Minute
)

// run is an attempt that has ended, kept for reports that were measured while it ran.
type endedRun struct {
	kind     kindID
	declared fleet.Resources
	usage     fleet.Resources
	startedAt, endedAt time.Time
}

// report takes in a worker's report unless a newer one has been seen.
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
	past := h.endedRunsAt(at)
	m.markStarted(now, h, ev.Tasks)
	m.attributeUsage(at, ran, past, ev.Usage)
	h.resolvePending()
	h.kindLoads = nil
	effects := m.evictOverload(now, h, ev.Usage, ran, past)
	m.learnSlowdowns(h, ran, past, ev.Tasks)
	if m.mitigationEnabled {
		effects = append(effects, m.mitigate(now, h)...)
	}
	return effects
}

// noteStarts takes a listed attempt as started from now on, if its start was never confirmed.
//
// The usage in the same report is older than the list of tasks, so that it need not include the attempt.
func (m *Machine) markStarted(now time.Time, h *host, tasks []plat.TaskStatus) {
	for _, s := range tasks {
		if t, ok := h.byRef[s.TaskRef]; ok && t.startedAt.IsZero() {
			t.startedAt = now
		}
	}
}

// ranAt returns the reservations whose attempts ran at a time, oldest first.
func (h *host) runningAt(at time.Time) []*reservation {
	ran := make([]*reservation, 0, len(h.reservations))
	for _, t := range h.reservations {
		if !t.startedAt.IsZero() && t.startedAt.Before(at) {
			ran = append(ran, t)
		}
	}
	return ran
}

// pastAt returns the ended runs that ran at a time.
func (h *host) endedRunsAt(at time.Time) []endedRun {
	var ran []endedRun
	for _, r := range h.endedRuns {
		if r.startedAt.Before(at) && at.Before(r.endedAt) {
			ran = append(ran, r)
		}
	}
	return ran
}

// forgetRuns drops ended runs that no later report can include.
func (h *host) dropEndedRuns(at time.Time) {
	kept := h.endedRuns[:0]
	for _, r := range h.endedRuns {
		if at.Before(r.endedAt) {
			kept = append(kept, r)
		}
	}
	h.endedRuns = kept
}

// attribute divides a worker's measured usage among the attempts that ran when it was measured.
//
// A worker reports only the sum. Each attempt gets the part that its declared size, corrected by what is known of its
// kind, has of the whole; the correction is learned from how far the whole was off.
func (m *Machine) attributeUsage(at time.Time, ran []*reservation, past []endedRun, usage fleet.Resources) {
	if len(ran) == 0 {
		return
	}
	cpu := m.sizes.divide(cpuSize, ran, past, usage.MilliCPU)
	memory := m.sizes.divide(memorySize, ran, past, usage.MemoryBytes)
	accelerators := m.sizes.divide(acceleratorSize, ran, past, usage.Accelerators)
	for i, t := range ran {
		seen := fleet.Resources{MilliCPU: cpu[i], MemoryBytes: memory[i], Accelerators: accelerators[i]}
		t.usage, t.measured = seen, true
		if !m.useObservedSizes {
			continue
		}
		t.observed = decay(t.observed, at.Sub(t.observedAt)).Max(seen)
		t.observedAt = at
		t.resize(t.task.Resources.Max(t.observed))
	}
}

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
