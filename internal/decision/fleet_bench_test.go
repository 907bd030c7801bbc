package decision

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/gossip"
)

// BenchmarkFleet measures the most frequent work in a large fleet, by number of targets and schedulers:
// a change received from another scheduler (heard), and a request with its start, its end and its load
// messages (request). It also measures the memory of the resulting state (held).
func BenchmarkFleet(b *testing.B) {
	for _, targets := range []int{20, 200, 1000} {
		for _, peers := range []int{2, 80, 300, 1000} {
			var ids []string
			for i := range targets {
				ids = append(ids, fmt.Sprintf("s-%08x", i*2654435761))
			}
			// newLoadedDecider makes a Decider that has received work of the other schedulers at half of
			// the targets.
			newLoadedDecider := func(b *testing.B) (*Decider, time.Duration) {
				d, err := New(settings(0, peers), 1, nil)
				if err != nil {
					b.Fatal(err)
				}
				now := time.Hour
				d.Step(now, &balance.Event{Kind: balance.Listed, List: balance.FromDisk, Members: members(ids...)}, nil)
				for sender := 1; sender < peers; sender++ {
					m := gossip.Message{Loads: []gossip.Load{{Target: gossip.NameOf(ids[sender%(targets/2)*2]), Slots: 1}}}
					d.Step(now, &balance.Event{Kind: balance.PeerLoads, Peer: sender, Raw: string(gossip.AppendFull(nil, &m))}, nil)
				}
				b.ReportAllocs()
				b.ResetTimer()
				return d, now
			}
			b.Run(fmt.Sprintf("held/targets=%d/peers=%d", targets, peers), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				d, _ := newLoadedDecider(b)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
				runtime.KeepAlive(d)
				for range b.N {
				}
			})
			b.Run(fmt.Sprintf("heard/targets=%d/peers=%d", targets, peers), func(b *testing.B) {
				d, now := newLoadedDecider(b)
				var raw [2]string
				for i := range raw {
					raw[i] = string(gossip.AppendChanges(nil, []gossip.Load{{Target: gossip.NameOf(ids[5]), Slots: float64(i)}}))
				}
				var acts []balance.Action
				for n := range b.N {
					acts = d.Step(now, &balance.Event{Kind: balance.PeerLoads, Peer: 1 + n/2%(peers-1), Raw: raw[n%2]}, acts[:0])
				}
			})
			b.Run(fmt.Sprintf("request/targets=%d/peers=%d", targets, peers), func(b *testing.B) {
				d, now := newLoadedDecider(b)
				var acts []balance.Action
				for n := range b.N {
					id := uint64(n + 1)
					now += 50 * time.Millisecond
					acts = d.Step(now, &balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Budget: 5 * time.Second, Slots: 1}, acts[:0])
					at := ""
					for i := range acts {
						if acts[i].Kind == balance.Send {
							at = acts[i].Worker
						}
					}
					if at == "" {
						b.Fatal("not sent")
					}
					acts = d.Step(now, &balance.Event{Kind: balance.TimerDue, Timer: gossipTimer}, acts[:0])
					acts = d.Step(now, &balance.Event{Kind: balance.Progressed, Request: id, Worker: at, Started: true}, acts[:0])
					acts = d.Step(now, &balance.Event{Kind: balance.Ended, Request: id, Worker: at, Result: balance.OK, Final: true,
						Report: balance.Report{Present: true, InFlight: 1, Free: 3}}, acts[:0])
				}
			})
		}
	}
}
