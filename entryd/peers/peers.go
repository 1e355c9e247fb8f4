package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/wire"
)

// Limits and intervals of a link.
const (
	maxMessageBytes = 16 << 20
	sendQueueSize   = 1024
	// writeTimeout limits the sending of a piece of a message of pieceBytes.
	writeTimeout   = 2 * time.Second
	pieceBytes     = 16 << 10
	helloTimeout   = 2 * time.Second
	pingInterval   = time.Second
	pingTimeout    = 2 * time.Second
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// Handler handles a message. It returns the response to a call, or nil for a one-way message or one that it does not
// handle.
type Handler func(ctx context.Context, from fleet.EntryHostID, m wire.Message) wire.Message

// LinkError reports a message that was not sent or a call without a response. NotSent is set if the message never left
// this process; otherwise the peer may have handled it.
type LinkError struct {
	Peer    fleet.EntryHostID
	NotSent bool
	Cause   error
}

// Error returns the peer, whether the message was sent, and the cause.
func (e *LinkError) Error() string {
	if e.NotSent {
		return fmt.Sprintf("peer %s: not sent: %v", e.Peer, e.Cause)
	}
	return fmt.Sprintf("peer %s: outcome unknown: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Cause }

var (
	errNoLink    = errors.New("no link")
	errQueueFull = errors.New("send queue is full")
	errLinkDown  = errors.New("link broke")
)

// Mesh maintains a link to each other entry process. For each pair of processes, the one with the lesser name dials.
type Mesh struct {
	self     wire.Hello
	roster   map[fleet.EntryHostID]string
	log      *slog.Logger
	client   *http.Client
	scheme   string
	sent     traffic
	received traffic

	// acceptUnlisted allows links from peers that are not in the roster.
	acceptUnlisted bool

	mu          sync.Mutex
	links       map[fleet.EntryHostID]*link
	dialTargets map[fleet.EntryHostID]dialTarget
	handlers    []Handler
	observers   []func(peer fleet.EntryHostID, up bool)
}

// Option changes a [Mesh] under construction.
type Option func(*Mesh)

// WithClient sets the HTTP client for outgoing links and the URL scheme, "ws" or "wss".
func WithClient(c *http.Client, scheme string) Option {
	return func(m *Mesh) { m.client, m.scheme = c, scheme }
}

// WithMetrics counts messages and bytes in both directions in a registry.
func WithMetrics(r metrics.Registry) Option {
	return func(m *Mesh) { m.sent, m.received = newTraffic("sent", r), newTraffic("received", r) }
}

// WithUnlistedPeers accepts links from peers that are not in the roster, such as those that this process has not added
// with [Mesh.AddPeer] yet.
func WithUnlistedPeers() Option {
	return func(m *Mesh) { m.acceptUnlisted = true }
}

// dialTarget is the address of a peer that this process dials until stop is called.
type dialTarget struct {
	address string
	stop    context.CancelFunc
}

// traffic counts the messages and bytes of one direction.
type traffic struct {
	messages, bytes metrics.Counter
}

func newTraffic(direction string, r metrics.Registry) traffic {
	return traffic{
		messages: metrics.GetOrRegisterCounter("peers.messages_"+direction+".total", r),
		bytes:    metrics.GetOrRegisterCounter("peers.bytes_"+direction+".total", r),
	}
}

func (t traffic) add(data []byte) {
	t.messages.Inc(1)
	t.bytes.Inc(int64(len(data)))
}

// New returns a mesh for the process self; roster maps each entry host, including its own, to its address "ip:port".
func New(self wire.Hello, roster map[fleet.EntryHostID]string, log *slog.Logger, opts ...Option) *Mesh {
	m := &Mesh{
		self:   self,
		roster: roster,
		log:    log,
		client: &http.Client{},
		scheme: "ws",
		links:  make(map[fleet.EntryHostID]*link),

		dialTargets: make(map[fleet.EntryHostID]dialTarget),

		sent:     newTraffic("sent", metrics.NewRegistry()),
		received: newTraffic("received", metrics.NewRegistry()),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// AddHandler adds a handler. Handlers run in the order of their addition until one returns a response. AddHandler must
// be called before [Mesh.Run].
func (m *Mesh) AddHandler(h Handler) {
	m.handlers = append(m.handlers, h)
}

// OnLinkChange adds a function that is called when a link comes up or goes down. It must be called before [Mesh.Run].
func (m *Mesh) OnLinkChange(f func(peer fleet.EntryHostID, up bool)) {
	m.observers = append(m.observers, f)
}

func (m *Mesh) notifyObservers(peer fleet.EntryHostID, up bool) {
	for _, f := range m.observers {
		f(peer, up)
	}
}

// LinkedPeers returns the peers with an established link in ascending order.
func (m *Mesh) LinkedPeers() []fleet.EntryHostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.links))
}

// Send queues a one-way message to a peer without blocking; delivery is not confirmed. Its error is a [*LinkError].
func (m *Mesh) Send(to fleet.EntryHostID, msg wire.Message) error {
	l := m.link(to)
	if l == nil {
		return &LinkError{Peer: to, NotSent: true, Cause: errNoLink}
	}
	return l.send(wire.Envelope{Message: msg})
}

// Broadcast queues a one-way message to every linked peer and logs each failure.
func (m *Mesh) Broadcast(msg wire.Message) {
	for _, to := range m.LinkedPeers() {
		if err := m.Send(to, msg); err != nil {
			m.log.Warn("peers: message dropped", "peer", to, "error", err)
		}
	}
}

// Call sends a message to a peer and waits for its response until ctx ends. Its error is a [*LinkError].
func (m *Mesh) Call(ctx context.Context, to fleet.EntryHostID, msg wire.Message) (wire.Message, error) {
	l := m.link(to)
	if l == nil {
		return nil, &LinkError{Peer: to, NotSent: true, Cause: errNoLink}
	}
	return l.call(ctx, msg)
}

func (m *Mesh) link(to fleet.EntryHostID) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[to]
}

// Run maintains links to the peers in the roster until ctx ends: it dials those with a greater name than this process,
// and the others dial this process.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for peer, address := range m.roster {
		if peer > m.self.EntryHost {
			wg.Go(func() { m.dialLoop(ctx, peer, address) })
		}
	}
	wg.Wait()
}

