package core

import "container/heap"

// timer is something to do at a time.
type timer struct {
	at   float64
	what timerKind
	id   uint64 // the module's name for its timer, or the flow's number
	n    int    // the attempt's
}

type timerKind int

const (
	moduleTimer  timerKind = iota // the module asked for it
	attemptTimer                  // an attempt's time is over
	flowTimer                     // the client's patience is over
	leaseTimer                    // the lease on the list is to be looked at
)

// timers is a heap, the earliest first.
type timers struct{ h timerHeap }

func (t *timers) add(x timer) { heap.Push(&t.h, x) }

func (t *timers) first() (float64, bool) {
	if len(t.h) == 0 {
		return 0, false
	}
	return t.h[0].at, true
}

// due rings the earliest timer if it has come due.
func (t *timers) due(now float64, ring func(timer)) bool {
	if len(t.h) == 0 || t.h[0].at > now {
		return false
	}
	ring(heap.Pop(&t.h).(timer))
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
