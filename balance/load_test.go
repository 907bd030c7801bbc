package balance

import (
	"testing"
	"time"
)

// Failure: identical reports of idle workers were skipped. Their load estimate decayed to an outdated high mean, and
// idle workers counted as full.
func TestRepeatedIdleReportsStayFresh(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(3)...)
	h.balancer.otherShare = 1 // earlier reports showed all workers busy
	idle := Report{Present: true, InFlight: 0, Waiting: 0, Free: 4}
	for range 12 {
		id, w := h.sendRequest()
		h.now += 100 * ms
		h.end(id, w, OK, idle)
		h.now += 400 * ms
	}
	for _, w := range h.balancer.ring {
		if w.reportedAt > 0 && h.balancer.load(h.now, w) > 2 {
			t.Errorf("idle worker %s has an estimated load of %.2f", w.ID, h.balancer.load(h.now, w))
		}
	}
}

// Failure: when reports arrived seconds late, the earlier own load in them counted as others'.
func TestLateReportsAreRecognised(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(1)...)
	w := h.balancer.ring[0]
	w.slots = 4
	own := func(at time.Duration) float64 { return float64((at / (700 * ms)) % 4) }
	for i := range 400 {
		now := time.Hour + time.Duration(i)*50*ms
		w.ownSlots = own(now)
		w.loadHistory = append(w.loadHistory, sample{now, w.ownSlots})
		h.balancer.fitReportAge(now, w, own(now-1500*ms)+1)
		if len(w.loadHistory) > 64 {
			w.loadHistory = w.loadHistory[32:]
		}
	}
	if h.balancer.reportAge != 1500*ms {
		t.Errorf("reports that are 1.5 s old have an estimated age of %v", h.balancer.reportAge)
	}
}

// Costs stay finite whatever workers report.
func TestExtremeReports(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(5)...)
	for i := range 50 {
		_, acts := h.request()
		h.now += 100 * ms
		if a := findAction(acts, Send); a != nil {
			h.end(a.Request, a.Worker, OK, Report{Present: true, InFlight: 1e17 * float64(i%3), Waiting: 1e17, Free: float64(i % 2)})
		}
	}
	sum := 0.0
	for _, w := range h.balancer.ring {
		sum += h.balancer.cost(h.now, w, 0) + h.balancer.load(h.now, w)
	}
	if sum != sum || sum > 1e300 {
		t.Errorf("cost %v", sum)
	}
}

// Failure: while all workers were slow, jobs were repeatedly sent to slots that were not free, and cancelled again.
func TestMissedStartsRaiseAssumedLoad(t *testing.T) {
	s := baseSettings()
	s.ReportsStart, s.Duplicates, s.Cancel, s.Fleet = true, true, true, 1
	h := newHarness(t, s, newMembers(6)...)
	before := h.balancer.assumedLoad
	for range 5 {
		id, _ := h.sendRequest()
		h.now += 50 * ms
		h.step(Event{Kind: TimerDue, Timer: id})
		h.step(Event{Kind: Departed, Request: id})
	}
	missed := h.balancer.assumedLoad
	if missed <= before {
		t.Errorf("assumed load %.2f after jobs that did not start, %.2f before", missed, before)
	}
	h.now += time.Minute
	for range 50 {
		id, w := h.sendRequest()
		h.now += ms
		h.step(Event{Kind: Progressed, Request: id, Worker: w, Started: true})
		h.now += 100 * ms
		h.end(id, w, OK, Report{})
	}
	if h.balancer.assumedLoad >= missed {
		t.Errorf("assumed load %.2f after prompt starts, %.2f before", h.balancer.assumedLoad, missed)
	}
}

// Failure: after an overload with late reports, dispatchers had learned to assume that all workers are full and
// served no requests.
func TestAssumedLoadLeavesCapacity(t *testing.T) {
	s := baseSettings()
	s.ReportsStart, s.Cancel = true, true
	h := newHarness(t, s, newMembers(6)...)
	h.balancer.otherShare, h.balancer.lastReportAt = 1, h.now
	for range 100 {
		id, _ := h.request()
		h.now += 200 * ms
		h.step(Event{Kind: TimerDue, Timer: id})
		h.step(Event{Kind: Departed, Request: id})
	}
	w := &worker{slots: 10}
	h.balancer.lastReportAt = h.now
	if h.balancer.assumedLoad <= assumedLoadStart {
		t.Fatalf("assumed load %.2f after jobs that did not start", h.balancer.assumedLoad)
	}
	if left := w.slots - h.balancer.load(h.now, w); left < 1 {
		t.Errorf("a worker of 10 slots without reports has %.2f free slots", left)
	}
}

