package listlease_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/listlease"
	"cottonwell/internal/vtime"
)

// Parameters of the simulated outages, in milliseconds.
const (
	leaseMS             = 5700.0
	outageStartMS       = 10_000.0
	heartbeatIntervalMS = 2000.0
	requestTimeoutMS    = 2000.0 // a request without a response fails after it
)

// outageSimulation simulates a fleet during and after an outage of discovery, in virtual time. Discovery processes one request
// at a time, including those that have timed out. It needs fleetResponseMS for one request of each scheduler.
type outageSimulation struct {
	vtime.Queue
	rng                       *rand.Rand
	outageMS, fleetResponseMS float64
	nodes                     []*scheduler
	pending                   []*discoveryRequest
	busy                      bool
	outageEndsAt, endsAt      float64
	datagrams                 int
}

type scheduler struct {
	number           int
	module           *balance.Balancer
	lease            *listlease.Lease
	peers            *listlease.Peers // nil if schedulers exchange no messages
	watchOpen        bool
	wakesAt          float64
	lapsedMS         float64 // time without a valid lease since the start of the outage
	expiredAt        float64 // when the lease expired; infinite while it is valid
	renewedAfterMS   float64 // from the end of the outage to the first valid lease
	watchOpenAfterMS float64 // from the end of the outage to the last opening of the watch
}

type discoveryRequest struct {
	scheduler *scheduler
	done      bool
}

func newOutageSimulation(t require.TestingT, seed uint64, fleet int, exchange bool, outageMS, fleetResponseMS float64) *outageSimulation {
	s := &outageSimulation{rng: rand.New(rand.NewPCG(seed, 1)), outageMS: outageMS, fleetResponseMS: fleetResponseMS, outageEndsAt: outageStartMS + outageMS}
	s.endsAt = s.outageEndsAt + 60_000
	for i := range fleet {
		n := &scheduler{number: i, expiredAt: math.Inf(1), wakesAt: math.Inf(1), renewedAfterMS: math.Inf(1), watchOpenAfterMS: math.Inf(1)}
		var err error
		n.module, err = balance.New(balance.Settings{Fleet: fleet, Self: i, Peers: exchange, Subscribe: true, MaxQueryInterval: 10 * time.Second, Tick: 5 * time.Millisecond,
			MaxAttempts: 3, ColdFrom: 0.2, ColdFor: time.Second, CollapseMultiple: 3, CollapseWindow: time.Second,
			Classes: []balance.Class{{Name: "c", LatencyTarget: time.Second, Deadline: time.Second, Value: 1}}}, seed<<16|uint64(i))
		require.NoError(t, err)
		n.lease, err = listlease.NewLease(leaseMS, leaseMS)
		require.NoError(t, err)
		if exchange {
			n.peers, err = listlease.NewPeers(0, listlease.PeersConfig{Self: i, Fleet: fleet, Seed: seed<<16 | uint64(i), QueryIntervalMS: 250, UnwatchedQueryAgeMS: 1000,
				WatchedQueryAgeMS: 2600, PeersPerQuery: 3, MinAgeGainMS: 200, KeepQueryMS: 1500}, n.lease)
			require.NoError(t, err)
		}
		s.nodes = append(s.nodes, n)
		s.At(0, func() { s.list(n, balance.FromDisk) })
		s.At(outageStartMS, func() { s.failWatch(n) })
	}
	return s
}

func (s *outageSimulation) down() bool { return s.Now >= outageStartMS && s.Now < s.outageEndsAt }

// step passes an event to a decision module and performs its timers and its requests for the list.
func (s *outageSimulation) step(n *scheduler, ev balance.Event) {
	for _, a := range n.module.Step(time.Duration(s.Now*1e6), &ev, nil) {
		switch a.Kind {
		case balance.Wake:
			timer := a.Timer
			s.After(float64(a.After)/1e6, func() { s.step(n, balance.Event{Kind: balance.TimerDue, Timer: timer}) })
		case balance.Subscribe:
			s.request(n)
		}
	}
}

func (s *outageSimulation) list(n *scheduler, scope balance.ListScope) {
	s.step(n, balance.Event{Kind: balance.Listed, List: scope})
}

// openWatch opens the watch of a scheduler and starts its heartbeats.
func (s *outageSimulation) openWatch(n *scheduler) {
	n.watchOpen = true
	n.lease.ConfirmList(s.Now, s.Now, nil)
	s.list(n, balance.Changes)
	if s.Now >= s.outageEndsAt {
		n.watchOpenAfterMS = s.Now - s.outageEndsAt
	}
	s.afterLeaseEvent(n)
	s.After(heartbeatIntervalMS, func() { s.sendHeartbeat(n) })
}

func (s *outageSimulation) sendHeartbeat(n *scheduler) {
	if n.watchOpen {
		n.lease.Heartbeat(s.Now, s.Now)
		s.afterLeaseEvent(n)
		s.After(heartbeatIntervalMS, func() { s.sendHeartbeat(n) })
	}
}

