package leader

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
)

const (
	// workersWatchPause is the pause between two reads of the watch on workers. Each worker writes a heartbeat about
	// once a second, so one read for each heartbeat would cost as many calls a second as there are workers.
	workersWatchPause = 250 * time.Millisecond
	// inputsWatchPause is the pause between two reads of the watch on jobs. Entry processes also announce jobs
	// directly, see [Scheduler.NotifyJob].
	inputsWatchPause = 150 * time.Millisecond
)

// watchInputs posts the jobs and cancellations that entry processes store, until ctx ends.
func (l *loop) watchInputs(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.store.Watch(ctx, inputPrefix, l.inputs.delivered(), func(revision store.Revision, changes []store.Change) {
			for _, c := range changes {
				if !c.Deleted {
					l.applyInput(c.Entry)
				}
			}
			l.inputs.advance(revision)
			sleep(ctx, inputsWatchPause)
		})
		if ctx.Err() != nil {
			return
		}
		l.log.Warn("scheduler: watch of jobs ended", "error", err, "after", l.inputs.delivered())
		if isCompacted(err) {
			l.reloadInputs(ctx)
		}
		sleep(ctx, retryMinDelay)
	}
}

// isCompacted reports whether a watch failed because the store has compacted its start revision.
func isCompacted(err error) bool {
	var rejected *store.RejectedError
	return errors.As(err, &rejected) && rejected.Status == http.StatusGone
}

func (l *loop) reloadInputs(ctx context.Context) {
	entries, revision, err := readAll(ctx, l.store, inputPrefix)
	if err != nil {
		l.log.Warn("scheduler: reading jobs again failed", "error", err)
		return
	}
	after, posted := l.inputs.delivered(), 0
	for _, e := range entries {
		if l.applyInput(e) {
			posted++
		}
	}
	l.inputs.advance(revision)
	l.log.Info("scheduler: jobs read again", "entries", len(entries), "posted", posted, "after", after, "revision", revision)
}

// applyInput posts a job or a cancellation unless it was posted before, and reports whether it has.
func (l *loop) applyInput(e store.Entry) bool {
	id, cancelled := parseInput(e.Key)
	if cancelled {
		return l.inputs.deliver(e.ModRevision, func() { l.post(flow.CancelRequested{Job: id}) })
	}
	job, err := DecodeJob(e.Value)
	if err != nil {
		l.log.Error("scheduler: cannot decode job", "key", e.Key, "error", err)
		return false
	}
	return l.deliverJob(job, e.ModRevision)
}

// deliverJob posts a job that was stored at a revision unless it was posted before, and reports whether it has. The form of a
// finished job is none.
func (l *loop) deliverJob(j infra.Job, revision store.Revision) bool {
	if flow.IsFinished(j) {
		l.inputs.deliver(revision, func() {})
		return false
	}
	return l.inputs.deliver(revision, func() { l.post(flow.Submitted{Job: j, Revision: int64(revision)}) })
}

// lookUpJobs posts the stored ones of the jobs, and their cancellations, and then the end of the lookup. It returns without
// that only if ctx ends.
func (l *loop) lookUpJobs(ctx context.Context, e flow.LookUpJobs) {
	for _, id := range e.Jobs {
		if !l.lookUpJob(ctx, id) {
			return
		}
	}
	l.post(flow.JobsLookedUp(e))
}

// lookUpJob posts a job and its cancellation if they are stored; it returns false if ctx ends first.
func (l *loop) lookUpJob(ctx context.Context, id fleet.JobID) bool {
	for ; ctx.Err() == nil; sleep(ctx, retryMaxDelay) {
		if !l.leadership.LeaseConfirmed() {
			// A job that was stored since belongs to the scheduler that may have been elected.
			continue
		}
		// A job takes as long as its bytes need; the store's client gives up a read that makes no progress.
		found, err := l.store.Range(ctx, store.Get{Key: JobKey(id), Prefix: true})
		if err != nil {
			l.log.Warn("scheduler: looking a job up failed, will retry", "job", id, "error", err)
			continue
		}
		for _, entry := range found.Entries {
			if entryID, _ := parseInput(entry.Key); entryID == id {
				l.applyInput(entry)
			}
		}
		return true
	}
	return false
}

// watchWorkers posts the registrations of workers and their changes, until ctx ends.
func (l *loop) watchWorkers(ctx context.Context) {
	l.listedWorkers = make(map[fleet.WorkerID]store.Revision)
	l.invalidKeys = make(map[string]struct{})
	for ctx.Err() == nil {
		err := l.readWorkers(ctx)
		if err == nil {
			err = l.store.Watch(ctx, l.format.WorkersPrefix(), l.workersRevision, func(revision store.Revision, changes []store.Change) {
				l.workersRevision = revision
				for _, c := range changes {
					l.applyWorker(c)
				}
				sleep(ctx, workersWatchPause)
			})
		}
		if ctx.Err() != nil {
			return
		}
		l.log.Warn("scheduler: watch of workers ended", "error", err)
		sleep(ctx, retryMinDelay)
	}
}

// readWorkers reads the entries of all workers and removes the workers that no longer have one.
func (l *loop) readWorkers(ctx context.Context) error {
	missing := make(map[fleet.WorkerID]struct{}, len(l.listedWorkers))
	for id := range l.listedWorkers {
		missing[id] = struct{}{}
	}
	// Entries of other writers may be as large as values can be, so that only one page is held at a time.
	revision, err := readPages(ctx, l.store, l.format.WorkersPrefix(), func(page []store.Entry) {
		for _, e := range page {
			l.applyWorker(store.Change{Entry: e})
			delete(missing, fleet.WorkerID(e.Key[len(l.format.WorkersPrefix()):]))
		}
	})
	if err != nil {
		return err
	}
	for id := range missing {
		l.removeWorker(id)
	}
	l.workersRevision = revision
	return nil
}

func (l *loop) removeWorker(id fleet.WorkerID) {
	if _, found := l.listedWorkers[id]; found {
		delete(l.listedWorkers, id)
		l.post(flow.WorkerUnlisted{Worker: id})
	}
}

func (l *loop) applyWorker(c store.Change) {
	id := fleet.WorkerID(c.Entry.Key[len(l.format.WorkersPrefix()):])
	// The watch repeats changes that a read in several pages has already shown.
	if c.Entry.ModRevision < l.listedWorkers[id] {
		return
	}
	if c.Deleted {
		delete(l.invalidKeys, c.Entry.Key)
		l.removeWorker(id)
		return
	}
	info, err := l.format.Worker(c.Entry.Key, c.Entry.Value)
	if err != nil {
		if _, logged := l.invalidKeys[c.Entry.Key]; !logged {
			l.invalidKeys[c.Entry.Key] = struct{}{}
			l.log.Warn("scheduler: cannot decode worker", "key", c.Entry.Key, "error", err)
		}
		l.removeWorker(id)
		return
	}
	l.listedWorkers[info.ID] = c.Entry.ModRevision
	l.post(flow.WorkerListed{Worker: info})
}
