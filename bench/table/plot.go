package table

import (
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot and of its bars.
const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	barWidth   = 3 * vg.Millimeter
)

// SVG writes a bar chart of the medians of the first metric, grouped by case.
func (t *Table) SVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = t.Title, t.Metrics[0].Name
	p.Y.Min = 0
	groups, variants := t.groupsAndVariants()
	for i, variant := range variants {
		bars, err := plotter.NewBarChart(t.medians(groups, variant), barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(variants)+1) / 2
		p.Add(bars)
		p.Legend.Add(variant, bars)
	}
	p.Legend.Top = true
	p.NominalX(groups...)
	out, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return err
	}
	_, err = out.WriteTo(w)
	return err
}

func (t *Table) medians(groups []string, variant string) plotter.Values {
	values := make(plotter.Values, len(groups))
	for i, group := range groups {
		if r := t.row(group, variant); r != nil && len(r.values[t.Metrics[0].Name]) > 0 {
			values[i] = median(r.values[t.Metrics[0].Name])
		}
	}
	return values
}

func (t *Table) groupsAndVariants() (groups, variants []string) {
	for _, r := range t.rows {
		if !slices.Contains(groups, r.group) {
			groups = append(groups, r.group)
		}
		if !slices.Contains(variants, r.variant) {
			variants = append(variants, r.variant)
		}
	}
	return groups, variants
}
