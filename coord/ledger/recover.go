package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Read sizes of a recovery, which keep one answer to a few megabytes.
const (
	readLogs   = 300
	readChunks = 4
)

// head is the value of "ledger/<p>/head"; the snapshot covers all segments below Segments.
type head struct {
	Segments uint64 `cbor:"segments"`
	Chunks   int    `cbor:"chunks"`
}

func headKey(p fleet.PartitionID) string { return fmt.Sprintf("ledger/%s/head", p) }

func snapPrefix(p fleet.PartitionID, segments uint64) string {
	return fmt.Sprintf("ledger/%s/snap/%012d/", p, segments)
}

// Compaction is a snapshot to be written: the transactions in order, and the value of the head after the last of them.
//
// Each transaction may be repeated after an unclear answer. The last one reads the head if it is refused: it has taken
// effect if the head is Head, and otherwise the partition was lost.
type Compaction struct {
	Txns []store.Txn
	Head []byte
}

// Snapshot replaces all segments up to that of seq by records; lastHead is the head that the owner knows, nil for none.
// A delayed write of an older head is refused, because it would point to chunks that are deleted.
func NewCompaction(
	p fleet.PartitionID, ownerKey string, ownerValue []byte, lastHead []byte, seq uint64, records []Record,
) (Compaction, error) {
	covered := seq/SegmentEntries + 1
	owned := store.ValueEqual{Key: ownerKey, Value: ownerValue}
	chunks, err := chunk(records)
	if err != nil {
		return Compaction{}, err
	}
	var c Compaction
	for i, frames := range chunks {
		value, err := cbor.Marshal(entry{Frames: frames})
		if err != nil {
			return Compaction{}, err
		}
		put := store.Put{Key: fmt.Sprintf("%s%06d", snapPrefix(p, covered), i), Value: value}
		c.Txns = append(c.Txns, store.Txn{If: []store.Compare{owned}, Then: []store.Op{put}})
	}
	if c.Head, err = cbor.Marshal(head{Segments: covered, Chunks: len(chunks)}); err != nil {
		return Compaction{}, err
	}
	var unchanged store.Compare = store.KeyAbsent{Key: headKey(p)}
	if lastHead != nil {
		unchanged = store.ValueEqual{Key: headKey(p), Value: lastHead}
	}
	then := []store.Op{store.Put{Key: headKey(p), Value: c.Head}}
	// Two segments and snapshots back are deleted again, because a lost owner may have skipped a compaction.
	for back := uint64(1); back <= 2 && back <= covered; back++ {
		then = append(then, store.Delete{Key: logPrefix(p, covered-back), Prefix: true})
		then = append(then, store.Delete{Key: snapPrefix(p, covered-back), Prefix: true})
	}
	c.Txns = append(c.Txns, store.Txn{
		If: []store.Compare{owned, unchanged}, Then: then, Else: []store.Op{store.Get{Key: headKey(p)}},
	})
	return c, nil
}

// frameOverhead is more than what a frame adds to its body.
const frameOverhead = 32

func chunk(records []Record) ([][]frame, error) {
	var chunks [][]frame
	size := 0
	for i, r := range records {
		f, err := encodeFrame(r)
		if err != nil {
			return nil, err
		}
		n := len(f.Body) + frameOverhead
		if i == 0 || size+n > MaxChunkBytes {
			chunks, size = append(chunks, nil), 0
		}
		last := len(chunks) - 1
		chunks[last] = append(chunks[last], f)
		size += n
	}
	return chunks, nil
}

// Recovery reads the ledger of a partition in as few calls as its size allows.
type Recovery struct {
	partition fleet.PartitionID
	owned     []store.Compare
	head      head
	headValue []byte
	started   bool
	afterLog  string
	logDone   bool
	afterSnap string
	chunks    int
	snapshot  []Record
	log       []Record
	next      uint64
}

// LostError reports that another process took the partition during its recovery.
type OwnershipLostError struct {
	Partition fleet.PartitionID
}

// Error names the partition.
func (e *OwnershipLostError) Error() string { return fmt.Sprintf("partition %s has another owner", e.Partition) }

