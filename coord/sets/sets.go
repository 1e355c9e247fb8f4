package sets

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an immutable set of comparable values: [Set.With] and [Set.Without] return a new set. The zero value is an
// empty set.
type Set[T comparable] struct {
	members map[T]struct{}
}

// Of returns a set of the given values.
func Of[T comparable](values ...T) Set[T] {
	members := make(map[T]struct{}, len(values))
	for _, v := range values {
		members[v] = struct{}{}
	}
	return Set[T]{members: members}
}

// Has reports whether the value is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s.members[v]
	return ok
}

// Len returns the number of values.
func (s Set[T]) Len() int {
	return len(s.members)
}

// With returns a copy of the set that also contains v.
func (s Set[T]) With(v T) Set[T] {
	members := make(map[T]struct{}, len(s.members)+1)
	maps.Copy(members, s.members)
	members[v] = struct{}{}
	return Set[T]{members: members}
}

// Without returns a copy of the set that does not contain v.
func (s Set[T]) Without(v T) Set[T] {
	members := maps.Clone(s.members)
	delete(members, v)
	return Set[T]{members: members}
}

// Sorted returns the values of a set in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	return slices.Sorted(maps.Keys(s.members))
}

// Option is an optional value; its zero value is absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option that contains v.
func Some[T any](v T) Option[T] {
	return Option[T]{value: v, present: true}
}

// None returns an option without a value.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.present
}

// Or returns the value, or the alternative if it is absent.
func (o Option[T]) Or(alternative T) T {
	if !o.present {
		return alternative
	}
	return o.value
}
