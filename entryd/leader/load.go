package leader

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"lovagefork.example/coord/flow"
	"lovagefork.example/entryd/stats"
)

// loadInterval is the interval of the log lines about the load of the event loop.
const loadInterval = 2 * time.Second

// activity is what the event loop spends its time with.
type activity int

// The activities of the event loop. A tick contains sweeps and placement, and orders are the effects of all others.
const (
	activityReport activity = iota
	activityAnswer
	activityInput
	activityTick
	activityQuery
	activityOrders
	activities
)

var activityNames = [activities]string{"report", "answer", "input", "tick", "query", "orders"}

func activityOf(ev flow.Event) activity {
	switch ev.(type) {
	case flow.RenewAnswered, flow.RenewFailed:
		return activityReport
	case flow.StartAnswered, flow.StopAnswered, flow.ThrottleAnswered:
		return activityAnswer
	case flow.Tick:
		return activityTick
	default:
		return activityInput
	}
}

// loadMeter measures how the event loop spends its time and how long events wait for it. It belongs to the loop's goroutine.
type loadMeter struct {
	waits metrics.Timer
	// totals are the milliseconds spent with each activity.
	totals [activities]metrics.Counter
	// traffic counts the calls of the store and of workers; nil if they are not counted.
	traffic *stats.Traffic

	linkGauges linkGauges
	// link is the use of the link at the last report, and examined what [flow.Counts] had as Examined.
	link          flow.LinkUse
	examined      int64
	examinedTotal metrics.Counter
	// transferred is what the traffic was at the beginning of the measurement.
	transferred map[string]stats.Transfer
	since       time.Time
	cpu         time.Duration
	spent       [activities]time.Duration
	count       [activities]int
	longest     [activities]time.Duration
	// longestWait is that of an event, and longestTransit the time of a job from its submission to this process.
	longestWait    time.Duration
	longestTransit time.Duration
}

func newLoadMeter(r metrics.Registry, traffic *stats.Traffic) *loadMeter {
	l := &loadMeter{
		waits: metrics.GetOrRegisterTimer("scheduler.event_wait_seconds", r), traffic: traffic, transferred: traffic.Totals(), linkGauges: newLinkGauges(r),
		examinedTotal: metrics.GetOrRegisterCounter("scheduler.examined_workers.total", r),
		since:         time.Now(), cpu: processorTime(),
	}
	for a, name := range activityNames {
		l.totals[a] = metrics.GetOrRegisterCounter("scheduler.loop_"+name+"_ms.total", r)
	}
	return l
}

// spend adds the time since began to an activity, and returns the present time.
func (l *loadMeter) spend(a activity, began time.Time) time.Time {
	now := time.Now()
	took := now.Sub(began)
	l.spent[a] += took
	l.count[a]++
	l.longest[a] = max(l.longest[a], took)
	return now
}

// waited notes how long an event has waited in the queue.
func (l *loadMeter) waited(ev queuedEvent) {
	wait := time.Since(ev.queuedAt)
	l.longestWait = max(l.longestWait, wait)
	if job, ok := ev.event.(flow.Submitted); ok && job.Job.Submitted > 0 {
		l.longestTransit = max(l.longestTransit, time.Since(time.UnixMilli(job.Job.Submitted)))
	}
}

// report logs the load once in each loadInterval and begins a new measurement.
func (l *loadMeter) report(log *slog.Logger, queued int, m *flow.Machine) {
	now := time.Now()
	elapsed := now.Sub(l.since)
	if elapsed < loadInterval {
		return
	}
	cpu := processorTime()
	attrs := []any{
		"over_ms", elapsed.Milliseconds(), "processor_ms", (cpu - l.cpu).Milliseconds(), "queued", queued,
		"longest_wait_ms", l.longestWait.Milliseconds(), "longest_transit_ms", l.longestTransit.Milliseconds(),
	}
	examined := m.Counts().Examined
	attrs = append(attrs, "examined_workers", examined-l.examined)
	l.examinedTotal.Inc(examined - l.examined)
	link := m.LinkUse()
	if link.Window > 0 {
		attrs = append(attrs, slog.Group(
			"link", "bytes", link.OnWay, "window_bytes", link.Window, "relays", link.Relays, "resting_relays", link.Resting, "held_back", link.HeldBack,
			"starts", link.Starts-l.link.Starts, "relayed", link.Relayed-l.link.Relayed, "relay_failures", link.RelayFailures-l.link.RelayFailures,
		))
	}
	l.linkGauges.update(link, l.link)
	for a, name := range activityNames {
		l.totals[a].Inc(l.spent[a].Milliseconds())
		attrs = append(attrs, slog.Group(
			name, "count", l.count[a], "ms", l.spent[a].Milliseconds(), "longest_ms", l.longest[a].Milliseconds(),
		))
	}
	transferred := l.traffic.Totals()
	for _, name := range slices.Sorted(maps.Keys(transferred)) {
		if d := transferred[name].Sub(l.transferred[name]); d.Calls > 0 {
			attrs = append(attrs, slog.Group("traffic_"+name, "calls", d.Calls, "sent_bytes", d.Sent, "received_bytes", d.Received))
		}
	}
	log.Info("scheduler: load", attrs...)
	// The timer takes longer than most events, so that it is updated once for all of them.
	l.waits.Update(l.longestWait)
	*l = loadMeter{
		waits: l.waits, totals: l.totals, traffic: l.traffic, transferred: transferred, linkGauges: l.linkGauges, link: link,
		examined: examined, examinedTotal: l.examinedTotal, since: now, cpu: cpu,
	}
}

// processorTime returns the processor time that this process has used, or 0 if it is not known.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
