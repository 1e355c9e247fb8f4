package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/wire"
)

// link is a WebSocket connection to a peer. A call and its response carry the same ID; the ID 0 marks a one-way
// message.
type link struct {
	mesh      *Mesh
	peer      fleet.EntryHostID
	conn      *websocket.Conn
	stop      context.CancelFunc
	sendQueue chan []byte
	done      <-chan struct{}

	mu           sync.Mutex
	nextID       uint64
	pendingCalls map[uint64]chan wire.Message
}

// send queues a message without blocking; its error is a [*LinkError].
func (l *link) send(e wire.Envelope) error {
	data, err := wire.Encode(e)
	if err != nil {
		return &LinkError{Peer: l.peer, NotSent: true, Cause: err}
	}
	select {
	case <-l.done:
		return &LinkError{Peer: l.peer, NotSent: true, Cause: errLinkDown}
	default:
	}
	select {
	case l.sendQueue <- data:
		return nil
	default:
		return &LinkError{Peer: l.peer, NotSent: true, Cause: errQueueFull}
	}
}

// call sends a message and waits for its response until ctx ends or the link breaks; its error is a [*LinkError].
func (l *link) call(ctx context.Context, msg wire.Message) (wire.Message, error) {
	response := make(chan wire.Message, 1)
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.pendingCalls[id] = response
	l.mu.Unlock()
	defer l.removePending(id)
	if err := l.send(wire.Envelope{ID: id, Message: msg}); err != nil {
		return nil, err
	}
	select {
	case m := <-response:
		return m, nil
	case <-ctx.Done():
		return nil, &LinkError{Peer: l.peer, Cause: ctx.Err()}
	case <-l.done:
		return nil, &LinkError{Peer: l.peer, Cause: errLinkDown}
	}
}

func (l *link) removePending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingCalls, id)
}

func (l *link) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-l.sendQueue:
			if err := l.write(ctx, data); err != nil {
				l.stop()
				return
			}
			l.mesh.sent.add(data)
		}
	}
}

// write sends a message in pieces, so that pings and their answers are not held up behind a large one, and fails if a
// piece cannot be sent within [writeTimeout].
func (l *link) write(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(writeTimeout, cancel)
	defer timer.Stop()
	if len(data) <= pieceBytes {
		return l.conn.Write(ctx, websocket.MessageBinary, data)
	}
	w, err := l.conn.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	for piece := range slices.Chunk(data, pieceBytes) {
		if _, err := w.Write(piece); err != nil {
			return err
		}
		timer.Reset(writeTimeout)
	}
	return w.Close()
}

// pingLoop closes the link if its peer is paused or unreachable; TCP alone would keep the connection open for minutes.
func (l *link) pingLoop(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
			err := l.conn.Ping(pingCtx)
			cancel()
			if err != nil {
				l.stop()
				return
			}
		}
	}
}

func (l *link) readLoop(ctx context.Context) error {
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		l.mesh.received.add(data)
		e, err := wire.Decode(data)
		if err != nil {
			return err
		}
		switch {
		case e.IsResponse:
			l.deliverResponse(e)
		case e.ID == 0:
			l.mesh.dispatch(ctx, l.peer, e.Message)
		default:
			go l.handleCall(ctx, e)
		}
	}
}

// deliverResponse passes a response to its call, or drops it if the call has already timed out.
func (l *link) deliverResponse(e wire.Envelope) {
	l.mu.Lock()
	pending := l.pendingCalls[e.ID]
	delete(l.pendingCalls, e.ID)
	l.mu.Unlock()
	if pending != nil {
		pending <- e.Message
	}
}

// handleCall runs the handlers on a call and sends the response.
func (l *link) handleCall(ctx context.Context, e wire.Envelope) {
	response := l.mesh.dispatch(ctx, l.peer, e.Message)
	if response == nil {
		response = wire.Failure{Status: 501, Reason: "no handler", NotRun: true}
	}
	if err := l.send(wire.Envelope{ID: e.ID, IsResponse: true, Message: response}); err != nil {
		l.mesh.log.Warn("peers: response dropped", "peer", l.peer, "error", err)
	}
}
