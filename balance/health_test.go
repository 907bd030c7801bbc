package balance

import (
	"testing"
	"time"
)

// Failure (vast days): a job that waits behind others' for less than a few running times is no sign that its
// worker is silent, where no more of this dispatcher's own jobs are there. Many are.
func TestSilenceIsJudgedByWhatIsOut(t *testing.T) {
	for _, out := range []int{1, 8} {
		s := base()
		s.TellsStart, s.Cancel = true, true
		h := start(t, s, fleet(3)...)
		id, at := h.sent()
		w := h.b.workers[at]
		for range out - 1 {
			h.b.addOwnLoad(h.now, w, h.b.requests[id], 1)
		}
		for range 8 {
			h.now += 25 * ms
			h.step(Event{Kind: TimerDue, Timer: id})
		}
		if got := h.now < w.ejectedUntil; got != (out > 1) {
			t.Errorf("%d out and 200 ms of silence: ejected %v", out, got)
		}
	}
}

// A worker that errors quickly keeps a short queue; it must not gain by it.
func TestFastFailingWorkerIsEjected(t *testing.T) {
	h := start(t, base(), fleet(4)...)
	bad, toBad := "w00", 0
	for range 200 {
		id, acts := h.request()
		for a := find(acts, Send); a != nil; a = find(acts, Send) {
			h.now += 5 * ms
			if a.Worker != bad {
				h.end(id, a.Worker, OK, Report{})
				break
			}
			toBad++
			h.step(Event{Kind: Ended, Request: id, Attempt: a.Attempt, Worker: bad, Result: Failed})
			break
		}
		h.now += 10 * ms
	}
	if toBad > 20 {
		t.Errorf("%d of 200 requests went to a worker that always fails", toBad)
	}
}

// Failure: an answer to a probe cleared a worker that failed all its jobs fast.
func TestProbeAnswerIsNoProofOfHealth(t *testing.T) {
	h := start(t, base(), fleet(3)...)
	w := h.b.ring[0]
	h.b.applyResult(h.now, w, nil, Failed)
	h.step(Event{Kind: Probed, Worker: w.ID, Result: OK, Report: Report{Present: true, Free: 4}})
	h.b.applyResult(h.now, w, nil, Failed)
	if h.now >= w.ejectedUntil {
		t.Error("not ejected after two failures in a row with a probe answered in between")
	}
	h.step(Event{Kind: Probed, Worker: h.b.ring[1].ID, Result: NoConnection})
	if h.now >= h.b.ring[1].ejectedUntil {
		t.Error("a worker that a probe could not reach is not ejected")
	}
}

// Failure (workers that turn away one class though they have room, where 'full' is no proof): each job sent back there
// was lost. One 'full' keeps that class away, no other class, and only while other workers are left.
func TestFullThatLosesTheJobKeepsItsClassAway(t *testing.T) {
	s := base()
	s.FullMayHaveRun, s.TellsStart, s.Classes[0].Effect = true, true, Unsafe
	s.Classes = append(s.Classes, Class{Name: "other", Aim: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Worth: 1})
	h := start(t, s, fleet(3)...)
	id, bad := h.sent()
	if a := find(h.end(id, bad, Full, Report{}), Fail); a == nil {
		t.Fatal("an unsafe job that may have run must fail at once")
	}
	met := map[string]bool{}
	for i := range uint64(60) {
		h.now += 100 * ms
		id, w := h.sent()
		if w == bad {
			t.Fatal("the class was sent there again")
		}
		h.end(id, w, OK, Report{})
		a := find(h.step(Event{Kind: Arrived, Request: 1000 + i, Class: "other", Budget: 5 * time.Second, Slots: 1}), Send)
		met[a.Worker] = true
		h.end(1000+i, a.Worker, OK, Report{})
	}
	if !met[bad] {
		t.Error("another class was kept away as well")
	}
	for _, m := range fleet(3) {
		h.b.applyResult(h.now, h.b.workers[m.ID], h.b.classes["c"], Full)
	}
	if _, acts := h.request(); find(acts, Send) == nil {
		t.Error("with all workers shut nothing is sent any more")
	}
}

