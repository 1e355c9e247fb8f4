package leader

import (
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
	// largerHostRatio is the ratio of capacity from which an entry host is preferred over another one; a smaller difference
	// is not worth a change of leader.
	largerHostRatio = 1.5
	// largerHostHeadStart is how long a process delays its campaign for a larger entry host, which needs three calls of the
	// store to win.
	largerHostHeadStart = 400 * time.Millisecond
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

const (
	// startsPerMilliCPU is the number of starts a second that a thousandth of a core carries (0.49 ms each, docs/CAPACITY.md).
	startsPerMilliCPU = 2
	// bitsPerStart is what a start and what follows from it send over the scheduler's link if no peer relays it (3.6 KB, measured).
	bitsPerStart = 28_800
)

// Exceeds reports whether a scheduler on a host of this capacity starts more tasks a second than on one of the other, by
// largerHostRatio. The scarcer of processor time and link bounds the starts. If one of the links is unknown, the processor time
// decides; if that is unknown too, neither host exceeds the other.
func (c Capacity) Exceeds(other Capacity) bool {
	if c.MilliCPU == 0 || other.MilliCPU == 0 {
		return false
	}
	knowsLinks := c.LinkBitsPerSecond > 0 && other.LinkBitsPerSecond > 0
	return c.startsPerSecond(knowsLinks) >= largerHostRatio*other.startsPerSecond(knowsLinks)
}

func (c Capacity) startsPerSecond(knowsLink bool) float64 {
	starts := float64(c.MilliCPU) * startsPerMilliCPU
	if knowsLink {
		starts = min(starts, float64(c.LinkBitsPerSecond)/bitsPerStart)
	}
	return starts
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
	byID map[fleet.EntryHostID]Capacity
}

func (h *hostRegistry) add(host fleet.EntryHostID, capacity Capacity) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byID[host] = capacity
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
		out = append(out, Host{ID: id, Capacity: h.byID[id]})
	}
	return out
}

// larger returns the registered processes whose entry hosts exceed this one.
func (h *hostRegistry) larger() []Host {
	return slices.DeleteFunc(h.hosts(), func(other Host) bool { return !other.Capacity.Exceeds(h.own) })
}
