package flow

import (
	"math"
	"time"
)

// The tail latency of a serving task is modelled in logarithms: a base for its image, which follows the load of the image
// and is the same for all of its tasks, plus a weight for each image of fillers times the share of the worker's processors
// that they ask for. Each pair of images has a weight of its own, because some pairs hardly disturb each other and others
// do ten times as much.
const (
	// pairPrior and pairVariance describe the weight of a pair that has not been seen; one small filler may try it.
	pairPrior    = 1.5
	pairVariance = 6
	// pairDrift is how much the variance of a weight grows in a second.
	pairDrift = 0.02
	// basePrior is the base of an unknown image below the logarithm of its target.
	basePrior    = 1
	baseVariance = 0.5
	// baseDrift is how much the variance of the base grows in a second: load swings by a third within a few seconds.
	baseDrift = 0.03
	// reportVariance is the spread of single reports around the model.
	reportVariance = 0.08
	// peakDecay is how fast the highest base seen loses height, in a second: the load swings with a period of 15 to 20 s.
	peakDecay = 0.015
	// lookAhead is about how long a filler runs, and leastRise what the base may rise meanwhile without a slope.
	lookAhead = 2500 * time.Millisecond
	leastRise = 0.1
	// slopeEach is the time over which a slope is measured, and slopeStep how much of the former one it replaces.
	slopeEach = 500 * time.Millisecond
	slopeStep = 0.4
	// caution is how many standard deviations of a weight are added to it for a decision.
	caution = 0.3
	// maxPairs bounds the images that are told apart for one serving image.
	maxPairs = 48
)

// victim is what is known of a serving image: a Kalman filter over its base and the fillers beside its tasks.
type victim struct {
	index  map[string]int
	weight []float64
	cov    [][]float64
	at     time.Time
	peak   float64
	// slope is the smoothed change of the base in a second, since the base was mark at markAt.
	slope  float64
	mark   float64
	markAt time.Time
}

func newVictim(logTarget float64, now time.Time) *victim {
	base := logTarget - basePrior
	return &victim{
		index: make(map[string]int), weight: []float64{base}, cov: [][]float64{{baseVariance}}, at: now, peak: base,
		mark: base, markAt: now,
	}
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

// base returns the logarithm of the tail without fillers at the present load.
func (v *victim) base() float64 { return v.weight[0] }

// ahead returns the highest base that is to be expected while a filler runs: where the present slope leads, but not over
// the highest one of late.
func (v *victim) ahead() float64 {
	rise := max(leastRise, v.slope*lookAhead.Seconds())
	return max(v.weight[0], min(v.peak, v.weight[0]+rise))
}

// pressed returns what fillers with the given shares add to the logarithm of the tail.
func (v *victim) pressed(shares map[string]float64) float64 {
	sum := 0.0
	for image, share := range shares {
		sum += v.cost(image) * share
	}
	return sum
}

// learn corrects the model from the logarithm of a tail that was seen beside fillers with the given shares.
func (v *victim) learn(now time.Time, shares map[string]float64, logTail float64) {
	for image := range shares {
		v.feature(image)
	}
	v.drift(now)
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
	v.peak = max(v.peak, v.weight[0])
	if passed := now.Sub(v.markAt); passed >= slopeEach {
		v.slope += slopeStep * ((v.weight[0]-v.mark)/passed.Seconds() - v.slope)
		v.mark, v.markAt = v.weight[0], now
	}
}

// drift lets the model become less certain with time.
func (v *victim) drift(now time.Time) {
	passed := now.Sub(v.at).Seconds()
	if passed <= 0 {
		return
	}
	v.at = now
	v.peak -= peakDecay * passed
	v.cov[0][0] = min(v.cov[0][0]+baseDrift*passed, baseVariance)
	for i := 1; i < len(v.cov); i++ {
		v.cov[i][i] = min(v.cov[i][i]+pairDrift*passed, pairVariance)
	}
}
