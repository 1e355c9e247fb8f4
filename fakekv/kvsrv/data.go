package kvsrv

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"
)

// Limits of the store. The limits on transaction operations and on value size follow the defaults of etcd.
const (
	maxTxnOps     = 128
	maxValueBytes = 1 << 20
	// minKeptEvents is the number of events kept for watches when older ones are discarded.
	minKeptEvents   = 200_000
	expiryInterval  = 50 * time.Millisecond
	maxLeaseSeconds = 9_000_000_000
)

// apiError is an error response with its HTTP status and gRPC code.
type apiError struct {
	status int
	code   int
	text   string
}

func (e *apiError) Error() string { return e.text }

func invalid(format string, args ...any) error {
	return &apiError{http.StatusBadRequest, 3, "etcdserver: " + fmt.Sprintf(format, args...)}
}

var errNoLease = &apiError{http.StatusNotFound, 5, "etcdserver: requested lease not found"}

type leaseState struct {
	ttl      int64
	deadline time.Time
	keys     map[string]struct{}
}

// data holds the keys, leases and recent events. The methods txn, grant, keepAlive, revoke, expire and eventsSince
// lock mu; callers of the other methods must hold it.
type data struct {
	mu       sync.Mutex
	revision int64
	items    map[string]keyValue
	keys     []string
	leases   map[int64]*leaseState
	nextID   int64
	events   []event
	// compactedRevision is the revision of the newest event that was discarded.
	compactedRevision int64
	// changed is closed and replaced after each write.
	changed chan struct{}
}

func newData() *data {
	return &data{
		revision: 1,
		items:    make(map[string]keyValue),
		leases:   make(map[int64]*leaseState),
		nextID:   7_587_000_000_000_000,
		changed:  make(chan struct{}),
	}
}

// keysInRange returns the keys selected by key and rangeEnd, with the same rules as etcd: an empty rangeEnd selects one
// key, and a zero byte selects all keys from key on.
func (d *data) keysInRange(key, rangeEnd []byte) []string {
	if len(rangeEnd) == 0 {
		if _, ok := d.items[string(key)]; ok {
			return []string{string(key)}
		}
		return nil
	}
	from := sort.SearchStrings(d.keys, string(key))
	to := len(d.keys)
	if !bytes.Equal(rangeEnd, []byte{0}) {
		to = sort.SearchStrings(d.keys, string(rangeEnd))
	}
	return d.keys[from:max(from, to)]
}

func (d *data) get(req rangeRequest) *rangeResponse {
	keys := d.keysInRange(req.Key, req.RangeEnd)
	resp := &rangeResponse{Header: header{d.revision}, Count: int64(len(keys))}
	if req.Limit > 0 && int64(len(keys)) > req.Limit {
		keys, resp.More = keys[:req.Limit], true
	}
	for _, k := range keys {
		resp.Kvs = append(resp.Kvs, d.items[k])
	}
	return resp
}

func (d *data) put(req putRequest, revision int64) {
	key := string(req.Key)
	old, exists := d.items[key]
	kv := keyValue{
		Key: req.Key, Value: req.Value, Lease: req.Lease, ModRevision: revision, CreateRevision: revision,
		Version: old.Version + 1,
	}
	if exists {
		kv.CreateRevision = old.CreateRevision
		d.detachLease(old)
	} else {
		i, _ := slices.BinarySearch(d.keys, key)
		d.keys = slices.Insert(d.keys, i, key)
	}
	d.items[key] = kv
	if l := d.leases[req.Lease]; l != nil {
		l.keys[key] = struct{}{}
	}
	d.appendEvent(event{Kv: kv})
}

func (d *data) remove(keys []string, revision int64) {
	for _, key := range slices.Clone(keys) {
		old := d.items[key]
		d.detachLease(old)
		delete(d.items, key)
		if i, found := slices.BinarySearch(d.keys, key); found {
			d.keys = slices.Delete(d.keys, i, i+1)
		}
		d.appendEvent(event{Type: "DELETE", Kv: keyValue{Key: old.Key, ModRevision: revision}})
	}
}

