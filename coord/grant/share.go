package grant

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovagefork.example/coord/fleet"
)

// Member is one entry host of the roster with its availability zone.
type Member struct {
	Host fleet.EntryHostID
	Zone fleet.AvailabilityZone
}

// Share is the part of a worker that one entry host may use without asking.
type Share struct {
	Slots       int
	Connections int
}

// ShareOf returns the fixed share of an entry host on a worker.
//
// The entry hosts of the worker's availability zone divide it, or all entry hosts if that zone has none. The result
// depends only on the roster and the worker, so processes with the same settings agree without messages.
func ShareOf(roster []Member, self fleet.EntryHostID, w fleet.Worker) Share {
	holders := shareHolders(roster, w.Zone)
	index := slices.Index(holders, self)
	if index < 0 {
		return Share{}
	}
	// The remainder goes to different entry hosts for different workers.
	first := int(xxhash.Sum64String(string(w.ID)) % uint64(len(holders)))
	turn := (index - first + len(holders)) % len(holders)
	connections := portion(w.Connections, len(holders), turn)
	return Share{Slots: min(portion(w.Slots, len(holders), turn), connections), Connections: connections}
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

func portion(total, parts, turn int) int {
	n := max(total, 0) / parts
	if turn < max(total, 0)%parts {
		n++
	}
	return n
}

// KeepAlive reports whether idle connections may stay open beside a single-use connection for every slot.
func (s Share) KeepAlive() bool { return s.Connections >= 2*s.Slots }
