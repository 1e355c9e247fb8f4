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
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/leader"
	"lovagefork.example/entryd/logs"
	"lovagefork.example/entryd/peers"
	"lovagefork.example/entryd/stats"
)

// Platform is what a hosted process needs from the adapter of its platform.
type Platform struct {
	Settings infra.Settings
	// Reload reads the settings again.
	Reload func() (infra.Settings, error)
	Store  store.Client
	Agents infra.Agents
	// Advisor is asked only for queues that have a policy.
	Advisor infra.Advisor
	// Machines takes machines down for their upkeep; it is nil where the platform has no such service.
	Machines infra.Machines
	Format   infra.Format
	// Ingress serves callers in the platform's format.
	Ingress func(jobs infra.Jobs, log *slog.Logger) http.Handler
	// Ready serves the balancer's probes.
	Ready func(ready func() bool) http.Handler
}

const (
	// balancerNotice is how long the balancer takes to notice that a process is not ready: two probes, a second apart, and
	// one on its way.
	balancerNotice = 3 * time.Second
	// stopMargin is left between the last answer and the end of the grace period.
	stopMargin = 1500 * time.Millisecond
	// headerTimeout and idleTimeout hold where the configuration has no limits.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	maxHeader     = 16 << 10
)

// New returns a hosted entry process as an fx application; logs go to out.
func New(p Platform, out io.Writer) *fx.App {
	return fx.New(
		fx.Supply(p),
		fx.Supply(p.Settings),
		fx.Provide(
			func() *logs.Writer { return logs.New(out) },
			newLogger,
			newDecisions,
			metrics.NewRegistry,
			newMesh,
			func() *overseer { return &overseer{} },
			newCatalogs,
			newScheduler,
			newGroup,
			newIntake,
		),
		fx.Invoke(connect, registerGauges, run),
		fx.StopTimeout(p.Settings.Bounds.Grace),
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

// decisions is the logger of lines about single tasks and calls.
type decisions struct{ *slog.Logger }

// decisionsPerSecond bounds the lines about single tasks: a takeover alone tells of each running task.
const decisionsPerSecond = 2000

func newDecisions(s infra.Settings, w *logs.Writer) decisions {
	return decisions{newLogger(s, w.Beside(logs.WithLimit(decisionsPerSecond)))}
}

func newMesh(s infra.Settings, r metrics.Registry, log *slog.Logger) *peers.Mesh {
	self := wire.Hello{EntryHost: s.EntryHost, Boot: fleet.BootID(rand.Text()), Zone: s.Zone}
	return peers.New(self, map[fleet.EntryHostID]string{}, log, peers.WithMetrics(r), peers.WithOpenRoster())
}

func newScheduler(p Platform, r metrics.Registry, log *slog.Logger, d decisions, o *overseer) *leader.Scheduler {
	return leader.NewScheduler(leader.Deps{
		Store: p.Store, Agents: p.Agents, Advisor: p.Advisor, Machines: p.Machines, Format: p.Format, Bounds: p.Settings.Bounds, Log: log, Decisions: d.Logger, Metrics: r, Supersede: o.over,
	})
}

// overseer lets the scheduler ask peers, which are reached through the intake that is built after it.
type overseer struct {
	intake *Intake
}

func (o *overseer) over(ctx context.Context, host fleet.EntryHostID, token infra.Token) bool {
	return o.intake.Over(ctx, host, token)
}

func newCatalogs(p Platform, mesh *peers.Mesh, s *leader.Scheduler, log *slog.Logger) *Catalogs {
	return NewCatalogs(p.Store, p.Format, mesh, log, s.Configure)
}

// membership gives the group what it tells of; the context is that of the running process.
type membership struct {
	mesh *peers.Mesh
	log  *slog.Logger
	mu   sync.Mutex
	ctx  context.Context
}

func (m *membership) onHost(host fleet.EntryHostID, address string) {
	m.mu.Lock()
	ctx := m.ctx
	m.mu.Unlock()
	if address == "" {
		m.log.Info("group: entry process gone", "peer", host)
		m.mesh.Leave(host)
		return
	}
	m.mesh.Join(ctx, host, address)
}

func newGroup(p Platform, mesh *peers.Mesh, sched *leader.Scheduler, log *slog.Logger) (*leader.Group, *membership) {
	members := &membership{mesh: mesh, log: log, ctx: context.Background()}
	onSeat := func(seat leader.Leader) {
		mesh.Broadcast(wire.Elected{EntryHost: seat.EntryHost, Token: seat.Token})
	}
	s := p.Settings
	return leader.NewGroup(s.EntryHost, s.Peer, p.Store, log, sched.Run, members.onHost, onSeat, leader.WithMilliCPU(s.MilliCPU)), members
}

func newIntake(
	p Platform, group *leader.Group, sched *leader.Scheduler, mesh *peers.Mesh, c *Catalogs, r metrics.Registry, log *slog.Logger,
	d decisions,
) *Intake {
	i := NewIntake(p.Settings.EntryHost, p.Store, d.Logger, WithMetrics(r))
	i.health.log = log
	i.group, i.scheduler, i.mesh, i.catalogs = group, sched, mesh, c
	return i
}

// connect joins the parts that talk to each other over the links.
func connect(mesh *peers.Mesh, group *leader.Group, intake *Intake, c *Catalogs, o *overseer) {
	o.intake = intake
	mesh.Handle(intake.Answer)
	mesh.Handle(c.Answer)
	mesh.Handle(func(_ context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
		e, ok := m.(wire.Elected)
		if !ok {
			return nil
		}
		group.Observe(leader.Leader{EntryHost: e.EntryHost, Token: e.Token})
		return wire.Ack{}
	})
	mesh.OnChange(func(peer fleet.EntryHostID, up bool) {
		if !up {
			return
		}
		c.Announce(peer)
		if seat, known := group.Leader(); known {
			if err := mesh.Send(peer, wire.Elected{EntryHost: seat.EntryHost, Token: seat.Token}); err != nil {
				return
			}
		}
	})
}

func registerGauges(r metrics.Registry, w *logs.Writer) {
	r.GetOrRegister("logs.dropped.total", func() metrics.Gauge { return metrics.NewFunctionalGauge(w.Dropped) })
	r.GetOrRegister("logs.written.total", func() metrics.Gauge { return metrics.NewFunctionalGauge(w.Written) })
}

type parts struct {
	fx.In
	Platform Platform
	Mesh     *peers.Mesh
	Group    *leader.Group
	Members  *membership
	Intake   *Intake
	Catalogs *Catalogs
	Registry metrics.Registry
	Writer   *logs.Writer
	Log      *slog.Logger
}

// process is a running entry process.
type process struct {
	parts
	stopping atomic.Bool
	cancel   context.CancelFunc
	group    sync.WaitGroup
	front    *http.Server
	servers  []*http.Server
}

func run(lc fx.Lifecycle, p parts) {
	proc := &process{parts: p}
	lc.Append(fx.Hook{OnStart: proc.start, OnStop: proc.stop})
}

func (p *process) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.Members.mu.Lock()
	p.Members.ctx = ctx
	p.Members.mu.Unlock()
	s := p.Platform.Settings
	p.Log.Info("process: starts", "zone", s.Zone, "front", s.Front, "peer", s.Peer, "store", s.Store)
	p.front = p.server(p.Platform.Ingress(p.Intake, p.Log))
	router := mux.NewRouter()
	router.Handle("/peer/v1", p.Mesh)
	observe := mux.NewRouter()
	observe.Handle("/metrics", stats.Handler(p.Registry)).Methods(http.MethodGet)
	inspection{p.Intake}.register(observe)
	err := errors.Join(
		p.listen(s.Ready, p.server(p.Platform.Ready(p.ready))),
		p.listen(s.Peer, &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}),
		p.listen(s.Front, p.front),
	)
	if notServed := p.listen(s.Metrics, p.server(observe)); notServed != nil {
		// The process is of use without its metrics.
		p.Log.Warn("process: metrics not served", "address", s.Metrics, "error", notServed)
	}
	if err != nil {
		cancel()
		return err
	}
	p.group.Go(func() { p.Catalogs.Run(ctx) })
	p.group.Go(func() { p.Group.Run(ctx) })
	p.group.Go(func() { p.Intake.health.probe(ctx) })
	p.group.Go(func() { p.reload(ctx) })
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
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("process: server ended", "address", address, "error", err)
		}
	}()
	return nil
}

