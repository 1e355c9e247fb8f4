package serve

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// retryBudget bounds the part of attempts that are repeats, so that a general failure is not multiplied.
type retryBudget struct{ tokens float64 }

const (
	retryRatio   = 0.1
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

// costs holds the moving average of the time that requests of a service take on a backend server.
type costs map[fleet.ServiceID]*cost

type cost struct {
	mean    time.Duration
	sampledAt time.Time
}

const (
	costWeight = 0.1
	// costHalfLife lets an estimate fall that rejects every request of its service and so gets no new samples.
	costHalfLife = time.Second
)

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
