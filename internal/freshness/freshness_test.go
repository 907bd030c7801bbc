package freshness

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func config() Config {
	return Config{LeaseFor: 5500, StartFor: 1000, RenewAhead: 1500, RetryAfter: 1000, ProbesAtOnce: 4, Confirmed: 3, Place: 0.5}
}

func newTable(t require.TestingT, names ...string) *Table {
	table, err := New(config())
	require.NoError(t, err)
	table.Loaded(0, names)
	return table
}

func targets(actions []Action, kind ActionKind) (names []string) {
	for _, a := range actions {
		if a.Kind == kind {
			names = append(names, a.Target)
		}
	}
	return names
}

func TestConfigErrors(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.LeaseFor = 0 },
		func(c *Config) { c.StartFor = math.NaN() },
		func(c *Config) { c.RenewAhead = c.LeaseFor },
		func(c *Config) { c.RetryAfter = 0 },
		func(c *Config) { c.ProbesAtOnce = 0 },
		func(c *Config) { c.Confirmed = 0 },
		func(c *Config) { c.Place = 1 },
	} {
		c := config()
		change(&c)
		_, err := New(c)
		require.Error(t, err)
	}
}

// While a watch is open nothing is withheld, however long nothing changes and whatever probes say.
func TestOpenWatchWithholdsNothing(t *testing.T) {
	table := newTable(t, "a", "b")
	require.Empty(t, table.Heard(10, []string{"a", "b"}))
	require.Empty(t, table.Probed(20, 15, "a", NotReady))
	require.Empty(t, table.Due(1e9, 0))
	require.True(t, math.IsInf(table.Until("a"), 1))
	require.True(t, math.IsInf(table.Next(20), 1))
}

// A lease runs from the last sign of life, not from when the loss was noticed; what is told after it is news of before.
func TestLeaseRunsFromTheLastSignOfLife(t *testing.T) {
	table := newTable(t, "a", "b")
	table.Heard(10, []string{"a", "b"})
	require.Empty(t, table.Lost(3500, 1000))
	require.Equal(t, 6500.0, table.Until("a"))
	require.Empty(t, targets(table.Due(6499, 0), Withhold))
	require.Equal(t, []string{"a", "b"}, targets(table.Due(6500, 0), Withhold))
	require.True(t, table.Withheld("a"))
	// Calls that fail change nothing, and the next list releases all that it names.
	require.Empty(t, table.Lost(8000, 1000))
	require.Equal(t, []string{"a"}, targets(table.Heard(9000, []string{"a", "c"}), Release))
	require.Equal(t, math.Inf(-1), func() float64 { table.Lost(9100, 9000); return table.Until("b") }(), "it left the list")
}

// A new process trusts the list that it holds while its first call is under way, for a while; a call that fails ends that.
func TestListFromDisk(t *testing.T) {
	table := newTable(t, "a", "b")
	require.Empty(t, table.Due(999, 0), "nor is anything probed, as the answer is on the way")
	require.Len(t, targets(table.Due(1000, 0), Withhold), 2)
	table = newTable(t, "a", "b")
	require.Len(t, targets(table.Lost(20, 0), Withhold), 2)
}

// A probe that is answered as ready renews one target's lease, from when it was sent; one that is not withholds it.
func TestProbesConfirmAndWithhold(t *testing.T) {
	table := newTable(t, "a", "b", "c")
	table.Heard(0, []string{"a", "b", "c"})
	table.Lost(100, 100)
	require.Equal(t, []string{"a"}, targets(table.Probed(300, 290, "a", NotReady), Withhold))
	require.Empty(t, targets(table.Probed(400, 380, "b", Silent), Withhold), "silence says nothing of a drain")
	require.Equal(t, []string{"a"}, targets(table.Probed(900, 890, "a", Serving), Release))
	table.Probed(5000, 4000, "b", Serving)
	require.Equal(t, 9500.0, table.Until("b"))
	require.Equal(t, []string{"c"}, targets(table.Due(6000, 0), Withhold))
	require.Equal(t, []string{"a"}, targets(table.Due(6390, 0), Withhold), "its probe was sent at 890")
	require.Empty(t, table.Probed(6400, 6390, "unknown", Serving))
}

// Leases of the nearest targets are renewed before they run out, a few probes at a time, and more with more requests.
func TestRenewsInTime(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("t%02d", i))
	}
	table := newTable(t, names...)
	table.Heard(0, names)
	table.Lost(100, 100)
	require.Empty(t, table.Due(4000, 0), "not yet")
	require.Equal(t, []string{"t10", "t11"}, targets(table.Due(4100, 0), Probe))
	require.Equal(t, []string{"t09"}, targets(table.Due(4150, 0), Probe))
	require.Empty(t, table.Due(4200, 0), "three are wanted")
	require.Equal(t, []string{"t12"}, targets(table.Due(4250, 2), Probe), "four may be out")
	table.Probed(4300, 4100, "t10", Serving)
	table.Probed(4300, 4100, "t11", Silent)
	require.Equal(t, []string{"t08", "t13"}, targets(table.Due(4300, 2), Probe), "in place of the silent one")
	require.Len(t, targets(table.Due(5600, 2), Withhold), 19, "all but the one that answered")
	require.Equal(t, 9600.0, table.Until("t10"))
}

// drainRule is the rule on drains as the platform counts it: a change counts as told 6 s after discovery had it and could
// be reached, or at once where it was told.
const (
	countsAfter = 6000.0
	grace       = 250.0
)

// Nothing is sent against the rule on drains, whatever discovery does: outages of any length, calls that are refused,
// time out and succeed, watches that fall silent, restarts, lost probes, and targets that begin to drain at any moment.
// And a scheduler that can probe is never without a target for long while one serves.
func TestDrainRuleHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		broken, starved := playDrains(rng, rightProgram())
		require.Zero(t, broken)
		require.Less(t, starved, 3000.0, "ms without any target although one serves")
	})
}

