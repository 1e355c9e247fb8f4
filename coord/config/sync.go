package config

import (
	"time"

	"lovagefork.example/coord/store"
)

// Timing of the store reads. The head is read while the watch seems to work, too: a watch whose connection is half open
// delivers nothing and reports no error. The interval leaves room for one failed call within the 9 s bound.
const (
	pollInterval = 3 * time.Second
	// watchGrace is how long a watch may lag behind the head before it is taken to be broken.
	watchGrace = time.Second
	pageLimit  = 100
)

// storeSync follows the store: all changes up to the revision synced are known.
type storeSync struct {
	synced  store.Revision
	loaded  bool
	reading bool
	nextAt  time.Time
	// watch numbers the current watch; watching is false once it has ended.
	watch     uint64
	watching  bool
	watchedAt time.Time
	// suspect is a head revision that the watch had not delivered when the head was read.
	suspect store.Revision
	// pageRevision is the revision of the first page of the load in progress.
	pageRevision store.Revision
}

func (m *Machine) pollStore(now time.Time) []Effect {
	s := &m.store
	if s.reading || now.Before(s.nextAt) {
		return nil
	}
	s.reading = true
	return []Effect{ReadHead{Get: store.Get{Key: HeadKey}}}
}

func (m *Machine) headRead(now time.Time, ev HeadRead) []Effect {
	s := &m.store
	if ev.Err != nil {
		return m.readFailed(now)
	}
	var head store.Revision
	for _, e := range ev.Result.Entries {
		head = e.ModRevision
	}
	behind := head > s.synced
	switch {
	case !s.loaded, behind && !s.watching, behind && s.suspect > s.synced:
		s.pageRevision = 0
		return []Effect{readPage("")}
	case behind:
		s.suspect = head
		s.reading = false
		s.nextAt = now.Add(watchGrace)
		return nil
	}
	s.synced = max(s.synced, ev.Result.Revision)
	return m.readDone(now, !s.watching)
}

func readPage(after string) Effect {
	return ReadPage{Get: store.Get{Key: CustomersPrefix, Prefix: true, After: after, Limit: pageLimit}}
}

func (m *Machine) pageRead(now time.Time, ev PageRead) []Effect {
	s := &m.store
	if ev.Err != nil {
		return m.readFailed(now)
	}
	effects := m.applyEntries(ev.Result.Entries, SourceRead)
	if s.pageRevision == 0 {
		s.pageRevision = ev.Result.Revision
	}
	if n := len(ev.Result.Entries); ev.Result.More && n > 0 {
		return append(effects, readPage(ev.Result.Entries[n-1].Key))
	}
	// Later pages may be newer than the first, so only the first page's revision is known to be complete.
	s.synced = max(s.synced, s.pageRevision)
	s.loaded = true
	return append(effects, m.readDone(now, true)...)
}

func (m *Machine) readFailed(now time.Time) []Effect {
	m.store.reading = false
	m.store.nextAt = now.Add(pollInterval)
	return nil
}

// readDone ends a successful poll, and starts a new watch if asked.
func (m *Machine) readDone(now time.Time, watch bool) []Effect {
	s := &m.store
	s.reading = false
	s.suspect = 0
	s.nextAt = now.Add(pollInterval)
	if !watch {
		return nil
	}
	s.watch++
	s.watching = true
	s.watchedAt = now
	return []Effect{StartWatch{WatchID: s.watch, Prefix: CustomersPrefix, After: s.synced}}
}

func (m *Machine) watchChanged(ev WatchChanged) []Effect {
	s := &m.store
	if ev.WatchID != s.watch {
		return nil
	}
	s.synced = max(s.synced, ev.Revision)
	var entries []store.Entry
	for _, c := range ev.Changes {
		if !c.Deleted {
			entries = append(entries, c.Entry)
		}
	}
	return m.applyEntries(entries, SourceWatch)
}

// watchEnded polls at once after a watch that had worked for a while, else after the poll interval.
func (m *Machine) watchEnded(now time.Time, ev WatchEnded) []Effect {
	s := &m.store
	if ev.WatchID != s.watch || !s.watching {
		return nil
	}
	s.watching = false
	s.nextAt = now
	if earliest := s.watchedAt.Add(pollInterval); earliest.After(now) {
		s.nextAt = earliest
	}
	return nil
}

// Loaded reports whether all documents of the store have been read once.
func (m *Machine) Loaded() bool { return m.store.loaded }

// Watching reports whether the watch on the store is believed to work.
func (m *Machine) Watching() bool { return m.store.watching }
