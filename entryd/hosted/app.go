package hosted

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/drain"
	"lovagefork.example/entryd/leader"
	"lovagefork.example/entryd/logs"
	"lovagefork.example/entryd/peers"
	"lovagefork.example/entryd/stats"
)

// Platform holds the settings and clients that the platform adapter provides to a hosted process.
type Platform struct {
	Settings infra.Settings
	// Reload rereads the settings. Hangups receives the signals that ask for it, for as long as the process runs.
	Reload  func() (infra.Settings, error)
	Hangups <-chan os.Signal
	// Traffic counts the calls of the clients.
	Traffic *stats.Traffic
	Store   store.Client
	Agents  infra.Agents
	// Policy is called only for queues that have an approval policy.
	Policy infra.PolicyService
	// Machines is nil if the platform has no machine maintenance service.
	Machines infra.Machines
	Format   infra.Format
	// Ingress returns the handler of callers' requests in the platform's format.
	Ingress func(jobs infra.Jobs, log *slog.Logger) http.Handler
	// Readiness returns the handler of the load balancer's probes.
	Readiness func(ready func() bool) http.Handler
}

const (
	// balancerDelay is how long the load balancer takes to detect that a process is not ready: two probes, one second
	// apart, and one in flight.
	balancerDelay = 3 * time.Second
	// stopMargin is the time reserved between the last response and the end of the grace period.
	stopMargin = 1500 * time.Millisecond
	// headerTimeout, idleTimeout and maxHeader apply to the process's HTTP servers, independent of the configuration.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	maxHeader     = 16 << 10
)

// New returns a hosted entry process as an fx application. It writes its log to out.
func New(p Platform, out io.Writer) *fx.App {
	return fx.New(
		fx.Supply(p),
		fx.Supply(p.Settings),
		fx.Provide(
			func() *logs.Writer { return logs.New(out) },
			newLogger,
			newTaskLogger,
			newRegistry,
			newMesh,
			func() *intakeRef { return &intakeRef{} },
			newCatalogWatcher,
			newScheduler,
			newGroup,
			newIntake,
			newRelay,
		),
		fx.Invoke(registerHandlers, registerGauges, registerHooks),
		fx.StopTimeout(p.Settings.Bounds.GracePeriod),
		fx.WithLogger(func(log *slog.Logger) fxevent.Logger {
			events := &fxevent.SlogLogger{Logger: log}
			events.UseLogLevel(slog.LevelDebug)
			return events
		}),
	)
}

func newLogger(s infra.Settings, w *logs.Writer) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo})).With("entry_host", s.EntryHost)
}

// taskLogger logs single tasks and calls. It has its own rate limit.
type taskLogger struct{ *slog.Logger }

// taskLinesPerSecond limits the lines of the [taskLogger]: a takeover alone logs one line for each running task.
const taskLinesPerSecond = 2000

func newTaskLogger(s infra.Settings, w *logs.Writer) taskLogger {
	return taskLogger{newLogger(s, w.Derive(logs.WithLimit(taskLinesPerSecond)))}
}

// newRegistry returns the process's metrics, with the traffic of its clients among them.
func newRegistry(p Platform) metrics.Registry {
	r := metrics.NewRegistry()
	p.Traffic.Register(r)
	return r
}

// electionMessage announces a leader to peers.
func electionMessage(l leader.Leader) wire.SchedulerElected {
	return wire.SchedulerElected{EntryHost: l.EntryHost, Token: l.Token, Term: l.Term}
}

func newMesh(s infra.Settings, r metrics.Registry, log *slog.Logger) *peers.Mesh {
	self := wire.Hello{EntryHost: s.EntryHost, Boot: fleet.BootID(rand.Text()), Zone: s.Zone}
	return peers.New(self, map[fleet.EntryHostID]string{}, log, peers.WithMetrics(r), peers.WithUnlistedPeers())
}

func newScheduler(p Platform, mesh *peers.Mesh, r metrics.Registry, log *slog.Logger, tasks taskLogger, ref *intakeRef) *leader.Scheduler {
	return leader.NewScheduler(leader.Deps{
		Store: p.Store, Agents: p.Agents, Policy: p.Policy, Machines: p.Machines, Format: p.Format, Bounds: p.Settings.Bounds, LinkBitsPerSecond: p.Settings.LinkBitsPerSecond, Log: log, Decisions: tasks.Logger, Metrics: r, Traffic: p.Traffic, Supersede: ref.supersede,
		Relays: NewRelayClient(mesh, ref.hosts, r),
	})
}

