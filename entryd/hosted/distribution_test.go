package hosted_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/vnet"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/hosted"
	"lovagefork.example/entryd/peers"
	"lovagefork.example/platform"
	"lovagefork.example/platform/kvfake"
)

// headFormat decodes only the version of a configuration, which is its first field.
type headFormat struct{ platform.Format }

func (headFormat) Catalog(value []byte) (*infra.Catalog, error) {
	d := json.NewDecoder(io.LimitReader(bytes.NewReader(value), 64))
	for range 2 {
		if _, err := d.Token(); err != nil {
			return nil, err
		}
	}
	out := &infra.Catalog{}
	return out, d.Decode(&out.Version)
}

// routesOf returns a configuration of a version with a number of routes, which have random names.
func routesOf(version int64, routes int) []byte {
	random := rand.New(rand.NewPCG(uint64(version), uint64(routes)))
	var out bytes.Buffer
	fmt.Fprintf(&out, `{"version":%d,"routes":[`, version)
	for i := range routes {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"name":"r-%x","host":"host%d.example","prefix":"/%08x/","timeout_ms":3000,"service":"orderdesk",`+
			`"priority":2,"max_attempts":4,"stretch_factor":2,"target_latency_ms":1000}`, random.Uint32(), random.IntN(20), random.Uint32())
	}
	out.WriteString(`],"services":[],"limits":{}}`)
	return out.Bytes()
}

// catalogHosts are entry hosts that keep the configuration.
type catalogHosts struct {
	store    *kvfake.Store
	watchers []*hosted.CatalogWatcher
	meshes   []*peers.Mesh
	metrics  []metrics.Registry
}

// startCatalogHosts starts a host for each of the links, in bits per second, and returns when all are connected. The
// first of them reach the store, and the others have only their peers. The hosts end with the test.
func startCatalogHosts(t *testing.T, storeLatency time.Duration, links []float64, reachStore int) *catalogHosts {
	t.Helper()
	network := vnet.New(vnet.WithLatency(4 * time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	h := &catalogHosts{store: kvfake.New(kvfake.WithLatency(storeLatency))}
	h.configure(routesOf(1, 245))
	var servers []*http.Server
	serve := func(handler http.Handler, end *vnet.Host, address string) {
		server, listener := &http.Server{Handler: handler}, end.Listen(address)
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	serve(h.store, network.AddHost(1e9), "store:1")
	log := slog.New(slog.NewTextHandler(t.Output(), nil))
	roster := make(map[fleet.EntryHostID]string)
	for i := range links {
		roster[hostName(i)] = string(hostName(i)) + ":1"
	}
	var wg sync.WaitGroup
	for i, rate := range links {
		end := network.AddHost(rate)
		transport := &http.Transport{DialContext: end.DialContext}
		mesh := peers.New(
			wire.Hello{EntryHost: hostName(i)}, roster, log, peers.WithClient(&http.Client{Transport: transport}, "ws"), peers.WithUnlistedPeers(),
		)
		address := "store:1"
		if i >= reachStore {
			address = "nobody:1"
		}
		client := platform.NewStore(address, platform.WithDialer(end.DialContext))
		registry := metrics.NewRegistry()
		h.metrics = append(h.metrics, registry)
		watcher := hosted.NewCatalogWatcher(client, headFormat{}, mesh, log, func(*infra.Catalog) {}, hosted.WithCatalogMetrics(registry))
		mesh.AddHandler(watcher.HandleMessage)
		mesh.OnLinkChange(func(peer fleet.EntryHostID, up bool) {
			if up {
				watcher.Announce(peer)
			}
		})
		h.watchers, h.meshes = append(h.watchers, watcher), append(h.meshes, mesh)
		serve(mesh, end, roster[hostName(i)])
		wg.Go(func() { mesh.Run(ctx) })
		wg.Go(func() { watcher.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		for _, m := range h.meshes {
			m.Close()
		}
		network.Close()
		for _, s := range servers {
			_ = s.Close()
		}
		wg.Wait()
		// Time stands still once the test has returned, and calls in progress would never end.
		time.Sleep(time.Minute)
	})
	time.Sleep(2 * time.Second)
	for i, m := range h.meshes {
		assert.Equal(t, len(m.LinkedPeers()), len(links)-1, "host %d", i)
	}
	return h
}

// configure writes a configuration to the store.
func (h *catalogHosts) configure(value []byte) { h.store.Put(platform.CatalogKey, value) }

func hostName(i int) fleet.EntryHostID { return fleet.EntryHostID(fmt.Sprintf("e%02d", i)) }

// behind returns the hosts that have not applied a version.
func (h *catalogHosts) behind(version int64) []fleet.EntryHostID {
	var behind []fleet.EntryHostID
	for i, w := range h.watchers {
		if c := w.Current(); c == nil || c.Version < version {
			behind = append(behind, hostName(i))
		}
	}
	return behind
}

// applyTime is how soon a configuration must be in force everywhere.
const applyTime = 3 * time.Second

// Guards against a configuration that never arrives at hosts with small links. A value of 1 MB takes 1.1 s on a link of
// 10 Mbit/s, and calls of the store and of peers gave up after 0.7 and 1 s and began again, without end, while their
// transfers shared the link (rule CONFIG).
func TestLargeConfigurationReachesSmallLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := []float64{200e6, 200e6, 10e6, 10e6, 10e6, 10e6}
		h := startCatalogHosts(t, 4*time.Millisecond, links, len(links))
		for version, routes := range []int{3045, 4445, 5500} {
			value := routesOf(int64(version+2), routes)
			assert.Assert(t, len(value) <= store.MaxValueBytes)
			h.configure(value)
			time.Sleep(applyTime)
			t.Logf("%d routes, %d bytes", routes, len(value))
			assert.DeepEqual(t, h.behind(int64(version+2)), []fleet.EntryHostID(nil))
		}
	})
}

// Guards against a time limit on whole transfers. On a link of 2 Mbit/s a value of 1 MB takes 5 s, and each call gave up
// after 0.7 s, or with its watch, and threw away what had arrived.
func TestLargeConfigurationArrivesOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startCatalogHosts(t, 240*time.Millisecond, []float64{2e6}, 1)
		time.Sleep(500 * time.Millisecond)
		h.configure(routesOf(2, 5500))
		time.Sleep(7 * time.Second)
		assert.DeepEqual(t, h.behind(2), []fleet.EntryHostID(nil))
	})
}

// Guards against copies that occupy the links of those who send them. Peers sent whole configurations of 1 MB, each host
// asked the same peer, and links of 10 Mbit/s took so long that calls timed out and pings broke the links.
func TestLargeConfigurationFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := []float64{10e6, 10e6, 10e6, 10e6, 10e6, 10e6, 10e6, 10e6}
		h := startCatalogHosts(t, 4*time.Millisecond, links, 1)
		for version, routes := range []int{4445, 5500} {
			h.configure(routesOf(int64(version+2), routes))
			time.Sleep(applyTime)
			assert.DeepEqual(t, h.behind(int64(version+2)), []fleet.EntryHostID(nil))
		}
		for i, m := range h.meshes {
			assert.Equal(t, len(m.LinkedPeers()), len(links)-1, "host %d", i)
		}
		// An operator must see which hosts are behind, and what the copies cost.
		last := h.metrics[len(links)-1]
		assert.Equal(t, metrics.GetOrRegisterGauge("catalog.version", last).Value(), int64(3))
		assert.Equal(t, metrics.GetOrRegisterGauge("catalog.announced_version", last).Value(), int64(3))
		fetched := metrics.GetOrRegisterCounter("catalog.fetched_bytes.total", last).Count()
		assert.Assert(t, fetched > 0 && fetched < store.MaxValueBytes/2, "%d bytes", fetched)
	})
}

// Guards against hosts that fall behind while large configurations follow each other faster than their links carry them:
// a watch reports every version, also those that are replaced already.
func TestLargeConfigurationsInQuickSuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const versions, gap = 6, 330 * time.Millisecond
		links := []float64{200e6, 200e6, 10e6, 10e6, 10e6, 10e6}
		h := startCatalogHosts(t, 4*time.Millisecond, links, len(links))
		for version := range int64(versions) {
			h.configure(routesOf(version+2, 5500))
			time.Sleep(gap)
		}
		time.Sleep(applyTime - versions*gap)
		for version := range int64(versions) {
			assert.DeepEqual(t, h.behind(version+2), []fleet.EntryHostID(nil))
			time.Sleep(gap)
		}
	})
}
