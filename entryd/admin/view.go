package admin

import (
	"cmp"
	"slices"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
)

// view is an immutable list of documents in ascending order of customer.
type view struct {
	all []config.VersionedDocument
}

func (v *view) find(id fleet.CustomerID) (int, bool) {
	return slices.BinarySearchFunc(v.all, id, func(v config.VersionedDocument, id fleet.CustomerID) int {
		return cmp.Compare(v.Document.Customer, id)
	})
}

// All returns the documents; the slice must not be changed.
func (v *view) All() []config.VersionedDocument { return v.all }

// with returns a view that also holds the given documents.
func (v *view) with(documents []config.VersionedDocument) *view {
	next := &view{all: slices.Clone(v.all)}
	for _, d := range documents {
		if i, found := next.find(d.Document.Customer); found {
			next.all[i] = d
		} else {
			next.all = slices.Insert(next.all, i, d)
		}
	}
	return next
}

// liveView reads whichever view is current, so that requests take no lock.
type liveView struct {
	admin *Admin
}

// Customer returns the document of a customer, and false if it has none.
func (l liveView) Customer(id fleet.CustomerID) (config.VersionedDocument, bool) {
	v := l.admin.view.Load()
	i, found := v.find(id)
	if !found {
		return config.VersionedDocument{}, false
	}
	return v.all[i], true
}

// All returns the documents of all customers in ascending order of customer; the slice must not be changed.
func (l liveView) All() []config.VersionedDocument { return l.admin.view.Load().All() }

// publish makes applied documents visible and tells the subscribers; the caller holds the lock.
func (a *Admin) publish(applied []config.VersionedDocument) {
	if len(applied) == 0 {
		return
	}
	a.view.Store(a.view.Load().with(applied))
	for _, v := range applied {
		for _, f := range a.subscribers {
			f(v)
		}
	}
}
