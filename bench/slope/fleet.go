package slope

import (
	"fmt"

	"lovagefork.example/coord/fleet"
)

// Target sizes from section 1.7 of the design page.
const (
	targetWorkers    = 3500
	targetTasks      = 83_000
	targetStarts     = 750
	targetPartitions = 64
	targetCustomers  = 360
	tasksPerWorker   = (targetTasks + targetWorkers - 1) / targetWorkers
	startsPerWorker  = float64(targetStarts) / targetWorkers
)

var workerSizes = []int{100, 1000, targetWorkers}

var (
	workerCapacity = fleet.Resources{MilliCPU: 64_000, MemoryBytes: 250 << 30, Accelerators: 2}
	taskSize       = fleet.Resources{MilliCPU: 2000, MemoryBytes: 8 << 30}
)

func newWorkers(n int) []fleet.Worker {
	all := make([]fleet.Worker, n)
	for i := range all {
		all[i] = fleet.Worker{
			ID: fleet.WorkerID(fmt.Sprintf("worker-%05d", i)), Zone: fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", i%16)),
			Rack: fleet.RackID(fmt.Sprintf("rack-%04d", i/8)), State: fleet.HostLive, Capacity: workerCapacity,
			Slots: 8, Connections: 64, AgentURL: fmt.Sprintf("http://10.0.%d.%d:9000", i/250, i%250),
			BackendURL: fmt.Sprintf("http://10.0.%d.%d:8080", i/250, i%250),
		}
	}
	return all
}

// declaredUsage returns the resource use of n tasks that use exactly their declared size.
func declaredUsage(n int) fleet.Resources {
	return fleet.Resources{MilliCPU: int64(n) * taskSize.MilliCPU, MemoryBytes: int64(n) * taskSize.MemoryBytes}
}

// kindCount is the number of task kinds in a partition; with 360 teams about a hundred kinds share one.
const kindCount = 100

func kindName(i int) string { return fmt.Sprintf("kind-%03d", i%kindCount) }