// Failure (days on which connections break): two resets in a row ejected a worker that was well, for up to 8 s, and
// half of the fleet stood idle. Resets must count for less than answers that say so, and rests stay short.
func TestBrokenConnectionsEjectLate(t *testing.T) {
	for _, c := range []struct {
		results []Result
		want    bool
	}{
		{[]Result{Failed}, false}, {[]Result{Failed, Failed}, true}, {[]Result{Reset, Reset, Reset}, false},
		{[]Result{Reset, Reset, Reset, Reset}, true}, {[]Result{Reset, Failed, Reset}, true}, {[]Result{Reset, Failed, OK, Reset}, false},
	} {
		h := start(t, base(), fleet(4)...)
		w := h.b.ring[0]
		for _, res := range c.results {
			h.b.applyResult(h.now, w, h.b.classes["c"], res)
		}
		if got := h.now < w.ejectedUntil; got != c.want {
			t.Errorf("%v: ejected %v", c.results, got)
		}
		for range 9 { // however often it fails in its trials
			h.now = max(h.now, w.ejectedUntil)
			h.b.applyResult(h.now, w, h.b.classes["c"], Failed)
			h.b.applyResult(h.now, w, h.b.classes["c"], Failed)
		}
		if rest := w.ejectedUntil - h.now; rest > ejectionTime<<ejectionDoublings {
			t.Errorf("%v: rests for %v", c.results, rest)
		}
	}
}

// Failure (a worker that sheds one class): it turned purchases away within a millisecond, so it looked idle and drew
// the next ones, each of which had three tries and then none.
func TestClassThatIsTurnedAwayRestsLonger(t *testing.T) {
	s := base()
	s.TellsStart = true
	h := start(t, s, fleet(2)...)
	w, c := h.b.ring[0], h.b.classes["c"]
	r := &request{class: c, slots: 1}
	last := time.Duration(0)
	for range 5 {
		h.b.applyResult(h.now, w, c, Full)
		if rest := c.blocked[w.ID].until - h.now; rest <= last {
			t.Fatalf("rests for %v after %v", rest, last)
		} else {
			last = rest
		}
		if h.b.eligible(h.now, r, w, 0) || !h.b.eligible(h.now, r, w, 1) {
			t.Error("it is not left out while others are there, or left out when they are not")
		}
		h.now += last
	}
	h.b.applyResult(h.now, w, c, OK)
	if len(c.blocked) > 0 {
		t.Error("a job that was served does not end the rest")
	}
}

// Failure (a fault of a change to ejections): a worker ejected for its silence has failed at nothing, and is back as
// soon as it is heard.
func TestSilentWorkerComesBackWhenHeard(t *testing.T) {
	h := start(t, base(), fleet(4)...)
	w := h.b.ring[0]
	h.b.eject(h.now, w, false)
	h.b.markAlive(h.now+ms, w)
	if h.now+2*ms < w.ejectedUntil {
		t.Error("it was heard and is still ejected")
	}
}

// What one judges for all is respected: nothing goes to a worker that is judged ill, one job at a time once
// that is over, and as many as ever once it has served one.
func TestJudgedWorkerIsLeftOut(t *testing.T) {
	h := start(t, base(), fleet(9)...)
	share := func(n int) (at int) {
		for range n {
			id, w := h.sent()
			if w == "w03" {
				at++
			}
			h.end(id, w, OK, Report{})
		}
		return at
	}
	if share(300) == 0 {
		t.Fatal("w03 is of no use to this test")
	}
	h.step(Event{Kind: Judged, Worker: "w03", Elapsed: 1500 * ms})
	h.step(Event{Kind: Judged, Worker: "no such worker", Elapsed: 1500 * ms})
	h.now += 1499 * ms
	h.step(Event{Kind: Judged, Worker: "w03", Elapsed: 1000 * ms}) // it is told again while it holds
	if n := share(300); n > 0 {
		t.Errorf("%d jobs went to a worker that is judged ill", n)
	}
	h.now += 1001 * ms
	var there []uint64
	for range 300 {
		if id, w := h.sent(); w == "w03" {
			there = append(there, id)
		} else {
			h.end(id, w, OK, Report{})
		}
	}
	if len(there) != 1 {
		t.Fatalf("%d jobs tried it at once", len(there))
	}
	h.end(there[0], "w03", OK, Report{})
	if share(300) == 0 {
		t.Error("it never came back")
	}
	h.step(Event{Kind: Judged, Worker: "w03", Elapsed: 1500 * ms})
	h.step(Event{Kind: Judged, Worker: "w03"})
	if share(300) == 0 {
		t.Error("a verdict that is taken back still holds")
	}
}

// Who takes a worker out of its own draw says so, and why.
func TestEjectionsAreTold(t *testing.T) {
	h := start(t, base(), fleet(9)...)
	var told []Action
	for range 500 {
		id, w := h.sent()
		res := OK
		if w == "w03" {
			res = Failed
		}
		if a := find(h.end(id, w, res, Report{}), Doubt); a != nil {
			told = append(told, *a)
		}
		h.step(Event{Kind: Departed, Request: id})
	}
	if len(told) == 0 || told[0].Worker != "w03" || !told[0].Failing {
		t.Fatalf("told: %+v", told)
	}
}
