package stand

import (
	"slices"
	"time"
)

// leaderKey is the key that the elected scheduler writes under its lease; its other writes depend on that entry.
const leaderKey = "lovagefork/group/leader"

// election is a write of the leader's entry by a process.
type election struct {
	host *host
	life int
	at   time.Duration
}

// committed notes the elections among the transactions of the entry processes.
func (s *soak) committed(client string, keys []string) {
	if !slices.Contains(keys, leaderKey) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		if h.Name == client {
			e := election{host: h, life: h.currentLife(), at: time.Since(s.began)}
			s.elections = append(s.elections, e)
			s.record.addText(e.at, "elected "+client)
		}
	}
}

// scheduler returns the host whose running process holds the leader's entry, and the number of its election; nil and 0 if
// there is none.
func (s *soak) scheduler() (*host, int) {
	if !s.store.Has(leaderKey) {
		return nil, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	term := len(s.elections)
	if term == 0 {
		return nil, 0
	}
	last := s.elections[term-1]
	if !last.host.isRunning(last.life) {
		return nil, 0
	}
	return last.host, term
}
