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
)

const (
	// catalogPause is the pause before the configuration is read again after a watch has ended.
	catalogPause = 100 * time.Millisecond
	// fetchDelay is how long the store has to bring a version before a peer is asked for it; the bound for a version to be in
	// force is 2 s.
	fetchDelay = 400 * time.Millisecond
	// fetchTimeout bounds a call for a configuration of half a megabyte over a link of 10 Mbit/s.
	fetchTimeout = time.Second
)

// links are the connections to the other entry processes.
type links interface {
	Send(to fleet.EntryHostID, msg wire.Message) error
	Broadcast(msg wire.Message)
	Call(ctx context.Context, to fleet.EntryHostID, msg wire.Message) (wire.Message, error)
}

// Catalogs holds the operator's configuration; its version only rises within one process.
type CatalogWatcher struct {
	store   store.Client
	format  infra.Format
	links   links
	log     *slog.Logger
	onNewer func(*infra.Catalog)

	mu      sync.Mutex
	current *infra.Catalog
	data    []byte
	// holders are the peers that have told of a newer version, while fetching is set.
	holders  []holder
	fetching bool
}

// NewCatalogs returns the configuration as followed in a store and over links; onNewer is told of each newer version.
func NewCatalogWatcher(client store.Client, format infra.Format, l links, log *slog.Logger, onNewer func(*infra.Catalog)) *CatalogWatcher {
	return &CatalogWatcher{store: client, format: format, links: l, log: log, onNewer: onNewer}
}

// Current returns the configuration in force, or nil before the first one.
func (c *CatalogWatcher) Current() *infra.Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Run follows the configuration in the store until ctx ends.
func (c *CatalogWatcher) Run(ctx context.Context) {
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

func (c *CatalogWatcher) read(ctx context.Context) (store.Revision, error) {
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

// apply takes up a configuration that is newer than the one in force, and tells the peers of it.
func (c *CatalogWatcher) apply(data []byte, source string) {
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
	c.links.Broadcast(wire.CatalogVersion{Version: next.Version})
}

// Answer handles what peers tell of their configuration and ask for.
func (c *CatalogWatcher) HandleMessage(_ context.Context, from fleet.EntryHostID, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.CatalogVersion:
		c.hear(from, m.Version)
		return wire.Ack{}
	case wire.CatalogRequest:
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.current == nil {
			return wire.CatalogDoc{}
		}
		return wire.CatalogDoc{Version: c.current.Version, Data: c.data}
	default:
		return nil
	}
}

// Announce tells a peer which version is in force here.
func (c *CatalogWatcher) Announce(to fleet.EntryHostID) {
	current := c.Current()
	if current == nil {
		return
	}
	if err := c.links.Send(to, wire.CatalogVersion{Version: current.Version}); err != nil {
		c.log.Debug("catalog: peer not told", "peer", to, "error", err)
	}
}

// hear takes note of a peer's version. A newer one is fetched from that peer if the store has not brought it soon: a
// configuration may have half a megabyte, which takes a small entry host half a second for each copy.
func (c *CatalogWatcher) hear(from fleet.EntryHostID, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && version <= c.current.Version {
		return
	}
	c.holders = append(c.holders, holder{peer: from, version: version})
	if c.fetching {
		return
	}
	c.fetching = true
	wait := fetchDelay
	if c.current == nil {
		wait = 0
	}
	go c.fetch(wait)
}

// holder is a peer that has told of a version.
type holder struct {
	peer    fleet.EntryHostID
	version int64
}

// fetch asks the peers that hold a newer version for it, one after the other, until it is in force.
func (c *CatalogWatcher) fetch(wait time.Duration) {
	pause(context.Background(), wait)
	for {
		peer, found := c.nextHolder()
		if !found {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		answer, err := c.links.Call(ctx, peer, wire.CatalogRequest{})
		cancel()
		doc, ok := answer.(wire.CatalogDoc)
		switch {
		case err != nil:
			c.log.Warn("catalog: not fetched", "peer", peer, "error", err)
		case ok && doc.Version > 0:
			c.apply(doc.Data, "peer "+string(peer))
		}
	}
}

// nextHolder takes a peer that holds a newer version than the one in force; without one the fetch is over.
func (c *CatalogWatcher) nextHolder() (fleet.EntryHostID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.holders) > 0 {
		h := c.holders[0]
		c.holders = c.holders[1:]
		if c.current == nil || h.version > c.current.Version {
			return h.peer, true
		}
	}
	c.fetching = false
	return "", false
}
