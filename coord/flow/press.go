package flow

import (
	"math"
	"slices"
	"strings"
	"time"
)

// The tail latency of a serving task behaves like that of a queue: it is inversely proportional to the part of the task's
// service capacity that is left. Its inverse is therefore linear in what takes capacity away: the load of the task's job,
// which swings and is the same for all tasks of a step, and the fillers beside it, by a weight for each pair of images
// times the share of the worker's processors that the fillers ask for. Some pairs hardly disturb each other, others do ten
// times as much. The unit used here is the slack, target / tail: 1 is on target.
const (
	// pairPrior and pairVariance describe the weight of a pair that has not been seen; one small filler may try it.
	pairPrior    = 2.5
	pairVariance = 10
	// pairDrift is how much the variance of a weight grows in a second.
	pairDrift = 0.01
	// maxPairs bounds the images that are told apart for one serving image.
	maxPairs = 48
	// caution is how many standard deviations of a weight are added to it for a decision.
	caution = 0.3

	// reportNoise is the relative error of a report, and reportFloor the least error of a slack.
	reportNoise = 0.1
	reportFloor = 0.05
	// leastSlack is the slack of a tail that is as long as tails get; it tells nothing of how much capacity is missing.
	leastSlack = 0.25

	// firstSlack is the slack that is assumed of a step without reports.
	firstSlack = 2
	// loadVariance and trendVariance are how uncertain the load and its trend are at first.
	loadVariance  = 1
	trendVariance = 0.1
	// trendNoise is how fast the trend changes: the load swings by a third within 4 s.
	trendNoise = 0.02
	// lookAhead is about how long a filler runs.
	lookAhead = 2500 * time.Millisecond
	// lowQuantile is the share of reports with a lower slack than the one that counts as low, and lowStep how far one report
	// moves it.
	lowQuantile = 0.1
	lowStep     = 0.03
)

// pulse follows the load of one serving step: the slack of its tasks without fillers, and its trend in a second.
type pulse struct {
	slack, trend float64
	cov          [2][2]float64
	at           time.Time
}

func newPulse(now time.Time) *pulse {
	return &pulse{slack: firstSlack, cov: [2][2]float64{{loadVariance, 0}, {0, trendVariance}}, at: now}
}

// advance lets time pass.
func (p *pulse) advance(now time.Time) {
	dt := now.Sub(p.at).Seconds()
	if dt <= 0 {
		return
	}
	p.at = now
	p.slack += p.trend * dt
	c := &p.cov
	c[0][0] += 2*dt*c[0][1] + dt*dt*c[1][1] + trendNoise*dt*dt*dt/3
	c[0][1] += dt*c[1][1] + trendNoise*dt*dt/2
	c[1][0] = c[0][1]
	c[1][1] += trendNoise * dt
}

// correct takes up a deviation of an observation whose total variance is given.
func (p *pulse) correct(miss, variance float64) {
	c := &p.cov
	gain := [2]float64{c[0][0] / variance, c[1][0] / variance}
	p.slack += gain[0] * miss
	p.trend += gain[1] * miss
	c[1][1] -= gain[1] * c[0][1]
	c[0][1] -= gain[0] * c[0][1]
	c[1][0] = c[0][1]
	c[0][0] -= gain[0] * c[0][0]
}

// now returns the slack without fillers at a time after the last report.
func (p *pulse) now(now time.Time) float64 {
	return p.slack + p.trend*min(1, now.Sub(p.at).Seconds())
}

// victim is what is known of a serving image: how much each filler image disturbs it.
type victim struct {
	index  map[string]int
	weight []float64
	cov    [][]float64
	at     time.Time
	// low is a low slack without fillers, which the load comes back to.
	low float64
}

func newVictim(now time.Time) *victim {
	return &victim{index: make(map[string]int), at: now, low: firstSlack}
}

