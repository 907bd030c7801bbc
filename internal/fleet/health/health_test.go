package health

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
// health checker.
type testFleet struct {
	vtime.Queue
	t             require.TestingT
	network       *faults.DatagramFaults
	machines      []*Machine
	wakes         []float64
	holder        int // -1: no scheduler
	number        uint64
	staleHolder   int             // still acts as the holder of the duty, under its old number; -1: no scheduler
	staleNumber   uint64          // its number
	silent        map[string]bool // targets that do not respond to probes
	excludedUntil []map[string]float64
	probes        int
	sends         int
	allExcludedAt map[string]float64 // first time at which all schedulers exclude a target
}

var targetIDs = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

func newTestFleet(t require.TestingT, n int, script faults.Script, seed uint64) *testFleet {
	x := &testFleet{t: t, network: &faults.DatagramFaults{Script: script, MeanDelay: 5, Rng: rand.New(rand.NewPCG(seed, 1))}, holder: 0, number: 10, staleHolder: -1,
		silent: map[string]bool{}, allExcludedAt: map[string]float64{}}
	c := Default()
	c.Fleet = n
	for i := range n {
		c.Self = i
		m, err := New(c)
		require.NoError(t, err)
		x.machines, x.wakes, x.excludedUntil = append(x.machines, m), append(x.wakes, math.Inf(1)), append(x.excludedUntil, map[string]float64{})
		x.step(i, Event{Kind: TargetsListed, Targets: targetIDs})
	}
	return x
}

