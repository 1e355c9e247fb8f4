package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/member"
	"lovagefork.example/coord/plat"
)

const id = fleet.WorkerID("a-w0")

func listed(sent time.Time, age time.Duration, state fleet.HostState) member.HostsListed {
	list := plat.HostList{AgeMS: age.Milliseconds()}
	if state != "" {
		list.Hosts = []fleet.Worker{{ID: id, State: state}}
	}
	return member.HostsListed{List: list, SentAt: sent}
}

func usable(m *member.Machine) bool {
	all := m.Workers()
	return len(all) == 1 && all[0].Usable()
}

// Guards against new work on a worker 3 s or more after it was listed as leaving, since the work would be lost when the
// worker leaves. States are listed with any lag, and answers arrive late and out of order.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		m := member.New()
		type mark struct {
			at    time.Time
			state fleet.HostState
		}
		history := []mark{{now, fleet.HostLive}}
		var live, leaving, leavingSeen time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				states := []fleet.HostState{fleet.HostLive, fleet.HostLeaving, ""}
				history = append(history, mark{now, rapid.SampledFrom(states).Draw(t, "state")})
			case 1:
				m.Step(now, member.Contacted{Worker: id})
			case 2:
				m.Step(now, member.Unreachable{Worker: id})
			case 3:
				m.Step(now, member.Tick{})
			default:
				entry := history[rapid.IntRange(max(0, len(history)-3), len(history)-1).Draw(t, "published")]
				transit := time.Duration(rapid.IntRange(0, 900).Draw(t, "transit")) * time.Millisecond
				// The age of the answer is determined at a time between request and receipt.
				sentAt := now.Add(-transit * time.Duration(rapid.IntRange(0, 10).Draw(t, "left")) / 10)
				if sentAt.Before(entry.at) {
					continue
				}
				m.Step(now, listed(now.Add(-transit), sentAt.Sub(entry.at), entry.state))
				switch {
				case entry.state == fleet.HostLive && entry.at.After(live):
					live = entry.at
				case entry.state == fleet.HostLeaving && entry.at.After(leaving):
					leaving = entry.at
				}
				switch {
				case !leaving.After(live):
					leavingSeen = time.Time{}
				case leavingSeen.IsZero():
					leavingSeen = now
				}
			}
			if !leavingSeen.IsZero() && now.Sub(leavingSeen) >= 3*time.Second {
				assert.Assert(t, !usable(m), "leaving since %v, now %v", leavingSeen, now)
			}
		}
	})
}

// Guards against a wrong state or reason: the cases cover the host list, the calls of this process, and the precedence
// between them.
func TestReasons(t *testing.T) {
	type at struct {
		after time.Duration
		ev    member.Event
	}
	mark := func(after time.Duration, state fleet.HostState) at { return at{after, listed(time.Time{}, 0, state)} }
	for name, c := range map[string]struct {
		events []at
		want   member.Reason
	}{
		"returns after a newer live mark": {[]at{mark(0, "live"), mark(5, "leaving"), mark(6, "live")}, member.ReasonListed},
		"leaves again after its return":   {[]at{mark(5, "leaving"), mark(6, "live"), mark(7, "leaving")}, member.ReasonLeaving},
		"unlisted while leaving":          {[]at{mark(5, "leaving"), mark(6, "")}, member.ReasonLeaving},
		"flaps": {
			[]at{mark(1, "leaving"), mark(2, "live"), mark(3, "leaving"), mark(4, "live"), mark(5, "leaving"), mark(6, "live")},
			member.ReasonFlapping,
		},
		"live for long after flapping": {
			[]at{mark(1, "leaving"), mark(2, "live"), mark(3, "leaving"), mark(4, "live"), mark(5, "leaving"), mark(6, "live"), {21, member.Tick{}}},
			member.ReasonListed,
		},
		"unreachable although listed": {[]at{mark(0, "live"), {1, member.Unreachable{Worker: id}}, mark(1, "live")}, member.ReasonUnreachable},
		"reachable again":             {[]at{mark(0, "live"), {1, member.Unreachable{Worker: id}}, {1, member.Contacted{Worker: id}}}, member.ReasonListed},
		"usable after the backoff":    {[]at{mark(0, "live"), {1, member.Unreachable{Worker: id}}, {2, member.Tick{}}}, member.ReasonListed},
		"contacted although unlisted": {[]at{mark(0, "live"), {1, member.Contacted{Worker: id}}, mark(2, "")}, member.ReasonListed},
		"unlisted":                    {[]at{mark(0, "live"), mark(20, "")}, member.ReasonUnlisted},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_800_000_000, 0)
			m := member.New()
			for _, e := range c.events {
				now := start.Add(e.after * time.Second)
				if l, ok := e.ev.(member.HostsListed); ok {
					l.SentAt = now
					e.ev = l
				}
				m.Step(now, e.ev)
			}
			assert.Equal(t, m.Workers()[0].Reason, c.want)
			assert.Equal(t, m.Workers()[0].Usable(), c.want == member.ReasonListed)
		})
	}
}

// Guards against a memory leak as hosts are replaced: a worker that is neither listed nor contacted must be deleted.
func TestUnlistedWorkersAreRemoved(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := member.New()
	m.Step(now, listed(now, 0, "live"))
	now = now.Add(time.Second)
	m.Step(now, listed(now, 0, ""))
	effects := m.Step(now.Add(10*time.Minute), member.Tick{})
	assert.Equal(t, len(m.Workers()), 0)
	assert.Assert(t, effects[0].(member.WorkerChanged).Removed)
}
