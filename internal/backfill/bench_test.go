package backfill

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkEvent measures the cost of one event in the steady state under high load. Small jobs start and
// end at all targets, the targets' estimates change, one large job in twenty is queued, and other
// schedulers have reservations. The given number of further flows is queued all the time, half of them
// large.
func BenchmarkEvent(b *testing.B) {
	for _, targets := range []int{20, 200, 2000} {
		for _, waiting := range []int{100, 10_000} {
			b.Run(fmt.Sprintf("targets=%d/waiting=%d", targets, waiting), func(b *testing.B) { benchEvent(b, targets, waiting) })
		}
	}
}

func benchEvent(b *testing.B, targets, waiting int) {
	c := Default()
	c.Classes, c.Fleet = []string{"view", "buy"}, 4
	p, err := New(c)
	if err != nil {
		b.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	now, id := 1e6, uint64(0)
	var acts []Action
	handle := func(ev Event) {
		now += 0.01
		acts = p.Step(now, &ev, acts[:0])
	}
	names := make([]string, targets)
	for i := range names {
		names[i] = fmt.Sprintf("s-%08x", rng.Uint32())
		handle(Event{Kind: TargetUp, Target: names[i], Hash: rng.Uint32()})
		handle(Event{Kind: TargetMeasured, Target: names[i], Slots: 4, Memory: -1, Slowdown: 1})
	}
	for i := range waiting { // they stay queued for the whole run
		id++
		handle(Event{Kind: FlowQueued, Flow: id, Class: "view", Need: float64(1 + 3*(i%2)), LatestStart: now + 1e7})
	}
	type job struct {
		id uint64
		at int
	}
	var jobs []job
	waitingLarge := uint64(0)
	event := func() {
		switch k := rng.IntN(10); {
		case k < 3 && len(jobs) < 3*targets:
			id++
			at := rng.IntN(targets)
			handle(Event{Kind: AttemptSent, Flow: id, Class: "view", Need: 1, Target: names[at]})
			handle(Event{Kind: AttemptStarted, Flow: id})
			jobs = append(jobs, job{id, at})
		case k < 6 && len(jobs) > 0:
			i := rng.IntN(len(jobs))
			done := jobs[i]
			jobs[i] = jobs[len(jobs)-1]
			jobs = jobs[:len(jobs)-1]
			handle(Event{Kind: AttemptEnded, Flow: done.id, OK: true})
			handle(Event{Kind: FlowDone, Flow: done.id, OK: true})
		case k < 9:
			handle(Event{Kind: TargetMeasured, Target: names[rng.IntN(targets)], Slots: 4, Busy: 4 * rng.Float64(), Memory: -1, Slowdown: 1})
		case rng.IntN(4) == 0:
			if waitingLarge > 0 {
				handle(Event{Kind: FlowDone, Flow: waitingLarge})
			}
			id++
			waitingLarge = id
			handle(Event{Kind: FlowQueued, Flow: id, Class: "buy", Need: 4, LatestStart: now + 200})
		default:
			handle(Event{Kind: TimerDue})
		}
	}
	for range 20_000 {
		event()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		event()
	}
}