// IncompleteError reports a snapshot with missing chunks.
type IncompleteSnapshotError struct {
	Partition fleet.PartitionID
	Found     int
	Want      int
}

// Error names the partition and the chunks.
func (e *IncompleteSnapshotError) Error() string {
	return fmt.Sprintf("partition %s: snapshot has %d of %d chunks", e.Partition, e.Found, e.Want)
}

// NewRecovery returns a recovery for the owner that has written ownerValue.
func NewRecovery(p fleet.PartitionID, ownerKey string, ownerValue []byte) *Recovery {
	return &Recovery{partition: p, owned: []store.Compare{store.ValueEqual{Key: ownerKey, Value: ownerValue}}}
}

// Next returns the next read, and false when the recovery is complete.
func (r *Recovery) Next() (store.Txn, bool) {
	var ops []store.Op
	if !r.started {
		ops = append(ops, store.Get{Key: headKey(r.partition)})
	}
	if !r.logDone {
		ops = append(ops, store.Get{
			Key: fmt.Sprintf("ledger/%s/log/", r.partition), Prefix: true, After: r.afterLog, Limit: readLogs,
		})
	}
	if r.started && r.chunks < r.head.Chunks {
		ops = append(ops, store.Get{
			Key: snapPrefix(r.partition, r.head.Segments), Prefix: true, After: r.afterSnap, Limit: readChunks,
		})
	}
	return store.Txn{If: r.owned, Then: ops}, len(ops) > 0
}

// Feed takes the answer to the read of [Recovery.Next]; its error ends the recovery.
func (r *Recovery) Feed(result store.TxnResult) error {
	if !result.Committed {
		return &OwnershipLostError{Partition: r.partition}
	}
	reads := result.Reads
	takeLog, takeSnap := !r.logDone, r.started && r.chunks < r.head.Chunks
	if !r.started {
		r.started = true
		if err := r.takeHead(reads[0]); err != nil {
			return err
		}
		reads = reads[1:]
	}
	if takeLog {
		if err := r.takeLog(reads[0]); err != nil {
			return err
		}
		reads = reads[1:]
	}
	if takeSnap {
		return r.takeChunks(reads[0])
	}
	return nil
}

func (r *Recovery) takeHead(entries []store.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := cbor.Unmarshal(entries[0].Value, &r.head); err != nil {
		return &FormatError{Key: entries[0].Key, Cause: err}
	}
	r.headValue = entries[0].Value
	r.next = r.head.Segments * SegmentEntries
	return nil
}

func (r *Recovery) takeLog(entries []store.Entry) error {
	r.logDone = len(entries) < readLogs
	for _, e := range entries {
		r.afterLog = e.Key
		var segment, index uint64
		tail := e.Key[len(fmt.Sprintf("ledger/%s/log/", r.partition)):]
		if _, err := fmt.Sscanf(tail, "%d/%d", &segment, &index); err != nil {
			return &FormatError{Key: e.Key, Cause: err}
		}
		seq := segment*SegmentEntries + index
		if segment < r.head.Segments {
			continue
		}
		if seq != r.next {
			return &FormatError{Key: e.Key, Cause: fmt.Errorf("sequence is %d, want %d", seq, r.next)}
		}
		_, records, err := decodeEntry(e.Key, e.Value)
		if err != nil {
			return err
		}
		r.log = append(r.log, records...)
		r.next = seq + 1
	}
	return nil
}

func (r *Recovery) takeChunks(entries []store.Entry) error {
	if len(entries) == 0 {
		return &IncompleteSnapshotError{Partition: r.partition, Found: r.chunks, Want: r.head.Chunks}
	}
	for _, e := range entries {
		r.afterSnap = e.Key
		_, records, err := decodeEntry(e.Key, e.Value)
		if err != nil {
			return err
		}
		r.snapshot = append(r.snapshot, records...)
		r.chunks++
	}
	return nil
}

// Records returns the snapshot's records followed by the log's.
func (r *Recovery) Records() []Record { return append(r.snapshot, r.log...) }

// Sequence returns the sequence of the next log entry.
func (r *Recovery) NextSequence() uint64 { return r.next }

// Head returns the value of the head for [Snapshot], nil if the partition has none.
func (r *Recovery) Head() []byte { return r.headValue }
