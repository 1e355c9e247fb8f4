package form

import (
	"slices"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
)

// DefaultMaxAttempts is the maximum number of attempts of a batch task if the answers do not set one.
const DefaultMaxAttempts = 5

// Generate returns the configuration that results from valid answers. Its ChangeID is empty.
func (a Answers) Generate() config.Document {
	doc := config.Document{
		Customer: a.Customer,
		Services: make([]config.Service, 0, len(a.Services)),
		Batch:    make([]config.BatchKind, 0, len(a.Batch)),
		Quota: config.Quota{
			Resources:         a.Quota.Resources(),
			RunningTasks:      a.Quota.RunningTasks,
			RequestsPerSecond: a.Quota.RequestsPerSecond,
			Weight:            max(a.Quota.Weight, 1),
		},
	}
	for _, s := range a.Services {
		doc.Services = append(doc.Services, config.Service{
			Name:          s.Name,
			Class:         a.class(s.Name),
			Replicas:      s.Replicas,
			Resources:     s.Size.Resources(),
			DeadlineMS:    s.DeadlineMS,
			NonIdempotent: slices.Contains(a.NeverTwice, s.Name),
		})
	}
	for _, b := range a.Batch {
		doc.Batch = append(doc.Batch, config.BatchKind{
			Name:        b.Name,
			Class:       a.class(b.Name),
			Resources:   b.Size.Resources(),
			MaxAttempts: a.maxAttemptsOf(b),
		})
	}
	return doc
}

func (a Answers) class(name string) fleet.Class {
	switch {
	case slices.Contains(a.Urgent, name):
		return fleet.Urgent
	case slices.Contains(a.MayWait, name):
		return fleet.Deferrable
	default:
		return fleet.Standard
	}
}

func (a Answers) maxAttemptsOf(b Batch) int {
	switch {
	case slices.Contains(a.NeverTwice, b.Name):
		return 1
	case b.MaxAttempts == 0:
		return DefaultMaxAttempts
	default:
		return b.MaxAttempts
	}
}
