package serve

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// retryBudget is a token bucket that limits the share of retries among all attempts, so that retries do not multiply
// the load during a general failure.
type retryBudget struct{ tokens float64 }

const (
	// retryRatio is the number of retries granted for each first attempt.
	retryRatio = 0.1
	// maxRetryTokens limits the retries that can be saved up.
	maxRetryTokens = 10
)

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

func (b *retryBudget) deposit() { b.tokens = min(maxRetryTokens, b.tokens+retryRatio) }

func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// costs holds, for each service, the moving average of the time that a request takes on a backend server.
type costs map[fleet.ServiceID]*cost

type cost struct {
	mean      time.Duration
	sampledAt time.Time
}

const (
	// costWeight is the weight of a new sample in the moving average.
	costWeight = 0.1
	// costHalfLife is the half-life of an estimate without new samples. Without the decay, an estimate so high that every
	// request of the service is rejected would get no samples and never fall.
	costHalfLife = time.Second
)

// estimate returns the average time of a request of a service, zero if there is no sample.
func (c costs) estimate(service fleet.ServiceID) time.Duration {
	if e := c[service]; e != nil {
		return e.mean
	}
	return 0
}

func (c costs) addSample(now time.Time, service fleet.ServiceID, sample time.Duration) {
	e := c[service]
	if e == nil {
		e = &cost{mean: sample}
		c[service] = e
	}
	e.mean += time.Duration(costWeight * float64(sample-e.mean))
	e.sampledAt = now
}

func (c costs) decay(now time.Time) {
	for _, e := range c {
		if now.Sub(e.sampledAt) >= costHalfLife {
			e.mean /= 2
			e.sampledAt = now
		}
	}
}
