package admit

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// bucket is a token bucket with a capacity of one second of its customer's rate, and at least one token.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// takeToken takes a token for one request of the customer and returns zero. If there is none, it returns the time until
// the next token.
func (m *Machine) takeToken(now time.Time, id fleet.CustomerID) time.Duration {
	rate := m.limits[id].Rate
	if rate <= 0 {
		return 0
	}
	capacity := max(1, rate)
	b := m.buckets[id]
	if b == nil {
		b = &bucket{tokens: capacity, refilledAt: now}
		m.buckets[id] = b
	}
	b.tokens = min(capacity, b.tokens+now.Sub(b.refilledAt).Seconds()*rate)
	b.refilledAt = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return 0
}
