package balance

import (
	"testing"
	"time"
)

// Failure: over sockets a prompt start is reported within a millisecond. With a limit of four such delays, every job
// that queued for a few milliseconds counted as not started, and its worker as full.
func TestStartTimeoutIsAtLeastSomeTicks(t *testing.T) {
	s := baseSettings()
	s.Tick, s.ReportsStart, s.Cancel = 5*ms, true, true
	h := newHarness(t, s, newMembers(3)...)
	for range 200 {
		id, w := h.sendRequest()
		h.now += ms / 2
		h.step(Event{Kind: Progressed, Request: id, Worker: w, Started: true})
		h.now += 20 * ms
		h.end(id, w, OK, Report{})
	}
	id, w := h.sendRequest()
	h.now += 25 * ms
	h.step(Event{Kind: TimerDue, Timer: id})
	if h.now < h.balancer.workers[w].fullUntil {
		t.Error("worker is marked full after 25 ms")
	}
	h.now += 10 * ms
	h.step(Event{Kind: TimerDue, Timer: id})
	if h.now >= h.balancer.workers[w].fullUntil {
		t.Error("worker is not marked full after 35 ms")
	}
}

// Failure: a real clock counts from 1970. The time from then to the first request counted as a gap between requests,
// which limited a dispatcher to a few workers for its first hundreds of requests.
func TestFirstRequestDoesNotSetArrivalGap(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(20)...)
	h.now = 56 * 365 * 24 * time.Hour
	h.request()
	if h.balancer.arrivalGap > 1 {
		t.Errorf("an arrival gap of %g s after one request", h.balancer.arrivalGap)
	}
}

// A worker that lists the classes that it runs gets requests of no other class.
func TestWorkersGetOnlyTheirClasses(t *testing.T) {
	s := baseSettings()
	s.Classes = append(s.Classes, Class{Name: "d", LatencyTarget: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 1})
	members := newMembers(3)
	members[0].Classes, members[1].Classes, members[2].Classes = ",d,", ",c,", ",d,"
	h := newHarness(t, s, members...)
	for range 20 {
		id, w := h.sendRequest()
		if w != "w01" {
			t.Fatalf("a request of class c went to %s", w)
		}
		h.end(id, w, OK, Report{})
	}
}

// A cold worker with a single slot gets a job. Otherwise it would be idle until it is warm.
func TestColdWorkerWithOneSlotIsUsed(t *testing.T) {
	h := newHarness(t, baseSettings())
	m := newMembers(1)
	m[0].Started = h.now
	h.step(Event{Kind: Listed, List: Changes, Members: m})
	id, acts := h.request()
	for range 300 {
		if findAction(acts, Send) != nil {
			return
		}
		h.now += 10 * ms
		acts = h.step(Event{Kind: TimerDue, Timer: queueTimer})
	}
	t.Errorf("request %d was not sent within 3 s", id)
}

// Clients of a front that never retry have budgets of their own.
//
// Failure: a shorter budget counted as the rest that is left to a later try, and the request was refused at once. A
// longer one had the same effect on all requests of the other front.
func TestFirstTriesMayHaveAnyBudget(t *testing.T) {
	for _, budget := range []time.Duration{4 * time.Second, 10 * time.Second} {
		h := newHarness(t, baseSettings(), newMembers(3)...)
		id, w := h.sendRequest()
		h.end(id, w, OK, Report{})
		acts := h.step(Event{Kind: Arrived, Request: 1000, Class: "c", Budget: budget, Slots: 1, FirstTry: true})
		if h.balancer.requests[1000].firstTryAt != h.now || findAction(acts, Send) == nil {
			t.Errorf("a first try with a budget of %v counts as a later one", budget)
		}
		if id, _ := h.sendRequest(); h.balancer.requests[id].firstTryAt != h.now {
			t.Errorf("after a first try with a budget of %v, other first tries count as later ones", budget)
		}
	}
}
