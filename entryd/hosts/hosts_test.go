package hosts_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/member"
	"lovagefork.example/coord/plat"
	"lovagefork.example/entryd/hosts"
)

type fakeLister struct {
	mu    sync.Mutex
	state fleet.HostState
	err   error
}

func (s *fakeLister) set(state fleet.HostState, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.err = state, err
}

func (s *fakeLister) List(context.Context) (plat.HostList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return plat.HostList{Hosts: []fleet.Worker{{ID: "w", State: s.state}}}, s.err
}

// Guards against a subscriber that is notified of a leaving worker later than 3 s: it would send new work to that
// worker. Also checks that an outage of the host list removes no known worker.
func TestSubscribersReceiveListChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLister{state: fleet.HostLive}
		w := hosts.New(s, slog.New(slog.DiscardHandler))
		var seen fleet.HostState
		w.Subscribe(func(workers []fleet.Worker) { seen = workers[0].State })
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		for _, want := range []fleet.HostState{fleet.HostLive, fleet.HostLeaving, fleet.HostLive} {
			s.set(want, nil)
			time.Sleep(3 * time.Second)
			synctest.Wait()
			assert.Equal(t, seen, want)
		}
		w.ReportUnreachable("w")
		synctest.Wait()
		assert.Equal(t, seen, fleet.HostSuspect)
		assert.Equal(t, w.Status()[0].Reason, member.ReasonUnreachable)
		w.ReportReachable("w")
		synctest.Wait()
		assert.Equal(t, seen, fleet.HostLive)
		s.set(fleet.HostLeaving, errors.New("down"))
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, seen, fleet.HostLive)
		lateState := fleet.HostState("")
		w.Subscribe(func(workers []fleet.Worker) { lateState = workers[0].State })
		assert.Equal(t, lateState, fleet.HostLive)
		cancel()
		synctest.Wait()
	})
}
