package grant

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovagefork.example/coord/fleet"
)

// Member is an entry host of the roster and its availability zone.
type Member struct {
	Host fleet.EntryHostID
	Zone fleet.AvailabilityZone
}

// Share is the part of a worker's slots and connections that one entry host may use without a loan.
type Share struct {
	Slots       int
	Connections int
}

// ShareOf returns the fixed share of an entry host on a worker.
//
// A worker is divided among the entry hosts of its availability zone, or among all entry hosts if that zone has none.
// The result depends only on the roster and the worker, so that processes with the same settings agree without
// messages.
func ShareOf(roster []Member, self fleet.EntryHostID, w fleet.Worker) Share {
	holders := shareHolders(roster, w.Zone)
	index := slices.Index(holders, self)
	if index < 0 {
		return Share{}
	}
	// Start at a different entry host for each worker, so that the remainders spread over the entry hosts.
	first := int(xxhash.Sum64String(string(w.ID)) % uint64(len(holders)))
	position := (index - first + len(holders)) % len(holders)
	connections := portion(w.Connections, len(holders), position)
	return Share{Slots: min(portion(w.Slots, len(holders), position), connections), Connections: connections}
}

func shareHolders(roster []Member, zone fleet.AvailabilityZone) []fleet.EntryHostID {
	var same, all []fleet.EntryHostID
	for _, m := range roster {
		all = append(all, m.Host)
		if m.Zone == zone {
			same = append(same, m.Host)
		}
	}
	if len(same) > 0 {
		all = same
	}
	slices.SortFunc(all, cmp.Compare)
	return slices.Compact(all)
}

// portion returns the part of total at a zero-based position when it is divided into nearly equal parts.
func portion(total, parts, position int) int {
	n := max(total, 0) / parts
	if position < max(total, 0)%parts {
		n++
	}
	return n
}

// KeepAlive reports whether idle connections may stay open while every slot uses a new connection.
func (s Share) KeepAlive() bool { return s.Connections >= 2*s.Slots }
