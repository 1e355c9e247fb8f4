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
	maxBodyBytes     = 64 << 10
	maxTasks         = 5000
	maxAttemptsLimit = 100
	defaultAttempts  = 5
	// maxListLimit keeps a list well below the size limit of messages between entry processes.
	maxListLimit = 10_000
)

var jobIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// submission is the JSON body of a new job. Omitted fields default to those of the batch kind of that name in the
// customer's configuration.
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

// Register adds the HTTP handlers for jobs to router.
func (r *Runtime) Register(router *mux.Router) {
	router.HandleFunc("/v1/jobs", r.serveSubmit).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs", r.serveList).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{job}", r.serveOp(opStatus)).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{job}", r.serveOp(opCancel)).Methods(http.MethodDelete)
	router.HandleFunc("/v1/jobs/{job}/explain", r.serveOp(opExplain)).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{job}/evict", r.serveOp(opEvict)).Methods(http.MethodPost)
}

func writeResponse(w http.ResponseWriter, resp response) {
	w.Header().Set("Content-Type", "application/json")
	if f, failed := resp.body.(ErrorResponse); failed {
		w.Header().Set("Lovagefork-Outcome", f.Outcome)
	}
	if resp.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(resp.status)
	_ = json.NewEncoder(w).Encode(resp.body)
}

// decodeBody decodes the JSON body of a request into v, or returns an error response and false. If optional is set, an
// empty body leaves v unchanged.
func decodeBody(w http.ResponseWriter, req *http.Request, v any, optional bool) (response, bool) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil && decoder.More() {
		err = errors.New("more than one JSON value")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil || (optional && errors.Is(err, io.EOF)):
		return response{}, true
	case errors.As(err, &tooLarge):
		text := fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
		return errorResponse(http.StatusRequestEntityTooLarge, outcomeNotRun, text, ""), false
	}
	return errorResponse(http.StatusBadRequest, outcomeNotRun, "the body is no such JSON: "+err.Error(), ""), false
}

func (r *Runtime) serveSubmit(w http.ResponseWriter, req *http.Request) {
	var s submission
	if resp, ok := decodeBody(w, req, &s, false); !ok {
		writeResponse(w, resp)
		return
	}
	spec := r.withDefaults(s)
	if field, problem := validate(spec); problem != "" {
		writeResponse(w, response{status: http.StatusBadRequest, body: ErrorResponse{
			Error: field + ": " + problem, Outcome: outcomeNotRun, Job: spec.Job, Field: field,
		}})
		return
	}
	if resp, ok := r.checkFits(spec); !ok {
		writeResponse(w, resp)
		return
	}
	body, err := json.Marshal(spec)
	if err != nil {
		writeResponse(w, errorResponse(http.StatusBadRequest, outcomeNotRun, err.Error(), spec.Job))
		return
	}
	home := jobs.HomePartition(spec.Job, r.Partitions)
	writeResponse(w, r.callHome(req.Context(), wire.JobRequest{Op: opSubmit, Partition: home, Job: spec.Job, Body: body}))
}

// callHome executes a submission at the owner of the job's home partition. It does not follow a job that has moved,
// because the home partition recognizes repeated submissions.
func (r *Runtime) callHome(ctx context.Context, call wire.JobRequest) response {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.callOwner(ctx, call)
}

// withDefaults returns the spec of a job, with the defaults of the customer's batch kind.
func (r *Runtime) withDefaults(s submission) ledger.Spec {
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

// validate returns the first invalid field of a spec and what is wrong with it, or empty strings.
func validate(s ledger.Spec) (field, problem string) {
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
	case s.MaxAttempts < 1 || s.MaxAttempts > maxAttemptsLimit:
		return "max_attempts", fmt.Sprintf("want 1 to %d", maxAttemptsLimit)
	}
	return "", ""
}

