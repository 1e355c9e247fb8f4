package ledger

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Limits and intervals of commits.
const (
	// TickInterval is the time between commits if the store budget allows it.
	TickInterval = 50 * time.Millisecond
	// SegmentEntries is the number of log entries after which a partition writes a snapshot.
	SegmentEntries = 256
	// MaxChunkBytes bounds the size of a value, well below the store's limit of one megabyte.
	MaxChunkBytes = 512 << 10
	// maxEntriesPerTxn keeps a transaction below 128 operations and 128 conditions, the usual limits of the store.
	maxEntriesPerTxn = 40
	// maxExtraOps bounds the operations of a transaction in addition to the log entries.
	maxExtraOps = 40
	// retryInterval is the delay before a commit with an unknown outcome is repeated.
	retryInterval = 250 * time.Millisecond
)

// Event is an input of [Machine.Step].
type Event interface{ event() }

type (
	// Open opens the log of an owned partition. Next is the sequence of the next entry.
	Open struct {
		Partition  fleet.PartitionID
		Epoch      fleet.Epoch
		OwnerKey   string
		OwnerValue []byte
		Next       uint64
	}
	// Close removes a partition and drops its uncommitted records.
	Close struct{ Partition fleet.PartitionID }
	// Append queues records, and store operations that must take effect in the same transaction as the first of them.
	// Urgent also makes their [Commit] urgent.
	Append struct {
		Partition fleet.PartitionID
		Records   []Record
		Ops       []store.Op
		Urgent    bool
	}
	// Tick sends the queued records unless a commit is in flight; send it every [TickInterval].
	Tick struct{}
	// CommitDone answers [Commit]. Err is an error of [store.Client].
	CommitDone struct {
		Result store.TxnResult
		Err    error
	}
)

func (Open) event()       {}
func (Close) event()      {}
func (Append) event()     {}
func (Tick) event()       {}
func (CommitDone) event() {}

// Effect is an output of [Machine.Step].
type Effect interface{ effect() }

type (
	// Commit runs a transaction with the given number of records. At most one is in flight.
	Commit struct {
		Txn     store.Txn
		Records int
		Urgent  bool
	}
	// Committed reports that records of a partition are durable. SnapshotDue is set if they end a segment.
	Committed struct {
		Partition   fleet.PartitionID
		Epoch       fleet.Epoch
		Records     []Record
		Sequence    uint64
		SnapshotDue bool
	}
	// OwnershipLost reports that the store rejected a commit because another process, or none, owns the partition.
	OwnershipLost struct {
		Partition fleet.PartitionID
		Epoch     fleet.Epoch
	}
)

func (Commit) effect()        {}
func (Committed) effect()     {}
func (OwnershipLost) effect() {}

// partition is the log of one owned partition.
type partition struct {
	id           fleet.PartitionID
	epoch        fleet.Epoch
	ownerKey     string
	ownerValue   []byte
	nextSequence uint64
	queue        []queuedRecord
	pending      *pendingEntry
}

// queuedRecord is a record that is not part of a log entry yet.
type queuedRecord struct {
	record Record
	frame  frame
	ops    []store.Op
	urgent bool
}

// pendingEntry is a log entry that is not known to be durable. It is sent again unchanged until its outcome is known.
type pendingEntry struct {
	key     string
	value   []byte
	records []Record
	ops     []store.Op
	urgent  bool
}

// Machine manages the logs of all partitions that a process owns. It is not safe for concurrent use.
type Machine struct {
	partitions    map[fleet.PartitionID]*partition
	txnPartitions []*partition
	committing    bool
	retryAt       time.Time
}

// New returns a machine without partitions.
func New() *Machine {
	return &Machine{partitions: make(map[fleet.PartitionID]*partition)}
}

// Step handles one event and returns the effects to perform, in order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Open:
		m.partitions[ev.Partition] = &partition{
			id: ev.Partition, epoch: ev.Epoch, ownerKey: ev.OwnerKey, ownerValue: ev.OwnerValue, nextSequence: ev.Next,
		}
	case Close:
		delete(m.partitions, ev.Partition)
	case Append:
		m.append(ev)
	case Tick:
		return m.commit(now)
	case CommitDone:
		return m.commitDone(now, ev)
	}
	return nil
}

// Pending returns the number of records of a partition that are not durable yet.
func (m *Machine) Pending(p fleet.PartitionID) int {
	part := m.partitions[p]
	if part == nil {
		return 0
	}
	n := len(part.queue)
	if part.pending != nil {
		n += len(part.pending.records)
	}
	return n
}

func (m *Machine) append(ev Append) {
	part := m.partitions[ev.Partition]
	if part == nil {
		return
	}
	for i, r := range ev.Records {
		f, err := encodeFrame(r)
		if err != nil {
			panic(err) // cannot happen: all record types of this package can be encoded
		}
		q := queuedRecord{record: r, frame: f, urgent: ev.Urgent}
		if i == 0 {
			q.ops = ev.Ops
		}
		part.queue = append(part.queue, q)
	}
}

