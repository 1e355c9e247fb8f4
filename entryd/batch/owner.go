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

const inboxPrefix = "inbox/"

func (r *Runtime) stepLease(now time.Time, ev lease.Event) {
	r.performLease(now, r.lease.Step(now, ev))
	r.budget.SetSessionEnd(r.lease.ValidUntil())
	if snapshot, ok := ev.(lease.Snapshot); ok && snapshot.OK {
		r.budget.SetMemberCount(len(r.lease.Members()))
	}
}

// spawnSession runs a store call that maintains the session or the ownership of partitions. The budget admits such
// calls before all others.
func (r *Runtime) spawnSession(call func(ctx context.Context)) {
	r.spawn(storeTimeout, func(ctx context.Context) { call(budget.WithPriority(ctx, budget.PrioritySession)) })
}

func (r *Runtime) deliverLeaseEvent(ev lease.Event) {
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
				r.warnOnError("lease: no session granted", err)
				r.deliverLeaseEvent(lease.Granted{ID: id, SentAt: sent})
			})
		case lease.KeepAlive:
			r.spawnSession(func(ctx context.Context) {
				sent := time.Now()
				left, err := r.Store.KeepAlive(ctx, e.ID)
				r.warnOnError("lease: session not renewed", err)
				r.deliverLeaseEvent(lease.KeptAlive{ID: e.ID, SentAt: sent, TTL: left, OK: err == nil})
			})
		case lease.Register:
			r.spawnSession(func(ctx context.Context) {
				_, err := r.Store.Txn(ctx, e.Txn)
				r.warnOnError("lease: process not registered", err)
				r.deliverLeaseEvent(lease.Registered{ID: e.ID, OK: err == nil})
			})
		case lease.Refresh:
			r.spawnSession(r.refreshOwners)
		case lease.Claim:
			r.spawnSession(func(ctx context.Context) {
				result, err := r.Store.Txn(ctx, e.Txn)
				r.warnOnError("lease: claim of partition "+string(e.Partition)+" not confirmed", err)
				r.deliverLeaseEvent(lease.ClaimDone{Partition: e.Partition, Owner: e.Owner, Committed: result.Committed, OutcomeKnown: err == nil})
			})
		case lease.Release:
			r.spawnSession(func(ctx context.Context) {
				_, err := r.Store.Txn(ctx, e.Txn)
				r.warnOnError("lease: release of partition "+string(e.Partition)+" not confirmed", err)
				r.deliverLeaseEvent(lease.ReleaseDone{Partition: e.Partition, Epoch: e.Epoch, OutcomeKnown: err == nil})
			})
		case lease.Gained:
			r.startRecovery(e)
		case lease.Lost:
			r.Log.Info("lease: partition lost", "partition", e.Partition, "epoch", e.Epoch, "reason", e.Reason)
			r.dropPartition(e.Partition, e.Epoch)
		case lease.StepDown:
			r.prepareRelease(now, e)
		}
	}
}

func (r *Runtime) warnOnError(text string, err error) {
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
	r.warnOnError("lease: owners not read", err)
	r.deliverLeaseEvent(ev)
}

// startRecovery reads the ledger of a claimed partition. Until that is done, the state machine of an earlier epoch
// keeps renewing the leases of running tasks.
func (r *Runtime) startRecovery(e lease.Gained) {
	r.Log.Info("lease: partition gained", "partition", e.Partition, "epoch", e.Epoch, "handover", e.Handover)
	if r.recoveryEpochs[e.Partition] >= e.Epoch {
		return
	}
	r.recoveryEpochs[e.Partition] = e.Epoch
	ctx := r.ctx
	r.wg.Go(func() { r.recoverPartition(ctx, e) })
}

func (r *Runtime) recoverPartition(ctx context.Context, e lease.Gained) {
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
		if err != nil && !r.retryRecovery(ctx, e, err) {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil || r.recoveryEpochs[e.Partition] != e.Epoch {
		return
	}
	delete(r.recoveryEpochs, e.Partition)
	r.installPartition(e, read)
	r.Log.Info("lease: partition recovered", "partition", e.Partition, "epoch", e.Epoch,
		"records", len(read.Records()), "store_calls", calls, "took", time.Since(started))
}

// retryRecovery waits after a failed read and reports whether to try again. It ends the recovery of a partition that
// has another owner or whose ledger is unreadable.
func (r *Runtime) retryRecovery(ctx context.Context, e lease.Gained, err error) bool {
	r.warnOnError("lease: ledger of partition "+string(e.Partition)+" not read", err)
	var lost *ledger.OwnershipLostError
	var format *ledger.FormatError
	var incomplete *ledger.IncompleteSnapshotError
	if errors.As(err, &lost) || errors.As(err, &format) || errors.As(err, &incomplete) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.recoveryEpochs[e.Partition] == e.Epoch {
			delete(r.recoveryEpochs, e.Partition)
			r.stepLease(time.Now(), lease.EpochSuperseded{Partition: e.Partition, Epoch: e.Epoch})
		}
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(storeRetryDelay):
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recoveryEpochs[e.Partition] == e.Epoch
}

// installPartition builds the state machine of a partition from the recovered ledger. It replaces the one of an earlier
// epoch, if there is one.
func (r *Runtime) installPartition(e lease.Gained, read *ledger.Recovery) {
	now := time.Now()
	old := r.ownedPartitions[e.Partition]
	continues := e.Handover == lease.HandoverSelf && old != nil
	r.dropPartition(e.Partition, 0)
	p := &ownedPartition{id: e.Partition, epoch: e.Epoch, ownerValue: e.OwnerValue, snapshotHead: read.Head()}
	p.machine = jobs.New(e.Partition, e.Epoch, r.newPlacer())
	p.machine.Recover(now, read.Records(), continues || e.Handover == lease.HandoverClean, r.outageHorizon)
	if continues {
		p.machine.Continue(now, old.machine)
	}
	r.ownedPartitions[e.Partition] = p
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
		r.stepJobs(now, p, r.configUpdate(doc, p.id))
	}
	r.nextQuotaUpdate = now
}

