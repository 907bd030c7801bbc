package balance

import (
	"math"
	"testing"
	"time"
)

// What others tell is most of all events in a large fleet. Held jobs are looked at when there may be room, at once.
func TestHeldJobGoesWhenOthersTellOfLess(t *testing.T) {
	h := start(t, base(), fleet(1)...)
	say := func(slots float64) *Action {
		return find(h.step(Event{Kind: PeerSpoke, Who: 1, Loads: map[string]float64{"w00": slots}}), Send)
	}
	say(9)
	if _, acts := h.request(); find(acts, Send) != nil {
		t.Fatal("sent to a worker that is told to be full")
	}
	if say(9) != nil || say(10) != nil {
		t.Error("sent though nothing became free")
	}
	if say(0) == nil {
		t.Error("not sent when the others' work ended")
	}
}

// Failure waiting to happen: a try with a part of the class's deadline looks like a late try.
func TestTriesWithPartOfTheDeadlineAreFresh(t *testing.T) {
	h := start(t, base(), fleet(2)...)
	for id := range uint64(20) {
		budget := 2 * time.Second // of a deadline of 5
		if id == 19 {
			budget = time.Second
		}
		acts := h.step(Event{Kind: Arrived, Request: 100 + id, Class: "c", Budget: budget, Slots: 1})
		if sent := find(acts, Send); sent == nil && id < 19 {
			t.Fatalf("a first try was not sent: %+v", acts)
		} else if id == 19 && h.now-h.b.requests[100+id].firstTryAt != 4*time.Second {
			t.Errorf("a last try seems %v old, not 4s", h.now-h.b.requests[100+id].firstTryAt)
		} else if id < 19 {
			h.end(100+id, sent.Worker, OK, Report{})
		}
	}
}

// Failure (a day at a site with ordered keys, untouched module): a request was sent while an earlier one of its key
// was not over. What must have happened before the second request of a key goes, as a table.
func TestRequestsOfAKeyTakeTurns(t *testing.T) {
	for name, c := range map[string]struct {
		result Result
		wait   time.Duration // after the end of the first one's attempt
	}{
		"served":    {OK, 0},
		"error":     {Failed, 0},
		"time-out":  {TimedOut, 50 * ms},
		"reset":     {Reset, 50 * ms},
		"cancelled": {Cancelled, 50 * ms},
	} {
		s := base()
		s.MaxAttempts, s.OrderRest, s.Cancel, s.TellsStart = 1, 50*ms, true, true
		s.Classes[0].InOrder, s.Classes[0].Effect, s.Classes[0].Aim = true, Keyed, 10*time.Second
		h := start(t, s, fleet(6)...)
		ask := func(id uint64, key string) *Action {
			return find(h.step(Event{Kind: Arrived, Request: id, Class: "c", Key: key, Budget: 5 * time.Second, Slots: 1}), Send)
		}
		first := ask(1, "k")
		if first == nil || ask(2, "k") != nil || ask(3, "k") != nil {
			t.Fatalf("%s: want the first of three sent at once, and no other", name)
		}
		if ask(4, "other") == nil || ask(5, "") == nil || ask(6, "") == nil {
			t.Fatalf("%s: other keys, and requests without one, must not wait", name)
		}
		h.now += 100 * ms
		h.step(Event{Kind: Departed, Request: 1}) // over, but its attempt is out
		if a := find(h.step(Event{Kind: TimerDue, Timer: queueTimer}), Send); a != nil {
			t.Fatalf("%s: request %d sent while an attempt of its key is out", name, a.Request)
		}
		ended := h.now
		acts := h.step(Event{Kind: Ended, Request: 1, Worker: first.Worker, Result: c.result, Final: true})
		for find(acts, Send) == nil && h.now < ended+time.Second {
			h.now += ms
			acts = h.step(Event{Kind: TimerDue, Timer: queueTimer})
		}
		if a := find(acts, Send); a == nil || a.Request != 2 || h.now-ended != c.wait {
			t.Errorf("%s: want request 2 sent after a rest of %v: %+v after %v", name, c.wait, a, h.now-ended)
		}
		for id := range uint64(7) { // all end; nothing of any key is kept
			h.step(Event{Kind: Departed, Request: id})
			h.step(Event{Kind: Ended, Request: id, Result: OK, Final: true})
		}
		h.now += time.Second
		if ask(8, "new"); len(h.b.keyQueues) != 1 {
			t.Errorf("%s: %d keys are remembered", name, len(h.b.keyQueues))
		}
	}
}

