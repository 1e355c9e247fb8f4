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
	calmTime = 15 * time.Second
	// contactTime is how long a direct contact outweighs the absence of a worker from the list.
	contactTime = 10 * time.Second
	// forgetTime is how long a worker is kept that is neither listed nor reachable; its tasks' leases have lapsed by then.
	forgetTime = 10 * time.Minute
	// The hold after a failed contact doubles from holdMin to holdMax; after it, new work probes the worker.
	holdMin = time.Second
	holdMax = 30 * time.Second
	// ageUnit is the precision of the list's age, which is cut off.
	ageUnit = time.Millisecond
)

// host is what is known of one worker.
type host struct {
	info   fleet.Worker
	listed bool
	// left is the latest time that the newest leaving mark can stem from; zero if a newer live mark was seen. live is the
	// earliest time that the newest live mark can stem from.
	left time.Time
	live time.Time
	// marks are the times of receipt of recent leaving marks that followed a live mark.
	marks     []time.Time
	liveSince time.Time
	contacted time.Time
	gone      time.Time
	hold      time.Duration
	heldUntil time.Time
	shown     Status
}

// Machine holds the workers that one process knows.
//
// A leaving mark holds until a live mark that is surely newer: the list's age is subtracted from the time of the request
// for a live mark and from the time of the answer for a leaving mark. A list older than the newest one counts only for its
// leaving marks.
type Machine struct {
	hosts  map[fleet.WorkerID]*host
	newest time.Time
}

// New returns a machine that knows no worker.
func New() *Machine {
	return &Machine{hosts: make(map[fleet.WorkerID]*host)}
}

// Step applies one event and returns what changed, in the order of the workers' names.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case HostListed:
		m.list(now, ev)
	case Contacted:
		if h := m.hosts[ev.Worker]; h != nil {
			h.contacted, h.hold, h.heldUntil = now, 0, time.Time{}
			return h.show(now, nil)
		}
		return nil
	case Unreachable:
		if h := m.hosts[ev.Worker]; h != nil {
			h.fail(now)
			return h.show(now, nil)
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
		all = append(all, m.hosts[id].shown)
	}
	return all
}

// Newest returns the time from which the newest list stems, or zero.
func (m *Machine) Newest() time.Time { return m.newest }

func (m *Machine) list(now time.Time, ev HostListed) {
	earliest, latest := ev.Sent.Add(-ev.List.Age()-ageUnit), now.Add(-ev.List.Age())
	current := !latest.Before(m.newest)
	if earliest.After(m.newest) {
		m.newest = earliest
	}
	seen := make(map[fleet.WorkerID]struct{}, len(ev.List.Hosts))
	for _, info := range ev.List.Hosts {
		seen[info.ID] = struct{}{}
		h := m.hosts[info.ID]
		if h == nil {
			h = &host{info: info, listed: current, gone: now, liveSince: now}
			m.hosts[info.ID] = h
		}
		h.mark(now, info.State, earliest, latest)
		if current {
			h.info, h.listed = info, true
		}
	}
	for id, h := range m.hosts {
		if _, ok := seen[id]; !ok && h.listed && current {
			h.listed, h.gone = false, now
		}
	}
}

// mark applies a worker's mark in a list, which may be older than lists already seen.
func (h *host) mark(now time.Time, state fleet.HostState, earliest, latest time.Time) {
	switch {
	case state != fleet.HostLive && latest.Before(h.live):
	case state != fleet.HostLive:
		if h.left.IsZero() {
			h.marks = append(h.marks, now)
		}
		h.left = later(h.left, latest)
	case h.left.IsZero():
		h.live = later(h.live, earliest)
	case earliest.After(h.left):
		h.live, h.left, h.liveSince = earliest, time.Time{}, now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (h *host) fail(now time.Time) {
	if now.Before(h.heldUntil) {
		return
	}
	h.hold = min(max(2*h.hold, holdMin), holdMax)
	h.heldUntil = now.Add(h.hold)
}

// flapping reports whether the worker was marked as leaving too often to trust its newest live mark yet.
func (h *host) flapping(now time.Time) bool {
	h.marks = slices.DeleteFunc(h.marks, func(at time.Time) bool { return now.Sub(at) >= flapWindow })
	return len(h.marks) >= flapLimit && now.Sub(h.liveSince) < calmTime
}

func (h *host) state(now time.Time) (fleet.HostState, Reason) {
	switch {
	case !h.left.IsZero():
		return fleet.HostLeaving, ReasonLeaving
	case h.flapping(now):
		return fleet.HostLeaving, ReasonFlapping
	case now.Before(h.heldUntil):
		return fleet.HostSuspect, ReasonUnreachable
	case !h.listed && (h.contacted.IsZero() || now.Sub(h.contacted) >= contactTime):
		return fleet.HostSuspect, ReasonUnlisted
	}
	return fleet.HostLive, ReasonListed
}

func (h *host) show(now time.Time, out []Effect) []Effect {
	state, reason := h.state(now)
	status := Status{Worker: h.info.WithState(state), Reason: reason}
	if status != h.shown {
		h.shown = status
		out = append(out, Changed{Worker: status.Worker, Reason: reason})
	}
	return out
}

func (m *Machine) refresh(now time.Time) []Effect {
	var out []Effect
	for id, h := range m.hosts {
		quiet := now.Sub(h.contacted) >= forgetTime
		if !h.listed && quiet && now.Sub(h.gone) >= forgetTime {
			delete(m.hosts, id)
			out = append(out, Changed{Worker: h.shown.Worker, Reason: ReasonUnlisted, Forgotten: true})
			continue
		}
		out = h.show(now, out)
	}
	slices.SortFunc(out, func(a, b Effect) int {
		return cmp.Compare(a.(Changed).Worker.ID, b.(Changed).Worker.ID)
	})
	return out
}
