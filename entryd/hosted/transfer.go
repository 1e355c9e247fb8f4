package hosted

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/peers"
)

const (
	// fetchDelay is how long to wait for a new version from the store before fetching it from a peer. A version must
	// be in effect within 2 s.
	fetchDelay = 400 * time.Millisecond
	// partBytes is the size of a part of a compressed configuration. It takes 13 ms on a link of 10 Mbit/s, so that
	// pings and requests on the same link are not held up.
	partBytes = 16 << 10
	// maxCompressedBytes limits the compressed size. Data that cannot be compressed grows by less than that.
	maxCompressedBytes = store.MaxValueBytes + store.MaxValueBytes/100
	// maxParts limits the calls to one source, which may begin again with another compressed form.
	maxParts = 2 * maxCompressedBytes / partBytes
	// partTimeout limits the call for one part, which is enough for a link of 2 Mbit/s that serves ten peers at a time.
	partTimeout = time.Second
	// fetchRounds limits how often each source is called, and fetchRetryDelay is the first pause between two rounds,
	// which doubles.
	fetchRounds     = 5
	fetchRetryDelay = 100 * time.Millisecond
)

// compressedCatalog is the compressed form of a version of the configuration.
type compressedCatalog struct {
	version int64
	digest  uint64
	data    []byte
}

// compress returns the compressed form of a configuration.
func compress(version int64, data []byte) (compressedCatalog, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return compressedCatalog{}, err
	}
	if _, err := w.Write(data); err != nil {
		return compressedCatalog{}, err
	}
	if err := w.Close(); err != nil {
		return compressedCatalog{}, err
	}
	return compressedCatalog{version: version, digest: xxhash.Sum64(out.Bytes()), data: out.Bytes()}, nil
}

// decompress returns the configuration; its size is limited to that of the store's values.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(r, store.MaxValueBytes+1))
	if err == nil && len(out) > store.MaxValueBytes {
		err = errors.New("configuration is larger than a value of the store")
	}
	return out, err
}

// document returns the configuration in effect, or the requested part of its compressed form.
func (c *CatalogWatcher) document(request wire.CatalogRequest) wire.CatalogDoc {
	c.mu.Lock()
	current, data := c.current, c.data
	c.mu.Unlock()
	switch {
	case current == nil:
		return wire.CatalogDoc{}
	case !request.Compressed:
		return wire.CatalogDoc{Version: current.Version, Data: data}
	}
	packed, err := c.compressOnce(current.Version, data)
	if err != nil {
		c.log.Error("catalog: cannot compress the configuration", "version", current.Version, "error", err)
		return wire.CatalogDoc{}
	}
	offset := max(0, min(request.Offset, len(packed.data)))
	return wire.CatalogDoc{
		Version: packed.version, Data: packed.data[offset:min(offset+partBytes, len(packed.data))],
		Part: &wire.CatalogPart{Offset: offset, Size: len(packed.data), Digest: packed.digest},
	}
}

// compressOnce returns the compressed form of a version, which it keeps until it is called with another one.
func (c *CatalogWatcher) compressOnce(version int64, data []byte) (compressedCatalog, error) {
	c.compressMu.Lock()
	defer c.compressMu.Unlock()
	if c.compressed.version == version && c.compressed.data != nil {
		return c.compressed, nil
	}
	packed, err := compress(version, data)
	if err == nil {
		c.compressed = packed
	}
	return packed, err
}

