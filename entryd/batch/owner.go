package batch

import (
	"context"
	"errors"
	"strings"
	"time"

	"lovagefork.example/coord/budget"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/lease"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/store"
)

const inboxRoot = "inbox/"

func (r *Runtime) stepLease(now time.Time, ev lease.Event) {
	r.performLease(now, r.lease.Step(now, ev))
	r.budget.SetSessionEnd(r.lease.ValidUntil())
	if snapshot, ok := ev.(lease.Snapshot); ok && snapshot.OK {
		r.budget.SetMemberCount(len(r.lease.Members()))
	}
}

// spawnSession runs a store call that keeps the session or the ownership of partitions, before all other calls.
func (r *Runtime) spawnSession(call func(ctx context.Context)) {
	r.spawn(storeTimeout, func(ctx context.Context) { call(budget.WithPriority(ctx, budget.PrioritySession)) })
}

func (r *Runtime) leaseEvent(ev lease.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLease(time.Now(), ev)
}

func (r *Runtime) performLease(now time.Time, effects []lease.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case lease.Grant:
			r.spawnSession(func(ctx context.Context) {
				sent := time.Now()
				id, err := r.Store.Grant(ctx, lease.TTL)
				r.warn("lease: no session granted", err)
				r.leaseEvent(lease.Granted{ID: id, SentAt: sent})
			})
		case lease.KeepAlive:
			r.spawnSession(func(ctx context.Context) {
				sent := time.Now()
				left, err := r.Store.KeepAlive(ctx, e.ID)
				r.warn("lease: session not renewed", err)
				r.leaseEvent(lease.KeptAlive{ID: e.ID, SentAt: sent, TTL: left, OK: err == nil})
			})
		case lease.Register:
			r.spawnSession(func(ctx context.Context) {
				_, err := r.Store.Txn(ctx, e.Txn)
				r.warn("lease: process not registered", err)
				r.leaseEvent(lease.Registered{ID: e.ID, OK: err == nil})
			})
		case lease.Refresh:
			r.spawnSession(r.refreshOwners)
		case lease.Claim:
			r.spawnSession(func(ctx context.Context) {
				result, err := r.Store.Txn(ctx, e.Txn)
				r.warn("lease: claim of partition "+string(e.Partition)+" unclear", err)
				r.leaseEvent(lease.ClaimDone{Partition: e.Partition, Owner: e.Owner, Committed: result.Committed, OutcomeKnown: err == nil})
			})
		case lease.Release:
			r.spawnSession(func(ctx context.Context) {
				_, err := r.Store.Txn(ctx, e.Txn)
				r.warn("lease: release of partition "+string(e.Partition)+" unclear", err)
				r.leaseEvent(lease.ReleaseDone{Partition: e.Partition, Epoch: e.Epoch, OutcomeKnown: err == nil})
			})
		case lease.Gained:
			r.gained(e)
		case lease.Lost:
			r.Log.Info("lease: partition lost", "partition", e.Partition, "epoch", e.Epoch, "reason", e.Reason)
			r.drop(e.Partition, e.Epoch)
		case lease.StepDown:
			r.stepDown(now, e)
		}
	}
}

func (r *Runtime) warn(text string, err error) {
	if err != nil {
		r.Log.Warn(text, "error", err)
	}
}

func (r *Runtime) refreshOwners(ctx context.Context) {
	result, err := r.Store.Txn(ctx, store.Txn{Then: []store.Op{
		store.Get{Key: lease.MembersPrefix, Prefix: true},
		store.Get{Key: lease.PartitionsPrefix, Prefix: true},
	}})
	ev := lease.Snapshot{OK: err == nil}
	for _, entries := range result.Reads {
		ev.Entries = append(ev.Entries, entries...)
	}
	r.warn("lease: owners not read", err)
	r.leaseEvent(ev)
}

