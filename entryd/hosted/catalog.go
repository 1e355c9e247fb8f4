package hosted

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

const (
	// watchRetryDelay is the delay before the configuration is read again after its watch has ended.
	watchRetryDelay = 100 * time.Millisecond
)

// links sends messages to the other entry processes.
type links interface {
	Send(to fleet.EntryHostID, msg wire.Message) error
	Broadcast(msg wire.Message)
	Call(ctx context.Context, to fleet.EntryHostID, msg wire.Message) (wire.Message, error)
}

// CatalogWatcher keeps the newest version of the operator's configuration, from the store or from peers. The version
// never decreases within one process.
type CatalogWatcher struct {
	store    store.Client
	format   infra.Format
	links    links
	log      *slog.Logger
	onUpdate func(*infra.Catalog)
	metrics  catalogMetrics

	mu      sync.Mutex
	current *infra.Catalog
	data    []byte
	// sources holds the newest version that each peer has announced, if it is newer than the one in effect. fetching is
	// set while a goroutine runs fetch.
	sources  map[fleet.EntryHostID]int64
	fetching bool

	compressMu sync.Mutex
	compressed compressedCatalog
}

// NewCatalogWatcher returns a watcher of the configuration in a store and of its announcements by peers. It calls
// onUpdate with each newer version.
func NewCatalogWatcher(
	client store.Client, format infra.Format, l links, log *slog.Logger, onUpdate func(*infra.Catalog), opts ...CatalogOption,
) *CatalogWatcher {
	c := &CatalogWatcher{
		store: client, format: format, links: l, log: log, onUpdate: onUpdate, sources: make(map[fleet.EntryHostID]int64),
		metrics: newCatalogMetrics(metrics.NewRegistry()),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// CatalogOption configures a [CatalogWatcher].
type CatalogOption func(*CatalogWatcher)

// WithCatalogMetrics registers the versions in effect and announced, and the fetches from peers, in a registry.
func WithCatalogMetrics(r metrics.Registry) CatalogOption {
	return func(c *CatalogWatcher) { c.metrics = newCatalogMetrics(r) }
}

// catalogMetrics show whether a process is behind: announced is the highest version that a peer has announced.
type catalogMetrics struct {
	version, announced          metrics.Gauge
	fetchedBytes, fetchFailures metrics.Counter
}

func newCatalogMetrics(r metrics.Registry) catalogMetrics {
	return catalogMetrics{
		version:       metrics.GetOrRegisterGauge("catalog.version", r),
		announced:     metrics.GetOrRegisterGauge("catalog.announced_version", r),
		fetchedBytes:  metrics.GetOrRegisterCounter("catalog.fetched_bytes.total", r),
		fetchFailures: metrics.GetOrRegisterCounter("catalog.fetch_failures.total", r),
	}
}

// Current returns the configuration in effect, or nil before the first one.
func (c *CatalogWatcher) Current() *infra.Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Run watches the configuration in the store until ctx is done.
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
		sleep(ctx, watchRetryDelay)
	}
}

func (c *CatalogWatcher) read(ctx context.Context) (store.Revision, error) {
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

// apply puts a configuration into effect if it is newer than the current one, and announces it to the peers.
func (c *CatalogWatcher) apply(data []byte, origin string) {
	next, err := c.format.Catalog(data)
	if err != nil {
		c.log.Error("catalog: cannot decode the configuration", "source", origin, "error", err)
		return
	}
	c.mu.Lock()
	if c.current != nil && next.Version <= c.current.Version {
		c.mu.Unlock()
		return
	}
	c.current, c.data = next, data
	c.mu.Unlock()
	c.metrics.version.Update(next.Version)
	c.log.Info("catalog: configuration applied", "version", next.Version, "queues", len(next.Queues), "bytes", len(data), "source", origin)
	c.onUpdate(next)
	c.links.Broadcast(wire.CatalogVersion{Version: next.Version})
}

// HandleMessage handles a peer's announcement of a version, or its request for the configuration. It returns nil for
// any other message.
func (c *CatalogWatcher) HandleMessage(_ context.Context, from fleet.EntryHostID, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.CatalogVersion:
		c.handleAnnouncement(from, m.Version)
		return wire.Ack{}
	case wire.CatalogRequest:
		return c.document(m)
	default:
		return nil
	}
}

// Announce sends the version in effect to a peer.
func (c *CatalogWatcher) Announce(to fleet.EntryHostID) {
	current := c.Current()
	if current == nil {
		return
	}
	if err := c.links.Send(to, wire.CatalogVersion{Version: current.Version}); err != nil {
		c.log.Debug("catalog: cannot announce the version", "peer", to, "error", err)
	}
}
