package tally

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Outcome is what became of one request or job, as its caller sees it.
type Outcome string

// The outcomes. Only [Good] and [Late] have a checked answer of the request itself.
const (
	OutcomeGood     Outcome = "good"
	OutcomeLate     Outcome = "late"
	OutcomeWrongAnswer    Outcome = "wrong_answer"
	OutcomeFailed   Outcome = "ran_failed"
	OutcomeNotRun   Outcome = "not_run"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeConnectionLost   Outcome = "broken"
	OutcomeNotSent   Outcome = "unsent"
	OutcomeClientFull Outcome = "client_full"
)

// Outcomes lists every outcome in the order of the reports.
var AllOutcomes = []Outcome{OutcomeGood, OutcomeLate, OutcomeWrongAnswer, OutcomeFailed, OutcomeNotRun, OutcomeUnknown, OutcomeConnectionLost, OutcomeNotSent, OutcomeClientFull}

// Record is one request or job. Latency counts from the intended time of the arrival, so that a slow system does not hide
// the arrivals that it delays.
type Record struct {
	Stream  string
	At      time.Duration
	Latency time.Duration
	Outcome Outcome
	Reason  string
}

// Tally holds the records of one experiment; it may be used by several goroutines.
type Tally struct {
	mu      sync.Mutex
	records []Record
}

// Add stores one record.
func (t *Tally) Add(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, r)
}

// Summary holds the figures of one stream; latencies are those of good and late answers, in milliseconds.
type Summary struct {
	Stream   string          `json:"stream"`
	Count    int             `json:"count"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Reasons  map[string]int  `json:"reasons"`
	P50      float64         `json:"p50_ms"`
	P90      float64         `json:"p90_ms"`
	P99      float64         `json:"p99_ms"`
	P999     float64         `json:"p999_ms"`
	Max      float64         `json:"max_ms"`
}

// Summaries returns the figures of all streams in the order of their names.
func (t *Tally) Summaries() []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	byName := make(map[string]*Summary)
	latencies := make(map[string][]float64)
	for _, r := range t.records {
		s := byName[r.Stream]
		if s == nil {
			s = &Summary{Stream: r.Stream, Outcomes: make(map[Outcome]int), Reasons: make(map[string]int)}
			byName[r.Stream] = s
		}
		s.Count++
		s.Outcomes[r.Outcome]++
		if r.Reason != "" {
			s.Reasons[string(r.Outcome)+": "+r.Reason]++
		}
		if r.Outcome == OutcomeGood || r.Outcome == OutcomeLate {
			latencies[r.Stream] = append(latencies[r.Stream], milliseconds(r.Latency))
		}
	}
	var all []Summary
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s := byName[name]
		l := latencies[name]
		slices.Sort(l)
		s.P50, s.P90, s.P99, s.P999, s.Max = at(l, 0.5), at(l, 0.9), at(l, 0.99), at(l, 0.999), at(l, 1)
		all = append(all, *s)
	}
	return all
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// at returns the nearest-rank percentile of sorted values, or 0 for none.
func at(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// Point holds the figures of one stream in one interval, by the intended times of the arrivals.
type Point struct {
	Stream   string
	At       time.Duration
	Outcomes map[Outcome]int
	P50, P99 float64
}

// Timeline returns the points of all streams, by stream and time.
func (t *Tally) Timeline(interval time.Duration) []Point {
	t.mu.Lock()
	defer t.mu.Unlock()
	type key struct {
		stream string
		slot   time.Duration
	}
	points := make(map[key]*Point)
	latencies := make(map[key][]float64)
	for _, r := range t.records {
		k := key{r.Stream, r.At / interval}
		p := points[k]
		if p == nil {
			p = &Point{Stream: r.Stream, At: k.slot * interval, Outcomes: make(map[Outcome]int)}
			points[k] = p
		}
		p.Outcomes[r.Outcome]++
		if r.Outcome == OutcomeGood || r.Outcome == OutcomeLate {
			latencies[k] = append(latencies[k], milliseconds(r.Latency))
		}
	}
	all := make([]Point, 0, len(points))
	for k, p := range points {
		l := latencies[k]
		slices.Sort(l)
		p.P50, p.P99 = at(l, 0.5), at(l, 0.99)
		all = append(all, *p)
	}
	slices.SortFunc(all, func(a, b Point) int {
		if a.Stream != b.Stream {
			if a.Stream < b.Stream {
				return -1
			}
			return 1
		}
		return int(a.At - b.At)
	})
	return all
}

// WriteCSV writes the timeline with one line for each stream and interval; latencies are in milliseconds.
func WriteCSV(w io.Writer, points []Point) error {
	out := csv.NewWriter(w)
	head := []string{"stream", "at_ms"}
	for _, o := range AllOutcomes {
		head = append(head, string(o))
	}
	rows := [][]string{append(head, "p50_ms", "p99_ms")}
	for _, p := range points {
		row := []string{p.Stream, strconv.FormatInt(p.At.Milliseconds(), 10)}
		for _, o := range AllOutcomes {
			row = append(row, strconv.Itoa(p.Outcomes[o]))
		}
		rows = append(rows, append(row, fmt.Sprintf("%.2f", p.P50), fmt.Sprintf("%.2f", p.P99)))
	}
	return out.WriteAll(rows)
}
