package lease_test

import (
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

func value(t assert.TestingT, v any) []byte {
	data, err := cbor.Marshal(v)
	assert.NilError(t, err)
	return data
}

func view(t assert.TestingT, owner *lease.Owner, tenure lease.Owner) lease.Snapshot {
	entries := []store.Entry{
		{Key: "members/e1", Value: value(t, self)},
		{Key: lease.EpochKey(p), Value: value(t, lease.EpochRecord{Owner: tenure})},
	}
	if owner != nil {
		entries = append(entries, store.Entry{Key: lease.OwnerKey(p), Value: value(t, *owner)})
	}
	return lease.Snapshot{OK: true, Entries: entries}
}

func find[T lease.Effect](effects []lease.Effect) (found T, ok bool) {
	for _, e := range effects {
		if found, ok = e.(T); ok {
			return found, true
		}
	}
	return found, false
}

// owner returns a machine that has won epoch 1.
func owner(t assert.TestingT, now time.Time) (*lease.Machine, lease.Owner) {
	m := lease.New(self, []fleet.PartitionID{p})
	m.Step(now, lease.Tick{})
	m.Step(now, lease.Granted{ID: 1, SentAt: now})
	m.Step(now, lease.Registered{ID: 1, OK: true})
	later := now.Add(2 * time.Second)
	claim, ok := find[lease.Claim](m.Step(later, lease.Snapshot{OK: true, Entries: []store.Entry{{Key: "members/e1", Value: value(t, self)}}}))
	assert.Assert(t, ok)
	_, ok = find[lease.Gained](m.Step(later, lease.ClaimDone{Partition: p, Owner: claim.Owner, Committed: true, OutcomeKnown: true}))
	assert.Assert(t, ok)
	return m, claim.Owner
}

// A claim that is refused after the loss of the partition was seen must not keep the process from claiming again:
// the partition stayed without an owner.
func TestRefusedClaimLeavesPartitionClaimable(t *testing.T) {
	now := time.Now()
	m, first := owner(t, now)
	now = now.Add(4 * time.Second)
	claim, ok := find[lease.Claim](m.Step(now, view(t, nil, first)))
	assert.Assert(t, ok)
	other := lease.Owner{EntryHost: "e2", Boot: "b2", Epoch: 2}
	m.Step(now, lease.OwnersChanged{})
	_, ok = find[lease.Lost](m.Step(now, view(t, &other, other)))
	assert.Assert(t, ok)
	m.Step(now, lease.ClaimDone{Partition: p, Owner: claim.Owner, OutcomeKnown: true})
	m.Step(now, lease.KeptAlive{ID: 1, SentAt: now, TTL: lease.TTL, OK: true})
	_, ok = find[lease.Claim](m.Step(now, view(t, nil, other)))
	assert.Assert(t, ok)
}

// An owner that trusts its session longer than the store does would start tasks that the next owner starts as well.
func TestSessionEndsBeforeTheStoreLease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Now()
		m, first := owner(rt, now)
		expires := now.Add(lease.TTL)
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond)
			sent := now
			// The store may have received the renewal right after it was sent, however late its answer comes.
			if rapid.Bool().Draw(rt, "renewed") && now.Before(expires) {
				expires = sent.Add(lease.TTL)
				now = now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "answer_ms")) * time.Millisecond)
				m.Step(now, lease.KeptAlive{ID: 1, SentAt: sent, TTL: lease.TTL, OK: true})
			}
			m.Step(now, lease.Tick{})
			if m.MayClaimTasks(now, p, first.Epoch) && now.After(expires.Add(-lease.DriftMargin)) {
				rt.Fatalf("claims at %v although the store lease ends at %v", now, expires)
			}
			if now.Sub(expires) > lease.TTL && now.Sub(expires) < time.Hour && !m.MayRenewTasks(now, p, first.Epoch) {
				rt.Fatal("an outage must not stop the renewal of running tasks")
			}
		}
	})
}
