package flow

import "time"

// options configures a [Machine].
type options struct {
	taskLease         time.Duration
	maxLease          time.Duration
	leadershipTimeout time.Duration
	retention         time.Duration
	maxTargetMiss     time.Duration
	linkBitsPerSecond int64
	partTasks         int
}

// Option configures a [Machine] in [New].
type Option func(*options)

// WithTaskLease sets the maximum lease of the tasks on a worker, which counts from the last confirmation of the scheduler by
// the store, or by most workers.
func WithTaskLease(d time.Duration) Option { return func(o *options) { o.taskLease = d } }

// WithMaxLease sets the longest lease that a worker grants, to which it shortens any other. It is granted by calls that reach another
// life of a worker, whose clock they do not fit.
func WithMaxLease(d time.Duration) Option { return func(o *options) { o.maxLease = d } }

// WithLeadershipTimeout sets how long a scheduler may remain active after the store last confirmed its leadership. A
// successor that most workers do not answer waits at least that long for workers that it cannot reach.
func WithLeadershipTimeout(d time.Duration) Option {
	return func(o *options) { o.leadershipTimeout = d }
}

// WithRetention sets how long the state of a finished job is kept.
func WithRetention(d time.Duration) Option { return func(o *options) { o.retention = d } }

// WithMaxTargetMiss sets how long fillers may keep a serving task over its target without interruption.
func WithMaxTargetMiss(d time.Duration) Option { return func(o *options) { o.maxTargetMiss = d } }

// WithPartTasks sets how many tasks of a job are stored as one value, see [Part]. All schedulers of a store must agree.
func WithPartTasks(n int) Option { return func(o *options) { o.partTasks = n } }
