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
	"lovagefork.example/entryd/front"
	"lovagefork.example/entryd/hosts"
	"lovagefork.example/entryd/peers"
	"lovagefork.example/entryd/setup"
)

// connect passes messages and observations between the parts.
func connect(mesh *peers.Mesh, h *hosts.Watcher, a *admin.Admin, f *front.Front, b *batch.Runtime) {
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

// runner runs the parts of the daemon until it is stopped.
type runner struct {
	log    *slog.Logger
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func (r *runner) run(ctx context.Context, name string, part func(context.Context) error) {
	r.wg.Go(func() {
		if err := part(ctx); err != nil && !errors.Is(err, context.Canceled) {
			r.log.Error("daemon: part ended", "part", name, "error", err)
		}
	})
}

// parts are the running parts of the daemon.
type parts struct {
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

// serve starts the parts, and stops them in the order that lets requests in flight end.
func serve(lc fx.Lifecycle, p parts) {
	callers := newServer("listen", p.Settings.Listen, p.Router, p.TLS.callers, p.Log)
	links := newPeerServer(p.Settings, p.Mesh, p.TLS, p.Log)
	debug := newDebugServer(p.Settings, p.Log)
	r := &runner{log: p.Log}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := links.start(); err != nil {
				return err
			}
			if err := callers.start(); err != nil {
				return err
			}
			if p.Settings.DebugListen != "" {
				if err := debug.start(); err != nil {
					return err
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			r.cancel = cancel
			r.run(ctx, "peers", func(ctx context.Context) error { p.Mesh.Run(ctx); return nil })
			r.run(ctx, "hosts", func(ctx context.Context) error { p.Hosts.Run(ctx); return nil })
			r.run(ctx, "admin", p.Admin.Run)
			r.run(ctx, "front", p.Front.Run)
			r.run(ctx, "batch", p.Batch.Run)
			r.run(ctx, "readiness", func(ctx context.Context) error { return watchReadiness(ctx, p) })
			p.Log.Info("daemon: serving", "listen", p.Settings.Listen, "peer_listen", p.Settings.PeerListen)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			p.Health.Fail("drain", "shutting down")
			p.Log.Info("daemon: draining", "notice", p.Settings.DrainNotice, "timeout", p.Settings.DrainTimeout)
			err := drain(ctx, p)
			stopCtx, cancel := context.WithTimeout(ctx, stopReserve/2)
			defer cancel()
			err = errors.Join(err, callers.stop(stopCtx))
			r.cancel()
			p.Mesh.Close()
			r.wg.Wait()
			err = errors.Join(err, links.http.Close(), debug.http.Close())
			p.Log.Info("daemon: stopped", "error", err)
			return err
		},
	})
}

// readinessInterval paces the checks until the process is ready.
const readinessInterval = 100 * time.Millisecond

// watchReadiness meets each condition once it holds. The configuration may come from a peer, because a process that
// starts while the store is down must serve too.
func watchReadiness(ctx context.Context, p parts) error {
	conditions := map[string]func() bool{
		conditionConfig:  func() bool { return p.Admin.Loaded() || len(p.Admin.View().All()) > 0 },
		conditionWorkers: func() bool { return len(p.Hosts.Workers()) > 0 },
		conditionSlots:   p.Front.OwnShareOpen,
	}
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for len(conditions) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for name, holds := range conditions {
			if holds() {
				p.Health.Satisfy(name)
				delete(conditions, name)
			}
		}
	}
	p.Log.Info("daemon: ready")
	return nil
}

// drain finishes the requests in flight before it hands over the partitions, because requests need no partition.
func drain(ctx context.Context, p parts) error {
	limit := p.Settings.DrainNotice + p.Settings.DrainTimeout
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := time.Now()
	err := p.Front.Drain(ctx)
	p.Log.Info("daemon: requests drained", "took", time.Since(started).Round(time.Millisecond), "error", err)
	return errors.Join(err, p.Batch.Drain(ctx))
}
