package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Revision is a revision of the store; it increases with every write.
type Revision int64

// LeaseID identifies a lease of the store; zero means no lease.
type LeaseID int64

// Entry is one key with its value and the revisions of its first and last write.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Compare is a condition of a transaction: [KeyAbsent], [KeyUnchanged] or [ValueEqual].
type Compare interface{ compare() }

// KeyAbsent is true if the key does not exist.
type KeyAbsent struct{ Key string }

// KeyUnchanged is true if the key was last written at ModRevision.
type KeyUnchanged struct {
	Key         string
	ModRevision Revision
}

// ValueEqual is true if the key exists with exactly the given value.
type ValueEqual struct {
	Key   string
	Value []byte
}

func (KeyAbsent) compare()    {}
func (KeyUnchanged) compare() {}
func (ValueEqual) compare()   {}

// Op is an operation of a transaction: [Put], [Delete] or [Get].
type Op interface{ op() }

// Put writes a value of at most [MaxValueBytes], attached to a lease unless Lease is zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Delete removes a key, or all keys that start with Key if Prefix is set.
type Delete struct {
	Key    string
	Prefix bool
}

// Get reads a key. If Prefix is set, it reads up to Limit keys that start with Key and are greater than After, in
// ascending order.
type Get struct {
	Key    string
	Prefix bool
	After  string
	Limit  int
}

func (Put) op()    {}
func (Delete) op() {}
func (Get) op()    {}

// MaxValueBytes is the size of the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// Txn is a transaction: it runs Then if all conditions in If are true, and Else otherwise.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult is the result of a transaction. Committed is set if Then ran, and Reads holds the entries returned by each
// [Get] of the branch that ran, in order.
type TxnResult struct {
	Committed bool
	Revision  Revision
	Reads     [][]Entry
}

// RangeResult holds the entries of a read and the store revision that it reflects; More is set if the limit truncated
// it.
type RangeResult struct {
	Entries  []Entry
	Revision Revision
	More     bool
}

// Change is a write reported by a watch. Deleted is set for a removal, whose Entry holds only the key and the revision.
type Change struct {
	Entry   Entry
	Deleted bool
}

// Client is a client of the store; its errors are [*NotSentError], [*OutcomeUnknownError] or [*RejectedError]. A call ends
// when its context does. A client may end it earlier if the store is silent, but not because a value is large.
type Client interface {
	// Range reads the entries that get selects.
	Range(ctx context.Context, get Get) (RangeResult, error)
	// Txn runs a transaction; after an [*OutcomeUnknownError] it may have taken effect.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease that expires unless it is renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time, or zero if it has expired.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls observe for each batch of changes to keys with the prefix after the given revision, until ctx is done
	// or the watch fails.
	Watch(ctx context.Context, prefix string, after Revision, observe func(Revision, []Change)) error
}

// NotSentError reports a call of which no byte was sent to the store.
type NotSentError struct {
	Op    string
	Cause error
}

// Error returns a message with the call and the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("store %s: not sent: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports a call that may or may not have taken effect.
type OutcomeUnknownError struct {
	Op    string
	Cause error
}

// Error returns a message with the call and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("store %s: outcome unknown: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// RejectedError reports a call that the store rejected without effect.
type RejectedError struct {
	Op     string
	Status int
	Reason string
}

// Error returns a message with the call, the HTTP status and the store's reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("store %s: rejected with status %d: %s", e.Op, e.Status, e.Reason)
}

// IsPermanent reports whether a call was rejected for what it contains, so that the same call is never accepted. A value that is too large
// is rejected as a bad request.
func IsPermanent(err error) bool {
	var rejected *RejectedError
	if !errors.As(err, &rejected) {
		return false
	}
	switch rejected.Status {
	case http.StatusBadRequest, http.StatusForbidden, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}