// dropPartition removes a partition and fails its pending calls. Epoch zero matches any epoch.
func (r *Runtime) dropPartition(id fleet.PartitionID, epoch fleet.Epoch) {
	if r.recoveryEpochs[id] == epoch {
		delete(r.recoveryEpochs, id)
	}
	p := r.ownedPartitions[id]
	if p == nil || (epoch != 0 && p.epoch != epoch) {
		return
	}
	delete(r.ownedPartitions, id)
	r.ledger.Step(time.Now(), ledger.Close{Partition: id})
	r.failCalls(id)
}

// prepareRelease stops changes to a partition and releases it once its pending records are committed. For a drain it
// also stops renewals and waits for the pending ones.
func (r *Runtime) prepareRelease(now time.Time, e lease.StepDown) {
	p := r.ownedPartitions[e.Partition]
	if p == nil || p.epoch != e.Epoch {
		if e.Drain {
			r.dropPartition(e.Partition, e.Epoch)
			r.performLease(now, r.lease.Relinquish(e.Partition, e.Epoch, false))
		}
		return
	}
	if p.renewalsStopped || (p.releasing && !e.Drain) || (!e.Drain && !p.machine.CanHandOver()) {
		return
	}
	r.Log.Info("lease: releasing partition", "partition", e.Partition, "epoch", e.Epoch, "reason", e.Reason)
	p.releasing, p.renewalsStopped = true, e.Drain
	r.spawn(releaseTimeout+agentTimeout, func(ctx context.Context) {
		for ctx.Err() == nil && !r.idle(p) {
			select {
			case <-ctx.Done():
			case <-time.After(drainPollInterval):
			}
		}
		r.release(p)
	})
}

// release offers a partition to another process. For a drain it removes the partition and relinquishes its ownership
// at once.
func (r *Runtime) release(p *ownedPartition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownedPartitions[p.id] != p {
		return
	}
	if !p.renewalsStopped {
		r.performLease(time.Now(), r.lease.Offer(p.id, p.epoch))
		return
	}
	settled := p.machine.RecoveryComplete() && p.pendingRenewals == 0
	r.dropPartition(p.id, p.epoch)
	r.performLease(time.Now(), r.lease.Relinquish(p.id, p.epoch, settled))
}

// idle reports whether a partition under release has no pending records and, if renewals are stopped, no pending
// renewals.
func (r *Runtime) idle(p *ownedPartition) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Pending(p.id) == 0 && (p.pendingRenewals == 0 || !p.renewalsStopped)
}

// watchLoop reads a prefix and then watches it, and starts again whenever the watch ends. The next read finds changes
// that the watch missed.
func (r *Runtime) watchLoop(ctx context.Context, prefix string, observe func(all bool, changes []store.Change)) {
	for ctx.Err() == nil {
		err := r.watchOnce(ctx, prefix, observe)
		if ctx.Err() == nil {
			r.Log.Warn("lease: watch ended", "prefix", prefix, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
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

func (r *Runtime) ownersChanged(bool, []store.Change) { r.deliverLeaseEvent(lease.OwnersChanged{}) }

func (r *Runtime) inboxChanged(all bool, changes []store.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if all {
		clear(r.inbox)
	}
	for _, c := range changes {
		if c.Deleted {
			delete(r.inbox, c.Entry.Key)
			continue
		}
		record, err := ledger.DecodeRecord(c.Entry.Key, c.Entry.Value)
		job, ok := record.(ledger.JobSubmitted)
		end := strings.LastIndexByte(c.Entry.Key, '/')
		if err != nil || !ok {
			r.Log.Error("jobs: inbox entry ignored", "key", c.Entry.Key, "error", err)
			continue
		}
		p := fleet.PartitionID(strings.TrimPrefix(c.Entry.Key[:end], inboxPrefix))
		r.inbox[c.Entry.Key] = inboxEntry{partition: p, revision: c.Entry.ModRevision, job: job}
	}
}

// deliverInbox passes the inbox entries of a partition to its state machine.
func (r *Runtime) deliverInbox(now time.Time, p *ownedPartition) {
	for key, entry := range r.inbox {
		if entry.partition == p.id {
			r.stepJobs(now, p, jobs.JobReceived{Key: key, Revision: entry.revision, Job: entry.job})
		}
	}
}

func (r *Runtime) discardInboxEntry(e jobs.DiscardInboxEntry) {
	entry := r.inbox[e.Key]
	if entry.discarding {
		return
	}
	entry.discarding = true
	r.inbox[e.Key] = entry
	r.spawn(storeTimeout, func(ctx context.Context) {
		_, err := r.Store.Txn(budget.WithPriority(ctx, budget.PriorityLedger), store.Txn{
			If:   []store.Compare{store.KeyUnchanged{Key: e.Key, ModRevision: e.Revision}},
			Then: []store.Op{store.Delete{Key: e.Key}},
		})
		r.warnOnError("jobs: inbox entry not deleted", err)
		r.mu.Lock()
		defer r.mu.Unlock()
		entry := r.inbox[e.Key]
		switch {
		case entry.revision != e.Revision:
		case err == nil:
			delete(r.inbox, e.Key)
		default:
			entry.discarding = false
			r.inbox[e.Key] = entry
		}
	})
}
