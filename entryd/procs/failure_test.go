package procs_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Kills an entry process and restarts it under load. Guards against work that runs twice, lost accepted jobs, and
// requests reported to callers as not run although they ran. The other processes and the restarted one must continue to
// serve.
func TestKilledEntryProcess(t *testing.T) {
	c := startCluster(t)
	r := c.runLoad(12, func() {
		c.entries[1].signal(t, syscall.SIGKILL)
		<-c.entries[1].done
		time.Sleep(5 * time.Second)
		c.startEntry(1)
		c.awaitReady(1)
	})
	assert.Assert(t, r.outcomes("bookings")["good"] > 0)
}

// Suspends an entry process until its leases have expired. Guards against a process that acts on expired leases when it
// resumes.
func TestPausedEntryProcess(t *testing.T) {
	c := startCluster(t)
	c.runLoad(18, func() {
		c.entries[0].signal(t, syscall.SIGSTOP)
		time.Sleep(sessionTTL + 2*time.Second)
		c.entries[0].signal(t, syscall.SIGCONT)
	})
	c.awaitReady(0)
}

// Interrupts the store, then lets it lose some responses. Idempotent requests do not depend on the store and must
// complete. All other work may be rejected during the outage, but must be neither lost nor repeated.
func TestStoreOutage(t *testing.T) {
	c := startCluster(t)
	r := c.runLoad(20, func() {
		c.postControl(portStoreControl, `{"outage": "break"}`)
		time.Sleep(sessionTTL + 2*time.Second)
		c.postControl(portStoreControl, `{"outage": "", "lose_permille": 100}`)
		time.Sleep(3 * time.Second)
		c.postControl(portStoreControl, `{"lose_permille": 0}`)
	})
	for outcome, n := range r.outcomes("bookings") {
		assert.Assert(t, outcome == "good" || outcome == "late", "%d bookings were %s", n, outcome)
	}
}

// Kills and restarts an entry process during a store outage. The new process recovers the ledgers when the store is
// available again. Guards against restarting tasks that are still running.
func TestKilledDuringStoreOutage(t *testing.T) {
	c := startCluster(t)
	c.runLoad(24, func() {
		c.postControl(portStoreControl, `{"outage": "hang"}`)
		time.Sleep(2 * time.Second)
		c.entries[0].signal(t, syscall.SIGKILL)
		<-c.entries[0].done
		c.startEntry(0)
		time.Sleep(sessionTTL)
		c.postControl(portStoreControl, `{"outage": "", "slow_ms": 50}`)
		c.awaitReady(0)
	})
}

// Simulates the loss of an availability zone with its entry process. Requests must still be served in the other zones,
// and every accepted job must complete exactly once, after the leases of the lost tasks have expired.
func TestLostAvailabilityZone(t *testing.T) {
	testZoneLoss(t, `{"dead": true, "list_state": "gone"}`)
}

// Simulates the loss of an availability zone while the host list still lists its workers as live. Guards against jobs
// that wait for these workers forever.
func TestLostAvailabilityZoneStillListed(t *testing.T) {
	testZoneLoss(t, `{"dead": true}`)
}

func testZoneLoss(t *testing.T, fault string) {
	c := startCluster(t)
	r := c.runLoad(12, func() {
		c.postControl(portWorkersControl, fmt.Sprintf(`{"workers": {"b-w0": %[1]s, "b-w1": %[1]s, "b-w2": %[1]s, "b-w3": %[1]s}}`, fault))
		c.postControl(portBackendsControl, `{"servers": {"b-w0": {"down": true}, "b-w1": {"down": true}, "b-w2": {"down": true}, "b-w3": {"down": true}}}`)
		c.entries[1].signal(t, syscall.SIGKILL)
	})
	assert.Assert(t, r.outcomes("bookings")["good"] > 0)
}

// Guards against requests that are still routed to a leaving backend server, and against a server that is not used again
// after its return. Replicas that were moved do not return by themselves, so the other servers of the availability zone
// leave then, which leaves them only this one.
func TestLeavingBackendServer(t *testing.T) {
	c := startCluster(t)
	requests := func() int64 {
		var state struct {
			Counters map[string]struct {
				Requests int64 `json:"requests"`
			} `json:"counters"`
		}
		assert.NilError(t, c.get("http://"+c.address(portBackendsControl, 0)+"/control", &state))
		return state.Counters["b-w0"].Requests
	}
	c.runLoad(20, func() {
		c.await("requests at b-w0", func() bool { return requests() > 0 })
		c.postControl(portWorkersControl, `{"workers": {"b-w0": {"list_state": "leaving"}}}`)
		var before int64
		c.await("b-w0 to get no more requests", func() bool {
			before = requests()
			time.Sleep(2 * time.Second)
			return requests() == before
		})
		c.postControl(portWorkersControl, `{"workers": {"b-w0": {}, "b-w1": {"list_state": "leaving"}, "b-w2": {"list_state": "leaving"}, "b-w3": {"list_state": "leaving"}}}`)
		c.await("new requests at b-w0", func() bool { return requests() > before })
	})
}

// Guards against a graceful shutdown that interrupts requests in flight or exits with a code other than 0.
func TestDrainUnderLoad(t *testing.T) {
	c := startCluster(t)
	r := c.runLoad(8, func() {
		c.entries[2].signal(t, syscall.SIGTERM)
		<-c.entries[2].done
		assert.Equal(t, c.entries[2].cmd.ProcessState.ExitCode(), 0)
		c.startEntry(2)
		c.awaitReady(2)
	})
	for _, stream := range []string{"bookings", "invoices"} {
		for outcome, n := range r.outcomes(stream) {
			assert.Assert(t, outcome == "good" || outcome == "late" || outcome == "not_run", "%d %s were %s", n, stream, outcome)
		}
	}
}
