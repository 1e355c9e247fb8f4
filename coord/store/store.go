package store

import (
	"context"
	"fmt"
	"time"
)

// Revision is a store revision; it grows with every write.
type Revision int64

// LeaseID names a lease of the store; zero means no lease.
type LeaseID int64

// Entry is one key with its value and the revisions of its first and last write.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Compare is one condition of a transaction: [Absent], [Unchanged] or [Equal].
type Compare interface{ compare() }

// Absent holds while the key does not exist.
type KeyAbsent struct{ Key string }

// Unchanged holds while the key's last write is the given revision.
type KeyUnchanged struct {
	Key         string
	ModRevision Revision
}

// Equal holds while the key has exactly the given value.
type ValueEqual struct {
	Key   string
	Value []byte
}

func (KeyAbsent) compare()    {}
func (KeyUnchanged) compare() {}
func (ValueEqual) compare()   {}

// Op is one operation of a transaction: [Put], [Delete] or [Get].
type Op interface{ op() }

// Put writes a value of at most [MaxValueBytes], attached to a lease unless Lease is zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Delete removes a key, or all keys with the prefix.
type Delete struct {
	Key    string
	Prefix bool
}

// Get reads a key, or up to Limit keys with the prefix that are greater than After, in ascending order.
type Get struct {
	Key    string
	Prefix bool
	After  string
	Limit  int
}

func (Put) op()    {}
func (Delete) op() {}
func (Get) op()    {}

// MaxValueBytes is the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// Txn runs Then if all conditions hold and Else if not.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult tells which branch ran, at which revision, and the entries that each [Get] of it returned, in order.
type TxnResult struct {
	Committed bool
	Revision  Revision
	Reads     [][]Entry
}

// RangeResult holds the entries of a read, the revision it reflects, and whether the limit cut it short.
type RangeResult struct {
	Entries  []Entry
	Revision Revision
	More     bool
}

// Change is one observed write; Deleted is set for a removal, whose Entry has only the key and the revision.
type Change struct {
	Entry   Entry
	Deleted bool
}

// Client is the store as the system uses it; its errors are [*NotSentError], [*UnclearError] or [*RejectedError].
type Client interface {
	// Range reads the entries that get selects.
	Range(ctx context.Context, get Get) (RangeResult, error)
	// Txn runs a transaction; an [*UnclearError] means that it may have taken effect.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease that lapses unless it is renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns the time left, zero if it has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls observe with batches of changes under the prefix after the given revision until ctx ends or the watch breaks.
	Watch(ctx context.Context, prefix string, after Revision, observe func(Revision, []Change)) error
}

// NotSentError reports a call of which no byte reached the store.
type NotSentError struct {
	Op    string
	Cause error
}

// Error names the call and the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("store %s: not sent: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnclearError reports a call that may or may not have taken effect.
type OutcomeUnknownError struct {
	Op    string
	Cause error
}

// Error names the call and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("store %s: outcome unknown: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// RejectedError reports a call that the store refused without effect.
type RejectedError struct {
	Op     string
	Status int
	Reason string
}

// Error names the call, the HTTP status and the store's reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("store %s: rejected with status %d: %s", e.Op, e.Status, e.Reason)
}
