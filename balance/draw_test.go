package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A draining worker gets no more requests from that moment on. A worker that is missing in a complete list is
// removed.
func TestDrainingWorkerGetsNoRequests(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(3)...)
	h.step(Event{Kind: Listed, List: Changes, Members: []Member{{ID: "w00", Zone: "a", State: Draining}}})
	h.step(Event{Kind: Listed, List: Complete, Members: []Member{{ID: "w00", Zone: "a", State: Draining}, {ID: "w02", Zone: "a"}}})
	for range 20 {
		id, w := h.sendRequest()
		if w != "w02" {
			t.Fatalf("sent to %s", w)
		}
		h.end(id, w, OK, Report{})
	}
	if len(h.balancer.workers) != 1 {
		t.Errorf("%d workers are still stored", len(h.balancer.workers))
	}
}

// The draw is the softmax of the costs over the home and its neighbours only.
func TestDrawIsSoftmaxOfNeighbours(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(30)...)
	for i, w := range h.balancer.ring {
		w.slots, w.reportedAt, w.otherSlots = 10, h.now, float64(i%4)
	}
	r := &request{class: h.balancer.classes["c"], slots: 1, home: 0.5, firstTryAt: h.now, usefulStartBy: h.now + time.Second}
	weights, sum, counts := map[string]float64{}, 0.0, map[string]float64{}
	for i := 15 - neighbours; i <= 15+neighbours; i++ {
		w := h.balancer.ring[i]
		weights[w.ID] = math.Exp(-inverseTemperature * h.balancer.cost(h.now, w, 0))
		sum += weights[w.ID]
	}
	const draws = 20000
	for range draws {
		counts[h.balancer.draw(h.now, r).ID]++
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

// Failure: on a large ring, a dispatcher with little traffic had load figures of a few workers only, and the homes of
// its requests were elsewhere. A dispatcher with much traffic needs all workers.
func TestDispatchersWithLittleTrafficUseFewWorkers(t *testing.T) {
	used := func(gap time.Duration) int { // jobs run 300 ms
		s := baseSettings()
		s.Fleet, s.Self = 40, 13
		h := newHarness(t, s, newMembers(80)...)
		workers, inFlight := map[string]bool{}, []Action{}
		recordSends := func(acts []Action) {
			for _, a := range acts {
				if a.Kind == Send {
					workers[a.Worker] = true
					a.After = h.now + 300*ms
					inFlight = append(inFlight, a)
				}
			}
		}
		for i := range 2000 {
			h.now += gap
			if i == 1000 { // the arrival gap is settled by now
				clear(workers)
			}
			for len(inFlight) > 0 && inFlight[0].After <= h.now {
				a := inFlight[0]
				inFlight = inFlight[1:]
				recordSends(h.end(a.Request, a.Worker, OK, Report{}))
			}
			_, acts := h.request()
			recordSends(acts)
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

// Failure: hundreds of dispatchers with little traffic each opened a new connection for most jobs, which has a price.
func TestOpenConnectionsArePreferred(t *testing.T) {
	s := baseSettings()
	s.Prices.Handshake, s.ConnIdle = 0.05, 5*time.Second
	h := newHarness(t, s, newMembers(11)...)
	id, first := h.sendRequest()
	h.end(id, first, OK, Report{})
	for i := range 20 {
		h.now += time.Second
		id, w := h.sendRequest()
		if w != first {
			t.Errorf("job %d went to %s, though a connection to %s was open and idle", i, w, first)
		}
		h.end(id, w, OK, Report{})
	}
	used := map[string]bool{}
	for range 20 {
		h.now += 6 * time.Second // connections are closed by then
		id, w := h.sendRequest()
		used[w] = true
		h.end(id, w, OK, Report{})
	}
	if len(used) < 3 {
		t.Errorf("%d workers used by jobs whose connections had all closed", len(used))
	}
}

// If fetching what a key needs has a price, all dispatchers send a key to the same home while it has capacity. When a
// worker is removed, nearly all keys keep their home.
func TestKeysHaveHomes(t *testing.T) {
	homes := func(self, workers int) map[string]string {
		s := baseSettings()
		s.Self, s.Fleet, s.Prices.Fetch = self, 9, 0.15
		h := newHarness(t, s, newMembers(workers)...)
		at := map[string]string{}
		for i := range uint64(200) {
			key := fmt.Sprint("key", i)
			a := findAction(h.step(Event{Kind: Arrived, Request: i, Class: "c", Key: key, Budget: 5 * time.Second, Slots: 1}), Send)
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