// program is how a scheduler uses its table.
type program struct {
	cfg      Config
	maySend  func(table *Table, name string, now float64) bool
	lastSign func(now, sign float64) float64 // what it tells the table of the last sign of life
}

func rightProgram() program {
	return program{
		cfg:      config(),
		maySend:  func(table *Table, name string, now float64) bool { return now < table.Until(name) },
		lastSign: func(_, sign float64) float64 { return sign },
	}
}

// The checker finds programs that break the rule: one that goes on with its list while discovery is silent, one whose
// leases are longer than the time after which a change counts as told, and one that takes a failed call for news.
func TestCheckerFindsWrongVariants(t *testing.T) {
	goesOn, longLeases, failedCalls := rightProgram(), rightProgram(), rightProgram()
	goesOn.maySend = func(*Table, string, float64) bool { return true }
	longLeases.cfg.LeaseFor = countsAfter + 1500
	failedCalls.lastSign = func(now, _ float64) float64 { return now }
	for name, wrong := range map[string]program{"goes on": goesOn, "long leases": longLeases, "failed calls": failedCalls} {
		broken := 0
		for seed := range uint64(200) {
			n, _ := playDrains(rand.New(rand.NewPCG(seed, 1)), wrong)
			broken += n
		}
		require.Positive(t, broken, name)
	}
}

// world is discovery and its targets in virtual time, seen by one scheduler.
type world struct {
	rng      *rand.Rand
	names    []string
	drainAt  map[string]float64 // when each begins to drain
	told     map[string]bool    // that it drains, to this scheduler
	reached  bool               // discovery can be reached
	upSince  float64            // since when, for the last time
	watching bool
	sign     float64 // the last sign of life on the watch
}

// serving is what discovery's list names as serving, and notes what is told by it.
func (w *world) list(now float64) (serving []string) {
	for _, name := range w.names {
		if now < w.drainAt[name] {
			serving = append(serving, name)
		} else {
			w.told[name] = true
		}
	}
	return serving
}

// breaks says whether a send to a target at a time is against the rule. While discovery is down nothing counts anew.
func (w *world) breaks(now float64, name string, toldAt map[string]float64) bool {
	drained := w.drainAt[name]
	if now < drained {
		return false
	}
	counts := math.Inf(1)
	if w.reached {
		counts = max(drained, w.upSince) + countsAfter
	}
	if at, told := toldAt[name]; told {
		counts = min(counts, at)
	}
	return now > counts+grace
}

// playDrains plays a minute and returns how many sends broke the rule and the longest time without a target.
func playDrains(rng *rand.Rand, p program) (broken int, starved float64) {
	const step = 25.0
	w := &world{rng: rng, drainAt: map[string]float64{}, told: map[string]bool{}, reached: rng.IntN(2) == 0, upSince: -1e6}
	for i := range 12 {
		name := fmt.Sprintf("t%02d", i)
		w.names = append(w.names, name)
		w.drainAt[name] = math.Inf(1)
		if i > 3 { // some serve to the end
			w.drainAt[name] = 60_000 * rng.Float64()
		}
	}
	toldAt := map[string]float64{}
	table, err := New(p.cfg)
	if err != nil {
		panic(err)
	}
	table.Loaded(0, w.names)
	type answer struct {
		at, sentAt float64
		name       string
	}
	var answers []answer
	probe := func(now float64, actions []Action) {
		for _, name := range targets(actions, Probe) {
			answers = append(answers, answer{now + 2 + 400*rng.Float64()*rng.Float64(), now, name})
		}
	}
	callEnds, lastServed := 20+2000*rng.Float64(), 0.0
	for now := 0.0; now < 60_000; now += step {
		if rng.Float64() < step/9000 {
			if w.reached = !w.reached; w.reached {
				w.upSince = now
			}
		}
		switch {
		case w.watching && (!w.reached || rng.Float64() < step/20_000): // it breaks, or has fallen silent
			w.watching, callEnds = false, now+300+2500*rng.Float64()
			probe(now, table.Lost(now, p.lastSign(now, w.sign)))
		case w.watching:
			w.sign = now
			for _, name := range w.names {
				if _, told := toldAt[name]; !told && now >= w.drainAt[name] {
					toldAt[name] = now
					probe(now, table.Heard(now, w.list(now)))
				}
			}
		case now >= callEnds && w.reached && rng.IntN(3) > 0:
			w.watching, w.sign = true, now
			serving := w.list(now)
			for name := range w.told {
				if _, told := toldAt[name]; !told {
					toldAt[name] = now
				}
			}
			probe(now, table.Heard(now, serving))
		case now >= callEnds:
			callEnds = now + 2000 + 8000*rng.Float64()
			probe(now, table.Lost(now, p.lastSign(now, w.sign)))
		}
		rest := answers[:0]
		for _, a := range answers {
			if a.at > now {
				rest = append(rest, a)
				continue
			}
			what := Serving
			if a.sentAt >= w.drainAt[a.name] {
				what = NotReady
			}
			if rng.IntN(20) == 0 {
				what = Silent
			}
			probe(now, table.Probed(now, a.sentAt, a.name, what))
		}
		answers = rest
		if now >= table.Next(now)-ReviewEvery {
			probe(now, table.Due(now, 2))
		}
		for _, name := range w.names {
			if _, told := toldAt[name]; told && w.watching || !p.maySend(table, name, now) {
				continue
			}
			if now < w.drainAt[name] {
				lastServed = now
			}
			if w.breaks(now, name, toldAt) {
				broken++
			}
		}
		starved = max(starved, now-lastServed)
	}
	return broken, starved
}
