package place

import (
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// kindID is the index of a task kind.
type kindID int

const (
	// maxKinds limits the table of slowdowns to half a megabyte; further kinds share the last index.
	maxKinds = 256
	// priorSlowdown is the initial slowdown of a pair of kinds. It is above 0 so that pairs that never ran together are
	// spread over workers.
	priorSlowdown = 0.3
	// maxSlowdown is the upper bound of a learned slowdown.
	maxSlowdown = 20
	// learningRate is the fraction of the prediction error that a report corrects once a pair has many samples;
	// initialLearningRate is the fraction for its first samples.
	learningRate        = 0.05
	initialLearningRate = 0.5
	// regularization reduces the corrections from nearly idle workers, whose slowdown is mostly noise.
	regularization = 0.02
)

// classWeights holds the weight of a slowdown by the class of the slowed task.
var classWeights = [...]float64{10, 3, 1}

func weight(c fleet.Class) float64 { return classWeights[min(int(c), len(classWeights)-1)] }

// model learns how much each kind of task slows each other kind, as a linear function of the share of a worker's
// processors that the slowing tasks use.
type model struct {
	kinds map[string]kindID
	// slowdowns holds, by victim and then by cause, the slowdown added by a cause that uses all processors of a worker;
	// samples holds the number of updates of each.
	slowdowns [][]float64
	samples   [][]uint16
}

// kindLoad sums the tasks of one kind on a worker.
type kindLoad struct {
	kind kindID
	// load is the share of the worker's processors that they use.
	load float64
	// weight is the sum of their class weights.
	weight float64
	count  int
	// urgent is set if one of them is urgent; worstSlowdown is the largest measured slowdown of the urgent ones.
	urgent        bool
	worstSlowdown float64
}

func newModel() *model { return &model{kinds: map[string]kindID{}} }

// kind returns the index of a kind and adds it if it is new.
func (md *model) kind(name string) kindID {
	if k, ok := md.kinds[name]; ok {
		return k
	}
	k := kindID(len(md.slowdowns))
	if k == maxKinds {
		return maxKinds - 1
	}
	md.kinds[name] = k
	for v := range md.slowdowns {
		md.slowdowns[v] = append(md.slowdowns[v], priorSlowdown)
		md.samples[v] = append(md.samples[v], 0)
	}
	row := make([]float64, k+1)
	for i := range row {
		row[i] = priorSlowdown
	}
	md.slowdowns = append(md.slowdowns, row)
	md.samples = append(md.samples, make([]uint16, k+1))
	return k
}

// loadByKind returns the load of each kind on a worker in the order of their first reservations.
func (h *host) loadByKind() []kindLoad {
	if h.kindLoads != nil {
		return h.kindLoads
	}
	h.kindLoads = make([]kindLoad, 0, 8)
	for _, t := range h.reservations {
		x := kindLoad{kind: t.kind, load: h.share(t.expectedMilliCPU()), weight: weight(t.task.Class), count: 1}
		if t.task.Class == fleet.Urgent {
			x.urgent, x.worstSlowdown = true, t.slowdown
		}
		h.kindLoads = mergeKindLoad(h.kindLoads, x)
	}
	return h.kindLoads
}

// mergeKindLoad adds x to the entry of its kind, or appends it.
func mergeKindLoad(loads []kindLoad, x kindLoad) []kindLoad {
	for i := range loads {
		if m := &loads[i]; m.kind == x.kind {
			m.load += x.load
			m.weight += x.weight
			m.count += x.count
			m.urgent = m.urgent || x.urgent
			m.worstSlowdown = max(m.worstSlowdown, x.worstSlowdown)
			return loads
		}
	}
	return append(loads, x)
}

// onlyUrgent reports whether all tasks on the worker are urgent.
func (h *host) onlyUrgent() bool {
	for _, t := range h.byRef {
		if t.task.Class != fleet.Urgent {
			return false
		}
	}
	return true
}

// worstSlowdownWith returns the largest expected slowdown of the urgent tasks on a worker if t is added.
//
// It uses the larger of the measured and the predicted slowdown: the measurement lags, and the prediction is inexact.
func (md *model) worstSlowdownWith(h *host, t *reservation) float64 {
	load := h.share(t.size.MilliCPU)
	worst := 1.0
	loads := h.loadByKind()
	for _, victim := range loads {
		if !victim.urgent {
			continue
		}
		row := md.slowdowns[victim.kind]
		predicted := 1 - row[victim.kind]*victim.load/float64(victim.count)
		for _, x := range loads {
			predicted += row[x.kind] * x.load
		}
		worst = max(worst, max(predicted, victim.worstSlowdown)+row[t.kind]*load)
	}
	return worst
}

// share returns processor time as a fraction of the worker's capacity.
func (h *host) share(milliCPU int64) float64 { return share(milliCPU, h.worker.Capacity.MilliCPU) }

// expectedMilliCPU returns the measured processor time of a task, or the reserved one before it is measured.
func (r *reservation) expectedMilliCPU() int64 {
	if r.usage.IsZero() {
		return r.size.MilliCPU
	}
	return r.usage.MilliCPU
}

// cost returns the slowdown, weighted by class, that a task would have and cause on a worker.
func (md *model) cost(h *host, t *reservation) float64 {
	load := h.share(t.size.MilliCPU)
	var suffered, caused float64
	for _, x := range h.loadByKind() {
		suffered += md.slowdowns[t.kind][x.kind] * x.load
		caused += md.slowdowns[x.kind][t.kind] * x.weight
	}
	return weight(t.task.Class)*suffered + load*caused
}

// learnSlowdowns updates the model from the slowdowns in a report. They are attributed to the attempts that ran at the
// time of measurement.
func (m *Machine) learnSlowdowns(h *host, ran []*reservation, ended []endedRun, tasks []plat.TaskStatus) {
	var loads []kindLoad
	for _, t := range ran {
		loads = mergeKindLoad(loads, kindLoad{kind: t.kind, load: h.share(t.usage.MilliCPU)})
	}
	for _, r := range ended {
		loads = mergeKindLoad(loads, kindLoad{kind: r.kind, load: h.share(r.usage.MilliCPU)})
	}
	slowdowns := make(map[plat.TaskRef]int, len(tasks))
	for _, s := range tasks {
		slowdowns[s.TaskRef] = s.SlowdownPermille
	}
	for _, t := range ran {
		permille, ok := slowdowns[t.task.Ref]
		if !ok || permille <= 0 {
			continue
		}
		slowdown := float64(permille) / 1000
		t.slowdown += slowdownSmoothing * (slowdown - t.slowdown)
		// A throttled task is also slowed by its limit.
		if t.throttlePermille == unthrottledPermille {
			m.model.update(t.kind, h.share(t.usage.MilliCPU), loads, slowdown-1)
		}
	}
}

// slowdownSmoothing is the weight of the newest report in the exponential moving average of the slowdown of a task; the
// last two reports together have a weight of 0.75.
const slowdownSmoothing = 0.5

// update corrects the row of a victim towards a measured added slowdown by one step of normalized least mean squares.
// The loads include ownLoad, that of the victim itself.
func (md *model) update(victim kindID, ownLoad float64, loads []kindLoad, added float64) {
	row, samples := md.slowdowns[victim], md.samples[victim]
	squares := regularization
	predicted := 0.0
	for _, x := range loads {
		load := otherLoad(x, victim, ownLoad)
		predicted += row[x.kind] * load
		squares += load * load
	}
	for _, x := range loads {
		load := otherLoad(x, victim, ownLoad)
		if load <= 0 {
			continue
		}
		step := max(learningRate, initialLearningRate/float64(1+int(samples[x.kind])/8))
		row[x.kind] += step * (added - predicted) * load / squares
		row[x.kind] = min(max(row[x.kind], 0), maxSlowdown)
		samples[x.kind] = min(samples[x.kind]+1, 1<<15)
	}
}

// otherLoad returns the load of a kind without the victim's own load.
func otherLoad(x kindLoad, victim kindID, ownLoad float64) float64 {
	if x.kind == victim {
		return max(x.load-ownLoad, 0)
	}
	return x.load
}
