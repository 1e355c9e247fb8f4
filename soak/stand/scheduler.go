package stand

import (
	"bytes"
	"os"
	"path/filepath"
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

// observedLeadership is the number of seconds of a leadership whose starts are reported.
const observedLeadership = 15

// Leadership is what a scheduler did after its election.
type Leadership struct {
	Host     string        `json:"host"`
	LinkMbps float64       `json:"link_mbps,omitempty"`
	At       time.Duration `json:"at_ns"`
	// StartsPerSecond counts the starts that workers saw in each second from the election on, until the next one.
	StartsPerSecond []int `json:"starts_per_second"`
}

// leaderships returns what the elected schedulers did. The caller holds the lock.
func (s *soak) leaderships() (out []Leadership) {
	for i, e := range s.elections {
		end := time.Since(s.began)
		if i+1 < len(s.elections) {
			end = s.elections[i+1].at
		}
		seconds := min(observedLeadership, 1+int((end-e.at)/time.Second))
		out = append(out, Leadership{
			Host: e.host.Name, LinkMbps: s.plan.Group(e.host.group).LinkMbps, At: e.at, StartsPerSecond: s.checker.StartsPerSecond(e.at, seconds),
		})
	}
	return out
}

// unansweredText is in the log line of a start that its worker did not answer in time.
const unansweredText = `"start not answered"`

// countUnanswered returns the number of starts without an answer in the logs in a directory.
func countUnanswered(dir string) (count int, err error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return 0, err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return 0, err
		}
		count += bytes.Count(text, []byte(unansweredText))
	}
	return count, nil
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
