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
	// linesPerSecond bounds the volume under load; a start and an end of each of 160 tasks a second take a third.
	linesPerSecond = 1000
)

// Writer passes lines to an output from a goroutine of its own; lines over the bound are dropped and counted.
type Writer struct {
	*queue
	window atomic.Int64
	inside atomic.Int64
	limit  int64
}

// queue is what several writers to one output share.
type queue struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	closing sync.Once
	dropped atomic.Int64
	written atomic.Int64
}

// Option changes a [Writer] under construction.
type Option func(*Writer)

// WithLimit sets how many lines a second are written.
func WithLimit(lines int) Option { return func(w *Writer) { w.limit = int64(lines) } }

// New returns a writer to out; it is closed with [Writer.Close].
func New(out io.Writer, opts ...Option) *Writer {
	q := &queue{lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(out)
	return q.writer(opts)
}

// Beside returns a writer to the same output with a bound of its own, so that one kind of lines cannot crowd out another.
func (w *Writer) Derive(opts ...Option) *Writer { return w.writer(opts) }

func (q *queue) writer(opts []Option) *Writer {
	w := &Writer{queue: q, limit: linesPerSecond}
	for _, opt := range opts {
		opt(w)
	}
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
func (q *queue) Dropped() int64 { return q.dropped.Load() }

// Written counts the lines that were written.
func (q *queue) Written() int64 { return q.written.Load() }

// Close writes what is queued and stops; later lines are dropped.
func (q *queue) Close() {
	q.closing.Do(func() { close(q.stop) })
	<-q.done
}

func (q *queue) run(out io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.put(out, line)
		case <-q.stop:
			q.flush(out)
			return
		}
	}
}

func (q *queue) flush(out io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.put(out, line)
		default:
			return
		}
	}
}

func (q *queue) put(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		q.dropped.Add(1)
		return
	}
	q.written.Add(1)
}
