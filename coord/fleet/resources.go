package fleet

import "fmt"

// Resources is an amount of processor time in thousandths of a core, memory in bytes, and whole accelerators.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu" cbor:"milli_cpu"`
	MemoryBytes  int64 `json:"memory_bytes" cbor:"memory_bytes"`
	Accelerators int64 `json:"accelerators" cbor:"accelerators"`
}

// Add returns the sum of both amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// Sub returns the difference of both amounts, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		max(r.MilliCPU, o.MilliCPU),
		max(r.MemoryBytes, o.MemoryBytes),
		max(r.Accelerators, o.Accelerators),
	}
}

// Fits reports whether every resource of r is at most that of free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryBytes <= free.MemoryBytes && r.Accelerators <= free.Accelerators
}

// IsZero reports whether all amounts are zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// String formats the amount for logs.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm mem=%dMiB acc=%d", r.MilliCPU, r.MemoryBytes>>20, r.Accelerators)
}
