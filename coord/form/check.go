package form

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"

	"lovagefork.example/coord/fleet"
)

// Limits of the answers. They keep the stored document, which includes its answers, well under the store's value limit
// of 1 MiB.
const (
	maxEntries      = 500
	maxReplicas     = 10_000
	maxDeadlineMS   = 24 * 60 * 60 * 1000
	maxAttempts     = 100
	maxMilliCPU     = 1_024_000
	maxMemoryMiB    = 4 << 20
	maxAccelerators = 64
	maxWeight       = 1000
	maxRate         = 1e6
	maxTasks        = 1_000_000
	// targetWorkers is the number of workers that the system is designed for. A quota may cover all of them, so its
	// limits are those of one worker times targetWorkers.
	targetWorkers = 3500
)

const allowedName = "1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

type checker struct {
	problems []*FieldError
}

func (c *checker) addProblem(field, value, allowed string) {
	c.problems = append(c.problems, &FieldError{Field: field, Value: value, Allowed: allowed})
}

func (c *checker) integer(field string, value, low, high int64) {
	if value < low || value > high {
		c.addProblem(field, strconv.FormatInt(value, 10), fmt.Sprintf("a whole number from %d to %d", low, high))
	}
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.addProblem(field, strconv.Quote(value), allowedName)
	}
}

func (c *checker) count(field string, n int) bool {
	if n > maxEntries {
		c.addProblem(field, fmt.Sprintf("a list of %d", n), fmt.Sprintf("at most %d entries", maxEntries))
	}
	return n <= maxEntries
}

// CheckCustomer returns a [*FieldError] if id is not a valid customer identifier, and nil otherwise.
func CheckCustomer(id fleet.CustomerID) error {
	if !namePattern.MatchString(string(id)) {
		return &FieldError{Field: "customer", Value: strconv.Quote(string(id)), Allowed: allowedName}
	}
	return nil
}

// Validate returns an [*InvalidError] that lists all invalid answers, or nil if there are none.
func (a Answers) Validate() error {
	c := &checker{}
	c.name("customer", string(a.Customer))
	if c.count("services", len(a.Services)) && c.count("batch", len(a.Batch)) {
		a.checkWorkloads(c)
		a.checkLists(c)
		a.checkQuota(c)
	}
	if len(c.problems) > 0 {
		return &InvalidError{Problems: c.problems}
	}
	return nil
}

func (a Answers) checkWorkloads(c *checker) {
	seen := make(map[string]bool)
	unique := func(field, name string) {
		if seen[name] {
			c.addProblem(field, strconv.Quote(name), "a name that no other service or batch work has")
		}
		seen[name] = true
	}
	for i, s := range a.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.name(field+".name", s.Name)
		unique(field+".name", s.Name)
		c.integer(field+".replicas", int64(s.Replicas), 1, maxReplicas)
		c.integer(field+".deadline_ms", s.DeadlineMS, 1, maxDeadlineMS)
		c.size(field+".size", s.Size)
	}
	for i, b := range a.Batch {
		field := fmt.Sprintf("batch[%d]", i)
		c.name(field+".name", b.Name)
		unique(field+".name", b.Name)
		c.size(field+".size", b.Size)
		if slices.Contains(a.NeverTwice, b.Name) {
			// A second attempt would run the work twice, which never_twice rules out.
			if b.MaxAttempts != 0 && b.MaxAttempts != 1 {
				c.addProblem(field+".max_attempts", strconv.Itoa(b.MaxAttempts), "0 or 1 for work listed in never_twice")
			}
			continue
		}
		c.integer(field+".max_attempts", int64(b.MaxAttempts), 0, maxAttempts)
	}
}

func (c *checker) size(field string, s Size) {
	c.integer(field+".milli_cpu", s.MilliCPU, 1, maxMilliCPU)
	c.integer(field+".memory_mib", s.MemoryMiB, 1, maxMemoryMiB)
	c.integer(field+".accelerators", s.Accelerators, 0, maxAccelerators)
}

func (a Answers) checkLists(c *checker) {
	names := a.workloadNames()
	c.list("urgent", a.Urgent, names)
	c.list("may_wait", a.MayWait, names)
	c.list("never_twice", a.NeverTwice, names)
	for i, n := range a.MayWait {
		if slices.Contains(a.Urgent, n) {
			c.addProblem(fmt.Sprintf("may_wait[%d]", i), strconv.Quote(n), "a name that urgent does not list")
		}
	}
}

func (a Answers) workloadNames() []string {
	names := make([]string, 0, len(a.Services)+len(a.Batch))
	for _, s := range a.Services {
		names = append(names, s.Name)
	}
	for _, b := range a.Batch {
		names = append(names, b.Name)
	}
	return names
}

func (c *checker) list(field string, values, names []string) {
	if !c.count(field, len(values)) {
		return
	}
	for i, v := range values {
		element := fmt.Sprintf("%s[%d]", field, i)
		if !slices.Contains(names, v) {
			c.addProblem(element, strconv.Quote(v), "the name of a service or of batch work in these answers")
		} else if slices.Contains(values[:i], v) {
			c.addProblem(element, strconv.Quote(v), "each name once")
		}
	}
}

func (a Answers) checkQuota(c *checker) {
	q := a.Quota
	c.integer("quota.milli_cpu", q.MilliCPU, 0, maxMilliCPU*targetWorkers)
	c.integer("quota.memory_mib", q.MemoryMiB, 0, maxMemoryMiB*targetWorkers)
	c.integer("quota.accelerators", q.Accelerators, 0, maxAccelerators*targetWorkers)
	c.integer("quota.running_tasks", int64(q.RunningTasks), 0, maxTasks)
	c.integer("quota.weight", int64(q.Weight), 0, maxWeight)
	if math.IsNaN(q.RequestsPerSecond) || q.RequestsPerSecond < 0 || q.RequestsPerSecond > maxRate {
		c.addProblem("quota.requests_per_second", fmt.Sprint(q.RequestsPerSecond), fmt.Sprintf("a number from 0 to %g", maxRate))
	}
	if len(c.problems) == 0 {
		a.checkQuotaSuffices(c)
	}
}

// checkQuotaSuffices reports a quota that is smaller than what all replicas or the largest batch task need, since the
// last replicas or that task could never start.
func (a Answers) checkQuotaSuffices(c *checker) {
	var required Size
	tasks := 0
	for _, s := range a.Services {
		required.MilliCPU += int64(s.Replicas) * s.Size.MilliCPU
		required.MemoryMiB += int64(s.Replicas) * s.Size.MemoryMiB
		required.Accelerators += int64(s.Replicas) * s.Size.Accelerators
		tasks += s.Replicas
	}
	for _, b := range a.Batch {
		required.MilliCPU = max(required.MilliCPU, b.Size.MilliCPU)
		required.MemoryMiB = max(required.MemoryMiB, b.Size.MemoryMiB)
		required.Accelerators = max(required.Accelerators, b.Size.Accelerators)
	}
	atLeast := func(field string, limit, required int64) {
		if limit != 0 && limit < required {
			c.addProblem(field, strconv.FormatInt(limit, 10), fmt.Sprintf("0 for no limit, or at least %d, which the services and the largest batch task need", required))
		}
	}
	atLeast("quota.milli_cpu", a.Quota.MilliCPU, required.MilliCPU)
	atLeast("quota.memory_mib", a.Quota.MemoryMiB, required.MemoryMiB)
	atLeast("quota.accelerators", a.Quota.Accelerators, required.Accelerators)
	atLeast("quota.running_tasks", int64(a.Quota.RunningTasks), int64(tasks))
}
