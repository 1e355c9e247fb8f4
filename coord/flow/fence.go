package flow

import "lovagefork.example/coord/infra"

// raiseToken lets the next order to a worker carry a higher token than those before it, so that the life which accepts it rejects
// all calls that were meant for an earlier one. It must stay below the token of any successor; until the store has confirmed the
// leadership at a higher revision, the token remains as it is.
func (m *Machine) raiseToken(w *worker) {
	if w.tokenUsed && w.token < m.maxToken {
		w.token++
		w.tokenUsed = false
	}
}

// isFencedBySuccessor reports whether only a successor can have fenced an order with a token. An order with a lower token than the
// present one was overtaken by an order of this scheduler.
func (m *Machine) isFencedBySuccessor(w *worker, token infra.Token) bool { return token >= w.token }

// hasFenced reports whether the present life of a worker has accepted a higher token than that of a start, which it then rejects.
func (w *worker) hasFenced(r *run) bool { return r.token > 0 && r.token < w.acceptedToken }