// Failure: between two responses, a dispatcher with little traffic lost its estimate of the load by others.
func TestMeanLoadDecaysSlowly(t *testing.T) {
	h := newHarness(t, baseSettings(), newMembers(6)...)
	h.balancer.otherShare, h.balancer.lastReportAt = 0.5, h.now
	w := &worker{slots: 10}
	if l := h.balancer.load(h.now+seconds(h.balancer.meanJobSeconds), w); l < 2.5 {
		t.Errorf("load %.2f of 5 is left after one run time without a report", l)
	}
	if l := h.balancer.load(h.now+seconds(30*h.balancer.meanJobSeconds), w); l > 0.5 {
		t.Errorf("load %.2f is left after a long time without a report", l)
	}
}

// Failure: where workers report only when probed, the load by others was unknown without probes.
//
// Probes go to candidates whose figures are old. Their price and duration limit their number. None is sent where the
// settings forbid them.
func TestProbesRefreshOldFigures(t *testing.T) {
	for _, c := range []struct {
		allowed bool
		price   float64
		takes   time.Duration
		most    int // probes for one request
	}{{false, 0.002, ms / 10, 0}, {true, 0.002, ms / 10, 4}, {true, 0.004, ms / 10, 2}, {true, 0.002, 20 * ms, 1}} {
		s := baseSettings()
		s.Probes, s.Prices.Probe = c.allowed, c.price
		h := newHarness(t, s, newMembers(20)...)
		probedAt, most := map[string]time.Duration{}, 0
		for i := range 50 {
			h.now += 30 * ms
			id, acts := h.request()
			n := 0
			for _, a := range acts {
				if a.Kind != Probe {
					continue
				}
				if last, ok := probedAt[a.Worker]; ok && h.now-last < 100*ms {
					t.Errorf("%+v: %s probed again after %v", c, a.Worker, h.now-last)
				}
				probedAt[a.Worker] = h.now
				n++
				h.step(Event{Kind: Probed, Worker: a.Worker, Elapsed: c.takes, Report: Report{Present: true, Free: 4}})
			}
			if i > 0 { // the duration of a probe is known then
				most = max(most, n)
			}
			if a := findAction(acts, Send); a != nil {
				h.end(id, a.Worker, OK, Report{})
			}
		}
		if most != c.most {
			t.Errorf("%+v: up to %d probes for a request", c, most)
		}
	}
}

// Failure: many dispatchers saw the same report of a free slot and sent there together. After jobs that did not start
// promptly, a report of an idle worker no longer admits cheap requests, but still admits valuable ones.
func TestAssumedLoadAppliesToIdleReports(t *testing.T) {
	for _, missed := range []bool{false, true} {
		s := baseSettings()
		s.ReportsStart, s.Fleet = true, 1
		s.Classes = append(s.Classes, Class{Name: "valuable", LatencyTarget: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 20})
		h := newHarness(t, s, newMembers(1)...)
		w := h.balancer.ring[0]
		w.slots, h.balancer.topValue, h.balancer.shortage = 4, 50, 0.5
		h.balancer.applyReport(h.now, w, &Report{Present: true, Free: 4})
		if missed {
			h.balancer.assumedLoad = assumedLoadMax
		}
		hasCapacity := func(class string) bool {
			r := &request{class: h.balancer.classes[class], slots: 1, firstTryAt: h.now, respondBy: h.now + 5*time.Second}
			h.balancer.estimate(r)
			r.value = h.balancer.value(h.now, r)
			return h.balancer.hasCapacity(h.now, r, w)
		}
		if !hasCapacity("valuable") || hasCapacity("c") == missed {
			t.Errorf("missed starts %v: capacity for a valuable request %v, for a cheap one %v", missed, hasCapacity("valuable"), hasCapacity("c"))
		}
	}
}

// Failure: reports are up to half a second old. Dispatchers sent to the same worker, and jobs of several slots found
// no idle one. The load that others announce must count at once, and only once.
func TestAnnouncedLoadCountsLikeOwnLoad(t *testing.T) {
	s := baseSettings()
	s.Peers, s.Fleet, s.Self = true, 3, 1
	h := newHarness(t, s, newMembers(3)...)
	at := h.balancer.ring[1].ID
	w := h.balancer.workers[at]
	before := h.balancer.load(h.now, w)
	h.step(Event{Kind: PeerLoads, Peer: 0, Loads: map[string]float64{at: 1}})
	if got := h.balancer.load(h.now, w) - before; got != 1 {
		t.Errorf("the load grows by %g", got)
	}
	// A report that includes the same job adds no load.
	h.now += 50 * ms
	h.balancer.applyReport(h.now, w, &Report{Present: true, InFlight: 1, Free: 3})
	if w.otherSlots > 0.01 {
		t.Errorf("%g slots count as load by others", w.otherSlots)
	}
	h.step(Event{Kind: PeerLoads, Peer: 0})
	if w.peerSlots != 0 {
		t.Errorf("%g slots are announced after the end", w.peerSlots)
	}
}
