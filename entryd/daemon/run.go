package daemon

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/entryd/admin"
	"lovagefork.example/entryd/batch"
	"lovagefork.example/entryd/drain"
	"lovagefork.example/entryd/front"
	"lovagefork.example/entryd/hosts"
	"lovagefork.example/entryd/peers"
	"lovagefork.example/entryd/setup"
)

// registerHandlers connects the components: it registers the subscribers of worker and configuration changes and the
// handlers of peer messages and link changes.
func registerHandlers(mesh *peers.Mesh, h *hosts.Watcher, a *admin.Admin, f *front.Front, b *batch.Runtime) {
	h.Subscribe(b.ObserveFleet)
	a.Subscribe(b.ObserveConfig)
	h.Subscribe(f.ObserveFleet)
	mesh.AddHandler(a.HandlePeer)
	mesh.AddHandler(f.HandlePeer)
	mesh.AddHandler(b.HandlePeer)
	mesh.OnLinkChange(func(peer fleet.EntryHostID, up bool) {
		if up {
			a.OnPeerUp(peer)
			b.OnPeerUp(peer)
			return
		}
		a.OnPeerDown(peer)
	})
}

// runner runs each component of the daemon in its own goroutine until cancel is called.
type runner struct {
	log    *slog.Logger
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func (r *runner) run(ctx context.Context, name string, component func(context.Context) error) {
	r.wg.Go(func() {
		if err := component(ctx); err != nil && !errors.Is(err, context.Canceled) {
			r.log.Error("daemon: component failed", "part", name, "error", err)
		}
	})
}

// components holds the settings and the long-running components of the daemon.
type components struct {
	fx.In

	Settings setup.Settings
	TLS      tlsConfigs
	Log      *slog.Logger
	Router   *mux.Router
	Mesh     *peers.Mesh
	Hosts    *hosts.Watcher
	Admin    *admin.Admin
	Front    *front.Front
	Batch    *batch.Runtime
	Health   *Health
}

// registerHooks starts the components with the application. At shutdown it drains the daemon before it closes the
// listeners and the peer links, so that requests in flight can complete.
func registerHooks(lc fx.Lifecycle, c components) {
	var callers drain.Connections
	callerServer := newServer("listen", c.Settings.Listen, c.Router, c.TLS.callers, c.Log)
	callerServer.connections = &callers
	peerServer := newPeerServer(c.Settings, c.Mesh, c.TLS, c.Log)
	debugServer := newDebugServer(c.Settings, c.Log)
	r := &runner{log: c.Log}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := peerServer.start(); err != nil {
				return err
			}
			if err := callerServer.start(); err != nil {
				return err
			}
			if c.Settings.DebugListen != "" {
				if err := debugServer.start(); err != nil {
					return err
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			r.cancel = cancel
			r.run(ctx, "peers", func(ctx context.Context) error { c.Mesh.Run(ctx); return nil })
			r.run(ctx, "hosts", func(ctx context.Context) error { c.Hosts.Run(ctx); return nil })
			r.run(ctx, "admin", c.Admin.Run)
			r.run(ctx, "front", c.Front.Run)
			r.run(ctx, "batch", c.Batch.Run)
			r.run(ctx, "readiness", func(ctx context.Context) error { return watchReadiness(ctx, c) })
			c.Log.Info("daemon: serving", "listen", c.Settings.Listen, "peer_listen", c.Settings.PeerListen)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			c.Health.Fail("drain", "shutting down")
			callers.CloseAfterResponse()
			c.Log.Info("daemon: draining", "notice", c.Settings.DrainNotice, "timeout", c.Settings.DrainTimeout)
			err := finishWork(ctx, c)
			stopCtx, cancel := context.WithTimeout(ctx, shutdownMargin/2)
			defer cancel()
			err = errors.Join(err, callers.Shutdown(stopCtx, callerServer.http))
			r.cancel()
			c.Mesh.Close()
			r.wg.Wait()
			err = errors.Join(err, peerServer.http.Close(), debugServer.http.Close())
			c.Log.Info("daemon: stopped", "error", err)
			return err
		},
	})
}

// readinessCheckInterval is the interval between checks of the readiness conditions.
const readinessCheckInterval = 100 * time.Millisecond

// watchReadiness marks each condition as satisfied when it first holds, and returns when all are. A configuration
// received from a peer is sufficient, because a process that starts during a store outage must also serve.
func watchReadiness(ctx context.Context, c components) error {
	conditions := map[string]func() bool{
		conditionConfig:  func() bool { return c.Admin.Loaded() || len(c.Admin.View().All()) > 0 },
		conditionWorkers: func() bool { return len(c.Hosts.Workers()) > 0 },
		conditionSlots:   c.Front.OwnShareOpen,
	}
	ticker := time.NewTicker(readinessCheckInterval)
	defer ticker.Stop()
	for len(conditions) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for name, satisfied := range conditions {
			if satisfied() {
				c.Health.Satisfy(name)
				delete(conditions, name)
			}
		}
	}
	c.Log.Info("daemon: ready")
	return nil
}

// finishWork waits for the requests in flight before it hands over the partitions, because requests do not depend on
// partitions.
func finishWork(ctx context.Context, c components) error {
	limit := c.Settings.DrainNotice + c.Settings.DrainTimeout
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	err := c.Front.Drain(ctx)
	c.Log.Info("daemon: requests drained", "took", time.Since(start).Round(time.Millisecond), "error", err)
	return errors.Join(err, c.Batch.Drain(ctx))
}
