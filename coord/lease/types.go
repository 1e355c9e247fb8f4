package lease

import (
	"strings"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Durations of a session and of partition ownership.
const (
	// TTL is the time to live of the store lease of a session.
	TTL = 10 * time.Second
	// DriftMargin is subtracted from the lease because the clocks of two hosts run at different rates.
	DriftMargin = TTL / 10
	// RenewInterval is the interval of keepalives. It leaves time for two more attempts after a lost one.
	RenewInterval = 3 * time.Second
	// RefreshInterval bounds how long a change of owners stays undetected if its watch event was missed.
	RefreshInterval = 3 * time.Second
	// OutageHorizon bounds how long an owner renews task leases after its session was last confirmed.
	OutageHorizon = 75 * time.Minute

	// retryInterval is the delay before a failed grant, keepalive or refresh is repeated.
	retryInterval = 500 * time.Millisecond
	// firstClaimDelay lets processes that start together see each other before the first one claims every partition.
	firstClaimDelay = 1500 * time.Millisecond
	// rankDelay is the claim delay per rank: a candidate claims a free partition if the candidates before it do not.
	rankDelay = 4 * time.Second
	// stepDownDelay avoids moving partitions to a process that fails again soon after its start.
	stepDownDelay = 15 * time.Second
	// stepDownInterval spreads the recovery of moved partitions over time.
	stepDownInterval = 2 * time.Second
)

// Prefixes of the keys in the store.
const (
	MembersPrefix    = "members/"
	PartitionsPrefix = "partitions/"

	ownerSuffix = "/owner"
	epochSuffix = "/epoch"
)

// Member is the value of the key "members/<entry host>", which expires with the session of that process.
type Member struct {
	EntryHost fleet.EntryHostID      `cbor:"entry_host"`
	Boot      fleet.BootID           `cbor:"boot_id"`
	Zone      fleet.AvailabilityZone `cbor:"availability_zone"`
}

// Owner is the value of the key "partitions/<p>/owner", which expires with the session of the owner.
type Owner struct {
	EntryHost fleet.EntryHostID `cbor:"entry_host"`
	Boot      fleet.BootID      `cbor:"boot_id"`
	Epoch     fleet.Epoch       `cbor:"epoch"`
}

// EpochRecord is the value of the key "partitions/<p>/epoch", which has no lease so that epochs never repeat.
type EpochRecord struct {
	Owner
	// Released is set by an owner that stopped renewing task leases before it released the partition.
	Released bool `cbor:"released"`
	// Offered is set by an owner that released the partition but may renew task leases until it receives the store's
	// confirmation of the release.
	Offered bool `cbor:"offered"`
}

// OwnerKey returns the key of the partition's owner.
func OwnerKey(p fleet.PartitionID) string { return PartitionsPrefix + string(p) + ownerSuffix }

// EpochKey returns the key of the partition's last epoch.
func EpochKey(p fleet.PartitionID) string { return PartitionsPrefix + string(p) + epochSuffix }

func partitionOf(key, suffix string) (fleet.PartitionID, bool) {
	name, ok := strings.CutSuffix(key, suffix)
	return fleet.PartitionID(strings.TrimPrefix(name, PartitionsPrefix)), ok
}

// Handover describes whether the former owner of a partition may still renew task leases.
type Handover uint8

// The kinds of handover.
const (
	// HandoverCrash means that the former owner may renew task leases until its outage horizon ends.
	HandoverCrash Handover = iota
	// HandoverClean means that no other process renews task leases once the partition is claimed.
	HandoverClean
	// HandoverSelf means that this process was the last owner, so its record of the task leases is still valid.
	HandoverSelf
)

// Event is an input of [Machine.Step].
type Event interface{ event() }

type (
	// Tick triggers the actions that are due at the current time.
	Tick struct{}
	// Granted is the result of [Grant]; ID is zero if the call failed.
	Granted struct {
		ID     store.LeaseID
		SentAt time.Time
	}
	// KeptAlive is the result of [KeepAlive]; OK is false if the call failed, and TTL is zero if the lease has expired.
	KeptAlive struct {
		ID     store.LeaseID
		SentAt time.Time
		TTL    time.Duration
		OK     bool
	}
	// Registered is the result of [Register]; OK is false if the call failed.
	Registered struct {
		ID store.LeaseID
		OK bool
	}
	// Snapshot is the result of [Refresh]; OK is false if the call failed.
	Snapshot struct {
		Entries []store.Entry
		OK      bool
	}
	// ClaimDone is the result of [Claim]. Committed reports whether the transaction took effect; it is valid only if
	// OutcomeKnown is set.
	ClaimDone struct {
		Partition    fleet.PartitionID
		Owner        Owner
		Committed    bool
		OutcomeKnown bool
	}
	// ReleaseDone is the result of [Release]; OutcomeKnown is false if the transaction may or may not have taken
	// effect.
	ReleaseDone struct {
		Partition    fleet.PartitionID
		Epoch        fleet.Epoch
		OutcomeKnown bool
	}
	// OwnersChanged reports that a watch observed a change of members or owners.
	OwnersChanged struct{}
	// EpochSuperseded reports that a worker or the store has a higher epoch than the given one.
	EpochSuperseded struct {
		Partition fleet.PartitionID
		Epoch     fleet.Epoch
	}
	// Drain makes the machine release every partition and claim none.
	Drain struct{}
)

func (Tick) event()            {}
func (Granted) event()         {}
func (KeptAlive) event()       {}
func (Registered) event()      {}
func (Snapshot) event()        {}
func (ClaimDone) event()       {}
func (ReleaseDone) event()     {}
func (OwnersChanged) event()   {}
func (EpochSuperseded) event() {}
func (Drain) event()           {}

// Effect is an output of [Machine.Step].
type Effect interface{ effect() }

type (
	// Grant requests a store lease of [TTL].
	Grant struct{}
	// KeepAlive requests a renewal of the store lease.
	KeepAlive struct{ ID store.LeaseID }
	// Register requests a transaction that writes the member key.
	Register struct {
		ID  store.LeaseID
		Txn store.Txn
	}
	// Refresh requests a read of all keys under [MembersPrefix] and [PartitionsPrefix].
	Refresh struct{}
	// Claim requests a transaction that takes ownership of a partition; its result is [ClaimDone].
	Claim struct {
		Partition fleet.PartitionID
		Owner     Owner
		Txn       store.Txn
	}
	// Release requests a transaction that gives up the ownership of a partition; its result is [ReleaseDone].
	Release struct {
		Partition fleet.PartitionID
		Epoch     fleet.Epoch
		Txn       store.Txn
	}
	// Gained reports that the process now owns a partition; OwnerValue is the value of its owner key.
	Gained struct {
		Partition  fleet.PartitionID
		Epoch      fleet.Epoch
		OwnerValue []byte
		Handover   Handover
	}
	// Lost reports that the process no longer owns a partition and must stop all work on it at once.
	Lost struct {
		Partition fleet.PartitionID
		Epoch     fleet.Epoch
		Reason    string
	}
	// StepDown requests that the caller stop claiming tasks and then call [Machine.Offer]. If Drain is set, the caller
	// must also stop renewing task leases, and then call [Machine.Relinquish].
	StepDown struct {
		Partition fleet.PartitionID
		Epoch     fleet.Epoch
		Drain     bool
		Reason    string
	}
)

func (Grant) effect()     {}
func (KeepAlive) effect() {}
func (Register) effect()  {}
func (Refresh) effect()   {}
func (Claim) effect()     {}
func (Release) effect()   {}
func (Gained) effect()    {}
func (Lost) effect()      {}
func (StepDown) effect()  {}
