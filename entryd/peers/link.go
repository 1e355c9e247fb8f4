package peers

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/wire"
)

// link is one WebSocket connection to a peer.
type link struct {
	mesh      *Mesh
	peer      fleet.EntryHostID
	conn      *websocket.Conn
	stop      context.CancelFunc
	sendQueue chan []byte
	done      <-chan struct{}

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan wire.Message
}

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

func (l *link) call(ctx context.Context, msg wire.Message) (wire.Message, error) {
	answer := make(chan wire.Message, 1)
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.pending[id] = answer
	l.mu.Unlock()
	defer l.removePending(id)
	if err := l.send(wire.Envelope{ID: id, Message: msg}); err != nil {
		return nil, err
	}
	select {
	case m := <-answer:
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
	delete(l.pending, id)
}

func (l *link) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-l.sendQueue:
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := l.conn.Write(writeCtx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				l.stop()
				return
			}
			l.mesh.sent.add(data)
		}
	}
}

// pingLoop breaks a link whose peer is paused or unreachable, which TCP alone would keep open for minutes.
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

// deliver drops an answer whose call has already timed out.
func (l *link) deliverResponse(e wire.Envelope) {
	l.mu.Lock()
	waiting := l.pending[e.ID]
	delete(l.pending, e.ID)
	l.mu.Unlock()
	if waiting != nil {
		waiting <- e.Message
	}
}

func (l *link) handleCall(ctx context.Context, e wire.Envelope) {
	answer := l.mesh.dispatch(ctx, l.peer, e.Message)
	if answer == nil {
		answer = wire.Failure{Status: 501, Reason: "no handler", NotRun: true}
	}
	if err := l.send(wire.Envelope{ID: e.ID, IsResponse: true, Message: answer}); err != nil {
		l.mesh.log.Warn("peers: answer dropped", "peer", l.peer, "error", err)
	}
}
