package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time of one call according to SYSTEM.md.
	storeLatency = 4 * time.Millisecond
	minLeaseTTL  = time.Second
	pageItems    = 500
	// maxValueBytes is platform.value_bytes of the settings.
	maxValueBytes = 1 << 20
)

// item is a key of the store in the platform's format.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's key-value store. It loses nothing and is linearizable.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	// down is set while the store answers each call with 503. Leases pause meanwhile.
	down      bool
	downSince time.Time
	// onCommit is called with the index of the process whose conditional transaction has just been committed, before the
	// answer is sent.
	onCommit func(process int)
	// refused holds the largest size of a value that was refused because it was too large, by key.
	refused map[string]int
}

func newStore() *store {
	s := &store{items: make(map[string]item), leases: make(map[int64]*lease), refused: make(map[string]int), changed: make(chan struct{}), revision: 1}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		s.downSince = time.Now()
	}
	if !down && s.down {
		for _, l := range s.leases {
			l.expires = l.expires.Add(time.Since(s.downSince))
		}
	}
	s.down = down
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.commit(nil, keys)
	}
}

// commit applies changes under one new revision.
func (s *store) commit(puts []item, removed []string) int64 {
	s.revision++
	for _, p := range puts {
		p.Revision, p.Created = s.revision, s.revision
		if old, found := s.items[p.Key]; found {
			p.Created = old.Created
		}
		s.items[p.Key] = p
		s.history = append(s.history, p)
	}
	for _, key := range removed {
		if _, found := s.items[key]; found {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]item{{Key: key, Value: data}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(nil, []string{key})
}

// handler serves the calls of one process.
func (s *store) handler(process int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		status, body := s.serve(process, r)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	})
}

func (s *store) serve(process int, r *http.Request) (int, any) {
	id := func(prefix string) int64 {
		n, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, prefix), 10, 64)
		return n
	}
	switch {
	case r.URL.Path == "/-/kv-key":
		return s.get(r.URL.Query().Get("key"))
	case r.URL.Path == "/-/kv-range":
		return s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case r.URL.Path == "/-/kv-watch":
		return s.watch(r)
	case r.URL.Path == "/-/kv-txn":
		return s.transact(process, r)
	case r.URL.Path == "/-/kv-lease":
		return s.grant(r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-keep/"):
		return s.keep(id("/-/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/-/kv-lease-end/"):
		return s.end(id("/-/kv-lease-end/"))
	default:
		return http.StatusNotFound, struct{}{}
	}
}

func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[key]
	if !found {
		return http.StatusNotFound, map[string]any{"current_rev": s.revision}
	}
	return http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "current_rev": s.revision,
	}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	return http.StatusOK, map[string]any{"items": found, "has_more": more, "current_rev": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for n := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after }); n < len(s.history); n++ {
			if strings.HasPrefix(s.history[n].Key, r.URL.Query().Get("prefix")) {
				events = append(events, s.history[n])
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "current_rev": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "current_rev": revision}
		case <-r.Context().Done():
			return http.StatusOK, struct{}{}
		}
	}
}

func (s *store) transact(process int, r *http.Request) (int, any) {
	var txn struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Remove       []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	if len(txn.Precondition)+len(txn.Puts)+len(txn.Remove) > 32 {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, c := range txn.Precondition {
		i, found := s.items[c.Key]
		holds = holds && i.Revision == c.Revision
		if found {
			current = append(current, i)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range txn.Puts {
		if len(p.Value) > maxValueBytes {
			s.refused[p.Key] = max(s.refused[p.Key], len(p.Value))
			return http.StatusBadRequest, struct{}{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	revision := s.commit(txn.Puts, txn.Remove)
	if len(txn.Precondition) > 0 && s.onCommit != nil {
		s.onCommit(process)
	}
	return http.StatusOK, map[string]any{"revision": revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	ttl := max(minLeaseTTL, time.Duration(request.TTL)*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()}
}

func (s *store) keep(id int64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, struct{}{}
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()}
}

func (s *store) end(id int64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, struct{}{}
	}
	s.endLease(id)
	return http.StatusOK, struct{}{}
}
