package kvsrv_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/etcdkv"
	"lovagefork.example/coord/store"
	"lovagefork.example/fakekv/kvsrv"
)

// start returns a client of a new server and a function that posts settings to its control page.
func startServer(t testing.TB) (client *etcdkv.Client, control func(body string)) {
	srv := kvsrv.New()
	go srv.Run(t.Context())
	hs := httptest.NewServer(srv)
	t.Cleanup(hs.Close)
	// Close waits for open watches, which do not end by themselves; cleanups run in reverse order.
	t.Cleanup(hs.CloseClientConnections)
	return etcdkv.New(hs.URL), func(body string) {
		rec := httptest.NewRecorder()
		srv.Control().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(body)))
		assert.Equal(t, rec.Code, http.StatusOK, rec.Body.String())
	}
}

// A wrong result of a compare, range bound or revision would allow two owners to write the same ledger.
func TestTransactionsMatchModel(t *testing.T) {
	client, _ := startServer(t)
	iteration := 0
	rapid.Check(t, func(t *rapid.T) {
		iteration++
		base := fmt.Sprintf("m%d/", iteration)
		model := map[string]store.Entry{}
		key := rapid.SampledFrom([]string{"a", "a/", "a/x", "b", "b\xff", "c"})
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			k := base + key.Draw(t, "key")
			value := []byte(rapid.StringN(0, 3, -1).Draw(t, "value"))
			current, exists := model[k]
			var condition store.Compare
			want := false
			switch rapid.IntRange(0, 2).Draw(t, "condition") {
			case 0:
				condition, want = store.KeyAbsent{Key: k}, !exists
			case 1:
				rev := current.ModRevision + store.Revision(rapid.IntRange(0, 1).Draw(t, "off"))
				condition, want = store.KeyUnchanged{Key: k, ModRevision: rev}, rev == current.ModRevision
			case 2:
				condition, want = store.ValueEqual{Key: k, Value: value}, exists && string(value) == string(current.Value)
			}
			del := rapid.Bool().Draw(t, "delete")
			op := store.Op(store.Put{Key: k, Value: value})
			if del {
				op = store.Delete{Key: k}
			}
			all := store.Get{Key: base, Prefix: true}
			res, err := client.Txn(t.Context(), store.Txn{
				If: []store.Compare{condition}, Then: []store.Op{op, all}, Else: []store.Op{all},
			})
			assert.NilError(t, err)
			assert.Equal(t, res.Committed, want)
			if want && del {
				delete(model, k)
			} else if want {
				created := res.Revision
				if exists {
					created = current.CreateRevision
				}
				model[k] = store.Entry{Key: k, Value: value, CreateRevision: created, ModRevision: res.Revision}
			}
			assert.Equal(t, len(res.Reads[0]), len(model))
			last := ""
			for _, e := range res.Reads[0] {
				assert.Assert(t, e.Key > last)
				last = e.Key
				assert.Equal(t, string(e.Value), string(model[e.Key].Value))
				assert.Equal(t, e.ModRevision, model[e.Key].ModRevision)
				assert.Equal(t, e.CreateRevision, model[e.Key].CreateRevision)
			}
		}
	})
}

// A watch that skips a change leaves a process with an old configuration; one that repeats a change applies it twice.
func TestWatchDeliversEachChangeOnce(t *testing.T) {
	client, control := startServer(t)
	put := func(i int) {
		_, err := client.Txn(t.Context(), store.Txn{Then: []store.Op{
			store.Put{Key: fmt.Sprintf("w/%d", i), Value: []byte("v")}, store.Put{Key: fmt.Sprintf("x/%d", i)},
		}})
		assert.NilError(t, err)
	}
	var seen []string
	after := store.Revision(0)
	watch := func(until int) error {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		return client.Watch(ctx, "w/", after, func(rev store.Revision, changes []store.Change) {
			after = rev
			for _, c := range changes {
				seen = append(seen, c.Entry.Key)
			}
			if len(seen) >= until {
				cancel()
			}
		})
	}
	put(0)
	put(1)
	var unknown *store.OutcomeUnknownError
	assert.Assert(t, errors.As(watch(2), &unknown))
	put(2)
	assert.Assert(t, errors.As(watch(3), &unknown))
	assert.DeepEqual(t, seen, []string{"w/0", "w/1", "w/2"})
	watchEnded := make(chan error)
	go func() { watchEnded <- watch(9) }()
	control(`{"outage":"refuse"}`)
	assert.Assert(t, errors.As(<-watchEnded, &unknown))
}

