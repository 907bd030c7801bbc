package simulation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"cottonwell/internal/faults"
	"cottonwell/internal/fleet/lease"
	"cottonwell/internal/logcheck"
	"cottonwell/internal/units"
)

var (
	seeds       = flag.Int("simulation.seeds", 60, "number of seeds that TestSeeds runs")
	firstSeed   = flag.Uint64("simulation.first", 1, "first seed")
	largeFleets = flag.Bool("simulation.large", false, "also run TestMembership with 1,000 schedulers; takes minutes")
)

// randomOptions returns the options of a seed: 5 to 50 schedulers and every kind of fault.
func randomOptions(seed uint64) Options {
	n := []int{5, 5, 7, 9, 9, 15, 25, 50}[seed%8]
	o := Options{Seed: seed, Schedulers: n, Voters: 5, Lease: 1000, Duties: 3, Length: 24_000, BaseDelay: 2, Drift: 0.01, StallChance: 0.01}
	if n == 5 && seed%16 < 8 {
		o.Voters = 3
	}
	o.Script = faults.Draw(seed, n, 12, o.Length, 5000)
	return o
}

func runSimulation(t testing.TB, o Options) *Result {
	w, err := New(o)
	require.NoError(t, err)
	return w.Run()
}

func TestSeeds(t *testing.T) {
	if testing.Short() {
		*seeds = min(*seeds, 8)
	}
	t.Logf("seeds %d to %d", *firstSeed, *firstSeed+uint64(*seeds)-1)
	var next, gained, refused atomic.Int64
	var workers sync.WaitGroup
	for range runtime.NumCPU() {
		workers.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= int64(*seeds) {
					return
				}
				seed := *firstSeed + uint64(i)
				r := runSimulation(t, randomOptions(seed))
				gained.Add(int64(r.Gained))
				refused.Add(int64(r.ActsRefused))
				if r.DoubleHolders+r.DecreasingNumbers+r.OldActsAccepted+r.UnheldDuties > 0 {
					t.Errorf("seed %d: two holders %d times, decreasing numbers %d, old acts accepted %d, duties without a holder at the end %d", seed, r.DoubleHolders, r.DecreasingNumbers, r.OldActsAccepted, r.UnheldDuties)
				}
				if !linearizable(r) {
					t.Errorf("seed %d: holdings overlap", seed)
				}
			}
		})
	}
	workers.Wait()
	t.Logf("gained %d times, late acts refused %d", gained.Load(), refused.Load())
	require.Greater(t, gained.Load(), int64(4**seeds))
}

// linearizable reports whether the holdings can be ordered so that each begins only after the previous
// one has ended. This checks the history of a lock, without knowledge of leases.
func linearizable(r *Result) bool {
	model := porcupine.Model{
		Init: func() any { return false },
		Step: func(held, take, _ any) (bool, any) { return held != take, take },
	}
	byDuty := map[int][]porcupine.Operation{}
	for i, h := range r.Holdings {
		at := func(ms float64) int64 { return int64(ms * 1e6) }
		byDuty[h.Duty] = append(byDuty[h.Duty],
			porcupine.Operation{ClientId: i, Input: true, Call: at(h.From), Return: at(h.From)},
			porcupine.Operation{ClientId: i, Input: false, Call: at(h.To), Return: at(h.To)})
	}
	for _, ops := range byDuty {
		if porcupine.CheckOperationsTimeout(model, ops, 10*time.Second) != porcupine.Ok {
			return false
		}
	}
	return true
}

// Each checker finds violations in variants that are broken on purpose.
func TestCheckersFindViolations(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	found := func(change func(*Options), what func(*Result) int) (n int) {
		for seed := uint64(1); seed <= 24; seed++ {
			o := randomOptions(seed)
			change(&o)
			n += what(runSimulation(t, o))
		}
		return n
	}
	doubleHolders := func(r *Result) int { return r.DoubleHolders }
	require.Zero(t, found(func(*Options) {}, func(r *Result) int { return r.DoubleHolders + r.DecreasingNumbers + r.OldActsAccepted }))
	require.Positive(t, found(func(o *Options) { o.Unsafe = lease.Unsafe{NoExpiry: true} }, doubleHolders), "a paused holder ignores the expiry")
	// A partition, during which three of five voters are restarted on the side without the holder.
	restartedVoters := func(unsafe lease.Unsafe) func(*Options) {
		return func(o *Options) {
			o.Schedulers, o.Voters, o.Unsafe = 9, 5, unsafe
			o.Script = faults.Script{{Kind: faults.Split, At: 6000, Lasts: 3000, Parts: [][]int{{0, 1, 2, 5, 6}, {3, 4, 7, 8}}},
				{Kind: faults.Kill, At: 6010, Lasts: 20, From: []int{0, 1, 2}}}
		}
	}
	require.Positive(t, found(restartedVoters(lease.Unsafe{NoQuiet: true}), doubleHolders), "a restarted voter votes without a quiet period")
	require.Zero(t, found(restartedVoters(lease.Unsafe{}), doubleHolders))
	require.Positive(t, found(func(o *Options) { o.NoFence = true }, func(r *Result) int { return r.OldActsAccepted }), "late acts under old numbers are accepted")
	nonLinearizable := 0
	for seed := uint64(1); seed <= 24; seed++ {
		o := randomOptions(seed)
		o.Unsafe = lease.Unsafe{NoExpiry: true}
		if !linearizable(runSimulation(t, o)) {
			nonLinearizable++
		}
	}
	require.Positive(t, nonLinearizable, "the history is not linearizable")
}

