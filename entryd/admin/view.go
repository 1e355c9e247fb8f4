package admin

import (
	"cmp"
	"slices"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
)

// snapshot is an immutable list of documents in ascending order of customer.
type snapshot struct {
	all []config.VersionedDocument
}

// find returns the index of a customer's document, or the index at which to insert it and false.
func (s *snapshot) find(id fleet.CustomerID) (int, bool) {
	return slices.BinarySearchFunc(s.all, id, func(v config.VersionedDocument, id fleet.CustomerID) int {
		return cmp.Compare(v.Document.Customer, id)
	})
}

// All returns the documents; the slice must not be modified.
func (s *snapshot) All() []config.VersionedDocument { return s.all }

// with returns a snapshot in which the given documents are added or replaced.
func (s *snapshot) with(documents []config.VersionedDocument) *snapshot {
	next := &snapshot{all: slices.Clone(s.all)}
	for _, d := range documents {
		if i, found := next.find(d.Document.Customer); found {
			next.all[i] = d
		} else {
			next.all = slices.Insert(next.all, i, d)
		}
	}
	return next
}

// currentView implements [config.View] on the latest snapshot, so that requests take no lock.
type currentView struct {
	admin *Admin
}

// Customer returns the document of a customer, and false if it has none.
func (c currentView) Customer(id fleet.CustomerID) (config.VersionedDocument, bool) {
	s := c.admin.snapshot.Load()
	i, found := s.find(id)
	if !found {
		return config.VersionedDocument{}, false
	}
	return s.all[i], true
}

// All returns the documents of all customers in ascending order of customer; the slice must not be modified.
func (c currentView) All() []config.VersionedDocument { return c.admin.snapshot.Load().All() }

// publish adds applied documents to the snapshot and calls the subscribers; a.mu must be held.
func (a *Admin) publish(applied []config.VersionedDocument) {
	if len(applied) == 0 {
		return
	}
	a.snapshot.Store(a.snapshot.Load().with(applied))
	for _, v := range applied {
		for _, f := range a.subscribers {
			f(v)
		}
	}
}