// feature returns the place of a filler image; images over the bound share the last one.
func (v *victim) feature(image string) int {
	if i, known := v.index[image]; known {
		return i
	}
	if len(v.weight) >= maxPairs {
		return maxPairs - 1
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

// cost returns the slack that a filler image takes at a share of 1, with some caution for a pair that is not well known.
func (v *victim) cost(image string) float64 {
	i := v.feature(image)
	return max(0, v.weight[i]+caution*math.Sqrt(max(0, v.cov[i][i])))
}

// pressed returns the slack that fillers with the given shares take.
//
// It is asked for each worker and placement, so that each image is looked up once.
func (v *victim) pressed(shares map[string]float64) float64 {
	sum := 0.0
	for image, share := range shares {
		sum += v.cost(image) * share
	}
	return sum
}

// contrast is the mean difference between how much the fillers that are known to both disturb two images.
func (v *victim) contrast(other *victim) float64 {
	sum, known := 0.0, 0
	for image, i := range v.index {
		if j, found := other.index[image]; found {
			sum += math.Abs(v.weight[i] - other.weight[j])
			known++
		}
	}
	return sum / float64(max(1, known))
}

// ahead returns the lowest slack without fillers that is to be expected while a filler runs.
func (v *victim) ahead(p *pulse, now time.Time) float64 {
	slack := p.now(now)
	return min(slack, max(v.low, slack+p.trend*lookAhead.Seconds()))
}

// learn corrects what is known of an image and of the load of a step from a slack that was seen beside fillers with the
// given shares.
func (v *victim) learn(now time.Time, p *pulse, shares map[string]float64, slack float64) {
	for image := range shares {
		v.feature(image)
	}
	v.drift(now)
	p.advance(now)
	x := make([]float64, len(v.weight))
	for image, share := range shares {
		x[v.feature(image)] += share
	}
	predicted := p.slack
	noise := reportFloor + reportNoise*slack
	variance := noise*noise + p.cov[0][0]
	gain := make([]float64, len(x))
	for i := range x {
		predicted -= v.weight[i] * x[i]
		for j := range x {
			gain[i] += v.cov[i][j] * x[j]
		}
		variance += gain[i] * x[i]
	}
	if slack < leastSlack && predicted < leastSlack {
		return
	}
	miss := slack - predicted
	p.correct(miss, variance)
	for i := range x {
		v.weight[i] -= gain[i] / variance * miss
		for j := range x {
			v.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
	if p.slack < v.low {
		v.low -= lowStep * (1 - lowQuantile)
	} else {
		v.low += lowStep * lowQuantile
	}
}

// drift lets the weights become less certain with time.
func (v *victim) drift(now time.Time) {
	passed := now.Sub(v.at).Seconds()
	if passed <= 0 {
		return
	}
	v.at = now
	for i := range v.cov {
		v.cov[i][i] = min(v.cov[i][i]+pairDrift*passed, pairVariance)
	}
}

// ImageRecord is what is known of how fillers disturb a serving image.
type InterferenceRecord struct {
	Image string             `cbor:"image"`
	Pairs []PairWeightRecord `cbor:"pairs"`
}

// PairRecord is the slack that a filler image takes at a share of 1, and the variance of that figure.
type PairWeightRecord struct {
	Image    string  `cbor:"image"`
	Weight   float64 `cbor:"weight"`
	Variance float64 `cbor:"variance"`
}

const (
	// agedVariance is added to the variance of a weight that a former scheduler has learnt, and agedTrust the part of its
	// distance from an unknown pair that is kept: a pair that was wrongly learnt to be harmful must be tried again.
	agedVariance = 0.5
	agedTrust    = 0.9
)

func (m *Machine) imageRecords() []InterferenceRecord {
	records := make([]InterferenceRecord, 0, len(m.victims))
	for image, v := range m.victims {
		r := InterferenceRecord{Image: image, Pairs: make([]PairWeightRecord, 0, len(v.index))}
		for filler, i := range v.index {
			r.Pairs = append(r.Pairs, PairWeightRecord{Image: filler, Weight: v.weight[i], Variance: v.cov[i][i]})
		}
		slices.SortFunc(r.Pairs, func(a, b PairWeightRecord) int { return strings.Compare(a.Image, b.Image) })
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b InterferenceRecord) int { return strings.Compare(a.Image, b.Image) })
	return records
}

// victim returns a model that starts from what a former scheduler has learnt.
func (r InterferenceRecord) victim(now time.Time) *victim {
	v := newVictim(now)
	for _, p := range r.Pairs {
		i := v.feature(p.Image)
		v.weight[i] = pairPrior + agedTrust*(p.Weight-pairPrior)
		v.cov[i][i] = min(pairVariance, p.Variance+agedVariance)
	}
	return v
}