// intakeRef gives the scheduler access to the intake, which is constructed after it.
type intakeRef struct {
	intake *Intake
}

func (r *intakeRef) supersede(ctx context.Context, host fleet.EntryHostID, token infra.Token) (time.Duration, bool) {
	return r.intake.Supersede(ctx, host, token)
}

func (r *intakeRef) askEligible(ctx context.Context, host fleet.EntryHostID, token infra.Token) error {
	return r.intake.AskEligible(ctx, host, token)
}

func (r *intakeRef) hosts() []leader.Host { return r.intake.group.Hosts() }

func newRelay(p Platform, i *Intake, r metrics.Registry, tasks taskLogger) *Relay {
	return NewRelay(i, p.Agents, p.Settings.LinkBitsPerSecond, r, tasks.Logger)
}

func newCatalogWatcher(p Platform, mesh *peers.Mesh, s *leader.Scheduler, r metrics.Registry, log *slog.Logger) *CatalogWatcher {
	return NewCatalogWatcher(p.Store, p.Format, mesh, log, s.Configure, WithCatalogMetrics(r))
}

// meshUpdater adds and removes the mesh's peers when the members of the group change. ctx is canceled when the
// process stops.
type meshUpdater struct {
	mesh *peers.Mesh
	log  *slog.Logger
	mu   sync.Mutex
	ctx  context.Context
}

func (u *meshUpdater) onMemberChange(host fleet.EntryHostID, address string) {
	u.mu.Lock()
	ctx := u.ctx
	u.mu.Unlock()
	if address == "" {
		u.log.Info("group: entry process removed", "peer", host)
		u.mesh.RemovePeer(host)
		return
	}
	u.mesh.AddPeer(ctx, host, address)
}

func newGroup(p Platform, mesh *peers.Mesh, sched *leader.Scheduler, log *slog.Logger, ref *intakeRef) (*leader.Group, *meshUpdater) {
	updater := &meshUpdater{mesh: mesh, log: log, ctx: context.Background()}
	onLeader := func(elected leader.Leader) {
		mesh.Broadcast(electionMessage(elected))
	}
	s := p.Settings
	capacity := leader.Capacity{MilliCPU: s.MilliCPU, LinkBitsPerSecond: s.LinkBitsPerSecond}
	return leader.NewGroup(
		s.EntryHost, s.PeerAddr, p.Store, log, sched.Run, updater.onMemberChange, onLeader,
		leader.WithCapacity(capacity), leader.WithHandOver(ref.askEligible),
	), updater
}

func newIntake(
	p Platform, group *leader.Group, sched *leader.Scheduler, mesh *peers.Mesh, c *CatalogWatcher, r metrics.Registry, log *slog.Logger,
	tasks taskLogger,
) *Intake {
	i := NewIntake(p.Settings.EntryHost, p.Store, tasks.Logger, WithMetrics(r), WithScheduler(group, sched))
	i.health.log = log
	i.mesh, i.catalog = mesh, c
	return i
}

// registerHandlers registers the handlers of peers' messages and link changes.
func registerHandlers(mesh *peers.Mesh, group *leader.Group, intake *Intake, relay *Relay, c *CatalogWatcher, ref *intakeRef) {
	ref.intake = intake
	// The intake answers all other requests of peers, known or not.
	mesh.AddHandler(relay.HandleMessage)
	mesh.AddHandler(intake.HandleMessage)
	mesh.AddHandler(c.HandleMessage)
	mesh.AddHandler(func(_ context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
		elected, ok := m.(wire.SchedulerElected)
		if !ok {
			return nil
		}
		group.Observe(leader.Leader{EntryHost: elected.EntryHost, Token: elected.Token, Term: elected.Term})
		return wire.Ack{}
	})
	mesh.OnLinkChange(func(peer fleet.EntryHostID, up bool) {
		if !up {
			return
		}
		c.Announce(peer)
		if elected, known := group.Leader(); known {
			if err := mesh.Send(peer, electionMessage(elected)); err != nil {
				return
			}
		}
	})
}

func registerGauges(r metrics.Registry, w *logs.Writer) {
	r.GetOrRegister("logs.dropped.total", func() metrics.Gauge { return metrics.NewFunctionalGauge(w.Dropped) })
	r.GetOrRegister("logs.written.total", func() metrics.Gauge { return metrics.NewFunctionalGauge(w.Written) })
}

