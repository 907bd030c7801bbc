// Package vtime runs functions in virtual time, for simulations.
//
// The caller schedules functions on a Queue and calls Next in a loop. Next moves the time of the queue to the earliest
// function and runs it. Functions that are scheduled for the same time run in the order in which they were scheduled, so a
// simulation is deterministic. The package uses no goroutines and does not read a real clock.
package vtime

import "container/heap"

// Queue is a queue of scheduled functions. The zero value is an empty queue at time 0. It is not safe for concurrent use.
type Queue struct {
	Now     float64 // current virtual time in milliseconds
	seq     uint64
	pending items
}

// After schedules run for ms milliseconds after Now. A negative ms is treated as 0.
func (q *Queue) After(ms float64, run func()) { q.At(q.Now+max(0, ms), run) }

// At schedules run for a time in milliseconds.
func (q *Queue) At(at float64, run func()) {
	q.seq++
	heap.Push(&q.pending, item{at, q.seq, run})
}

// Next runs the earliest scheduled function if its time is not after end, and moves Now to that time. It reports whether a
// function was run.
func (q *Queue) Next(end float64) bool {
	if len(q.pending) == 0 || q.pending[0].at > end {
		return false
	}
	x := heap.Pop(&q.pending).(item)
	q.Now = max(q.Now, x.at)
	x.run()
	return true
}

type item struct {
	at  float64
	seq uint64
	run func()
}

type items []item

func (q items) Len() int { return len(q) }
func (q items) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q items) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *items) Push(x any)   { *q = append(*q, x.(item)) }
func (q *items) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = item{}
	*q = (*q)[:last]
	return x
}
