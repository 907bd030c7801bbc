package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/room"
)

// BenchmarkRequest is the deciding cost of one request from its coming to its end, with the
// planner and without, at the same load: the share of the planner is the ratio of the two.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{12, 200} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/room=%v", targets, on), func(b *testing.B) {
				var plan *room.Config
				if on {
					c := room.Default()
					plan = &c
				}
				d, err := New(settings(0, 2), 1, plan)
				if err != nil {
					b.Fatal(err)
				}
				var ids []string
				for i := range targets {
					ids = append(ids, fmt.Sprintf("s-%08x", i*2654435761))
				}
				now, acts := time.Hour, []balance.Action(nil)
				type out struct {
					id uint64
					at string
				}
				var outs []out
				var waiting []uint64
				step := func(ev balance.Event) {
					acts = d.Step(now, &ev, acts[:0])
					for i := range acts {
						if acts[i].Kind == balance.Send {
							outs = append(outs, out{acts[i].Request, acts[i].Worker})
						}
					}
				}
				step(balance.Event{Kind: balance.Listed, List: balance.FromDisk, Members: members(ids...)})
				for _, id := range ids {
					step(balance.Event{Kind: balance.Probed, Worker: id, Report: balance.Report{Present: true, Free: 4}})
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
					step(balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Tenant: "t", Budget: 5 * time.Second, Slots: slots})
					if k := len(outs); k == 0 || outs[k-1].id != id {
						waiting = append(waiting, id)
					}
					if len(waiting) > 20 { // their clients do not wait for ever
						step(balance.Event{Kind: balance.Departed, Request: waiting[0]})
						waiting = waiting[1:]
					}
					for len(outs) > 2*targets {
						i := rng.IntN(len(outs))
						o := outs[i]
						outs[i] = outs[len(outs)-1]
						outs = outs[:len(outs)-1]
						step(balance.Event{Kind: balance.Noted, Request: o.id, Worker: o.at, Started: true})
						step(balance.Event{Kind: balance.Ended, Request: o.id, Worker: o.at, Result: balance.OK, Final: true,
							Report: balance.Report{Present: true, InFlight: 3, Free: 1}})
					}
				}
			})
		}
	}
}
