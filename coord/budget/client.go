package budget

import (
	"context"
	"errors"
	"sync"
	"time"

	"lovagefork.example/coord/store"
)

// errQueueFull is the cause of a call that was refused because too many wait.
var errQueueFull = errors.New("too many calls wait for the store budget")

type priorityKey struct{}

// WithPriority returns a context whose store calls have a priority. Without one, lease calls have [Session], other
// writes [Ledger], and reads [Config].
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// At returns the same budget for a path whose calls have another priority unless their context says otherwise.
func (c *Client) WithDefaultPriority(p Priority) store.Client { return path{Client: c, priority: p} }

// path is one user of a [Client] with its own priority.
type path struct {
	*Client
	priority Priority
}

func (p path) context(ctx context.Context) context.Context {
	return WithPriority(ctx, priorityOf(ctx, p.priority))
}

// Range implements [store.Client].
func (p path) Range(ctx context.Context, get store.Get) (store.RangeResult, error) {
	return p.Client.Range(p.context(ctx), get)
}

// Txn implements [store.Client].
func (p path) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	return p.Client.Txn(p.context(ctx), txn)
}

// Grant implements [store.Client].
func (p path) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return p.Client.Grant(p.context(ctx), ttl)
}

func priorityOf(ctx context.Context, otherwise Priority) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return otherwise
}

// Client is a [store.Client] whose calls wait for a [Machine]; a call that ends while it waits is a
// [*store.NotSentError].
type Client struct {
	next store.Client

	mu      sync.Mutex
	machine *Machine
	lastID  uint64
	turns   map[uint64]chan error
	timer   *time.Timer
}

var _ store.Client = (*Client)(nil)

// Limit returns a client that passes the calls on to next as the machine allows; the machine belongs to it from then on.
func NewClient(next store.Client, m *Machine) *Client {
	return &Client{next: next, machine: m, turns: make(map[uint64]chan error)}
}

// Members tells the budget how many processes hold a session. It is called after each read or observed change of the
// members, at least every second while they can be read.
func (c *Client) SetMemberCount(count int) {
	c.step(MembersCounted{Count: count})
}

// Held tells the budget until when this process surely holds a session; it is called after each renewal, and with the
// zero time when the session is given up.
func (c *Client) SetSessionEnd(until time.Time) {
	c.step(SessionConfirmed{Until: until})
}

// Share returns the calls a second that this process may spend at present.
func (c *Client) Share() Rates {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Share(time.Now())
}

func (c *Client) step(ev Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepLocked(ev)
}

func (c *Client) stepLocked(ev Event) {
	for _, effect := range c.machine.Step(time.Now(), ev) {
		switch effect := effect.(type) {
		case Proceed:
			c.finish(effect.ID, nil)
		case Reject:
			c.finish(effect.ID, errQueueFull)
		case Wake:
			c.wakeAt(effect.At)
		}
	}
}

func (c *Client) finish(id uint64, err error) {
	if turn := c.turns[id]; turn != nil {
		delete(c.turns, id)
		turn <- err
	}
}

func (c *Client) wakeAt(at time.Time) {
	if c.timer == nil {
		c.timer = time.AfterFunc(time.Until(at), func() { c.step(Tick{}) })
		return
	}
	c.timer.Reset(time.Until(at))
}

// wait returns when the call may go, or a [*store.NotSentError].
func (c *Client) wait(ctx context.Context, op string, write bool, p Priority) error {
	turn := make(chan error, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.turns[id] = turn
	c.stepLocked(Enqueue{ID: id, Write: write, Priority: priorityOf(ctx, p)})
	c.mu.Unlock()
	var err error
	select {
	case err = <-turn:
	case <-ctx.Done():
		err = ctx.Err()
		c.mu.Lock()
		delete(c.turns, id)
		c.stepLocked(Cancel{ID: id})
		c.mu.Unlock()
	}
	if err != nil {
		return &store.NotSentError{Op: op, Cause: err}
	}
	return nil
}

// Range implements [store.Client].
func (c *Client) Range(ctx context.Context, get store.Get) (store.RangeResult, error) {
	if err := c.wait(ctx, "range", false, PriorityConfig); err != nil {
		return store.RangeResult{}, err
	}
	return c.next.Range(ctx, get)
}

// Txn implements [store.Client]; a transaction that can write counts as a write.
func (c *Client) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	write := writes(txn.Then) || writes(txn.Else)
	p := PriorityConfig
	if write {
		p = PriorityLedger
	}
	if err := c.wait(ctx, "txn", write, p); err != nil {
		return store.TxnResult{}, err
	}
	return c.next.Txn(ctx, txn)
}

func writes(ops []store.Op) bool {
	for _, op := range ops {
		if _, read := op.(store.Get); !read {
			return true
		}
	}
	return false
}

// Grant implements [store.Client].
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := c.wait(ctx, "grant", true, PrioritySession); err != nil {
		return 0, err
	}
	return c.next.Grant(ctx, ttl)
}

// KeepAlive implements [store.Client].
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if err := c.wait(ctx, "keepalive", true, PrioritySession); err != nil {
		return 0, err
	}
	return c.next.KeepAlive(ctx, id)
}

// Revoke implements [store.Client].
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := c.wait(ctx, "revoke", true, PrioritySession); err != nil {
		return err
	}
	return c.next.Revoke(ctx, id)
}

// Watch implements [store.Client]; a watch counts as one read.
func (c *Client) Watch(
	ctx context.Context, prefix string, after store.Revision, observe func(store.Revision, []store.Change),
) error {
	if err := c.wait(ctx, "watch", false, PriorityConfig); err != nil {
		return err
	}
	return c.next.Watch(ctx, prefix, after, observe)
}
