package leader

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/store"
)

// keepRegistered keeps the entry of this process in the store until ctx ends.
func (g *Group) keepRegistered(ctx context.Context) {
	var lease store.LeaseID
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = g.register(ctx)
		} else {
			lease, err = g.renewRegistration(ctx, lease)
		}
		wait := hostRenewInterval
		if err != nil {
			g.log.Warn("group: registration not renewed", "error", err)
			wait = retryMaxDelay
		} else if lease == 0 {
			continue
		}
		sleep(ctx, wait)
	}
}

// register writes the entry of this process under a new lease. The write is conditional, because one without an answer may be
// carried out after the next one, and would tie the entry to a lease that is not renewed.
func (g *Group) register(ctx context.Context) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	key := hostPrefix + string(g.self)
	condition, err := g.unchanged(ctx, key)
	if err != nil {
		return 0, err
	}
	lease, err := g.store.Grant(ctx, hostTTL)
	if err != nil {
		return 0, err
	}
	value, err := cbor.Marshal(hostRecord{Address: g.address, Capacity: g.hosts.own})
	if err != nil {
		return 0, err
	}
	result, err := g.store.Txn(ctx, store.Txn{
		If: []store.Compare{condition}, Then: []store.Op{store.Put{Key: key, Value: value, Lease: lease}},
	})
	if err != nil || !result.Committed {
		return 0, err
	}
	return lease, nil
}

// unchanged returns the condition that a key has not changed since this call.
func (g *Group) unchanged(ctx context.Context, key string) (store.Compare, error) {
	found, err := g.store.Range(ctx, store.Get{Key: key})
	switch {
	case err != nil:
		return nil, err
	case len(found.Entries) == 0:
		return store.KeyAbsent{Key: key}, nil
	}
	return store.KeyUnchanged{Key: key, ModRevision: found.Entries[0].ModRevision}, nil
}

func (g *Group) renewRegistration(ctx context.Context, lease store.LeaseID) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	left, err := g.store.KeepAlive(ctx, lease)
	if err != nil {
		return lease, err
	}
	if left == 0 {
		return 0, nil
	}
	return lease, nil
}
