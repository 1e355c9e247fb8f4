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

// Limits of a commit.
const (
	// TickEvery is the interval between commits while the store budget allows it.
	TickInterval = 50 * time.Millisecond
	// SegmentEntries is the number of log entries after which a partition writes a snapshot.
	SegmentEntries = 256
	// ChunkBytes keeps values well below the store's limit of one megabyte.
	MaxChunkBytes = 512 << 10
	// maxGroup keeps a transaction below 128 operations and 128 conditions, the usual limits of the store.
	maxGroup = 40
	// maxExtra bounds the operations of one partition beside its log entry.
	maxExtra = 40
	// retryEvery paces the repetition of a commit whose outcome is unclear.
	retryEvery = 250 * time.Millisecond
)

// Event is an input of [Machine.Step].
type Event interface{ event() }

type (
	// Open starts the log of an owned partition at sequence Next.
	Open struct {
		Partition  fleet.PartitionID
		Epoch      fleet.Epoch
		OwnerKey   string
		OwnerValue []byte
		Next       uint64
	}
	// Close forgets a partition with its uncommitted records.
	Close struct{ Partition fleet.PartitionID }
	// Append adds records, and operations that must take effect in the same transaction; Urgent marks its [Commit].
	Append struct {
		Partition fleet.PartitionID
		Records   []Record
		Ops       []store.Op
		Urgent    bool
	}
	// Tick tells that a commit may be sent.
	Tick struct{}
	// Done answers [Commit]; Err is an error of [store.Client].
	CommitDone struct {
		Result store.TxnResult
		Err    error
	}
)

func (Open) event()   {}
func (Close) event()  {}
func (Append) event() {}
func (Tick) event()   {}
func (CommitDone) event()   {}

// Effect is an output of [Machine.Step].
type Effect interface{ effect() }

type (
	// Commit asks to run a transaction; at most one is under way.
	Commit struct {
		Txn     store.Txn
		Records int
		Urgent  bool
	}
	// Committed tells that records of a partition are durable. Snapshot is set if they end a segment.
	Committed struct {
		Partition fleet.PartitionID
		Epoch     fleet.Epoch
		Records   []Record
		Sequence  uint64
		SnapshotDue  bool
	}
	// LostOwnership tells that the store refused a commit because another process owns the partition or none does.
	OwnershipLost struct {
		Partition fleet.PartitionID
		Epoch     fleet.Epoch
	}
)

func (Commit) effect()        {}
func (Committed) effect()     {}
func (OwnershipLost) effect() {}

type partition struct {
	id         fleet.PartitionID
	epoch      fleet.Epoch
	ownerKey   string
	ownerValue []byte
	next       uint64
	queue      []pending
	inflight   *batch
}

type pending struct {
	record Record
	frame  frame
	ops    []store.Op
	urgent bool
}

// batch is a log entry whose outcome is not known; it is repeated unchanged until it is.
type batch struct {
	key     string
	value   []byte
	records []Record
	ops     []store.Op
	urgent  bool
}

// Machine holds the logs of all partitions that one process owns; it is not safe for concurrent use.
type Machine struct {
	partitions map[fleet.PartitionID]*partition
	sent       []*partition
	busy       bool
	nextTry    time.Time
}

// New returns a machine without partitions.
func New() *Machine {
	return &Machine{partitions: make(map[fleet.PartitionID]*partition)}
}

// Step applies one event and returns what must be done, in order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Open:
		m.partitions[ev.Partition] = &partition{
			id: ev.Partition, epoch: ev.Epoch, ownerKey: ev.OwnerKey, ownerValue: ev.OwnerValue, next: ev.Next,
		}
	case Close:
		delete(m.partitions, ev.Partition)
	case Append:
		m.append(ev)
	case Tick:
		return m.commit(now)
	case CommitDone:
		return m.done(now, ev)
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
	if part.inflight != nil {
		n += len(part.inflight.records)
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
			panic(err) // the records of this package always encode
		}
		p := pending{record: r, frame: f, urgent: ev.Urgent}
		if i == 0 {
			p.ops = ev.Ops
		}
		part.queue = append(part.queue, p)
	}
}

