package fleet

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type (
	// WorkerID identifies a worker, as in the platform's host list.
	WorkerID string
	// RackID identifies a rack within an availability zone.
	RackID string
	// AvailabilityZone identifies an availability zone.
	AvailabilityZone string
	// CustomerID identifies a customer, which has a quota and a configuration.
	CustomerID string
	// ServiceID identifies a service as "<customer>/<name>".
	ServiceID string
	// JobID identifies a batch job; it is unique within the system.
	JobID string
	// TaskID identifies a task as "<job>/<index>", or "svc/<customer>/<name>/<index>" for a service replica.
	TaskID string
	// PartitionID identifies a partition as "<availability zone>/<index>".
	PartitionID string
	// EntryHostID identifies an entry host, as in the roster in the settings.
	EntryHostID string
	// RequestID is the idempotency key of a client request.
	RequestID string
	// BootID identifies one run of the process on an entry host.
	BootID string
)

// Epoch is the fencing number of an owner of a partition; each owner has a higher epoch than its predecessors.
type Epoch uint64

// Attempt is the number of a run of a task, starting at 1.
type Attempt uint32

// NewServiceID returns the id of the named service of a customer.
func NewServiceID(customer CustomerID, name string) ServiceID {
	return ServiceID(string(customer) + "/" + name)
}

// Customer returns the customer of the service.
func (s ServiceID) Customer() CustomerID {
	customer, _, _ := strings.Cut(string(s), "/")
	return CustomerID(customer)
}

// Name returns the name of the service without its customer.
func (s ServiceID) Name() string {
	_, name, _ := strings.Cut(string(s), "/")
	return name
}

// NewPartitionID returns the id of the partition with the given index, starting at 0, in an availability zone.
func NewPartitionID(zone AvailabilityZone, index int) PartitionID {
	return PartitionID(string(zone) + "/" + strconv.Itoa(index))
}

// Zone returns the availability zone of the partition's workers.
func (p PartitionID) Zone() AvailabilityZone {
	zone, _, _ := strings.Cut(string(p), "/")
	return AvailabilityZone(zone)
}

// Partitions returns all partitions of the given availability zones, perZone in each, in the order of the zones.
func Partitions(zones []AvailabilityZone, perZone int) []PartitionID {
	all := make([]PartitionID, 0, len(zones)*perZone)
	for _, zone := range zones {
		for i := range perZone {
			all = append(all, NewPartitionID(zone, i))
		}
	}
	return all
}

// PartitionOf returns the partition of a worker; all workers of a rack are in the same partition.
func PartitionOf(w Worker, perZone int) PartitionID {
	index := xxhash.Sum64String(string(w.Zone)+"/"+string(w.Rack)) % uint64(perZone)
	return NewPartitionID(w.Zone, int(index))
}

// Rendezvous assigns a key to a candidate by rendezvous hashing: it returns the candidate with the highest hash of key
// and candidate, or the zero value if there are no candidates.
//
// Removing a candidate reassigns only the keys that were assigned to it.
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
