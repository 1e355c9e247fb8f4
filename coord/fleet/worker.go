package fleet

// HostState is the state of a worker; only workers in state [HostLive] are given new work.
type HostState string

// The states of the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostSuspect is the state set by package member for a worker that is not leaving but must not be given new work: this
// process cannot reach it, or it is no longer on the host list.
const HostSuspect HostState = "suspect"

// Worker is the description of a worker in the host list.
type Worker struct {
	ID          WorkerID         `json:"worker" cbor:"worker"`
	Rack        RackID           `json:"rack" cbor:"rack"`
	Zone        AvailabilityZone `json:"availability_zone" cbor:"availability_zone"`
	State       HostState        `json:"state" cbor:"state"`
	Capacity    Resources        `json:"resources" cbor:"resources"`
	Slots       int              `json:"slots" cbor:"slots"`
	Connections int              `json:"connections" cbor:"connections"`
	AgentURL    string           `json:"agent_url" cbor:"agent_url"`
	BackendURL  string           `json:"backend_url" cbor:"backend_url"`
}

// WithState returns a copy of the worker with the given state.
func (w Worker) WithState(s HostState) Worker {
	w.State = s
	return w
}
