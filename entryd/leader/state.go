package leader

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/store"
)

// load restores the state that earlier leaders and the entry processes stored; it returns false if ctx ends first. The reads
// run in parallel, because a slow store takes 400 ms for each, and the workers' leases are renewed as soon as the roster is
// there, because the jobs can take longer than a lease on a slow link. The reads need no common revision: writes of a
// predecessor are conditional on its leadership, and jobs that callers add are covered by the watch that follows.
func (l *loop) load(ctx context.Context) bool {
	roster, jobs := make(chan flow.RosterRestored, 1), make(chan flow.Restored, 1)
	var reads sync.WaitGroup
	defer reads.Wait()
	reads.Go(func() { l.readRoster(ctx, roster) })
	reads.Go(func() {
		if l.sequenceRevision, _ = l.readKey(ctx, sequenceKey, nil); ctx.Err() == nil {
			close(l.sequenceRead)
		}
	})
	reads.Go(func() { l.readJobs(ctx, jobs) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// The jobs can only be restored after the roster.
	var restored chan flow.Restored
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			l.tick(ctx)
		case r := <-roster:
			l.tick(ctx)
			r.Takeovers = l.leadership.history.takeovers()
			l.handle(ctx, r)
			restored = jobs
		case r := <-restored:
			l.tick(ctx)
			l.handle(ctx, r)
			l.log.Info("scheduler: jobs restored", "jobs", len(r.Jobs), "renewed_leases", l.renewedLeases)
			return true
		case ev := <-l.events:
			l.handleEvent(ctx, ev)
			l.handleQueued(ctx)
		}
	}
	return false
}

// countRenewal counts the renewals that extend a lease, and logs the first one.
func (l *loop) countRenewal(e flow.Renew) {
	if e.Order.Deadline == 0 {
		return
	}
	if l.renewedLeases++; l.renewedLeases == 1 {
		l.log.Info("scheduler: first lease renewed", "worker", e.To.Worker, "after", Now().Sub(l.startedAt))
	}
}

// readRoster reads what leases depend on.
func (l *loop) readRoster(ctx context.Context, out chan<- flow.RosterRestored) {
	restored := flow.RosterRestored{Term: l.leadership.leader.Term}
	_, size := l.readKey(ctx, rosterKey, &restored.Roster)
	if ctx.Err() != nil {
		return
	}
	l.log.Info("scheduler: roster read", "workers", len(restored.Roster), size.attr("roster"))
	out <- restored
}

// readJobs reads the jobs, their progress and the interference models.
func (l *loop) readJobs(ctx context.Context, out chan<- flow.Restored) {
	var restored flow.Restored
	var inputs, records []store.Entry
	var inputsRevision store.Revision
	var inputSize, recordSize, interferenceSize readSize
	var reads sync.WaitGroup
	reads.Go(func() { inputs, inputsRevision, inputSize = l.readPrefix(ctx, inputPrefix) })
	reads.Go(func() { records, _, recordSize = l.readPrefix(ctx, recordPrefix) })
	reads.Go(func() { _, interferenceSize = l.readKey(ctx, interferenceKey, &restored.Interference) })
	reads.Wait()
	if ctx.Err() != nil {
		return
	}
	l.inputs = newDelivery(inputsRevision, inputs)
	progress, parts := l.decodeRecords(records)
	restored.Jobs, restored.Cancelled = l.decodeJobs(inputs, progress, parts)
	for _, orphaned := range parts {
		for _, p := range orphaned {
			restored.OrphanedParts = append(restored.OrphanedParts, p.Key)
		}
	}
	finished := 0
	for _, j := range restored.Jobs {
		if j.Cancelled || j.Record != nil && j.Record.State.Final() {
			finished++
		}
	}
	l.log.Info("scheduler: state read", "jobs", len(restored.Jobs), "finished", finished, "took", Now().Sub(l.startedAt),
		inputSize.attr("inputs"), recordSize.attr("records"), interferenceSize.attr("interference"))
	out <- restored
}