// AddPeer adds a peer, or changes its address, and maintains a link to it until ctx ends or [Mesh.RemovePeer] is
// called. It has no effect for a peer with a lesser name than this process, which dials this process.
func (m *Mesh) AddPeer(ctx context.Context, peer fleet.EntryHostID, address string) {
	if peer <= m.self.EntryHost {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, found := m.dialTargets[peer]; found {
		if old.address == address {
			return
		}
		old.stop()
	}
	ctx, stop := context.WithCancel(ctx)
	m.dialTargets[peer] = dialTarget{address: address, stop: stop}
	go m.dialLoop(ctx, peer, address)
}

// RemovePeer stops dialling a peer; an established link stays until it breaks.
func (m *Mesh) RemovePeer(peer fleet.EntryHostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, found := m.dialTargets[peer]; found {
		old.stop()
		delete(m.dialTargets, peer)
	}
}

// Close closes every link. It does not stop this process or its peers from establishing new ones.
func (m *Mesh) Close() {
	m.mu.Lock()
	links := slices.Collect(maps.Values(m.links))
	m.mu.Unlock()
	for _, l := range links {
		l.stop()
	}
}

// dialLoop dials a peer until ctx ends. The delay between attempts doubles up to maxRedialDelay, and is reset when a
// link lasted longer than that.
func (m *Mesh) dialLoop(ctx context.Context, peer fleet.EntryHostID, address string) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := m.dial(ctx, peer, address)
		if ctx.Err() != nil {
			return
		}
		m.log.Debug("peers: link ended", "peer", peer, "error", err)
		if time.Since(started) > maxRedialDelay {
			delay = minRedialDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// dial establishes a link to a peer and serves it until it breaks.
func (m *Mesh) dial(ctx context.Context, peer fleet.EntryHostID, address string) error {
	dialCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	url := m.scheme + "://" + address + "/peer/v1"
	conn, _, err := websocket.Dial(dialCtx, url, &websocket.DialOptions{HTTPClient: m.client})
	if err != nil {
		return err
	}
	return m.serve(ctx, conn, peer)
}

// ServeHTTP accepts a link from a peer and serves it until it breaks.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.log.Warn("peers: link refused", "remote", r.RemoteAddr, "error", err)
		return
	}
	if err := m.serve(r.Context(), conn, ""); err != nil {
		m.log.Debug("peers: link ended", "remote", r.RemoteAddr, "error", err)
	}
}