// commit returns a transaction with the next log entry of each partition, as far as the limits allow.
func (m *Machine) commit(now time.Time) []Effect {
	if m.committing || now.Before(m.retryAt) {
		return nil
	}
	var txn store.Txn
	m.txnPartitions = m.txnPartitions[:0]
	records, bytes, ops, urgent := 0, 0, 0, false
	for _, id := range slices.Sorted(maps.Keys(m.partitions)) {
		part := m.partitions[id]
		part.seal()
		pending := part.pending
		if pending == nil {
			continue
		}
		if len(m.txnPartitions) > 0 && (len(m.txnPartitions) == maxEntriesPerTxn ||
			bytes+len(pending.value) > MaxChunkBytes || ops+len(pending.ops) > maxExtraOps) {
			continue
		}
		m.txnPartitions = append(m.txnPartitions, part)
		records, bytes, ops = records+len(pending.records), bytes+len(pending.value), ops+len(pending.ops)
		urgent = urgent || pending.urgent
		txn.If = append(txn.If, store.ValueEqual{Key: part.ownerKey, Value: part.ownerValue}, store.KeyAbsent{Key: pending.key})
		txn.Then = append(txn.Then, store.Put{Key: pending.key, Value: pending.value})
		txn.Then = append(txn.Then, pending.ops...)
		txn.Else = append(txn.Else, store.Get{Key: part.ownerKey}, store.Get{Key: pending.key})
	}
	if len(m.txnPartitions) == 0 {
		return nil
	}
	m.committing = true
	return []Effect{Commit{Txn: txn, Records: records, Urgent: urgent}}
}

// seal forms the next log entry from queued records. An entry is never extended after it was sent, because the earlier
// request may still take effect.
func (p *partition) seal() {
	if p.pending != nil || len(p.queue) == 0 {
		return
	}
	pending := &pendingEntry{key: logKey(p.id, p.nextSequence)}
	e := entry{Epoch: p.epoch}
	size, taken := 0, 0
	for _, q := range p.queue {
		if taken > 0 && (size+len(q.frame.Body) > MaxChunkBytes || len(pending.ops)+len(q.ops) > maxExtraOps) {
			break
		}
		e.Frames = append(e.Frames, q.frame)
		pending.records = append(pending.records, q.record)
		pending.ops = append(pending.ops, q.ops...)
		pending.urgent = pending.urgent || q.urgent
		size += len(q.frame.Body)
		taken++
	}
	value, err := cbor.Marshal(e)
	if err != nil {
		panic(err) // cannot happen: frames can always be encoded
	}
	pending.value = value
	p.pending = pending
	p.queue = slices.Delete(p.queue, 0, taken)
}

func (m *Machine) commitDone(now time.Time, ev CommitDone) []Effect {
	m.committing = false
	if ev.Err != nil {
		m.retryAt = now.Add(retryInterval)
		return nil
	}
	var effects []Effect
	for i, part := range m.txnPartitions {
		if m.partitions[part.id] != part {
			continue
		}
		if ev.Result.Committed {
			effects = append(effects, part.committed())
			continue
		}
		effects = append(effects, part.resolveRejected(ev.Result.Reads, 2*i)...)
	}
	return effects
}

// resolveRejected determines the outcome of an entry in a rejected transaction from the owner key and the log key,
// which are at reads[at] and reads[at+1]. An earlier request with the same entry may have taken effect without an
// answer, or the rejection may be due to another partition in the transaction.
func (p *partition) resolveRejected(reads [][]store.Entry, at int) []Effect {
	if len(reads) < at+2 {
		return nil
	}
	if written := reads[at+1]; len(written) == 1 && bytes.Equal(written[0].Value, p.pending.value) {
		return []Effect{p.committed()}
	}
	if owner := reads[at]; len(owner) == 1 && bytes.Equal(owner[0].Value, p.ownerValue) && len(reads[at+1]) == 0 {
		return nil
	}
	return []Effect{OwnershipLost{Partition: p.id, Epoch: p.epoch}}
}

func (p *partition) committed() Effect {
	c := Committed{
		Partition: p.id, Epoch: p.epoch, Records: p.pending.records, Sequence: p.nextSequence,
		SnapshotDue: p.nextSequence%SegmentEntries == SegmentEntries-1,
	}
	p.pending = nil
	p.nextSequence++
	return c
}

func logKey(p fleet.PartitionID, seq uint64) string {
	return fmt.Sprintf("%s%03d", logPrefix(p, seq/SegmentEntries), seq%SegmentEntries)
}

func logPrefix(p fleet.PartitionID, segment uint64) string {
	return fmt.Sprintf("ledger/%s/log/%012d/", p, segment)
}
