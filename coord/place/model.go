package place

import (
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// kindID is the index of a task kind.
type kindID int

const (
	// maxKinds bounds the pair table to half a megabyte; further kinds share the last index.
	maxKinds = 256
	// priorSlowdown is assumed of a pair never seen together, so that unknown pairs are spread rather than stacked.
	priorSlowdown = 0.3
	// maxSlowdown bounds what one full worker of a kind can be learned to add.
	maxSlowdown = 20
	// learnStep is the part of an error that a report corrects once a pair is well known, firstStep at its start.
	learningRate = 0.05
	initialLearningRate = 0.5
	// learnFloor keeps nearly idle workers, whose slowdown is mostly noise, from moving the table.
	regularization = 0.02
)

// classWeights is how much a slowdown of each class counts, urgent first.
var classWeights = [...]float64{10, 3, 1}

func weight(c fleet.Class) float64 { return classWeights[min(int(c), len(classWeights)-1)] }

// model learns how much each kind of task slows each other kind, per share of a worker's processors that it uses.
type model struct {
	kinds map[string]kindID
	// pairs holds, by victim and then by cause, the slowdown added by a cause that uses a whole worker.
	slowdowns [][]float64
	samples  [][]uint16
}

// mixed sums up the tasks of one kind on a worker.
type kindLoad struct {
	kind kindID
	// load is the share of the worker's processors that they use.
	load float64
	// weight is the sum of their class weights.
	weight float64
	count  int
	// urgent is set if one of them is urgent; worst is the largest slowdown measured of an urgent one.
	urgent bool
	worstSlowdown  float64
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

// mixOf returns the kinds on a worker in the order of their first task; it is computed again after each change.
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

func mergeKindLoad(mix []kindLoad, x kindLoad) []kindLoad {
	for i := range mix {
		if m := &mix[i]; m.kind == x.kind {
			m.load += x.load
			m.weight += x.weight
			m.count += x.count
			m.urgent = m.urgent || x.urgent
			m.worstSlowdown = max(m.worstSlowdown, x.worstSlowdown)
			return mix
		}
	}
	return append(mix, x)
}

// onlyUrgent reports whether no task on the worker is less than urgent.
func (h *host) onlyUrgent() bool {
	for _, t := range h.byRef {
		if t.task.Class != fleet.Urgent {
			return false
		}
	}
	return true
}

// worstWith returns the slowdown of the urgent task on a worker that would be slowed most if another were added.
//
// The larger of the measured and the predicted slowdown counts: the former lags, the latter errs.
func (md *model) worstSlowdownWith(h *host, t *reservation) float64 {
	load := h.share(t.size.MilliCPU)
	worst := 1.0
	mix := h.loadByKind()
	for _, victim := range mix {
		if !victim.urgent {
			continue
		}
		row := md.slowdowns[victim.kind]
		predicted := 1 - row[victim.kind]*victim.load/float64(victim.count)
		for _, x := range mix {
			predicted += row[x.kind] * x.load
		}
		worst = max(worst, max(predicted, victim.worstSlowdown)+row[t.kind]*load)
	}
	return worst
}

// share returns processor time as a part of the worker's.
func (h *host) share(milliCPU int64) float64 { return share(milliCPU, h.worker.Capacity.MilliCPU) }

// expectedLoad returns the measured processor time of a task, or the reserved one before it is measured.
func (t *reservation) expectedMilliCPU() int64 {
	if t.usage.IsZero() {
		return t.size.MilliCPU
	}
	return t.usage.MilliCPU
}

// cost returns the weighted slowdown that a task would suffer and cause on a worker.
func (md *model) cost(h *host, t *reservation) float64 {
	load := h.share(t.size.MilliCPU)
	var suffered, caused float64
	for _, x := range h.loadByKind() {
		suffered += md.slowdowns[t.kind][x.kind] * x.load
		caused += md.slowdowns[x.kind][t.kind] * x.weight
	}
	return weight(t.task.Class)*suffered + load*caused
}

// learn corrects the table from the slowdowns in a report, attributed to what ran when it was measured.
func (m *Machine) learnSlowdowns(h *host, ran []*reservation, past []endedRun, tasks []plat.TaskStatus) {
	var mix []kindLoad
	for _, t := range ran {
		mix = mergeKindLoad(mix, kindLoad{kind: t.kind, load: h.share(t.usage.MilliCPU)})
	}
	for _, r := range past {
		mix = mergeKindLoad(mix, kindLoad{kind: r.kind, load: h.share(r.usage.MilliCPU)})
	}
	inReport := make(map[plat.TaskRef]int, len(tasks))
	for _, s := range tasks {
		inReport[s.TaskRef] = s.SlowdownPermille
	}
	for _, t := range ran {
		permille, ok := inReport[t.task.Ref]
		if !ok || permille <= 0 {
			continue
		}
		slowdown := float64(permille) / 1000
		t.slowdown += slowdownSmoothing * (slowdown - t.slowdown)
		// The slowdown of a throttled task is of our own making.
		if t.throttlePermille == unthrottled {
			m.model.update(t.kind, h.share(t.usage.MilliCPU), mix, slowdown-1)
		}
	}
}

// slowdownStep smooths the slowdown of a single task; two reports in a row make up three quarters of it.
const slowdownSmoothing = 0.5

// correct moves the row of a victim towards an added slowdown that was seen in a mix, which includes its own load.
func (md *model) update(victim kindID, own float64, mix []kindLoad, added float64) {
	row, seen := md.slowdowns[victim], md.samples[victim]
	squares := regularization
	predicted := 0.0
	for _, x := range mix {
		load := otherLoad(x, victim, own)
		predicted += row[x.kind] * load
		squares += load * load
	}
	for _, x := range mix {
		load := otherLoad(x, victim, own)
		if load <= 0 {
			continue
		}
		step := max(learningRate, initialLearningRate/float64(1+int(seen[x.kind])/8))
		row[x.kind] += step * (added - predicted) * load / squares
		row[x.kind] = min(max(row[x.kind], 0), maxSlowdown)
		seen[x.kind] = min(seen[x.kind]+1, 1<<15)
	}
}

// otherLoad is the load of a kind without the victim's own.
func otherLoad(x kindLoad, victim kindID, own float64) float64 {
	if x.kind == victim {
		return max(x.load-own, 0)
	}
	return x.load
}
