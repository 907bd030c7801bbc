package room

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkEvent is the cost of one event in the steady state of a busy day: small jobs begin
// and end at all targets, what is believed of these changes, one large job in twenty waits for
// room, and others hold some. So many further flows wait all the time, half of them large.
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
	step := func(ev Event) {
		now += 0.01
		acts = p.Step(now, &ev, acts[:0])
	}
	names := make([]string, targets)
	for i := range names {
		names[i] = fmt.Sprintf("s-%08x", rng.Uint32())
		step(Event{Kind: Up, Target: names[i], Hash: rng.Uint32()})
		step(Event{Kind: Measured, Target: names[i], Slots: 4, Memory: -1, Slow: 1})
	}
	for i := range waiting { // they wait for ever, as far as this run goes
		id++
		step(Event{Kind: Waits, Flow: id, Class: "view", Need: float64(1 + 3*(i%2)), Latest: now + 1e7})
	}
	type out struct {
		id uint64
		at int
	}
	var outs []out
	large := uint64(0)
	event := func() {
		switch k := rng.IntN(10); {
		case k < 3 && len(outs) < 3*targets:
			id++
			at := rng.IntN(targets)
			step(Event{Kind: Begun, Flow: id, Class: "view", Need: 1, Target: names[at]})
			step(Event{Kind: Started, Flow: id})
			outs = append(outs, out{id, at})
		case k < 6 && len(outs) > 0:
			i := rng.IntN(len(outs))
			o := outs[i]
			outs[i] = outs[len(outs)-1]
			outs = outs[:len(outs)-1]
			step(Event{Kind: Ended, Flow: o.id, OK: true})
			step(Event{Kind: Over, Flow: o.id, OK: true})
		case k < 9:
			step(Event{Kind: Measured, Target: names[rng.IntN(targets)], Slots: 4, Busy: 4 * rng.Float64(), Memory: -1, Slow: 1})
		case rng.IntN(4) == 0:
			if large > 0 {
				step(Event{Kind: Over, Flow: large})
			}
			id++
			large = id
			step(Event{Kind: Waits, Flow: id, Class: "buy", Need: 4, Latest: now + 200})
		default:
			step(Event{Kind: Due})
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
