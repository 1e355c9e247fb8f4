package hosted_test

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/hosted"
)

// versionFormat is a format whose configurations consist of their version only.
type versionFormat struct{ infra.Format }

func (versionFormat) Catalog(value []byte) (*infra.Catalog, error) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	return &infra.Catalog{Version: n}, err
}

// fakeLinks records the messages sent and the peers that were called. The first silent calls get no answer; the others
// get answer, or a configuration of the given version.
type fakeLinks struct {
	mu      sync.Mutex
	answer  *wire.CatalogDoc
	called  []fleet.EntryHostID
	sent    []wire.Message
	silent  int
	version int64
}

func (f *fakeLinks) Send(_ fleet.EntryHostID, m wire.Message) error {
	f.Broadcast(m)
	return nil
}

func (f *fakeLinks) Broadcast(m wire.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, m)
}

func (f *fakeLinks) Call(ctx context.Context, to fleet.EntryHostID, _ wire.Message) (wire.Message, error) {
	f.mu.Lock()
	f.called = append(f.called, to)
	silent := f.silent > 0
	f.silent--
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	if f.answer != nil {
		return *f.answer, nil
	}
	return wire.CatalogDoc{Version: f.version, Data: []byte(strconv.FormatInt(f.version, 10))}, nil
}

// Guards against processes that send the whole configuration to every peer. Small entry hosts took 6 s to receive the
// copies of 0.5 MB, and refused 14 requests under an older version in the meantime (rule CONFIG). Processes announce
// only the version, and a receiver fetches the configuration from one peer.
func TestConfigurationIsFetchedFromOnePeer(t *testing.T) {
	announcers := []fleet.EntryHostID{"b", "c", "d", "e"}
	run := func(t *testing.T, f *fakeLinks, silent int) *hosted.CatalogWatcher {
		c := hosted.NewCatalogWatcher(nil, versionFormat{}, f, slog.New(slog.DiscardHandler), func(*infra.Catalog) {})
		c.HandleMessage(t.Context(), "a", wire.CatalogVersion{Version: 3})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, c.Current().Version, int64(3), "a process without a configuration must fetch it at once")
		f.mu.Lock()
		f.called, f.version, f.silent = nil, 5, silent
		f.mu.Unlock()
		for _, peer := range announcers {
			c.HandleMessage(t.Context(), peer, wire.CatalogVersion{Version: 5})
		}
		time.Sleep(1800 * time.Millisecond)
		assert.Equal(t, c.Current().Version, int64(5))
		return c
	}
	t.Run("one peer is called", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeLinks{version: 3}
			c := run(t, f, 0)
			assert.Equal(t, len(f.called), 1)
			assert.Assert(t, slices.Contains(announcers, f.called[0]))
			assert.DeepEqual(t, f.sent, []wire.Message{wire.CatalogVersion{Version: 3}, wire.CatalogVersion{Version: 5}})
			doc, ok := c.HandleMessage(t.Context(), "z", wire.CatalogRequest{}).(wire.CatalogDoc)
			assert.Assert(t, ok && doc.Version == 5 && string(doc.Data) == "5")
			c.HandleMessage(t.Context(), "b", wire.CatalogVersion{Version: 4})
			time.Sleep(time.Second)
			assert.Equal(t, len(f.called), 1, "an older version must not be fetched")
		})
	})
	t.Run("another peer is called if the first does not answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeLinks{version: 3}
			run(t, f, 1)
			assert.Equal(t, len(f.called), 2)
			assert.Assert(t, f.called[0] != f.called[1])
		})
	})
}

// Guards against calls without end to a peer that answers with what it did not announce, for example because it has
// restarted in the meantime, or with a configuration that cannot be decoded.
func TestUselessAnswersAreNotRequestedForever(t *testing.T) {
	for name, answer := range map[string]wire.CatalogDoc{
		"an older version":   {Version: 3, Data: []byte("3")},
		"no configuration":   {},
		"undecodable":        {Version: 5, Data: []byte("five")},
		"an empty part":      {Version: 5, Part: &wire.CatalogPart{Size: 10, Digest: 1}},
		"a part of a giant":  {Version: 5, Data: []byte("x"), Part: &wire.CatalogPart{Size: 1 << 40, Digest: 1}},
		"always other parts": {Version: 5, Data: []byte("x"), Part: &wire.CatalogPart{Offset: 7, Size: 10, Digest: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeLinks{version: 3}
				c := hosted.NewCatalogWatcher(nil, versionFormat{}, f, slog.New(slog.DiscardHandler), func(*infra.Catalog) {})
				c.HandleMessage(t.Context(), "a", wire.CatalogVersion{Version: 3})
				time.Sleep(10 * time.Millisecond)
				f.mu.Lock()
				f.called, f.answer = nil, &answer
				f.mu.Unlock()
				c.HandleMessage(t.Context(), "a", wire.CatalogVersion{Version: 5})
				time.Sleep(time.Minute)
				f.mu.Lock()
				calls := len(f.called)
				f.mu.Unlock()
				assert.Assert(t, calls >= 2 && calls <= 10, "%d calls", calls)
				assert.Equal(t, c.Current().Version, int64(3))
			})
		})
	}
}
