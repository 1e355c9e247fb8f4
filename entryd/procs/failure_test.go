package procs_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The death of an entry process must not run anything twice, lose an accepted job, or tell a caller that a request was not
// run that was; the others and its successor go on.
func TestKilledEntryProcess(t *testing.T) {
	s := startCluster(t)
	r := s.runLoad(12, func() {
		s.entries[1].signal(t, syscall.SIGKILL)
		<-s.entries[1].done
		time.Sleep(5 * time.Second)
		s.startEntry(1)
		s.awaitReady(1)
	})
	assert.Assert(t, r.outcomes("bookings")["good"] > 0)
}

// A process that is paused past its leases must not act on them when it continues.
func TestPausedEntryProcess(t *testing.T) {
	s := startCluster(t)
	s.runLoad(18, func() {
		s.entries[0].signal(t, syscall.SIGSTOP)
		time.Sleep(sessionTTL + 2*time.Second)
		s.entries[0].signal(t, syscall.SIGCONT)
	})
	s.awaitReady(0)
}

// Idempotent requests need no store; everything else may be refused during an outage, but never lost or repeated.
func TestStoreOutage(t *testing.T) {
	s := startCluster(t)
	r := s.runLoad(20, func() {
		s.postControl(portStoreControl, `{"outage": "break"}`)
		time.Sleep(sessionTTL + 2*time.Second)
		s.postControl(portStoreControl, `{"outage": "", "lose_permille": 100}`)
		time.Sleep(3 * time.Second)
		s.postControl(portStoreControl, `{"lose_permille": 0}`)
	})
	for outcome, n := range r.outcomes("bookings") {
		assert.Assert(t, outcome == "good" || outcome == "late", "%d bookings were %s", n, outcome)
	}
}

// Two failures at a time: the successor of a process that died during an outage recovers its ledgers when the store is
// back, and must not start tasks again that still run.
func TestKilledDuringStoreOutage(t *testing.T) {
	s := startCluster(t)
	s.runLoad(24, func() {
		s.postControl(portStoreControl, `{"outage": "hang"}`)
		time.Sleep(2 * time.Second)
		s.entries[0].signal(t, syscall.SIGKILL)
		<-s.entries[0].done
		s.startEntry(0)
		time.Sleep(sessionTTL)
		s.postControl(portStoreControl, `{"outage": "", "slow_ms": 50}`)
		s.awaitReady(0)
	})
}

// The loss of an availability zone, its entry process included, must leave the requests to the other zones and let every
// accepted job finish once, after the leases of the lost tasks.
func TestLostAvailabilityZone(t *testing.T) {
	testZoneLoss(t, `{"dead": true, "list_state": "gone"}`)
}

// A host list that goes on to show the lost workers as live must not keep their jobs waiting.
func TestLostAvailabilityZoneStillListed(t *testing.T) {
	testZoneLoss(t, `{"dead": true}`)
}

func testZoneLoss(t *testing.T, fault string) {
	s := startCluster(t)
	r := s.runLoad(12, func() {
		s.postControl(portWorkersControl, fmt.Sprintf(`{"workers": {"b-w0": %[1]s, "b-w1": %[1]s, "b-w2": %[1]s, "b-w3": %[1]s}}`, fault))
		s.postControl(portBackendsControl, `{"servers": {"b-w0": {"down": true}, "b-w1": {"down": true}, "b-w2": {"down": true}, "b-w3": {"down": true}}}`)
		s.entries[1].signal(t, syscall.SIGKILL)
	})
	assert.Assert(t, r.outcomes("bookings")["good"] > 0)
}

// A backend server that leaves must soon get no new request, and get them again when it is back.
func TestLeavingBackendServer(t *testing.T) {
	s := startCluster(t)
	requests := func() int64 {
		var page struct {
			Counters map[string]struct {
				Requests int64 `json:"requests"`
			} `json:"counters"`
		}
		assert.NilError(t, s.get("http://"+s.address(portBackendsControl, 0)+"/control", &page))
		return page.Counters["b-w0"].Requests
	}
	s.runLoad(20, func() {
		s.await("requests at b-w0", func() bool { return requests() > 0 })
		s.postControl(portWorkersControl, `{"workers": {"b-w0": {"list_state": "leaving"}}}`)
		before := requests()
		s.await("b-w0 without new requests", func() bool {
			last := before
			before = requests()
			time.Sleep(2 * time.Second)
			return before == last
		})
		s.postControl(portWorkersControl, `{"workers": {"b-w0": {}}}`)
		s.await("new requests at b-w0", func() bool { return requests() > before })
	})
}

// A graceful shutdown must cut off no request in flight and leave with exit code 0.
func TestDrainUnderLoad(t *testing.T) {
	s := startCluster(t)
	r := s.runLoad(8, func() {
		s.entries[2].signal(t, syscall.SIGTERM)
		<-s.entries[2].done
		assert.Equal(t, s.entries[2].cmd.ProcessState.ExitCode(), 0)
		s.startEntry(2)
		s.awaitReady(2)
	})
	for _, stream := range []string{"bookings", "invoices"} {
		for outcome, n := range r.outcomes(stream) {
			assert.Assert(t, outcome == "good" || outcome == "late" || outcome == "not_run", "%d %s were %s", n, stream, outcome)
		}
	}
}