func (x *testFleet) step(i int, ev Event) {
	ev.Holder, ev.Newest, ev.LiveMembers = x.holder, x.number, len(x.machines)
	switch i {
	case x.staleHolder: // it knows of no newer number
		ev.Number, ev.Newest, ev.Holder = x.staleNumber, x.staleNumber, i
	case x.holder:
		ev.Number = x.number
	}
	x.wakes[i] = math.Inf(1)
	for _, a := range x.machines[i].Step(x.Now, &ev, nil) {
		switch a.Kind {
		case Send:
			raw := string(a.Msg.Append(nil, 7))
			for to := range x.machines {
				if to != i && (a.To < 0 || a.To == to) {
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
			}
		case Probe:
			x.probes++
			x.After(10, func() { x.step(i, Event{Kind: ProbeDone, Target: a.Target, Responded: !x.silent[a.Target]}) })
		case Verdict:
			x.excludedUntil[i][a.Target] = x.Now + a.Lasts
			if _, known := x.allExcludedAt[a.Target]; !known && x.excluding(a.Target) == len(x.machines) {
				x.allExcludedAt[a.Target] = x.Now
			}
		case Wake:
			x.wakes[i] = a.At
			x.At(a.At, func() {
				if x.wakes[i] == a.At {
					x.step(i, Event{Kind: Due})
				}
			})
		}
	}
}

// excluding returns how many schedulers exclude a target now.
func (x *testFleet) excluding(target string) (n int) {
	for i := range x.machines {
		if x.excludedUntil[i][target] > x.Now {
			n++
		}
	}
	return n
}

func (x *testFleet) run(ms float64) {
	for end := x.Now + ms; ; {
		if !x.Next(end) {
			x.Now = end
			return
		}
	}
}

func (x *testFleet) suspect(target string, failing bool, who ...int) {
	for _, i := range who {
		x.step(i, Event{Kind: TargetSuspected, Target: target, Failing: failing})
	}
}

func TestUnresponsiveTargetIsProbedAndExcludedByAllUntilItResponds(t *testing.T) {
	x := newTestFleet(t, 20, nil, 1)
	x.silent["c"] = true
	x.suspect("c", false, 3, 4, 5)
	x.run(50)
	require.Equal(t, 20, x.excluding("c"), "all schedulers exclude it")
	require.Less(t, x.allExcludedAt["c"], 40.0)
	x.run(5000)
	require.Equal(t, 20, x.excluding("c"), "while it does not respond")
	x.silent["c"] = false
	x.run(700)
	require.Zero(t, x.excluding("c"))
}

func TestSingleReporterOrPartitionedReportersExcludeNoHealthyTarget(t *testing.T) {
	x := newTestFleet(t, 20, nil, 1)
	for range 50 {
		x.suspect("c", true, 3)
		x.suspect("d", false, 3)
		x.run(100)
	}
	require.Zero(t, x.excluding("c")+x.excluding("d"), "a single reporter")
	require.Zero(t, x.probes)
	x.suspect("d", false, 3, 4, 5, 6, 7, 8) // these cannot reach it, but the health checker can
	x.run(100)
	require.Zero(t, x.excluding("d"))
	require.Equal(t, 1, x.machines[0].Counts.Cleared)
}

func TestFailingTargetIsExcludedOnSeveralReportsAndRetried(t *testing.T) {
	x := newTestFleet(t, 20, nil, 1)
	lastExclusion := 0.0
	for round := range 3 { // it fails again each time it is tried
		x.suspect("c", true, 3, 4, 5)
		x.run(50)
		require.Equal(t, 20, x.excluding("c"), "round %d", round)
		begin := x.Now
		for x.excluding("c") > 0 {
			x.run(10)
		}
		require.Greater(t, x.Now-begin, lastExclusion, "excluded for longer each time")
		lastExclusion = x.Now - begin
	}
}

func TestVerdictUnderAnOldNumberIsRefused(t *testing.T) {
	x := newTestFleet(t, 20, nil, 1)
	x.staleHolder, x.staleNumber, x.holder, x.number = 0, 10, 1, 11 // scheduler 0 was paused, and scheduler 1 holds the duty now
	x.silent["c"], x.silent["d"] = true, true
	x.suspect("d", false, 3, 4, 5)
	x.run(100)
	require.Equal(t, 20, x.excluding("d"))
	for _, who := range []int{3, 4, 5} {
		msg := &Msg{Kind: Suspicions, Entries: []Entry{{Target: targetHash("c")}}}
		x.step(0, Event{Kind: MessageReceived, From: who, Msg: msg})
	}
	x.run(100)
	require.LessOrEqual(t, x.excluding("c"), 1, "no scheduler but the stale holder")
	require.Positive(t, x.machines[5].Counts.Stale)
}

func TestWithoutAHealthCheckerVerdictsExpireAndSuspicionsStayPending(t *testing.T) {
	x := newTestFleet(t, 20, nil, 1)
	x.silent["c"] = true
	x.suspect("c", false, 3, 4, 5)
	x.run(100)
	require.Equal(t, 20, x.excluding("c"))
	x.holder = -1
	x.run(Default().ValidFor + 10)
	require.Zero(t, x.excluding("c"), "without a health checker each scheduler evaluates targets by itself")
	x.suspect("c", false, 3, 4, 5)
	x.run(500)
	x.holder, x.number = 7, 12 // a new holder; the suspicions still count
	x.run(500)
	require.Equal(t, 20, x.excluding("c"))
}

func TestUnhealthyTargetsAreLimitedToAShare(t *testing.T) {
	x := newTestFleet(t, 20, nil, 1)
	for _, id := range targetIDs {
		x.silent[id] = true
		x.suspect(id, false, 3, 4, 5)
	}
	x.run(300)
	unhealthy := 0
	for _, id := range targetIDs {
		unhealthy += min(1, x.excluding(id))
	}
	require.Equal(t, 2, unhealthy, "a quarter of eight targets")
	require.Positive(t, x.machines[0].Counts.Capped)
}

func TestTargetsWithEqualHashesGetNoVerdict(t *testing.T) {
	// Two ids with the same hash, found by search.
	seen, a, b := map[uint32]string{}, "", ""
	for i := 0; b == ""; i++ {
		id := fmt.Sprint("s-", i)
		if other, twice := seen[targetHash(id)]; twice {
			a, b = other, id
		}
		seen[targetHash(id)] = id
	}
	x := newTestFleet(t, 20, nil, 1)
	for i := range x.machines {
		x.step(i, Event{Kind: TargetsListed, Targets: []string{a, b, "c", "d", "c"}})
	}
	x.silent[a] = true
	x.suspect(a, false, 3, 4, 5)
	x.run(200)
	require.Zero(t, x.excluding(a)+x.excluding(b))
	x.step(0, Event{Kind: TargetsListed, Targets: nil})
	require.Empty(t, x.machines[0].targets)
}

// With 30 percent of the datagrams lost, and others delayed, duplicated and corrupted, an unresponsive
// target is excluded by nearly all schedulers. A healthy target that one scheduler suspects is
// excluded by none.
func TestUnderPacketLoss(t *testing.T) {
	script := faults.Script{{Kind: faults.Loss, Lasts: 1e6, Share: 0.3}, {Kind: faults.Jitter, Lasts: 1e6, Size: 40},
		{Kind: faults.Duplicate, Lasts: 1e6, Share: 0.2, Size: 3000}, {Kind: faults.Corrupt, Lasts: 1e6, Share: 0.05}}
	for seed := range uint64(100) {
		n := 5 + int(seed)%56
		x := newTestFleet(t, n, script, seed)
		x.silent["c"] = true
		excluded := 0
		for round := range 15 {
			x.suspect("c", false, 1, 2, 3, 4)
			x.suspect("d", true, 1)
			x.run(200)
			if round >= 5 {
				excluded += x.excluding("c")
			}
		}
		require.Greater(t, excluded, 8*n, "seed %d: of 10 samples of %d schedulers", seed, n)
		x.silent["c"] = false
		x.run(3000 + Default().ValidFor + 100) // the latest duplicate has arrived by then
		require.Zero(t, x.excluding("c"), "seed %d", seed)
		require.Zero(t, x.excluding("d"), "seed %d", seed)
	}
}

func TestParse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := Msg{Kind: Verdicts, Number: rapid.Uint64().Draw(rt, "number"), Seq: rapid.Uint32().Draw(rt, "seq"), Lasts: 1500}
		for range rapid.IntRange(1, MaxEntries).Draw(rt, "entries") {
			in.Entries = append(in.Entries, Entry{rapid.Uint32().Draw(rt, "target"), rapid.Bool().Draw(rt, "failing"), rapid.Bool().Draw(rt, "well")})
		}
		raw := in.Append(nil, 7)
		require.LessOrEqual(rt, len(raw), 256)
		var out Msg
		require.NoError(rt, out.Parse(raw, 7))
		require.Equal(rt, in, out)
		require.Error(rt, out.Parse(raw, 8))
		require.Error(rt, out.Parse(raw[:len(raw)-1], 7))
		require.Error(rt, out.Parse(rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "foreign"), 7))
	})
}

