package table

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Metric is a measured quantity. Digits is the number of decimals in Markdown.
type Metric struct {
	Name   string
	Digits int
}

// Table holds the values of one experiment by group (the case), variant, metric and seed.
type Table struct {
	Title   string
	Metrics []Metric
	// Baseline is the variant to which ratios are computed.
	Baseline string
	rows     []*row
}

type row struct {
	group, variant string
	values         map[string][]float64
}

// Add appends the value of one seed. All variants must add their seeds in the same order.
func (t *Table) Add(group, variant, metric string, value float64) {
	r := t.row(group, variant)
	if r == nil {
		r = &row{group, variant, map[string][]float64{}}
		t.rows = append(t.rows, r)
	}
	r.values[metric] = append(r.values[metric], value)
}

func (t *Table) row(group, variant string) *row {
	for _, r := range t.rows {
		if r.group == group && r.variant == variant {
			return r
		}
	}
	return nil
}

// Quantile returns the q-quantile of sorted values, or NaN if there are none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if n := len(sorted); n > 0 && n%2 == 0 {
		return (sorted[n/2-1] + sorted[n/2]) / 2
	}
	return Quantile(sorted, 0.5)
}

// ratio returns the median over the seeds of the ratio to the baseline. It returns false for the baseline itself, and
// if a baseline value is missing or zero.
func (t *Table) ratio(r *row, metric string) (float64, bool) {
	base := t.row(r.group, t.Baseline)
	if base == nil || base == r {
		return 0, false
	}
	var ratios []float64
	for i, v := range r.values[metric] {
		if i >= len(base.values[metric]) || base.values[metric][i] == 0 {
			return 0, false
		}
		ratios = append(ratios, v/base.values[metric][i])
	}
	return median(ratios), len(ratios) > 0
}

func (t *Table) cell(r *row, m Metric) string {
	values := r.values[m.Name]
	if len(values) == 0 {
		return "-"
	}
	text := strconv.FormatFloat(median(values), 'f', m.Digits, 64)
	if low, high := slices.Min(values), slices.Max(values); low != high {
		text += fmt.Sprintf(" (%.*f–%.*f)", m.Digits, low, m.Digits, high)
	}
	if ratio, ok := t.ratio(r, m.Name); ok {
		text += fmt.Sprintf(" ×%.2f", ratio)
	}
	return text
}

// Markdown writes a table with the median and range over the seeds of each metric and the median ratio to the baseline.
func (t *Table) Markdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\nMedian (lowest–highest seed) ×ratio to %s.\n\n| case | variant |", t.Title, t.Baseline)
	for _, m := range t.Metrics {
		fmt.Fprintf(&b, " %s |", m.Name)
	}
	b.WriteString("\n|" + strings.Repeat("---|", len(t.Metrics)+2) + "\n")
	for _, r := range t.rows {
		fmt.Fprintf(&b, "| %s | %s |", r.group, r.variant)
		for _, m := range t.Metrics {
			fmt.Fprintf(&b, " %s |", t.cell(r, m))
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// CSV writes one line for each case, variant, metric and seed.
func (t *Table) CSV(w io.Writer) error {
	c := csv.NewWriter(w)
	for _, r := range t.rows {
		for _, m := range t.Metrics {
			for seed, v := range r.values[m.Name] {
				value := strconv.FormatFloat(v, 'g', 6, 64)
				if err := c.Write([]string{t.Title, r.group, r.variant, m.Name, strconv.Itoa(seed), value}); err != nil {
					return err
				}
			}
		}
	}
	c.Flush()
	return c.Error()
}
