package balance

import (
	"math"
	"testing"
	"time"
)

// In a large fleet most events are announcements of other dispatchers. Queued requests are considered at once when an
// announced load drops, and only then.
func TestQueuedRequestIsSentWhenAnnouncedLoadDrops(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(1)...)
	announce := func(slots float64) *Action {
		return findAction(h.step(Event{Kind: PeerLoads, Peer: 1, Loads: map[string]float64{"w00": slots}}), Send)
	}
	announce(9)
	if _, acts := h.request(); findAction(acts, Send) != nil {
		t.Fatal("sent to a worker that is announced as full")
	}
	if announce(9) != nil || announce(10) != nil {
		t.Error("sent though nothing became free")
	}
	if announce(0) == nil {
		t.Error("not sent when the work of others ended")
	}
}

// A first try with only a part of the class's deadline must not count as a late try.
func TestTriesWithPartOfTheDeadlineAreFirstTries(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(2)...)
	for id := range uint64(20) {
		budget := 2 * time.Second // of a deadline of 5
		if id == 19 {
			budget = time.Second
		}
		acts := h.step(Event{Kind: Arrived, Request: 100 + id, Class: "c", Budget: budget, Slots: 1})
		if sent := findAction(acts, Send); sent == nil && id < 19 {
			t.Fatalf("a first try was not sent: %+v", acts)
		} else if id == 19 && h.now-h.balancer.requests[100+id].firstTryAt != 4*time.Second {
			t.Errorf("a last try seems %v old, not 4s", h.now-h.balancer.requests[100+id].firstTryAt)
		} else if id < 19 {
			h.end(100+id, sent.Worker, OK, Report{})
		}
	}
}

// Failure (classes with ordered keys): a request was sent while an earlier one of its key was not done. The table
// lists what must happen before the second request of a key is sent.
func TestRequestsOfAKeyAreSentInOrder(t *testing.T) {
	for name, c := range map[string]struct {
		result Result
		wait   time.Duration // after the end of the first request's attempt
	}{
		"served":    {OK, 0},
		"error":     {Failed, 0},
		"time-out":  {TimedOut, 50 * ms},
		"reset":     {Reset, 50 * ms},
		"cancelled": {Cancelled, 50 * ms},
	} {
		s := baseSettings()
		s.MaxAttempts, s.KeyPause, s.Cancel, s.ReportsStart = 1, 50*ms, true, true
		s.Classes[0].InOrder, s.Classes[0].Effect, s.Classes[0].LatencyTarget = true, Keyed, 10*time.Second
		h := newHarness(t, s, newMembers(6)...)
		arrive := func(id uint64, key string) *Action {
			return findAction(h.step(Event{Kind: Arrived, Request: id, Class: "c", Key: key, Budget: 5 * time.Second, Slots: 1}), Send)
		}
		first := arrive(1, "k")
		if first == nil || arrive(2, "k") != nil || arrive(3, "k") != nil {
			t.Fatalf("%s: want the first of three sent at once and no other", name)
		}
		if arrive(4, "other") == nil || arrive(5, "") == nil || arrive(6, "") == nil {
			t.Fatalf("%s: requests of other keys or without a key must not wait", name)
		}
		h.now += 100 * ms
		h.step(Event{Kind: Departed, Request: 1}) // done, but its attempt is in flight
		if a := findAction(h.step(Event{Kind: TimerDue, Timer: queueTimer}), Send); a != nil {
			t.Fatalf("%s: request %d sent while an attempt of its key is in flight", name, a.Request)
		}
		ended := h.now
		acts := h.step(Event{Kind: Ended, Request: 1, Worker: first.Worker, Result: c.result, Final: true})
		for findAction(acts, Send) == nil && h.now < ended+time.Second {
			h.now += ms
			acts = h.step(Event{Kind: TimerDue, Timer: queueTimer})
		}
		if a := findAction(acts, Send); a == nil || a.Request != 2 || h.now-ended != c.wait {
			t.Errorf("%s: want request 2 sent after a pause of %v: %+v after %v", name, c.wait, a, h.now-ended)
		}
		for id := range uint64(7) { // all end; no key queue may be left over
			h.step(Event{Kind: Departed, Request: id})
			h.step(Event{Kind: Ended, Request: id, Result: OK, Final: true})
		}
		h.now += time.Second
		if arrive(8, "new"); len(h.balancer.keyQueues) != 1 {
			t.Errorf("%s: %d key queues are stored", name, len(h.balancer.keyQueues))
		}
	}
}

