package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A worker that drains gets nothing more at once; one that a complete list lacks is gone.
func TestDrainLeavesTheRing(t *testing.T) {
	h := start(t, base(), fleet(3)...)
	h.step(Event{Kind: Listed, List: Changes, Members: []Member{{ID: "w00", Zone: "a", State: Draining}}})
	h.step(Event{Kind: Listed, List: Whole, Members: []Member{{ID: "w00", Zone: "a", State: Draining}, {ID: "w02", Zone: "a"}}})
	for range 20 {
		id, w := h.sent()
		if w != "w02" {
			t.Fatalf("sent to %s", w)
		}
		h.end(id, w, OK, Report{})
	}
	if len(h.b.workers) != 1 {
		t.Errorf("%d workers remembered", len(h.b.workers))
	}
}

// The draw is the softmax of the costs, over the home and its neighbours alone.
func TestDrawIsSoftmaxOfNeighbours(t *testing.T) {
	h := start(t, base(), fleet(30)...)
	for i, w := range h.b.ring {
		w.slots, w.reportedAt, w.otherSlots = 10, h.now, float64(i%4)
	}
	r := &request{class: h.b.classes["c"], slots: 1, home: 0.5, firstTryAt: h.now, usefulStartBy: h.now + time.Second}
	weights, sum, counts := map[string]float64{}, 0.0, map[string]float64{}
	for i := 15 - neighbours; i <= 15+neighbours; i++ {
		w := h.b.ring[i]
		weights[w.ID] = math.Exp(-inverseTemperature * h.b.cost(h.now, w, 0))
		sum += weights[w.ID]
	}
	const draws = 20000
	for range draws {
		counts[h.b.draw(h.now, r).ID]++
	}
	if len(counts) != 2*neighbours+1 {
		t.Errorf("%d workers drawn from, want %d", len(counts), 2*neighbours+1)
	}
	for id, n := range counts {
		if want := weights[id] / sum; math.Abs(n/draws-want) > 0.02 {
			t.Errorf("%s drawn with share %.3f, want %.3f", id, n/draws, want)
		}
	}
}

// Failure: of a large ring, a small dispatcher had the figures of a few workers, and its homes were elsewhere.
// A busy one needs all workers.
func TestSmallDispatchersKeepToTheirPlace(t *testing.T) {
	used := func(gap time.Duration) int { // jobs run 300 ms
		s := base()
		s.Fleet, s.Self = 40, 13
		h := start(t, s, fleet(80)...)
		workers, out := map[string]bool{}, []Action{}
		take := func(acts []Action) {
			for _, a := range acts {
				if a.Kind == Send {
					workers[a.Worker] = true
					a.After = h.now + 300*ms
					out = append(out, a)
				}
			}
		}
		for i := range 2000 {
			h.now += gap
			if i == 1000 { // it knows its traffic by now
				clear(workers)
			}
			for len(out) > 0 && out[0].After <= h.now {
				a := out[0]
				out = out[1:]
				take(h.end(a.Request, a.Worker, OK, Report{}))
			}
			_, acts := h.request()
			take(acts)
		}
		return len(workers)
	}
	if n := used(time.Second); n > 2*neighbours+2 {
		t.Errorf("a dispatcher with a job a second uses %d workers", n)
	}
	if n := used(5 * ms); n < 80 {
		t.Errorf("a dispatcher with 200 jobs a second uses %d workers of 80", n)
	}
}

// Failure: of hundreds of small dispatchers, each opened a new connection for most jobs, at a price.
func TestOpenConnectionsArePreferred(t *testing.T) {
	s := base()
	s.Prices.Handshake, s.ConnIdle = 0.05, 5*time.Second
	h := start(t, s, fleet(11)...)
	id, first := h.sent()
	h.end(id, first, OK, Report{})
	for i := range 20 {
		h.now += time.Second
		id, w := h.sent()
		if w != first {
			t.Errorf("job %d went to %s, though a connection to %s was open and idle", i, w, first)
		}
		h.end(id, w, OK, Report{})
	}
	used := map[string]bool{}
	for range 20 {
		h.now += 6 * time.Second // closed by then
		id, w := h.sent()
		used[w] = true
		h.end(id, w, OK, Report{})
	}
	if len(used) < 3 {
		t.Errorf("%d workers used by jobs whose connections had all closed", len(used))
	}
}

// Where fetching what a key needs has a price, all dispatchers send a key to one home while it has room, and nearly
// all keys keep theirs when a worker goes.
func TestKeysHaveHomes(t *testing.T) {
	homes := func(self, workers int) map[string]string {
		s := base()
		s.Self, s.Fleet, s.Prices.Fetch = self, 9, 0.15
		h := start(t, s, fleet(workers)...)
		at := map[string]string{}
		for i := range uint64(200) {
			key := fmt.Sprint("key", i)
			a := find(h.step(Event{Kind: Arrived, Request: i, Class: "c", Key: key, Budget: 5 * time.Second, Slots: 1}), Send)
			at[key] = a.Worker
			h.end(i, a.Worker, OK, Report{Present: true, Free: 4})
			h.now += ms
		}
		return at
	}
	one, other, fewer := homes(0, 12), homes(7, 12), homes(0, 11)
	differ, moved, load := 0, 0, map[string]int{}
	for key, w := range one {
		load[w]++
		if other[key] != w {
			differ++
		}
		if fewer[key] != w && w != "w11" {
			moved++
		}
	}
	if differ > 10 || moved > 10 || len(load) < 12 {
		t.Errorf("of 200 keys %d differ between dispatchers, %d moved with another worker gone; homes %v", differ, moved, load)
	}
}
