package freshness_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/freshness"
	"cottonwell/internal/vtime"
)

// Figures of the outages that are played, in milliseconds.
const (
	leaseLasts   = 5700.0
	outageBegins = 10_000.0
	heartbeat    = 2000.0
	callLimit    = 2000.0 // for which a call waits at most
)

// outage is a fleet through an outage of discovery in virtual time. Discovery takes calls in turn, works on those that were
// given up, too, and answers the whole fleet in answerAll, if all call in turn.
type outage struct {
	vtime.Queue
	rng               *rand.Rand
	lasts, answerAll  float64
	nodes             []*outageNode
	waiting           []*call
	busy              bool
	returnsAt, endsAt float64
	datagrams         int
}

type outageNode struct {
	number   int
	module   *balance.Balancer
	lease    *freshness.Lease
	peers    *freshness.Peers // nil where schedulers may not talk
	open     bool
	wakesAt  float64
	lapsed   float64 // ms without a lease since the outage began
	since    float64 // when it lapsed; infinite while it has not
	renewed  float64 // when it was renewed after the outage
	listened float64 // when its watch was open again
}

type call struct {
	node *outageNode
	over bool
}

func newOutage(t require.TestingT, seed uint64, fleet int, talk bool, lasts, answerAll float64) *outage {
	o := &outage{rng: rand.New(rand.NewPCG(seed, 1)), lasts: lasts, answerAll: answerAll, returnsAt: outageBegins + lasts}
	o.endsAt = o.returnsAt + 60_000
	for i := range fleet {
		n := &outageNode{number: i, since: math.Inf(1), wakesAt: math.Inf(1), renewed: math.Inf(1), listened: math.Inf(1)}
		var err error
		n.module, err = balance.New(balance.Settings{Fleet: fleet, Self: i, Peers: talk, Subscribe: true, AskWithin: 10 * time.Second, Tick: 5 * time.Millisecond,
			MaxAttempts: 3, ColdFrom: 0.2, ColdFor: time.Second, FallMultiple: 3, FallWindow: time.Second,
			Classes: []balance.Class{{Name: "c", Aim: time.Second, Deadline: time.Second, Worth: 1}}}, seed<<16|uint64(i))
		require.NoError(t, err)
		n.lease, err = freshness.NewLease(leaseLasts, leaseLasts)
		require.NoError(t, err)
		if talk {
			n.peers, err = freshness.NewPeers(0, freshness.PeersConfig{Self: i, Fleet: fleet, Seed: seed<<16 | uint64(i), AskEvery: 250, AskAt: 1000,
				SilentAt: 2600, AskMany: 3, Younger: 200, KeepFor: 1500}, n.lease)
			require.NoError(t, err)
		}
		o.nodes = append(o.nodes, n)
		o.At(0, func() { o.list(n, balance.FromDisk) })
		o.At(outageBegins, func() { o.fail(n) })
	}
	return o
}

func (o *outage) down() bool { return o.Now >= outageBegins && o.Now < o.returnsAt }

// step gives a module an event about the list, and does what it decides.
func (o *outage) step(n *outageNode, ev balance.Event) {
	for _, a := range n.module.Step(time.Duration(o.Now*1e6), &ev, nil) {
		switch a.Kind {
		case balance.Wake:
			timer := a.Timer
			o.After(float64(a.After)/1e6, func() { o.step(n, balance.Event{Kind: balance.TimerDue, Timer: timer}) })
		case balance.Subscribe:
			o.call(n)
		}
	}
}

func (o *outage) list(n *outageNode, scope balance.ListScope) {
	o.step(n, balance.Event{Kind: balance.Listed, List: scope})
}

// open has the watch of a scheduler open, and tell of its life.
func (o *outage) open(n *outageNode) {
	n.open = true
	n.lease.Listed(o.Now, o.Now, nil)
	o.list(n, balance.Changes)
	if o.Now >= o.returnsAt {
		n.listened = o.Now - o.returnsAt
	}
	o.after(n)
	o.After(heartbeat, func() { o.beat(n) })
}

func (o *outage) beat(n *outageNode) {
	if n.open {
		n.lease.SignOfLife(o.Now, o.Now)
		o.after(n)
		o.After(heartbeat, func() { o.beat(n) })
	}
}