func TestInvalidSettings(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"scheduler 5 of 5":      func(c *Config) { c.Self = 5 },
		"tellers is 0":          func(c *Config) { c.Reporters = 0 },
		"window is 1ms":         func(c *Config) { c.Window = 1 },
		"every is 1ms":          func(c *Config) { c.Interval = 1 },
		"lasts is 600ms":        func(c *Config) { c.ValidFor = 600 },
		"most is 0.9":           func(c *Config) { c.MaxUnhealthyShare = 0.9 },
		"most is NaN":           func(c *Config) { c.MaxUnhealthyShare = math.NaN() },
		"window is +Infms":      func(c *Config) { c.Window = math.Inf(1) },
		"scheduler 0 of 0":      func(c *Config) { c.Fleet = 0 },
		"tellers is 16":         func(c *Config) { c.Reporters = 16 },
		"every is 20000ms":      func(c *Config) { c.Interval, c.ValidFor = 20_000, 60_000 },
		"lasts is 100000ms":     func(c *Config) { c.ValidFor = 100_000 },
		"window is 100000ms":    func(c *Config) { c.Window = 100_000 },
		"scheduler -1 of 5":     func(c *Config) { c.Self = -1 },
		"most is 0; it":         func(c *Config) { c.MaxUnhealthyShare = 0 },
		"from twice every (500": func(c *Config) { c.ValidFor = 999 },
	} {
		c := Default()
		c.Fleet = 5
		change(&c)
		_, err := New(c)
		require.ErrorContains(t, err, want)
	}
}

func BenchmarkStep(b *testing.B) {
	c := Default()
	c.Fleet = 300
	m, err := New(c)
	require.NoError(b, err)
	var many []string
	for i := range 200 {
		many = append(many, fmt.Sprint("target-", i))
	}
	m.Step(0, &Event{Kind: TargetsListed, Targets: many}, nil)
	var acts []Action
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		acts = m.Step(float64(i), &Event{Kind: Due, Holder: 1, LiveMembers: 300}, acts[:0])
	}
}
