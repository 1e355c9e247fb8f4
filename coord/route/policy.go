package route

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy selects among eligible candidates: [TwoChoices], [Random], [RoundRobin] or [FixedSplit].
type Policy interface{ policy() }

// TwoChoices draws two candidates and takes the one with the lower product of outstanding requests and latency.
type TwoChoices struct{}

// Random takes any candidate with equal probability; a baseline.
type Random struct{}

// RoundRobin takes the candidates in turn; a baseline.
type RoundRobin struct{}

// FixedSplit gives every entry process its own fixed part of the servers, number Part of Parts, and takes them in turn;
// a baseline.
type FixedSplit struct{ Part, Parts int }

func (TwoChoices) policy() {}
func (Random) policy()     {}
func (RoundRobin) policy() {}
func (FixedSplit) policy() {}

func (m *Machine) pickByPolicy(now time.Time, candidates []Candidate, where string) Choice {
	switch p := m.policy.(type) {
	case Random:
		c := candidates[m.random.IntN(len(candidates))]
		return Choice{Worker: c.Worker, Reason: where + ", random"}
	case RoundRobin:
		return Choice{Worker: m.nextInRotation(candidates).Worker, Reason: where + ", round robin"}
	case FixedSplit:
		return Choice{Worker: m.nextInRotation(p.assigned(candidates)).Worker, Reason: where + ", fixed split"}
	default:
		return m.pickOfTwo(now, candidates, where)
	}
}

func (m *Machine) nextInRotation(candidates []Candidate) Candidate {
	m.rotation++
	return candidates[m.rotation%len(candidates)]
}

// part returns the candidates of this process, or all of them if none is left.
func (p FixedSplit) assigned(candidates []Candidate) []Candidate {
	var own []Candidate
	for _, c := range candidates {
		if xxhash.Sum64String(string(c.Worker))%uint64(max(1, p.Parts)) == uint64(p.Part) {
			own = append(own, c)
		}
	}
	if len(own) == 0 {
		return candidates
	}
	return own
}

func (m *Machine) pickOfTwo(now time.Time, candidates []Candidate, where string) Choice {
	if len(candidates) == 1 {
		return Choice{Worker: candidates[0].Worker, Reason: where + ", only candidate"}
	}
	i := m.random.IntN(len(candidates))
	j := m.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	a, b := candidates[i], candidates[j]
	scoreA, scoreB := m.score(now, a), m.score(now, b)
	if scoreB < scoreA {
		a, b, scoreA, scoreB = b, a, scoreB, scoreA
	}
	return Choice{
		Worker: a.Worker,
		Reason: fmt.Sprintf("%s, score %s before %s of %s", where, scoreA, scoreB, b.Worker),
	}
}

// score estimates the time to an answer: the latency once for each request ahead and for the new one.
func (m *Machine) score(now time.Time, c Candidate) time.Duration {
	s := m.workers[c.Worker]
	latency := s.expected(now, m.typicalLatency)
	if latency == 0 {
		// A server without samples counts as typical, so that it gets requests but not all of them.
		latency = max(m.typicalLatency, time.Millisecond)
	}
	return time.Duration(s.outstanding+1) * latency
}
