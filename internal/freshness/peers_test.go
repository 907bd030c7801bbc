package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cottonwell/internal/gossip"
)

func peersConfig(self, fleet int, seed uint64) PeersConfig {
	return PeersConfig{Self: self, Fleet: fleet, Seed: seed, AskEvery: 250, AskAt: 1000, SilentAt: 2600, AskMany: 3, Younger: 200, KeepFor: 1500}
}

// pair is two schedulers, of which only the first has a word of discovery.
func pair(t *testing.T) (has, asks *Lease, hasPeers, asksPeers *Peers) {
	has, asks = newLease(t), newLease(t)
	var err error
	hasPeers, err = NewPeers(0, peersConfig(0, 2, 1), has)
	require.NoError(t, err)
	asksPeers, err = NewPeers(0, peersConfig(1, 2, 2), asks)
	require.NoError(t, err)
	return has, asks, hasPeers, asksPeers
}

// hand passes datagrams on at a time, and returns what comes back.
func hand(t *testing.T, now float64, from int, to *Peers, messages []Message) (back []Message) {
	for _, m := range messages {
		out, _, err := to.Heard(now, from, m.Raw)
		require.NoError(t, err)
		back = append(back, out...)
	}
	return back
}

func TestImpossiblePeers(t *testing.T) {
	for _, change := range []func(*PeersConfig){
		func(c *PeersConfig) { c.Fleet = 1 },
		func(c *PeersConfig) { c.Self = 2 },
		func(c *PeersConfig) { c.AskEvery = 0 },
		func(c *PeersConfig) { c.AskMany = 0 },
		func(c *PeersConfig) { c.Younger = 0 },
	} {
		c := peersConfig(0, 2, 1)
		change(&c)
		_, err := NewPeers(0, c, newLease(t))
		require.Error(t, err)
	}
}

// A word that is passed on counts from when the question left less its age, however long question and answer were on
// their way.
func TestWordIsDatedByTheQuestion(t *testing.T) {
	has, asks, hasPeers, asksPeers := pair(t)
	has.Listed(1000, 1000, serving("a", "b"))
	questions := asksPeers.Due(1500)
	require.Len(t, questions, 1)
	require.Nil(t, asksPeers.Due(1700), "the next question waits")
	answers := hand(t, 3000, 1, hasPeers, questions[:1])
	hand(t, 4000, 0, asksPeers, answers[:1])
	require.Equal(t, 1500-2000+lasts, asks.Until())
	require.False(t, asks.Withheld("a"))
	hand(t, 5000, 0, asksPeers, hand(t, 5000, 1, hasPeers, asksPeers.Due(4600)))
	require.Equal(t, 4600-4000+lasts, asks.Until())
	hand(t, 5150, 0, asksPeers, hand(t, 5150, 1, hasPeers, asksPeers.Due(5150)))
	require.Equal(t, 1000+lasts, asks.Until())
	require.Empty(t, hand(t, 5600, 1, hasPeers, asksPeers.Due(5600)), "it has nothing younger to say")
}

// A question that could not be answered is answered once the other is told, for a while.
func TestQuestionWaitsForAYoungerWord(t *testing.T) {
	has, asks, hasPeers, asksPeers := pair(t)
	require.Empty(t, hand(t, 1500, 1, hasPeers, asksPeers.Due(1490)))
	has.Listed(2000, 2000, serving("a", "b"))
	answers := hasPeers.Renewed(2000)
	require.Len(t, answers, 1)
	require.Empty(t, hasPeers.Renewed(2001), "once")
	hand(t, 2010, 0, asksPeers, answers)
	require.Equal(t, 1490+lasts, asks.Until())
	require.Empty(t, hand(t, 2500, 1, hasPeers, []Message{{Raw: string((&gossip.ListQuestion{Age: 100}).Append(nil))}}))
	has.SignOfLife(9000, 9000)
	require.Empty(t, hasPeers.Renewed(9000), "too long ago")
}

// Where the list has changed the answer names what left the asker's list, or the targets near the asker that serve if
// that is not known or too much. A target that started anew is another.
func TestWordOnAnotherList(t *testing.T) {
	has, asks, hasPeers, asksPeers := pair(t)
	has.Listed(1000, 1000, []Target{{Name: "b"}, {Name: "c"}})
	hand(t, 1000, 0, asksPeers, hand(t, 1000, 1, hasPeers, asksPeers.Due(1000)))
	require.True(t, asks.Withheld("a"))
	require.False(t, asks.Withheld("b"))
	require.Equal(t, 1000+lasts, asks.Until(), "of the rest")
	require.False(t, asks.Lapsed())
	asks.watching = true
	require.True(t, asks.SignOfLife(1500, 1500), "the own watch would have told")
	require.False(t, asks.Withheld("a"))
	asks.watching = false
	asks.Load(1000, []Target{{Name: "b", StartedMS: 5}, {Name: "c"}, {Name: "d"}})
	require.False(t, asks.Withheld("b"), "the lease holds: it was discovery that changed the list")
	asks.wordAt = never
	has.SignOfLife(3000, 3000)
	hand(t, 3000, 0, asksPeers, hand(t, 3000, 1, hasPeers, asksPeers.Due(3000)))
	require.True(t, asks.Withheld("b"), "it is told of as it was before")
	require.False(t, asks.Withheld("c"))
	require.True(t, asks.Withheld("d"))
	require.False(t, asks.Valid())
	require.False(t, asks.Lapsed(), "something is confirmed")
	require.True(t, asks.Review(20_000))
	require.True(t, asks.Lapsed())
	many := []Target{}
	for i := range 3 * gossip.MaxKeys {
		many = append(many, Target{Name: fmt.Sprint(i)})
	}
	has.Listed(3000, 3000, many)
	has.Listed(3000, 3000, many[:gossip.MaxKeys])
	except, keys := has.answer(gossip.DigestOf(has.past[len(has.past)-1].keys), 0.99)
	require.False(t, except, "too many left")
	require.Len(t, keys, gossip.MaxKeys)
}