// checkFits returns an error response and false if no worker of any partition is large enough for a task of the job, or
// if no host list has been received yet.
func (r *Runtime) checkFits(s ledger.Spec) (response, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fleetObserved {
		return errorResponse(http.StatusServiceUnavailable, outcomeNotRun, "the host list is not known yet", s.Job), false
	}
	var largest fleet.Resources
	for _, w := range r.workers {
		if s.Resources.Fits(w.Capacity) {
			return response{}, true
		}
		largest = largest.Max(w.Capacity)
	}
	text := fmt.Sprintf("no worker can ever hold %v: the largest amounts of %d workers are %v", s.Resources, len(r.workers), largest)
	return response{status: http.StatusUnprocessableEntity, body: ErrorResponse{
		Error: text, Outcome: outcomeNotRun, Job: s.Job, Field: "resources",
	}}, false
}

func (r *Runtime) serveOp(op string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		job := fleet.JobID(mux.Vars(req)["job"])
		call := wire.JobRequest{Op: op, Partition: jobs.HomePartition(job, r.Partitions), Job: job}
		if op == opEvict {
			var body evictRequest
			if resp, ok := decodeBody(w, req, &body, true); !ok {
				writeResponse(w, resp)
				return
			}
			call.Body, _ = json.Marshal(body)
		}
		if op != opStatus && op != opExplain {
			call.Partition = r.currentPartition(req.Context(), call)
		}
		writeResponse(w, r.route(req.Context(), call))
	}
}

// currentPartition returns the partition that holds a job, which may have moved from its home partition.
func (r *Runtime) currentPartition(ctx context.Context, call wire.JobRequest) fleet.PartitionID {
	resp := r.route(ctx, wire.JobRequest{Op: opStatus, Partition: call.Partition, Job: call.Job})
	switch body := resp.body.(type) {
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

// parseFilter parses the filter of a list from the query, or returns what is wrong with it.
func parseFilter(query url.Values) (filter jobs.Filter, problem string) {
	filter.Limit = maxListLimit
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
			if err != nil || limit < 1 || limit > maxListLimit {
				return filter, fmt.Sprintf("limit: want 1 to %d", maxListLimit)
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
	filter, problem := parseFilter(req.URL.Query())
	if problem != "" {
		writeResponse(w, errorResponse(http.StatusBadRequest, outcomeNotRun, problem, ""))
		return
	}
	writeResponse(w, r.list(req.Context(), filter))
}

// list returns the jobs of all partitions, with one request to each peer that owns any. Partitions without an owner or
// a response are listed as incomplete.
func (r *Runtime) list(ctx context.Context, filter jobs.Filter) response {
	limit := filter.Limit
	filter.Limit++ // one job more than the limit shows whether further jobs follow
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(filter)
	if err != nil {
		return errorResponse(http.StatusBadRequest, outcomeNotRun, err.Error(), "")
	}
	merged := r.listLocal(body).body.(listResponse)
	owners := make(map[fleet.EntryHostID][]fleet.PartitionID)
	r.mu.Lock()
	for _, p := range r.Partitions {
		owner, owned := r.lease.Owner(p)
		switch {
		case r.ownedPartitions[p] != nil:
		case !owned || owner.EntryHost == r.Self.EntryHost:
			merged.Incomplete = append(merged.Incomplete, p)
		default:
			owners[owner.EntryHost] = append(owners[owner.EntryHost], p)
		}
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for host, partitions := range owners {
		wg.Go(func() {
			list, ok := r.listFromPeer(ctx, host, body)
			mu.Lock()
			defer mu.Unlock()
			merged.Jobs = append(merged.Jobs, list...)
			if !ok {
				merged.Incomplete = append(merged.Incomplete, partitions...)
			}
		})
	}
	wg.Wait()
	merged.More = len(merged.Jobs) > limit
	merged.Jobs = jobs.Page(merged.Jobs, limit)
	slices.Sort(merged.Incomplete)
	return response{status: http.StatusOK, body: merged}
}

// listFromPeer returns the jobs of all partitions that a peer owns, or false if it did not respond.
func (r *Runtime) listFromPeer(ctx context.Context, host fleet.EntryHostID, body []byte) ([]jobs.View, bool) {
	m, err := r.Peers.Call(ctx, host, wire.JobRequest{Op: opList, Body: body})
	resp, ok := m.(wire.JobResponse)
	if err != nil || !ok || resp.Status != http.StatusOK {
		return nil, false
	}
	var list listResponse
	if json.Unmarshal(resp.Body, &list) != nil {
		return nil, false
	}
	return list.Jobs, true
}
