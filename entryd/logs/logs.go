package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the burst that is kept while the output is slow, about a megabyte.
	queueLines = 4096
	// linesPerSecond bounds the volume under load; a start, an end and a save of each of 160 tasks a second take about half.
	linesPerSecond = 1000
)

// Writer passes lines to an output from a goroutine of its own; lines over the bound are dropped and counted.
type Writer struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	closing sync.Once
	dropped atomic.Int64
	written atomic.Int64
	window  atomic.Int64
	inside  atomic.Int64
	limit   int64
}

// Option changes a [Writer] under construction.
type Option func(*Writer)

// WithLimit sets how many lines a second are written.
func WithLimit(lines int) Option { return func(w *Writer) { w.limit = int64(lines) } }

// New returns a writer to out; it is closed with [Writer.Close].
func New(out io.Writer, opts ...Option) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}), limit: linesPerSecond}
	for _, opt := range opts {
		opt(w)
	}
	go w.run(out)
	return w
}

// Write implements [io.Writer] for one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	second := time.Now().Unix()
	if w.window.Swap(second) != second {
		w.inside.Store(0)
	}
	if w.inside.Add(1) > w.limit {
		w.dropped.Add(1)
		return len(line), nil
	}
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Written counts the lines that were written.
func (w *Writer) Written() int64 { return w.written.Load() }

// Close writes what is queued and stops; later lines are dropped.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.stop) })
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.put(out, line)
		case <-w.stop:
			w.flush(out)
			return
		}
	}
}

func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.put(out, line)
		default:
			return
		}
	}
}

func (w *Writer) put(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
		return
	}
	w.written.Add(1)
}
