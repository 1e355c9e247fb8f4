package route

import (
	"time"
)

// Limits of ejection.
const (
	// maxFailures is the number of failures in a row after which a server is ejected.
	maxConsecutiveFailures = 3
	// slowFactor is how much slower than the typical answer a server's average must be to count as an outlier.
	slowFactor = 10
	// minSlow keeps fast services from ejecting servers for differences that no caller notices.
	minSlowLatency = 50 * time.Millisecond
	// minEjection and maxEjection bound the time of an ejection, which doubles each time.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// maxEjectedPart bounds the ejected part of all servers: when more than that fail, the cause lies elsewhere.
	maxEjectedShare = 0.5
)

// health is the ejection state of a server.
type health struct {
	consecutiveFailures  int
	ejected   bool
	ejectedUntil     time.Time
	ejections int
	probing   bool
}

// open reports whether requests may go to the server; after an ejection one at a time tests it.
func (h *health) accepts(now time.Time) bool {
	return !h.ejected || (!now.Before(h.ejectedUntil) && !h.probing)
}

func (m *Machine) updateHealth(now time.Time, ev Ended, s *server) []Effect {
	slow := s.latency > max(minSlowLatency, slowFactor*m.typicalLatency)
	if ev.Failed {
		s.consecutiveFailures++
	} else {
		s.consecutiveFailures = 0
	}
	if s.ejected && now.Before(s.ejectedUntil) {
		return nil
	}
	if s.ejected {
		s.probing = false
		if ev.Failed || (slow && ev.Latency > max(minSlowLatency, slowFactor*m.typicalLatency)) {
			return m.eject(now, ev, s, "test request failed")
		}
		s.ejected = false
		s.latency = ev.Latency
		return []Effect{Restored{Worker: ev.Worker}}
	}
	switch {
	case s.consecutiveFailures >= maxConsecutiveFailures:
		return m.eject(now, ev, s, "failures in a row")
	case slow:
		return m.eject(now, ev, s, "slow outlier")
	case !ev.Failed && s.ejections > 0 && now.After(s.ejectedUntil.Add(maxEjection)):
		s.ejections = 0
	}
	return nil
}

func (m *Machine) eject(now time.Time, ev Ended, s *server, reason string) []Effect {
	if !s.ejected && float64(m.countEjected()+1) > maxEjectedShare*float64(len(m.workers)) {
		return nil
	}
	length := min(maxEjection, minEjection<<min(s.ejections, 5))
	// Jitter keeps the tests of servers that failed together from coming together.
	length += time.Duration(m.random.Int64N(int64(length / 4)))
	s.ejected, s.ejectedUntil = true, now.Add(length)
	s.ejections++
	return []Effect{Ejected{Worker: ev.Worker, For: length, Reason: reason}}
}

func (m *Machine) countEjected() int {
	n := 0
	for _, s := range m.workers {
		if s.ejected {
			n++
		}
	}
	return n
}
