package fleet

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type (
	// WorkerID names a worker as the platform's host list does.
	WorkerID string
	// RackID names a rack within an availability zone.
	RackID string
	// AvailabilityZone names an availability zone.
	AvailabilityZone string
	// CustomerID names a customer, the holder of a quota and of a configuration.
	CustomerID string
	// ServiceID names a service as "<customer>/<name>".
	ServiceID string
	// JobID names a batch job, unique within the system.
	JobID string
	// TaskID names a task as "<job>/<index>", or "svc/<customer>/<name>/<index>" for a service replica.
	TaskID string
	// PartitionID names a partition as "<availability zone>/<index>".
	PartitionID string
	// EntryHostID names an entry host as the roster in the settings does.
	EntryHostID string
	// RequestID is the idempotency key of a caller's request.
	RequestID string
	// BootID distinguishes the processes that run one after another on the same entry host.
	BootID string
)

// Epoch counts the owners of a partition; a later owner always holds a higher epoch.
type Epoch uint64

// Attempt counts the runs of a task, starting at 1.
type Attempt uint32

// NewServiceID joins a customer and the name of one of its services.
func NewServiceID(customer CustomerID, name string) ServiceID {
	return ServiceID(string(customer) + "/" + name)
}

// Customer returns the customer that the service belongs to.
func (s ServiceID) Customer() CustomerID {
	customer, _, _ := strings.Cut(string(s), "/")
	return CustomerID(customer)
}

// Name returns the name of the service without its customer.
func (s ServiceID) Name() string {
	_, name, _ := strings.Cut(string(s), "/")
	return name
}

// NewPartitionID names the partition with the given index, counted from 0, in an availability zone.
func NewPartitionID(zone AvailabilityZone, index int) PartitionID {
	return PartitionID(string(zone) + "/" + strconv.Itoa(index))
}

// Zone returns the availability zone of the partition's workers.
func (p PartitionID) Zone() AvailabilityZone {
	zone, _, _ := strings.Cut(string(p), "/")
	return AvailabilityZone(zone)
}

// Partitions lists every partition of the given availability zones, perZone in each, in the order of the zones.
func Partitions(zones []AvailabilityZone, perZone int) []PartitionID {
	all := make([]PartitionID, 0, len(zones)*perZone)
	for _, zone := range zones {
		for i := range perZone {
			all = append(all, NewPartitionID(zone, i))
		}
	}
	return all
}

// PartitionOf returns the partition of a worker; all workers of a rack share one.
func PartitionOf(w Worker, perZone int) PartitionID {
	index := xxhash.Sum64String(string(w.Zone)+"/"+string(w.Rack)) % uint64(perZone)
	return NewPartitionID(w.Zone, int(index))
}

// Rendezvous returns the candidate with the highest hash of key and candidate, or the zero value for no candidates.
//
// Removing one candidate moves only the keys that it held.
func Rendezvous[T ~string](key string, candidates []T) T {
	var best T
	var bestScore uint64
	for i, c := range candidates {
		score := xxhash.Sum64String(key + "\x00" + string(c))
		if i == 0 || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}