// Answers that are not to a question of this process, from the future, of nothing, or spoilt, say nothing.
func TestAnswersThatSayNothing(t *testing.T) {
	has, asks, hasPeers, asksPeers := pair(t)
	has.Listed(1000, 1000, serving("a", "b"))
	right := gossip.ListAnswer{Process: asksPeers.process, AskedAt: 1_000_000, Age: 5, Except: true, Digest: asks.digest}
	for _, change := range []func(*gossip.ListAnswer){
		func(a *gossip.ListAnswer) { a.Process++ },
		func(a *gossip.ListAnswer) { a.AskedAt += 1_000_001 },
		func(a *gossip.ListAnswer) { a.Age = gossip.MaxAge },
		func(a *gossip.ListAnswer) { a.Digest++ },
	} {
		wrong := right
		change(&wrong)
		_, changed, err := asksPeers.Heard(1100, 0, string(wrong.Append(nil)))
		require.NoError(t, err)
		require.False(t, changed)
		require.True(t, asks.Withheld("a"))
	}
	raw := string(right.Append(nil))
	for _, spoilt := range []string{"", raw[:1], raw[:len(raw)-1], raw + "x", "\x20" + raw[1:] + "12345678"} {
		_, _, err := asksPeers.Heard(1100, 0, spoilt)
		require.Error(t, err)
	}
	for _, who := range []int{-1, 1, 2} {
		_, _, err := asksPeers.Heard(1100, who, raw)
		require.Error(t, err, "not another scheduler")
	}
	_, changed, err := asksPeers.Heard(1100, 0, raw)
	require.NoError(t, err)
	require.True(t, changed)
	require.Empty(t, hasPeers.Renewed(1100))
}

// fleetVariant is how the schedulers of a fleet go wrong: none, if all is nil.
type fleetVariant struct {
	starts func(n *node)
	answer func(asker *node, now float64, a *gossip.ListAnswer)
}

// node is a scheduler of a fleet in virtual time.
type node struct {
	self     int
	offset   float64 // of its clock
	lease    *Lease
	peers    *Peers
	open     bool
	listed   int // changes that its list shows
	signAt   float64
	wakesAt  float64
	stopsFor float64 // it stands still until then
}

type datagram struct {
	at       float64
	from, to int
	raw      string
}

// fleetPlay is a fleet whose schedulers each have calls to discovery that come through or not, while targets leave the list, with
// datagrams lost, late and doubled among them.
type fleetPlay struct {
	rng     *rand.Rand
	variant fleetVariant
	names   []string
	leftAt  []float64 // when each leaves the list; sorted
	downAt  float64   // discovery is down from then on,
	upAt    float64   // until then
	nodes   []*node
	onWay   []datagram
	broken  int
	served  int // looks at which some target could be sent to although no watch was open
}

const (
	watchLag = 100.0 // ms that discovery's word is on its way at the most
	playFor  = 30_000.0
	playStep = 10.0
)

func newFleetPlay(rng *rand.Rand, variant fleetVariant) *fleetPlay {
	p := &fleetPlay{rng: rng, variant: variant}
	at := 0.0
	for i := range 12 {
		p.names = append(p.names, fmt.Sprintf("t%02d", i))
		at += playFor / 10 * rng.Float64()
		p.leftAt = append(p.leftAt, at)
	}
	p.downAt = playFor / 2 * rng.Float64()
	p.upAt = p.downAt + 12_000*rng.Float64()
	for i := range 3 + rng.IntN(5) {
		p.nodes = append(p.nodes, &node{self: i})
	}
	for _, n := range p.nodes {
		p.start(n, 0)
	}
	return p
}

// gone is how many targets have left the list.
func (p *fleetPlay) gone(now float64) (n int) {
	for n < len(p.leftAt) && p.leftAt[n] <= now {
		n++
	}
	return n
}

func (p *fleetPlay) serving(gone int) []Target { return serving(p.names[gone:]...) }

