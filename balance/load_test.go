package balance

import (
	"testing"
	"time"
)

// Failure: identical reports of idle workers were skipped, the view faded into a stale busy mean and idle
// workers were taken for full.
func TestRepeatedIdleReportsStayFresh(t *testing.T) {
	h := start(t, base(), fleet(3)...)
	h.b.otherShare = 1 // all looked busy a while ago
	idle := Report{Present: true, InFlight: 0, Waiting: 0, Free: 4}
	for range 12 {
		id, w := h.sent()
		h.now += 100 * ms
		h.end(id, w, OK, idle)
		h.now += 400 * ms
	}
	for _, w := range h.b.ring {
		if w.reportedAt > 0 && h.b.load(h.now, w) > 2 {
			t.Errorf("idle worker %s is taken for loaded with %.2f", w.ID, h.b.load(h.now, w))
		}
	}
}

// Failure: when reports came seconds late, own old work was taken for others'.
func TestLateReportsAreRecognised(t *testing.T) {
	h := start(t, base(), fleet(1)...)
	w := h.b.ring[0]
	w.slots = 4
	own := func(at time.Duration) float64 { return float64((at / (700 * ms)) % 4) }
	for i := range 400 {
		now := time.Hour + time.Duration(i)*50*ms
		w.ownSlots = own(now)
		w.loadHistory = append(w.loadHistory, sample{now, w.ownSlots})
		h.b.fitReportAge(now, w, own(now-1500*ms)+1)
		if len(w.loadHistory) > 64 {
			w.loadHistory = w.loadHistory[32:]
		}
	}
	if h.b.reportAge != 1500*ms {
		t.Errorf("reports 1.5 s old are taken to be %v old", h.b.reportAge)
	}
}

// Weights stay finite whatever is reported.
func TestWildReports(t *testing.T) {
	h := start(t, base(), fleet(5)...)
	for i := range 50 {
		_, acts := h.request()
		h.now += 100 * ms
		if a := find(acts, Send); a != nil {
			h.end(a.Request, a.Worker, OK, Report{Present: true, InFlight: 1e17 * float64(i%3), Waiting: 1e17, Free: float64(i % 2)})
		}
	}
	sum := 0.0
	for _, w := range h.b.ring {
		sum += h.b.cost(h.now, w, 0) + h.b.load(h.now, w)
	}
	if sum != sum || sum > 1e300 {
		t.Errorf("cost %v", sum)
	}
}

// Failure: under shared slowness jobs were sent and withdrawn again and again for free slots that were none.
func TestMissedStartsTeachCaution(t *testing.T) {
	s := base()
	s.TellsStart, s.Duplicates, s.Cancel, s.Fleet = true, true, true, 1
	h := start(t, s, fleet(6)...)
	before := h.b.assumedLoad
	for range 5 {
		id, _ := h.sent()
		h.now += 50 * ms
		h.step(Event{Kind: TimerDue, Timer: id})
		h.step(Event{Kind: Departed, Request: id})
	}
	missed := h.b.assumedLoad
	if missed <= before {
		t.Errorf("blind share %.2f after jobs that did not start, %.2f before", missed, before)
	}
	h.now += time.Minute
	for range 50 {
		id, w := h.sent()
		h.now += ms
		h.step(Event{Kind: Noted, Request: id, Worker: w, Started: true})
		h.now += 100 * ms
		h.end(id, w, OK, Report{})
	}
	if h.b.assumedLoad >= missed {
		t.Errorf("blind share %.2f after prompt starts, %.2f before", h.b.assumedLoad, missed)
	}
}

// Failure: after a jam with late reports, dispatchers that had learned to take all workers for full served nobody.
func TestCautionNeverTakesAllForFull(t *testing.T) {
	s := base()
	s.TellsStart, s.Cancel = true, true
	h := start(t, s, fleet(6)...)
	h.b.otherShare, h.b.lastReportAt = 1, h.now
	for range 100 {
		id, _ := h.request()
		h.now += 200 * ms
		h.step(Event{Kind: TimerDue, Timer: id})
		h.step(Event{Kind: Departed, Request: id})
	}
	w := &worker{slots: 10}
	h.b.lastReportAt = h.now
	if h.b.assumedLoad <= assumedLoadStart {
		t.Fatalf("blind share %.2f after jobs that did not start", h.b.assumedLoad)
	}
	if left := w.slots - h.b.load(h.now, w); left < 1 {
		t.Errorf("a worker of 10 slots that nothing is known of has %.2f left", left)
	}
}

