package flow

import (
	"iter"

	"lovagefork.example/coord/infra"
)

// chunkTasks is the number of tasks whose state is allocated together.
const chunkTasks = 64

// taskList holds the state of the tasks of a step. That of tasks of which nothing has run is not allocated, because a job decides how many
// tasks wait.
type taskList struct {
	count  int
	chunks [][]task
	// blank is the state of a task that is not allocated.
	blank *task
}

func newTaskList(count int) taskList {
	return taskList{count: count, chunks: make([][]task, (count+chunkTasks-1)/chunkTasks), blank: &task{}}
}

func (l *taskList) len() int { return l.count }

// at returns the state of a task, which it allocates.
func (l *taskList) at(index int) *task {
	chunk := &l.chunks[index/chunkTasks]
	if *chunk == nil {
		*chunk = make([]task, min(chunkTasks, l.count-index/chunkTasks*chunkTasks))
		for i := range *chunk {
			(*chunk)[i] = *l.blank
		}
	}
	return &(*chunk)[index%chunkTasks]
}

// peek returns the state of a task, which must not be changed.
func (l *taskList) peek(index int) *task {
	if chunk := l.chunks[index/chunkTasks]; chunk != nil {
		return &chunk[index%chunkTasks]
	}
	return l.blank
}

// allocated returns the tasks whose state is allocated, with their indexes.
func (l *taskList) allocated() iter.Seq2[int, *task] {
	return func(yield func(int, *task) bool) {
		for c, chunk := range l.chunks {
			for i := range chunk {
				if !yield(c*chunkTasks+i, &chunk[i]) {
					return
				}
			}
		}
	}
}

// allAllocated reports whether the state of all tasks is allocated.
func (l *taskList) allAllocated() bool {
	for _, chunk := range l.chunks {
		if chunk == nil {
			return false
		}
	}
	return true
}

// raiseRunNumbers makes the numbers of all tasks' next runs higher than a number.
func (l *taskList) raiseRunNumbers(number infra.Run) {
	l.blank.lastRun = max(l.blank.lastRun, number)
	for _, t := range l.allocated() {
		t.lastRun = max(t.lastRun, number)
	}
}
