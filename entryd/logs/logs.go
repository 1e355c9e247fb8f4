package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that are kept while the output is slow, about one megabyte.
	maxQueuedLines = 4096
	// defaultLinesPerSecond limits the volume under load. Logging the start and the end of 160 tasks per second takes a
	// third of it.
	defaultLinesPerSecond = 1000
)

// Writer passes lines to an output in a background goroutine. Lines beyond its rate limit or the queue size are dropped
// and counted.
type Writer struct {
	*queue
	windowSecond atomic.Int64
	windowLines  atomic.Int64
	limit        int64
}

// queue is the line queue, with its counters, that all writers to one output share.
type queue struct {
	lines        chan []byte
	stop         chan struct{}
	done         chan struct{}
	closeOnce    sync.Once
	droppedLines atomic.Int64
	writtenLines atomic.Int64
}

// Option configures a [Writer].
type Option func(*Writer)

// WithLimit sets the maximum number of lines per second.
func WithLimit(lines int) Option { return func(w *Writer) { w.limit = int64(lines) } }

// New returns a writer to out and starts its goroutine, which [Writer.Close] stops.
func New(out io.Writer, opts ...Option) *Writer {
	q := &queue{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(out)
	return q.newWriter(opts)
}

// Derive returns a writer that shares the queue and output of w but has its own rate limit, so that one kind of lines
// cannot use up the limit of another.
func (w *Writer) Derive(opts ...Option) *Writer { return w.newWriter(opts) }

func (q *queue) newWriter(opts []Option) *Writer {
	w := &Writer{queue: q, limit: defaultLinesPerSecond}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Write implements [io.Writer] for a single line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	second := time.Now().Unix()
	if w.windowSecond.Swap(second) != second {
		w.windowLines.Store(0)
	}
	if w.windowLines.Add(1) > w.limit {
		w.droppedLines.Add(1)
		return len(line), nil
	}
	queued := append([]byte(nil), line...)
	select {
	case w.lines <- queued:
	default:
		w.droppedLines.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped, including those whose write failed.
func (q *queue) Dropped() int64 { return q.droppedLines.Load() }

// Written returns the number of lines that were written.
func (q *queue) Written() int64 { return q.writtenLines.Load() }

// Close writes the queued lines and stops the goroutine. Lines written after Close are lost.
func (q *queue) Close() {
	q.closeOnce.Do(func() { close(q.stop) })
	<-q.done
}

func (q *queue) run(out io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLines(out, line)
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
			q.writeLines(out, line)
		default:
			return
		}
	}
}

// maxWriteBytes is the largest write to a pipe that is not mixed with the writes of other processes.
const maxWriteBytes = 4 << 10

// writeLines writes a line together with those queued behind it, because each write is a system call.
func (q *queue) writeLines(out io.Writer, line []byte) {
	text, count := line, int64(1)
	for {
		select {
		case next := <-q.lines:
			if len(text)+len(next) > maxWriteBytes {
				q.write(out, text, count)
				text, count = next, 1
				continue
			}
			text = append(text, next...)
			count++
		default:
			q.write(out, text, count)
			return
		}
	}
}

func (q *queue) write(out io.Writer, text []byte, lines int64) {
	if _, err := out.Write(text); err != nil {
		q.droppedLines.Add(lines)
		return
	}
	q.writtenLines.Add(lines)
}
