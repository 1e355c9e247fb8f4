package plays

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
)

// Result is the outcome of one play of a day. Worth and the shares in ByClass are fractions of what callers are owed;
// Runs and Stopped count runs of tasks, Throttles orders that changed the speed of one, and LateS is the time for which
// serving tasks were over their target, in seconds.
type Result struct {
	Site      string             `json:"site"`
	Day       string             `json:"day"`
	Seed      int                `json:"seed"`
	Worth     float64            `json:"worth"`
	ByClass   map[string]float64 `json:"by_class"`
	Broken    map[string]int     `json:"broken,omitempty"`
	Shortfall []string           `json:"shortfall,omitempty"`
	Fault     string             `json:"fault,omitempty"`
	Runs      int                `json:"runs"`
	Stopped   int                `json:"stopped"`
	Throttles int                `json:"throttles"`
	LateS     int                `json:"late_s"`
}

// report holds the fields of the bench's report that are used, under the names of the bench.
type report struct {
	Worth   float64                    `json:"G"`
	Fault   any                        `json:"fault"`
	Short   []any                      `json:"short"`
	Breaks  map[string]json.RawMessage `json:"breaks"`
	Classes []struct {
		Name  string  `json:"name"`
		Worth float64 `json:"worth"`
	} `json:"classes"`
	Hints []string `json:"hints"`
}

// ReportError reports a bench report that could not be read.
type ReportError struct {
	Day  string
	Seed int
	Err  error
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("no report of day %s, seed %d: %v", e.Day, e.Seed, e.Err)
}

func (e *ReportError) Unwrap() error { return e.Err }

var (
	runsPattern      = regexp.MustCompile(`(\d+) runs: .*?(\d+) stopped`)
	throttlesPattern = regexp.MustCompile(`(\d+) orders on pace; .* for (\d+) s in all`)
)

// readReport adds the figures of a report file to a result.
func readReport(path string, r *Result) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &ReportError{r.Day, r.Seed, err}
	}
	var in report
	if err := json.Unmarshal(data, &in); err != nil {
		return &ReportError{r.Day, r.Seed, err}
	}
	r.Worth = in.Worth
	if in.Fault != nil {
		r.Fault = fmt.Sprint(in.Fault)
	}
	for _, s := range in.Short {
		r.Shortfall = append(r.Shortfall, fmt.Sprint(s))
	}
	r.ByClass = make(map[string]float64, len(in.Classes))
	for _, c := range in.Classes {
		r.ByClass[c.Name] = c.Worth
	}
	for rule, count := range in.Breaks {
		if r.Broken == nil {
			r.Broken = make(map[string]int)
		}
		// The count is either a number or a list of cases.
		var cases []json.RawMessage
		if json.Unmarshal(count, &cases) == nil {
			r.Broken[rule] = len(cases)
		} else if n, err := strconv.Atoi(string(count)); err == nil {
			r.Broken[rule] = n
		} else {
			r.Broken[rule] = 1
		}
	}
	for _, h := range in.Hints {
		if err := r.addHint(h); err != nil {
			return &ReportError{r.Day, r.Seed, err}
		}
	}
	return nil
}

// addHint adds the figures of a line of the report that is written for people.
func (r *Result) addHint(line string) error {
	var err error
	read := func(digits string) int {
		n, convErr := strconv.Atoi(digits)
		err = errors.Join(err, convErr)
		return n
	}
	if m := runsPattern.FindStringSubmatch(line); m != nil {
		r.Runs, r.Stopped = read(m[1]), read(m[2])
	}
	if m := throttlesPattern.FindStringSubmatch(line); m != nil {
		r.Throttles, r.LateS = read(m[1]), read(m[2])
	}
	return err
}
