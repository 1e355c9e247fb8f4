package leader

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/store"
)

const (
	// workersPace is the pause between two reads of the workers' heartbeats, which come about once a second from each: a
	// read for each heartbeat would cost as many calls as there are workers.
	workersWatchPause = 250 * time.Millisecond
	// inputsPace is the pause between two reads of new jobs; entry processes also tell of them directly.
	inputsWatchPause = 150 * time.Millisecond
)

// watchInputs follows the jobs and cancellations that entry processes store.
func (l *loop) watchInputs(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.store.Watch(ctx, inputPrefix, l.inputsRevision, func(revision store.Revision, changes []store.Change) {
			l.inputsRevision = revision
			for _, c := range changes {
				if !c.Deleted {
					l.applyInput(c.Entry)
				}
			}
			sleep(ctx, inputsWatchPause)
		})
		if ctx.Err() != nil {
			return
		}
		l.log.Warn("scheduler: watch of jobs ended", "error", err, "after", l.inputsRevision)
		if isCompacted(err) {
			l.reloadInputs(ctx)
		}
		sleep(ctx, retryMinDelay)
	}
}

func isCompacted(err error) bool {
	var rejected *store.RejectedError
	return errors.As(err, &rejected) && rejected.Status == http.StatusGone
}

func (l *loop) reloadInputs(ctx context.Context) {
	entries, revision, err := readAll(ctx, l.store, inputPrefix)
	if err != nil {
		l.log.Warn("scheduler: jobs not read again", "error", err)
		return
	}
	for _, e := range entries {
		l.applyInput(e)
	}
	l.inputsRevision = revision
}

func (l *loop) applyInput(e store.Entry) {
	id, cancelled := parseInput(e.Key)
	if cancelled {
		l.post(flow.CancelRequested{Job: id})
		return
	}
	job, err := DecodeJob(e.Value)
	if err != nil {
		l.log.Error("scheduler: unreadable job", "key", e.Key, "error", err)
		return
	}
	l.post(flow.Submitted{Job: job})
}

// watchWorkers follows the workers' descriptions of themselves.
func (l *loop) watchWorkers(ctx context.Context) {
	l.listedWorkers = make(map[fleet.WorkerID]struct{})
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

// readWorkers reads all descriptions and takes note of those that are gone.
func (l *loop) readWorkers(ctx context.Context) error {
	entries, revision, err := readAll(ctx, l.store, l.format.WorkersPrefix())
	if err != nil {
		return err
	}
	gone := make(map[fleet.WorkerID]struct{}, len(l.listedWorkers))
	for id := range l.listedWorkers {
		gone[id] = struct{}{}
	}
	for _, e := range entries {
		l.applyWorker(store.Change{Entry: e})
		delete(gone, fleet.WorkerID(e.Key[len(l.format.WorkersPrefix()):]))
	}
	for id := range gone {
		l.removeWorker(id)
	}
	l.workersRevision = revision
	return nil
}

func (l *loop) removeWorker(id fleet.WorkerID) {
	if _, found := l.listedWorkers[id]; found {
		delete(l.listedWorkers, id)
		l.post(flow.WorkerGone{Worker: id})
	}
}

func (l *loop) applyWorker(c store.Change) {
	id := fleet.WorkerID(c.Entry.Key[len(l.format.WorkersPrefix()):])
	if c.Deleted {
		l.removeWorker(id)
		return
	}
	info, err := l.format.Worker(c.Entry.Key, c.Entry.Value)
	if err != nil {
		if _, known := l.invalidKeys[c.Entry.Key]; !known {
			l.invalidKeys[c.Entry.Key] = struct{}{}
			l.log.Warn("scheduler: entry names no worker", "key", c.Entry.Key, "error", err)
		}
		l.removeWorker(id)
		return
	}
	l.listedWorkers[info.ID] = struct{}{}
	l.post(flow.WorkerSeen{Worker: info})
}
