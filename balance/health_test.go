package balance

import (
	"testing"
	"time"
)

// Failure: a job waited behind others' jobs for less than a few run times. This is no sign that its worker is silent
// if it is this dispatcher's only job there. With many own jobs there it is one.
func TestSilenceLimitDependsOnAttemptsInFlight(t *testing.T) {
	for _, inFlight := range []int{1, 8} {
		s := baseSettings()
		s.ReportsStart, s.Cancel = true, true
		h := newHarness(t, s, newMembers(3)...)
		id, at := h.sendRequest()
		w := h.balancer.workers[at]
		for range inFlight - 1 {
			h.balancer.addOwnLoad(h.now, w, h.balancer.requests[id], 1)
		}
		for range 8 {
			h.now += 25 * ms
			h.step(Event{Kind: TimerDue, Timer: id})
		}
		if got := h.now < w.ejectedUntil; got != (inFlight > 1) {
			t.Errorf("%d attempts in flight and 200 ms of silence: ejected %v", inFlight, got)
		}
	}
}

// A worker that fails quickly keeps a short queue. It must not get more requests for that.
func TestFastFailingWorkerIsEjected(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(4)...)
	failing, sentToFailing := "w00", 0
	for range 200 {
		id, acts := h.request()
		for a := findAction(acts, Send); a != nil; a = findAction(acts, Send) {
			h.now += 5 * ms
			if a.Worker != failing {
				h.end(id, a.Worker, OK, Report{})
				break
			}
			sentToFailing++
			h.step(Event{Kind: Ended, Request: id, Attempt: a.Attempt, Worker: failing, Result: Failed})
			break
		}
		h.now += 10 * ms
	}
	if sentToFailing > 20 {
		t.Errorf("%d of 200 requests went to a worker that always fails", sentToFailing)
	}
}

// Failure: a response to a probe reset the failures of a worker that failed all its jobs quickly.
func TestProbeResponseIsNoProofOfHealth(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(3)...)
	w := h.balancer.ring[0]
	h.balancer.applyResult(h.now, w, nil, Failed)
	h.step(Event{Kind: Probed, Worker: w.ID, Result: OK, Report: Report{Present: true, Free: 4}})
	h.balancer.applyResult(h.now, w, nil, Failed)
	if h.now >= w.ejectedUntil {
		t.Error("not ejected after two failures in a row with a response to a probe in between")
	}
	h.step(Event{Kind: Probed, Worker: h.balancer.ring[1].ID, Result: NoConnection})
	if h.now >= h.balancer.ring[1].ejectedUntil {
		t.Error("a worker that a probe could not reach is not ejected")
	}
}

// Failure: workers refused one class although they had capacity, and 'full' did not prove that the job had not run.
// Each job of the class that was sent there again was lost. One 'full' must block that class at the worker, no other
// class, and only while other workers are left.
func TestFullWithoutProofBlocksTheClass(t *testing.T) {
	s := baseSettings()
	s.FullMayHaveRun, s.ReportsStart, s.Classes[0].Effect = true, true, Unsafe
	s.Classes = append(s.Classes, Class{Name: "other", LatencyTarget: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 1})
	h := newHarness(t, s, newMembers(3)...)
	id, full := h.sendRequest()
	if a := findAction(h.end(id, full, Full, Report{}), Fail); a == nil {
		t.Fatal("an unsafe request that may have run must fail at once")
	}
	used := map[string]bool{}
	for i := range uint64(60) {
		h.now += 100 * ms
		id, w := h.sendRequest()
		if w == full {
			t.Fatal("a request of the class was sent there again")
		}
		h.end(id, w, OK, Report{})
		a := findAction(h.step(Event{Kind: Arrived, Request: 1000 + i, Class: "other", Budget: 5 * time.Second, Slots: 1}), Send)
		used[a.Worker] = true
		h.end(1000+i, a.Worker, OK, Report{})
	}
	if !used[full] {
		t.Error("another class was blocked as well")
	}
	for _, m := range newMembers(3) {
		h.balancer.applyResult(h.now, h.balancer.workers[m.ID], h.balancer.classes["c"], Full)
	}
	if _, acts := h.request(); findAction(acts, Send) == nil {
		t.Error("with the class blocked at all workers, nothing is sent")
	}
}

