package hosted

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/peers"
)

// catalogPause is the pause before the configuration is read again after a watch has ended.
const catalogPause = 100 * time.Millisecond

// Catalogs holds the operator's configuration; its version only rises within one process.
type Catalogs struct {
	store   store.Client
	format  infra.Format
	mesh    *peers.Mesh
	log     *slog.Logger
	onNewer func(*infra.Catalog)

	mu      sync.Mutex
	current *infra.Catalog
	data    []byte
}

// Current returns the configuration in force, or nil before the first one.
func (c *Catalogs) Current() *infra.Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Run follows the configuration in the store until ctx ends.
func (c *Catalogs) Run(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := c.read(ctx)
		if err == nil {
			err = c.store.Watch(ctx, c.format.CatalogKey(), after, func(_ store.Revision, changes []store.Change) {
				for _, change := range changes {
					if !change.Deleted && change.Entry.Key == c.format.CatalogKey() {
						c.apply(change.Entry.Value, "store")
					}
				}
			})
		}
		var rejected *store.RejectedError
		if ctx.Err() == nil && !(errors.As(err, &rejected) && rejected.Status == http.StatusGone) {
			c.log.Warn("catalog: watch ended", "error", err)
		}
		pause(ctx, catalogPause)
	}
}

func (c *Catalogs) read(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := c.store.Range(ctx, store.Get{Key: c.format.CatalogKey(), Prefix: true})
	if err != nil {
		return 0, err
	}
	for _, e := range page.Entries {
		if e.Key == c.format.CatalogKey() {
			c.apply(e.Value, "store")
		}
	}
	return page.Revision, nil
}

// apply takes up a configuration that is newer than the one in force, and passes it on to the peers.
func (c *Catalogs) apply(data []byte, source string) {
	next, err := c.format.Catalog(data)
	if err != nil {
		c.log.Error("catalog: unreadable", "source", source, "error", err)
		return
	}
	c.mu.Lock()
	if c.current != nil && next.Version <= c.current.Version {
		c.mu.Unlock()
		return
	}
	c.current, c.data = next, data
	c.mu.Unlock()
	c.log.Info("catalog: in force", "version", next.Version, "queues", len(next.Queues), "source", source)
	c.onNewer(next)
}

// Answer handles configurations that peers pass on.
func (c *Catalogs) Answer(_ context.Context, from fleet.EntryHostID, m wire.Message) wire.Message {
	doc, ok := m.(wire.CatalogDoc)
	if !ok {
		return nil
	}
	if current := c.Current(); current == nil || doc.Version > current.Version {
		c.apply(doc.Data, "peer "+string(from))
	}
	return wire.Ack{}
}

// Offer sends the configuration in force to a peer.
func (c *Catalogs) Offer(to fleet.EntryHostID) {
	c.mu.Lock()
	current, data := c.current, c.data
	c.mu.Unlock()
	if current == nil {
		return
	}
	if err := c.mesh.Send(to, wire.CatalogDoc{Version: current.Version, Data: data}); err != nil {
		c.log.Debug("catalog: not passed on", "peer", to, "error", err)
	}
}