func (m *Machine) commit(now time.Time) []Effect {
	if m.busy || now.Before(m.nextTry) {
		return nil
	}
	var txn store.Txn
	m.sent = m.sent[:0]
	records, bytes, ops, urgent := 0, 0, 0, false
	for _, id := range slices.Sorted(maps.Keys(m.partitions)) {
		part := m.partitions[id]
		part.seal()
		b := part.inflight
		if b == nil {
			continue
		}
		if len(m.sent) > 0 && (len(m.sent) == maxGroup || bytes+len(b.value) > MaxChunkBytes || ops+len(b.ops) > maxExtra) {
			continue
		}
		m.sent = append(m.sent, part)
		records, bytes, ops = records+len(b.records), bytes+len(b.value), ops+len(b.ops)
		urgent = urgent || b.urgent
		txn.If = append(txn.If, store.ValueEqual{Key: part.ownerKey, Value: part.ownerValue}, store.KeyAbsent{Key: b.key})
		txn.Then = append(txn.Then, store.Put{Key: b.key, Value: b.value})
		txn.Then = append(txn.Then, b.ops...)
		txn.Else = append(txn.Else, store.Get{Key: part.ownerKey}, store.Get{Key: b.key})
	}
	if len(m.sent) == 0 {
		return nil
	}
	m.busy = true
	return []Effect{Commit{Txn: txn, Records: records, Urgent: urgent}}
}

// seal turns queued records into the next log entry. Nothing is added to an entry that was sent once, because the
// earlier request may still take effect.
func (p *partition) seal() {
	if p.inflight != nil || len(p.queue) == 0 {
		return
	}
	b := &batch{key: logKey(p.id, p.next)}
	e := entry{Epoch: p.epoch}
	size, taken := 0, 0
	for _, q := range p.queue {
		if taken > 0 && (size+len(q.frame.Body) > MaxChunkBytes || len(b.ops)+len(q.ops) > maxExtra) {
			break
		}
		e.Frames = append(e.Frames, q.frame)
		b.records = append(b.records, q.record)
		b.ops = append(b.ops, q.ops...)
		b.urgent = b.urgent || q.urgent
		size += len(q.frame.Body)
		taken++
	}
	value, err := cbor.Marshal(e)
	if err != nil {
		panic(err) // frames always encode
	}
	b.value = value
	p.inflight = b
	p.queue = slices.Delete(p.queue, 0, taken)
}

func (m *Machine) done(now time.Time, ev CommitDone) []Effect {
	m.busy = false
	if ev.Err != nil {
		m.nextTry = now.Add(retryEvery)
		return nil
	}
	var effects []Effect
	for i, part := range m.sent {
		if m.partitions[part.id] != part {
			continue
		}
		if ev.Result.Committed {
			effects = append(effects, part.committed())
			continue
		}
		effects = append(effects, part.readBack(ev.Result.Reads, 2*i)...)
	}
	return effects
}

// readBack decides a refused commit by what the store holds: an earlier request of the same entry may have taken
// effect without an answer, and another partition of the group may be the one that was lost.
func (p *partition) readBack(reads [][]store.Entry, at int) []Effect {
	if len(reads) < at+2 {
		return nil
	}
	if written := reads[at+1]; len(written) == 1 && bytes.Equal(written[0].Value, p.inflight.value) {
		return []Effect{p.committed()}
	}
	if owner := reads[at]; len(owner) == 1 && bytes.Equal(owner[0].Value, p.ownerValue) && len(reads[at+1]) == 0 {
		return nil
	}
	return []Effect{OwnershipLost{Partition: p.id, Epoch: p.epoch}}
}

func (p *partition) committed() Effect {
	c := Committed{
		Partition: p.id, Epoch: p.epoch, Records: p.inflight.records, Sequence: p.next,
		SnapshotDue: p.next%SegmentEntries == SegmentEntries-1,
	}
	p.inflight = nil
	p.next++
	return c
}

func logKey(p fleet.PartitionID, seq uint64) string {
	return fmt.Sprintf("%s%03d", logPrefix(p, seq/SegmentEntries), seq%SegmentEntries)
}

func logPrefix(p fleet.PartitionID, segment uint64) string {
	return fmt.Sprintf("ledger/%s/log/%012d/", p, segment)
}
