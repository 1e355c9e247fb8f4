package serve_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/serve"
)

// crashingContent is the content of a request that crashes each server to which it is sent.
const crashingContent = 7

// newCrashSim returns a simulation of one entry process with many servers.
func newCrashSim(t *testing.T) *sim {
	s := newSim(t, 1, []fleet.AvailabilityZone{"a"}, 4, 4, 4, 4, 4, 4, 4, 4)
	s.deadlineMS, s.latencyMS, s.nonIdempotentPermille = 5000, 50, 0
	s.start(s.procs[0])
	s.run(7*time.Second, 0)
	return s
}

// arrive sends a request with a content to the first process, and returns its caller.
func (s *sim) arrive(content uint64) *caller {
	s.nextID++
	p := s.procs[0]
	c := &caller{process: p, boot: p.boot, arrivedAt: s.now, request: serve.Request{
		ID: s.nextID, Service: "c/s", Customer: "c", Deadline: s.now.Add(5 * time.Second), Content: content,
	}}
	p.calls[c.request.ID] = c
	s.callers = append(s.callers, c)
	s.step(p, serve.Arrived{Request: c.request})
	return c
}

// A request that crashes each server to which it is sent was retried on three servers each time that its caller repeated
// it. It must be rejected after three crashes, except for a rare test, while other requests are served.
func TestRequestThatCrashesServersIsRejected(t *testing.T) {
	s := newCrashSim(t)
	s.crashing = func(r serve.Request) bool { return r.Content == crashingContent }
	runs := 0
	for i := range 240 {
		// A request ends before the next one arrives, so that none is on its way when it is given up.
		c := s.arrive(crashingContent)
		sound := s.arrive(uint64(100 + i))
		s.run(250*time.Millisecond, 0)
		runs += c.backendRuns
		assert.Equal(t, sound.responses[0].Outcome, serve.OutcomeRan)
	}
	// In a minute the pauses of 2, 4, 8, 16 and 32 s allow four tests.
	assert.Assert(t, runs <= 3+4, "%d runs", runs)
	s.run(10*time.Second, 0)
	s.checkOutcomes()
	last := s.callers[len(s.callers)-2].responses[0]
	assert.Equal(t, last.Outcome, serve.OutcomeNotRun)
	assert.Equal(t, last.Reason, "breaks_servers")
}

// A failure of all servers breaks off sound requests. They must be served again soon after it, also those that are all
// equal.
func TestRequestsAreServedAfterOutage(t *testing.T) {
	s := newCrashSim(t)
	outage := true
	s.crashing = func(serve.Request) bool { return outage }
	for i := range 30 {
		s.arrive(1)
		s.arrive(uint64(100 + i%5))
		s.run(100*time.Millisecond, 0)
	}
	outage = false
	s.run(8*time.Second, 0)
	for i := range 20 {
		equal, other := s.arrive(1), s.arrive(uint64(100+i%5))
		s.run(300*time.Millisecond, 0)
		if i > 0 {
			assert.Equal(t, equal.responses[0].Outcome, serve.OutcomeRan)
			assert.Equal(t, other.responses[0].Outcome, serve.OutcomeRan)
		}
	}
}