// start starts a scheduler, with the list of the beginning and a clock of its own.
func (p *fleetPlay) start(n *node, now float64) {
	n.offset = 1e6 + 20_000*p.rng.Float64()
	n.lease, _ = NewLease(lasts, lasts)
	n.lease.Load(now+n.offset, p.serving(0))
	n.peers, _ = NewPeers(now+n.offset, peersConfig(n.self, len(p.nodes), p.rng.Uint64()), n.lease)
	n.open, n.listed, n.wakesAt, n.stopsFor = false, 0, now, 0
	if p.variant.starts != nil {
		p.variant.starts(n)
	}
}

// send puts datagrams on their way, as the variant has them.
func (p *fleetPlay) send(n *node, now float64, messages []Message) {
	for _, m := range messages {
		_, a, err := gossip.ParseList(m.Raw)
		switch {
		case err != nil:
			panic(err)
		case a != nil && p.variant.answer != nil:
			p.variant.answer(p.nodes[m.To[0]], now, a)
			m.Raw = string(a.Append(nil))
		}
		for _, to := range m.To {
			for range 1 + p.rng.IntN(8)/7 { // some come twice
				late := 20 * p.rng.Float64()
				switch p.rng.IntN(10) {
				case 0, 1, 2:
					continue // lost
				case 3:
					late = 6000 * p.rng.Float64()
				}
				p.onWay = append(p.onWay, datagram{now + late, n.self, to, m.Raw})
			}
		}
	}
}

// after lets a scheduler do what follows of an event.
func (p *fleetPlay) after(n *node, now float64) {
	own := now + n.offset
	p.send(n, now, n.peers.Renewed(own))
	p.send(n, now, n.peers.Due(own))
	n.wakesAt = min(n.lease.Next(own), n.peers.Next(own)) - n.offset
}

// discovery has one scheduler hear discovery, or lose it.
func (p *fleetPlay) discovery(n *node, now float64) {
	own, gone := now+n.offset, p.gone(now-watchLag)
	down := now >= p.downAt && now < p.upAt
	switch {
	case n.open && (down || p.rng.Float64() < playStep/3000):
		n.open = false
		n.lease.WatchLost(now)
	case n.open && gone > n.listed, !n.open && !down && p.rng.Float64() < playStep/6000:
		n.open, n.listed, n.signAt = true, max(n.listed, gone), now
		n.lease.Listed(own, own, p.serving(n.listed))
	case n.open && now-n.signAt >= 2000:
		n.signAt = now
		n.lease.SignOfLife(own, own)
	case n.wakesAt > now:
		return
	}
	n.lease.Review(own)
	p.after(n, now)
}

// look holds a scheduler against the rule: a target that may be sent to was listed a lease ago or later.
func (p *fleetPlay) look(n *node, now float64) {
	for i, name := range p.names {
		if now+n.offset >= n.lease.MaySendUntil(name) {
			continue
		}
		if now > p.leftAt[i]+lasts+watchLag+playStep {
			p.broken++
		}
		if !n.open {
			p.served++
		}
	}
}

func (p *fleetPlay) run() {
	for now := 0.0; now < playFor; now += playStep {
		for _, n := range p.nodes {
			if p.rng.Float64() < playStep/20_000 {
				p.start(n, now)
			}
			if p.rng.Float64() < playStep/10_000 {
				n.stopsFor = now + 3000*p.rng.Float64()
			}
			if now >= n.stopsFor {
				p.discovery(n, now)
			}
			p.look(n, now)
		}
		onWay := p.onWay
		p.onWay = nil
		for _, d := range onWay {
			n := p.nodes[d.to]
			if d.at > now || now < n.stopsFor {
				p.onWay = append(p.onWay, d)
				continue
			}
			out, _, err := n.peers.Heard(now+n.offset, d.from, d.raw)
			if err != nil {
				panic(err)
			}
			p.after(n, now)
			p.send(n, now, out)
		}
	}
}

// Whatever becomes of datagrams, clocks, processes and watches, nothing may be sent to a target that left the list longer
// ago than a lease lasts; and words that are passed on do let schedulers serve that discovery does not answer.
func TestNoWordIsPassedOnAsYoungerThanItIs(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		p := newFleetPlay(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), fleetVariant{})
		p.run()
		require.Zero(t, p.broken)
		served += p.served
	})
	require.Positive(t, served)
}

// The checker finds fleets that go wrong: whose answers tell no age, are dated by another clock, whose questions bear no process, and whose answers leave out what left the list.
func TestFleetCheckerFindsWrongVariants(t *testing.T) {
	variants := map[string]fleetVariant{
		"no age":                 {answer: func(_ *node, _ float64, a *gossip.ListAnswer) { a.Age = 0 }},
		"dated by another clock": {answer: func(asker *node, _ float64, a *gossip.ListAnswer) { a.AskedAt += 2_000_000 }},
		"no process":             {starts: func(n *node) { n.peers.process = 7 }},
		"any list":               {answer: func(_ *node, _ float64, a *gossip.ListAnswer) { a.Keys = nil }},
	}
	for name, variant := range variants {
		broken := 0
		for seed := range uint64(100) {
			p := newFleetPlay(rand.New(rand.NewPCG(seed, 1)), variant)
			p.run()
			broken += p.broken
		}
		require.Positive(t, broken, name)
		t.Log(name, broken)
	}
}