// Failure: two broken connections in a row ejected a healthy worker for up to 8 s, and half of the fleet was idle.
// Resets must count less than failures, and ejections must stay short.
func TestResetsEjectLaterThanFailures(t *testing.T) {
	for _, c := range []struct {
		results []Result
		want    bool
	}{
		{[]Result{Failed}, false}, {[]Result{Failed, Failed}, true}, {[]Result{Reset, Reset, Reset}, false},
		{[]Result{Reset, Reset, Reset, Reset}, true}, {[]Result{Reset, Failed, Reset}, true}, {[]Result{Reset, Failed, OK, Reset}, false},
	} {
		h := newHarness(t, baseSettings(), newMembers(4)...)
		w := h.balancer.ring[0]
		for _, res := range c.results {
			h.balancer.applyResult(h.now, w, h.balancer.classes["c"], res)
		}
		if got := h.now < w.ejectedUntil; got != c.want {
			t.Errorf("%v: ejected %v", c.results, got)
		}
		for range 9 { // repeated failures in trials
			h.now = max(h.now, w.ejectedUntil)
			h.balancer.applyResult(h.now, w, h.balancer.classes["c"], Failed)
			h.balancer.applyResult(h.now, w, h.balancer.classes["c"], Failed)
		}
		if ejection := w.ejectedUntil - h.now; ejection > ejectionTime<<ejectionDoublings {
			t.Errorf("%v: ejected for %v", c.results, ejection)
		}
	}
}

// Failure: a worker refused one class within a millisecond. It looked idle and attracted the next requests of that
// class, each of which used up its three attempts there.
func TestRepeatedFullBlocksTheClassLonger(t *testing.T) {
	s := baseSettings()
	s.ReportsStart = true
	h := newHarness(t, s, newMembers(2)...)
	w, c := h.balancer.ring[0], h.balancer.classes["c"]
	r := &request{class: c, slots: 1}
	last := time.Duration(0)
	for range 5 {
		h.balancer.applyResult(h.now, w, c, Full)
		if blocked := c.blocked[w.ID].until - h.now; blocked <= last {
			t.Fatalf("blocked for %v after %v", blocked, last)
		} else {
			last = blocked
		}
		if h.balancer.eligible(h.now, r, w, 0) || !h.balancer.eligible(h.now, r, w, 1) {
			t.Error("want the worker skipped in pass 0 and used in pass 1")
		}
		h.now += last
	}
	h.balancer.applyResult(h.now, w, c, OK)
	if len(c.blocked) > 0 {
		t.Error("a served job does not end the block")
	}
}

// Failure: a worker ejected for its silence stayed ejected after a sign of life. It has no failures and must be used
// again at once.
func TestSignOfLifeEndsEjectionForSilence(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(4)...)
	w := h.balancer.ring[0]
	h.balancer.eject(h.now, w, false)
	h.balancer.markAlive(h.now+ms, w)
	if h.now+2*ms < w.ejectedUntil {
		t.Error("still ejected after a sign of life")
	}
}

// A decision of one scheduler for all is applied. An ejected worker gets nothing, then one job at a time, and an
// unlimited number after it served one.
func TestFleetDecisionEjectsWorker(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(9)...)
	share := func(n int) (at int) {
		for range n {
			id, w := h.sendRequest()
			if w == "w03" {
				at++
			}
			h.end(id, w, OK, Report{})
		}
		return at
	}
	if share(300) == 0 {
		t.Fatal("w03 gets no requests before the test")
	}
	h.step(Event{Kind: WorkerEjected, Worker: "w03", Elapsed: 1500 * ms})
	h.step(Event{Kind: WorkerEjected, Worker: "no such worker", Elapsed: 1500 * ms})
	h.now += 1499 * ms
	h.step(Event{Kind: WorkerEjected, Worker: "w03", Elapsed: 1000 * ms}) // a second decision while the first applies
	if n := share(300); n > 0 {
		t.Errorf("%d jobs went to an ejected worker", n)
	}
	h.now += 1001 * ms
	var trials []uint64
	for range 300 {
		if id, w := h.sendRequest(); w == "w03" {
			trials = append(trials, id)
		} else {
			h.end(id, w, OK, Report{})
		}
	}
	if len(trials) != 1 {
		t.Fatalf("%d jobs in flight during the trial", len(trials))
	}
	h.end(trials[0], "w03", OK, Report{})
	if share(300) == 0 {
		t.Error("it is not used after the trial")
	}
	h.step(Event{Kind: WorkerEjected, Worker: "w03", Elapsed: 1500 * ms})
	h.step(Event{Kind: WorkerEjected, Worker: "w03"})
	if share(300) == 0 {
		t.Error("a revoked decision still applies")
	}
}

// A dispatcher that ejects a worker reports the suspicion and its reason.
func TestEjectionsAreReported(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(9)...)
	var reported []Action
	for range 500 {
		id, w := h.sendRequest()
		res := OK
		if w == "w03" {
			res = Failed
		}
		if a := findAction(h.end(id, w, res, Report{}), SuspectWorker); a != nil {
			reported = append(reported, *a)
		}
		h.step(Event{Kind: Departed, Request: id})
	}
	if len(reported) == 0 || reported[0].Worker != "w03" || !reported[0].Failing {
		t.Fatalf("reported: %+v", reported)
	}
}
