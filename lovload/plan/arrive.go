package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request, job or fault at its intended time from the start; Index is its position in the plan's list.
type Arrival struct {
	At    time.Duration
	Kind  ArrivalKind
	Index int
	// Number counts the arrivals of the same list entry from 0.
	Number int
}

// Kind tells which list of the plan an arrival belongs to.
type ArrivalKind uint8

// The kinds of arrivals.
const (
	KindRequest ArrivalKind = iota
	KindJob
	KindFault
)

// Arrivals returns all arrivals in the order of their times; equal plans give equal arrivals.
func (p Plan) Arrivals() []Arrival {
	var all []Arrival
	for i, s := range p.Streams {
		all = append(all, poisson(p.Seed, KindRequest, i, s.Rate, s.StartMS, s.EndMS)...)
	}
	for i, j := range p.Jobs {
		all = append(all, poisson(p.Seed, KindJob, i, j.Rate, j.StartMS, j.EndMS)...)
	}
	for i, f := range p.Faults {
		all = append(all, Arrival{At: time.Duration(f.AtMS) * time.Millisecond, Kind: KindFault, Index: i})
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

func poisson(seed uint64, kind ArrivalKind, index int, rate float64, startMS, endMS int64) []Arrival {
	if rate <= 0 {
		return nil
	}
	// Each list entry has its own source, so that adding one does not move the arrivals of the others.
	rng := rand.New(rand.NewPCG(seed, uint64(kind)<<32|uint64(index)))
	at := time.Duration(startMS) * time.Millisecond
	end := time.Duration(endMS) * time.Millisecond
	var all []Arrival
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return all
		}
		all = append(all, Arrival{At: at, Kind: kind, Index: index, Number: len(all)})
	}
}
