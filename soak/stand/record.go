package stand

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"lovagefork.example/soak/check"
)

// record writes observations to a file, one line each.
type record struct {
	file *os.File
	out  *bufio.Writer
	// padding is what the specs of jobs are padded with, which is left out.
	padding string
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f)}, nil
}

func (r *record) add(at time.Duration, ev check.Event) {
	if saw, isWorker := ev.(check.WorkerSaw); isWorker {
		r.addText(at, fmt.Sprintf("%T %+v", saw.Event, saw.Event))
		return
	}
	r.addText(at, fmt.Sprintf("%T %+v", ev, ev))
}

// addText writes a line. Its errors remain until close.
func (r *record) addText(at time.Duration, text string) {
	if r.padding != "" {
		text = strings.ReplaceAll(text, r.padding, "")
	}
	_, _ = fmt.Fprintf(r.out, "%9.3f %s\n", at.Seconds(), text)
}

func (r *record) close() error { return errors.Join(r.out.Flush(), r.file.Close()) }
