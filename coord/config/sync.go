package config

import (
	"time"

	"lovagefork.example/coord/store"
)

// Timing of the store reads. The head key is polled even while the watch reports no error, because a watch on a
// half-open connection delivers nothing and reports no error either. The poll interval allows one failed call within
// the 9 s in which an accepted change must be in effect everywhere.
const (
	pollInterval = 3 * time.Second
	// watchLagTimeout is the time that a watch may lag behind the head key before it counts as broken.
	watchLagTimeout = time.Second
	pageLimit       = 100
)

// storeSync is the state of reading from the store. All changes up to syncedRevision have been processed.
type storeSync struct {
	syncedRevision store.Revision
	loaded         bool
	reading        bool
	nextPollAt     time.Time
	// watchID numbers the latest watch; watching is false once it has ended.
	watchID        uint64
	watching       bool
	watchStartedAt time.Time
	// undeliveredHead is a head revision that the watch had not delivered yet when the head key was read; zero if none.
	undeliveredHead store.Revision
	// pageRevision is the store revision of the first page of the load in progress, or zero before it.
	pageRevision store.Revision
}

func (m *Machine) pollStore(now time.Time) []Effect {
	s := &m.store
	if s.reading || now.Before(s.nextPollAt) {
		return nil
	}
	s.reading = true
	return []Effect{ReadHead{Get: store.Get{Key: HeadKey}}}
}

func (m *Machine) headRead(now time.Time, ev HeadRead) []Effect {
	s := &m.store
	if ev.Err != nil {
		return m.pollFailed(now)
	}
	var head store.Revision
	for _, e := range ev.Result.Entries {
		head = e.ModRevision
	}
	behind := head > s.syncedRevision
	switch {
	case !s.loaded, behind && !s.watching, behind && s.undeliveredHead > s.syncedRevision:
		s.pageRevision = 0
		return []Effect{readPage("")}
	case behind:
		s.undeliveredHead = head
		s.reading = false
		s.nextPollAt = now.Add(watchLagTimeout)
		return nil
	}
	s.syncedRevision = max(s.syncedRevision, ev.Result.Revision)
	return m.pollDone(now, !s.watching)
}

func readPage(after string) Effect {
	return ReadPage{Get: store.Get{Key: CustomersPrefix, Prefix: true, After: after, Limit: pageLimit}}
}

func (m *Machine) pageRead(now time.Time, ev PageRead) []Effect {
	s := &m.store
	if ev.Err != nil {
		return m.pollFailed(now)
	}
	effects := m.applyEntries(ev.Result.Entries, SourceRead)
	if s.pageRevision == 0 {
		s.pageRevision = ev.Result.Revision
	}
	if n := len(ev.Result.Entries); ev.Result.More && n > 0 {
		return append(effects, readPage(ev.Result.Entries[n-1].Key))
	}
	// The pages are read one after the other, so only changes up to the revision of the first are certain to be included.
	s.syncedRevision = max(s.syncedRevision, s.pageRevision)
	s.loaded = true
	return append(effects, m.pollDone(now, true)...)
}

func (m *Machine) pollFailed(now time.Time) []Effect {
	m.store.reading = false
	m.store.nextPollAt = now.Add(pollInterval)
	return nil
}

// pollDone ends a successful poll, and starts a new watch if startWatch is set.
func (m *Machine) pollDone(now time.Time, startWatch bool) []Effect {
	s := &m.store
	s.reading = false
	s.undeliveredHead = 0
	s.nextPollAt = now.Add(pollInterval)
	if !startWatch {
		return nil
	}
	s.watchID++
	s.watching = true
	s.watchStartedAt = now
	return []Effect{StartWatch{WatchID: s.watchID, Prefix: CustomersPrefix, After: s.syncedRevision}}
}

func (m *Machine) watchChanged(ev WatchChanged) []Effect {
	s := &m.store
	if ev.WatchID != s.watchID {
		return nil
	}
	s.syncedRevision = max(s.syncedRevision, ev.Revision)
	var entries []store.Entry
	for _, c := range ev.Changes {
		if !c.Deleted {
			entries = append(entries, c.Entry)
		}
	}
	return m.applyEntries(entries, SourceWatch)
}

// watchEnded schedules the next poll: at once if the watch lasted for at least the poll interval, and otherwise one
// interval after its start, so that a watch that fails at once is not restarted in a tight loop.
func (m *Machine) watchEnded(now time.Time, ev WatchEnded) []Effect {
	s := &m.store
	if ev.WatchID != s.watchID || !s.watching {
		return nil
	}
	s.watching = false
	s.nextPollAt = now
	if earliest := s.watchStartedAt.Add(pollInterval); earliest.After(now) {
		s.nextPollAt = earliest
	}
	return nil
}

// Loaded reports whether all documents in the store have been read at least once.
func (m *Machine) Loaded() bool { return m.store.loaded }

// Watching reports whether a watch on the store has been started and has not ended.
func (m *Machine) Watching() bool { return m.store.watching }
