package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/gorilla/mux"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/wire"
)

// Limits of a submitted job.
const (
	maxBodyBytes    = 64 << 10
	maxTasks        = 5000
	maxMaxAttempts  = 100
	defaultAttempts = 5
	// maxListed keeps a list well below the largest message between entry processes.
	maxListed = 10_000
)

var jobIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// submission is the JSON of a job; what is left out is taken from the customer's batch kind of that name.
type submission struct {
	Job         fleet.JobID      `json:"job_id"`
	Customer    fleet.CustomerID `json:"customer"`
	Class       *fleet.Class     `json:"class"`
	Kind        string           `json:"kind"`
	Tasks       int              `json:"tasks"`
	Resources   fleet.Resources  `json:"resources"`
	EstimatedMS int64            `json:"estimated_run_ms"`
	MaxAttempts int              `json:"max_attempts"`
}

// Register adds the HTTP interface for jobs.
func (r *Runtime) Register(router *mux.Router) {
	router.HandleFunc("/v1/jobs", r.serveSubmit).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs", r.serveList).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{job}", r.serveOp(opGet)).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{job}", r.serveOp(opCancel)).Methods(http.MethodDelete)
	router.HandleFunc("/v1/jobs/{job}/explain", r.serveOp(opExplain)).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{job}/evict", r.serveOp(opEvict)).Methods(http.MethodPost)
}

func reply(w http.ResponseWriter, a answer) {
	w.Header().Set("Content-Type", "application/json")
	if f, failed := a.body.(ErrorResponse); failed {
		w.Header().Set("Lovagefork-Outcome", f.Outcome)
	}
	if a.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a.body)
}

// read decodes the body of a request; an empty body leaves v unchanged if optional is set.
func read(w http.ResponseWriter, req *http.Request, v any, optional bool) (answer, bool) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil && decoder.More() {
		err = errors.New("more than one JSON value")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil || (optional && errors.Is(err, io.EOF)):
		return answer{}, true
	case errors.As(err, &tooLarge):
		text := fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
		return failure(http.StatusRequestEntityTooLarge, notRun, text, ""), false
	}
	return failure(http.StatusBadRequest, notRun, "the body is no such JSON: "+err.Error(), ""), false
}

func (r *Runtime) serveSubmit(w http.ResponseWriter, req *http.Request) {
	var s submission
	if a, ok := read(w, req, &s, false); !ok {
		reply(w, a)
		return
	}
	spec := r.complete(s)
	if field, problem := check(spec); problem != "" {
		reply(w, answer{status: http.StatusBadRequest, body: ErrorResponse{
			Error: field + ": " + problem, Outcome: notRun, Job: spec.Job, Field: field,
		}})
		return
	}
	if a, ok := r.fits(spec); !ok {
		reply(w, a)
		return
	}
	body, err := json.Marshal(spec)
	if err != nil {
		reply(w, failure(http.StatusBadRequest, notRun, err.Error(), spec.Job))
		return
	}
	home := jobs.HomePartition(spec.Job, r.Partitions)
	reply(w, r.atOwnerFor(req.Context(), wire.JobRequest{Op: opSubmit, Partition: home, Job: spec.Job, Body: body}))
}

// atOwnerFor does not follow a moved job: the home partition answers repeated submissions.
func (r *Runtime) atOwnerFor(ctx context.Context, call wire.JobRequest) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.atOwner(ctx, call)
}

// complete fills in the defaults of the customer's batch kind.
func (r *Runtime) complete(s submission) ledger.Spec {
	spec := ledger.Spec{
		Job: s.Job, Customer: s.Customer, Class: fleet.Standard, Kind: s.Kind, Tasks: s.Tasks, Resources: s.Resources,
		EstimatedMS: s.EstimatedMS, MaxAttempts: s.MaxAttempts,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, kind := range r.configs[s.Customer].Document.Batch {
		if kind.Name != s.Kind {
			continue
		}
		spec.Class = kind.Class
		if spec.Resources.IsZero() {
			spec.Resources = kind.Resources
		}
		if spec.MaxAttempts == 0 {
			spec.MaxAttempts = kind.MaxAttempts
		}
	}
	if s.Class != nil {
		spec.Class = *s.Class
	}
	if spec.MaxAttempts == 0 {
		spec.MaxAttempts = defaultAttempts
	}
	return spec
}

func check(s ledger.Spec) (field, problem string) {
	switch {
	case !jobIDPattern.MatchString(string(s.Job)):
		return "job_id", "want 1 to 128 letters, digits, dots, colons, hyphens or underscores"
	case s.Customer == "" || strings.ContainsRune(string(s.Customer), '/'):
		return "customer", "want a name without slashes"
	case s.Tasks < 1 || s.Tasks > maxTasks:
		return "tasks", fmt.Sprintf("want 1 to %d", maxTasks)
	case s.Resources.MilliCPU < 0 || s.Resources.MemoryBytes < 0 || s.Resources.Accelerators < 0:
		return "resources", "want no negative amounts"
	case s.Resources.IsZero():
		return "resources", "want an amount, or a kind of the customer's configuration that has one"
	case s.EstimatedMS < 0:
		return "estimated_run_ms", "want no negative time"
	case s.MaxAttempts < 1 || s.MaxAttempts > maxMaxAttempts:
		return "max_attempts", fmt.Sprintf("want 1 to %d", maxMaxAttempts)
	}
	return "", ""
}

// fits refuses a job that no worker of any partition could ever hold.
func (r *Runtime) fits(s ledger.Spec) (answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.observed {
		return failure(http.StatusServiceUnavailable, notRun, "the host list is not known yet", s.Job), false
	}
	var largest fleet.Resources
	for _, w := range r.workers {
		if s.Resources.Fits(w.Capacity) {
			return answer{}, true
		}
		largest = largest.Max(w.Capacity)
	}
	text := fmt.Sprintf("no worker can ever hold %v: the largest amounts of %d workers are %v", s.Resources, len(r.workers), largest)
	return answer{status: http.StatusUnprocessableEntity, body: ErrorResponse{
		Error: text, Outcome: notRun, Job: s.Job, Field: "resources",
	}}, false
}

func (r *Runtime) serveOp(op string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		job := fleet.JobID(mux.Vars(req)["job"])
		call := wire.JobRequest{Op: op, Partition: jobs.HomePartition(job, r.Partitions), Job: job}
		if op == opEvict {
			var body evictBody
			if a, ok := read(w, req, &body, true); !ok {
				reply(w, a)
				return
			}
			call.Body, _ = json.Marshal(body)
		}
		if op != opGet && op != opExplain {
			call.Partition = r.partitionOf(req.Context(), call)
		}
		reply(w, r.route(req.Context(), call))
	}
}

