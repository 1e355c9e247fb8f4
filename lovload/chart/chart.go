package chart

import (
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"lovagefork.example/lovload/tally"
)

const (
	width  = 25 * vg.Centimeter
	height = 20 * vg.Centimeter
)

// Write draws the rates of good answers and the 99th percentiles of latency over time into a file; marks are the times of
// faults.
func Write(file, title string, points []tally.Point, interval time.Duration, marks []time.Duration) error {
	rates, err := diagram(title, "good answers a second", points, marks, func(p tally.Point) float64 {
		return float64(p.Outcomes[tally.OutcomeGood]) / interval.Seconds()
	})
	if err != nil {
		return err
	}
	latency, err := diagram("", "p99 latency (ms)", points, marks, func(p tally.Point) float64 { return p.P99 })
	if err != nil {
		return err
	}
	canvas := vgsvg.New(width, height)
	tiles := draw.Tiles{Rows: 2, Cols: 1}
	areas := plot.Align([][]*plot.Plot{{rates}, {latency}}, tiles, draw.New(canvas))
	rates.Draw(areas[0][0])
	latency.Draw(areas[1][0])
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(out); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}

func diagram(title, label string, points []tally.Point, marks []time.Duration, value func(tally.Point) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	var names []string
	series := make(map[string]plotter.XYs)
	top := 1.0
	for _, point := range points {
		if _, seen := series[point.Stream]; !seen {
			names = append(names, point.Stream)
		}
		y := value(point)
		top = max(top, y)
		series[point.Stream] = append(series[point.Stream], plotter.XY{X: point.At.Seconds(), Y: y})
	}
	for i, name := range names {
		line, err := plotter.NewLine(series[name])
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	for _, at := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: at.Seconds(), Y: 0}, {X: at.Seconds(), Y: top}})
		if err != nil {
			return nil, err
		}
		line.Dashes = plotutil.Dashes(1)
		p.Add(line)
	}
	return p, nil
}
