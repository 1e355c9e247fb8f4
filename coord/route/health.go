package route

import (
	"time"
)

// Limits of outlier ejection.
const (
	// maxConsecutiveFailures is the number of consecutive failures after which a server is ejected.
	maxConsecutiveFailures = 3
	// slowFactor is the ratio of a server's average latency to the average of all servers above which it is an outlier.
	slowFactor = 10
	// minSlowLatency is the latency up to which no server is an outlier, so that servers of fast services are not ejected
	// for differences too small for callers to notice.
	minSlowLatency = 50 * time.Millisecond
	// minEjection and maxEjection bound the duration of an ejection, which doubles with each ejection in succession.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// maxEjectedShare limits the share of servers that are ejected: if more fail, the cause is not in the servers.
	maxEjectedShare = 0.5
)

// health is the ejection state of a server; probing is set while a test request is outstanding after an ejection.
type health struct {
	consecutiveFailures int
	ejected             bool
	ejectedUntil        time.Time
	ejections           int
	probing             bool
}

// accepts reports whether a request may be sent to the server. After an ejection, only one test request at a time may.
func (h *health) accepts(now time.Time) bool {
	return !h.ejected || (!now.Before(h.ejectedUntil) && !h.probing)
}

// updateHealth ejects or restores a server according to the end of a request.
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
	duration := min(maxEjection, minEjection<<min(s.ejections, 5))
	// The jitter spreads the test requests to servers that failed at the same time.
	duration += time.Duration(m.random.Int64N(int64(duration / 4)))
	s.ejected, s.ejectedUntil = true, now.Add(duration)
	s.ejections++
	return []Effect{Ejected{Worker: ev.Worker, For: duration, Reason: reason}}
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