// Failure (overload where late responses earn a share): all requests had the same value, so the oldest were served
// and all of them were late. A fresh request must go before one that is already late.
func TestFreshJobsGoBeforeLateOnes(t *testing.T) {
	s := baseSettings()
	s.Classes[0].LateShare = 0.25
	h := newHarness(t, s, newMembers(1)...)
	h.balancer.ring[0].fullUntil = h.now + 3*time.Second // nothing is sent for a while
	old, _ := h.request()
	h.now += 3 * time.Second
	h.balancer.ring[0].fullUntil = h.now + ms
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

// Failure (late responses earn a share): nothing was refused before a distant deadline, so no slot was kept for
// valuable requests. A job that starts too late must count as shortage.
func TestLateStartsCountAsShortage(t *testing.T) {
	s := baseSettings()
	s.ReportsStart, s.Classes[0].LateShare = true, 0.3
	h := newHarness(t, s, newMembers(9)...)
	for i := range 20 {
		id, w := h.sendRequest()
		h.now += time.Duration(i/10) * 2 * time.Second // ten at once, ten too late
		h.step(Event{Kind: Progressed, Request: id, Worker: w, Started: true})
		if late := h.balancer.shortage > 0; late != (i >= 10) {
			t.Fatalf("job %d: shortage %v", i, h.balancer.shortage)
		}
		h.end(id, w, OK, Report{})
	}
}

// Failure (unsafe requests, start reports): a job cannot leave a worker's queue. Without a shortage it waited for a
// slot that was only assumed to be taken. In a shortage it was sent to a slot that was only assumed to be free, and
// was lost.
func TestUnsafeRequestsNeedMoreCapacityInShortage(t *testing.T) {
	for _, c := range []struct {
		effect          Effect
		shortage, taken float64
		want            bool
	}{{Unsafe, 0, 3.3, true}, {Safe, 0, 3.3, false}, {Unsafe, 0.8, 2.9, false}, {Safe, 0.8, 2.9, true}} {
		s := baseSettings()
		s.ReportsStart, s.Classes[0].Effect = true, c.effect
		h := newHarness(t, s, newMembers(1)...)
		w := h.balancer.ring[0]
		w.slots, w.ownSlots, h.balancer.shortage = 4, c.taken, c.shortage
		r := &request{class: h.balancer.classes["c"], slots: 1, value: 1, firstTryAt: h.now, respondBy: h.now + 5*time.Second}
		h.balancer.estimate(r)
		if got := h.balancer.hasCapacity(h.now, r, w); got != c.want {
			t.Errorf("%+v: capacity %v", c, got)
		}
	}
}

// Failure (requests of several slots): requests of the highest value for their work went first. A class whose
// requests take several slots came last whenever a slot was free, and the score depends on the worst-served class.
func TestClassServedWorstGoesSooner(t *testing.T) {
	s := baseSettings()
	s.Goal = Goal{Whole: 0.45, WorstClass: 0.3}
	s.Classes = append(s.Classes, Class{Name: "wide", LatencyTarget: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 1})
	h := newHarness(t, s, newMembers(1)...)
	small := &request{class: h.balancer.classes["c"], slots: 1, work: 0.1, firstTryAt: h.now}
	wide := &request{class: h.balancer.classes["wide"], slots: 2, work: 0.1, firstTryAt: h.now}
	if h.balancer.value(h.now, wide) >= h.balancer.value(h.now, small) {
		t.Error("the wide request has a higher value though both classes are served equally")
	}
	h.balancer.requests[9] = wide
	for range 15 {
		h.balancer.reject(h.now, wide, NoCapacity)
	}
	if h.balancer.value(h.now, wide) <= h.balancer.value(h.now, small) {
		t.Errorf("values: wide %g, small %g, though wide requests are served worse", h.balancer.value(h.now, wide), h.balancer.value(h.now, small))
	}
}

// Failure: small requests took each slot as it became free, and a request of several slots never started. Where
// capacity is reserved for it, other requests go there only if they end before the reservation starts or fit beside
// it. The request itself may go there from any home.
func TestReservedCapacityIsRespected(t *testing.T) {
	class := baseSettings().Classes[0].Name
	for _, c := range []struct {
		name        string
		reservation Reservation
		want        bool
	}{
		{"reserved for another request", Reservation{Request: 99}, false},
		{"reserved by another dispatcher", Reservation{}, false},
		{"reserved for this request", Reservation{Request: 1}, true},
		{"fits beside the reservation", Reservation{Request: 99, SpareSlots: 1}, true},
		{"ends before the reservation", Reservation{Request: 99, BackfillSlots: 1, BackfillUntil: map[string]time.Duration{class: time.Hour}}, true},
		{"ends after the reservation starts", Reservation{Request: 99, BackfillSlots: 1, BackfillUntil: map[string]time.Duration{class: 1}}, false},
		{"ends before the reservation, but is too large", Reservation{Request: 99, BackfillSlots: 0.5, BackfillUntil: map[string]time.Duration{class: time.Hour}}, false},
	} {
		h := newHarness(t, baseSettings(), newMembers(1)...)
		w := h.balancer.ring[0]
		h.step(Event{Kind: Reserved, Worker: w.ID, Request: c.reservation.Request, Reservation: &c.reservation})
		acts := h.step(Event{Kind: Arrived, Request: 1, Class: class, Budget: time.Second, Slots: 1})
		if got := findAction(acts, Send) != nil; got != c.want {
			t.Errorf("%s: sent %v", c.name, got)
		}
		if !c.want { // once released, any request may use it
			if acts := h.step(Event{Kind: Reserved, Worker: w.ID}); findAction(acts, Send) == nil {
				t.Errorf("%s: not sent after the reservation was released", c.name)
			}
		}
	}
	// The request finds its reservation from any home. A drain ends the reservation.
	h := newHarness(t, baseSettings(), newMembers(40)...)
	far := h.balancer.ring[20]
	for _, w := range h.balancer.ring {
		w.fullUntil = h.now + time.Hour
	}
	h.step(Event{Kind: Arrived, Request: 7, Class: class, Budget: time.Second, Slots: 1})
	far.fullUntil = 0
	if a := findAction(h.step(Event{Kind: Reserved, Worker: far.ID, Request: 7, Reservation: &Reservation{Request: 7}}), Send); a == nil || a.Worker != far.ID {
		t.Error("a request did not use its reservation")
	}
	m := far.Member
	m.State = Draining
	if h.step(Event{Kind: Listed, List: Changes, Members: []Member{m}}); far.reservation != nil {
		t.Error("a draining worker has a reservation")
	}
}

// In a shortage, requests of a tenant beyond its share go after those of tenants within their shares, for as long as
// the decision about shares is valid.
func TestTenantsBeyondTheirSharesGoLater(t *testing.T) {
	s := baseSettings()
	s.Fleet, s.BeyondShareValue = 1, 0.1
	s.Classes[0].Value = 1
	h := newHarness(t, s, newMembers(1)...)
	id, at := h.sendRequest() // the only slot
	h.step(Event{Kind: Ended, Request: id, Worker: at, Result: OK, Final: true, Elapsed: 50 * ms, Report: Report{Present: true, InFlight: 1, Free: 0}})
	first := func() string {
		h.balancer.queued = nil
		arrive := func(id uint64, tenant string) {
			h.step(Event{Kind: Arrived, Request: id, Class: "c", Budget: 5 * time.Second, Slots: 1, Tenant: tenant})
		}
		w := h.balancer.workers[at]
		w.fullUntil = h.now + time.Hour
		h.nextID += 2
		arrive(h.nextID, "much")
		arrive(h.nextID+1, "little")
		h.nextID++
		h.balancer.placeQueued(h.now)
		if len(h.balancer.queued) != 2 {
			t.Fatalf("%d queued", len(h.balancer.queued))
		}
		return h.balancer.queued[0].tenant
	}
	if got := first(); got != "much" {
		t.Fatalf("%s goes first without a decision about shares, want the first to arrive", got)
	}
	h.step(Event{Kind: TenantShares, TenantParts: map[string]float64{"much": 0.6}, Elapsed: 2 * time.Second})
	if got := first(); got != "little" {
		t.Fatalf("%s goes first", got)
	}
	r := h.balancer.queued[0]
	if had := h.balancer.value(h.now, h.balancer.queued[1]) / h.balancer.value(h.now, r); math.Abs(had-0.64) > 0.01 {
		t.Fatalf("relative value %.2f of a request whose tenant has 0.6 of its demand within its share", had)
	}
	h.now += 3 * time.Second
	if got := first(); got != "much" {
		t.Fatalf("%s goes first after the decision expired", got)
	}
}
