package hosted

import (
	"context"
	"errors"
	"sync"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/leader"
)

// maxSpecBytes limits the specs in a [specCache], of about 2.4 KB each.
const maxSpecBytes = 4 << 20

var errSpecDiffers = errors.New("the stored job has another spec")

// specCache holds the specs of the jobs that this process has stored or read last. It is safe for concurrent use.
type specCache struct {
	// read reads the spec of a job from the store.
	read func(ctx context.Context, id fleet.JobID) (string, error)

	mu    sync.Mutex
	specs map[fleet.JobID]string
	// order lists the jobs by the time at which they were added, and bytes is the size of their specs.
	order []fleet.JobID
	bytes int
	// reading holds the reads in progress; their channels are closed at the end.
	reading map[fleet.JobID]*specRead
}

// specRead is a read of a spec; err is set before done is closed.
type specRead struct {
	done chan struct{}
	err  error
}

func newSpecCache(read func(context.Context, fleet.JobID) (string, error)) *specCache {
	return &specCache{read: read, specs: make(map[fleet.JobID]string), reading: make(map[fleet.JobID]*specRead)}
}

// add replaces the spec of a job, and drops the oldest ones that exceed the limit.
func (c *specCache) add(id fleet.JobID, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, found := c.specs[id]; found {
		c.bytes += len(spec) - len(old)
		c.specs[id] = spec
		return
	}
	c.specs[id] = spec
	c.order = append(c.order, id)
	c.bytes += len(spec)
	for c.bytes > maxSpecBytes && len(c.order) > 1 {
		c.bytes -= len(c.specs[c.order[0]])
		delete(c.specs, c.order[0])
		c.order = c.order[1:]
	}
}

// get returns the spec with a [wire.SpecSum] of a job. It reads it from the store if needed, once for all callers that wait for it.
func (c *specCache) get(ctx context.Context, id fleet.JobID, sum uint64) (string, error) {
	spec, r, isFirst := c.find(id, sum)
	if r == nil {
		return spec, nil
	}
	if isFirst {
		go c.fetch(id, r)
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	if r.err != nil {
		return "", r.err
	}
	c.mu.Lock()
	spec = c.specs[id]
	c.mu.Unlock()
	if wire.SpecSum(spec) != sum {
		return "", errSpecDiffers
	}
	return spec, nil
}

// find returns the spec of a job, or else the read to wait for and whether the caller must begin it.
func (c *specCache) find(id fleet.JobID, sum uint64) (spec string, r *specRead, isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if spec, found := c.specs[id]; found && wire.SpecSum(spec) == sum {
		return spec, nil, false
	}
	if r := c.reading[id]; r != nil {
		return "", r, false
	}
	r = &specRead{done: make(chan struct{})}
	c.reading[id] = r
	return "", r, true
}

func (c *specCache) fetch(id fleet.JobID, r *specRead) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	spec, err := c.read(ctx, id)
	if err == nil {
		c.add(id, spec)
	}
	c.mu.Lock()
	delete(c.reading, id)
	c.mu.Unlock()
	r.err = err
	close(r.done)
}

// readSpec reads the spec of a job from the store.
func (i *Intake) readSpec(ctx context.Context, id fleet.JobID) (string, error) {
	found, err := i.read(ctx, leader.JobKey(id))
	if err != nil {
		return "", err
	}
	if found == nil {
		return "", &infra.JobNotFoundError{Job: id}
	}
	job, err := leader.DecodeJob(found.Value)
	return job.Spec, err
}
