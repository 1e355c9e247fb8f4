package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// flapWindow is how long a leaving mark counts as recent; flapLimit recent marks make a worker flapping.
	flapWindow = time.Minute
	flapLimit  = 3
	// calmTime is how long a flapping worker must be marked live without a break.
	minLiveTime = 15 * time.Second
	// contactTime is how long a direct contact outweighs the absence of a worker from the list.
	contactTTL = 10 * time.Second
	// forgetTime is how long a worker is kept that is neither listed nor reachable; its tasks' leases have lapsed by then.
	removeAfter = 10 * time.Minute
	// The hold after a failed contact doubles from holdMin to holdMax; after it, new work probes the worker.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// ageUnit is the precision of the list's age, which is cut off.
	agePrecision = time.Millisecond
)

// host is what is known of one worker.
type host struct {
	info   fleet.Worker
	listed bool
	// left is the latest time that the newest leaving mark can stem from; zero if a newer live mark was seen. live is the
	// earliest time that the newest live mark can stem from.
	leavingAt time.Time
	liveAt time.Time
	// marks are the times of receipt of recent leaving marks that followed a live mark.
	leavingTimes     []time.Time
	liveSince time.Time
	contactedAt time.Time
	unlistedAt      time.Time
	backoff      time.Duration
	backoffUntil time.Time
	published     Status
}

// Machine holds the workers that one process knows.
//
// A leaving mark holds until a live mark that is surely newer: the list's age is subtracted from the time of the request
// for a live mark and from the time of the answer for a leaving mark. A list older than the newest one counts only for its
// leaving marks.
type Machine struct {
	hosts  map[fleet.WorkerID]*host
	listTime time.Time
}

// New returns a machine that knows no worker.
func New() *Machine {
	return &Machine{hosts: make(map[fleet.WorkerID]*host)}
}

// Step applies one event and returns what changed, in the order of the workers' names.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case HostsListed:
		m.applyList(now, ev)
	case Contacted:
		if h := m.hosts[ev.Worker]; h != nil {
			h.contactedAt, h.backoff, h.backoffUntil = now, 0, time.Time{}
			return h.publish(now, nil)
		}
		return nil
	case Unreachable:
		if h := m.hosts[ev.Worker]; h != nil {
			h.startBackoff(now)
			return h.publish(now, nil)
		}
		return nil
	case Tick:
	}
	return m.refresh(now)
}

// Workers returns every known worker with its state and reason, in the order of their names.
func (m *Machine) Workers() []Status {
	all := make([]Status, 0, len(m.hosts))
	for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
		all = append(all, m.hosts[id].published)
	}
	return all
}

// Newest returns the time from which the newest list stems, or zero.
func (m *Machine) ListTime() time.Time { return m.listTime }

func (m *Machine) applyList(now time.Time, ev HostsListed) {
	earliest, latest := ev.SentAt.Add(-ev.List.Age()-agePrecision), now.Add(-ev.List.Age())
	current := !latest.Before(m.listTime)
	if earliest.After(m.listTime) {
		m.listTime = earliest
	}
	seen := make(map[fleet.WorkerID]struct{}, len(ev.List.Hosts))
	for _, info := range ev.List.Hosts {
		seen[info.ID] = struct{}{}
		h := m.hosts[info.ID]
		if h == nil {
			h = &host{info: info, listed: current, unlistedAt: now, liveSince: now}
			m.hosts[info.ID] = h
		}
		h.applyState(now, info.State, earliest, latest)
		if current {
			h.info, h.listed = info, true
		}
	}
	for id, h := range m.hosts {
		if _, ok := seen[id]; !ok && h.listed && current {
			h.listed, h.unlistedAt = false, now
		}
	}
}

// mark applies a worker's mark in a list, which may be older than lists already seen.
func (h *host) applyState(now time.Time, state fleet.HostState, earliest, latest time.Time) {
	switch {
	case state != fleet.HostLive && latest.Before(h.liveAt):
	case state != fleet.HostLive:
		if h.leavingAt.IsZero() {
			h.leavingTimes = append(h.leavingTimes, now)
		}
		h.leavingAt = later(h.leavingAt, latest)
	case h.leavingAt.IsZero():
		h.liveAt = later(h.liveAt, earliest)
	case earliest.After(h.leavingAt):
		h.liveAt, h.leavingAt, h.liveSince = earliest, time.Time{}, now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (h *host) startBackoff(now time.Time) {
	if now.Before(h.backoffUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.backoffUntil = now.Add(h.backoff)
}

// flapping reports whether the worker was marked as leaving too often to trust its newest live mark yet.
func (h *host) flapping(now time.Time) bool {
	h.leavingTimes = slices.DeleteFunc(h.leavingTimes, func(at time.Time) bool { return now.Sub(at) >= flapWindow })
	return len(h.leavingTimes) >= flapLimit && now.Sub(h.liveSince) < minLiveTime
}

func (h *host) state(now time.Time) (fleet.HostState, Reason) {
	switch {
	case !h.leavingAt.IsZero():
		return fleet.HostLeaving, ReasonLeaving
	case h.flapping(now):
		return fleet.HostLeaving, ReasonFlapping
	case now.Before(h.backoffUntil):
		return fleet.HostSuspect, ReasonUnreachable
	case !h.listed && (h.contactedAt.IsZero() || now.Sub(h.contactedAt) >= contactTTL):
		return fleet.HostSuspect, ReasonUnlisted
	}
	return fleet.HostLive, ReasonListed
}

func (h *host) publish(now time.Time, out []Effect) []Effect {
	state, reason := h.state(now)
	status := Status{Worker: h.info.WithState(state), Reason: reason}
	if status != h.published {
		h.published = status
		out = append(out, WorkerChanged{Worker: status.Worker, Reason: reason})
	}
	return out
}

func (m *Machine) refresh(now time.Time) []Effect {
	var out []Effect
	for id, h := range m.hosts {
		quiet := now.Sub(h.contactedAt) >= removeAfter
		if !h.listed && quiet && now.Sub(h.unlistedAt) >= removeAfter {
			delete(m.hosts, id)
			out = append(out, WorkerChanged{Worker: h.published.Worker, Reason: ReasonUnlisted, Removed: true})
			continue
		}
		out = h.publish(now, out)
	}
	slices.SortFunc(out, func(a, b Effect) int {
		return cmp.Compare(a.(WorkerChanged).Worker.ID, b.(WorkerChanged).Worker.ID)
	})
	return out
}
