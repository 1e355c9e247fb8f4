package slope

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/plat"
)

// counter answers calls of the worker adapter and counts the bytes of both directions, without those of TCP and IP.
type counter struct {
	answer any
	bytes  int
}

// RoundTrip implements http.RoundTripper.
func (c *counter) RoundTrip(r *http.Request) (*http.Response, error) {
	sent, err := httputil.DumpRequestOut(r, true)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(c.answer)
	if err != nil {
		return nil, err
	}
	resp := &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)),
		Header: http.Header{"Content-Type": {"application/json"}, "Date": {"Fri, 04 Dec 2026 07:00:00 GMT"}},
		Body:   io.NopCloser(strings.NewReader(string(body))),
	}
	got, err := httputil.DumpResponse(resp, true)
	c.bytes += len(sent) + len(got)
	return resp, err
}

// bytesOf returns the bytes of one call.
func bytesOf(answer any, call func(*plat.HTTP, fleet.Worker) error) float64 {
	c := &counter{answer: answer}
	h := plat.NewHTTP("http://10.0.0.1:9000", plat.WithHTTPClient(&http.Client{Transport: c}))
	if err := call(h, workers(1)[0]); err != nil {
		panic(err)
	}
	return float64(c.bytes)
}

func statuses(n int) (all []plat.TaskStatus, refs []plat.TaskRef) {
	for i := range n {
		ref := placeTask(i).Ref
		refs = append(refs, ref)
		all = append(all, plat.TaskStatus{TaskRef: ref, State: plat.TaskRunning, SlowdownPermille: 1050})
	}
	return all, refs
}

// perNode returns the bytes a second between an owner and a worker with n running tasks, at the target's rate of starts.
func perNode(n int) float64 {
	ctx := context.Background()
	all, refs := statuses(n)
	status := bytesOf(plat.WorkerStatus{Epoch: 1 << 21, Tasks: all}, func(h *plat.HTTP, w fleet.Worker) error {
		_, err := h.Status(ctx, w, 1<<21)
		return err
	})
	renew := bytesOf(map[string]any{"unknown": []plat.TaskRef{}}, func(h *plat.HTTP, w fleet.Worker) error {
		_, err := h.Renew(ctx, w, 1<<21, jobs.TaskLeaseTTL, refs)
		return err
	})
	begin := bytesOf(map[string]any{}, func(h *plat.HTTP, w fleet.Worker) error {
		return h.Start(ctx, w, plat.StartRequest{TaskRef: refs[0], Epoch: 1 << 21, LeaseMS: 60_000, Resources: taskSize, RunMS: 60_000, Kind: kind(0)})
	})
	ack := bytesOf(map[string]any{}, func(h *plat.HTTP, w fleet.Worker) error { return h.Ack(ctx, w, 1<<21, refs[:1]) })
	const statusEvery = time.Second
	return status/statusEvery.Seconds() + renew/jobs.RenewInterval.Seconds() + startsPerWorker*(begin+ack)
}

func agentLines() []Line {
	return []Line{
		line("worker agent", "decoding of one status", "µs", "running task", []int{8, tasksPerWorker, 96}, func(n int) float64 {
			all, _ := statuses(n)
			return decodeTime(plat.WorkerStatus{Epoch: 1 << 21, Tasks: all}, 500)
		}),
		line("host list", "decoding of one answer", "µs", "worker", workerSizes, func(n int) float64 {
			return decodeTime(plat.HostList{Hosts: workers(n)}, 5)
		}),
		line("worker agent", "status each second, renewals, starts, acknowledgements", "bytes/s", "running task", []int{8, tasksPerWorker, 96}, perNode),
		line("host list", "one answer, read each second by each process", "bytes", "worker", workerSizes, func(n int) float64 {
			return bytesOf(plat.HostList{Hosts: workers(n)}, func(h *plat.HTTP, _ fleet.Worker) error {
				_, err := h.List(context.Background())
				return err
			})
		}),
	}
}

// decodeTime returns the processor time to decode the JSON form of a value.
func decodeTime[T any](value T, n int) float64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return microseconds(n, func(int) {
		var v T
		if err := json.Unmarshal(data, &v); err != nil {
			panic(err)
		}
	})
}

// Measure returns all lines.
func Measure() []Line {
	var all []Line
	for _, lines := range []func() []Line{placeLines, jobsLines, ledgerLines, configLines, serveLines, agentLines} {
		all = append(all, lines()...)
	}
	return all
}
