package batch

import (
	"bytes"
	"context"
	"errors"
	"time"

	"lovagefork.example/coord/budget"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/lease"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

var errNotOwner = errors.New("this process does not own the partition at the moment")

func (r *Runtime) permit(now time.Time, p *ownedPartition) jobs.Permit {
	return jobs.Permit{
		Write: !p.ledgerClosed && !p.releasing && r.lease.MayClaimTasks(now, p.id, p.epoch),
		Renew: !p.renewalsStopped && r.lease.MayRenewTasks(now, p.id, p.epoch),
	}
}

func (r *Runtime) stepJobs(now time.Time, p *ownedPartition, ev jobs.Event) {
	p.machine.SetPermit(r.permit(now, p))
	for _, e := range p.machine.Step(now, ev) {
		r.performJobs(now, p, e)
	}
}

// deliverJobsEvent passes the result of a call to the state machine that started the call, unless the partition has
// been lost or reopened since.
func (r *Runtime) deliverJobsEvent(p *ownedPartition, ev jobs.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownedPartitions[p.id] == p {
		r.stepJobs(time.Now(), p, ev)
	}
}

// mayWrite checks the ownership of a partition immediately before a call that changes a worker.
func (r *Runtime) mayWrite(p *ownedPartition) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownedPartitions[p.id] == p && r.permit(time.Now(), p).Write
}

// mayRenew checks immediately before a call that the process may still renew task leases of a partition.
func (r *Runtime) mayRenew(p *ownedPartition) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownedPartitions[p.id] == p && r.permit(time.Now(), p).Renew
}

func (r *Runtime) performJobs(now time.Time, p *ownedPartition, e jobs.Effect) {
	switch e := e.(type) {
	case jobs.Append:
		r.stepLedger(now, ledger.Append{Partition: p.id, Records: e.Records, Ops: e.Ops, Urgent: e.Urgent})
	case jobs.DiscardInboxEntry:
		r.discardInboxEntry(e)
	case jobs.Response:
		r.completeCall(e)
	case jobs.Log:
		r.Log.Info(e.Text, e.Args...)
	case jobs.PublishEndpoints:
		r.publish(e.Endpoints)
	case jobs.Superseded:
		r.Log.Warn("lease: a worker has accepted a later epoch of the partition",
			"partition", p.id, "epoch", p.epoch, "worker", e.Worker)
		r.stepLease(now, lease.EpochSuperseded{Partition: p.id, Epoch: p.epoch})
	default:
		r.sendCommand(p, e)
	}
}

func (r *Runtime) publish(e wire.Endpoints) {
	r.publishedEndpoints[e.Partition] = e
	r.onEndpoints(e)
	r.Peers.Broadcast(e)
}

// sendCommand sends a command to a worker and delivers the result to the state machine.
func (r *Runtime) sendCommand(p *ownedPartition, e jobs.Effect) {
	switch e := e.(type) {
	case jobs.Start:
		r.spawn(agentTimeout, func(ctx context.Context) {
			err := error(&plat.UnreachableError{Worker: e.Worker.ID, Op: "start", Cause: errNotOwner})
			if r.mayWrite(p) {
				err = r.Agent.Start(ctx, e.Worker, e.Start)
			}
			r.deliverJobsEvent(p, jobs.StartDone{Ref: e.Start.TaskRef, Worker: e.Worker.ID, Epoch: e.Start.Epoch, Err: err})
		})
	case jobs.Stop:
		r.spawn(stopTimeout, func(ctx context.Context) {
			err := error(&plat.UnreachableError{Worker: e.Worker.ID, Op: "stop", Cause: errNotOwner})
			var status plat.TaskStatus
			if r.mayWrite(p) {
				status, err = r.Agent.Stop(ctx, e.Worker, e.Epoch, e.Ref, e.Checkpoint)
			}
			r.deliverJobsEvent(p, jobs.StopDone{Ref: e.Ref, Worker: e.Worker.ID, Epoch: e.Epoch, Status: status, Err: err})
		})
	case jobs.Renew:
		p.pendingRenewals++
		r.spawn(agentTimeout, func(ctx context.Context) { r.renew(ctx, p, e) })
	case jobs.ReadStatus:
		r.spawn(agentTimeout, func(ctx context.Context) {
			sent := time.Now()
			err := error(&plat.UnreachableError{Worker: e.Worker.ID, Op: "status", Cause: errNotOwner})
			var status plat.WorkerStatus
			if r.mayRenew(p) {
				status, err = r.Agent.Status(ctx, e.Worker, e.Epoch)
			}
			r.deliverJobsEvent(p, jobs.StatusDone{Worker: e.Worker.ID, Epoch: e.Epoch, SentAt: sent, Status: status, Err: err})
		})
	case jobs.Throttle:
		r.spawn(agentTimeout, func(ctx context.Context) {
			if r.mayWrite(p) {
				r.warnOnError("place: throttle failed", r.Agent.Throttle(ctx, e.Worker, e.Epoch, e.Ref, e.Permille))
			}
		})
	case jobs.Ack:
		r.spawn(agentTimeout, func(ctx context.Context) {
			if r.mayWrite(p) {
				r.warnOnError("jobs: acknowledgement failed", r.Agent.Ack(ctx, e.Worker, e.Epoch, e.Tasks))
			}
		})
	}
}

