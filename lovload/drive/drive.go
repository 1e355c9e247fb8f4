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

// callTimeout bounds a call that has no deadline: a request of a stream without one, or the submission of a job.
const callTimeout = 30 * time.Second

// Driver runs one experiment and records its outcomes.
type Driver struct {
	plan   plan.Plan
	log    *slog.Logger
	client *http.Client
	runID  string
	// inFlight is the semaphore that limits the concurrent calls.
	inFlight chan struct{}

	Tally tally.Tally

	mu                sync.Mutex
	notRunKeys        []string
	ranKeys           []string
	nonIdempotentKeys []string
	acceptedJobs      []string
}

// New returns a driver. The run id is part of every idempotency key and job id, so that those of different runs differ.
func New(p plan.Plan, runID string, log *slog.Logger) *Driver {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = p.InFlight
	return &Driver{
		plan: p, runID: runID, log: log, inFlight: make(chan struct{}, p.InFlight),
		client: &http.Client{Transport: transport},
	}
}

// Run sends every arrival at its intended time. It returns when all calls have returned and the accepted jobs have
// ended, or at the end of the settle time.
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
			wg.Go(func() { d.injectFault(ctx, d.plan.Faults[a.Index]) })
			continue
		}
		select {
		case d.inFlight <- struct{}{}:
		default:
			d.Tally.Add(tally.Record{Stream: d.streamName(a), At: a.At, Outcome: tally.OutcomeClientFull})
			continue
		}
		wg.Go(func() {
			defer func() { <-d.inFlight }()
			d.runArrival(ctx, start, a)
		})
	}
	wg.Wait()
	d.awaitJobs(ctx)
}

// sleepUntil waits until the given time; it returns false if ctx is done first.
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

// streamName returns the name under which the outcomes of an arrival are recorded.
func (d *Driver) streamName(a plan.Arrival) string {
	if a.Kind == plan.KindJob {
		return "job " + d.plan.Jobs[a.Index].Name
	}
	return d.plan.Streams[a.Index].Name
}

// runArrival sends one request or job and records its outcome. The latency counts from the intended time.
func (d *Driver) runArrival(ctx context.Context, start time.Time, a plan.Arrival) {
	var outcome tally.Outcome
	var reason string
	limit := callTimeout
	if a.Kind == plan.KindJob {
		outcome, reason = d.submitJob(ctx, a)
	} else {
		s := d.plan.Streams[a.Index]
		if s.DeadlineMS > 0 {
			limit = time.Duration(s.DeadlineMS) * time.Millisecond
		}
		outcome, reason = d.sendRequest(ctx, s, a, start.Add(a.At).Add(limit))
	}
	latency := time.Since(start) - a.At
	if outcome == tally.OutcomeGood && latency > limit {
		outcome = tally.OutcomeLate
	}
	d.Tally.Add(tally.Record{Stream: d.streamName(a), At: a.At, Latency: latency, Outcome: outcome, Reason: reason})
}

// entryURL returns the URL of the entry process for an attempt, numbered from 0. Like a load balancer, it moves on to
// the next process when a connection fails.
func (d *Driver) entryURL(a plan.Arrival, attempt int) string {
	return strings.TrimRight(d.plan.Entries[(a.Number+attempt)%len(d.plan.Entries)], "/")
}

// injectFault posts a fault to its control page; a failure is only logged.
func (d *Driver) injectFault(ctx context.Context, f plan.Fault) {
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
