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

// candidateRank returns the zero-based rank of a process among the candidates for a partition, or -1 if it is not a
// candidate.
func (m *Machine) candidateRank(p fleet.PartitionID, host fleet.EntryHostID) int {
	candidates := make([]fleet.EntryHostID, 0, len(m.members))
	for _, member := range m.members {
		if member.Zone != p.Zone() {
			candidates = append(candidates, member.EntryHost)
		}
	}
	// Processes in the zone of the workers are candidates only if there are no others: they fail together with the
	// workers.
	if len(candidates) == 0 {
		for _, member := range m.members {
			candidates = append(candidates, member.EntryHost)
		}
	}
	for rank := 0; len(candidates) > 0; rank++ {
		best := fleet.Rendezvous(string(p), candidates)
		if best == host {
			return rank
		}
		candidates = slices.DeleteFunc(candidates, func(h fleet.EntryHostID) bool { return h == best })
	}
	return -1
}

func (m *Machine) claimFree(now time.Time) []Effect {
	if m.draining || !m.registered || !m.Valid(now) || now.Before(m.claimNotBefore) {
		return nil
	}
	var effects []Effect
	for _, p := range m.partitions {
		since, free := m.freeSince[p]
		if !free || m.claiming[p] {
			continue
		}
		_, owned := m.owned[p]
		rank := m.candidateRank(p, m.self.EntryHost)
		if rank < 0 && !owned {
			continue
		}
		if !owned && now.Before(since.Add(time.Duration(rank)*rankDelay)) {
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
	if last, exists := m.epochRecords[p]; exists {
		conditions = append(conditions, store.ValueEqual{Key: EpochKey(p), Value: last.Value})
		handover = HandoverCrash
		if record, err := decode[EpochRecord](last.Value); err == nil {
			owner.Epoch = record.Epoch + 1
			handover = handoverAfter(record, m.self.Boot)
		}
	} else {
		conditions = append(conditions, store.KeyAbsent{Key: EpochKey(p)})
	}
	value := encode(owner)
	m.claiming[p] = true
	m.lastClaims[p] = claimAttempt{owner: owner, value: value, handover: handover}
	delete(m.releasing, p)
	return Claim{Partition: p, Owner: owner, Txn: store.Txn{
		If: conditions,
		Then: []store.Op{
			store.Put{Key: OwnerKey(p), Value: value, Lease: m.lease},
			store.Put{Key: EpochKey(p), Value: encode(EpochRecord{Owner: owner})},
		},
	}}
}

func handoverAfter(last EpochRecord, self fleet.BootID) Handover {
	switch {
	case last.Released:
		return HandoverClean
	case last.Boot == self:
		return HandoverSelf
	}
	return HandoverCrash
}

// claimDone resolves a claim of unknown outcome by the next snapshot. If the snapshot does not show the claim, it is
// repeated with the same conditions, so that at most one of the two transactions takes effect.
func (m *Machine) claimDone(now time.Time, ev ClaimDone) []Effect {
	c := m.lastClaims[ev.Partition]
	delete(m.claiming, ev.Partition)
	if c.owner != ev.Owner {
		return nil
	}
	if since, free := m.freeSince[ev.Partition]; free && !ev.OutcomeKnown {
		m.unansweredSince[ev.Partition] = since
	}
	delete(m.freeSince, ev.Partition)
	var effects []Effect
	if ev.OutcomeKnown && ev.Committed {
		effects = append(effects, m.becomeOwner(ev.Partition, c))
	}
	m.nextRefresh = now
	return append(effects, m.refresh(now)...)
}

func (m *Machine) becomeOwner(p fleet.PartitionID, c claimAttempt) Effect {
	m.owned[p] = ownership{epoch: c.owner.Epoch, lease: m.lease}
	m.owners[p] = c.owner
	return Gained{Partition: p, Epoch: c.owner.Epoch, OwnerValue: c.value, Handover: c.handover}
}

// rebalance starts to hand over a partition for which another live process ranks first, one partition at a time.
func (m *Machine) rebalance(now time.Time) []Effect {
	if !m.Valid(now) || m.draining {
		return nil
	}
	for _, p := range slices.Sorted(maps.Keys(m.owned)) {
		rank := m.candidateRank(p, m.self.EntryHost)
		if rank == 0 || len(m.members) < 2 {
			delete(m.misplacedSince, p)
			continue
		}
		since, known := m.misplacedSince[p]
		if !known {
			m.misplacedSince[p] = now
			continue
		}
		if now.Before(since.Add(stepDownDelay)) || now.Before(m.nextStepDown) {
			continue
		}
		m.nextStepDown = now.Add(stepDownInterval)
		delete(m.misplacedSince, p)
		return []Effect{StepDown{Partition: p, Epoch: m.owned[p].epoch, Reason: "another process ranks first"}}
	}
	return nil
}

func (m *Machine) stepDownAll(reason string) []Effect {
	var effects []Effect
	for _, p := range slices.Sorted(maps.Keys(m.owned)) {
		effects = append(effects, StepDown{Partition: p, Epoch: m.owned[p].epoch, Drain: true, Reason: reason})
	}
	return effects
}

// Relinquish ends the ownership of a partition and returns the transaction that records this in the store. The caller
// must have stopped every renewal of task leases. It sets fenced if it has fenced every worker on which an earlier
// owner may still renew leases.
func (m *Machine) Relinquish(p fleet.PartitionID, epoch fleet.Epoch, fenced bool) []Effect {
	if o, owned := m.owned[p]; !owned || o.epoch != epoch {
		return nil
	}
	owner := Owner{EntryHost: m.self.EntryHost, Boot: m.self.Boot, Epoch: epoch}
	delete(m.owned, p)
	delete(m.owners, p)
	m.releasing[p] = EpochRecord{Owner: owner, Released: fenced}
	return []Effect{m.release(p)}
}

// Offer releases a partition while the caller still renews the leases of its running tasks, because the store may fail
// before it applies the release. A [Lost] effect follows once the store is known to have applied it.
func (m *Machine) Offer(p fleet.PartitionID, epoch fleet.Epoch) []Effect {
	if o, owned := m.owned[p]; !owned || o.epoch != epoch {
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
		effects = append(effects, m.dropOwnership(ev.Partition, "released")...)
	}
	return effects
}

func (m *Machine) dropOwnership(p fleet.PartitionID, reason string) []Effect {
	o, owned := m.owned[p]
	if !owned {
		return nil
	}
	delete(m.owned, p)
	return []Effect{Lost{Partition: p, Epoch: o.epoch, Reason: reason}}
}

func (m *Machine) release(p fleet.PartitionID) Effect {
	record := m.releasing[p]
	return Release{Partition: p, Epoch: record.Epoch, Txn: store.Txn{
		If: []store.Compare{store.ValueEqual{Key: OwnerKey(p), Value: encode(record.Owner)}},
		Then: []store.Op{
			store.Delete{Key: OwnerKey(p)},
			store.Put{Key: EpochKey(p), Value: encode(record)},
		},
	}}
}

// Lease returns the store lease of the session, or zero without a session.
func (m *Machine) Lease() store.LeaseID { return m.lease }
