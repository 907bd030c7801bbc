package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Failure: with many dispatchers an equal share of a cold worker's budget held no job, so new workers idled. All
// dispatchers are run here with more work than there is room for, and one now and then loses its memory. Where they
// speak, a fifth of their words is lost and the rest 30 ms old. Failure (vast days): where they took turns of a second,
// each cold worker was left to one of eighty dispatchers, and more than half of what could be used idled.
func TestCrowdSparesColdWorkers(t *testing.T) {
	for _, c := range []struct {
		many, least int // dispatchers; jobs that the five cold workers must get, of some 430 that they can do
		speak       bool
	}{{1, 1, false}, {3, 1, false}, {50, 1, false}, {200, 1, false}, {3, 250, true}, {80, 250, true}} {
		many := c.many
		rng := rand.New(rand.NewPCG(uint64(many), 1))
		const workers, slots, work = 20, 4.0, 300 * ms
		s := base()
		s.Fleet, s.Subscribe, s.Peers = many, false, c.speak
		members := fleet(workers)
		for i := 0; i < workers; i += 4 {
			members[i].Started = time.Hour
		}
		all, now := make([]*bench, many), time.Hour
		restart := func(i int) {
			s.Self = i
			b, err := New(s, rng.Uint64())
			if err != nil {
				t.Fatal(err)
			}
			all[i] = &bench{t: t, b: b, now: now}
			all[i].step(Event{Kind: Listed, List: FromDisk, Members: members})
		}
		for i := range many {
			restart(i)
		}
		type running struct {
			h      *bench
			id     uint64
			worker string
			ends   time.Duration
		}
		var out []running
		sends := map[string][]time.Duration{}
		words := make([]map[string]float64, many)
		begin := func(h *bench, acts []Action) {
			for _, a := range acts {
				if a.Kind == Send {
					out = append(out, running{h, a.Request, a.Worker, now + work})
					sends[a.Worker] = append(sends[a.Worker], now)
				}
			}
		}
		for ; now < time.Hour+10*time.Second; now += 5 * ms {
			for who := int(now/(5*ms)) % 8; c.speak && who < many; who += 8 { // each one every 40 ms
				for i, h := range all {
					if h.now = now; i != who && rng.IntN(5) > 0 && words[who] != nil {
						begin(h, h.step(Event{Kind: PeerSpoke, Who: who, Loads: words[who]}))
					}
				}
				words[who] = nil
			}
			for who := (int(now/(5*ms)) + 6) % 8; c.speak && who < many; who += 8 { // and heard 30 ms later
				words[who] = map[string]float64{}
				all[who].b.Out(func(w string, slots float64) { words[who][w] = slots })
			}
			var due []running
			out = slices.DeleteFunc(out, func(r running) bool {
				if r.ends <= now {
					due = append(due, r)
				}
				return r.ends <= now
			})
			for _, r := range due {
				r.h.now = now
				n := 0.0
				for _, x := range out {
					if x.worker == r.worker {
						n++
					}
				}
				begin(r.h, r.h.end(r.id, r.worker, OK, Report{Present: true, InFlight: n, Waiting: max(0, n-slots),
					Free: max(0, slots-n)}))
			}
			for range 4 { // three times the work that all can do: 800 a second for 80 slots at 0.3 s
				if rng.IntN(500) == 0 { // one loses its memory, its work runs on
					restart(rng.IntN(many))
				}
				h := all[rng.IntN(many)]
				h.now = now
				_, acts := h.request()
				begin(h, acts)
			}
		}
		used := 0
		for i := 0; i < workers; i += 4 {
			at := sends[members[i].ID]
			used += len(at)
			for k, end := range at {
				n := 0
				for _, x := range at[:k+1] {
					if x > end-s.FallWindow {
						n++
					}
				}
				warm := s.ColdFrom + (1-s.ColdFrom)*(end-time.Hour).Seconds()/s.ColdFor.Seconds()
				if sum, budget := float64(n)*work.Seconds(), s.FallMultiple*slots*warm*s.FallWindow.Seconds(); sum > budget {
					t.Errorf("%d dispatchers: %.1f s of work in a window with a budget of %.1f", many, sum, budget)
				}
			}
		}
		if used < c.least {
			t.Errorf("%d dispatchers: %d jobs for five cold workers in 10 s", many, used)
		}
	}
}

