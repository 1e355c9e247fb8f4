package table

import (
	"fmt"
	"io"
	"strings"
)

// Pivot writes one metric as Markdown with the variants as columns. It writes nothing if the table lacks the metric.
func (t *Table) Pivot(w io.Writer, metric string) error {
	for _, m := range t.Metrics {
		if m.Name == metric {
			return t.pivot(w, m)
		}
	}
	return nil
}

func (t *Table) pivot(w io.Writer, m Metric) error {
	groups, variants := t.groupsAndVariants()
	var b strings.Builder
	fmt.Fprintf(&b, "### %s: %s\n\nMedian (lowest–highest seed) ×ratio to %s.\n\n| case |", t.Title, m.Name, t.Baseline)
	for _, v := range variants {
		fmt.Fprintf(&b, " %s |", v)
	}
	b.WriteString("\n|" + strings.Repeat("---|", len(variants)+1) + "\n")
	for _, g := range groups {
		fmt.Fprintf(&b, "| %s |", g)
		for _, v := range variants {
			if r := t.row(g, v); r != nil {
				fmt.Fprintf(&b, " %s |", t.cell(r, m))
			} else {
				b.WriteString(" - |")
			}
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}
