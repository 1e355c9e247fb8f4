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

// countingTransport returns a fixed response to each request and counts the HTTP bytes in both directions, without TCP
// and IP headers.
type countingTransport struct {
	response any
	bytes    int
}

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	request, err := httputil.DumpRequestOut(r, true)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(c.response)
	if err != nil {
		return nil, err
	}
	resp := &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)),
		Header: http.Header{"Content-Type": {"application/json"}, "Date": {"Fri, 04 Dec 2026 07:00:00 GMT"}},
		Body:   io.NopCloser(strings.NewReader(string(body))),
	}
	dump, err := httputil.DumpResponse(resp, true)
	c.bytes += len(request) + len(dump)
	return resp, err
}

// callBytes returns the HTTP bytes of one call of the platform client, for a given response.
func callBytes(response any, call func(*plat.HTTP, fleet.Worker) error) float64 {
	c := &countingTransport{response: response}
	h := plat.NewHTTP("http://10.0.0.1:9000", plat.WithHTTPClient(&http.Client{Transport: c}))
	if err := call(h, newWorkers(1)[0]); err != nil {
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

// workerBytesPerSecond returns the bytes per second between a partition owner and a worker with n running tasks, at the
// target rate of starts.
func workerBytesPerSecond(n int) float64 {
	ctx := context.Background()
	all, refs := statuses(n)
	status := callBytes(plat.WorkerStatus{Epoch: 1 << 21, Tasks: all}, func(h *plat.HTTP, w fleet.Worker) error {
		_, err := h.Status(ctx, w, 1<<21)
		return err
	})
	renew := callBytes(map[string]any{"unknown": []plat.TaskRef{}}, func(h *plat.HTTP, w fleet.Worker) error {
		_, err := h.Renew(ctx, w, 1<<21, jobs.TaskLeaseTTL, refs)
		return err
	})
	begin := callBytes(map[string]any{}, func(h *plat.HTTP, w fleet.Worker) error {
		return h.Start(ctx, w, plat.StartRequest{TaskRef: refs[0], Epoch: 1 << 21, LeaseMS: 60_000, Resources: taskSize, RunMS: 60_000, Kind: kindName(0)})
	})
	ack := callBytes(map[string]any{}, func(h *plat.HTTP, w fleet.Worker) error { return h.Ack(ctx, w, 1<<21, refs[:1]) })
	const statusInterval = time.Second
	return status/statusInterval.Seconds() + renew/jobs.RenewInterval.Seconds() + startsPerWorker*(begin+ack)
}

func agentLines() []Line {
	return []Line{
		measureLine("worker agent", "decoding of one status", "µs", "running task", []int{8, tasksPerWorker, 96}, func(n int) float64 {
			all, _ := statuses(n)
			return decodeTime(plat.WorkerStatus{Epoch: 1 << 21, Tasks: all}, 500)
		}),
		measureLine("host list", "decoding of one answer", "µs", "worker", workerSizes, func(n int) float64 {
			return decodeTime(plat.HostList{Hosts: newWorkers(n)}, 5)
		}),
		measureLine("worker agent", "status each second, renewals, starts, acknowledgements", "bytes/s", "running task", []int{8, tasksPerWorker, 96}, workerBytesPerSecond),
		measureLine("host list", "one answer, read each second by each process", "bytes", "worker", workerSizes, func(n int) float64 {
			return callBytes(plat.HostList{Hosts: newWorkers(n)}, func(h *plat.HTTP, _ fleet.Worker) error {
				_, err := h.List(context.Background())
				return err
			})
		}),
	}
}

// decodeTime returns the time in microseconds to decode the JSON encoding of a value, averaged over n runs.
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

// Measure runs all measurements.
func Measure() []Line {
	var all []Line
	for _, lines := range []func() []Line{placeLines, jobsLines, ledgerLines, configLines, serveLines, agentLines} {
		all = append(all, lines()...)
	}
	return all
}
