package balance

import (
	"testing"
	"time"
)

// Rule 2 as a table: the attempts and final responses that may follow the result of the first attempt.
func TestWhatMayFollow(t *testing.T) {
	zone, far := Member{ID: "same-zone", Zone: "a", Cell: "2"}, Member{ID: "far", Zone: "b", Cell: "3"}
	cell := Member{ID: "same-cell", Zone: "a", Cell: "1"}
	first := Member{ID: "first", Zone: "a", Cell: "1"}
	for _, c := range []struct {
		effect           Effect
		scope            Scope
		result           Result
		cell, zone, far_ bool
		refuse           bool
		noProof          bool // 'full' does not prove that the attempt did not run
	}{
		{Safe, ScopeAll, Failed, true, true, true, true, false},
		{Safe, ScopeAll, Full, true, true, true, true, false},
		{Keyed, ScopeAll, Failed, true, true, true, true, false},
		{Keyed, ScopeZone, Failed, true, true, false, false, false},
		{Keyed, ScopeZone, TimedOut, true, true, false, false, false},
		{Keyed, ScopeCell, Reset, true, false, false, false, false},
		{Keyed, ScopeCell, Cancelled, true, false, false, false, false},
		{Keyed, ScopeCell, Full, true, true, true, true, false},
		{Keyed, ScopeZone, NoConnection, true, true, true, true, false},
		{Unsafe, ScopeAll, Failed, false, false, false, false, false},
		{Unsafe, ScopeAll, TimedOut, false, false, false, false, false},
		{Unsafe, ScopeAll, NeverSent, true, true, true, true, false},
		{Unsafe, ScopeAll, Full, true, true, true, true, false},
		{Safe, ScopeAll, Full, true, true, true, true, true},
		{Keyed, ScopeAll, Full, true, true, true, true, true},
		{Keyed, ScopeZone, Full, true, true, false, false, true},
		{Keyed, ScopeCell, Full, true, false, false, false, true},
		{Keyed, ScopeCell, NoConnection, true, true, true, true, true},
		{Unsafe, ScopeAll, Full, false, false, false, false, true},
		{Unsafe, ScopeAll, NeverSent, true, true, true, true, true},
	} {
		s := baseSettings()
		s.Classes[0].Effect, s.Classes[0].Scope, s.Classes[0].Window = c.effect, c.scope, time.Second
		s.FullMayHaveRun = c.noProof
		h := newHarness(t, s)
		r := &request{class: h.balancer.classes["c"], attempts: []attempt{{worker: &worker{Member: first}, sentAt: h.now, result: c.result}}}
		for m, want := range map[Member]bool{cell: c.cell, zone: c.zone, far: c.far_} {
			if got := h.balancer.maySend(h.now+500*ms, r, &worker{Member: m}); got != want {
				t.Errorf("%+v: send to %s: %v", c, m.ID, got)
			}
		}
		if h.balancer.mayRefuse(r) != c.refuse {
			t.Errorf("%+v: refusal: %v", c, !c.refuse)
		}
		if c.effect == Keyed && !h.balancer.neverRan(c.result) && h.balancer.maySend(h.now+time.Second, r, &worker{Member: first}) {
			t.Errorf("%+v: sent after the window", c)
		}
		r.attempts[0].inFlight = true
		if c.effect == Unsafe && h.balancer.maySend(h.now, r, &worker{Member: cell}) {
			t.Errorf("%+v: sent while an attempt is in flight", c)
		}
	}
}