func (s *outageSimulation) failWatch(n *scheduler) {
	n.watchOpen = false
	n.lease.WatchEnded(s.Now)
	s.step(n, balance.Event{Kind: balance.Listed, List: balance.RequestFailed})
	s.afterLeaseEvent(n)
}

// request sends a scheduler's request to discovery. Before the outage the watch opens at once. Otherwise the request waits for
// its turn and fails after requestTimeoutMS.
func (s *outageSimulation) request(n *scheduler) {
	if s.Now < outageStartMS {
		s.openWatch(n)
		return
	}
	request := &discoveryRequest{scheduler: n}
	s.After(requestTimeoutMS, func() {
		if !request.done {
			request.done = true
			s.failWatch(n)
		}
	})
	if !s.down() {
		s.pending = append(s.pending, request)
		s.serve()
	}
}

// serve lets discovery process the next request.
func (s *outageSimulation) serve() {
	if s.busy || len(s.pending) == 0 {
		return
	}
	request := s.pending[0]
	s.pending, s.busy = s.pending[1:], true
	s.After(s.fleetResponseMS/float64(len(s.nodes)), func() {
		s.busy = false
		if !request.done {
			request.done = true
			s.openWatch(request.scheduler)
		}
		s.serve()
	})
}

// afterLeaseEvent records the state of a scheduler's lease, sends the due queries and responses, and sets the next wake-up.
func (s *outageSimulation) afterLeaseEvent(n *scheduler) {
	n.lease.Review(s.Now)
	switch valid := n.lease.Valid(); {
	case !valid && math.IsInf(n.expiredAt, 1):
		n.expiredAt = s.Now
	case valid && !math.IsInf(n.expiredAt, 1):
		n.lapsedMS += s.Now - n.expiredAt
		n.expiredAt = math.Inf(1)
	}
	if n.lease.Valid() && s.Now >= s.outageEndsAt {
		n.renewedAfterMS = min(n.renewedAfterMS, max(0, s.Now-s.outageEndsAt))
	}
	at := n.lease.Next(s.Now)
	if n.peers != nil {
		s.send(n, n.peers.DueResponses(s.Now))
		s.send(n, n.peers.DueQueries(s.Now))
		at = min(at, n.peers.Next(s.Now))
	}
	if n.wakesAt > s.Now && at >= n.wakesAt || math.IsInf(at, 1) {
		return
	}
	n.wakesAt = at
	s.At(at, func() {
		if n.wakesAt == at {
			n.wakesAt = math.Inf(-1)
			s.afterLeaseEvent(n)
		}
	})
}

func (s *outageSimulation) send(from *scheduler, messages []listlease.Message) {
	for _, m := range messages {
		for _, to := range m.To {
			s.datagrams++
			if s.rng.IntN(50) == 0 {
				continue // lost
			}
			n := s.nodes[to]
			s.After(1+25*s.rng.Float64(), func() {
				out, changed, err := n.peers.Receive(s.Now, from.number, m.Raw)
				if err != nil {
					panic(err)
				}
				s.send(n, out)
				if changed || n.lease.Valid() && !n.watchOpen {
					s.step(n, balance.Event{Kind: balance.PeerGotList})
				}
				s.afterLeaseEvent(n)
			})
		}
	}
}

func quantile(of []float64, q float64) float64 {
	slices.Sort(of)
	return of[int(q*float64(len(of)-1))]
}

// After outages of several lengths, in fleets of several sizes, every scheduler that may exchange messages has a valid lease
// less than 6 s after the end of the outage. That is the time that discovery needs to respond to the whole fleet.
func TestFleetsServeSoonAfterAnOutage(t *testing.T) {
	for _, fleet := range []int{6, 60, 300} {
		for _, seconds := range []float64{2, 8, 20, 60} {
			for _, exchange := range []bool{true, false} {
				if testing.Short() && seconds > 8 {
					continue
				}
				s := newOutageSimulation(t, 1, fleet, exchange, seconds*1000, 6000)
				for s.Next(s.endsAt) {
				}
				var lapsed, renewed, watchOpened []float64
				for _, n := range s.nodes {
					lapsed, renewed, watchOpened = append(lapsed, n.lapsedMS/1000), append(renewed, n.renewedAfterMS/1000), append(watchOpened, n.watchOpenAfterMS/1000)
				}
				t.Logf("fleet %3d, exchange %-5v, outage %2.0f s: median without a lease %4.1f s (worst %4.1f); after the outage: lease renewed after %4.1f s (worst %4.1f), watch open after %4.1f s (worst %4.1f); %d datagrams",
					fleet, exchange, seconds, quantile(lapsed, 0.5), quantile(lapsed, 1), quantile(renewed, 0.5), quantile(renewed, 1),
					quantile(watchOpened, 0.5), quantile(watchOpened, 1), s.datagrams)
				if exchange {
					require.Less(t, quantile(renewed, 1), 6.0)
				}
			}
		}
	}
}
