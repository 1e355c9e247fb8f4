package hosted_test

import (
	"context"
	"errors"
	"log/slog"
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

// versions is a format whose configuration is only its version.
type versions struct{ infra.Format }

func (versions) Catalog(value []byte) (*infra.Catalog, error) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	return &infra.Catalog{Version: n}, err
}

// fakeLinks notes which peers are asked for their configuration; those that are dead give no answer.
type fakeLinks struct {
	mu    sync.Mutex
	asked []fleet.EntryHostID
	told  []wire.Message
	dead  map[fleet.EntryHostID]bool
	holds int64
}

func (f *fakeLinks) Send(_ fleet.EntryHostID, m wire.Message) error {
	f.Broadcast(m)
	return nil
}

func (f *fakeLinks) Broadcast(m wire.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = append(f.told, m)
}

func (f *fakeLinks) Call(ctx context.Context, to fleet.EntryHostID, _ wire.Message) (wire.Message, error) {
	f.mu.Lock()
	f.asked = append(f.asked, to)
	dead := f.dead[to]
	f.mu.Unlock()
	if dead {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	return wire.CatalogDoc{Version: f.holds, Data: []byte(strconv.FormatInt(f.holds, 10))}, nil
}

// A configuration of half a megabyte that every process sends to every other one takes small entry hosts 6 s to receive
// (CONFIG, 14 requests refused as an older version says): peers tell only the version, and one of them is asked for it.
func TestConfigurationIsFetchedOnce(t *testing.T) {
	play := func(t *testing.T, f *fakeLinks, hold func(*hosted.CatalogWatcher)) *hosted.CatalogWatcher {
		c := hosted.NewCatalogWatcher(nil, versions{}, f, slog.New(slog.DiscardHandler), func(*infra.Catalog) {})
		c.HandleMessage(t.Context(), "a", wire.CatalogVersion{Version: 3})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, c.Current().Version, int64(3), "a process without a configuration does not wait")
		f.mu.Lock()
		f.asked, f.holds = nil, 5
		f.mu.Unlock()
		for _, peer := range []fleet.EntryHostID{"b", "c", "d", "e"} {
			c.HandleMessage(t.Context(), peer, wire.CatalogVersion{Version: 5})
		}
		hold(c)
		time.Sleep(1800 * time.Millisecond)
		assert.Equal(t, c.Current().Version, int64(5))
		return c
	}
	t.Run("one peer is asked", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeLinks{holds: 3}
			c := play(t, f, func(*hosted.CatalogWatcher) {})
			assert.DeepEqual(t, f.asked, []fleet.EntryHostID{"b"})
			assert.DeepEqual(t, f.told, []wire.Message{wire.CatalogVersion{Version: 3}, wire.CatalogVersion{Version: 5}})
			doc, ok := c.HandleMessage(t.Context(), "z", wire.CatalogRequest{}).(wire.CatalogDoc)
			assert.Assert(t, ok && doc.Version == 5 && string(doc.Data) == "5")
			c.HandleMessage(t.Context(), "b", wire.CatalogVersion{Version: 4})
			time.Sleep(time.Second)
			assert.Equal(t, len(f.asked), 1, "an older version is not fetched")
		})
	})
	t.Run("another one if it does not answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeLinks{holds: 3, dead: map[fleet.EntryHostID]bool{"b": true}}
			play(t, f, func(*hosted.CatalogWatcher) {})
			assert.DeepEqual(t, f.asked, []fleet.EntryHostID{"b", "c"})
		})
	})
}