// A lease that does not expire without renewal blocks the partition of a dead owner; one that expires early takes the
// partition from a live owner.
func TestLeaseExpiresOnlyWithoutRenewal(t *testing.T) {
	client, _ := startServer(t)
	granted := time.Now()
	kept, err := client.Grant(t.Context(), 500*time.Millisecond)
	assert.NilError(t, err)
	lapsing, err := client.Grant(t.Context(), time.Second)
	assert.NilError(t, err)
	_, err = client.Txn(t.Context(), store.Txn{Then: []store.Op{
		store.Put{Key: "l/kept", Lease: kept}, store.Put{Key: "l/lapsing", Lease: lapsing},
	}})
	assert.NilError(t, err)
	for {
		renewed := time.Now()
		left, err := client.KeepAlive(t.Context(), kept)
		assert.NilError(t, err)
		res, err := client.Range(t.Context(), store.Get{Key: "l/", Prefix: true})
		assert.NilError(t, err)
		if time.Since(renewed) < left {
			assert.Equal(t, res.Entries[0].Key, "l/kept")
		}
		if len(res.Entries) == 1 {
			assert.Assert(t, time.Since(granted) >= time.Second)
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	left, err := client.KeepAlive(t.Context(), lapsing)
	assert.NilError(t, err)
	assert.Equal(t, left, time.Duration(0))
}

// A write with unknown outcome that is reported as rejected would be repeated; a rejected write that is reported as
// unknown costs an additional read.
func TestErrorsDistinguishWriteOutcomes(t *testing.T) {
	client, control := startServer(t)
	write := func(c *etcdkv.Client, key string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := c.Txn(ctx, store.Txn{Then: []store.Op{store.Put{Key: key}}})
		return err
	}
	var notSent *store.NotSentError
	var unknown *store.OutcomeUnknownError
	var rejected *store.RejectedError
	assert.Assert(t, errors.As(write(etcdkv.New("http://127.0.0.1:1"), "k"), &notSent))
	assert.Assert(t, errors.As(write(client, ""), &rejected))
	for _, fault := range []string{`"outage":"refuse"`, `"outage":"break"`, `"outage":"hang"`, `"outage":"","lose_permille":1000`} {
		control("{" + fault + "}")
		assert.Assert(t, errors.As(write(client, "lost"), &unknown), fault)
	}
	control(`{"lose_permille":0,"writes_per_second":1}`)
	assert.NilError(t, write(client, "k"))
	assert.Assert(t, errors.As(write(client, "k"), &rejected))
	res, err := client.Range(t.Context(), store.Get{Key: "lost"})
	assert.NilError(t, err)
	assert.Equal(t, len(res.Entries), 1)
}

// If stale reads returned the newest value, no decision based on outdated data would be tested.
func TestStaleReadsDoNotAffectTransactions(t *testing.T) {
	client, control := startServer(t)
	control(`{"stale_ms":3600000}`)
	get := store.Get{Key: "s"}
	read := func() int {
		res, err := client.Range(t.Context(), get)
		assert.NilError(t, err)
		return len(res.Entries)
	}
	assert.Equal(t, read(), 0)
	res, err := client.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put{Key: "s"}, get}})
	assert.NilError(t, err)
	assert.Equal(t, len(res.Reads[0]), 1)
	assert.Equal(t, read(), 0)
	control(`{"stale_ms":0}`)
	assert.Equal(t, read(), 1)
}
