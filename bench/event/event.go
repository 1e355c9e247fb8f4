package event

import (
	"container/heap"
	"time"
)

// Loop runs actions in the order of their virtual times; actions with equal times run in the order of their creation.
type Loop struct {
	now     time.Time
	nextSeq uint64
	queue   actionHeap
}

type action struct {
	at  time.Time
	seq uint64
	run func()
}

type actionHeap []action

func (q actionHeap) Len() int      { return len(q) }
func (q actionHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q actionHeap) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q *actionHeap) Push(x any) { *q = append(*q, x.(action)) }

func (q *actionHeap) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = action{}
	*q = (*q)[:last]
	return a
}

// New returns an empty loop with a fixed start time.
func New() *Loop { return &Loop{now: time.Unix(1_000_000, 0)} }

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// After schedules run to be called after d.
func (l *Loop) After(d time.Duration, run func()) {
	l.nextSeq++
	heap.Push(&l.queue, action{l.now.Add(d), l.nextSeq, run})
}

// Every schedules run to be called at the current time and then at intervals of d.
func (l *Loop) Every(d time.Duration, run func()) {
	l.After(0, func() {
		run()
		l.After(d, func() { l.Every(d, run) })
	})
}

// Run advances the virtual time by d and runs all actions due by then.
func (l *Loop) Run(d time.Duration) {
	end := l.now.Add(d)
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		a := heap.Pop(&l.queue).(action)
		l.now = a.at
		a.run()
	}
	l.now = end
}
