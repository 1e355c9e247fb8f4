package infra

import (
	"net"
	"strings"
	"time"
)

// Advice is the cost of asking the policy service which workers may run a step of a queue.
type ApprovalCost struct {
	Decision  time.Duration
	PerWorker time.Duration
	TicketTTL time.Duration
}

// Queue takes jobs at a host name and path prefix and runs their tasks on the workers of a service.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Timeout  time.Duration
	Service  string
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job has failed.
	MaxAttempts int
	// Stretch times the longest chain of work plus Objective is the time in which a job should complete.
	StretchFactor float64
	TargetLatency time.Duration
	ApprovalCost  *ApprovalCost
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guarded workers reject a task that does not fit.
	EnforcesCapacity bool
	Standby          bool
}

// Limits bound what a caller may send.
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

// Match returns the queue with the longest prefix of path on a host, which may carry a port.
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

// Queue returns the queue with a name.
func (c *Catalog) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Service returns the service with a name.
func (c *Catalog) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
