package fleet

// HostState is the state of a worker; only [HostLive] takes new work.
type HostState string

// The states of the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostSuspect is the state that package member gives to a worker that is neither known to leave nor fit for new work:
// this process cannot reach it, or the list dropped it.
const HostSuspect HostState = "suspect"

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