// Failure (an overloaded day at a site where late answers earn a share): all jobs ranked alike, so the oldest were
// served, all late. A fresh job goes before one that is late already, and queues stay short enough to be in time.
func TestFreshJobsGoBeforeLateOnes(t *testing.T) {
	s := base()
	s.Classes[0].Late = 0.25
	h := start(t, s, fleet(1)...)
	h.b.ring[0].fullUntil = h.now + 3*time.Second // nothing goes for a while
	old, _ := h.request()
	h.now += 3 * time.Second
	h.b.ring[0].fullUntil = h.now + ms
	fresh, _ := h.request()
	h.now += 2 * ms
	var order []uint64
	for range 2 {
		for _, a := range h.step(Event{Kind: TimerDue, Timer: queueTimer}) {
			if a.Kind == Send {
				order = append(order, a.Request)
			}
		}
	}
	if len(order) != 2 || order[0] != fresh || order[1] != old {
		t.Errorf("sent %v, want the fresh %d, then the late %d", order, fresh, old)
	}
}

// Failure (days whose late answers earn a share): nothing was refused before a far deadline, so no slot was kept for
// dear jobs. A job that starts too late counts as shortage.
func TestLateStartsCountAsShortage(t *testing.T) {
	s := base()
	s.TellsStart, s.Classes[0].Late = true, 0.3
	h := start(t, s, fleet(9)...)
	for i := range 20 {
		id, w := h.sent()
		h.now += time.Duration(i/10) * 2 * time.Second // ten at once, ten too late
		h.step(Event{Kind: Noted, Request: id, Worker: w, Started: true})
		if late := h.b.shortage > 0; late != (i >= 10) {
			t.Fatalf("job %d: shortage %v", i, h.b.shortage)
		}
		h.end(id, w, OK, Report{})
	}
}

// Failure (days at size with unsafe jobs and told starts): a job that cannot leave a queue was held for a slot that was
// only taken for used on usual days, and sent to one taken for free and lost in a shortage.
func TestUnsafeJobsAreCarefulInNeed(t *testing.T) {
	for _, c := range []struct {
		effect      Effect
		shed, taken float64
		want        bool
	}{{Unsafe, 0, 3.3, true}, {Safe, 0, 3.3, false}, {Unsafe, 0.8, 2.9, false}, {Safe, 0.8, 2.9, true}} {
		s := base()
		s.TellsStart, s.Classes[0].Effect = true, c.effect
		h := start(t, s, fleet(1)...)
		w := h.b.ring[0]
		w.slots, w.ownSlots, h.b.shortage = 4, c.taken, c.shed
		r := &request{class: h.b.classes["c"], slots: 1, value: 1, firstTryAt: h.now, respondBy: h.now + 5*time.Second}
		h.b.estimate(r)
		if got := h.b.hasCapacity(h.now, r, w); got != c.want {
			t.Errorf("%+v: room %v", c, got)
		}
	}
}

// Failure (every day with jobs of several slots): the dearest jobs for their work went first, a class whose jobs take
// several slots came last each time a slot was free, and the result hangs on the worst-served class.
func TestClassServedWorstGoesSooner(t *testing.T) {
	s := base()
	s.Goal = Goal{Whole: 0.45, WorstClass: 0.3}
	s.Classes = append(s.Classes, Class{Name: "wide", Aim: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Worth: 1})
	h := start(t, s, fleet(1)...)
	small := &request{class: h.b.classes["c"], slots: 1, work: 0.1, firstTryAt: h.now}
	wide := &request{class: h.b.classes["wide"], slots: 2, work: 0.1, firstTryAt: h.now}
	if h.b.value(h.now, wide) >= h.b.value(h.now, small) {
		t.Error("the wide job is worth more though both classes are served alike")
	}
	h.b.requests[9] = wide
	for range 15 {
		h.b.reject(h.now, wide, NoRoom)
	}
	if h.b.value(h.now, wide) <= h.b.value(h.now, small) {
		t.Errorf("wide %g, small %g, though the wide are served worse", h.b.value(h.now, wide), h.b.value(h.now, small))
	}
}

