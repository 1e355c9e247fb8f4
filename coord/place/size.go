package place

import (
	"math"
	"time"

	"lovagefork.example/coord/fleet"
)

// dimension is an index of a resource.
type dimension int

const (
	cpuSize dimension = iota
	memorySize
	acceleratorSize
	numDimensions
)

const (
	// sizeLearningRate is the fraction of the error that one report corrects. It is below 1 since reports lag and cover
	// several kinds. The first reports of a kind use a higher rate, so that few reports suffice.
	sizeLearningRate = 0.3
	// minSizeRatio and maxSizeRatio limit the ratio of observed to declared size; declared sizes are wrong by a factor of
	// up to ten.
	minSizeRatio = 0.1
	maxSizeRatio = 10
	// minSizeReports is the number of reports after which the learned size of a kind is used for new tasks.
	minSizeReports = 3
	// unmeasuredTimeout limits how long a task without a report excludes other tasks of unknown size from its worker.
	unmeasuredTimeout = time.Minute
	// minSizeCorrection is the ratio of observed to declared size up to which the declared size is used.
	minSizeCorrection = 1.1
	// memoryHeadroom covers the variance between tasks of a kind. Without it a full worker exceeds its memory half of the
	// time, and each excess causes an eviction.
	memoryHeadroom = 1.15
)

// sizeModel learns the ratio of observed to declared size for each task kind.
type sizeModel struct {
	// ratios holds the learned ratio by kind and dimension; reports holds the number of reports by kind.
	ratios  [][numDimensions]float64
	reports []int
}

// grow adds entries up to the given kind.
func (s *sizeModel) grow(kind kindID) {
	for int(kind) >= len(s.ratios) {
		s.ratios = append(s.ratios, [numDimensions]float64{1, 1, 1})
		s.reports = append(s.reports, 0)
	}
}

// amount returns the amount of one resource.
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

// expectedUsage returns the expected usage of a task under its limit on processor time.
func (s *sizeModel) expectedUsage(d dimension, kind kindID, declared fleet.Resources, permille int) float64 {
	e := float64(amount(declared, d)) * s.ratios[kind][d]
	if d == cpuSize {
		e *= float64(permille) / unthrottledPermille
	}
	return e
}

// divide apportions the total usage of one resource to the attempts in ran and corrects the ratios of their kinds.
func (s *sizeModel) divide(d dimension, ran []*reservation, ended []endedRun, total int64) []int64 {
	expected := make([]float64, len(ran))
	// A slice instead of a map, so that floating-point additions have a deterministic order.
	declared := make([]float64, len(s.ratios))
	var sum, squares float64
	for i, t := range ran {
		expected[i] = s.expectedUsage(d, t.kind, t.task.Resources, t.throttlePermille)
		sum += expected[i]
		declared[t.kind] += float64(amount(t.task.Resources, d))
	}
	for _, r := range ended {
		sum += s.expectedUsage(d, r.kind, r.declaredSize, unthrottledPermille)
		declared[r.kind] += float64(amount(r.declaredSize, d))
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

// apportion divides a total in proportion to the expected amounts, or evenly if their sum is zero.
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

// hasEnoughReports reports whether the learned size of a kind is based on at least minSizeReports reports.
func (s *sizeModel) hasEnoughReports(kind kindID) bool { return s.reports[kind] >= minSizeReports }

// mayExceedMemory reports whether a non-urgent task without learned size would share a worker with recently placed,
// unmeasured tasks and could exceed its memory together with them if all declared sizes are wrong by maxSizeRatio.
func (m *Machine) mayExceedMemory(h *host, t *reservation) bool {
	if !m.useObservedSizes || t.task.Class == fleet.Urgent || m.sizes.hasEnoughReports(t.kind) {
		return false
	}
	var unmeasured int64
	for _, o := range h.reservations {
		if !o.measured && !m.sizes.hasEnoughReports(o.kind) && t.reservedAt.Sub(o.reservedAt) < unmeasuredTimeout {
			unmeasured += o.task.Resources.MemoryBytes
		}
	}
	worst := (maxSizeRatio-1)*unmeasured + maxSizeRatio*t.task.Resources.MemoryBytes
	return unmeasured > 0 && worst > h.free().MemoryBytes
}

// estimate returns the size to reserve for a new task: the declared size, or the learned size of its kind if larger.
func (s *sizeModel) estimate(kind kindID, declared fleet.Resources) fleet.Resources {
	if !s.hasEnoughReports(kind) {
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