func (r *Runtime) renew(ctx context.Context, p *ownedPartition, e jobs.Renew) {
	err := error(&plat.UnreachableError{Worker: e.Worker.ID, Op: "renew", Cause: errNotOwner})
	var unknown []plat.TaskRef
	if r.mayRenew(p) {
		unknown, err = r.Agent.Renew(ctx, e.Worker, e.Epoch, jobs.TaskLeaseTTL, e.Tasks)
	}
	r.mu.Lock()
	p.pendingRenewals--
	r.mu.Unlock()
	r.deliverJobsEvent(p, jobs.RenewDone{Worker: e.Worker.ID, Epoch: e.Epoch, Tasks: e.Tasks, Unknown: unknown, Err: err})
}

func (r *Runtime) stepLedger(now time.Time, ev ledger.Event) {
	for _, e := range r.ledger.Step(now, ev) {
		switch e := e.(type) {
		case ledger.Commit:
			r.spawn(storeTimeout, func(ctx context.Context) {
				priority := budget.PriorityLedger
				if e.Urgent {
					priority = budget.PriorityClaims
				}
				result, err := r.Store.Txn(budget.WithPriority(ctx, priority), e.Txn)
				r.warnOnError("jobs: commit not confirmed", err)
				r.mu.Lock()
				defer r.mu.Unlock()
				r.stepLedger(time.Now(), ledger.CommitDone{Result: result, Err: err})
			})
		case ledger.Committed:
			r.handleCommitted(now, e)
		case ledger.OwnershipLost:
			r.closeLedger(now, e.Partition, e.Epoch)
		}
	}
}

func (r *Runtime) handleCommitted(now time.Time, e ledger.Committed) {
	p := r.ownedPartitions[e.Partition]
	if p == nil || p.epoch != e.Epoch {
		return
	}
	r.stepJobs(now, p, jobs.Committed{Records: e.Records})
	if e.SnapshotDue && !p.compacting {
		r.compact(now, p, e.Sequence)
	}
}

// closeLedger stops the commits of a partition whose owner key in the store is missing or has changed. The leases of
// its running tasks are still renewed until the lease machine finds another owner, because a process whose session has
// expired may claim the partition again.
func (r *Runtime) closeLedger(now time.Time, id fleet.PartitionID, epoch fleet.Epoch) {
	r.ledger.Step(now, ledger.Close{Partition: id})
	if p := r.ownedPartitions[id]; p != nil && p.epoch == epoch {
		p.ledgerClosed = true
		r.Log.Warn("lease: store refused a commit", "partition", id, "epoch", epoch)
		r.failCalls(id)
		r.stepLease(now, lease.OwnersChanged{})
	}
}

// compact writes a snapshot of the ledger. A failed snapshot is not repeated, because the log is
// complete without it.
func (r *Runtime) compact(now time.Time, p *ownedPartition, seq uint64) {
	compaction, err := ledger.NewCompaction(p.id, lease.OwnerKey(p.id), p.ownerValue, p.snapshotHead, seq, p.machine.Snapshot(now))
	if err != nil {
		r.Log.Error("jobs: snapshot failed", "partition", p.id, "error", err)
		return
	}
	p.compacting = true
	r.spawn(snapshotAttempts*storeTimeout, func(ctx context.Context) {
		head, err := r.writeSnapshot(ctx, compaction)
		r.warnOnError("jobs: snapshot of partition "+string(p.id)+" not written", err)
		r.mu.Lock()
		defer r.mu.Unlock()
		p.compacting = false
		if head != nil {
			p.snapshotHead = head
		}
		if err == nil {
			r.Log.Info("jobs: snapshot written", "partition", p.id, "sequence", seq, "store_calls", len(compaction.Txns))
		}
	})
}

// writeSnapshot runs the transactions of a compaction and retries those whose outcome is unknown. It returns the head
// entry that the store holds, or nil if that is unknown; with an error, the head may be non-nil as well.
func (r *Runtime) writeSnapshot(ctx context.Context, c ledger.Compaction) ([]byte, error) {
	for _, txn := range c.Txns {
		for {
			result, err := r.Store.Txn(budget.WithPriority(ctx, budget.PriorityRecovery), txn)
			head := storedHead(result)
			if err == nil && (result.Committed || bytes.Equal(head, c.Head)) {
				break
			}
			if err == nil {
				return head, errNotOwner
			}
			select {
			case <-ctx.Done():
				return nil, err
			case <-time.After(storeRetryDelay):
			}
		}
	}
	return c.Head, nil
}

func storedHead(result store.TxnResult) []byte {
	if len(result.Reads) == 0 || len(result.Reads[0]) == 0 {
		return nil
	}
	return result.Reads[0][0].Value
}