// partitionOf finds the partition of a job that may have been passed on.
func (r *Runtime) partitionOf(ctx context.Context, call wire.JobRequest) fleet.PartitionID {
	a := r.route(ctx, wire.JobRequest{Op: opGet, Partition: call.Partition, Job: call.Job})
	switch body := a.body.(type) {
	case jobs.View:
		return body.Partition
	case json.RawMessage:
		var v jobs.View
		if json.Unmarshal(body, &v) == nil && v.Partition != "" {
			return v.Partition
		}
	}
	return call.Partition
}

// listFilter reads the filters of a list, or tells what is wrong with them.
func listFilter(query url.Values) (filter jobs.Filter, problem string) {
	filter.Limit = maxListed
	for name := range query {
		value := query.Get(name)
		switch name {
		case "customer":
			filter.Customer = fleet.CustomerID(value)
		case "state":
			filter.State = jobs.State(value)
		case "after":
			filter.After = fleet.JobID(value)
		case "limit":
			limit, err := strconv.Atoi(value)
			if err != nil || limit < 1 || limit > maxListed {
				return filter, fmt.Sprintf("limit: want 1 to %d", maxListed)
			}
			filter.Limit = limit
		default:
			return filter, "unknown filter " + name + ": want customer, state, after or limit"
		}
	}
	known := []jobs.State{"", jobs.StateWaiting, jobs.StateRunning, jobs.StateSucceeded, jobs.StateFailed, jobs.StateCancelled}
	if !slices.Contains(known, filter.State) {
		return filter, "state: want waiting, running, succeeded, failed or cancelled"
	}
	return filter, ""
}

func (r *Runtime) serveList(w http.ResponseWriter, req *http.Request) {
	filter, problem := listFilter(req.URL.Query())
	if problem != "" {
		reply(w, failure(http.StatusBadRequest, notRun, problem, ""))
		return
	}
	reply(w, r.list(req.Context(), filter))
}

// list asks every owner once for the jobs of all its partitions.
func (r *Runtime) list(ctx context.Context, filter jobs.Filter) answer {
	limit := filter.Limit
	filter.Limit++ // one more tells whether further jobs follow
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(filter)
	if err != nil {
		return failure(http.StatusBadRequest, notRun, err.Error(), "")
	}
	all := r.localList(body).body.(listAnswer)
	owners := make(map[fleet.EntryHostID][]fleet.PartitionID)
	r.mu.Lock()
	for _, p := range r.Partitions {
		owner, owned := r.lease.Owner(p)
		switch {
		case r.parts[p] != nil:
		case !owned || owner.EntryHost == r.Self.EntryHost:
			all.Incomplete = append(all.Incomplete, p)
		default:
			owners[owner.EntryHost] = append(owners[owner.EntryHost], p)
		}
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for host, partitions := range owners {
		wg.Go(func() {
			list, ok := r.listAt(ctx, host, body)
			mu.Lock()
			defer mu.Unlock()
			all.Jobs = append(all.Jobs, list...)
			if !ok {
				all.Incomplete = append(all.Incomplete, partitions...)
			}
		})
	}
	wg.Wait()
	all.More = len(all.Jobs) > limit
	all.Jobs = jobs.Page(all.Jobs, limit)
	slices.Sort(all.Incomplete)
	return answer{status: http.StatusOK, body: all}
}

func (r *Runtime) listAt(ctx context.Context, host fleet.EntryHostID, body []byte) ([]jobs.View, bool) {
	m, err := r.Peers.Call(ctx, host, wire.JobRequest{Op: opList, Body: body})
	a, ok := m.(wire.JobResponse)
	if err != nil || !ok || a.Status != http.StatusOK {
		return nil, false
	}
	var list listAnswer
	if json.Unmarshal(a.Body, &list) != nil {
		return nil, false
	}
	return list.Jobs, true
}
