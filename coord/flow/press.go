package flow

import "math"

// The tail latency of a serving task is modelled in logarithms: a base for its image, plus a weight for each image of
// fillers times the share of the worker's processors that they ask for. Each pair of images has a weight of its own,
// because some pairs hardly disturb each other and others do ten times as much.
const (
	// pairPrior and pairVariance describe the weight of a pair that has not been seen; one small filler may try it.
	pairPrior    = 1.5
	pairVariance = 6
	// basePrior is the base of an unknown image below the logarithm of its target.
	basePrior    = 1
	baseVariance = 1
	// reportVariance is the spread of single reports around the model, most of it from the load of the serving task.
	reportVariance = 0.2
	// forgetting lets weights follow changes; a report loses half its weight after about 350 others.
	forgetting = 0.998
	// caution is how many standard deviations of a weight are added to it for a decision.
	caution = 0.3
	// maxPairs bounds the images that are told apart for one serving image.
	maxPairs = 48
)

// victim is what is known of a serving image: recursive least squares over the fillers beside its tasks.
type victim struct {
	index  map[string]int
	weight []float64
	cov    [][]float64
}

func newVictim(logTarget float64) *victim {
	return &victim{index: make(map[string]int), weight: []float64{logTarget - basePrior}, cov: [][]float64{{baseVariance}}}
}

// feature returns the place of a filler image; images over the bound share the last one.
func (v *victim) feature(image string) int {
	if i, known := v.index[image]; known {
		return i
	}
	if len(v.weight) > maxPairs {
		return maxPairs
	}
	i := len(v.weight)
	v.index[image] = i
	v.weight = append(v.weight, pairPrior)
	for n := range v.cov {
		v.cov[n] = append(v.cov[n], 0)
	}
	row := make([]float64, i+1)
	row[i] = pairVariance
	v.cov = append(v.cov, row)
	return i
}

// cost returns the weight of a filler image, with some caution for a pair that is not well known.
func (v *victim) cost(image string) float64 {
	i := v.feature(image)
	return max(0, v.weight[i]+caution*math.Sqrt(max(0, v.cov[i][i])))
}

// base returns the logarithm of the tail without fillers.
func (v *victim) base() float64 { return v.weight[0] }

// learn corrects the weights from the logarithm of a tail that was seen beside fillers with the given shares.
func (v *victim) learn(shares map[string]float64, logTail float64) {
	for image := range shares {
		v.feature(image)
	}
	x := make([]float64, len(v.weight))
	x[0] = 1
	for image, share := range shares {
		x[v.feature(image)] += share
	}
	gain := make([]float64, len(x))
	denominator := reportVariance
	predicted := 0.0
	for i := range x {
		predicted += v.weight[i] * x[i]
		for j := range x {
			gain[i] += v.cov[i][j] * x[j]
		}
		denominator += gain[i] * x[i]
	}
	miss := logTail - predicted
	for i := range x {
		v.weight[i] += gain[i] / denominator * miss
	}
	for i := range x {
		for j := range x {
			v.cov[i][j] -= gain[i] * gain[j] / denominator
		}
	}
	v.forget(x)
}

// forget lets the weights that the report was about become less certain, up to what is assumed of an unknown pair.
func (v *victim) forget(x []float64) {
	for i := range x {
		if x[i] == 0 {
			continue
		}
		v.cov[i][i] = min(v.cov[i][i]/forgetting, pairVariance)
	}
}
