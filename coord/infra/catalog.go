package infra

import (
	"net"
	"strings"
	"time"
)

// ApprovalCost is the cost of an approval by the policy service: a call takes Decision, plus PerWorker for each
// worker in it. Tickets are valid for TicketTTL.
type ApprovalCost struct {
	Decision  time.Duration
	PerWorker time.Duration
	TicketTTL time.Duration
}

// Queue accepts jobs at a host name and path prefix and runs their tasks on the workers of a service.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Timeout  time.Duration
	Service  string
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job fails.
	MaxAttempts int
	// A job should complete within StretchFactor times the run time of its critical path, plus TargetLatency.
	StretchFactor float64
	TargetLatency time.Duration
	// ApprovalCost is nil if the queue has no approval policy.
	ApprovalCost *ApprovalCost
}

// Service describes a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity means that the workers reject a task that exceeds their free capacity.
	EnforcesCapacity bool
	Standby          bool
}

// Limits bounds callers' HTTP requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of the operator's configuration.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Match returns the queue on the host whose prefix is the longest one that path starts with. The host may include a
// port.
func (c *Catalog) Match(host, path string) (Queue, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	best, found := Queue{}, false
	for _, q := range c.Queues {
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && len(q.Prefix) >= len(best.Prefix) {
			best, found = q, true
		}
	}
	return best, found
}

// Queue returns the queue with the given name.
func (c *Catalog) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