// Failure (every day): small jobs take each slot as it frees, and a job of several slots never starts. Where room is
// held for it, others go there only if they end in time or fit beside it; it may go there from any home.
func TestHeldRoomIsLeftAlone(t *testing.T) {
	class := base().Classes[0].Name
	for _, c := range []struct {
		name string
		keep Keep
		want bool
	}{
		{"held for another", Keep{Request: 99}, false},
		{"held by another dispatcher", Keep{}, false},
		{"held for itself", Keep{Request: 1}, true},
		{"fits beside", Keep{Request: 99, Spare: 1}, true},
		{"ends in time", Keep{Request: 99, Most: 1, Last: map[string]time.Duration{class: time.Hour}}, true},
		{"would end too late", Keep{Request: 99, Most: 1, Last: map[string]time.Duration{class: 1}}, false},
		{"ends in time, but is too large", Keep{Request: 99, Most: 0.5, Last: map[string]time.Duration{class: time.Hour}}, false},
	} {
		h := start(t, base(), fleet(1)...)
		w := h.b.ring[0]
		h.step(Event{Kind: Kept, Worker: w.ID, Request: c.keep.Request, Keep: &c.keep})
		acts := h.step(Event{Kind: Arrived, Request: 1, Class: class, Budget: time.Second, Slots: 1})
		if got := find(acts, Send) != nil; got != c.want {
			t.Errorf("%s: sent %v", c.name, got)
		}
		if !c.want { // let go, it is anybody's
			if acts := h.step(Event{Kind: Kept, Worker: w.ID}); find(acts, Send) == nil {
				t.Errorf("%s: not sent after the room was let go", c.name)
			}
		}
	}
	// The one for whom it is held finds it from any home, and a drain ends the hold.
	h := start(t, base(), fleet(40)...)
	far := h.b.ring[20]
	for _, w := range h.b.ring {
		w.fullUntil = h.now + time.Hour
	}
	h.step(Event{Kind: Arrived, Request: 7, Class: class, Budget: time.Second, Slots: 1})
	far.fullUntil = 0
	if a := find(h.step(Event{Kind: Kept, Worker: far.ID, Request: 7, Keep: &Keep{Request: 7}}), Send); a == nil || a.Worker != far.ID {
		t.Error("the room held for a request was not used by it")
	}
	m := far.Member
	m.State = Draining
	if h.step(Event{Kind: Listed, List: Changes, Members: []Member{m}}); far.reservation != nil {
		t.Error("room is held at a worker that drains")
	}
}

// In need, a tenant that asks for more than its share goes behind those that keep to theirs, for as long as
// whoever adds that up says so.
func TestTenantsBeyondTheirSharesGoLater(t *testing.T) {
	s := base()
	s.Fleet, s.BeyondWorth = 1, 0.1
	s.Classes[0].Worth = 1
	h := start(t, s, fleet(1)...)
	id, at := h.sent() // the only slot
	h.step(Event{Kind: Ended, Request: id, Worker: at, Result: OK, Final: true, Elapsed: 50 * ms, Report: Report{Present: true, InFlight: 1, Free: 0}})
	first := func() string {
		h.b.queued = nil
		ask := func(id uint64, tenant string) {
			h.step(Event{Kind: Arrived, Request: id, Class: "c", Budget: 5 * time.Second, Slots: 1, Tenant: tenant})
		}
		w := h.b.workers[at]
		w.fullUntil = h.now + time.Hour
		h.next += 2
		ask(h.next, "much")
		ask(h.next+1, "little")
		h.next++
		h.b.placeQueued(h.now)
		if len(h.b.queued) != 2 {
			t.Fatalf("%d held", len(h.b.queued))
		}
		return h.b.queued[0].tenant
	}
	if got := first(); got != "much" {
		t.Fatalf("%s goes first while nothing is known: not the one that came first", got)
	}
	h.step(Event{Kind: Shared, Parts: map[string]float64{"much": 0.6}, Elapsed: 2 * time.Second})
	if got := first(); got != "little" {
		t.Fatalf("%s goes first", got)
	}
	r := h.b.queued[0]
	if had := h.b.value(h.now, h.b.queued[1]) / h.b.value(h.now, r); math.Abs(had-0.64) > 0.01 {
		t.Fatalf("a request of one with 0.6 within its share is worth %.2f", had)
	}
	h.now += 3 * time.Second
	if got := first(); got != "much" {
		t.Fatalf("%s goes first once that has lapsed", got)
	}
}