// Failure (found in reading): what others told to have sent was taken off before the allowance was reckoned up to
// then. A dispatcher that had not looked at the worker for a while refilled past it, and sent at once on top.
func TestColdAllowanceIsReckonedBeforeItIsSpent(t *testing.T) {
	s := base()
	s.Peers = true
	cold := fleet(1)
	cold[0].Started = time.Hour
	h := start(t, s, cold...)
	w, r := h.b.ring[0], &request{class: h.b.classes["c"], slots: 1, work: 0.05}
	h.b.coldBudgetAllows(h.now, r, w)
	h.now += 2 * time.Second // full by now, though nobody looked
	h.step(Event{Kind: PeerSpoke, Who: 1, Loads: map[string]float64{"w00": 4}})
	if h.b.coldBudgetAllows(h.now, r, w) {
		t.Errorf("%.2f s of work may be sent right after others sent four jobs", w.tokens)
	}
	h.now += 2 * time.Second
	if !h.b.coldBudgetAllows(h.now, r, w) {
		t.Errorf("nothing may be sent two seconds later: %.2f s", w.tokens)
	}
}

// What the schedulers agreed on bounds a class's attempts, within what the settings allow, and what cold workers get.
func TestAgreedBounds(t *testing.T) {
	tries := func(caps map[string]int) (n int) {
		h := start(t, base(), fleet(6)...)
		h.step(Event{Kind: Ruled, Caps: caps, Cold: 1})
		id, at := h.sent()
		for n = 1; ; n++ {
			acts := h.step(Event{Kind: Ended, Request: id, Attempt: n - 1, Worker: at, Result: Failed})
			a := find(acts, Send)
			if a == nil {
				return n
			}
			at = a.Worker
		}
	}
	for want, caps := range map[int]map[string]int{3: nil, 2: {"c": 2}, 1: {"c": 1, "no such class": 9}} {
		if n := tries(caps); n != want {
			t.Fatalf("%v: %d attempts", caps, n)
		}
	}
	if n := tries(map[string]int{"c": 7}); n != 3 {
		t.Fatalf("more attempts than the settings allow: %d", n)
	}
	burst := func(cold float64) float64 {
		ms := fleet(1)
		ms[0].Started = time.Hour - time.Second
		h := start(t, base(), ms...)
		h.step(Event{Kind: Ruled, Cold: cold})
		return h.b.refillTokens(h.now, h.b.workers["w00"])
	}
	if all, half := burst(1), burst(0.5); math.Abs(half/all-0.5) > 1e-9 || burst(0) != 0 {
		t.Fatalf("a cold worker's allowance: %g, and half of it %g, and none %g", all, half, burst(0))
	}
}

// Failure: all dispatchers that waited for a cold worker sent there in the moment in which they heard of a free slot,
// before they could hear of one another, and the worker fell.
func TestDispatchersTakeAFreedSlotOfAColdWorkerOneByOne(t *testing.T) {
	const many, wordTakes = 30, 15 * ms
	cold := fleet(1)
	cold[0].Started = time.Hour
	all := make([]*bench, many)
	for i := range all {
		s := base()
		s.Fleet, s.Self, s.Peers = many, i, true
		b, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		all[i] = &bench{t: t, b: b, now: time.Hour}
		all[i].step(Event{Kind: Listed, List: FromDisk, Members: cold})
		all[i].now += 2 * time.Second
		all[i].step(Event{Kind: PeerSpoke, Who: (i + 1) % many, Loads: map[string]float64{"w00": 2}})
		all[i].now += 2 * time.Second // the allowance is full again
		if _, acts := all[i].request(); find(acts, Send) != nil {
			t.Fatal("sent to a worker that is told to be full")
		}
	}
	var sends []time.Duration
	freedAt := all[0].now
	for now := freedAt; now < freedAt+time.Second; now += ms {
		for i, h := range all {
			h.now = now
			ev := Event{Kind: TimerDue, Timer: queueTimer}
			if now == freedAt {
				ev = Event{Kind: PeerSpoke, Who: (i + 1) % many}
			}
			if find(h.step(ev), Send) != nil {
				sends = append(sends, now)
			}
		}
	}
	if len(sends) < many/2 {
		t.Errorf("%d of %d dispatchers sent within a second, though none heard of another", len(sends), many)
	}
	together := 0
	for i, from := range sends {
		n := 0
		for n < len(sends)-i && sends[i+n] < from+wordTakes {
			n++
		}
		together = max(together, n)
	}
	if together >= 7 { // a worker that is allowed one falls at 1 + 3 x root of 1 + 3
		t.Errorf("%d dispatchers sent within the time of a word", together)
	}
}