// decodeRecords returns the progress of each job, and its parts.
func (l *loop) decodeRecords(entries []store.Entry) (map[fleet.JobID]*flow.Record, map[fleet.JobID][]flow.PartRecord) {
	records, parts := make(map[fleet.JobID]*flow.Record, len(entries)), make(map[fleet.JobID][]flow.PartRecord)
	for _, e := range entries {
		if key, isPart := parsePart(e.Key); isPart {
			p := flow.PartRecord{Key: key}
			if err := cbor.Unmarshal(e.Value, &p.Part); err != nil {
				l.log.Error("scheduler: cannot decode a part of a record", "key", e.Key, "error", err)
			}
			parts[key.Job] = append(parts[key.Job], p)
			continue
		}
		var record flow.Record
		if err := cbor.Unmarshal(e.Value, &record); err != nil {
			l.log.Error("scheduler: cannot decode record", "key", e.Key, "error", err)
			continue
		}
		records[fleet.JobID(e.Key[len(recordPrefix):])] = &record
	}
	return records, parts
}

// decodeJobs returns the stored jobs with their progress, and the cancellations without a job. It removes the parts of the jobs.
func (l *loop) decodeJobs(
	inputs []store.Entry, records map[fleet.JobID]*flow.Record, parts map[fleet.JobID][]flow.PartRecord,
) ([]flow.StoredJob, []fleet.JobID) {
	cancelled := make(map[fleet.JobID]bool)
	for _, e := range inputs {
		if id, isCancel := parseInput(e.Key); isCancel {
			cancelled[id] = true
		}
	}
	var jobs []flow.StoredJob
	for _, e := range inputs {
		id, isCancel := parseInput(e.Key)
		if isCancel {
			continue
		}
		isCancelled := cancelled[id]
		delete(cancelled, id)
		job, err := DecodeJob(e.Value)
		if err != nil {
			l.log.Error("scheduler: cannot decode job", "key", e.Key, "error", err)
			continue
		}
		jobs = append(jobs, flow.StoredJob{Job: job, Cancelled: isCancelled, Record: records[id], Parts: parts[id]})
		delete(parts, id)
	}
	return jobs, slices.Sorted(maps.Keys(cancelled))
}

// readSize is the size of a read in entries and bytes of their values, and its duration.
type readSize struct {
	entries, bytes int
	took           time.Duration
}

func (s readSize) attr(name string) slog.Attr {
	return slog.Group(name, "entries", s.entries, "bytes", s.bytes, "took", s.took)
}

// add counts entries and the time since the read began.
func (s *readSize) add(entries []store.Entry, began time.Time) {
	s.entries += len(entries)
	for _, e := range entries {
		s.bytes += len(e.Value)
	}
	s.took = Now().Sub(began)
}

// readPrefix reads all entries with a prefix, and returns the revision of the first page, so that a watch from there misses no
// change. A page whose read fails is read again, until ctx ends.
func (l *loop) readPrefix(ctx context.Context, prefix string) (all []store.Entry, revision store.Revision, size readSize) {
	began := Now()
	for after := ""; ctx.Err() == nil; {
		page, err := l.store.Range(ctx, store.Get{Key: prefix, Prefix: true, After: after})
		if err != nil {
			l.log.Warn("scheduler: reading the state failed", "prefix", prefix, "after", after, "error", err)
			sleep(ctx, retryMinDelay)
			continue
		}
		if after == "" {
			revision = page.Revision
		}
		all = append(all, page.Entries...)
		size.add(page.Entries, began)
		if !page.More || len(page.Entries) == 0 {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	return all, revision, size
}

// readKey decodes the value of a key into a variable, if that is not nil, and returns the revision of the key; 0 if
// there is none. A value that cannot be decoded is logged and ignored. A read that fails is repeated until ctx ends.
func (l *loop) readKey(ctx context.Context, key string, into any) (revision store.Revision, size readSize) {
	began := Now()
	for ; ctx.Err() == nil; sleep(ctx, retryMinDelay) {
		found, err := l.store.Range(ctx, store.Get{Key: key})
		if err != nil {
			l.log.Warn("scheduler: reading the state failed", "key", key, "error", err)
			continue
		}
		size.add(found.Entries, began)
		if len(found.Entries) == 0 {
			return 0, size
		}
		e := found.Entries[0]
		if into == nil {
			return e.ModRevision, size
		}
		if err := cbor.Unmarshal(e.Value, into); err != nil {
			l.log.Error("scheduler: cannot decode entry", "key", key, "error", err)
		}
		return e.ModRevision, size
	}
	return 0, size
}