// handleAnnouncement fetches a newer version from a peer unless it arrives from the store within [fetchDelay]. Only one
// fetch runs at a time, because all transfers share the link of the entry host.
func (c *CatalogWatcher) handleAnnouncement(from fleet.EntryHostID, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && version <= c.current.Version {
		return
	}
	c.metrics.announced.Update(max(version, c.metrics.announced.Value()))
	c.sources[from] = max(version, c.sources[from])
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

// fetch waits, and then requests the configuration from the sources one at a time, until none of them has a newer
// version than the one in effect.
func (c *CatalogWatcher) fetch(wait time.Duration) {
	ctx := context.Background()
	sleep(ctx, wait)
	var received download
	calls := make(map[fleet.EntryHostID]int)
	for {
		peer, found := c.nextSource(calls)
		if !found {
			return
		}
		if round := calls[peer]; round > 0 {
			sleep(ctx, fetchRetryDelay<<(round-1))
		}
		calls[peer]++
		before := c.Current()
		if err := c.fetchFrom(ctx, peer, &received); err != nil {
			c.metrics.fetchFailures.Inc(1)
			c.log.Warn("catalog: cannot fetch the configuration", "peer", peer, "received", len(received.data), "size", received.size, "error", err)
			c.dropUnlinked(peer, err)
		}
		if c.Current() != before {
			clear(calls)
		}
	}
}

// nextSource returns a random one of the peers that have been called least often and have a newer version than the one in
// effect, so that the hosts do not all call the same peer. If there is none, it ends the fetch.
func (c *CatalogWatcher) nextSource(calls map[fleet.EntryHostID]int) (fleet.EntryHostID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []fleet.EntryHostID
	fewest := fetchRounds
	for peer, version := range c.sources {
		switch {
		case c.current != nil && version <= c.current.Version:
			delete(c.sources, peer)
		case calls[peer] < fewest:
			fewest, candidates = calls[peer], append(candidates[:0], peer)
		case calls[peer] == fewest && fewest < fetchRounds:
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) == 0 {
		c.fetching = false
		clear(c.sources)
		return "", false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// dropUnlinked removes a source that a call could not be sent to. It announces its version again when it is linked.
func (c *CatalogWatcher) dropUnlinked(peer fleet.EntryHostID, err error) {
	var linkErr *peers.LinkError
	if !errors.As(err, &linkErr) || !linkErr.NotSent {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sources, peer)
}

// download holds the parts of a compressed configuration that have arrived. They are kept if a source fails, because the
// next one may have the same.
type download struct {
	digest uint64
	size   int
	data   []byte
}

// add appends a part. A part of another compressed form replaces what has arrived.
func (d *download) add(part wire.CatalogPart, data []byte) error {
	switch {
	case part.Digest != d.digest && part.Offset > 0 && len(d.data) > 0:
		*d = download{}
		return nil
	case part.Digest != d.digest:
		*d = download{digest: part.Digest, size: part.Size}
	}
	if d.size > maxCompressedBytes {
		return fmt.Errorf("compressed configuration has %d bytes, at most %d are allowed", d.size, maxCompressedBytes)
	}
	if part.Offset != len(d.data) || len(data) == 0 || len(d.data)+len(data) > d.size {
		return fmt.Errorf("part at %d of %d bytes does not follow %d of %d", part.Offset, len(data), len(d.data), d.size)
	}
	d.data = append(d.data, data...)
	return nil
}

func (d *download) complete() bool { return d.size > 0 && len(d.data) == d.size }

// fetchFrom requests the missing parts of the configuration from a peer and puts it into effect. It ends early if the
// peer's version is not newer than the one in effect, because that has arrived from the store or the peer has restarted.
func (c *CatalogWatcher) fetchFrom(ctx context.Context, peer fleet.EntryHostID, received *download) error {
	for range maxParts {
		doc, err := c.requestPart(ctx, peer, len(received.data))
		if err != nil {
			return err
		}
		c.metrics.fetchedBytes.Inc(int64(len(doc.Data)))
		if current := c.Current(); current != nil && doc.Version <= current.Version {
			return nil
		}
		if doc.Part == nil {
			// Processes of earlier releases respond with the whole configuration.
			c.apply(doc.Data, "peer "+string(peer))
			return nil
		}
		if err := received.add(*doc.Part, doc.Data); err != nil {
			*received = download{}
			return err
		}
		if !received.complete() {
			continue
		}
		data, err := decompress(received.data)
		*received = download{}
		if err != nil {
			return err
		}
		c.apply(data, "peer "+string(peer))
		return nil
	}
	return fmt.Errorf("not complete after %d parts", maxParts)
}

func (c *CatalogWatcher) requestPart(ctx context.Context, peer fleet.EntryHostID, offset int) (wire.CatalogDoc, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	answer, err := c.links.Call(ctx, peer, wire.CatalogRequest{Compressed: true, Offset: offset})
	if err != nil {
		return wire.CatalogDoc{}, err
	}
	doc, ok := answer.(wire.CatalogDoc)
	if !ok || doc.Version == 0 {
		return wire.CatalogDoc{}, fmt.Errorf("peer has no configuration: %T", answer)
	}
	return doc, nil
}
