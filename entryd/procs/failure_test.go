package procs_test

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The death of an entry process must not run anything twice, lose an accepted job, or tell a caller that a request was not
// run that was; the others and its successor go on.
func TestKilledEntryProcess(t *testing.T) {
	s := start(t)
	r := s.load(12, func() {
		s.entries[1].signal(t, syscall.SIGKILL)
		<-s.entries[1].done
		time.Sleep(5 * time.Second)
		s.entry(1)
		s.awaitReady(1)
	})
	assert.Assert(t, r.outcomes("bookings")["good"] > 0)
}

// A process that is paused past its leases must not act on them when it continues.
func TestPausedEntryProcess(t *testing.T) {
	s := start(t)
	s.load(18, func() {
		s.entries[0].signal(t, syscall.SIGSTOP)
		time.Sleep(sessionTTL + 2*time.Second)
		s.entries[0].signal(t, syscall.SIGCONT)
	})
	s.awaitReady(0)
}

// Idempotent requests need no store; everything else may be refused during an outage, but never lost or repeated.
func TestStoreOutage(t *testing.T) {
	s := start(t)
	r := s.load(20, func() {
		s.control(portStoreControl, `{"outage": "break"}`)
		time.Sleep(sessionTTL + 2*time.Second)
		s.control(portStoreControl, `{"outage": "", "lose_permille": 100}`)
		time.Sleep(3 * time.Second)
		s.control(portStoreControl, `{"lose_permille": 0}`)
	})
	for outcome, n := range r.outcomes("bookings") {
		assert.Assert(t, outcome == "good" || outcome == "late", "%d bookings were %s", n, outcome)
	}
}

// Two failures at a time: the successor of a process that died during an outage recovers its ledgers when the store is
// back, and must not start tasks again that still run.
func TestKilledDuringStoreOutage(t *testing.T) {
	s := start(t)
	s.load(24, func() {
		s.control(portStoreControl, `{"outage": "hang"}`)
		time.Sleep(2 * time.Second)
		s.entries[0].signal(t, syscall.SIGKILL)
		<-s.entries[0].done
		s.entry(0)
		time.Sleep(sessionTTL)
		s.control(portStoreControl, `{"outage": "", "slow_ms": 50}`)
		s.awaitReady(0)
	})
}

// A graceful shutdown must cut off no request in flight and leave with exit code 0.
func TestDrainUnderLoad(t *testing.T) {
	s := start(t)
	r := s.load(8, func() {
		s.entries[2].signal(t, syscall.SIGTERM)
		<-s.entries[2].done
		assert.Equal(t, s.entries[2].cmd.ProcessState.ExitCode(), 0)
		s.entry(2)
		s.awaitReady(2)
	})
	for _, stream := range []string{"bookings", "invoices"} {
		for outcome, n := range r.outcomes(stream) {
			assert.Assert(t, outcome == "good" || outcome == "late" || outcome == "not_run", "%d %s were %s", n, stream, outcome)
		}
	}
}