func (d *data) detachLease(kv keyValue) {
	if l := d.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// appendEvent stores an event for watches. When there are more than twice minKeptEvents, it discards the oldest ones.
func (d *data) appendEvent(e event) {
	d.events = append(d.events, e)
	if len(d.events) > 2*minKeptEvents {
		cut := len(d.events) - minKeptEvents
		d.compactedRevision = d.events[cut-1].Kv.ModRevision
		d.events = slices.Clone(d.events[cut:])
	}
}

func (d *data) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// evalCompare reports whether a compare of a transaction holds. As in etcd, a VALUE compare fails for an absent key.
func (d *data) evalCompare(c compare) (bool, error) {
	kv, exists := d.items[string(c.Key)]
	var order int
	switch c.Target {
	case "", "VERSION":
		order = cmp.Compare(kv.Version, c.Version)
	case "CREATE":
		order = cmp.Compare(kv.CreateRevision, c.CreateRevision)
	case "MOD":
		order = cmp.Compare(kv.ModRevision, c.ModRevision)
	case "VALUE":
		if !exists {
			return false, nil
		}
		order = bytes.Compare(kv.Value, c.Value)
	default:
		return false, invalid("unknown compare target %q", c.Target)
	}
	switch c.Result {
	case "", "EQUAL":
		return order == 0, nil
	case "NOT_EQUAL":
		return order != 0, nil
	case "GREATER":
		return order > 0, nil
	case "LESS":
		return order < 0, nil
	}
	return false, invalid("unknown compare result %q", c.Result)
}

// validateOps checks the limits and rejects two puts of the same key.
func (d *data) validateOps(ops []requestOp) error {
	if len(ops) > maxTxnOps {
		return invalid("too many operations in txn request")
	}
	seen := make(map[string]struct{})
	for _, op := range ops {
		if op.Put == nil {
			continue
		}
		if len(op.Put.Key) == 0 {
			return invalid("key is not provided")
		}
		if len(op.Put.Value) > maxValueBytes {
			return invalid("request is too large")
		}
		if _, duplicate := seen[string(op.Put.Key)]; duplicate {
			return invalid("duplicate key given in txn request")
		}
		seen[string(op.Put.Key)] = struct{}{}
	}
	return nil
}

// checkLeases returns an error if a put refers to a lease that does not exist.
func (d *data) checkLeases(ops []requestOp) error {
	for _, op := range ops {
		if op.Put != nil && op.Put.Lease != 0 && d.leases[op.Put.Lease] == nil {
			return errNoLease
		}
	}
	return nil
}

func (d *data) txn(req txnRequest) (*txnResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(req.Compare) > maxTxnOps {
		return nil, invalid("too many operations in txn request")
	}
	for _, ops := range [][]requestOp{req.Success, req.Failure} {
		if err := d.validateOps(ops); err != nil {
			return nil, err
		}
	}
	resp := &txnResponse{Succeeded: true}
	for _, c := range req.Compare {
		ok, err := d.evalCompare(c)
		if err != nil {
			return nil, err
		}
		resp.Succeeded = resp.Succeeded && ok
	}
	ops := req.Success
	if !resp.Succeeded {
		ops = req.Failure
	}
	if err := d.checkLeases(ops); err != nil {
		return nil, err
	}
	d.apply(ops, resp)
	return resp, nil
}

// apply runs all operations at one new revision. The store revision advances only if an operation changed a key.
func (d *data) apply(ops []requestOp, resp *txnResponse) {
	next, changed := d.revision+1, false
	for _, op := range ops {
		var r responseOp
		switch {
		case op.Range != nil:
			r.Range = d.get(*op.Range)
		case op.Put != nil:
			d.put(*op.Put, next)
			changed = true
			r.Put = &putResponse{Header: header{next}}
		case op.Delete != nil:
			keys := d.keysInRange(op.Delete.Key, op.Delete.RangeEnd)
			r.Delete = &deleteResponse{Header: header{next}, Deleted: int64(len(keys))}
			changed = changed || len(keys) > 0
			d.remove(keys, next)
		}
		resp.Responses = append(resp.Responses, r)
	}
	if changed {
		d.revision = next
		d.notifyWatchers()
	}
	resp.Header = header{d.revision}
}

func (d *data) grant(req leaseRequest, now time.Time) (*leaseResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if req.TTL <= 0 || req.TTL > maxLeaseSeconds {
		return nil, invalid("lease TTL out of range")
	}
	if req.ID == 0 {
		d.nextID++
		req.ID = d.nextID
	}
	if d.leases[req.ID] != nil {
		return nil, &apiError{http.StatusBadRequest, 9, "etcdserver: lease already exists"}
	}
	deadline := now.Add(time.Duration(req.TTL) * time.Second)
	d.leases[req.ID] = &leaseState{ttl: req.TTL, deadline: deadline, keys: make(map[string]struct{})}
	return &leaseResponse{Header: header{d.revision}, ID: req.ID, TTL: req.TTL}, nil
}

func (d *data) keepAlive(id int64, now time.Time) *leaseResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.leases[id]
	if l == nil {
		return &leaseResponse{Header: header{d.revision}, ID: id}
	}
	l.deadline = now.Add(time.Duration(l.ttl) * time.Second)
	return &leaseResponse{Header: header{d.revision}, ID: id, TTL: l.ttl}
}

func (d *data) revoke(id int64) (*leaseResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leases[id] == nil {
		return nil, errNoLease
	}
	d.removeLease(id)
	return &leaseResponse{Header: header{d.revision}}, nil
}

// removeLease removes a lease, and its keys at one new revision.
func (d *data) removeLease(id int64) {
	l := d.leases[id]
	delete(d.leases, id)
	if len(l.keys) == 0 {
		return
	}
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	d.revision++
	d.remove(keys, d.revision)
	d.notifyWatchers()
}

func (d *data) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, l := range d.leases {
		if now.After(l.deadline) {
			d.removeLease(id)
		}
	}
}

// eventsSince returns the events of a key range from revision from on, the current revision, and a channel that is
// closed at the next write. It returns errCompacted and the oldest available revision if from was compacted.
func (d *data) eventsSince(key, rangeEnd []byte, from int64) (events []event, revision int64, changed <-chan struct{}, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from <= d.compactedRevision {
		return nil, d.compactedRevision + 1, nil, errCompacted
	}
	i := sort.Search(len(d.events), func(i int) bool { return d.events[i].Kv.ModRevision >= from })
	for _, e := range d.events[i:] {
		if inRange(e.Kv.Key, key, rangeEnd) {
			events = append(events, e)
		}
	}
	return events, d.revision, d.changed, nil
}

var errCompacted = &apiError{http.StatusBadRequest, 11, "etcdserver: mvcc: required revision has been compacted"}

func inRange(k, key, rangeEnd []byte) bool {
	if len(rangeEnd) == 0 {
		return bytes.Equal(k, key)
	}
	return bytes.Compare(k, key) >= 0 && (bytes.Equal(rangeEnd, []byte{0}) || bytes.Compare(k, rangeEnd) < 0)
}
