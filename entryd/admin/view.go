package admin

import (
	"cmp"
	"slices"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
)

// view is an immutable list of documents in ascending order of customer.
type snapshot struct {
	all []config.Versioned
}

func (v *snapshot) find(id fleet.CustomerID) (int, bool) {
	return slices.BinarySearchFunc(v.all, id, func(v config.Versioned, id fleet.CustomerID) int {
		return cmp.Compare(v.Document.Customer, id)
	})
}

// All returns the documents; the slice must not be changed.
func (v *snapshot) All() []config.Versioned { return v.all }

// with returns a view that also holds the given documents.
func (v *snapshot) with(documents []config.Versioned) *snapshot {
	next := &snapshot{all: slices.Clone(v.all)}
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
type currentView struct {
	admin *Admin
}

// Customer returns the document of a customer, and false if it has none.
func (l currentView) Customer(id fleet.CustomerID) (config.Versioned, bool) {
	v := l.admin.snapshot.Load()
	i, found := v.find(id)
	if !found {
		return config.Versioned{}, false
	}
	return v.all[i], true
}

// All returns the documents of all customers in ascending order of customer; the slice must not be changed.
func (l currentView) All() []config.Versioned { return l.admin.snapshot.Load().All() }

// publish makes applied documents visible and tells the subscribers; the caller holds the lock.
func (a *Admin) publish(applied []config.Versioned) {
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