// serve runs a link until it breaks; expected is the peer that was dialled, or empty for an accepted link.
func (m *Mesh) serve(ctx context.Context, conn *websocket.Conn, expected fleet.EntryHostID) error {
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMessageBytes)
	peer, err := m.exchangeHello(ctx, conn)
	if err != nil {
		return err
	}
	if _, listed := m.roster[peer.EntryHost]; !(listed || m.acceptUnlisted) || (expected != "" && peer.EntryHost != expected) {
		return fmt.Errorf("unexpected peer %q", peer.EntryHost)
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		mesh: m, peer: peer.EntryHost, conn: conn, stop: cancel,
		sendQueue: make(chan []byte, sendQueueSize), done: ctx.Done(), pendingCalls: make(map[uint64]chan wire.Message),
	}
	m.register(l)
	m.log.Info("peers: link up", "peer", peer.EntryHost, "boot", peer.Boot)
	var wg sync.WaitGroup
	wg.Go(func() { l.writeLoop(ctx) })
	wg.Go(func() { l.pingLoop(ctx) })
	err = l.readLoop(ctx)
	cancel()
	m.unregister(l)
	wg.Wait()
	m.log.Info("peers: link down", "peer", peer.EntryHost, "error", err)
	return err
}

// exchangeHello sends this process's hello and returns that of the peer.
func (m *Mesh) exchangeHello(ctx context.Context, conn *websocket.Conn) (wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	data, err := wire.Encode(wire.Envelope{Message: m.self})
	if err != nil {
		return wire.Hello{}, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return wire.Hello{}, err
	}
	_, data, err = conn.Read(ctx)
	if err != nil {
		return wire.Hello{}, err
	}
	envelope, err := wire.Decode(data)
	if err != nil {
		return wire.Hello{}, err
	}
	hello, ok := envelope.Message.(wire.Hello)
	if !ok {
		return wire.Hello{}, fmt.Errorf("first message is %T, want hello", envelope.Message)
	}
	return hello, nil
}

// register adds a link in place of an earlier one to the same peer, which it closes.
func (m *Mesh) register(l *link) {
	m.mu.Lock()
	old := m.links[l.peer]
	m.links[l.peer] = l
	m.mu.Unlock()
	if old != nil {
		old.stop()
	}
	m.notifyObservers(l.peer, true)
}

// unregister removes a link unless a newer one has replaced it.
func (m *Mesh) unregister(l *link) {
	m.mu.Lock()
	current := m.links[l.peer] == l
	if current {
		delete(m.links, l.peer)
	}
	m.mu.Unlock()
	if current {
		m.notifyObservers(l.peer, false)
	}
}

// dispatch returns the response of the first handler that returns one, or nil.
func (m *Mesh) dispatch(ctx context.Context, from fleet.EntryHostID, msg wire.Message) wire.Message {
	for _, h := range m.handlers {
		if response := h(ctx, from, msg); response != nil {
			return response
		}
	}
	return nil
}
