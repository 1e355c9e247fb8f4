package place

import (
	"math"
	"time"

	"lovagefork.example/coord/fleet"
)

// dimension is one kind of resource.
type dimension int

const (
	cpuSize dimension = iota
	memorySize
	acceleratorSize
	numDimensions
)

const (
	// sizeStep is the part of an error that one report corrects; reports lag and mix several kinds. The first reports of
	// a kind correct more, so that few suffice.
	sizeLearningRate = 0.3
	// minSizeRatio and maxSizeRatio bound the correction; declared sizes are wrong by up to ten times.
	minSizeRatio = 0.1
	maxSizeRatio = 10
	// trustedSizes is the number of reports after which the learned size of a kind is used for new tasks.
	minSizeReports = 3
	// probeTime bounds how long a task without a report keeps others of unknown size away.
	unmeasuredTimeout = time.Minute
	// sizeMargin is the error below which the declared size is kept.
	minSizeCorrection = 1.1
	// memoryHeadroom covers the spread of tasks within a kind; without it a full worker exceeds its memory half of the
	// time, and each excess costs an eviction.
	memoryHeadroom = 1.15
)

// sizes learns how far the declared sizes of each task kind are off.
type sizeModel struct {
	// ratios holds the observed size over the declared size.
	ratios  [][numDimensions]float64
	reports []int
}

func (s *sizeModel) grow(kind kindID) {
	for int(kind) >= len(s.ratios) {
		s.ratios = append(s.ratios, [numDimensions]float64{1, 1, 1})
		s.reports = append(s.reports, 0)
	}
}

func amount(r fleet.Resources, d dimension) int64 {
	switch d {
	case cpuSize:
		return r.MilliCPU
	case memorySize:
		return r.MemoryBytes
	default:
		return r.Accelerators
	}
}

// expect returns the expected use of a task, with its limit on processor time.
func (s *sizeModel) expectedUsage(d dimension, kind kindID, declared fleet.Resources, permille int) float64 {
	e := float64(amount(declared, d)) * s.ratios[kind][d]
	if d == cpuSize {
		e *= float64(permille) / unthrottled
	}
	return e
}

// divide splits the total use of one resource among attempts and corrects the ratios of their kinds.
func (s *sizeModel) divide(d dimension, ran []*reservation, past []endedRun, total int64) []int64 {
	expected := make([]float64, len(ran))
	// A slice, not a map: the order of float additions must repeat.
	declared := make([]float64, len(s.ratios))
	var sum, squares float64
	for i, t := range ran {
		expected[i] = s.expectedUsage(d, t.kind, t.task.Resources, t.throttlePermille)
		sum += expected[i]
		declared[t.kind] += float64(amount(t.task.Resources, d))
	}
	for _, r := range past {
		sum += s.expectedUsage(d, r.kind, r.declared, unthrottled)
		declared[r.kind] += float64(amount(r.declared, d))
	}
	for _, x := range declared {
		squares += x * x
	}
	if squares > 0 && d != acceleratorSize {
		for kind, x := range declared {
			if x == 0 {
				continue
			}
			step := max(sizeLearningRate, 1/float64(1+s.reports[kind]))
			ratio := s.ratios[kind][d] + step*(float64(total)-sum)*x/squares
			s.ratios[kind][d] = min(max(ratio, minSizeRatio), maxSizeRatio)
			if d == cpuSize {
				s.reports[kind]++
			}
		}
	}
	return apportion(expected, sum, total)
}

// apportion divides a total in proportion to the expected parts, or evenly if none is expected.
func apportion(expected []float64, sum float64, total int64) []int64 {
	parts := make([]int64, len(expected))
	for i, e := range expected {
		if sum > 0 {
			parts[i] = int64(math.Ceil(e / sum * float64(total)))
		} else {
			parts[i] = int64(math.Ceil(float64(total) / float64(len(expected))))
		}
	}
	return parts
}

func (s *sizeModel) trusted(kind kindID) bool { return s.reports[kind] >= minSizeReports }

// risky reports whether a less than urgent task of unknown true size would share a worker with another such task while
// both together may exceed its memory, as declared sizes are wrong by up to maxSizeRatio.
func (m *Machine) mayExceedMemory(h *host, t *reservation) bool {
	if !m.useObservedSizes || t.task.Class == fleet.Urgent || m.sizes.trusted(t.kind) {
		return false
	}
	var unknown int64
	for _, o := range h.reservations {
		if !o.measured && !m.sizes.trusted(o.kind) && t.reservedAt.Sub(o.reservedAt) < unmeasuredTimeout {
			unknown += o.task.Resources.MemoryBytes
		}
	}
	worst := (maxSizeRatio-1)*unknown + maxSizeRatio*t.task.Resources.MemoryBytes
	return unknown > 0 && worst > h.free().MemoryBytes
}

// estimate returns the size to reserve for a new task: the declared one, or a larger one learned of its kind.
func (s *sizeModel) estimate(kind kindID, declared fleet.Resources) fleet.Resources {
	if !s.trusted(kind) {
		return declared
	}
	learned := declared
	if r := s.ratios[kind][cpuSize]; r > minSizeCorrection {
		learned.MilliCPU = int64(float64(declared.MilliCPU) * r)
	}
	if r := s.ratios[kind][memorySize]; r > minSizeCorrection {
		learned.MemoryBytes = int64(float64(declared.MemoryBytes) * r * memoryHeadroom)
	}
	return learned
}
