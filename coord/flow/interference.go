package flow

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// The tail latency of a serving task behaves like that of a queue: it is inversely proportional to the unused fraction
// of the task's service capacity. Its inverse is therefore linear in everything that uses capacity: the load of the
// task's job, which varies over time and is equal for all tasks of a step, and each filler beside it. A filler
// contributes the weight of its pair of images times the share of the worker's processors that it requests. Weights
// differ by up to a factor of ten between pairs. The models below use headroom = target / tail latency, which is 1 when
// a task is on target.
const (
	// priorWeight and priorWeightVariance describe the weight of an unseen pair of images. They allow one small filler
	// to be tried.
	priorWeight         = 2.5
	priorWeightVariance = 10
	// weightDrift is the growth of the variance of a weight per second.
	weightDrift = 0.01
	// cautionDeviations is the number of standard deviations that are added to a weight in a decision.
	cautionDeviations = 0.3

	// reportNoise is the relative standard error of a report, and minHeadroomError the minimum error of a headroom.
	// comparisonNoise replaces reportNoise between two tasks, whose interference also varies from second to second.
	reportNoise      = 0.1
	comparisonNoise  = 0.25
	minHeadroomError = 0.05
	// saturatedHeadroom is the headroom below which tail latencies saturate and no longer indicate how much capacity is
	// missing.
	saturatedHeadroom = 0.25
	// comparisonWindow is the maximum age of an observation that is compared with a new one.
	comparisonWindow = 500 * time.Millisecond

	// initialHeadroom is the assumed headroom of a step without reports.
	initialHeadroom = 2
	// initialHeadroomVariance and initialTrendVariance describe the initial uncertainty of the load and its trend.
	initialHeadroomVariance = 1
	initialTrendVariance    = 0.1
	// trendNoise is the process noise of the trend. The load varies by a third within 4 s.
	trendNoise = 0.02
	// lookAhead approximates the run time of a filler.
	lookAhead = 2500 * time.Millisecond
	// lowQuantile is the quantile of the headroom that lowHeadroom tracks, and lowHeadroomStep the step size of this
	// estimate per report.
	lowQuantile     = 0.1
	lowHeadroomStep = 0.03
)

// loadModel is a Kalman filter for the load of one serving step: the headroom of its tasks without fillers, and the
// trend of that headroom per second.
type loadModel struct {
	headroom, trend float64
	covariance      [2][2]float64
	updatedAt       time.Time
}

func newLoadModel(now time.Time) *loadModel {
	return &loadModel{headroom: initialHeadroom, covariance: [2][2]float64{{initialHeadroomVariance, 0}, {0, initialTrendVariance}}, updatedAt: now}
}

