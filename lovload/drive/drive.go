package drive

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovagefork.example/lovload/plan"
	"lovagefork.example/lovload/tally"
)

// callTimeout bounds one call whose stream has no deadline.
const callTimeout = 30 * time.Second

// Driver runs one experiment.
type Driver struct {
	plan   plan.Plan
	log    *slog.Logger
	client *http.Client
	run    string
	slots  chan struct{}

	Tally tally.Tally

	mu       sync.Mutex
	notRun   []string
	ran      []string
	once     []string
	accepted []string
}

// New returns a driver; run is part of every request and job id, so that ids of different runs differ.
func New(p plan.Plan, run string, log *slog.Logger) *Driver {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = p.InFlight
	return &Driver{
		plan: p, run: run, log: log, slots: make(chan struct{}, p.InFlight),
		client: &http.Client{Transport: transport},
	}
}

// Run sends every arrival at its intended time and returns when all are answered, or the settle time is over.
func (d *Driver) Run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	start := time.Now()
	end := start.Add(d.plan.Duration() + d.plan.SettleTime())
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range d.plan.Arrivals() {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		if a.Kind == plan.KindFault {
			wg.Go(func() { d.inject(ctx, d.plan.Faults[a.Index]) })
			continue
		}
		select {
		case d.slots <- struct{}{}:
		default:
			d.Tally.Add(tally.Record{Stream: d.name(a), At: a.At, Outcome: tally.OutcomeClientFull})
			continue
		}
		wg.Go(func() {
			defer func() { <-d.slots }()
			d.one(ctx, start, a)
		})
	}
	wg.Wait()
	d.awaitJobs(ctx)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *Driver) name(a plan.Arrival) string {
	if a.Kind == plan.KindJob {
		return "job " + d.plan.Jobs[a.Index].Name
	}
	return d.plan.Streams[a.Index].Name
}

func (d *Driver) one(ctx context.Context, start time.Time, a plan.Arrival) {
	var outcome tally.Outcome
	var reason string
	limit := callTimeout
	if a.Kind == plan.KindJob {
		outcome, reason = d.submit(ctx, a)
	} else {
		s := d.plan.Streams[a.Index]
		if s.DeadlineMS > 0 {
			limit = time.Duration(s.DeadlineMS) * time.Millisecond
		}
		outcome, reason = d.request(ctx, s, a, start.Add(a.At).Add(limit))
	}
	latency := time.Since(start) - a.At
	if outcome == tally.OutcomeGood && latency > limit {
		outcome = tally.OutcomeLate
	}
	d.Tally.Add(tally.Record{Stream: d.name(a), At: a.At, Latency: latency, Outcome: outcome, Reason: reason})
}

// entry returns the entry process for a try; a load balancer would also go on to the next one when a connection fails.
func (d *Driver) entry(a plan.Arrival, try int) string {
	return strings.TrimRight(d.plan.Entries[(a.Number+try)%len(d.plan.Entries)], "/")
}

func (d *Driver) inject(ctx context.Context, f plan.Fault) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL, strings.NewReader(string(f.Body)))
	if err == nil {
		var resp *http.Response
		resp, err = d.client.Do(req)
		if err == nil {
			data, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				err = fmt.Errorf("status %d: %s", resp.StatusCode, data)
			}
		}
	}
	if err != nil {
		d.log.Error("lovload: fault not injected", "url", f.URL, "note", f.Note, "error", err)
		return
	}
	d.log.Info("lovload: fault injected", "url", f.URL, "note", f.Note)
}