func (p *process) ready() bool { return !p.stopping.Load() && p.Catalogs.Current() != nil }

// reload reads the settings again at each SIGHUP; settings that cannot be used change nothing.
func (p *process) reload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		next, err := p.Platform.Reload()
		if err != nil {
			p.Log.Error("process: settings not reloaded, the former ones stay", "error", err)
			continue
		}
		p.Log.Info("process: settings reloaded", "changed", changed(p.Platform.Settings, next))
	}
}

// changed names the settings that differ; addresses and bounds take effect at the next start.
func changed(old, next infra.Settings) []string {
	var names []string
	if old.Bounds != next.Bounds {
		names = append(names, "bounds")
	}
	if old.Quota != next.Quota {
		names = append(names, "store quota")
	}
	if old.Front != next.Front || old.Ready != next.Ready || old.Peer != next.Peer || old.Store != next.Store {
		names = append(names, "addresses")
	}
	return names
}

// stop lets the balancer notice, hands over the scheduler, answers what is on its way, and ends.
func (p *process) stop(ctx context.Context) error {
	p.stopping.Store(true)
	p.Log.Info("process: stops")
	p.front.SetKeepAlivesEnabled(false)
	p.Group.Resign()
	grace := p.Platform.Settings.Bounds.Grace - stopMargin
	pause(ctx, min(balancerNotice, grace/2))
	drain, cancel := context.WithTimeout(ctx, grace-min(balancerNotice, grace/2))
	defer cancel()
	err := p.front.Shutdown(drain)
	p.cancel()
	p.Mesh.Close()
	for _, s := range p.servers {
		if s != p.front {
			// Peers and probes need no farewell.
			_ = s.Close()
		}
	}
	p.Log.Info("process: stopped", "error", err)
	p.Writer.Close()
	return nil
}
