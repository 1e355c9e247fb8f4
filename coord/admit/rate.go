package admit

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// bucket is a token bucket that holds one second of its customer's rate.
type bucket struct {
	tokens float64
	refilledAt time.Time
}

// takeToken returns zero after taking one request from the customer's rate, or how long until it can be taken.
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
