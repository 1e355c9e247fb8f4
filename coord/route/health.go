package route

import (
	"time"
)

// Limits of ejection.
const (
	// maxFailures is the number of failures in a row after which a server is ejected.
	maxFailures = 3
	// slowFactor is how much slower than the typical answer a server's average must be to count as an outlier.
	slowFactor = 10
	// minSlow keeps fast services from ejecting servers for differences that no caller notices.
	minSlow = 50 * time.Millisecond
	// minEjection and maxEjection bound the time of an ejection, which doubles each time.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// maxEjectedPart bounds the ejected part of all servers: when more than that fail, the cause lies elsewhere.
	maxEjectedPart = 0.5
)

// health is the ejection state of a server.
type health struct {
	failures  int
	ejected   bool
	until     time.Time
	ejections int
	probing   bool
}

// open reports whether requests may go to the server; after an ejection one at a time tests it.
func (h *health) open(now time.Time) bool {
	return !h.ejected || (!now.Before(h.until) && !h.probing)
}

func (m *Machine) judge(now time.Time, ev Ended, s *server) []Effect {
	slow := s.latency > max(minSlow, slowFactor*m.typical)
	if ev.Failed {
		s.failures++
	} else {
		s.failures = 0
	}
	if s.ejected && now.Before(s.until) {
		return nil
	}
	if s.ejected {
		s.probing = false
		if ev.Failed || (slow && ev.Latency > max(minSlow, slowFactor*m.typical)) {
			return m.eject(now, ev, s, "test request failed")
		}
		s.ejected = false
		s.latency = ev.Latency
		return []Effect{Restored{Worker: ev.Worker}}
	}
	switch {
	case s.failures >= maxFailures:
		return m.eject(now, ev, s, "failures in a row")
	case slow:
		return m.eject(now, ev, s, "slow outlier")
	case !ev.Failed && s.ejections > 0 && now.After(s.until.Add(maxEjection)):
		s.ejections = 0
	}
	return nil
}

func (m *Machine) eject(now time.Time, ev Ended, s *server, reason string) []Effect {
	if !s.ejected && float64(m.ejected()+1) > maxEjectedPart*float64(len(m.workers)) {
		return nil
	}
	length := min(maxEjection, minEjection<<min(s.ejections, 5))
	// Jitter keeps the tests of servers that failed together from coming together.
	length += time.Duration(m.random.Int64N(int64(length / 4)))
	s.ejected, s.until = true, now.Add(length)
	s.ejections++
	return []Effect{Ejected{Worker: ev.Worker, For: length, Reason: reason}}
}

func (m *Machine) ejected() int {
	n := 0
	for _, s := range m.workers {
		if s.ejected {
			n++
		}
	}
	return n
}
