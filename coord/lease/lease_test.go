package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/lease"
	"lovagefork.example/coord/store"
)

const p = fleet.PartitionID("a/0")

var self = lease.Member{EntryHost: "e1", Boot: "b1", Zone: "b"}

func encode(t assert.TestingT, v any) []byte {
	data, err := cbor.Marshal(v)
	assert.NilError(t, err)
	return data
}

func snapshot(t assert.TestingT, owner *lease.Owner, last lease.Owner) lease.Snapshot {
	entries := []store.Entry{
		{Key: "members/e1", Value: encode(t, self)},
		{Key: lease.EpochKey(p), Value: encode(t, lease.EpochRecord{Owner: last})},
	}
	if owner != nil {
		entries = append(entries, store.Entry{Key: lease.OwnerKey(p), Value: encode(t, *owner)})
	}
	return lease.Snapshot{OK: true, Entries: entries}
}

func findEffect[T lease.Effect](effects []lease.Effect) (found T, ok bool) {
	for _, e := range effects {
		if found, ok = e.(T); ok {
			return found, true
		}
	}
	return found, false
}

// newOwner returns a machine that has claimed the partition under epoch 1, and its owner value.
func newOwner(t assert.TestingT, now time.Time) (*lease.Machine, lease.Owner) {
	m := lease.New(self, []fleet.PartitionID{p})
	m.Step(now, lease.Tick{})
	m.Step(now, lease.Granted{ID: 1, SentAt: now})
	m.Step(now, lease.Registered{ID: 1, OK: true})
	later := now.Add(2 * time.Second)
	claim, ok := findEffect[lease.Claim](m.Step(later, lease.Snapshot{OK: true, Entries: []store.Entry{{Key: "members/e1", Value: encode(t, self)}}}))
	assert.Assert(t, ok)
	_, ok = findEffect[lease.Gained](m.Step(later, lease.ClaimDone{Partition: p, Owner: claim.Owner, Committed: true, OutcomeKnown: true}))
	assert.Assert(t, ok)
	return m, claim.Owner
}

// Guards against a partition without an owner: a claim fails after a snapshot has already shown that another process
// took the partition. The failed claim must not prevent this process from claiming the partition again later.
func TestFailedClaimCanBeRepeated(t *testing.T) {
	now := time.Now()
	m, first := newOwner(t, now)
	now = now.Add(4 * time.Second)
	claim, ok := findEffect[lease.Claim](m.Step(now, snapshot(t, nil, first)))
	assert.Assert(t, ok)
	other := lease.Owner{EntryHost: "e2", Boot: "b2", Epoch: 2}
	m.Step(now, lease.OwnersChanged{})
	_, ok = findEffect[lease.Lost](m.Step(now, snapshot(t, &other, other)))
	assert.Assert(t, ok)
	m.Step(now, lease.ClaimDone{Partition: p, Owner: claim.Owner, OutcomeKnown: true})
	m.Step(now, lease.KeptAlive{ID: 1, SentAt: now, TTL: lease.TTL, OK: true})
	_, ok = findEffect[lease.Claim](m.Step(now, snapshot(t, nil, other)))
	assert.Assert(t, ok)
}

// Guards against tasks that are started twice: an owner that considers its session valid after the store lease has
// expired would start tasks that the next owner starts as well. Running tasks must still be renewed during a store
// outage.
func TestSessionEndsBeforeTheStoreLease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Now()
		m, first := newOwner(rt, now)
		expires := now.Add(lease.TTL)
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond)
			sent := now
			// The store may receive the renewal as soon as it is sent, even if its response arrives much later.
			if rapid.Bool().Draw(rt, "renewed") && now.Before(expires) {
				expires = sent.Add(lease.TTL)
				now = now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "answer_ms")) * time.Millisecond)
				m.Step(now, lease.KeptAlive{ID: 1, SentAt: sent, TTL: lease.TTL, OK: true})
			}
			m.Step(now, lease.Tick{})
			if m.MayClaimTasks(now, p, first.Epoch) && now.After(expires.Add(-lease.DriftMargin)) {
				rt.Fatalf("may claim tasks at %v although the store lease expires at %v", now, expires)
			}
			if now.Sub(expires) > lease.TTL && now.Sub(expires) < time.Hour && !m.MayRenewTasks(now, p, first.Epoch) {
				rt.Fatal("the renewal of running tasks stopped during a store outage")
			}
		}
	})
}

// Guards against a partition without an owner for longer than the candidates are to wait for each other (4 s for each that ranks
// first): a candidate whose claim got no answer waited anew.
func TestClaimWithoutAnswerIsRepeatedAtOnce(t *testing.T) {
	const rankDelay = 4 * time.Second
	first := lease.Member{EntryHost: "e2", Boot: "b2", Zone: "b"}
	for n := 3; fleet.Rendezvous(string(p), []fleet.EntryHostID{self.EntryHost, first.EntryHost}) == self.EntryHost; n++ {
		first.EntryHost = fleet.EntryHostID(fmt.Sprintf("e%d", n))
	}
	free := lease.Snapshot{OK: true, Entries: []store.Entry{
		{Key: "members/" + string(self.EntryHost), Value: encode(t, self)},
		{Key: "members/" + string(first.EntryHost), Value: encode(t, first)},
	}}
	now := time.Now()
	m := lease.New(self, []fleet.PartitionID{p})
	m.Step(now, lease.Tick{})
	m.Step(now, lease.Granted{ID: 1, SentAt: now})
	m.Step(now, lease.Registered{ID: 1, OK: true})
	_, claims := findEffect[lease.Claim](m.Step(now, free))
	assert.Assert(t, !claims, "the first candidate has time to claim")
	now = now.Add(rankDelay)
	claim, claims := findEffect[lease.Claim](m.Step(now, free))
	assert.Assert(t, claims)
	now = now.Add(2 * time.Second)
	m.Step(now, lease.ClaimDone{Partition: p, Owner: claim.Owner})
	repeated, claims := findEffect[lease.Claim](m.Step(now, free))
	assert.Assert(t, claims)
	assert.DeepEqual(t, repeated.Txn, claim.Txn)
}