// Failure: a dispatcher with little traffic forgot between two answers that others load the workers.
func TestMeanLoadOutlastsASilence(t *testing.T) {
	h := start(t, base(), fleet(6)...)
	h.b.otherShare, h.b.lastReportAt = 0.5, h.now
	w := &worker{slots: 10}
	if l := h.b.load(h.now+seconds(h.b.meanJobSeconds), w); l < 2.5 {
		t.Errorf("load %.2f of 5 is left after one running time without a report", l)
	}
	if l := h.b.load(h.now+seconds(30*h.b.meanJobSeconds), w); l > 0.5 {
		t.Errorf("load %.2f is still believed after a long silence", l)
	}
}

// Failure (sites whose workers report only when probed): without probes nothing was known of others' load. Probes go
// to candidates whose figures are old, within their price and the time they take, and never where they are forbidden.
func TestProbesAskForOldFigures(t *testing.T) {
	for _, c := range []struct {
		allowed bool
		price   float64
		takes   time.Duration
		most    int // for one job
	}{{false, 0.002, ms / 10, 0}, {true, 0.002, ms / 10, 4}, {true, 0.004, ms / 10, 2}, {true, 0.002, 20 * ms, 1}} {
		s := base()
		s.Probes, s.Prices.Probe = c.allowed, c.price
		h := start(t, s, fleet(20)...)
		asked, most := map[string]time.Duration{}, 0
		for i := range 50 {
			h.now += 30 * ms
			id, acts := h.request()
			n := 0
			for _, a := range acts {
				if a.Kind != Probe {
					continue
				}
				if last, ok := asked[a.Worker]; ok && h.now-last < 100*ms {
					t.Errorf("%+v: %s asked again after %v", c, a.Worker, h.now-last)
				}
				asked[a.Worker] = h.now
				n++
				h.step(Event{Kind: Probed, Worker: a.Worker, Elapsed: c.takes, Report: Report{Present: true, Free: 4}})
			}
			if i > 0 { // what a probe takes is known then
				most = max(most, n)
			}
			if a := find(acts, Send); a != nil {
				h.end(id, a.Worker, OK, Report{})
			}
		}
		if most != c.most {
			t.Errorf("%+v: up to %d probes for a job", c, most)
		}
	}
}

// Failure (a tap of a day at size): many dispatchers saw the same report of a free slot and went there together. After
// jobs that did not start promptly, a report of empty workers no longer lets cheap jobs go, but a dear one still does.
func TestCautionHoldsForEmptyReports(t *testing.T) {
	for _, missed := range []bool{false, true} {
		s := base()
		s.TellsStart, s.Fleet = true, 1
		s.Classes = append(s.Classes, Class{Name: "dear", Aim: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Worth: 20})
		h := start(t, s, fleet(1)...)
		w := h.b.ring[0]
		w.slots, h.b.topValue, h.b.shortage = 4, 50, 0.5
		h.b.applyReport(h.now, w, &Report{Present: true, Free: 4})
		if missed {
			h.b.assumedLoad = assumedLoadMax
		}
		room := func(class string) bool {
			r := &request{class: h.b.classes[class], slots: 1, firstTryAt: h.now, respondBy: h.now + 5*time.Second}
			h.b.estimate(r)
			r.value = h.b.value(h.now, r)
			return h.b.hasCapacity(h.now, r, w)
		}
		if !room("dear") || room("c") == missed {
			t.Errorf("missed starts %v: room for a dear job %v, for a cheap one %v", missed, room("dear"), room("c"))
		}
	}
}

// Failure (every day): reports are up to half a second old, so that dispatchers met at the same worker, and jobs of
// several slots found no empty one. What others have out counts at once, by their own word, and once only.
func TestWhatOthersToldCountsLikeOwnWork(t *testing.T) {
	s := base()
	s.Peers, s.Fleet, s.Self = true, 3, 1
	two := start(t, s, fleet(3)...)
	at := two.b.ring[1].ID
	w := two.b.workers[at]
	before := two.b.load(two.now, w)
	two.step(Event{Kind: PeerSpoke, Who: 0, Loads: map[string]float64{at: 1}})
	if got := two.b.load(two.now, w) - before; got != 1 {
		t.Errorf("the load grows by %g", got)
	}
	// A report that shows the same job tells nothing new.
	two.now += 50 * ms
	two.b.applyReport(two.now, w, &Report{Present: true, InFlight: 1, Free: 3})
	if w.otherSlots > 0.01 {
		t.Errorf("%g slots are taken for somebody else's", w.otherSlots)
	}
	two.step(Event{Kind: PeerSpoke, Who: 0})
	if w.peerSlots != 0 {
		t.Errorf("%g slots are told of after the end", w.peerSlots)
	}
}
