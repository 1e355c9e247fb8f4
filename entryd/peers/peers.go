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

// Limits of a link.
const (
	maxMessageBytes = 16 << 20
	sendQueue       = 1024
	writeTimeout    = 2 * time.Second
	helloTimeout    = 2 * time.Second
	pingInterval    = time.Second
	pingTimeout     = 2 * time.Second
	redialMin       = 100 * time.Millisecond
	redialMax       = 2 * time.Second
)

// Handler answers a call, or takes a one-way message and returns nil.
type Handler func(ctx context.Context, from fleet.EntryHostID, m wire.Message) wire.Message

// LinkError reports a call or message that got no answer; NotSent is set if it never left this process.
type LinkError struct {
	Peer    fleet.EntryHostID
	NotSent bool
	Cause   error
}

// Error names the peer and the cause.
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

// Mesh holds one link to each other entry process of the roster.
type Mesh struct {
	self     wire.Hello
	roster   map[fleet.EntryHostID]string
	log      *slog.Logger
	client   *http.Client
	scheme   string
	sent     traffic
	received traffic

	// open meshes accept links from peers that are not in the roster yet.
	open bool

	mu        sync.Mutex
	links     map[fleet.EntryHostID]*link
	dialling  map[fleet.EntryHostID]dialled
	handlers  []Handler
	observers []func(peer fleet.EntryHostID, up bool)
}

// Option changes a [Mesh] under construction.
type Option func(*Mesh)

// WithClient sets the HTTP client for outgoing links and the URL scheme, "ws" or "wss".
func WithClient(c *http.Client, scheme string) Option {
	return func(m *Mesh) { m.client, m.scheme = c, scheme }
}

// WithMetrics counts messages and bytes in both directions.
func WithMetrics(r metrics.Registry) Option {
	return func(m *Mesh) { m.sent, m.received = newTraffic("sent", r), newTraffic("received", r) }
}

// WithOpenRoster accepts links from peers that have not been added with [Mesh.Join] yet.
func WithUnlistedPeers() Option {
	return func(m *Mesh) { m.open = true }
}

// dialled is a peer that this process dials until stop is called.
type dialled struct {
	address string
	stop    context.CancelFunc
}

// traffic counts the messages of one direction.
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

// New returns a mesh for the process self; roster gives the address "ip:port" of every entry host, its own included.
func New(self wire.Hello, roster map[fleet.EntryHostID]string, log *slog.Logger, opts ...Option) *Mesh {
	m := &Mesh{
		self:   self,
		roster: roster,
		log:    log,
		client: &http.Client{},
		scheme: "ws",
		links:  make(map[fleet.EntryHostID]*link),

		dialling: make(map[fleet.EntryHostID]dialled),

		sent:     newTraffic("sent", metrics.NewRegistry()),
		received: newTraffic("received", metrics.NewRegistry()),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Handle adds a handler; the first one that returns an answer to a call wins. It is called before [Mesh.Run].
func (m *Mesh) AddHandler(h Handler) {
	m.handlers = append(m.handlers, h)
}

// OnChange adds a function that is called when a link comes up or goes down. It is called before [Mesh.Run].
func (m *Mesh) OnLinkChange(f func(peer fleet.EntryHostID, up bool)) {
	m.observers = append(m.observers, f)
}

func (m *Mesh) notify(peer fleet.EntryHostID, up bool) {
	for _, f := range m.observers {
		f(peer, up)
	}
}

// Up lists the peers with a working link in ascending order.
func (m *Mesh) LinkedPeers() []fleet.EntryHostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.links))
}

// Send passes a one-way message to a peer; delivery is not confirmed. Its error is a [*LinkError].
func (m *Mesh) Send(to fleet.EntryHostID, msg wire.Message) error {
	l := m.link(to)
	if l == nil {
		return &LinkError{Peer: to, NotSent: true, Cause: errNoLink}
	}
	return l.send(wire.Envelope{Message: msg})
}

// Broadcast passes a one-way message to every peer with a working link.
func (m *Mesh) Broadcast(msg wire.Message) {
	for _, to := range m.LinkedPeers() {
		if err := m.Send(to, msg); err != nil {
			m.log.Warn("peers: message dropped", "peer", to, "error", err)
		}
	}
}

// Call passes a message to a peer and waits for its answer until ctx ends. Its error is a [*LinkError].
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

// Run dials the peers with a greater name than this process until ctx ends; the others dial this one.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for peer, address := range m.roster {
		if peer > m.self.EntryHost {
			wg.Go(func() { m.dialLoop(ctx, peer, address) })
		}
	}
	wg.Wait()
}

// Join adds a peer, or changes its address, and keeps a link to it until ctx ends or [Mesh.Leave]. The process with the
// lesser name dials.
func (m *Mesh) AddPeer(ctx context.Context, peer fleet.EntryHostID, address string) {
	if peer <= m.self.EntryHost {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, known := m.dialling[peer]; known {
		if old.address == address {
			return
		}
		old.stop()
	}
	ctx, stop := context.WithCancel(ctx)
	m.dialling[peer] = dialled{address: address, stop: stop}
	go m.dialLoop(ctx, peer, address)
}

// Leave gives up dialling a peer; an open link stays until it breaks.
func (m *Mesh) RemovePeer(peer fleet.EntryHostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, known := m.dialling[peer]; known {
		old.stop()
		delete(m.dialling, peer)
	}
}

// Close breaks every link; peers that are still running link up again.
func (m *Mesh) Close() {
	m.mu.Lock()
	links := slices.Collect(maps.Values(m.links))
	m.mu.Unlock()
	for _, l := range links {
		l.stop()
	}
}

func (m *Mesh) dialLoop(ctx context.Context, peer fleet.EntryHostID, address string) {
	wait := redialMin
	for ctx.Err() == nil {
		started := time.Now()
		err := m.dial(ctx, peer, address)
		if ctx.Err() != nil {
			return
		}
		m.log.Debug("peers: link ended", "peer", peer, "error", err)
		if time.Since(started) > redialMax {
			wait = redialMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, redialMax)
	}
}

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

// ServeHTTP accepts a link from a peer.
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

// serve runs one link until it breaks; expect names the peer that was dialled, or is empty for an accepted link.
func (m *Mesh) serve(ctx context.Context, conn *websocket.Conn, expect fleet.EntryHostID) error {
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMessageBytes)
	peer, err := m.exchangeHello(ctx, conn)
	if err != nil {
		return err
	}
	if _, known := m.roster[peer.EntryHost]; !(known || m.open) || (expect != "" && peer.EntryHost != expect) {
		return fmt.Errorf("unexpected peer %q", peer.EntryHost)
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		mesh: m, peer: peer.EntryHost, conn: conn, stop: cancel,
		out: make(chan []byte, sendQueue), done: ctx.Done(), pending: make(map[uint64]chan wire.Message),
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

func (m *Mesh) register(l *link) {
	m.mu.Lock()
	old := m.links[l.peer]
	m.links[l.peer] = l
	m.mu.Unlock()
	if old != nil {
		old.stop()
	}
	m.notify(l.peer, true)
}

func (m *Mesh) unregister(l *link) {
	m.mu.Lock()
	current := m.links[l.peer] == l
	if current {
		delete(m.links, l.peer)
	}
	m.mu.Unlock()
	if current {
		m.notify(l.peer, false)
	}
}

func (m *Mesh) dispatch(ctx context.Context, from fleet.EntryHostID, msg wire.Message) wire.Message {
	for _, h := range m.handlers {
		if answer := h(ctx, from, msg); answer != nil {
			return answer
		}
	}
	return nil
}
