package balance

import (
	"testing"
	"time"
)

// On sockets a prompt start is told within a millisecond. A wait of four such delays took
// every job that queued for some milliseconds for lost in a queue, and its worker for full.
func TestPromptStartsLeaveATicksPatience(t *testing.T) {
	s := base()
	s.Tick, s.TellsStart, s.Cancel = 5*ms, true, true
	h := start(t, s, fleet(3)...)
	for range 200 {
		id, w := h.sent()
		h.now += ms / 2
		h.step(Event{Kind: Noted, Request: id, Worker: w, Started: true})
		h.now += 20 * ms
		h.end(id, w, OK, Report{})
	}
	id, w := h.sent()
	h.now += 25 * ms
	h.step(Event{Kind: TimerDue, Timer: id})
	if h.now < h.b.workers[w].fullUntil {
		t.Error("taken for full after 25 ms")
	}
	h.now += 10 * ms
	h.step(Event{Kind: TimerDue, Timer: id})
	if h.now >= h.b.workers[w].fullUntil {
		t.Error("not taken for full after 35 ms")
	}
}

// A real clock counts from 1970. The first job's distance from there is no gap between jobs:
// taken for one, it kept a dispatcher to a few workers for its first hundreds of jobs.
func TestFirstJobTellsOfNoGap(t *testing.T) {
	h := start(t, base(), fleet(20)...)
	h.now = 56 * 365 * 24 * time.Hour
	h.request()
	if h.b.arrivalGap > 1 {
		t.Errorf("a gap of %g s after one job", h.b.arrivalGap)
	}
}

// A worker that tells which classes it can run gets no others.
func TestWorkersGetTheirClassesAlone(t *testing.T) {
	s := base()
	s.Classes = append(s.Classes, Class{Name: "d", Aim: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Worth: 1})
	ms := fleet(3)
	ms[0].Classes, ms[1].Classes, ms[2].Classes = ",d,", ",c,", ",d,"
	h := start(t, s, ms...)
	for range 20 {
		id, w := h.sent()
		if w != "w01" {
			t.Fatalf("a job of class c went to %s", w)
		}
		h.end(id, w, OK, Report{})
	}
}

// A worker with a single slot gets a job while it is cold: it would stand idle else until warm.
func TestColdWorkerWithOneSlotIsUsed(t *testing.T) {
	h := start(t, base())
	m := fleet(1)
	m[0].Started = h.now
	h.step(Event{Kind: Listed, List: Changes, Members: m})
	id, acts := h.request()
	for range 300 {
		if find(acts, Send) != nil {
			return
		}
		h.now += 10 * ms
		acts = h.step(Event{Kind: TimerDue, Timer: queueTimer})
	}
	t.Errorf("job %d was not sent in 3 s", id)
}

// A front whose clients never try again has budgets of its own. Taken for what is left to a
// later try, a shorter one was refused at once; a longer one did that to all the other front's.
func TestFirstTriesMayHaveAnyBudget(t *testing.T) {
	for _, budget := range []time.Duration{4 * time.Second, 10 * time.Second} {
		h := start(t, base(), fleet(3)...)
		id, w := h.sent()
		h.end(id, w, OK, Report{})
		acts := h.step(Event{Kind: Arrived, Request: 1000, Class: "c", Budget: budget, Slots: 1, First: true})
		if h.b.requests[1000].firstTryAt != h.now || find(acts, Send) == nil {
			t.Errorf("a first try with %v was taken for a later one", budget)
		}
		if id, _ := h.sent(); h.b.requests[id].firstTryAt != h.now {
			t.Errorf("after a first try with %v the others' are taken for later ones", budget)
		}
	}
}
