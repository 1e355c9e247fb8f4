package leader

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
)

const (
	// handOverCheckInterval is the interval at which a leader asks larger entry hosts to take over.
	handOverCheckInterval = 500 * time.Millisecond
	// repeatedHandOverDelay is how long a leader keeps its leadership after a hand-over that no larger host has taken. It doubles
	// with each further one, up to maxRepeatedHandOvers.
	repeatedHandOverDelay = 2 * time.Second
	maxRepeatedHandOvers  = 6
	// lostLeadershipPause is how long a process that could not keep a leadership takes over no other one.
	lostLeadershipPause = 5 * time.Second
)

// reasonHandedOver is the reason of a leadership that ended for a larger entry host.
const reasonHandedOver = "a larger entry host can take over"

// IneligibleError reports that a process would not take over the leadership.
type IneligibleError struct{ Reason string }

// Error returns the reason.
func (e *IneligibleError) Error() string { return "the process would not take over: " + e.Reason }

// Eligible returns nil if this process would campaign once the leadership with a token ends. It reads the leader from the
// store to show that the store is reachable. Its error is an [*IneligibleError] or that of the store.
func (g *Group) Eligible(ctx context.Context, token infra.Token) error {
	g.mu.Lock()
	resigned, leads, lostAt := g.resigned, g.current != nil, g.lostAt
	g.mu.Unlock()
	switch {
	case resigned:
		return &IneligibleError{Reason: "it is stopping"}
	case leads:
		return &IneligibleError{Reason: "it leads"}
	case !lostAt.IsZero() && Now().Sub(lostAt) < lostLeadershipPause:
		return &IneligibleError{Reason: "it has lost a leadership"}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := g.store.Range(ctx, store.Get{Key: leaderKey})
	if err != nil {
		return err
	}
	if len(found.Entries) == 0 || infra.Token(found.Entries[0].ModRevision) != token {
		return &IneligibleError{Reason: fmt.Sprintf("token %d is not that of the leader", token)}
	}
	return nil
}

// handOver ends a leadership for a larger entry host that would take it, because the scheduler's work grows with the fleet and
// a small host falls behind under load. It asks at once, before the state is read, which takes a small link seconds.
func (g *Group) handOver(ctx context.Context, l *Leadership) {
	if g.askEligible == nil {
		return
	}
	elected, failed := Now(), l.handOvers()
	if failed > 0 {
		sleep(ctx, repeatedHandOverDelay<<(min(failed, maxRepeatedHandOvers)-1))
	}
	for refused := false; ctx.Err() == nil; sleep(ctx, handOverCheckInterval) {
		larger := g.hosts.larger()
		if len(larger) == 0 {
			continue
		}
		to, err := g.findEligible(ctx, larger, l.leader.Token)
		if err != nil && !refused {
			refused = true
			g.log.Info("group: no larger entry host would take over", "token", l.leader.Token, "error", err)
		}
		if err != nil || !l.recordHandOver(ctx, g.log, to.Capacity, failed+1) || !l.LeaseConfirmed() {
			continue
		}
		g.log.Info(
			"group: handing over to a larger entry host", "to", to.ID, "token", l.leader.Token, "after_ms", Now().Sub(elected).Milliseconds(),
			"milli_cpu", g.hosts.own.MilliCPU, "to_milli_cpu", to.Capacity.MilliCPU,
			"link_bits_per_second", g.hosts.own.LinkBitsPerSecond, "to_link_bits_per_second", to.Capacity.LinkBitsPerSecond,
			"earlier_hand_overs", failed,
		)
		l.end(reasonHandedOver)
		return
	}
}

// recordHandOver notes in the record of the election that the leadership is handed over. It does not wait for a store that does
// not answer, since the other host may not reach it either.
func (l *Leadership) recordHandOver(ctx context.Context, log *slog.Logger, to Capacity, handOvers int) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return l.updateRecord(ctx, log, func(r *termRecord) { r.HandOvers, r.Expected = handOvers, to })
}

// findEligible returns the first of some entry hosts that answers that it would take over. Its error is the answer that came last.
func (g *Group) findEligible(ctx context.Context, hosts []Host, token infra.Token) (Host, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	type answer struct {
		host Host
		err  error
	}
	answers := make(chan answer, len(hosts))
	for _, host := range hosts {
		go func() { answers <- answer{host, g.askEligible(ctx, host.ID, token)} }()
	}
	var last error
	for range hosts {
		a := <-answers
		if a.err == nil {
			return a.host, nil
		}
		last = fmt.Errorf("%s: %w", a.host.ID, a.err)
	}
	return Host{}, last
}

// AskEligible calls [Group.Eligible] on an entry host.
type AskEligible func(ctx context.Context, host fleet.EntryHostID, token infra.Token) error

// WithHandOver makes a leader on a small entry host hand over to a larger one that answers that it would take over.
func WithHandOver(ask AskEligible) Option { return func(g *Group) { g.askEligible = ask } }
