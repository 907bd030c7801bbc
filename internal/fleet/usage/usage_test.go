package usage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cottonwell/internal/faults"
	"cottonwell/internal/vtime"
)

// testFleet runs the machines of several schedulers in virtual time. The test sets which one is the
// usage aggregator. Requests arrive evenly: rate is per tenant and second over the fleet, and
// schedulers with lower numbers receive more of them.
type testFleet struct {
	vtime.Queue
	network        *faults.DatagramFaults
	machines       []*Machine
	dead           []bool
	wakes          []float64
	holder         int // -1: no scheduler
	number         uint64
	staleHolder    int // still acts as the holder of the duty, under its old number; -1: no scheduler
	staleNumber    uint64
	rate           [2]float64
	requests       [][]float64
	countedAt      []float64
	fractions      []map[string]float64
	fractionsUntil []float64
	sends          int
}

func newTestFleet(t require.TestingT, n int, script faults.Script, seed uint64) *testFleet {
	x := &testFleet{network: &faults.DatagramFaults{Script: script, MeanDelay: 5, Rng: rand.New(rand.NewPCG(seed, 1))}, number: 10, staleHolder: -1, rate: [2]float64{800, 300}}
	for i := range n {
		x.machines, x.wakes, x.countedAt, x.requests = append(x.machines, nil), append(x.wakes, math.Inf(1)), append(x.countedAt, 0), append(x.requests, make([]float64, 2))
		x.fractions, x.fractionsUntil, x.dead = append(x.fractions, nil), append(x.fractionsUntil, 0), append(x.dead, false)
		x.startMachine(t, i, 1)
	}
	return x
}

func (x *testFleet) startMachine(t require.TestingT, i int, runID uint32) {
	c := Default()
	c.Self, c.Fleet, c.RunID = i, 60, runID
	c.Tenants = []Tenant{{"a", 500}, {"b", 500}}
	m, err := New(c, x.Now)
	require.NoError(t, err)
	x.machines[i], x.dead[i], x.requests[i], x.countedAt[i] = m, false, make([]float64, 2), x.Now
	x.step(i, Event{Kind: Due})
}

func (x *testFleet) step(i int, ev Event) {
	if x.dead[i] {
		return
	}
	ev.Holder, ev.Newest = x.holder, x.number
	switch i {
	case x.staleHolder:
		ev.Number, ev.Newest, ev.Holder = x.staleNumber, x.staleNumber, i
	case x.holder:
		ev.Number = x.number
	}
	if ev.Kind == Due {
		weight := 2 * float64(len(x.machines)-i) / float64(len(x.machines)*(len(x.machines)+1))
		for k := range x.rate {
			x.requests[i][k] += x.rate[k] * weight * (x.Now - x.countedAt[i]) / 1000
			ev.Requests = append(ev.Requests, uint64(x.requests[i][k]))
		}
		x.countedAt[i] = x.Now
	}
	for _, a := range x.machines[i].Step(x.Now, &ev, nil) {
		switch a.Kind {
		case Send:
			raw := string(a.Msg.Append(nil, 7))
			for to := range x.machines {
				if to == i || a.To >= 0 && a.To != to {
					continue
				}
				x.sends++
				for _, d := range x.network.Deliver(x.Now, i, to, raw) {
					x.After(d.After, func() {
						var msg Msg
						if msg.Parse([]byte(d.Raw), 7) == nil {
							x.step(to, Event{Kind: MessageReceived, From: i, Msg: &msg})
						}
					})
				}
			}
		case FractionsChanged:
			x.fractions[i], x.fractionsUntil[i] = a.Fractions, x.Now+a.Lasts
		case Wake:
			if a.At == x.wakes[i] {
				continue
			}
			x.wakes[i] = a.At
			x.At(a.At, func() {
				if x.wakes[i] == a.At {
					x.step(i, Event{Kind: Due})
				}
			})
		}
	}
}

func (x *testFleet) run(ms float64) {
	end := x.Now + ms
	for x.Next(end) {
	}
	x.Now = end
}

