package simulation

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/internal/faults"
	"cottonwell/internal/fleet/rules"
	"cottonwell/internal/logcheck"
	"cottonwell/internal/units"
)

// randomRulesOptions returns the options of a seed with agreed settings: every kind of fault, and six
// documents.
func randomRulesOptions(seed uint64) Options {
	o := randomOptions(seed)
	o.Duties, o.Length = 1, 28_000
	o.Script = faults.Draw(seed, o.Schedulers, 12, 24_000, 5000)
	o.Rules = &Rules{PermissionTime: 1000, Documents: 6, From: 5000, To: 20_000}
	return o
}

func TestRulesSeeds(t *testing.T) {
	n := *seeds
	if testing.Short() {
		n = min(n, 8)
	}
	t.Logf("seeds %d to %d", *firstSeed, *firstSeed+uint64(n)-1)
	var next, offered, adopted atomic.Int64
	var workers sync.WaitGroup
	for range runtime.NumCPU() {
		workers.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= int64(n) {
					return
				}
				seed := *firstSeed + uint64(i)
				r := runSimulation(t, randomRulesOptions(seed)).Rules
				offered.Add(int64(r.Offered))
				adopted.Add(int64(r.Adopted))
				if r.Contradictions+r.DecreasingNumbers+r.DuplicateNumbers+r.Alarms+r.Disagreeing > 0 {
					t.Errorf("seed %d: contradictions %d of up to %.0f ms, decreasing numbers %d, duplicate numbers %d, alarms %d, disagreeing at the end %d",
						seed, r.Contradictions, r.LongestContradiction, r.DecreasingNumbers, r.DuplicateNumbers, r.Alarms, r.Disagreeing)
				}
			}
		})
	}
	workers.Wait()
	t.Logf("offered %d, reported as adopted by all %d", offered.Load(), adopted.Load())
	require.Greater(t, adopted.Load(), int64(n))
}

// The checker finds violations in variants that are broken on purpose.
func TestRulesCheckerFindsViolations(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	found := func(unsafe rules.Unsafe) (n int) {
		for seed := uint64(1); seed <= 16; seed++ {
			o := randomRulesOptions(seed)
			o.Rules.Unsafe = unsafe
			n += runSimulation(t, o).Rules.Contradictions
		}
		return n
	}
	require.Positive(t, found(rules.Unsafe{NoExpiry: true}), "an isolated scheduler keeps its version")
	require.Positive(t, found(rules.Unsafe{NoWait: true}), "the next version is granted while others act on the last one")
	require.Positive(t, found(rules.Unsafe{NoIntermediate: true}), "there is no intermediate version")
}

func TestRulesSameSeedSameTrace(t *testing.T) {
	for _, seed := range []uint64{3, 8} {
		require.Equal(t, runSimulation(t, randomRulesOptions(seed)).Trace, runSimulation(t, randomRulesOptions(seed)).Trace)
	}
}

