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
	workersPace = 250 * time.Millisecond
	// inputsPace is the pause between two reads of new jobs; entry processes also tell of them directly.
	inputsPace = 150 * time.Millisecond
)

// watchInputs follows the jobs and cancellations that entry processes store.
func (l *loop) watchInputs(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.store.Watch(ctx, inputPrefix, l.inputs, func(revision store.Revision, changes []store.Change) {
			l.inputs = revision
			for _, c := range changes {
				if !c.Deleted {
					l.input(c.Entry)
				}
			}
			sleep(ctx, inputsPace)
		})
		if ctx.Err() != nil {
			return
		}
		l.log.Warn("scheduler: watch of jobs ended", "error", err, "after", l.inputs)
		if historyGone(err) {
			l.rereadInputs(ctx)
		}
		sleep(ctx, retryFirst)
	}
}

func historyGone(err error) bool {
	var rejected *store.RejectedError
	return errors.As(err, &rejected) && rejected.Status == http.StatusGone
}

func (l *loop) rereadInputs(ctx context.Context) {
	entries, revision, err := readAll(ctx, l.store, inputPrefix)
	if err != nil {
		l.log.Warn("scheduler: jobs not read again", "error", err)
		return
	}
	for _, e := range entries {
		l.input(e)
	}
	l.inputs = revision
}

func (l *loop) input(e store.Entry) {
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
	l.listed = make(map[fleet.WorkerID]struct{})
	l.badEntry = make(map[string]struct{})
	for ctx.Err() == nil {
		err := l.readWorkers(ctx)
		if err == nil {
			err = l.store.Watch(ctx, l.format.WorkersPrefix(), l.workers, func(revision store.Revision, changes []store.Change) {
				l.workers = revision
				for _, c := range changes {
					l.worker(c)
				}
				sleep(ctx, workersPace)
			})
		}
		if ctx.Err() != nil {
			return
		}
		l.log.Warn("scheduler: watch of workers ended", "error", err)
		sleep(ctx, retryFirst)
	}
}

// readWorkers reads all descriptions and takes note of those that are gone.
func (l *loop) readWorkers(ctx context.Context) error {
	entries, revision, err := readAll(ctx, l.store, l.format.WorkersPrefix())
	if err != nil {
		return err
	}
	gone := make(map[fleet.WorkerID]struct{}, len(l.listed))
	for id := range l.listed {
		gone[id] = struct{}{}
	}
	for _, e := range entries {
		l.worker(store.Change{Entry: e})
		delete(gone, fleet.WorkerID(e.Key[len(l.format.WorkersPrefix()):]))
	}
	for id := range gone {
		l.unlist(id)
	}
	l.workers = revision
	return nil
}

func (l *loop) unlist(id fleet.WorkerID) {
	if _, found := l.listed[id]; found {
		delete(l.listed, id)
		l.post(flow.WorkerUnlisted{Worker: id})
	}
}

func (l *loop) worker(c store.Change) {
	id := fleet.WorkerID(c.Entry.Key[len(l.format.WorkersPrefix()):])
	if c.Deleted {
		l.unlist(id)
		return
	}
	info, err := l.format.Worker(c.Entry.Key, c.Entry.Value)
	if err != nil {
		if _, known := l.badEntry[c.Entry.Key]; !known {
			l.badEntry[c.Entry.Key] = struct{}{}
			l.log.Warn("scheduler: entry names no worker", "key", c.Entry.Key, "error", err)
		}
		l.unlist(id)
		return
	}
	l.listed[info.ID] = struct{}{}
	l.post(flow.WorkerListed{Worker: info})
}
