package listlease

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cottonwell/internal/gossip"
)

func peersConfig(self, fleet int, seed uint64) PeersConfig {
	return PeersConfig{Self: self, Fleet: fleet, Seed: seed, QueryIntervalMS: 250, UnwatchedQueryAgeMS: 1000, WatchedQueryAgeMS: 2600, PeersPerQuery: 3, MinAgeGainMS: 200, KeepQueryMS: 1500}
}

// newPair returns the leases and exchanges of two schedulers. The test gives confirmations by discovery to the first only.
func newPair(t *testing.T) (informed, querier *Lease, informedPeers, querierPeers *Peers) {
	informed, querier = newLease(t), newLease(t)
	var err error
	informedPeers, err = NewPeers(0, peersConfig(0, 2, 1), informed)
	require.NoError(t, err)
	querierPeers, err = NewPeers(0, peersConfig(1, 2, 2), querier)
	require.NoError(t, err)
	return informed, querier, informedPeers, querierPeers
}

// deliver passes datagrams to their receiver at a time, and returns its replies.
func deliver(t *testing.T, now float64, from int, to *Peers, messages []Message) (replies []Message) {
	for _, m := range messages {
		out, _, err := to.Receive(now, from, m.Raw)
		require.NoError(t, err)
		replies = append(replies, out...)
	}
	return replies
}

func TestInvalidPeersConfig(t *testing.T) {
	for _, change := range []func(*PeersConfig){
		func(c *PeersConfig) { c.Fleet = 1 },
		func(c *PeersConfig) { c.Self = 2 },
		func(c *PeersConfig) { c.QueryIntervalMS = 0 },
		func(c *PeersConfig) { c.PeersPerQuery = 0 },
		func(c *PeersConfig) { c.MinAgeGainMS = 0 },
	} {
		c := peersConfig(0, 2, 1)
		change(&c)
		_, err := NewPeers(0, c, newLease(t))
		require.Error(t, err)
	}
}

// A forwarded confirmation is dated to the sending time of the query minus its age, whatever the delay of query and response.
func TestConfirmationIsDatedByQueryTime(t *testing.T) {
	informed, querier, informedPeers, querierPeers := newPair(t)
	informed.ConfirmList(1000, 1000, serving("a", "b"))
	queries := querierPeers.DueQueries(1500)
	require.Len(t, queries, 1)
	require.Nil(t, querierPeers.DueQueries(1700), "the next query is not due yet")
	responses := deliver(t, 3000, 1, informedPeers, queries[:1])
	deliver(t, 4000, 0, querierPeers, responses[:1])
	require.Equal(t, 1500-2000+leaseMS, querier.Until())
	require.False(t, querier.Withheld("a"))
	deliver(t, 5000, 0, querierPeers, deliver(t, 5000, 1, informedPeers, querierPeers.DueQueries(4600)))
	require.Equal(t, 4600-4000+leaseMS, querier.Until())
	deliver(t, 5150, 0, querierPeers, deliver(t, 5150, 1, informedPeers, querierPeers.DueQueries(5150)))
	require.Equal(t, 1000+leaseMS, querier.Until())
	require.Empty(t, deliver(t, 5600, 1, informedPeers, querierPeers.DueQueries(5600)), "it has no younger confirmation")
}

// A query that cannot be answered at once is answered when a younger confirmation arrives, if that is within KeepQueryMS.
func TestQueryWaitsForYoungerConfirmation(t *testing.T) {
	informed, querier, informedPeers, querierPeers := newPair(t)
	require.Empty(t, deliver(t, 1500, 1, informedPeers, querierPeers.DueQueries(1490)))
	informed.ConfirmList(2000, 2000, serving("a", "b"))
	responses := informedPeers.DueResponses(2000)
	require.Len(t, responses, 1)
	require.Empty(t, informedPeers.DueResponses(2001), "the query is answered once")
	deliver(t, 2010, 0, querierPeers, responses)
	require.Equal(t, 1490+leaseMS, querier.Until())
	require.Empty(t, deliver(t, 2500, 1, informedPeers, []Message{{Raw: string((&gossip.ListRequest{Age: 100}).Append(nil))}}))
	informed.Heartbeat(9000, 9000)
	require.Empty(t, informedPeers.DueResponses(9000), "the query is too old")
}

