package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// A worker is flapping if it changed to leaving at least flapLimit times within flapWindow.
	flapWindow = time.Minute
	flapLimit  = 3
	// minLiveTime is how long a flapping worker must be listed as live without interruption until it is usable again.
	minLiveTime = 15 * time.Second
	// contactTTL is how long after a successful call an unlisted worker stays live.
	contactTTL = 10 * time.Second
	// removeAfter is the time after which a worker that is neither listed nor contacted is deleted. By then the leases of
	// its tasks have expired.
	removeAfter = 10 * time.Minute
	// The backoff after a failed call doubles from minBackoff to maxBackoff. When it ends, the worker may be given new
	// work, which shows whether it is reachable.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// agePrecision is the unit to which the age of the list is truncated.
	agePrecision = time.Millisecond
)

// host holds the state of one worker.
type host struct {
	info   fleet.Worker
	listed bool
	// leavingAt is the latest possible time of the newest list entry as leaving, or zero once a newer entry as live was
	// received. liveAt is the earliest possible time of the newest entry as live.
	leavingAt time.Time
	liveAt    time.Time
	// leavingTimes holds the times of receipt of recent changes to leaving.
	leavingTimes []time.Time
	liveSince    time.Time
	contactedAt  time.Time
	unlistedAt   time.Time
	backoff      time.Duration
	backoffUntil time.Time
	published    Status
}

// Machine is the state machine that determines the states of the workers known to one process.
//
// A worker listed as leaving stays in that state until a list that is certainly newer has it as live. The time of an
// entry is the time of the request minus the age of the list for a live entry, and the time of the answer minus the age
// for a leaving entry. A list that is older than the newest one only updates states: it changes neither the
// descriptions of workers nor which workers are listed.
type Machine struct {
	hosts    map[fleet.WorkerID]*host
	listTime time.Time
}

// New returns a machine without workers.
func New() *Machine {
	return &Machine{hosts: make(map[fleet.WorkerID]*host)}
}

// Step applies an event and returns the changed workers in the order of their ids.
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

// Workers returns every known worker with its state and reason, in the order of the ids.
func (m *Machine) Workers() []Status {
	all := make([]Status, 0, len(m.hosts))
	for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
		all = append(all, m.hosts[id].published)
	}
	return all
}

// ListTime returns the earliest possible time of the newest list, or zero if none was received.
func (m *Machine) ListTime() time.Time { return m.listTime }

// applyList applies a host list. Workers missing from it become unlisted unless the list is older than the newest one.
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

// applyState applies the state of a worker in a list. The list may be older than lists already applied: earliest and
// latest are the bounds of its time.
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

// startBackoff doubles the backoff after a failed call. Failures during a backoff have no effect.
func (h *host) startBackoff(now time.Time) {
	if now.Before(h.backoffUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.backoffUntil = now.Add(h.backoff)
}

// flapping reports whether the worker changed to leaving too often, so that a live entry is not trusted
// before the worker has been live for minLiveTime.
func (h *host) flapping(now time.Time) bool {
	h.leavingTimes = slices.DeleteFunc(h.leavingTimes, func(at time.Time) bool { return now.Sub(at) >= flapWindow })
	return len(h.leavingTimes) >= flapLimit && now.Sub(h.liveSince) < minLiveTime
}

// state returns the state of the worker and the reason. A state of leaving takes precedence over flapping, flapping
// over a failed call, and a failed call over the absence from the list.
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

// publish appends a [WorkerChanged] if the status differs from the published one.
func (h *host) publish(now time.Time, out []Effect) []Effect {
	state, reason := h.state(now)
	status := Status{Worker: h.info.WithState(state), Reason: reason}
	if status != h.published {
		h.published = status
		out = append(out, WorkerChanged{Worker: status.Worker, Reason: reason})
	}
	return out
}

// refresh deletes expired workers and returns the changes of all others.
func (m *Machine) refresh(now time.Time) []Effect {
	var out []Effect
	for id, h := range m.hosts {
		notContacted := now.Sub(h.contactedAt) >= removeAfter
		if !h.listed && notContacted && now.Sub(h.unlistedAt) >= removeAfter {
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
