package leader

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
)

const (
	// largerHostRatio is the ratio of processor time from which an entry host is preferred over another one; a smaller
	// difference is not worth a change of leader.
	largerHostRatio = 1.5
	// largerHostHeadStart is how long a process delays its campaign if a larger entry host is registered, which needs
	// two calls of the store to win.
	largerHostHeadStart = 400 * time.Millisecond
	// handOverAge is how long a larger entry host must have been registered before leadership is handed over to it. It
	// is longer than hostTTL, for which the entry of a process that has died remains.
	handOverAge           = hostTTL + 2*time.Second
	handOverCheckInterval = time.Second
)

// Capacity is what an entry host has for the work of its process. A field that is unknown is 0.
type Capacity struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `cbor:"milli_cpu,omitempty"`
	// LinkBitsPerSecond is the bandwidth of the host's link.
	LinkBitsPerSecond int64 `cbor:"link_bits_per_second,omitempty"`
}

// maxMilliCPU and maxLinkBitsPerSecond exceed the capacity of any entry host.
const (
	maxMilliCPU          = 100_000_000
	maxLinkBitsPerSecond = 1_000_000_000_000_000
)

// isValid reports whether an entry host can have this capacity.
func (c Capacity) isValid() bool {
	return c.MilliCPU >= 0 && c.MilliCPU <= maxMilliCPU && c.LinkBitsPerSecond >= 0 && c.LinkBitsPerSecond <= maxLinkBitsPerSecond
}

// Host is a registered entry process.
type Host struct {
	ID       fleet.EntryHostID
	Capacity Capacity
}

// hostRecord is the stored registration of an entry process: the address where it accepts peer links, and the capacity of
// its entry host.
type hostRecord struct {
	Address string `cbor:"address"`
	Capacity
}

// HostRecordError reports an entry of the group that names no entry process.
type HostRecordError struct {
	Address  string
	Capacity Capacity
}

// Error returns the contents of the entry.
func (e *HostRecordError) Error() string {
	return fmt.Sprintf("address %.60q or capacity %+v is invalid", e.Address, e.Capacity)
}

// decodeHost decodes the registration of an entry process; its error is a [*HostRecordError] or that of the decoder.
func decodeHost(value []byte) (hostRecord, error) {
	var r hostRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		return r, err
	}
	host, port, err := net.SplitHostPort(r.Address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || host == "" || number == 0 || !r.isValid() {
		return r, &HostRecordError{Address: r.Address, Capacity: r.Capacity}
	}
	return r, nil
}

// hostRegistry holds the other entry processes that are registered in the store.
type hostRegistry struct {
	// own is the capacity of this process's entry host.
	own Capacity

	mu   sync.Mutex
	byID map[fleet.EntryHostID]registration
}

// registration is the entry of another process; since is when its present registration was first seen. passes counts how
// often it did not take the leadership when it could have, the last time at passedAt.
type registration struct {
	capacity Capacity
	since    time.Time
	passes   int
	passedAt time.Time
}

// maxPasses limits the effect of [registration].passes.
const maxPasses = 10

// isDue reports whether a leadership is handed over to an entry host that has been registered for at least age. The age
// doubles each time it did not take the leadership, because its entry may be that of no running process.
func (r registration) isDue(age time.Duration) bool {
	since := r.since
	if r.passes > 0 {
		since = r.passedAt
	}
	return Now().Sub(since) >= age<<min(r.passes, maxPasses)
}

func (h *hostRegistry) add(host fleet.EntryHostID, capacity Capacity) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, found := h.byID[host]
	if !found {
		r.since = Now()
	}
	r.capacity = capacity
	h.byID[host] = r
}

func (h *hostRegistry) remove(host fleet.EntryHostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byID, host)
}

// hosts returns the registered processes in the order of their IDs.
func (h *hostRegistry) hosts() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]Host, 0, len(h.byID))
	for _, id := range slices.Sorted(maps.Keys(h.byID)) {
		out = append(out, Host{ID: id, Capacity: h.byID[id].capacity})
	}
	return out
}

// hasLarger reports whether a larger entry host has been registered for at least age, see [registration.isDue].
func (h *hostRegistry) hasLarger(age time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.byID {
		if h.isLarger(r) && r.isDue(age) {
			return true
		}
	}
	return false
}

// isLarger reports whether an entry host exceeds this one by largerHostRatio.
func (h *hostRegistry) isLarger(r registration) bool {
	return h.own.MilliCPU > 0 && float64(r.capacity.MilliCPU) >= largerHostRatio*float64(h.own.MilliCPU)
}

// recordPasses records that this process won a campaign for which larger entry hosts had a head start.
func (h *hostRegistry) recordPasses() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for host, r := range h.byID {
		if h.isLarger(r) {
			r.passes++
			r.passedAt = Now()
			h.byID[host] = r
		}
	}
}

// handOver ends a leadership when a larger entry host can take over, because the scheduler's work grows with the fleet
// and a small host falls behind under load.
func (h *hostRegistry) handOver(ctx context.Context, l *Leadership) {
	began := Now()
	for ctx.Err() == nil {
		sleep(ctx, handOverCheckInterval)
		if Now().Sub(began) >= handOverAge && h.hasLarger(handOverAge) && l.LeaseConfirmed() {
			l.end("a larger entry host can take over")
			return
		}
	}
}