// If the lists differ, the response contains the targets that left the querier's list. If that list is unknown or the targets
// are too many, it contains the serving targets nearest to the querier. A restarted target counts as another target.
func TestConfirmationOfAnotherList(t *testing.T) {
	informed, querier, informedPeers, querierPeers := newPair(t)
	informed.ConfirmList(1000, 1000, []Target{{Name: "b"}, {Name: "c"}})
	deliver(t, 1000, 0, querierPeers, deliver(t, 1000, 1, informedPeers, querierPeers.DueQueries(1000)))
	require.True(t, querier.Withheld("a"))
	require.False(t, querier.Withheld("b"))
	require.Equal(t, 1000+leaseMS, querier.Until(), "the lease on the rest of the list is renewed")
	require.False(t, querier.Lapsed())
	querier.watching = true
	require.True(t, querier.Heartbeat(1500, 1500), "the own watch would have reported the removal")
	require.False(t, querier.Withheld("a"))
	querier.watching = false
	querier.Load(1000, []Target{{Name: "b", StartedMS: 5}, {Name: "c"}, {Name: "d"}})
	require.False(t, querier.Withheld("b"), "the lease on the whole list is still valid")
	querier.confirmedAt = never
	informed.Heartbeat(3000, 3000)
	deliver(t, 3000, 0, querierPeers, deliver(t, 3000, 1, informedPeers, querierPeers.DueQueries(3000)))
	require.True(t, querier.Withheld("b"), "the response is about its previous start")
	require.False(t, querier.Withheld("c"))
	require.True(t, querier.Withheld("d"))
	require.False(t, querier.Valid())
	require.False(t, querier.Lapsed(), "one target is confirmed")
	require.True(t, querier.Review(20_000))
	require.True(t, querier.Lapsed())
	many := []Target{}
	for i := range 3 * gossip.MaxKeys {
		many = append(many, Target{Name: fmt.Sprint(i)})
	}
	informed.ConfirmList(3000, 3000, many)
	informed.ConfirmList(3000, 3000, many[:gossip.MaxKeys])
	excluding, keys := informed.servingKeys(gossip.DigestOf(informed.previousLists[len(informed.previousLists)-1].keys), 0.99)
	require.False(t, excluding, "too many targets left the list")
	require.Len(t, keys, gossip.MaxKeys)
}

// A response is ignored if it is to another process, has a query time in the future, has the maximum age, or is about another
// list. A malformed datagram, or one with an invalid sender, is an error.
func TestInvalidResponsesAreIgnored(t *testing.T) {
	informed, querier, informedPeers, querierPeers := newPair(t)
	informed.ConfirmList(1000, 1000, serving("a", "b"))
	valid := gossip.ListResponse{Process: querierPeers.process, RequestSentAt: 1_000_000, Age: 5, Except: true, Digest: querier.digest}
	for _, change := range []func(*gossip.ListResponse){
		func(a *gossip.ListResponse) { a.Process++ },
		func(a *gossip.ListResponse) { a.RequestSentAt += 1_000_001 },
		func(a *gossip.ListResponse) { a.Age = gossip.MaxAge },
		func(a *gossip.ListResponse) { a.Digest++ },
	} {
		invalid := valid
		change(&invalid)
		_, changed, err := querierPeers.Receive(1100, 0, string(invalid.Append(nil)))
		require.NoError(t, err)
		require.False(t, changed)
		require.True(t, querier.Withheld("a"))
	}
	raw := string(valid.Append(nil))
	for _, malformed := range []string{"", raw[:1], raw[:len(raw)-1], raw + "x", "\x20" + raw[1:] + "12345678"} {
		_, _, err := querierPeers.Receive(1100, 0, malformed)
		require.Error(t, err)
	}
	for _, sender := range []int{-1, 1, 2} {
		_, _, err := querierPeers.Receive(1100, sender, raw)
		require.Error(t, err, "not another scheduler")
	}
	_, changed, err := querierPeers.Receive(1100, 0, raw)
	require.NoError(t, err)
	require.True(t, changed)
	require.Empty(t, informedPeers.DueResponses(1100))
}

