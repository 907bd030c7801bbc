package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
	"cottonwell/internal/faults"
	"cottonwell/internal/units"
)

// scheduleFaults schedules the faults of the specification that act on workers and scheduler processes.
func (w *Simulation) scheduleFaults(seed uint64, plannerConfig *backfill.Config) {
	rng := rand.New(rand.NewPCG(seed, 0x7ab))
	for _, t := range w.spec.SiteFaults {
		schedulerIndex := int(math.Ceil(float64(t.Fraction) * float64(len(w.workers))))
		selected := rng.Perm(len(w.workers))[:min(schedulerIndex, len(w.workers))]
		switch t.Kind {
		case "crash":
			for _, i := range selected {
				p := w.workers[i]
				w.After(float64(t.At), func() {
					p.Kill(w.Now, func(_ float64, schedulerIndex JobEvent) { w.handleJobEvent(p, schedulerIndex) })
					w.announce(p, balance.Gone)
				})
				w.After(float64(t.At+t.Duration), func() {
					p.Restart(w.Now)
					p.reportedLoad = p.Load()
					w.announce(p, balance.Ready)
				})
			}
		case "errors":
			for _, i := range selected {
				p := w.workers[i]
				w.After(float64(t.At), func() { p.FailShare = 0.7 })
				w.After(float64(t.At+t.Duration), func() { p.FailShare = 0 })
			}
		case "drain":
			for _, i := range selected {
				p := w.workers[i]
				w.After(float64(t.At), func() {
					p.drainingSince = w.Now
					w.announce(p, balance.Draining)
				})
				w.After(float64(t.At+t.Duration), func() { w.announce(p, balance.Ready) })
			}
		case "pauses":
			for _, i := range selected {
				p := w.workers[i]
				for at := float64(t.At); at < float64(t.At+t.Duration); at += float64(max(t.Interval, 100)) * (0.5 + rng.Float64()) {
					w.After(at, func() {
						p.Pause(w.Now, float64(t.Delay))
						p.nextEventAt = math.Inf(1)
						w.advance(p)
					})
				}
			}
		case "scheduler":
			w.scheduleKill(w.schedulers[rng.IntN(len(w.schedulers))], t.At, t.Duration, seed, plannerConfig)
		}
	}
	for _, f := range w.spec.SchedulerFaults {
		if f.Kind == faults.Kill {
			for _, schedulerIndex := range f.From {
				w.scheduleKill(w.schedulers[schedulerIndex], f.At, f.Lasts, seed, plannerConfig)
			}
		}
	}
}

// scheduleKill schedules the kill of a scheduler and its restart without any state after the given duration.
func (w *Simulation) scheduleKill(s *scheduler, atMillis, duration units.Millis, seed uint64, plannerConfig *backfill.Config) {
	w.After(float64(atMillis), func() { w.kill(s) })
	w.After(float64(atMillis+duration), func() {
		// The settings were valid at the first start, so they are valid now.
		if err := w.start(s, seed+1, plannerConfig); err != nil {
			panic(fmt.Sprintf("emulator: restart of a scheduler failed: %v", err))
		}
	})
}

// kill ends a scheduler process. Its open requests are lost, and are sent again to another scheduler.
func (w *Simulation) kill(s *scheduler) {
	s.alive = false
	for _, f := range w.flows {
		if f.scheduler == s && !f.finished {
			w.close(f)
			w.Result.Lost++
		}
	}
}