type processParams struct {
	fx.In
	Platform       Platform
	Mesh           *peers.Mesh
	Group          *leader.Group
	Updater        *meshUpdater
	Intake         *Intake
	CatalogWatcher *CatalogWatcher
	Registry       metrics.Registry
	Writer         *logs.Writer
	Log            *slog.Logger
}

// process runs the servers and background loops of an entry process.
type process struct {
	processParams
	stopping atomic.Bool
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	front    *http.Server
	callers  drain.Connections
	servers  []*http.Server
}

func registerHooks(lc fx.Lifecycle, p processParams) {
	proc := &process{processParams: p}
	lc.Append(fx.Hook{OnStart: proc.start, OnStop: proc.stop})
}

func (p *process) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.Updater.mu.Lock()
	p.Updater.ctx = ctx
	p.Updater.mu.Unlock()
	s := p.Platform.Settings
	p.Log.Info("process: starting", "zone", s.Zone, "front", s.FrontAddr, "peer", s.PeerAddr, "store", s.StoreAddr)
	p.front = p.server(p.Platform.Ingress(p.Intake, p.Log))
	peerRouter := mux.NewRouter()
	peerRouter.Handle("/peer/v1", p.Mesh)
	metricsRouter := mux.NewRouter()
	metricsRouter.Handle("/metrics", stats.Handler(p.Registry)).Methods(http.MethodGet)
	inspector{p.Intake}.register(metricsRouter)
	err := errors.Join(
		p.listen(s.ReadyAddr, p.server(p.Platform.Readiness(p.ready))),
		p.listen(s.PeerAddr, &http.Server{Handler: peerRouter, ReadHeaderTimeout: headerTimeout}),
		p.listen(s.FrontAddr, p.front),
	)
	if metricsErr := p.listen(s.MetricsAddr, p.server(metricsRouter)); metricsErr != nil {
		// The process can do its work without metrics.
		p.Log.Warn("process: cannot serve metrics", "address", s.MetricsAddr, "error", metricsErr)
	}
	if err != nil {
		cancel()
		return err
	}
	p.wg.Go(func() { p.CatalogWatcher.Run(ctx) })
	p.wg.Go(func() { p.Group.Run(ctx) })
	p.wg.Go(func() { p.Intake.health.probe(ctx) })
	p.wg.Go(func() { p.reload(ctx) })
	return nil
}

func (p *process) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelWarn),
	}
}

func (p *process) listen(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if server == p.front {
		listener = p.callers.Attach(server, listener.(*net.TCPListener))
	}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("process: HTTP server failed", "address", address, "error", err)
		}
	}()
	return nil
}

func (p *process) ready() bool { return !p.stopping.Load() && p.CatalogWatcher.Current() != nil }

// reload rereads the settings on each SIGHUP and logs which of them changed. The changes take effect at the next
// start.
func (p *process) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Platform.Hangups:
		}
		next, err := p.Platform.Reload()
		if err != nil {
			p.Log.Error("process: cannot reload the settings, keeping the current ones", "error", err)
			continue
		}
		p.Log.Info("process: settings reloaded", "changed", changedSettings(p.Platform.Settings, next))
	}
}

// changedSettings returns the groups of settings that differ.
func changedSettings(old, next infra.Settings) []string {
	var names []string
	if old.Bounds != next.Bounds {
		names = append(names, "bounds")
	}
	if old.StoreLimits != next.StoreLimits {
		names = append(names, "store limits")
	}
	if old.FrontAddr != next.FrontAddr || old.ReadyAddr != next.ReadyAddr || old.PeerAddr != next.PeerAddr || old.StoreAddr != next.StoreAddr {
		names = append(names, "addresses")
	}
	return names
}

// stop shuts the process down: it reports itself as not ready, gives up the leadership, waits for the load balancer
// to detect the shutdown, and completes the requests in flight.
func (p *process) stop(ctx context.Context) error {
	p.stopping.Store(true)
	p.Log.Info("process: stopping")
	p.callers.CloseAfterResponse()
	p.Group.Resign()
	grace := p.Platform.Settings.Bounds.GracePeriod - stopMargin
	sleep(ctx, min(balancerDelay, grace/2))
	drain, cancel := context.WithTimeout(ctx, grace-min(balancerDelay, grace/2))
	defer cancel()
	err := p.callers.Shutdown(drain, p.front)
	p.cancel()
	p.Mesh.Close()
	for _, s := range p.servers {
		if s != p.front {
			// Connections of peers and probes need no graceful shutdown.
			_ = s.Close()
		}
	}
	p.Log.Info("process: stopped", "error", err)
	p.Writer.Close()
	return nil
}
