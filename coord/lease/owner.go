package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

func compareHosts(a, b Member) int { return cmp.Compare(a.EntryHost, b.EntryHost) }

// rank returns the place of a process in the order of candidates for a partition, or -1 if it is not live.
func (m *Machine) rank(p fleet.PartitionID, host fleet.EntryHostID) int {
	left := make([]fleet.EntryHostID, 0, len(m.members))
	for _, member := range m.members {
		if member.Zone != p.Zone() {
			left = append(left, member.EntryHost)
		}
	}
	// A process in the zone of the workers is the last resort: it fails together with them.
	if len(left) == 0 {
		for _, member := range m.members {
			left = append(left, member.EntryHost)
		}
	}
	for place := 0; len(left) > 0; place++ {
		best := fleet.Rendezvous(string(p), left)
		if best == host {
			return place
		}
		left = slices.DeleteFunc(left, func(h fleet.EntryHostID) bool { return h == best })
	}
	return -1
}

func (m *Machine) claimFree(now time.Time) []Effect {
	if m.draining || !m.registered || !m.Valid(now) || now.Before(m.claimFrom) {
		return nil
	}
	var effects []Effect
	for _, p := range m.partitions {
		since, free := m.freeSince[p]
		if !free || m.claiming[p] {
			continue
		}
		_, heldBefore := m.held[p]
		place := m.rank(p, m.self.EntryHost)
		if place < 0 && !heldBefore {
			continue
		}
		if !heldBefore && now.Before(since.Add(time.Duration(place)*rankDelay)) {
			continue
		}
		effects = append(effects, m.claim(p))
	}
	return effects
}

func (m *Machine) claim(p fleet.PartitionID) Effect {
	owner := Owner{EntryHost: m.self.EntryHost, Boot: m.self.Boot, Epoch: 1}
	conditions := []store.Compare{store.KeyAbsent{Key: OwnerKey(p)}}
	handover := HandoverClean
	if last, exists := m.tenures[p]; exists {
		conditions = append(conditions, store.ValueEqual{Key: EpochKey(p), Value: last.Value})
		handover = HandoverCrash
		if tenure, err := decode[EpochRecord](last.Value); err == nil {
			owner.Epoch = tenure.Epoch + 1
			handover = handoverFrom(tenure, m.self.Boot)
		}
	} else {
		conditions = append(conditions, store.KeyAbsent{Key: EpochKey(p)})
	}
	value := encode(owner)
	m.claiming[p] = true
	m.attempted[p] = claim{owner: owner, value: value, handover: handover}
	delete(m.releasing, p)
	return Claim{Partition: p, Owner: owner, Txn: store.Txn{
		If: conditions,
		Then: []store.Op{
			store.Put{Key: OwnerKey(p), Value: value, Lease: m.lease},
			store.Put{Key: EpochKey(p), Value: encode(EpochRecord{Owner: owner})},
		},
	}}
}

func handoverFrom(last EpochRecord, self fleet.BootID) Handover {
	switch {
	case last.Released:
		return HandoverClean
	case last.Boot == self:
		return HandoverSelf
	}
	return HandoverCrash
}

// claimDone leaves an unclear claim to the next snapshot. If that does not show it, the claim is repeated with the same
// conditions, so that at most one of the two requests takes effect.
func (m *Machine) claimDone(now time.Time, ev ClaimDone) []Effect {
	c := m.attempted[ev.Partition]
	delete(m.claiming, ev.Partition)
	if c.owner != ev.Owner {
		return nil
	}
	delete(m.freeSince, ev.Partition)
	var effects []Effect
	if ev.OutcomeKnown && ev.Committed {
		effects = append(effects, m.gain(ev.Partition, c))
	}
	m.nextRefresh = now
	return append(effects, m.refresh(now)...)
}