// countFractions returns how many schedulers apply a fraction for a tenant that is within the given
// distance of the right one.
func (x *testFleet) countFractions(tenant string, right, within float64) (n int) {
	for i, p := range x.fractions {
		if part, yes := p[tenant]; yes && x.fractionsUntil[i] > x.Now && math.Abs(part-right) <= within {
			n++
		}
	}
	return n
}

func TestAllSchedulersGetTheFractionWithinATenantsShare(t *testing.T) {
	x := newTestFleet(t, 20, nil, 1)
	x.run(4000)
	require.Equal(t, 20, x.countFractions("a", 500.0/800, 0.02))
	require.Zero(t, x.countFractions("b", 0.5, 0.6), "a tenant within its share")
	for _, m := range x.machines {
		m.SetAllowances(map[string]float64{"a": 400, "no such tenant": 3})
	}
	x.run(4000)
	require.Equal(t, 20, x.countFractions("a", 0.5, 0.02), "by the agreed allowance")
	for _, m := range x.machines {
		m.SetAllowances(nil)
	}
	x.rate[0] = 400
	x.run(4500)
	require.Zero(t, x.countFractions("a", 0.5, 0.6), "a tenant that is within its share again")
	before := x.sends
	x.run(5000)
	require.Equal(t, 19*10, x.sends-before, "while all tenants are within their shares, the only messages are the reports")
}

// A new usage aggregator has no data for a while. It sends nothing in that time, so that the fractions
// sent before still apply.
func TestChangeOfTheUsageAggregator(t *testing.T) {
	x := newTestFleet(t, 20, nil, 1)
	x.run(4000)
	for next := range 5 {
		x.holder, x.number = next+3, x.number+1
		for range 30 {
			x.run(100)
			require.Equal(t, 20, x.countFractions("a", 500.0/800, 0.08), "usage aggregator %d", next)
		}
	}
	x.holder = -1
	x.run(Default().ValidFor + 600)
	require.Zero(t, x.countFractions("a", 0.5, 0.6), "no fraction applies while no scheduler holds the duty")
}

func TestFractionsUnderAnOldNumberAreRefused(t *testing.T) {
	x := newTestFleet(t, 20, nil, 1)
	x.run(4000)
	x.staleHolder, x.staleNumber, x.holder, x.number = 0, 10, 5, 11 // scheduler 0 was paused, and by its own counts no tenant asks for much
	stale := x.machines[7].Counts.Stale
	x.run(4000)
	require.Equal(t, 20, x.countFractions("a", 500/(800*(1-40.0/420)), 0.02), "by the sums of the new holder, to which the stale holder does not report")
	require.Greater(t, x.machines[7].Counts.Stale, stale)
}

// The requests of a dead scheduler are not counted. A restarted scheduler counts from zero, and its
// reports are newer than those of its last run.
func TestDeathsAndRestarts(t *testing.T) {
	x := newTestFleet(t, 20, nil, 1)
	x.run(4000)
	x.dead[3], x.dead[4] = true, true
	x.run(5000)
	weight := 1 - (17.0+16)/210
	require.Equal(t, 18, x.countFractions("a", 500/(800*weight), 0.02))
	x.startMachine(t, 3, 2)
	x.startMachine(t, 4, 2)
	x.run(4000)
	require.Equal(t, 20, x.countFractions("a", 500.0/800, 0.02))
}

// With 30 percent of the datagrams lost, others delayed, duplicated and corrupted, and one change of
// the usage aggregator, nearly all schedulers apply about the right fraction nearly always. No
// scheduler gets a fraction for a tenant within its share.
func TestUnderPacketLoss(t *testing.T) {
	script := faults.Script{{Kind: faults.Loss, Lasts: 1e6, Share: 0.3}, {Kind: faults.Jitter, Lasts: 1e6, Size: 40},
		{Kind: faults.Duplicate, Lasts: 1e6, Share: 0.2, Size: 3000}, {Kind: faults.Corrupt, Lasts: 1e6, Share: 0.05}}
	for seed := range uint64(40) {
		n := 5 + int(seed)%56
		x := newTestFleet(t, n, script, seed)
		x.run(5000)
		right := 0
		for round := range 20 {
			if round == 6 {
				x.holder, x.number = (x.holder+1)%n, x.number+1
			}
			x.run(300)
			right += x.countFractions("a", 500.0/800, 0.12)
			require.Zero(t, x.countFractions("b", 0.5, 0.6), "seed %d", seed)
		}
		require.Greater(t, right, 16*n, "seed %d: of 20 samples of %d schedulers", seed, n)
	}
}

