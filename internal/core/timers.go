package core

import "container/heap"

// timer is an entry of timers.
type timer struct {
	at      float64
	kind    timerKind
	id      uint64 // id of the decision module's timer, or number of the flow
	attempt int    // index of the attempt, for attemptTimer
}

type timerKind int

const (
	moduleTimer  timerKind = iota // the decision module requested it
	attemptTimer                  // an attempt timed out
	flowTimer                     // the deadline of a flow passed
	leaseTimer                    // the lease on the list must be reviewed
)

// timers is a priority queue of timers, the earliest first.
type timers struct{ queue timerHeap }

func (t *timers) add(x timer) { heap.Push(&t.queue, x) }

func (t *timers) earliest() (float64, bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	return t.queue[0].at, true
}

// fireEarliest removes the earliest timer and calls fire with it, if it is due. It reports whether one was due.
func (t *timers) fireEarliest(now float64, fire func(timer)) bool {
	if len(t.queue) == 0 || t.queue[0].at > now {
		return false
	}
	fire(heap.Pop(&t.queue).(timer))
	return true
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
