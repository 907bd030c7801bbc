package decision

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
)

// BenchmarkRequest measures the cost of the decisions for one request from its arrival to its end,
// with and without the planner at the same load. The planner's share follows from the ratio.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{12, 200} {
		for _, enabled := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/room=%v", targets, enabled), func(b *testing.B) {
				var plannerConfig *backfill.Config
				if enabled {
					c := backfill.Default()
					plannerConfig = &c
				}
				d, err := New(settings(0, 2), 1, plannerConfig)
				if err != nil {
					b.Fatal(err)
				}
				var ids []string
				for i := range targets {
					ids = append(ids, fmt.Sprintf("s-%08x", i*2654435761))
				}
				now, acts := time.Hour, []balance.Action(nil)
				type job struct {
					id uint64
					at string
				}
				var jobs []job
				var waiting []uint64
				handle := func(ev balance.Event) {
					acts = d.Step(now, &ev, acts[:0])
					for i := range acts {
						if acts[i].Kind == balance.Send {
							jobs = append(jobs, job{acts[i].Request, acts[i].Worker})
						}
					}
				}
				handle(balance.Event{Kind: balance.Listed, List: balance.FromDisk, Members: members(ids...)})
				for _, id := range ids {
					handle(balance.Event{Kind: balance.Probed, Worker: id, Report: balance.Report{Present: true, Free: 4}})
				}
				rng := rand.New(rand.NewPCG(1, 1))
				b.ReportAllocs()
				b.ResetTimer()
				for n := range b.N {
					now += 2 * time.Millisecond
					id, slots := uint64(n+1), 1.0
					if n%20 == 0 {
						slots = 4
					}
					handle(balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Tenant: "t", Budget: 5 * time.Second, Slots: slots})
					if k := len(jobs); k == 0 || jobs[k-1].id != id {
						waiting = append(waiting, id)
					}
					if len(waiting) > 20 { // the client of the oldest one leaves
						handle(balance.Event{Kind: balance.Departed, Request: waiting[0]})
						waiting = waiting[1:]
					}
					for len(jobs) > 2*targets {
						i := rng.IntN(len(jobs))
						done := jobs[i]
						jobs[i] = jobs[len(jobs)-1]
						jobs = jobs[:len(jobs)-1]
						handle(balance.Event{Kind: balance.Progressed, Request: done.id, Worker: done.at, Started: true})
						handle(balance.Event{Kind: balance.Ended, Request: done.id, Worker: done.at, Result: balance.OK, Final: true,
							Report: balance.Report{Present: true, InFlight: 3, Free: 1}})
					}
				}
			})
		}
	}
}