func (o *outage) fail(n *outageNode) {
	n.open = false
	n.lease.WatchLost(o.Now)
	o.step(n, balance.Event{Kind: balance.Listed, List: balance.AskFailed})
	o.after(n)
}

// call has a scheduler wait for its turn, for as long as discovery lets it. Before the outage it is answered at once.
func (o *outage) call(n *outageNode) {
	if o.Now < outageBegins {
		o.open(n)
		return
	}
	c := &call{node: n}
	o.After(callLimit, func() {
		if !c.over {
			c.over = true
			o.fail(n)
		}
	})
	if !o.down() {
		o.waiting = append(o.waiting, c)
		o.serve()
	}
}

// serve works on the next call.
func (o *outage) serve() {
	if o.busy || len(o.waiting) == 0 {
		return
	}
	c := o.waiting[0]
	o.waiting, o.busy = o.waiting[1:], true
	o.After(o.answerAll/float64(len(o.nodes)), func() {
		o.busy = false
		if !c.over {
			c.over = true
			o.open(c.node)
		}
		o.serve()
	})
}

// after notes what became of a lease, and lets a scheduler ask and answer others.
func (o *outage) after(n *outageNode) {
	n.lease.Review(o.Now)
	switch valid := n.lease.Valid(); {
	case !valid && math.IsInf(n.since, 1):
		n.since = o.Now
	case valid && !math.IsInf(n.since, 1):
		n.lapsed += o.Now - n.since
		n.since = math.Inf(1)
	}
	if n.lease.Valid() && o.Now >= o.returnsAt {
		n.renewed = min(n.renewed, max(0, o.Now-o.returnsAt))
	}
	at := n.lease.Next(o.Now)
	if n.peers != nil {
		o.send(n, n.peers.Renewed(o.Now))
		o.send(n, n.peers.Due(o.Now))
		at = min(at, n.peers.Next(o.Now))
	}
	if n.wakesAt > o.Now && at >= n.wakesAt || math.IsInf(at, 1) {
		return
	}
	n.wakesAt = at
	o.At(at, func() {
		if n.wakesAt == at {
			n.wakesAt = math.Inf(-1)
			o.after(n)
		}
	})
}

func (o *outage) send(from *outageNode, messages []freshness.Message) {
	for _, m := range messages {
		for _, to := range m.To {
			o.datagrams++
			if o.rng.IntN(50) == 0 {
				continue // lost
			}
			n := o.nodes[to]
			o.After(1+25*o.rng.Float64(), func() {
				out, changed, err := n.peers.Heard(o.Now, from.number, m.Raw)
				if err != nil {
					panic(err)
				}
				o.send(n, out)
				if changed || n.lease.Valid() && !n.open {
					o.step(n, balance.Event{Kind: balance.Answered})
				}
				o.after(n)
			})
		}
	}
}

func quantile(of []float64, q float64) float64 {
	slices.Sort(of)
	return of[int(q*float64(len(of)-1))]
}

// Through outages of any length, in fleets of any size, schedulers that may talk serve again soon after discovery's return,
// though it answers a fleet only in answerAll: within the 6 s in which each would otherwise have to be answered itself.
func TestFleetsServeSoonAfterAnOutage(t *testing.T) {
	for _, fleet := range []int{6, 60, 300} {
		for _, lasts := range []float64{2, 8, 20, 60} {
			for _, talk := range []bool{true, false} {
				if testing.Short() && lasts > 8 {
					continue
				}
				o := newOutage(t, 1, fleet, talk, lasts*1000, 6000)
				for o.Next(o.endsAt) {
				}
				var lapsed, renewed, listened []float64
				for _, n := range o.nodes {
					lapsed, renewed, listened = append(lapsed, n.lapsed/1000), append(renewed, n.renewed/1000), append(listened, n.listened/1000)
				}
				t.Logf("fleet %3d, talk %-5v, outage %2.0f s: without a lease %4.1f s (worst %4.1f); after the return renewed by %4.1f s (worst %4.1f), own watch %4.1f s (worst %4.1f); %d datagrams",
					fleet, talk, lasts, quantile(lapsed, 0.5), quantile(lapsed, 1), quantile(renewed, 0.5), quantile(renewed, 1),
					quantile(listened, 0.5), quantile(listened, 1), o.datagrams)
				if talk {
					require.Less(t, quantile(renewed, 1), 6.0)
				}
			}
		}
	}
}
