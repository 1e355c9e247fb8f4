package fleet

// HostState is the platform's view of a worker.
type HostState string

// The states of the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Worker describes one worker as the host list gives it.
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

// WithState returns a copy of the worker in another state.
func (w Worker) WithState(s HostState) Worker {
	w.State = s
	return w
}