func (m *Machine) gain(p fleet.PartitionID, c claim) Effect {
	m.held[p] = tenancy{epoch: c.owner.Epoch, lease: m.lease}
	m.owners[p] = c.owner
	return Gained{Partition: p, Epoch: c.owner.Epoch, OwnerValue: c.value, Handover: c.handover}
}

// rebalance gives up one partition at a time that another live process should own.
func (m *Machine) rebalance(now time.Time) []Effect {
	if !m.Valid(now) || m.draining {
		return nil
	}
	for _, p := range slices.Sorted(maps.Keys(m.held)) {
		place := m.rank(p, m.self.EntryHost)
		if place == 0 || len(m.members) < 2 {
			delete(m.misplaced, p)
			continue
		}
		since, known := m.misplaced[p]
		if !known {
			m.misplaced[p] = now
			continue
		}
		if now.Before(since.Add(stepDownAfter)) || now.Before(m.nextStepDown) {
			continue
		}
		m.nextStepDown = now.Add(stepDownEvery)
		delete(m.misplaced, p)
		return []Effect{StepDown{Partition: p, Epoch: m.held[p].epoch, Reason: "another process is preferred"}}
	}
	return nil
}

func (m *Machine) stepDownAll(reason string) []Effect {
	var effects []Effect
	for _, p := range slices.Sorted(maps.Keys(m.held)) {
		effects = append(effects, StepDown{Partition: p, Epoch: m.held[p].epoch, Drain: true, Reason: reason})
	}
	return effects
}

// Released ends the ownership after the caller stopped every renewal, and returns the transaction that tells others.
// The caller sets settled if it has fenced every worker that an earlier owner may still renew leases on.
func (m *Machine) Relinquish(p fleet.PartitionID, epoch fleet.Epoch, settled bool) []Effect {
	if h, held := m.held[p]; !held || h.epoch != epoch {
		return nil
	}
	owner := Owner{EntryHost: m.self.EntryHost, Boot: m.self.Boot, Epoch: epoch}
	delete(m.held, p)
	delete(m.owners, p)
	m.releasing[p] = EpochRecord{Owner: owner, Released: settled}
	return []Effect{m.release(p)}
}

// Offer gives a partition up while its running tasks are still renewed, because the store may fail before it takes the
// offer. The partition is [Lost] when the store is known to have taken it.
func (m *Machine) Offer(p fleet.PartitionID, epoch fleet.Epoch) []Effect {
	if h, held := m.held[p]; !held || h.epoch != epoch {
		return nil
	}
	owner := Owner{EntryHost: m.self.EntryHost, Boot: m.self.Boot, Epoch: epoch}
	m.releasing[p] = EpochRecord{Owner: owner, Offered: true}
	return []Effect{m.release(p)}
}

func (m *Machine) releaseDone(now time.Time, ev ReleaseDone) []Effect {
	m.nextRefresh = now
	effects := m.refresh(now)
	if last := m.releasing[ev.Partition]; ev.OutcomeKnown && last.Epoch == ev.Epoch && last.Offered {
		effects = append(effects, m.lose(ev.Partition, "released")...)
	}
	return effects
}

func (m *Machine) lose(p fleet.PartitionID, reason string) []Effect {
	h, held := m.held[p]
	if !held {
		return nil
	}
	delete(m.held, p)
	return []Effect{Lost{Partition: p, Epoch: h.epoch, Reason: reason}}
}

func (m *Machine) release(p fleet.PartitionID) Effect {
	tenure := m.releasing[p]
	return Release{Partition: p, Epoch: tenure.Epoch, Txn: store.Txn{
		If: []store.Compare{store.ValueEqual{Key: OwnerKey(p), Value: encode(tenure.Owner)}},
		Then: []store.Op{
			store.Delete{Key: OwnerKey(p)},
			store.Put{Key: EpochKey(p), Value: encode(tenure)},
		},
	}}
}

// Lease returns the store lease of the session, zero without one.
func (m *Machine) Lease() store.LeaseID { return m.lease }