func TestMessagesForOtherTenantsAreRefused(t *testing.T) {
	x := newTestFleet(t, 5, nil, 1)
	c := Default()
	c.Self, c.Fleet, c.Tenants = 4, 60, []Tenant{{"a", 500}, {"c", 500}}
	m, err := New(c, 0)
	require.NoError(t, err)
	x.machines[4] = m
	x.run(4000)
	require.Positive(t, x.machines[0].Counts.Mismatched)
	require.Empty(t, x.fractions[4])
}

func TestParse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := Msg{Kind: Fractions, TenantsKey: rapid.Uint32().Draw(rt, "key"), Number: rapid.Uint64().Draw(rt, "number"), Seq: rapid.Uint32().Draw(rt, "seq"), Lasts: 1500}
		for range rapid.IntRange(1, MaxTenants).Draw(rt, "tenants") {
			in.Figures = append(in.Figures, rapid.Float32Range(0, 9e8).Draw(rt, "figure"))
		}
		raw := in.Append(nil, 7)
		require.LessOrEqual(rt, len(raw), 256)
		var out Msg
		require.NoError(rt, out.Parse(raw, 7))
		require.Equal(rt, in, out)
		require.Error(rt, out.Parse(raw, 8))
		require.Error(rt, out.Parse(raw[:len(raw)-1], 7))
		require.Error(rt, out.Parse(rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "foreign"), 7))
		in.Figures[0] = float32(math.NaN())
		require.Error(rt, out.Parse(in.Append(nil, 7), 7), "a figure that is not a number")
	})
}

func TestInvalidSettings(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"scheduler 5 of 5":                func(c *Config) { c.Self = 5 },
		"no tenants with shares":          func(c *Config) { c.Tenants = nil },
		"every is 1ms":                    func(c *Config) { c.Interval = 1 },
		"lasts is 1900ms":                 func(c *Config) { c.ValidFor = 1900 },
		"lasts is NaNms":                  func(c *Config) { c.ValidFor = math.NaN() },
		"allowance of 0 requests":         func(c *Config) { c.Tenants[0].Allowance = 0 },
		"tenant \"b\" has no unique name": func(c *Config) { c.Tenants[0].Name = "b" },
	} {
		c := Default()
		c.Fleet, c.Tenants = 5, []Tenant{{"a", 1}, {"b", 1}}
		change(&c)
		_, err := New(c, 0)
		require.ErrorContains(t, err, want)
	}
	c := Default()
	c.Fleet = 5
	for i := range 40 {
		c.Tenants = append(c.Tenants, Tenant{fmt.Sprint(i), 1})
	}
	m, err := New(c, 0)
	require.NoError(t, err)
	require.Len(t, m.config.Tenants, MaxTenants, "further tenants have no separate counts")
	m.Step(1000, &Event{Kind: Due, Requests: make([]uint64, 40), Number: 3}, nil)
}

func BenchmarkStep(b *testing.B) {
	c := Default()
	c.Fleet, c.Tenants = 300, []Tenant{{"a", 1}, {"b", 1}, {"c", 1}}
	m, err := New(c, 0)
	require.NoError(b, err)
	x := &Msg{Kind: Usage, TenantsKey: m.tenantsKey, Number: 1, Figures: []float32{1, 2, 3}}
	var acts []Action
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		x.Seq = uint32(i + 1)
		acts = m.Step(0, &Event{Kind: MessageReceived, From: i % 300, Msg: x, Holder: 0, Number: 5}, acts[:0])
	}
}
