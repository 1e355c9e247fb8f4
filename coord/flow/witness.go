package flow

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

// witnessDelay is how old the last confirmation by the store is when the answers of the workers begin to count. It covers a
// renewal that is lost.
const witnessDelay = 700 * time.Millisecond

// confirm notes when the renewal of this scheduler's leadership that the store confirmed last was sent, zero for the present.
func (m *Machine) confirm(at time.Time) {
	if at.IsZero() {
		at = m.now
	}
	m.confirmedAt = later(m.confirmedAt, at)
}

// needsWitnesses reports whether the last confirmation by the store is so old that the answers of the workers count.
func (m *Machine) needsWitnesses() bool { return m.now.Sub(m.confirmedAt) > witnessDelay }

// lastConfirmed returns the latest time at which this scheduler is known to have had no successor on most workers, or in the
// store.
func (m *Machine) lastConfirmed() time.Time { return later(m.confirmedAt, m.witnessedAt) }

// WitnessedAt returns the latest time at which most workers are known to have accepted no newer token than that of this
// scheduler; it is not updated while the store confirms the leadership. The scheduler must not act longer than
// [WitnessTimeout] after it unless the store confirms its leadership.
func (m *Machine) WitnessedAt() time.Time { return m.witnessedAt }

// countWitnesses updates witnessedAt. A successor counts by the stored roster, which is the one in flight if that write has
// taken effect.
func (m *Machine) countWitnesses() {
	at := m.medianWitness(m.storedRoster)
	if m.saveInFlight && m.batchHasRoster {
		at = earlier(at, m.medianWitness(witnessIDs(m.batchRoster)))
	}
	m.witnessedAt = later(m.witnessedAt, at)
}

// medianWitness returns the latest time after which more than half of some workers have received an order that they then
// accepted; zero if there is none.
func (m *Machine) medianWitness(ids []fleet.WorkerID) time.Time {
	times := make([]time.Time, 0, len(ids))
	for _, id := range ids {
		if w := m.workers[id]; w != nil && m.isWitness(w) {
			times = append(times, w.askedAt)
		}
	}
	majority := len(ids)/2 + 1
	if len(times) < majority {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-majority]
}

// isWitness reports whether the answers of a worker show that no successor has reached it. An incarnation that has accepted the
// token only after the last confirmation may have replaced one that had accepted a newer token.
func (m *Machine) isWitness(w *worker) bool {
	return w.tokenAccepted && w.acceptedAt.Before(m.confirmedAt)
}

// witnessIDs returns the workers in a roster that count when most workers are needed.
func witnessIDs(roster []RosterEntry) []fleet.WorkerID {
	ids := make([]fleet.WorkerID, 0, len(roster))
	for _, e := range roster {
		if !e.Joining {
			ids = append(ids, e.Worker)
		}
	}
	return ids
}