// gained reads the ledger of a partition. A machine of an earlier epoch keeps renewing running tasks until then.
func (r *Runtime) gained(e lease.Gained) {
	r.Log.Info("lease: partition gained", "partition", e.Partition, "epoch", e.Epoch, "handover", e.Handover)
	if r.recovering[e.Partition] >= e.Epoch {
		return
	}
	r.recovering[e.Partition] = e.Epoch
	ctx := r.ctx
	r.wg.Go(func() { r.recover(ctx, e) })
}

func (r *Runtime) recover(ctx context.Context, e lease.Gained) {
	started := time.Now()
	calls := 0
	read := ledger.NewRecovery(e.Partition, lease.OwnerKey(e.Partition), e.OwnerValue)
	for ctx.Err() == nil {
		txn, more := read.Next()
		if !more {
			break
		}
		calls++
		callCtx, cancel := context.WithTimeout(budget.WithPriority(ctx, budget.PriorityRecovery), readTimeout)
		result, err := r.Store.Txn(callCtx, txn)
		cancel()
		if err == nil {
			err = read.Feed(result)
		}
		if err != nil && !r.recoverAgain(ctx, e, err) {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil || r.recovering[e.Partition] != e.Epoch {
		return
	}
	delete(r.recovering, e.Partition)
	r.install(e, read)
	r.Log.Info("lease: partition recovered", "partition", e.Partition, "epoch", e.Epoch,
		"records", len(read.Records()), "store_calls", calls, "took", time.Since(started))
}

// recoverAgain reports whether a failed read is worth another try; a partition with another owner or an unreadable
// ledger is given up.
func (r *Runtime) recoverAgain(ctx context.Context, e lease.Gained, err error) bool {
	r.warn("lease: ledger of partition "+string(e.Partition)+" not read", err)
	var lost *ledger.OwnershipLostError
	var format *ledger.FormatError
	var incomplete *ledger.IncompleteSnapshotError
	if errors.As(err, &lost) || errors.As(err, &format) || errors.As(err, &incomplete) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.recovering[e.Partition] == e.Epoch {
			delete(r.recovering, e.Partition)
			r.stepLease(time.Now(), lease.EpochSuperseded{Partition: e.Partition, Epoch: e.Epoch})
		}
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(recoverRetry):
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recovering[e.Partition] == e.Epoch
}

// install replaces the machine of an earlier epoch, if there is one, by the recovered one.
func (r *Runtime) install(e lease.Gained, read *ledger.Recovery) {
	now := time.Now()
	old := r.parts[e.Partition]
	clean := e.Handover == lease.HandoverClean
	if e.Handover == lease.HandoverSelf {
		clean = old != nil && old.machine.RecoveryComplete()
	}
	r.drop(e.Partition, 0)
	p := &part{id: e.Partition, epoch: e.Epoch, ownerValue: e.OwnerValue, head: read.Head()}
	p.machine = jobs.New(e.Partition, e.Epoch, r.newPlacer())
	p.machine.Recover(now, read.Records(), clean, r.horizon)
	r.parts[e.Partition] = p
	r.stepLedger(now, ledger.Open{
		Partition: e.Partition, Epoch: e.Epoch, OwnerKey: lease.OwnerKey(e.Partition), OwnerValue: e.OwnerValue,
		Next: read.NextSequence(),
	})
	r.stepJobs(now, p, jobs.Capacities{Workers: r.capacities()})
	for _, w := range r.workers {
		if fleet.PartitionOf(w, r.PartitionsPerZone) == p.id {
			r.stepJobs(now, p, jobs.WorkerListed{Worker: w})
		}
	}
	for _, doc := range r.configs {
		r.stepJobs(now, p, r.configured(doc, p.id))
	}
	r.nextShare = now
}

// drop forgets a partition; epoch zero matches any.
func (r *Runtime) drop(id fleet.PartitionID, epoch fleet.Epoch) {
	if r.recovering[id] == epoch {
		delete(r.recovering, id)
	}
	p := r.parts[id]
	if p == nil || (epoch != 0 && p.epoch != epoch) {
		return
	}
	delete(r.parts, id)
	r.ledger.Step(time.Now(), ledger.Close{Partition: id})
	r.failCalls(id)
}

// stepDown prepares the release of a partition: records under way are finished first, and for a drain renewals as well.
func (r *Runtime) stepDown(now time.Time, e lease.StepDown) {
	p := r.parts[e.Partition]
	if p == nil || p.epoch != e.Epoch {
		if e.Drain {
			r.drop(e.Partition, e.Epoch)
			r.performLease(now, r.lease.Relinquish(e.Partition, e.Epoch, false))
		}
		return
	}
	if p.silent || (p.stepping && !e.Drain) || (!e.Drain && !p.machine.CanHandOver()) {
		return
	}
	r.Log.Info("lease: partition is given up", "partition", e.Partition, "epoch", e.Epoch, "reason", e.Reason)
	p.stepping, p.silent = true, e.Drain
	r.spawn(releaseTimeout+agentTimeout, func(ctx context.Context) {
		for ctx.Err() == nil && !r.idle(p) {
			select {
			case <-ctx.Done():
			case <-time.After(drainPoll):
			}
		}
		r.release(p)
	})
}

func (r *Runtime) release(p *part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parts[p.id] != p {
		return
	}
	if !p.silent {
		r.performLease(time.Now(), r.lease.Offer(p.id, p.epoch))
		return
	}
	settled := p.machine.RecoveryComplete() && p.renewals == 0
	r.drop(p.id, p.epoch)
	r.performLease(time.Now(), r.lease.Relinquish(p.id, p.epoch, settled))
}

// idle reports whether a partition that steps down has nothing under way that its release would cut off.
func (r *Runtime) idle(p *part) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Pending(p.id) == 0 && (p.renewals == 0 || !p.silent)
}

// watchLoop reads a prefix and then watches it, again and again; a missed change is found by the next read.
func (r *Runtime) watchLoop(ctx context.Context, prefix string, observe func(all bool, changes []store.Change)) {
	for ctx.Err() == nil {
		err := r.watchOnce(ctx, prefix, observe)
		if ctx.Err() == nil {
			r.Log.Warn("lease: watch ended", "prefix", prefix, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

func (r *Runtime) watchOnce(ctx context.Context, prefix string, observe func(bool, []store.Change)) error {
	readCtx, cancel := context.WithTimeout(budget.WithPriority(ctx, budget.PriorityRecovery), readTimeout)
	defer cancel()
	read, err := r.Store.Range(readCtx, store.Get{Key: prefix, Prefix: true})
	if err != nil {
		return err
	}
	changes := make([]store.Change, 0, len(read.Entries))
	for _, entry := range read.Entries {
		changes = append(changes, store.Change{Entry: entry})
	}
	observe(true, changes)
	return r.Store.Watch(ctx, prefix, read.Revision, func(_ store.Revision, changes []store.Change) {
		observe(false, changes)
	})
}

func (r *Runtime) ownersChanged(bool, []store.Change) { r.leaseEvent(lease.OwnersChanged{}) }

func (r *Runtime) inboxChanged(all bool, changes []store.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if all {
		clear(r.inboxes)
	}
	for _, c := range changes {
		if c.Deleted {
			delete(r.inboxes, c.Entry.Key)
			continue
		}
		record, err := ledger.DecodeRecord(c.Entry.Key, c.Entry.Value)
		job, ok := record.(ledger.JobSubmitted)
		end := strings.LastIndexByte(c.Entry.Key, '/')
		if err != nil || !ok {
			r.Log.Error("jobs: inbox entry ignored", "key", c.Entry.Key, "error", err)
			continue
		}
		p := fleet.PartitionID(strings.TrimPrefix(c.Entry.Key[:end], inboxRoot))
		r.inboxes[c.Entry.Key] = inboxItem{partition: p, job: job}
	}
}

func (r *Runtime) feedInbox(now time.Time, p *part) {
	for key, item := range r.inboxes {
		if item.partition == p.id {
			r.stepJobs(now, p, jobs.JobReceived{Key: key, Job: item.job})
		}
	}
}
