package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"lovagefork.example/entryd/logs"
)

// blockedOutput is an output whose Write blocks while mu is locked.
type blockedOutput struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// Guards against a Write that blocks on a slow output, which would stop the scheduler. Lines beyond the queue must be
// dropped and counted.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{}
	out.mu.Lock()
	w := logs.New(out, logs.WithLimit(1<<20))
	const lines = 10000
	for range lines {
		n, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	out.mu.Unlock()
	w.Close()
	assert.Assert(t, w.Dropped() > 0)
	assert.Equal(t, w.Dropped()+w.Written(), int64(lines))
	assert.Equal(t, int64(strings.Count(out.out.String(), "\n")), w.Written())
}

// countingOutput counts writes and notes the largest one.
type countingOutput struct {
	blockedOutput
	writes, largest int
}

func (c *countingOutput) Write(p []byte) (int, error) {
	n, err := c.blockedOutput.Write(p)
	c.writes++
	c.largest = max(c.largest, n)
	return n, err
}

// Guards against a system call for each line, which took much of a busy scheduler's processor time, and against writes
// that a pipe splits, so that lines of several processes are mixed.
func TestLinesAreWrittenTogether(t *testing.T) {
	out := &countingOutput{}
	out.mu.Lock()
	w := logs.New(out, logs.WithLimit(1<<20))
	line := strings.Repeat("x", 299) + "\n"
	for range 1000 {
		_, _ = w.Write([]byte(line))
	}
	out.mu.Unlock()
	w.Close()
	assert.Equal(t, out.out.String(), strings.Repeat(line, 1000))
	assert.Assert(t, out.writes <= 1000/13+2, "%d writes", out.writes)
	assert.Assert(t, out.largest <= 4096, "%d bytes", out.largest)
}

// Guards against a volume above the limit of lines per second under load.
func TestWriterLimits(t *testing.T) {
	var out bytes.Buffer
	w := logs.New(&out, logs.WithLimit(10))
	for range 1000 {
		_, _ = w.Write([]byte("x\n"))
	}
	w.Close()
	// The writes span at most two calendar seconds, each with a limit of 10 lines.
	assert.Assert(t, w.Written() <= 20)
	_, err := w.Write([]byte("late\n"))
	assert.NilError(t, err)
}
