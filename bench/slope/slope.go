package slope

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"time"
)

// Point is one measured value at a size.
type Point struct {
	Size  int
	Value float64
}

// Line is a measured quantity as a function of a size.
type Line struct {
	Component string
	Quantity string
	Unit string
	// Per names the size.
	SizeUnit    string
	Points []Point
}

// Fit returns the least-squares line through the points and the root mean square of the residuals over the mean value.
func (l Line) Fit() (slope, intercept, residual float64) {
	n := float64(len(l.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range l.Points {
		x := float64(p.Size)
		sx, sy = sx+x, sy+p.Value
		sxx, sxy = sxx+x*x, sxy+x*p.Value
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	var squares float64
	for _, p := range l.Points {
		d := p.Value - intercept - slope*float64(p.Size)
		squares += d * d
	}
	if sy != 0 {
		residual = math.Sqrt(squares/n) / (sy / n)
	}
	return slope, intercept, residual
}

// Markdown writes a table of the lines.
func Markdown(w io.Writer, lines []Line) error {
	var b strings.Builder
	b.WriteString("| part | measured | unit | at sizes | slope | intercept | residual |\n|---|---|---|---|---|---|---|\n")
	for _, l := range lines {
		slope, intercept, residual := l.Fit()
		var points []string
		for _, p := range l.Points {
			points = append(points, fmt.Sprintf("%d: %s", p.Size, number(p.Value)))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s for each %s | %s | %.0f %% |\n", l.Component, l.Quantity, l.Unit,
			strings.Join(points, ", "), number(slope), l.SizeUnit, number(intercept), 100*residual)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// CSV writes one line for each point.
func CSV(w io.Writer, lines []Line) error {
	for _, l := range lines {
		for _, p := range l.Points {
			if _, err := fmt.Fprintf(w, "%s,%s,%s,%s,%d,%g\n", l.Component, l.Quantity, l.Unit, l.SizeUnit, p.Size, p.Value); err != nil {
				return err
			}
		}
	}
	return nil
}

func number(v float64) string {
	switch a := math.Abs(v); {
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// repeats is the number of times that a duration is measured; the least one is disturbed least by other processes.
const repeats = 3

// microseconds returns the processor time of one of n operations.
func microseconds(n int, do func(i int)) float64 {
	best := math.Inf(1)
	for r := range repeats {
		start := time.Now()
		for i := range n {
			do(r*n + i)
		}
		best = min(best, float64(time.Since(start))/float64(n)/float64(time.Microsecond))
	}
	return best
}

// megabytes returns the heap that build's result holds.
func megabytes(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return (float64(after) - float64(before)) / 1e6
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// line measures a value at several sizes.
func line(part, what, unit, per string, sizes []int, value func(n int) float64) Line {
	l := Line{Component: part, Quantity: what, Unit: unit, SizeUnit: per}
	for _, n := range sizes {
		l.Points = append(l.Points, Point{n, value(n)})
	}
	return l
}
