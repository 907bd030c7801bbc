package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"cottonwell/balance"
	"cottonwell/internal/faults"
	"cottonwell/internal/room"
	"cottonwell/internal/units"
)

// The troubles of a day: what goes wrong, and when.

// script puts the troubles into the day.
func (w *World) script(seed uint64, plan *room.Config) {
	rng := rand.New(rand.NewPCG(seed, 0x7ab))
	for _, t := range w.spec.Troubles {
		n := int(math.Ceil(float64(t.Part) * float64(len(w.workers))))
		pick := rng.Perm(len(w.workers))[:min(n, len(w.workers))]
		switch t.Kind {
		case "crash":
			for _, i := range pick {
				p := w.workers[i]
				w.After(float64(t.At), func() {
					p.Kill(w.Now, func(_ float64, n Note) { w.note(p, n) })
					w.tell(p, balance.Gone)
				})
				w.After(float64(t.At+t.Lasts), func() {
					p.Restart(w.Now)
					p.load = p.Load()
					w.tell(p, balance.Ready)
				})
			}
		case "errors":
			for _, i := range pick {
				p := w.workers[i]
				w.After(float64(t.At), func() { p.FailPart = 0.7 })
				w.After(float64(t.At+t.Lasts), func() { p.FailPart = 0 })
			}
		case "drain":
			for _, i := range pick {
				p := w.workers[i]
				w.After(float64(t.At), func() {
					p.drainAt = w.Now
					w.tell(p, balance.Draining)
				})
				w.After(float64(t.At+t.Lasts), func() { w.tell(p, balance.Ready) })
			}
		case "pauses":
			for _, i := range pick {
				p := w.workers[i]
				for at := float64(t.At); at < float64(t.At+t.Lasts); at += float64(max(t.Every, 100)) * (0.5 + rng.Float64()) {
					w.After(at, func() {
						p.Still(w.Now, float64(t.Size))
						p.lookAt = math.Inf(1)
						w.look(p)
					})
				}
			}
		case "scheduler":
			w.killAt(w.scheds[rng.IntN(len(w.scheds))], t.At, t.Lasts, seed, plan)
		}
	}
	for _, f := range w.spec.Faults {
		if f.Kind == faults.Kill {
			for _, n := range f.From {
				w.killAt(w.scheds[n], f.At, f.Lasts, seed, plan)
			}
		}
	}
}

// killAt has a scheduler killed, and start from nothing some time after.
func (w *World) killAt(s *sched, at, lasts units.Millis, seed uint64, plan *room.Config) {
	w.After(float64(at), func() { w.kill(s) })
	w.After(float64(at+lasts), func() {
		// The settings were good at the first start, so they are now.
		if err := w.start(s, seed+1, plan); err != nil {
			panic(fmt.Sprintf("emulator: a scheduler that started once does not start again: %v", err))
		}
	})
}

// kill ends a scheduler: whoever waited there is lost, and comes again elsewhere.
func (w *World) kill(s *sched) {
	s.alive = false
	for _, f := range w.flows {
		if f.s == s && !f.over {
			w.close(f)
			w.Result.Lost++
		}
	}
}