// Failure: jobs sent to a slot that only late reports showed as free waited in the worker's queue until they were
// late.
//
// Failure (80 dispatchers): a quarter of all attempts were cancelled at healthy workers. The jobs ran there all the
// same, and each cancelled attempt added a further one to the queues.
func TestUnstartedAttemptIsRetriedElsewhere(t *testing.T) {
	for _, duplicates := range []bool{true, false} {
		s := baseSettings()
		s.ReportsStart, s.Duplicates, s.Cancel, s.Fleet = true, duplicates, true, 1
		h := newHarness(t, s, newMembers(3)...)
		id, w := h.sendRequest()
		h.now += 50 * ms
		acts := h.step(Event{Kind: TimerDue, Timer: id})
		if send := findAction(acts, Send); duplicates && (send == nil || send.Worker == w) {
			t.Errorf("no duplicate at another worker: %+v", acts)
		} else if duplicates {
			h.now += ms
			acts = h.step(Event{Kind: Progressed, Request: id, Attempt: 1, Worker: send.Worker, Started: true})
			if c := findAction(acts, Cancel); c == nil || c.Attempt != 0 {
				t.Errorf("the waiting duplicate was not cancelled: %+v", acts)
			}
			continue
		}
		if findAction(acts, Cancel) != nil {
			t.Errorf("cancelled at a worker that is not ejected: %+v", acts)
		}
		h.balancer.eject(h.now, h.balancer.workers[w], false)
		h.now += 25 * ms
		acts = h.step(Event{Kind: TimerDue, Timer: id})
		if c := findAction(acts, Cancel); c == nil || c.Attempt != 0 {
			t.Errorf("not cancelled at an ejected worker: %+v", acts)
		}
		before := h.balancer.retryTokens
		if send := findAction(h.end(id, w, Cancelled, Report{}), Send); send == nil || send.Worker == w {
			t.Error("not sent to another worker after it was cancelled")
		}
		if h.balancer.retryTokens != before {
			t.Error("a cancelled attempt used up a retry")
		}
	}
}

// Failure: without start reports jobs cannot be cancelled. Further attempts after 'full' then filled all queues, and
// every response was late.
func TestFullEndsRequestWithoutStartReports(t *testing.T) {
	for _, startReports := range []bool{false, true} {
		s := baseSettings()
		s.ReportsStart = startReports
		h := newHarness(t, s, newMembers(4)...)
		id, w := h.sendRequest()
		acts := h.end(id, w, Full, Report{})
		if refused := findAction(acts, Refuse) != nil; refused == startReports || startReports != (findAction(acts, Send) != nil) {
			t.Errorf("start reports %v: got actions %+v", startReports, acts)
		}
	}
}

// Failure: starts in a distant zone were reported a round trip later and seemed missed, so every job there was
// cancelled again and again.
func TestStartsInDistantZoneAreNotMissed(t *testing.T) {
	s := baseSettings()
	s.ReportsStart, s.Cancel, s.DialTimeout = true, true, 250*ms
	members := newMembers(4)
	members[2].Zone, members[3].Zone = "far", "far"
	h := newHarness(t, s, members...)
	far := 0
	for range 100 {
		id, w := h.sendRequest()
		delay := ms
		if w >= "w02" {
			delay = 80 * ms
			far++
		}
		if delay > 10*ms {
			h.now += 40 * ms
			if acts := h.step(Event{Kind: TimerDue, Timer: id}); findAction(acts, Cancel) != nil {
				t.Fatalf("job %d was cancelled at %s before its start could be reported", id, w)
			}
			delay -= 40 * ms
		}
		h.now += delay
		h.step(Event{Kind: Progressed, Request: id, Worker: w, Started: true})
		h.now += 100 * ms
		h.end(id, w, OK, Report{})
	}
	if far < 10 {
		t.Errorf("%d jobs of 100 went to the distant zone", far)
	}
}

// Failure (overload with a limit on further attempts): 12 further attempts within 2 s where 11.6 were allowed. Every
// kind of further attempt counts, over every window that ends with an event.
func TestFurtherAttemptsStayWithinBudget(t *testing.T) {
	for _, res := range []Result{Full, NoConnection, Failed} {
		s := baseSettings()
		s.RetryBudgetFree, s.RetryBudgetRatio, s.RetryBudgetWindow, s.ReportsStart = 2, 0.1, 2*time.Second, true
		h := newHarness(t, s, newMembers(40)...)
		var accepted, further []time.Duration
		inWindow := func(ts []time.Duration) (n float64) {
			for _, at := range ts {
				if at >= h.now-s.RetryBudgetWindow {
					n++
				}
			}
			return n
		}
		tries := map[uint64]int{}
		for i := range 600 { // two attempts in three fail, evenly or in bursts
			h.now += 20 * ms * time.Duration(i/100%3)
			_, acts := h.request()
			accepted = append(accepted, h.now)
			acts = append(acts, h.step(Event{Kind: TimerDue, Timer: queueTimer})...)
			for n := 0; n < len(acts); n++ {
				a := acts[n]
				if a.Kind != Send {
					continue
				}
				if tries[a.Request]++; tries[a.Request] > 1 {
					further = append(further, h.now)
				}
				if inWindow(further) > s.RetryBudgetFree+s.RetryBudgetRatio*inWindow(accepted) {
					t.Fatalf("result %d: %v further attempts for %v requests", res, inWindow(further), inWindow(accepted))
				}
				end := Event{Kind: Ended, Request: a.Request, Attempt: tries[a.Request] - 1, Worker: a.Worker, Result: res}
				if i%3 == 0 {
					end.Result, end.Final = OK, true
				}
				acts = append(acts, h.step(end)...)
			}
		}
		if len(further) < 5 {
			t.Errorf("result %d: only %d further attempts, too few for this test", res, len(further))
		}
	}
}