// advance predicts the state at a later time.
func (l *loadModel) advance(now time.Time) {
	dt := now.Sub(l.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	l.updatedAt = now
	l.headroom += l.trend * dt
	c := &l.covariance
	c[0][0] += 2*dt*c[0][1] + dt*dt*c[1][1] + trendNoise*dt*dt*dt/3
	c[0][1] += dt*c[1][1] + trendNoise*dt*dt/2
	c[1][0] = c[0][1]
	c[1][1] += trendNoise * dt
}

// correct updates the state with the residual of an observation and its total variance.
func (l *loadModel) correct(residual, variance float64) {
	c := &l.covariance
	gain := [2]float64{c[0][0] / variance, c[1][0] / variance}
	l.headroom += gain[0] * residual
	l.trend += gain[1] * residual
	c[1][1] -= gain[1] * c[0][1]
	c[0][1] -= gain[0] * c[0][1]
	c[1][0] = c[0][1]
	c[0][0] -= gain[0] * c[0][0]
}

// headroomAt returns the predicted headroom without fillers. The trend is extrapolated for at most one second after the
// last report.
func (l *loadModel) headroomAt(now time.Time) float64 {
	return l.headroom + l.trend*min(1, now.Sub(l.updatedAt).Seconds())
}

// interferenceModel holds the weights of all filler images for one serving image, with their covariance, by the number of
// the filler image.
type interferenceModel struct {
	weights    []float64
	covariance [][]float64
	// known marks the filler images that were seen with the serving image.
	known     []bool
	updatedAt time.Time
	// lowHeadroom is a low quantile of the headroom without fillers, to which the load is expected to return.
	lowHeadroom float64
	// difference and gain are the memory of [interferenceModel.compare].
	difference, gain []float64
}

func newInterferenceModel(now time.Time) *interferenceModel {
	return &interferenceModel{updatedAt: now, lowHeadroom: initialHeadroom}
}

// see adds the filler images up to a number, and marks it as known.
func (im *interferenceModel) see(image int) {
	for len(im.weights) <= image {
		i := len(im.weights)
		im.weights, im.known = append(im.weights, priorWeight), append(im.known, false)
		im.difference, im.gain = append(im.difference, 0), append(im.gain, 0)
		for n := range im.covariance {
			im.covariance[n] = append(im.covariance[n], 0)
		}
		row := make([]float64, i+1)
		row[i] = priorWeightVariance
		im.covariance = append(im.covariance, row)
	}
	im.known[image] = true
}

// headroomCost returns the headroom that a filler image takes at a share of 1, plus a margin for the uncertainty of its
// weight.
func (im *interferenceModel) headroomCost(image int) float64 {
	if image >= len(im.weights) || !im.known[image] {
		im.see(image)
	}
	return max(0, im.weights[image]+cautionDeviations*math.Sqrt(max(0, im.covariance[image][image])))
}

// meanDifference returns the mean difference between the weights of the filler images that both models contain.
func (im *interferenceModel) meanDifference(other *interferenceModel) float64 {
	sum, known := 0.0, 0
	for i := range min(len(im.weights), len(other.weights)) {
		if im.known[i] && other.known[i] {
			sum += math.Abs(im.weights[i] - other.weights[i])
			known++
		}
	}
	return sum / float64(max(1, known))
}

// minHeadroomAhead returns the lowest headroom without fillers that is expected while a filler runs.
func (im *interferenceModel) minHeadroomAhead(load *loadModel, now time.Time) float64 {
	headroom := load.headroomAt(now)
	return min(headroom, max(im.lowHeadroom, headroom+load.trend*lookAhead.Seconds()))
}

// observation is the headroom of a serving task beside fillers with the given shares of its worker's processors.
type observation struct {
	at       time.Time
	headroom float64
	shares   imageAmounts
}

// variance returns the variance of the observed headroom for a relative standard error.
func (o observation) variance(noise float64) float64 {
	deviation := minHeadroomError + noise*o.headroom
	return deviation * deviation
}

func (o observation) saturated() bool { return o.headroom < saturatedHeadroom }

// reference is the mean headroom of observations, its variance and their mean filler shares, with which another
// observation is compared. The sums are divided by their number in [reference.mean].
type reference struct {
	number             int
	headroom, variance float64
	shares             []float64
}

func (f *reference) reset() {
	*f = reference{shares: f.shares[:0]}
}

func (f *reference) add(o observation) {
	f.number++
	f.headroom += o.headroom
	f.variance += o.variance(comparisonNoise)
	for _, s := range o.shares {
		for len(f.shares) <= s.image {
			f.shares = append(f.shares, 0)
		}
		f.shares[s.image] += s.amount
	}
}

// mean turns the sums into means. It must be called once, after at least one observation was added.
func (f *reference) mean() {
	n := float64(f.number)
	f.headroom /= n
	f.variance /= n * n
	for i := range f.shares {
		f.shares[i] /= n
	}
}

// learn updates the load model of a step and the weights of its image from an observation of one of its tasks. The
// tasks of a step have the same load, so the difference to the mean of the others is due to their fillers. If the step
// has no other tasks, the observation is compared with the load that the model predicts; that is less reliable, because
// an error of the load then appears as interference.
func (im *interferenceModel) learn(now time.Time, load *loadModel, o observation, others *reference, alone bool) {
	im.addDrift(now)
	load.advance(now)
	for _, s := range o.shares {
		im.see(s.image)
	}
	expected, variance := load.headroom, o.variance(reportNoise)+load.covariance[0][0]
	for _, s := range o.shares {
		expected -= im.weights[s.image] * s.amount
		for _, t := range o.shares {
			variance += s.amount * im.covariance[s.image][t.image] * t.amount
		}
	}
	if o.saturated() {
		if expected >= saturatedHeadroom {
			load.correct(o.headroom-expected, variance)
		}
		return
	}
	switch {
	case others.number > 0:
		others.mean()
		im.compare(o, others)
	case alone:
		im.compare(o, &reference{headroom: load.headroom, variance: load.covariance[0][0]})
	}
	load.correct(o.headroom-expected, variance)
	if load.headroom < im.lowHeadroom {
		im.lowHeadroom -= lowHeadroomStep * (1 - lowQuantile)
	} else {
		im.lowHeadroom += lowHeadroomStep * lowQuantile
	}
}

// compare corrects the weights from the difference between an observation and a reference.
func (im *interferenceModel) compare(o observation, against *reference) {
	for i, share := range against.shares {
		if share != 0 {
			im.see(i)
		}
	}
	x, gain := im.difference, im.gain
	clear(x)
	for _, s := range o.shares {
		x[s.image] += s.amount
	}
	for i, share := range against.shares {
		if share != 0 {
			x[i] -= share
		}
	}
	residual := o.headroom - against.headroom
	variance := o.variance(comparisonNoise) + against.variance
	for i := range x {
		residual += im.weights[i] * x[i]
		gain[i] = 0
		for j, covariance := range im.covariance[i] {
			gain[i] += covariance * x[j]
		}
		variance += gain[i] * x[i]
	}
	for i := range x {
		if gain[i] == 0 {
			continue
		}
		im.weights[i] = max(0, im.weights[i]-gain[i]/variance*residual)
		row := im.covariance[i]
		for j := range row {
			row[j] -= gain[i] * gain[j] / variance
		}
	}
}

// addDrift increases the uncertainty of the weights with time.
func (im *interferenceModel) addDrift(now time.Time) {
	elapsed := now.Sub(im.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	im.updatedAt = now
	for i := range im.covariance {
		im.covariance[i][i] = min(im.covariance[i][i]+weightDrift*elapsed, priorWeightVariance)
	}
}

// InterferenceRecord is the durable form of the interference model of a serving image.
type InterferenceRecord struct {
	Image string             `cbor:"image"`
	Pairs []PairWeightRecord `cbor:"pairs"`
}

// PairWeightRecord is the headroom that a filler image takes at a share of 1, and the variance of this weight.
type PairWeightRecord struct {
	Image    string  `cbor:"image"`
	Weight   float64 `cbor:"weight"`
	Variance float64 `cbor:"variance"`
}

const (
	// restoredVariance is added to the variance of a weight that a predecessor stored, and restoredWeightShare is the
	// fraction of its distance from the prior that is kept. A pair that was wrongly classified as harmful must be
	// tried again.
	restoredVariance    = 0.5
	restoredWeightShare = 0.9
)

const (
	// maxInterferenceBytes limits the stored weights, which are one value of the store.
	maxInterferenceBytes = 256 << 10
	// interferenceRecordBytes and pairRecordBytes exceed the encoded sizes of these records without their names.
	interferenceRecordBytes = 32
	pairRecordBytes         = 48
)

// size returns an upper bound for the encoded size of a record.
func (r InterferenceRecord) size() int {
	size := interferenceRecordBytes + len(r.Image)
	for _, p := range r.Pairs {
		size += pairRecordBytes + len(p.Image)
	}
	return size
}

// interferenceRecords returns the models of the serving images that were measured last, up to maxInterferenceBytes.
func (m *Machine) interferenceRecords() []InterferenceRecord {
	images := slices.SortedFunc(maps.Keys(m.interferenceModels), func(a, b string) int {
		return cmp.Or(m.interferenceModels[b].updatedAt.Compare(m.interferenceModels[a].updatedAt), strings.Compare(a, b))
	})
	records := make([]InterferenceRecord, 0, len(images))
	size := 0
	for _, image := range images {
		im := m.interferenceModels[image]
		r := InterferenceRecord{Image: image, Pairs: make([]PairWeightRecord, 0, len(im.weights))}
		for i, weight := range im.weights {
			if im.known[i] {
				r.Pairs = append(r.Pairs, PairWeightRecord{Image: m.fillerImages.names[i], Weight: weight, Variance: im.covariance[i][i]})
			}
		}
		slices.SortFunc(r.Pairs, func(a, b PairWeightRecord) int { return strings.Compare(a.Image, b.Image) })
		if next := size + r.size(); next <= maxInterferenceBytes {
			size = next
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b InterferenceRecord) int { return strings.Compare(a.Image, b.Image) })
	return records
}

// restoreInterference returns an interference model that starts from stored weights.
func (m *Machine) restoreInterference(r InterferenceRecord) *interferenceModel {
	im := newInterferenceModel(m.now)
	for _, p := range r.Pairs {
		i := m.fillerImages.of(p.Image)
		im.see(i)
		im.weights[i] = priorWeight + restoredWeightShare*(p.Weight-priorWeight)
		im.covariance[i][i] = min(priorWeightVariance, p.Variance+restoredVariance)
	}
	return im
}