// Each hard case runs by itself.
func TestRulesHardCases(t *testing.T) {
	const s = units.Millis(1000)
	for name, c := range map[string]struct {
		n, publish int
		script     faults.Script
		adopted    int // at least
	}{
		"a fleet of one":                       {n: 1, publish: 3, adopted: 3},
		"a fleet of two":                       {n: 2, publish: 3, adopted: 2},
		"no faults":                            {n: 9, publish: 6, adopted: 3},
		"a document each tenth of a second":    {n: 5, publish: 150, adopted: 4},
		"two partitions":                       {n: 9, publish: 8, adopted: 2, script: faults.Script{{Kind: faults.Split, At: 7 * s, Lasts: 6 * s, Parts: [][]int{{0, 1, 2, 3, 4}, {5, 6, 7, 8}}}}},
		"one isolated":                         {n: 5, publish: 8, adopted: 2, script: faults.Script{{Kind: faults.Split, At: 7 * s, Lasts: 6 * s, Parts: [][]int{{0}, {1, 2, 3, 4}}}}},
		"one unable to send":                   {n: 5, publish: 8, adopted: 2, script: faults.Script{{Kind: faults.Cut, At: 7 * s, Lasts: 6 * s, From: []int{2}}}},
		"all paused, in turn, for ten seconds": {n: 5, publish: 8, adopted: 1, script: faults.Script{{Kind: faults.Stall, At: 7 * s, Lasts: 10 * s, From: []int{0}}, {Kind: faults.Stall, At: 9 * s, Lasts: 10 * s, From: []int{1}}}},
		"all killed":                           {n: 5, publish: 8, adopted: 1, script: faults.Script{{Kind: faults.Kill, At: 9 * s, Lasts: 500, From: firstN(5)}}},
		"a rolling restart":                    {n: 5, publish: 8, adopted: 1, script: faults.Script{{Kind: faults.Term, At: 7 * s, Lasts: 100, From: []int{0}}, {Kind: faults.Term, At: 9 * s, Lasts: 100, From: []int{1}}, {Kind: faults.Term, At: 11 * s, Lasts: 100, From: []int{2}}, {Kind: faults.Term, At: 13 * s, Lasts: 100, From: []int{3}}, {Kind: faults.Term, At: 15 * s, Lasts: 100, From: []int{4}}}},
		"datagrams late, duplicated, corrupted, out of order": {n: 9, publish: 6, adopted: 2, script: faults.Script{{Kind: faults.Jitter, Lasts: 20 * s, Size: 250}, {Kind: faults.Duplicate, Lasts: 20 * s, Share: 1, Size: 5 * s}, {Kind: faults.Corrupt, Lasts: 20 * s, Share: 0.2}}},
		"wall clocks jump by 2 s":                             {n: 5, publish: 6, adopted: 2, script: faults.Script{{Kind: faults.Step, At: 8 * s, From: []int{0, 1}, Size: 2 * s}, {Kind: faults.Step, At: 12 * s, From: []int{2}, Size: 2 * s, Backward: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := Options{Seed: 5, Schedulers: c.n, Voters: min(5, c.n), Lease: 1000, Duties: 1, Length: 28_000, BaseDelay: 2, Drift: 0.01, Script: c.script,
				Rules: &Rules{PermissionTime: 1000, Documents: c.publish, From: 5000, To: 20_000}}
			r := runSimulation(t, o).Rules
			require.Zero(t, r.Contradictions, "contradictions, of up to %.0f ms", r.LongestContradiction)
			require.Zero(t, r.DecreasingNumbers, "decreasing numbers")
			require.Zero(t, r.DuplicateNumbers, "duplicate numbers")
			require.Zero(t, r.Alarms)
			require.Zero(t, r.Disagreeing, "disagreeing at the end")
			require.GreaterOrEqual(t, r.Adopted, c.adopted)
		})
	}
}

// Measures the time from the offer of a document until all live members act on it, by fleet size and
// loss.
func TestTimeToAgree(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	sizes := []int{5, 50}
	if *largeFleets {
		sizes = append(sizes, 300)
	}
	for _, n := range sizes {
		for _, loss := range []units.Share{0, 0.1, 0.3} {
			var adoptionTimes []float64
			datagrams, bytes := 0, 0
			runs := map[int]int{5: 8, 50: 3, 300: 1}[n]
			for seed := range uint64(runs) {
				o := Options{Seed: seed, Schedulers: n, Voters: 5, Lease: 2000, Duties: 1, Length: 30_000, BaseDelay: 2, Drift: 0.01,
					Script: faults.Script{{Kind: faults.Loss, Lasts: 30_000, Share: loss}}, Rules: &Rules{PermissionTime: 3000, Documents: 3, From: 9000, To: 20_000}}
				r := runSimulation(t, o)
				require.Zero(t, r.Rules.Contradictions+r.Rules.DecreasingNumbers+r.Rules.DuplicateNumbers)
				adoptionTimes, datagrams, bytes = append(adoptionTimes, r.Rules.AdoptionTimes...), datagrams+r.Datagrams, bytes+r.Bytes
			}
			schedulerSeconds := 30 * float64(n*runs)
			t.Logf("%3d schedulers, %2.0f%% lost: %d adopted, p50 %.0f p99 %.0f ms; %.1f datagrams and %.0f bytes per second and scheduler, including members and leases",
				n, 100*float64(loss), len(adoptionTimes), logcheck.Quantile(adoptionTimes, 0.5), logcheck.Quantile(adoptionTimes, 0.99), float64(datagrams)/schedulerSeconds, float64(bytes)/schedulerSeconds)
			if loss < 0.2 {
				require.NotEmpty(t, adoptionTimes)
			}
		}
	}
}
