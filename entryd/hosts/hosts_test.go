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

type source struct {
	mu    sync.Mutex
	state fleet.HostState
	err   error
}

func (s *source) set(state fleet.HostState, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.err = state, err
}

func (s *source) List(context.Context) (plat.HostList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return plat.HostList{Hosts: []fleet.Worker{{ID: "w", State: s.state}}}, s.err
}

// A subscriber that is not told of a leaving mark within 3 s would send work to a worker that goes; an outage of the
// list must not take away the workers that are known.
func TestSubscribersFollowTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{state: fleet.HostLive}
		v := hosts.New(s, slog.New(slog.DiscardHandler))
		var seen fleet.HostState
		v.Subscribe(func(workers []fleet.Worker) { seen = workers[0].State })
		ctx, cancel := context.WithCancel(t.Context())
		go v.Run(ctx)
		for _, want := range []fleet.HostState{fleet.HostLive, fleet.HostLeaving, fleet.HostLive} {
			s.set(want, nil)
			time.Sleep(3 * time.Second)
			synctest.Wait()
			assert.Equal(t, seen, want)
		}
		v.ReportUnreachable("w")
		synctest.Wait()
		assert.Equal(t, seen, fleet.HostSuspect)
		assert.Equal(t, v.Status()[0].Reason, member.ReasonUnreachable)
		v.ReportReachable("w")
		synctest.Wait()
		assert.Equal(t, seen, fleet.HostLive)
		s.set(fleet.HostLeaving, errors.New("down"))
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, seen, fleet.HostLive)
		late := fleet.HostState("")
		v.Subscribe(func(workers []fleet.Worker) { late = workers[0].State })
		assert.Equal(t, late, fleet.HostLive)
		cancel()
		synctest.Wait()
	})
}
