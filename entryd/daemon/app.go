package daemon

import (
	"crypto/rand"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"lovagefork.example/coord/budget"
	"lovagefork.example/coord/etcdkv"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/admin"
	"lovagefork.example/entryd/batch"
	"lovagefork.example/entryd/front"
	"lovagefork.example/entryd/hosts"
	"lovagefork.example/entryd/peers"
	"lovagefork.example/entryd/setup"
	"lovagefork.example/entryd/stats"
)

// stopReserve is the time for closing sockets after the drain itself.
const stopReserve = 10 * time.Second

// New returns the entry daemon as an fx application; logs go to the given writer.
func New(s setup.Settings, logs io.Writer) *fx.App {
	return fx.New(
		fx.Supply(s),
		fx.Provide(
			func() *slog.Logger { return newLogger(s, logs) },
			newHello,
			newTLS,
			newMesh,
			newBudget,
			newPlatform,
			newHosts,
			newAdmin,
			newFront,
			newBatch,
			newRouter,
			metrics.NewRegistry,
			newHealth,
		),
		fx.Invoke(connect, registerGauges, serve),
		fx.StopTimeout(s.DrainNotice+s.DrainTimeout+stopReserve),
		fx.WithLogger(func(log *slog.Logger) fxevent.Logger {
			events := &fxevent.SlogLogger{Logger: log}
			events.UseLogLevel(slog.LevelDebug)
			return events
		}),
	)
}

func newLogger(s setup.Settings, w io.Writer) *slog.Logger {
	opts := &slog.HandlerOptions{Level: s.LogLevel}
	if s.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, opts)).With("entry_host", s.EntryHost)
	}
	return slog.New(slog.NewTextHandler(w, opts)).With("entry_host", s.EntryHost)
}

// Conditions of readiness.
const (
	conditionConfig  = "config"
	conditionWorkers = "workers"
	conditionSlots   = "slots"
)

func newHealth() *Health {
	return NewHealth(map[string]string{
		conditionConfig:  "no configuration read from the store or a peer yet",
		conditionWorkers: "no host list read yet",
		conditionSlots:   "loans of the former process at this address may still be in use",
	})
}

func newHello(s setup.Settings) wire.Hello {
	return wire.Hello{EntryHost: s.EntryHost, Boot: fleet.BootID(rand.Text()), Zone: s.Zone}
}

func newMesh(
	s setup.Settings, self wire.Hello, configs tlsConfigs, r metrics.Registry, log *slog.Logger,
) *peers.Mesh {
	opts := []peers.Option{peers.WithMetrics(r)}
	if configs.peers.Client != nil {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: configs.peers.Client.Clone()}}
		opts = append(opts, peers.WithClient(client, "wss"))
	}
	return peers.New(self, s.Addresses(), log, opts...)
}

// newBudget puts every store call of the process under one allowance.
func newBudget(s setup.Settings) *budget.Client {
	total := budget.Rates{Writes: float64(s.StoreWritesPerSecond), Reads: float64(s.StoreReadsPerSecond)}
	return budget.NewClient(etcdkv.New(s.StoreURL.String()), budget.New(total, len(s.Roster)))
}

func newHosts(source plat.HostLister, log *slog.Logger) *hosts.Watcher {
	return hosts.New(source, log)
}

func newPlatform(s setup.Settings) (plat.Agent, plat.HostLister) {
	client := plat.NewHTTP(s.HostsURL.String())
	return client, client
}

func newAdmin(self wire.Hello, client *budget.Client, mesh *peers.Mesh, log *slog.Logger) *admin.Admin {
	return admin.New(self.EntryHost, client.WithDefaultPriority(budget.PriorityConfig), mesh, log)
}

func newFront(
	s setup.Settings, self wire.Hello, mesh *peers.Mesh, client *budget.Client, a *admin.Admin, log *slog.Logger,
) *front.Front {
	roster := make([]grant.Member, 0, len(s.Roster))
	for _, m := range s.Roster {
		roster = append(roster, grant.Member{Host: m.ID, Zone: m.Zone})
	}
	return front.New(front.Deps{
		Self: self, Roster: roster, Peers: mesh, Store: client.WithDefaultPriority(budget.PriorityClaims), Config: a.View(), Log: log,
	}, front.WithDrainNotice(s.DrainNotice))
}

func newBatch(
	s setup.Settings, self wire.Hello, mesh *peers.Mesh, client *budget.Client, agent plat.Agent, f *front.Front, log *slog.Logger,
) *batch.Runtime {
	return batch.New(batch.Deps{
		Self: self, Partitions: s.Partitions(), PartitionsPerZone: s.PartitionsPerZone,
		Store: client, Agent: agent, Peers: mesh, Log: log,
	}, batch.WithOnEndpoints(f.ObserveEndpoints), batch.WithOutageHorizon(s.OutageHorizon), batch.WithBudget(client),
		batch.WithPolicy(place.Interference{}, place.WithSlowdownLimit(s.SlowdownLimit)))
}

func newRouter(h *Health, r metrics.Registry, a *admin.Admin, f *front.Front, b *batch.Runtime) *mux.Router {
	router := mux.NewRouter()
	router.Use(Measure(r))
	h.Register(router)
	router.Handle("/metrics", stats.Handler(r)).Methods(http.MethodGet)
	a.Register(router)
	f.Register(router)
	b.Register(router)
	return router
}
