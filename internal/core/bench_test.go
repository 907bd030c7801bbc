package core

import (
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/clock"
	"cottonwell/internal/invariant"
)

// nullTransport is a transport and a response receiver at almost no cost. It only records started attempts.
type nullTransport struct{ started []Attempt }

func (q *nullTransport) Start(a Attempt)                       { q.started = append(q.started, a) }
func (q *nullTransport) Cancel(Attempt)                        {}
func (q *nullTransport) Probe(string)                          {}
func (q *nullTransport) UpdateTargets(TargetList)              {}
func (q *nullTransport) Respond(Response)                      {}
func (q *nullTransport) Progress(Progress)                     {}
func (q *nullTransport) Partial(PartialOutput) PartialHandling { return Ignored }

// BenchmarkRequest measures the cost of one request with its start and its end, by the number of targets and of schedulers.
// The cost includes the decision module and the messages to other schedulers.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{20, 200, 1000} {
		for _, peers := range []int{2, 300, 1000} {
			b.Run(fmt.Sprintf("targets=%d/peers=%d", targets, peers), func(b *testing.B) {
				clk, q := clock.NewManual(1.7e12), &nullTransport{}
				s := balance.Settings{Fleet: peers, Zone: "a", Tick: 5 * time.Millisecond, MaxAttempts: 3, ReportsStart: true, Cancel: true, Peers: true,
					ResponseSlack: 20 * time.Millisecond, ColdFrom: 0.3, ColdFor: 10 * time.Second, CollapseMultiple: 3, CollapseWindow: time.Second,
					Classes: []balance.Class{{Name: "c", LatencyTarget: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second, Value: 1}}}
				c, err := New(Config{Settings: s, Seed: 1, Clock: clk, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Invariants: invariant.New(),
					RetryAfterMS: 1000, SendToPeers: func([]int, string) {}}, Source{Name: "test", Transport: q})
				if err != nil {
					b.Fatal(err)
				}
				g := TargetList{Scope: balance.FromDisk}
				for i := range targets {
					g.Targets = append(g.Targets, Target{Member: balance.Member{ID: fmt.Sprintf("s-%08x", i*2654435761), Zone: "a", Cell: "1"}})
				}
				do := func(e event) {
					e.apply(c)
					c.route()
				}
				do(listEvent{"test", g})
				b.ReportAllocs()
				b.ResetTimer()
				for n := range b.N {
					clk.Advance(50)
					for c.timers.fireEarliest(clk.Now(), c.fire) {
						c.route()
					}
					id := strconv.Itoa(n)
					do(acceptEvent{&Request{ID: id, Class: "c", ClientTimeoutMS: 5000, Slots: 1, Receiver: q}, clk.Now()})
					if len(q.started) != 1 {
						b.Fatal("no attempt was started")
					}
					at := q.started[0]
					q.started = q.started[:0]
					do(targetUpdateEvent{TargetCallback{ID: id, From: at.Target, Progress: &Progress{Started: true}}})
					do(targetUpdateEvent{TargetCallback{ID: id, From: at.Target, Result: balance.OK, Body: "x", Report: balance.Report{Present: true, InFlight: 1, Free: 3}}})
				}
			})
		}
	}
}
