package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
)

// Guards against requests that are rejected although they would be answered in time: the wait for the first slot of a queue
// says nothing about the rate of the next ones. A queue that is too slow for a request must still reject it.
func TestWaitForFirstSlot(t *testing.T) {
	const queued, deadline = 60, 1500 * time.Millisecond
	for name, c := range map[string]struct {
		cost, interval time.Duration
		accepted       bool
	}{
		"fast, without a known cost": {0, time.Millisecond, true},
		"fast":                       {5 * time.Millisecond, time.Millisecond, true},
		"slow, without a known cost": {0, 50 * time.Millisecond, false},
		"slow":                       {50 * time.Millisecond, 50 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			m := admit.New()
			item := func(id uint64) admit.Item {
				return admit.Item{ID: id, Class: fleet.Urgent, Customer: "globex", Deadline: now.Add(deadline), Cost: c.cost}
			}
			for id := range uint64(queued) {
				m.Step(now, admit.Push{Item: item(id)})
			}
			now = now.Add(300 * time.Millisecond)
			for range 8 {
				_, ok := m.Next(now, func(admit.Item) bool { return true })
				assert.Assert(t, ok)
				now = now.Add(c.interval)
			}
			effect := m.Step(now, admit.Check{Item: item(queued)})[0]
			_, accepted := effect.(admit.Accepted)
			assert.Equal(t, accepted, c.accepted, "%+v", effect)
		})
	}
}