// fleetFault injects faults into the schedulers of a fleet. The zero value injects none.
type fleetFault struct {
	// onStart is called when a scheduler starts.
	onStart func(n *node)
	// onResponse can change a response before it is sent to the querier.
	onResponse func(querier *node, now float64, a *gossip.ListResponse)
}

// node is a scheduler of a fleet in virtual time. Times are in milliseconds.
type node struct {
	self          int
	clockOffset   float64 // offset of its clock
	lease         *Lease
	peers         *Peers
	watchOpen     bool
	changesListed int // number of changes that its list contains
	heartbeatAt   float64
	wakesAt       float64
	pausedUntil   float64 // end of a pause of the process
}

type datagram struct {
	at       float64
	from, to int
	raw      string
}

// fleetSimulation simulates a fleet while targets leave the list. Each scheduler's watches open and break at random, and
// datagrams between schedulers are lost, delayed and duplicated. Times are in milliseconds.
type fleetSimulation struct {
	rng             *rand.Rand
	fault           fleetFault
	names           []string
	leftAt          []float64 // when each target leaves the list; sorted
	downAt          float64   // start of the outage of discovery
	upAt            float64   // end of the outage of discovery
	nodes           []*node
	inFlight        []datagram
	violations      int
	servedUnwatched int // number of checks in which a target was usable although no watch was open
}

const (
	watchDelayMS = 100.0 // maximum delay of a message from discovery
	simulatedMS  = 30_000.0
	fleetStepMS  = 10.0
)

func newFleetSimulation(rng *rand.Rand, fault fleetFault) *fleetSimulation {
	s := &fleetSimulation{rng: rng, fault: fault}
	at := 0.0
	for i := range 12 {
		s.names = append(s.names, fmt.Sprintf("t%02d", i))
		at += simulatedMS / 10 * rng.Float64()
		s.leftAt = append(s.leftAt, at)
	}
	s.downAt = simulatedMS / 2 * rng.Float64()
	s.upAt = s.downAt + 12_000*rng.Float64()
	for i := range 3 + rng.IntN(5) {
		s.nodes = append(s.nodes, &node{self: i})
	}
	for _, n := range s.nodes {
		s.start(n, 0)
	}
	return s
}

// goneCount returns the number of targets that have left the list.
func (s *fleetSimulation) goneCount(now float64) (n int) {
	for n < len(s.leftAt) && s.leftAt[n] <= now {
		n++
	}
	return n
}

func (s *fleetSimulation) servingWithout(gone int) []Target { return serving(s.names[gone:]...) }

// start starts a scheduler with the initial list and a clock of its own.
func (s *fleetSimulation) start(n *node, now float64) {
	n.clockOffset = 1e6 + 20_000*s.rng.Float64()
	n.lease, _ = NewLease(leaseMS, leaseMS)
	n.lease.Load(now+n.clockOffset, s.servingWithout(0))
	n.peers, _ = NewPeers(now+n.clockOffset, peersConfig(n.self, len(s.nodes), s.rng.Uint64()), n.lease)
	n.watchOpen, n.changesListed, n.wakesAt, n.pausedUntil = false, 0, now, 0
	if s.fault.onStart != nil {
		s.fault.onStart(n)
	}
}

// send sends datagrams, after the fault was applied to them.
func (s *fleetSimulation) send(n *node, now float64, messages []Message) {
	for _, m := range messages {
		_, a, err := gossip.ParseList(m.Raw)
		switch {
		case err != nil:
			panic(err)
		case a != nil && s.fault.onResponse != nil:
			s.fault.onResponse(s.nodes[m.To[0]], now, a)
			m.Raw = string(a.Append(nil))
		}
		for _, to := range m.To {
			for range 1 + s.rng.IntN(8)/7 { // one in eight is duplicated
				delay := 20 * s.rng.Float64()
				switch s.rng.IntN(10) {
				case 0, 1, 2:
					continue // lost
				case 3:
					delay = 6000 * s.rng.Float64()
				}
				s.inFlight = append(s.inFlight, datagram{now + delay, n.self, to, m.Raw})
			}
		}
	}
}

// afterEvent sends the due queries and responses of a scheduler after an event, and sets its next wake-up time.
func (s *fleetSimulation) afterEvent(n *node, now float64) {
	localNow := now + n.clockOffset
	s.send(n, now, n.peers.DueResponses(localNow))
	s.send(n, now, n.peers.DueQueries(localNow))
	n.wakesAt = min(n.lease.Next(localNow), n.peers.Next(localNow)) - n.clockOffset
}

