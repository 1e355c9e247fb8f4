package leader

import (
	"maps"
	"sync"

	"lovagefork.example/coord/store"
)

// delivery records which entries of the store the scheduler has received, so that it receives each of them once: a job that it
// has finished and dropped looks like a new one. It is safe for concurrent use.
type delivery struct {
	mu sync.Mutex
	// revision is the one up to which all changes have been delivered.
	revision store.Revision
	// ahead holds the revisions above it of entries that have been delivered.
	ahead map[store.Revision]struct{}
}

// newDelivery returns the record after a read of all entries in several pages, the first of which had a revision.
func newDelivery(revision store.Revision, entries []store.Entry) *delivery {
	d := &delivery{revision: revision, ahead: make(map[store.Revision]struct{})}
	for _, e := range entries {
		d.deliver(e.ModRevision, func() {})
	}
	return d
}

// deliver calls post with the entry that was stored at a revision unless it has been delivered before, and reports whether it
// has called post. When it returns, the entry has been posted by this call or by another.
func (d *delivery) deliver(revision store.Revision, post func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, found := d.ahead[revision]; found || revision <= d.revision {
		return false
	}
	post()
	d.ahead[revision] = struct{}{}
	return true
}

// advance records that all changes up to a revision have been delivered.
func (d *delivery) advance(revision store.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = max(d.revision, revision)
	maps.DeleteFunc(d.ahead, func(r store.Revision, _ struct{}) bool { return r <= d.revision })
}

// delivered returns the revision up to which all changes have been delivered.
func (d *delivery) delivered() store.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}