// Failure (overload where a cancel does not stop a job): duplicates of waiting jobs made more work than they saved
// and kept all queues full. Duplicates that do not start promptly must use up the retries. Those that do may
// continue.
func TestUnsuccessfulDuplicatesUseUpRetries(t *testing.T) {
	for _, prompt := range []bool{false, true} {
		s := baseSettings()
		s.ReportsStart, s.Duplicates, s.Cancel, s.Fleet = true, true, true, 1
		h := newHarness(t, s, newMembers(40)...)
		moves := 0
		for range 60 {
			id, _ := h.sendRequest()
			h.now += 50 * ms
			acts := h.step(Event{Kind: TimerDue, Timer: id})
			if findAction(acts, Send) != nil {
				moves++
				if prompt {
					h.step(Event{Kind: Progressed, Request: id, Attempt: 1, Started: true})
				}
			}
			for i := range 2 {
				h.step(Event{Kind: Ended, Request: id, Attempt: i, Result: OK, Final: true})
			}
			h.now += time.Second
		}
		if limit := retryBurst/2 + 60*retryRatio + 1; !prompt && float64(moves) > limit {
			t.Errorf("%d duplicates of 60 jobs though none found a free slot, over %v", moves, limit)
		} else if prompt && moves < 50 {
			t.Errorf("%d duplicates of 60 jobs though all found a free slot", moves)
		}
	}
}

// Failure: a client left while its request ran and came again with the same key. The new request may go only where the earlier one
// would be dropped as a repeat, and nowhere once it would not be.
func TestRequestThatRepeatsAnEarlierOne(t *testing.T) {
	const window = 7500 * ms
	all := []string{"a1", "a2", "b3"}
	for name, c := range map[string]struct {
		effect  Effect
		scope   Scope
		age     time.Duration // of the earlier run, at a worker of zone a, cell 1
		workers []string      // that may get the request; none: it fails
	}{
		"same cell":          {Keyed, ScopeCell, 100 * ms, []string{"a1"}},
		"same zone":          {Keyed, ScopeZone, 100 * ms, []string{"a1", "a2"}},
		"anywhere":           {Keyed, ScopeAll, 100 * ms, all},
		"window over":        {Keyed, ScopeCell, window, nil},
		"must not be sent":   {Unsafe, ScopeAll, 100 * ms, nil},
		"may be sent anyhow": {Safe, ScopeAll, 100 * ms, all},
	} {
		t.Run(name, func(t *testing.T) {
			s := baseSettings()
			s.Classes[0].Effect, s.Classes[0].Scope, s.Classes[0].Window = c.effect, c.scope, window
			seen := map[string]bool{}
			h := newHarness(t, s, Member{ID: "a1", Zone: "a", Cell: "1"}, Member{ID: "a2", Zone: "a", Cell: "2"},
				Member{ID: "b3", Zone: "b", Cell: "1"})
			for id := range uint64(30) { // fills the workers, so that each is drawn
				acts := h.step(Event{Kind: Arrived, Request: id, Class: "c", Slots: 1, Budget: 5 * time.Second,
					Earlier: &EarlierRun{Zone: "a", Cell: "1", SentAt: h.now - c.age}})
				if a := findAction(acts, Send); a != nil {
					seen[a.Worker] = true
				}
				if (findAction(acts, Fail) != nil) != (c.workers == nil) {
					t.Fatalf("unexpected answer: %+v", acts)
				}
			}
			if len(seen) != len(c.workers) {
				t.Fatalf("sent to %v, want %v", seen, c.workers)
			}
			for _, w := range c.workers {
				if !seen[w] {
					t.Errorf("not sent to %s: %v", w, seen)
				}
			}
		})
	}
}