func TestSameSeedSameTrace(t *testing.T) {
	for _, seed := range []uint64{3, 8, 13} {
		require.Equal(t, runSimulation(t, randomOptions(seed)).Trace, runSimulation(t, randomOptions(seed)).Trace)
		require.NotEqual(t, runSimulation(t, randomOptions(seed)).Trace, runSimulation(t, randomOptions(seed+1)).Trace)
	}
}

func firstN(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

// Each hard case runs by itself.
func TestHardCases(t *testing.T) {
	const s = units.Millis(1000)
	split := func(parts ...[]int) faults.Script {
		return faults.Script{{Kind: faults.Split, At: 5 * s, Lasts: 8 * s, Parts: parts}}
	}
	for name, c := range map[string]struct {
		n, voters, duties int
		script            faults.Script
		grown             int
		gained            int // at least
	}{
		"a fleet of one":                      {n: 1, voters: 1, gained: 1},
		"a fleet of two":                      {n: 2, voters: 2, gained: 1},
		"no faults":                           {n: 5, gained: 1},
		"all paused, one by one":              {n: 5, gained: 3, script: faults.Script{{Kind: faults.Stall, At: 4 * s, Lasts: 10 * s, From: []int{0}}, {Kind: faults.Stall, At: 6 * s, Lasts: 10 * s, From: []int{1}}, {Kind: faults.Stall, At: 18 * s, Lasts: 3 * s, From: []int{2, 3}}}},
		"all paused at once":                  {n: 5, gained: 2, script: faults.Script{{Kind: faults.Stall, At: 4 * s, Lasts: 10 * s, From: firstN(5)}}},
		"each unable to send, in turn":        {n: 5, gained: 2, script: faults.Script{{Kind: faults.Cut, At: 4 * s, Lasts: 4 * s, From: []int{0, 1}}, {Kind: faults.Cut, At: 9 * s, Lasts: 4 * s, From: []int{2, 3}}, {Kind: faults.Cut, At: 14 * s, Lasts: 4 * s, From: []int{4}}}},
		"each unable to receive, in turn":     {n: 5, gained: 2, script: faults.Script{{Kind: faults.Cut, At: 4 * s, Lasts: 4 * s, To: []int{0, 1}}, {Kind: faults.Cut, At: 9 * s, Lasts: 4 * s, To: []int{2, 3}}, {Kind: faults.Cut, At: 14 * s, Lasts: 4 * s, To: []int{4}}}},
		"two partitions":                      {n: 9, gained: 1, script: split(firstN(5), []int{5, 6, 7, 8})},
		"two equal partitions of four voters": {n: 4, voters: 4, gained: 1, script: split([]int{0, 1}, []int{2, 3})},
		"three partitions":                    {n: 9, gained: 1, script: split([]int{0, 5, 6}, []int{1, 2, 7}, []int{3, 4, 8})},
		"all restarted within a second":       {n: 5, gained: 2, script: faults.Script{{Kind: faults.Kill, At: 6 * s, Lasts: 200, From: []int{0, 1}}, {Kind: faults.Kill, At: 6*s + 300, Lasts: 200, From: []int{2, 3}}, {Kind: faults.Kill, At: 6*s + 700, Lasts: 200, From: []int{4}}}},
		"seven in ten killed":                 {n: 30, gained: 1, script: faults.Script{{Kind: faults.Kill, At: 6 * s, Lasts: 2 * s, From: firstN(21)}}},
		"voters restarted in turn":            {n: 5, gained: 1, script: faults.Script{{Kind: faults.Kill, At: 5 * s, Lasts: 50, From: []int{0}}, {Kind: faults.Kill, At: 5*s + 400, Lasts: 50, From: []int{1}}, {Kind: faults.Kill, At: 5*s + 800, Lasts: 50, From: []int{2}}, {Kind: faults.Kill, At: 6*s + 200, Lasts: 50, From: []int{3}}}},
		"wall clocks jump by 2 s":             {n: 5, gained: 2, script: faults.Script{{Kind: faults.Step, At: 4 * s, From: firstN(5), Size: 2 * s}, {Kind: faults.Kill, At: 5 * s, Lasts: s, From: []int{0, 1, 2}}, {Kind: faults.Step, At: 8 * s, From: []int{0, 1, 2}, Size: 2 * s, Backward: true}, {Kind: faults.Kill, At: 12 * s, Lasts: s, From: []int{2, 3, 4}}}},
		"datagrams 5 s late and duplicated":   {n: 5, gained: 1, script: faults.Script{{Kind: faults.Delay, At: 5 * s, Lasts: 2 * s, Size: 5 * s}, {Kind: faults.Duplicate, At: 0, Lasts: 20 * s, Share: 1, Size: 4 * s}}},
		"datagrams out of order":              {n: 5, gained: 1, script: faults.Script{{Kind: faults.Jitter, At: 0, Lasts: 20 * s, Size: 300}}},
		"half of the datagrams corrupted":     {n: 5, gained: 1, script: faults.Script{{Kind: faults.Corrupt, At: 2 * s, Lasts: 16 * s, Share: 0.5}}},
		"grown from 5 to 9 by a rolling restart": {n: 9, gained: 2, grown: 5, script: faults.Script{
			{Kind: faults.Term, At: 5 * s, Lasts: 100, From: []int{0}}, {Kind: faults.Term, At: 6 * s, Lasts: 100, From: []int{1}}, {Kind: faults.Kill, At: 7 * s, Lasts: 100, From: []int{2}},
			{Kind: faults.Kill, At: 8 * s, Lasts: 100, From: []int{3}}, {Kind: faults.Term, At: 9 * s, Lasts: 100, From: []int{4}}}},
		"a thousand duties": {n: 9, duties: 1000, gained: 1000, script: faults.Script{{Kind: faults.Kill, At: 6 * s, Lasts: 4 * s, From: []int{0}}, {Kind: faults.Term, At: 8 * s, Lasts: s, From: []int{7}}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() && c.duties > 100 {
				t.Skip("takes some seconds")
			}
			o := Options{Seed: 5, Schedulers: c.n, Voters: max(c.voters, min(5, c.n)), Lease: 1000, Duties: max(c.duties, 4), Length: 28_000, BaseDelay: 2, Drift: 0.01, StallChance: 0.002, Script: c.script, GrownFrom: c.grown}
			if c.voters > 0 {
				o.Voters = c.voters
			}
			r := runSimulation(t, o)
			require.Zero(t, r.DoubleHolders, "two holders")
			require.Zero(t, r.DecreasingNumbers, "decreasing numbers")
			require.Zero(t, r.OldActsAccepted, "old acts accepted")
			require.Zero(t, r.UnheldDuties, "duties without a holder at the end")
			require.GreaterOrEqual(t, r.Gained, c.gained)
			require.True(t, linearizable(r))
		})
	}
}

// The time without a holder is at most the lease plus a second after a kill, a pause or a partition,
// and at most a tenth of a second after a graceful shutdown.
func TestTimeWithoutAHolder(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	var gaps, handoverGaps []float64
	for seed := range uint64(20) {
		o := Options{Seed: seed, Schedulers: 9, Voters: 5, Lease: 2000, Duties: 6, Length: 40_000, BaseDelay: 2, Drift: 0.005}
		for i := range 9 {
			f := faults.Fault{At: units.Millis(6000 + 3500*i), Lasts: 2500, From: []int{int(seed+uint64(i)) % 9}}
			switch f.Kind = []faults.Kind{faults.Kill, faults.Stall, faults.Term}[i%3]; f.Kind {
			case faults.Kill:
				f.Lasts = 1500
			}
			o.Script = append(o.Script, f)
		}
		r := runSimulation(t, o)
		require.Zero(t, r.DoubleHolders+r.DecreasingNumbers+r.OldActsAccepted)
		gaps, handoverGaps = append(gaps, r.Gaps...), append(handoverGaps, r.HandoverGaps...)
	}
	t.Logf("%d gaps: p50 %.0f p99 %.0f ms; %d handovers: p50 %.0f p99 %.0f ms", len(gaps), logcheck.Quantile(gaps, 0.5), logcheck.Quantile(gaps, 0.99), len(handoverGaps), logcheck.Quantile(handoverGaps, 0.5), logcheck.Quantile(handoverGaps, 0.99))
	require.Greater(t, len(gaps), 60)
	require.Greater(t, len(handoverGaps), 40)
	require.Less(t, logcheck.Quantile(gaps, 0.99), 3000.0)
	require.Less(t, logcheck.Quantile(handoverGaps, 0.99), 100.0)
}

// A holder is shut down while a fifth of the datagrams is lost and three other schedulers are paused,
// perhaps including the first successor, before this is detected. The next successors take over the
// duty a few steps later.
func TestHandingOnWhenTheHeirIsGone(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	var handoverGaps []float64
	for seed := range uint64(80) {
		rng := rand.New(rand.NewPCG(seed, 7))
		paused, terminated := rng.Perm(4), rng.Perm(5)
		for i := range paused {
			paused[i] += 5 // not a voter: otherwise no scheduler could hold a duty
		}
		r := runSimulation(t, Options{Seed: seed, Schedulers: 9, Voters: 5, Lease: 2000, Duties: 8, Length: 24_000, BaseDelay: 2, Drift: 0.005, Script: faults.Script{
			{Kind: faults.Loss, Lasts: 24_000, Share: 0.2}, {Kind: faults.Stall, At: 8000, Lasts: 2500, From: paused[:3]}, {Kind: faults.Term, At: 8100, Lasts: 3000, From: terminated[:1]}}})
		require.Zero(t, r.DoubleHolders+r.DecreasingNumbers+r.OldActsAccepted, "seed %d", seed)
		handoverGaps = append(handoverGaps, r.HandoverGaps...)
	}
	t.Logf("%d handovers: p50 %.0f p90 %.0f p99 %.0f ms", len(handoverGaps), logcheck.Quantile(handoverGaps, 0.5), logcheck.Quantile(handoverGaps, 0.9), logcheck.Quantile(handoverGaps, 0.99))
	require.Greater(t, len(handoverGaps), 40)
	require.Less(t, logcheck.Quantile(handoverGaps, 0.9), 1600.0)
}

// Over fleet sizes and loss rates, deaths are detected, live schedulers are not declared dead, and the
// cost per scheduler does not grow with the fleet.
func TestMembership(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	type row struct {
		n     int
		loss  units.Share
		rate  float64
		bytes float64
	}
	var rows []row
	sizes := []int{5, 50, 300}
	if *largeFleets {
		sizes = append(sizes, 1000)
	}
	for _, n := range sizes {
		for _, loss := range []units.Share{0, 0.1, 0.3} {
			length := 30_000.0
			o := Options{Seed: 9, Schedulers: n, Voters: 3, Length: length, BaseDelay: 2, Drift: 0.01,
				Script: faults.Script{{Kind: faults.Loss, At: 0, Lasts: units.Millis(length), Share: loss}}}
			for i := range max(1, n/20) {
				o.Script = append(o.Script, faults.Fault{Kind: faults.Kill, At: units.Millis(5000 + 100*i), Lasts: units.Millis(length), From: []int{3 + i}})
			}
			r := runSimulation(t, o)
			killed := max(1, n/20)
			schedulerSeconds := float64(n) * length / 1000
			rows = append(rows, row{n, loss, float64(r.Datagrams) / schedulerSeconds, float64(r.Bytes) / schedulerSeconds})
			t.Logf("%4d schedulers, %2.0f%% lost: %d killed, detected %d times, p50 %.0f p99 %.0f ms; falsely declared dead %d; %.1f datagrams and %.0f bytes per second and scheduler",
				n, 100*float64(loss), killed, len(r.DetectionTimes), logcheck.Quantile(r.DetectionTimes, 0.5), logcheck.Quantile(r.DetectionTimes, 0.99), r.FalseDeaths, float64(r.Datagrams)/schedulerSeconds, float64(r.Bytes)/schedulerSeconds)
			require.GreaterOrEqual(t, len(r.DetectionTimes), killed*(n-killed), "each live scheduler detects each death")
			if loss <= 0.1 {
				require.Zero(t, r.FalseDeaths)
			}
		}
	}
	for i, x := range rows[6:] {
		require.Less(t, x.rate, 1.3*rows[3+i%3].rate, fmt.Sprint("datagrams per second grow with the fleet: ", x))
	}
}

// A scheduler that was paused declares no other dead when it resumes.
func TestPausedSchedulerDeclaresNoMemberDead(t *testing.T) {
	o := Options{Seed: 4, Schedulers: 20, Voters: 5, Length: 30_000, BaseDelay: 2,
		Script: faults.Script{{Kind: faults.Stall, At: 6000, Lasts: 12_000, From: []int{7}}}}
	require.Zero(t, runSimulation(t, o).FalseDeaths)
}
