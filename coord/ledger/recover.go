package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Numbers of log entries and snapshot chunks in one read, which limit a response to a few megabytes.
const (
	logReadLimit   = 300
	chunkReadLimit = 4
)

// head is the value of "ledger/<partition>/head". The current snapshot covers all segments below Segments and consists
// of Chunks chunks.
type head struct {
	Segments uint64 `cbor:"segments"`
	Chunks   int    `cbor:"chunks"`
}

func headKey(p fleet.PartitionID) string { return fmt.Sprintf("ledger/%s/head", p) }

func snapshotPrefix(p fleet.PartitionID, segments uint64) string {
	return fmt.Sprintf("ledger/%s/snap/%012d/", p, segments)
}

// Compaction holds the transactions that write a snapshot, in order, and the value of the head after the last of them.
//
// Each transaction may be repeated after an unknown outcome. The last one reads the head if it is rejected: if the
// value is Head, it has already taken effect, and otherwise the partition has another owner.
type Compaction struct {
	Txns []store.Txn
	Head []byte
}

// NewCompaction returns a compaction that replaces all segments up to the one of seq by a snapshot of the given
// records. lastHead is the current value of the head, or nil if there is none. A delayed write of an older head is
// rejected, because its chunks may have been deleted.
func NewCompaction(
	p fleet.PartitionID, ownerKey string, ownerValue []byte, lastHead []byte, seq uint64, records []Record,
) (Compaction, error) {
	covered := seq/SegmentEntries + 1
	owned := store.ValueEqual{Key: ownerKey, Value: ownerValue}
	chunks, err := splitChunks(records)
	if err != nil {
		return Compaction{}, err
	}
	var c Compaction
	for i, frames := range chunks {
		value, err := cbor.Marshal(entry{Frames: frames})
		if err != nil {
			return Compaction{}, err
		}
		put := store.Put{Key: fmt.Sprintf("%s%06d", snapshotPrefix(p, covered), i), Value: value}
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
	// Two segments and snapshots are deleted instead of one, because a former owner may have skipped a compaction.
	for back := uint64(1); back <= 2 && back <= covered; back++ {
		then = append(then, store.Delete{Key: logPrefix(p, covered-back), Prefix: true})
		then = append(then, store.Delete{Key: snapshotPrefix(p, covered-back), Prefix: true})
	}
	c.Txns = append(c.Txns, store.Txn{
		If: []store.Compare{owned, unchanged}, Then: then, Else: []store.Op{store.Get{Key: headKey(p)}},
	})
	return c, nil
}

// frameOverhead is an upper bound of the size that the encoding of a frame adds to its body.
const frameOverhead = 32

// splitChunks encodes records and splits them into chunks of at most [MaxChunkBytes], except for larger single records.
func splitChunks(records []Record) ([][]frame, error) {
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

// Recovery reads the ledger of a partition with as few store calls as its size allows: each read returned by
// [Recovery.Next] is run by the caller, which passes the result to [Recovery.Feed].
type Recovery struct {
	partition       fleet.PartitionID
	ownerCheck      []store.Compare
	head            head
	headValue       []byte
	headRead        bool
	afterLog        string
	logDone         bool
	afterChunk      string
	chunksRead      int
	snapshotRecords []Record
	logRecords      []Record
	nextSequence    uint64
}

// OwnershipLostError reports that this process no longer owns the partition that it recovers.
type OwnershipLostError struct {
	Partition fleet.PartitionID
}

// Error names the partition.
func (e *OwnershipLostError) Error() string {
	return fmt.Sprintf("partition %s has another owner", e.Partition)
}

// IncompleteSnapshotError reports a snapshot with missing chunks.
type IncompleteSnapshotError struct {
	Partition fleet.PartitionID
	Found     int
	Want      int
}

// Error names the partition and the numbers of chunks.
func (e *IncompleteSnapshotError) Error() string {
	return fmt.Sprintf("partition %s: snapshot has %d of %d chunks", e.Partition, e.Found, e.Want)
}

// NewRecovery returns a recovery for the owner that has written ownerValue to ownerKey.
func NewRecovery(p fleet.PartitionID, ownerKey string, ownerValue []byte) *Recovery {
	return &Recovery{partition: p, ownerCheck: []store.Compare{store.ValueEqual{Key: ownerKey, Value: ownerValue}}}
}

// Next returns the next read. It returns false when the recovery is complete.
func (r *Recovery) Next() (store.Txn, bool) {
	var ops []store.Op
	if !r.headRead {
		ops = append(ops, store.Get{Key: headKey(r.partition)})
	}
	if !r.logDone {
		ops = append(ops, store.Get{
			Key: fmt.Sprintf("ledger/%s/log/", r.partition), Prefix: true, After: r.afterLog, Limit: logReadLimit,
		})
	}
	if r.headRead && r.chunksRead < r.head.Chunks {
		ops = append(ops, store.Get{
			Key: snapshotPrefix(r.partition, r.head.Segments), Prefix: true, After: r.afterChunk, Limit: chunkReadLimit,
		})
	}
	return store.Txn{If: r.ownerCheck, Then: ops}, len(ops) > 0
}

// Feed processes the result of the read returned by [Recovery.Next]. An error ends the recovery: it is an
// [*OwnershipLostError], a [*FormatError] or an [*IncompleteSnapshotError].
func (r *Recovery) Feed(result store.TxnResult) error {
	if !result.Committed {
		return &OwnershipLostError{Partition: r.partition}
	}
	reads := result.Reads
	hasLog, hasChunks := !r.logDone, r.headRead && r.chunksRead < r.head.Chunks
	if !r.headRead {
		r.headRead = true
		if err := r.readHead(reads[0]); err != nil {
			return err
		}
		reads = reads[1:]
	}
	if hasLog {
		if err := r.readLog(reads[0]); err != nil {
			return err
		}
		reads = reads[1:]
	}
	if hasChunks {
		return r.readChunks(reads[0])
	}
	return nil
}

func (r *Recovery) readHead(entries []store.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := cbor.Unmarshal(entries[0].Value, &r.head); err != nil {
		return &FormatError{Key: entries[0].Key, Cause: err}
	}
	r.headValue = entries[0].Value
	r.nextSequence = r.head.Segments * SegmentEntries
	return nil
}

func (r *Recovery) readLog(entries []store.Entry) error {
	r.logDone = len(entries) < logReadLimit
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
		if seq != r.nextSequence {
			return &FormatError{Key: e.Key, Cause: fmt.Errorf("sequence is %d, want %d", seq, r.nextSequence)}
		}
		_, records, err := decodeEntry(e.Key, e.Value)
		if err != nil {
			return err
		}
		r.logRecords = append(r.logRecords, records...)
		r.nextSequence = seq + 1
	}
	return nil
}

func (r *Recovery) readChunks(entries []store.Entry) error {
	if len(entries) == 0 {
		return &IncompleteSnapshotError{Partition: r.partition, Found: r.chunksRead, Want: r.head.Chunks}
	}
	for _, e := range entries {
		r.afterChunk = e.Key
		_, records, err := decodeEntry(e.Key, e.Value)
		if err != nil {
			return err
		}
		r.snapshotRecords = append(r.snapshotRecords, records...)
		r.chunksRead++
	}
	return nil
}

// Records returns the snapshot's records followed by the log's.
func (r *Recovery) Records() []Record { return append(r.snapshotRecords, r.logRecords...) }

// NextSequence returns the sequence of the next log entry.
func (r *Recovery) NextSequence() uint64 { return r.nextSequence }

// Head returns the value of the head for [NewCompaction], or nil if the partition has none.
func (r *Recovery) Head() []byte { return r.headValue }
