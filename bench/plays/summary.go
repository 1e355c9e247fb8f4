package plays

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
)

// Sample is a set of figures.
type Sample []float64

// Mean returns the arithmetic mean, and 0 for an empty sample.
func (s Sample) Mean() float64 {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return sum / float64(max(1, len(s)))
}

// StandardError returns the standard error of the mean, and 0 for fewer than two figures.
func (s Sample) StandardError() float64 {
	if len(s) < 2 {
		return 0
	}
	mean, squares := s.Mean(), 0.0
	for _, v := range s {
		squares += (v - mean) * (v - mean)
	}
	return math.Sqrt(squares / float64(len(s)-1) / float64(len(s)))
}

// quietPrefix begins the names of days without faults, which are summarized apart.
const quietPrefix = "quiet"

// group is a set of results that are summarized in one row.
type group struct {
	site, days string
	results    []Result
}

// groups returns one group for each day, and one for all days with faults of each site.
func groups(results []Result) []group {
	var out []group
	add := func(site, days string, r Result) {
		i := slices.IndexFunc(out, func(g group) bool { return g.site == site && g.days == days })
		if i < 0 {
			i = len(out)
			out = append(out, group{site: site, days: days})
		}
		out[i].results = append(out[i].results, r)
	}
	for _, r := range results {
		add(r.Site, r.Day, r)
		if !strings.HasPrefix(r.Day, quietPrefix) {
			add(r.Site, "days with faults", r)
		}
	}
	slices.SortStableFunc(out, func(a, b group) int { return cmp.Or(cmp.Compare(a.site, b.site), cmp.Compare(a.days, b.days)) })
	return out
}

func worths(results []Result) Sample {
	var s Sample
	for _, r := range results {
		s = append(s, r.Worth)
	}
	return s
}

// Summarize writes a row for each day and for the days with faults of each site, and every play that broke a rule,
// missed a floor or ended in a fault.
func Summarize(w io.Writer, results []Result) error {
	var b strings.Builder
	b.WriteString("| site | days | plays | worth | standard error | share by class | runs stopped | throttles a play | over target s | broken |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, g := range groups(results) {
		worth := worths(g.results)
		runs, stopped, throttles, late, broken := 0, 0, 0, 0, 0
		byClass := make(map[string]Sample)
		for _, r := range g.results {
			runs, stopped, throttles, late = runs+r.Runs, stopped+r.Stopped, throttles+r.Throttles, late+r.LateS
			if len(r.Broken) > 0 {
				broken++
			}
			for class, share := range r.ByClass {
				byClass[class] = append(byClass[class], share)
			}
		}
		var shares []string
		for _, class := range slices.Sorted(maps.Keys(byClass)) {
			shares = append(shares, fmt.Sprintf("%s %.3f", class, byClass[class].Mean()))
		}
		n := len(g.results)
		fmt.Fprintf(&b, "| %s | %s | %d | %.3f | %.3f | %s | %.1f %% | %d | %d | %d |\n", g.site, g.days, n, worth.Mean(), worth.StandardError(),
			strings.Join(shares, ", "), 100*float64(stopped)/float64(max(1, runs)), throttles/n, late/n, broken)
	}
	for _, r := range results {
		if len(r.Broken) > 0 || r.Fault != "" || len(r.Shortfall) > 0 {
			fmt.Fprintf(&b, "%s %s, seed %d: broken %v, fault %q, short of %v\n", r.Site, r.Day, r.Seed, r.Broken, r.Fault, r.Shortfall)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// Compare writes the paired difference of worth between two sets of results, over the plays that both contain.
func Compare(w io.Writer, before, after []Result) error {
	type play struct {
		site, day string
		seed      int
	}
	earlier := make(map[play]Result, len(before))
	for _, r := range before {
		earlier[play{r.Site, r.Day, r.Seed}] = r
	}
	var paired []Result
	for _, r := range after {
		if _, found := earlier[play{r.Site, r.Day, r.Seed}]; found {
			paired = append(paired, r)
		}
	}
	var b strings.Builder
	b.WriteString("| site | days | pairs | before | after | difference | standard error |\n|---|---|---|---|---|---|---|\n")
	for _, g := range groups(paired) {
		var old, differences Sample
		for _, r := range g.results {
			o := earlier[play{r.Site, r.Day, r.Seed}].Worth
			old, differences = append(old, o), append(differences, r.Worth-o)
		}
		fmt.Fprintf(&b, "| %s | %s | %d | %.3f | %.3f | %+.3f | %.3f |\n", g.site, g.days, len(g.results), old.Mean(), worths(g.results).Mean(),
			differences.Mean(), differences.StandardError())
	}
	_, err := io.WriteString(w, b.String())
	return err
}
