// Package eventqueue is a priority queue of the events of a simulation, ordered by
// simulated time. Events with the same time are ordered as they were added.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds the pending events. The zero value is an empty queue. It is not safe for
// concurrent use.
type Queue struct {
	events eventHeap
	added  int
}

// Add schedules run at a simulated time.
func (q *Queue) Add(at time.Duration, run func()) {
	q.added++
	heap.Push(&q.events, event{at: at, sequence: q.added, run: run})
}

// Next returns the time of the next event, or false if the queue is empty.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Pop removes the next event and returns its time and function. It panics if the
// queue is empty.
func (q *Queue) Pop() (at time.Duration, run func()) {
	e := heap.Pop(&q.events).(event)
	return e.at, e.run
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
