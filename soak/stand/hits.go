package stand

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lovagefork.example/soak/plan"
)

// ofScheduler is the value of [Hits.Of] for faults that aim at the scheduler.
const ofScheduler = "scheduler"

// maxTakeover is the time within which another scheduler is elected after the end of one, also if the store was down meanwhile.
const maxTakeover = 20 * time.Second

// Hits counts the targets at which the faults of a kind have aimed.
type Hits struct {
	Kind plan.Kind `json:"kind"`
	// Of is what the targets had to be: the scheduler, or workers that faults of another kind disturbed. It is empty if any
	// target would do.
	Of string `json:"of,omitempty"`
	// Faults counts the faults, and Missed those of them that struck no target.
	Faults int `json:"faults"`
	Missed int `json:"missed"`
	// Aimed counts the targets, and Struck those that the fault has disturbed as it was meant to.
	Aimed  int `json:"aimed"`
	Struck int `json:"struck"`
}

// String returns the counts in a few words.
func (h Hits) String() string {
	text := string(h.Kind)
	if h.Of != "" {
		text += " of " + h.Of
	}
	text += fmt.Sprintf(" %d/%d", h.Struck, h.Aimed)
	if h.Missed > 0 {
		text += fmt.Sprintf(" (%d of %d faults missed)", h.Missed, h.Faults)
	}
	return text
}

// strike is what one fault has done to the targets of one sort.
type strike struct {
	kind   plan.Kind
	of     string
	aimed  int
	struck int
	// term is the number of the election that a successful fault ends; it counts only if another one follows. 0 if it ends none.
	term int
	at   time.Duration
}

// noteStrike keeps what a fault has done.
func (s *soak) noteStrike(hit strike) {
	if hit.aimed == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strikes = append(s.strikes, hit)
}

// noteHosts keeps which of the chosen hosts a fault has struck, at a time; term is the one of chooseHosts.
func (s *soak) noteHosts(f plan.Fault, at time.Duration, term int, isStruck []bool) {
	count := func(hosts []bool) (n int) {
		for _, struck := range hosts {
			if struck {
				n++
			}
		}
		return n
	}
	others, aimed := isStruck, f.Count
	if f.OnLeader && f.Count > 0 {
		hit := strike{kind: f.Kind, of: ofScheduler, aimed: 1, at: at}
		if term > 0 {
			hit.struck = count(isStruck[:1])
		}
		if f.Kind == plan.HostKill || f.Kind == plan.HostStop || f.Kind == plan.HostLoss || f.Kind == plan.HostDark {
			hit.term = term
		}
		s.noteStrike(hit)
		others, aimed = isStruck[1:], f.Count-1
	}
	s.noteStrike(strike{kind: f.Kind, aimed: aimed, struck: count(others)})
}

// countHits sums the strikes up. The caller holds the lock.
func (s *soak) countHits() (out []Hits) {
	for _, hit := range s.strikes {
		if hit.term > 0 && !s.isSucceeded(hit) {
			hit.struck = 0
		}
		i := slices.IndexFunc(out, func(h Hits) bool { return h.Kind == hit.kind && h.Of == hit.of })
		if i < 0 {
			i = len(out)
			out = append(out, Hits{Kind: hit.kind, Of: hit.of})
		}
		out[i].Faults++
		out[i].Aimed += hit.aimed
		out[i].Struck += hit.struck
		if hit.struck == 0 {
			out[i].Missed++
		}
	}
	slices.SortFunc(out, func(a, b Hits) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Of, b.Of)) })
	return out
}

// isSucceeded reports whether an election has followed the one that a strike has ended.
func (s *soak) isSucceeded(hit strike) bool {
	return len(s.elections) > hit.term && s.elections[hit.term].at <= hit.at+maxTakeover
}
