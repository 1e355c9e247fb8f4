package serve

import (
	"net/http"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// maxBreaks is the number of servers that may break off a request, with no answer in between, before it is paused.
	// maxSharedBreaks is the same if other requests were broken off by other servers at the time, which suggests a common
	// cause.
	maxBreaks       = 3
	maxSharedBreaks = 10
	// breakWindow is how long a server counts as broken, and maxSingleBreaks the number of broken servers that do not
	// suggest a common cause.
	breakWindow     = 10 * time.Second
	maxSingleBreaks = 2
	// sameCrashTime is the time within which first attempts that one server breaks off are lost in one crash.
	sameCrashTime = 100 * time.Millisecond
	// minBreakPause and maxBreakPause bound the pause, which doubles if the request that tests its end is broken off.
	minBreakPause = 2 * time.Second
	maxBreakPause = 10 * time.Minute
	// maxSuspects limits the number of requests that are remembered, and suspicionTTL the time.
	maxSuspects  = 1024
	suspicionTTL = time.Hour
)

// content identifies equal requests.
type content struct {
	service fleet.ServiceID
	hash    uint64
}

func contentOf(r Request) content { return content{r.Service, r.Content} }

// suspicion counts the attempts of equal requests that were broken off since the last answer to one.
type suspicion struct {
	single, shared int
	pause          time.Duration
	pausedUntil    time.Time
	lastBreakAt    time.Time
}

// brokenServer is a server that has broken off requests since a time, with the last break of each.
type brokenServer struct {
	worker   fleet.WorkerID
	at       time.Time
	contents map[content]time.Time
}

// crashes finds the requests that crash the servers to which they are sent.
type crashes struct {
	suspects map[content]*suspicion
	broken   []brokenServer
}

// paused returns how long equal requests are not sent, or 0.
func (c *crashes) paused(now time.Time, r Request) time.Duration {
	if s := c.suspects[contentOf(r)]; s != nil {
		return max(0, s.pausedUntil.Sub(now))
	}
	return 0
}

// test extends the pause of equal requests if it is over, and reports whether it was: r is then the only one to be sent.
func (c *crashes) test(now time.Time, r Request) bool {
	s := c.suspects[contentOf(r)]
	if s == nil || s.pause == 0 || now.Before(s.pausedUntil) {
		return false
	}
	s.pausedUntil = now.Add(s.pause)
	return true
}

// answered clears the suspicion against a request.
func (c *crashes) answered(r Request) { delete(c.suspects, contentOf(r)) }

// brokenOff records that the server of a request has broken it off before its deadline.
func (c *crashes) brokenOff(now time.Time, r *request) {
	key, id := contentOf(r.Request), r.worker
	c.broken = slices.DeleteFunc(c.broken, func(b brokenServer) bool { return now.Sub(b.at) > breakWindow })
	at := slices.IndexFunc(c.broken, func(b brokenServer) bool { return b.worker == id })
	if at < 0 {
		at = len(c.broken)
		c.broken = append(c.broken, brokenServer{worker: id, at: now, contents: make(map[content]time.Time)})
	}
	last, again := c.broken[at].contents[key]
	c.broken[at].contents[key] = now
	if again && r.sends == 1 && now.Sub(last) < sameCrashTime {
		return
	}
	s := c.suspects[key]
	if s == nil {
		c.forget(now)
		if len(c.suspects) >= maxSuspects {
			return
		}
		s = &suspicion{}
		c.suspects[key] = s
	}
	s.lastBreakAt = now
	if len(c.broken) > maxSingleBreaks && slices.ContainsFunc(c.broken, func(b brokenServer) bool { return b.contents[key].IsZero() }) {
		s.shared++
	} else {
		s.single++
	}
	// Requests that were on their way together do not prolong the pause.
	if (s.single >= maxBreaks || s.single+s.shared >= maxSharedBreaks) && (s.pause == 0 || r.tests) {
		s.pause = min(max(minBreakPause, 2*s.pause), maxBreakPause)
		s.pausedUntil = now.Add(s.pause)
	}
}

// forget drops the suspicions without a recent break.
func (c *crashes) forget(now time.Time) {
	for key, s := range c.suspects {
		if now.Sub(s.lastBreakAt) > suspicionTTL {
			delete(c.suspects, key)
		}
	}
}

// rejectPaused ends a request that has crashed servers, and reports whether it did. The status keeps clients from
// repeating it elsewhere.
func (m *Machine) rejectPaused(now time.Time, r *request) ([]Effect, bool) {
	retryAfter := m.crashes.paused(now, r.Request)
	if retryAfter == 0 || r.tests {
		return nil, false
	}
	return m.finish(now, r, Response{
		ID: r.ID, Outcome: r.unansweredOutcome(), Reason: "breaks_servers", Status: http.StatusUnprocessableEntity, RetryAfter: retryAfter,
	}), true
}
