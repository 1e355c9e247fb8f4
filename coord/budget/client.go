package budget

import (
	"context"
	"errors"
	"sync"
	"time"

	"lovagefork.example/coord/store"
)

// errQueueFull is the cause of the error of a call that was rejected because too many calls wait.
var errQueueFull = errors.New("too many calls wait for the store budget")

type priorityKey struct{}

// WithPriority returns a context that sets the priority of the store calls made with it. The default is
// [PrioritySession] for lease calls, [PriorityLedger] for other writes and [PriorityConfig] for reads.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// WithDefaultPriority returns a client with the same budget whose calls have the priority p by default. A priority set
// by [WithPriority] takes precedence. Keepalive, revoke and watch calls keep their own default.
func (c *Client) WithDefaultPriority(p Priority) store.Client {
	return priorityClient{Client: c, priority: p}
}

// priorityClient is a view of a [Client] with another default priority.
type priorityClient struct {
	*Client
	priority Priority
}

func (p priorityClient) context(ctx context.Context) context.Context {
	return WithPriority(ctx, priorityOf(ctx, p.priority))
}

// Range implements [store.Client].
func (p priorityClient) Range(ctx context.Context, get store.Get) (store.RangeResult, error) {
	return p.Client.Range(p.context(ctx), get)
}

// Txn implements [store.Client].
func (p priorityClient) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	return p.Client.Txn(p.context(ctx), txn)
}

// Grant implements [store.Client].
func (p priorityClient) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return p.Client.Grant(p.context(ctx), ttl)
}

// priorityOf returns the priority that is set in ctx, or fallback if there is none.
func priorityOf(ctx context.Context, fallback Priority) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return fallback
}

// Client is a [store.Client] that delays each call until a [Machine] admits it. A call that is canceled or rejected
// before that fails with a [*store.NotSentError].
type Client struct {
	next store.Client

	mu      sync.Mutex
	machine *Machine
	lastID  uint64
	waiters map[uint64]chan error
	timer   *time.Timer
}

var _ store.Client = (*Client)(nil)

// NewClient returns a client that forwards calls to next as the machine admits them. The caller must not use the
// machine afterwards.
func NewClient(next store.Client, m *Machine) *Client {
	return &Client{next: next, machine: m, waiters: make(map[uint64]chan error)}
}

// SetMemberCount sets the number of processes that hold a session. The caller must call it after each read or observed
// change of the members, and at least every second while the store can be read.
func (c *Client) SetMemberCount(count int) {
	c.step(MembersCounted{Count: count})
}

// SetSessionEnd sets the time until which this process is certain to hold a session. The caller must call it after each
// renewal, and with the zero time when it gives up the session.
func (c *Client) SetSessionEnd(until time.Time) {
	c.step(SessionConfirmed{Until: until})
}

// Share returns the rates, in calls per second, that this process may use now.
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
			c.resolve(effect.ID, nil)
		case Reject:
			c.resolve(effect.ID, errQueueFull)
		case Wake:
			c.scheduleTick(effect.At)
		}
	}
}

func (c *Client) resolve(id uint64, err error) {
	if admitted := c.waiters[id]; admitted != nil {
		delete(c.waiters, id)
		admitted <- err
	}
}

func (c *Client) scheduleTick(at time.Time) {
	if c.timer == nil {
		c.timer = time.AfterFunc(time.Until(at), func() { c.step(Tick{}) })
		return
	}
	c.timer.Reset(time.Until(at))
}

// wait blocks until the call may be sent. It returns a [*store.NotSentError] if the call was rejected or canceled.
func (c *Client) wait(ctx context.Context, op string, write bool, p Priority) error {
	admitted := make(chan error, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.waiters[id] = admitted
	c.stepLocked(Enqueue{ID: id, Write: write, Priority: priorityOf(ctx, p)})
	c.mu.Unlock()
	var err error
	select {
	case err = <-admitted:
	case <-ctx.Done():
		err = ctx.Err()
		c.mu.Lock()
		delete(c.waiters, id)
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
