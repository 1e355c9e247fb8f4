package slope

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"time"
)

// Point is a measured value at one size.
type Point struct {
	Size  int
	Value float64
}

// Line is a quantity measured at several sizes.
type Line struct {
	Component string
	Quantity  string
	Unit      string
	// SizeUnit is the unit of the size, for example "worker".
	SizeUnit string
	Points   []Point
}

// Fit returns the least-squares line through the points. The residual is the root mean square of the residuals divided
// by the mean value.
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

// Markdown writes the lines with their fits as a table.
func Markdown(w io.Writer, lines []Line) error {
	var b strings.Builder
	b.WriteString("| part | measured | unit | at sizes | slope | intercept | residual |\n|---|---|---|---|---|---|---|\n")
	for _, l := range lines {
		slope, intercept, residual := l.Fit()
		var points []string
		for _, p := range l.Points {
			points = append(points, fmt.Sprintf("%d: %s", p.Size, formatNumber(p.Value)))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s for each %s | %s | %.0f %% |\n", l.Component, l.Quantity, l.Unit,
			strings.Join(points, ", "), formatNumber(slope), l.SizeUnit, formatNumber(intercept), 100*residual)
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

func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// repeats is the number of measurements of a duration. The smallest one is used because other processes affect it
// least.
const repeats = 3

// microseconds returns the time of one operation, averaged over n operations.
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

// megabytes returns the size of the heap that the result of build keeps alive.
func megabytes(build func() any) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return (float64(after) - float64(before)) / 1e6
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// measureLine measures a value at several sizes.
func measureLine(part, what, unit, per string, sizes []int, value func(n int) float64) Line {
	l := Line{Component: part, Quantity: what, Unit: unit, SizeUnit: per}
	for _, n := range sizes {
		l.Points = append(l.Points, Point{n, value(n)})
	}
	return l
}
