package route

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy is the rule for selecting one of the eligible candidates: [TwoChoices], [Random], [RoundRobin] or
// [FixedSplit].
type Policy interface{ policy() }

// TwoChoices draws two candidates at random and takes the one with the lower product of outstanding requests and
// average latency.
type TwoChoices struct{}

// Random takes each candidate with equal probability. It is a baseline for comparisons.
type Random struct{}

// RoundRobin takes the candidates in rotation. It is a baseline for comparisons.
type RoundRobin struct{}

// FixedSplit assigns each entry process a fixed part of the servers, number Part (from zero) of Parts, and takes them
// in rotation. It is a baseline for comparisons.
type FixedSplit struct{ Part, Parts int }

func (TwoChoices) policy() {}
func (Random) policy()     {}
func (RoundRobin) policy() {}
func (FixedSplit) policy() {}

func (m *Machine) pickByPolicy(now time.Time, candidates []Candidate, locality string) Choice {
	switch p := m.policy.(type) {
	case Random:
		c := candidates[m.random.IntN(len(candidates))]
		return Choice{Worker: c.Worker, Reason: locality + ", random"}
	case RoundRobin:
		return Choice{Worker: m.nextInRotation(candidates).Worker, Reason: locality + ", round robin"}
	case FixedSplit:
		return Choice{Worker: m.nextInRotation(p.assigned(candidates)).Worker, Reason: locality + ", fixed split"}
	default:
		return m.pickOfTwo(now, candidates, locality)
	}
}

func (m *Machine) nextInRotation(candidates []Candidate) Candidate {
	m.rotation++
	return candidates[m.rotation%len(candidates)]
}

// assigned returns the candidates assigned to this process, or all candidates if there are none.
func (p FixedSplit) assigned(candidates []Candidate) []Candidate {
	var assigned []Candidate
	for _, c := range candidates {
		if xxhash.Sum64String(string(c.Worker))%uint64(max(1, p.Parts)) == uint64(p.Part) {
			assigned = append(assigned, c)
		}
	}
	if len(assigned) == 0 {
		return candidates
	}
	return assigned
}

func (m *Machine) pickOfTwo(now time.Time, candidates []Candidate, locality string) Choice {
	if len(candidates) == 1 {
		return Choice{Worker: candidates[0].Worker, Reason: locality + ", only candidate"}
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
		Reason: fmt.Sprintf("%s, score %s before %s of %s", locality, scoreA, scoreB, b.Worker),
	}
}

// score estimates the time to a response: the average latency for each outstanding request and for the new one.
func (m *Machine) score(now time.Time, c Candidate) time.Duration {
	s := m.workers[c.Worker]
	latency := s.expected(now, m.typicalLatency)
	if latency == 0 {
		// A server without samples is rated as average, so that it gets its share of requests but not all of them.
		latency = max(m.typicalLatency, time.Millisecond)
	}
	return time.Duration(s.outstanding+1) * latency
}
