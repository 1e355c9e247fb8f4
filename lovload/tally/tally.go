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

// Outcome is the result of one request or job as its caller sees it.
type Outcome string

// The outcomes. Only [OutcomeGood] and [OutcomeLate] are successful: the response of a request was verified to belong
// to it, and that of a job accepts the job.
const (
	OutcomeGood           Outcome = "good"
	OutcomeLate           Outcome = "late"
	OutcomeWrongAnswer    Outcome = "wrong_answer"
	OutcomeFailed         Outcome = "ran_failed"
	OutcomeNotRun         Outcome = "not_run"
	OutcomeUnknown        Outcome = "unknown"
	OutcomeConnectionLost Outcome = "broken"
	OutcomeNotSent        Outcome = "unsent"
	OutcomeClientFull     Outcome = "client_full"
)

// AllOutcomes lists the outcomes in the order of the columns of the timeline.
var AllOutcomes = []Outcome{
	OutcomeGood, OutcomeLate, OutcomeWrongAnswer, OutcomeFailed, OutcomeNotRun, OutcomeUnknown, OutcomeConnectionLost,
	OutcomeNotSent, OutcomeClientFull,
}

// Record is one request or job. At is the intended time of the arrival. Latency counts from that time instead of the
// time of sending, so that it includes the delay of arrivals behind a slow system (no coordinated omission).
type Record struct {
	Stream  string
	At      time.Duration
	Latency time.Duration
	Outcome Outcome
	Reason  string
}

// Tally collects the records of one experiment. It is safe for concurrent use.
type Tally struct {
	mu      sync.Mutex
	records []Record
}

// Add adds a record.
func (t *Tally) Add(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, r)
}

// Summary contains the results of one stream. The latencies, in milliseconds, include only good and late outcomes.
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

// Summaries returns the summaries of all streams, sorted by name.
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
		s.P50, s.P90, s.P99, s.P999, s.Max = percentile(l, 0.5), percentile(l, 0.9), percentile(l, 0.99), percentile(l, 0.999), percentile(l, 1)
		all = append(all, *s)
	}
	return all
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// percentile returns the nearest-rank percentile of sorted values for 0 < q <= 1, or 0 if there are no values.
func percentile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// Point contains the results of one stream for the arrivals whose intended times are in one interval, which starts at
// At. The latencies are in milliseconds.
type Point struct {
	Stream   string
	At       time.Duration
	Outcomes map[Outcome]int
	P50, P99 float64
}

// Timeline returns the points of all streams, sorted by stream and time.
func (t *Tally) Timeline(interval time.Duration) []Point {
	t.mu.Lock()
	defer t.mu.Unlock()
	type key struct {
		stream string
		index  time.Duration
	}
	points := make(map[key]*Point)
	latencies := make(map[key][]float64)
	for _, r := range t.records {
		k := key{r.Stream, r.At / interval}
		p := points[k]
		if p == nil {
			p = &Point{Stream: r.Stream, At: k.index * interval, Outcomes: make(map[Outcome]int)}
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
		p.P50, p.P99 = percentile(l, 0.5), percentile(l, 0.99)
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

// WriteCSV writes the timeline with one row for each stream and interval; latencies are in milliseconds.
func WriteCSV(w io.Writer, points []Point) error {
	out := csv.NewWriter(w)
	header := []string{"stream", "at_ms"}
	for _, o := range AllOutcomes {
		header = append(header, string(o))
	}
	rows := [][]string{append(header, "p50_ms", "p99_ms")}
	for _, p := range points {
		row := []string{p.Stream, strconv.FormatInt(p.At.Milliseconds(), 10)}
		for _, o := range AllOutcomes {
			row = append(row, strconv.Itoa(p.Outcomes[o]))
		}
		rows = append(rows, append(row, fmt.Sprintf("%.2f", p.P50), fmt.Sprintf("%.2f", p.P99)))
	}
	return out.WriteAll(rows)
}