// simulateDiscovery opens, uses or breaks the watch of one scheduler.
func (s *fleetSimulation) simulateDiscovery(n *node, now float64) {
	localNow, gone := now+n.clockOffset, s.goneCount(now-watchDelayMS)
	down := now >= s.downAt && now < s.upAt
	switch {
	case n.watchOpen && (down || s.rng.Float64() < fleetStepMS/3000):
		n.watchOpen = false
		n.lease.WatchEnded(now)
	case n.watchOpen && gone > n.changesListed, !n.watchOpen && !down && s.rng.Float64() < fleetStepMS/6000:
		n.watchOpen, n.changesListed, n.heartbeatAt = true, max(n.changesListed, gone), now
		n.lease.ConfirmList(localNow, localNow, s.servingWithout(n.changesListed))
	case n.watchOpen && now-n.heartbeatAt >= 2000:
		n.heartbeatAt = now
		n.lease.Heartbeat(localNow, localNow)
	case n.wakesAt > now:
		return
	}
	n.lease.Review(localNow)
	s.afterEvent(n, now)
}

// checkRule checks a scheduler against the rule: a usable target was listed at some time within the last lease duration.
func (s *fleetSimulation) checkRule(n *node, now float64) {
	for i, name := range s.names {
		if now+n.clockOffset >= n.lease.MaySendUntil(name) {
			continue
		}
		if now > s.leftAt[i]+leaseMS+watchDelayMS+fleetStepMS {
			s.violations++
		}
		if !n.watchOpen {
			s.servedUnwatched++
		}
	}
}

func (s *fleetSimulation) run() {
	for now := 0.0; now < simulatedMS; now += fleetStepMS {
		for _, n := range s.nodes {
			if s.rng.Float64() < fleetStepMS/20_000 {
				s.start(n, now)
			}
			if s.rng.Float64() < fleetStepMS/10_000 {
				n.pausedUntil = now + 3000*s.rng.Float64()
			}
			if now >= n.pausedUntil {
				s.simulateDiscovery(n, now)
			}
			s.checkRule(n, now)
		}
		inFlight := s.inFlight
		s.inFlight = nil
		for _, d := range inFlight {
			n := s.nodes[d.to]
			if d.at > now || now < n.pausedUntil {
				s.inFlight = append(s.inFlight, d)
				continue
			}
			out, _, err := n.peers.Receive(now+n.clockOffset, d.from, d.raw)
			if err != nil {
				panic(err)
			}
			s.afterEvent(n, now)
			s.send(n, now, out)
		}
	}
}

// With any faults of datagrams, clocks, processes and watches, no target is usable longer than one lease duration after it left
// the list. Forwarded confirmations keep targets usable for schedulers without a watch.
func TestNoWordIsPassedOnAsYoungerThanItIs(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		simulation := newFleetSimulation(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), fleetFault{})
		simulation.run()
		require.Zero(t, simulation.violations)
		served += simulation.servedUnwatched
	})
	require.Positive(t, served)
}

// The fleet simulation detects responses without an age, responses that are dated by another clock, queries that do not
// identify their process, and responses that omit the targets that left the list.
func TestFleetCheckerFindsFaults(t *testing.T) {
	faults := map[string]fleetFault{
		"no age in responses":    {onResponse: func(_ *node, _ float64, a *gossip.ListResponse) { a.Age = 0 }},
		"dated by another clock": {onResponse: func(querier *node, _ float64, a *gossip.ListResponse) { a.RequestSentAt += 2_000_000 }},
		"same process identity":  {onStart: func(n *node) { n.peers.process = 7 }},
		"removals omitted":       {onResponse: func(_ *node, _ float64, a *gossip.ListResponse) { a.Keys = nil }},
	}
	for name, fault := range faults {
		violations := 0
		for seed := range uint64(100) {
			simulation := newFleetSimulation(rand.New(rand.NewPCG(seed, 1)), fault)
			simulation.run()
			violations += simulation.violations
		}
		require.Positive(t, violations, name)
		t.Log(name, violations)
	}
}
