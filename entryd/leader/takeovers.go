package leader

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lovagefork.example/coord/flow"
)

// maxTakeovers is the number of the latest elections that are remembered.
const maxTakeovers = 32

// takeoverHistory records when this process has observed the latest elections. The events themselves were earlier, so that a
// wait that is counted from here is never too short. It is safe for concurrent use.
type takeoverHistory struct {
	mu     sync.Mutex
	byTerm map[int64]observedTakeover
}

// observedTakeover holds when an election was observed, and when its record was first seen to say that the workers reject
// earlier schedulers; that is zero if it was not.
type observedTakeover struct{ electedAt, fencedAt time.Time }

func newTakeoverHistory() *takeoverHistory {
	return &takeoverHistory{byTerm: make(map[int64]observedTakeover)}
}

// observe notes the election of a term.
func (h *takeoverHistory) observe(term int64, isFenced bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := Now()
	t, found := h.byTerm[term]
	if !found {
		t.electedAt = now
	}
	if isFenced && t.fencedAt.IsZero() {
		t.fencedAt = now
	}
	h.byTerm[term] = t
	for len(h.byTerm) > maxTakeovers {
		delete(h.byTerm, slices.Min(slices.Collect(maps.Keys(h.byTerm))))
	}
}

// hasStopped reports whether the leader of a term can act no longer: it cannot longer than leadershipTimeout after a later election.
// The clocks of two hosts may differ in rate.
func (h *takeoverHistory) hasStopped(term int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	latest := Now().Add(-leadershipTimeout - leadershipTimeout/20)
	for later, seen := range h.byTerm {
		if later > term && !seen.electedAt.After(latest) {
			return true
		}
	}
	return false
}

// takeovers returns the recorded elections in the form of the state machine.
func (h *takeoverHistory) takeovers() []flow.Takeover {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := Now()
	out := make([]flow.Takeover, 0, len(h.byTerm))
	for _, term := range slices.Sorted(maps.Keys(h.byTerm)) {
		seen := h.byTerm[term]
		t := flow.Takeover{Term: term, ElectedAgo: now.Sub(seen.electedAt)}
		if !seen.fencedAt.IsZero() {
			t.IsFenced, t.FencedAgo = true, now.Sub(seen.fencedAt)
		}
		out = append(out, t)
	}
	return out
}
