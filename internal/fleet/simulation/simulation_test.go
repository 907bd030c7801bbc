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
	"cottonwell/internal/rig"
	"cottonwell/internal/units"
)

var (
	seeds = flag.Int("simulation.seeds", 60, "how many seeds TestSeeds plays")
	first = flag.Uint64("simulation.first", 1, "the first of them")
	large = flag.Bool("simulation.large", false, "have TestMembership play 1,000 schedulers, too, which takes minutes")
)

// drawn are the options of a seed: 5 to 50 schedulers, every kind of fault.
func drawn(seed uint64) Options {
	n := []int{5, 5, 7, 9, 9, 15, 25, 50}[seed%8]
	o := Options{Seed: seed, Schedulers: n, Voters: 5, Lease: 1000, Duties: 3, Length: 24_000, Base: 2, Drift: 0.01, Stalls: 0.01}
	if n == 5 && seed%16 < 8 {
		o.Voters = 3
	}
	o.Script = faults.Draw(seed, n, 12, o.Length, 5000)
	return o
}

func play(t testing.TB, o Options) *Result {
	w, err := New(o)
	require.NoError(t, err)
	return w.Run()
}

func TestSeeds(t *testing.T) {
	if testing.Short() {
		*seeds = min(*seeds, 8)
	}
	t.Logf("seeds %d to %d", *first, *first+uint64(*seeds)-1)
	var next, gained, late atomic.Int64
	var all sync.WaitGroup
	for range runtime.NumCPU() {
		all.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= int64(*seeds) {
					return
				}
				seed := *first + uint64(i)
				r := play(t, drawn(seed))
				gained.Add(int64(r.Gained))
				late.Add(int64(r.Late))
				if r.Double+r.Falling+r.Old+r.Unheld > 0 {
					t.Errorf("seed %d: two holders %d times, falling numbers %d, old acts taken %d, unheld at the end %d", seed, r.Double, r.Falling, r.Old, r.Unheld)
				}
				if !ordered(r) {
					t.Errorf("seed %d: holdings that overlap", seed)
				}
			}
		})
	}
	all.Wait()
	t.Logf("gained %d times, late acts refused %d", gained.Load(), late.Load())
	require.Greater(t, gained.Load(), int64(4**seeds))
}

// ordered says whether the holdings can be put in an order in which one begins only after the one
// before has ended: a lock's history, as a checker that knows nothing of leases sees it.
func ordered(r *Result) bool {
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

// The checkers find what they are to find: in variants made wrong on purpose.
func TestCheckersFindBreaks(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	found := func(change func(*Options), what func(*Result) int) (n int) {
		for seed := uint64(1); seed <= 24; seed++ {
			o := drawn(seed)
			change(&o)
			n += what(play(t, o))
		}
		return n
	}
	double := func(r *Result) int { return r.Double }
	require.Zero(t, found(func(*Options) {}, func(r *Result) int { return r.Double + r.Falling + r.Old }))
	require.Positive(t, found(func(o *Options) { o.Unsafe = lease.Unsafe{NoExpiry: true} }, double), "one that stood still believes on")
	// A cut, and three of five voters restarted on the side where the holder is not.
	forgetful := func(unsafe lease.Unsafe) func(*Options) {
		return func(o *Options) {
			o.Schedulers, o.Voters, o.Unsafe = 9, 5, unsafe
			o.Script = faults.Script{{Kind: faults.Split, At: 6000, Lasts: 3000, Parts: [][]int{{0, 1, 2, 5, 6}, {3, 4, 7, 8}}},
				{Kind: faults.Kill, At: 6010, Lasts: 20, From: []int{0, 1, 2}}}
		}
	}
	require.Positive(t, found(forgetful(lease.Unsafe{NoQuiet: true}), double), "a voter that forgot votes again")
	require.Zero(t, found(forgetful(lease.Unsafe{}), double))
	require.Positive(t, found(func(o *Options) { o.NoFence = true }, func(r *Result) int { return r.Old }), "late acts under old numbers")
	bad := 0
	for seed := uint64(1); seed <= 24; seed++ {
		o := drawn(seed)
		o.Unsafe = lease.Unsafe{NoExpiry: true}
		if !ordered(play(t, o)) {
			bad++
		}
	}
	require.Positive(t, bad, "and the history shows it")
}

func TestSameSeedSameTrace(t *testing.T) {
	for _, seed := range []uint64{3, 8, 13} {
		require.Equal(t, play(t, drawn(seed)).Trace, play(t, drawn(seed)).Trace)
		require.NotEqual(t, play(t, drawn(seed)).Trace, play(t, drawn(seed+1)).Trace)
	}
}

func all(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

// The hard cases, each by itself.
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
		"a fleet of one":                 {n: 1, voters: 1, gained: 1},
		"a fleet of two":                 {n: 2, voters: 2, gained: 1},
		"nothing goes wrong":             {n: 5, gained: 1},
		"all stand still, one by one":    {n: 5, gained: 3, script: faults.Script{{Kind: faults.Stall, At: 4 * s, Lasts: 10 * s, From: []int{0}}, {Kind: faults.Stall, At: 6 * s, Lasts: 10 * s, From: []int{1}}, {Kind: faults.Stall, At: 18 * s, Lasts: 3 * s, From: []int{2, 3}}}},
		"all stand still at once":        {n: 5, gained: 2, script: faults.Script{{Kind: faults.Stall, At: 4 * s, Lasts: 10 * s, From: all(5)}}},
		"each heard by nobody, in turn":  {n: 5, gained: 2, script: faults.Script{{Kind: faults.Cut, At: 4 * s, Lasts: 4 * s, From: []int{0, 1}}, {Kind: faults.Cut, At: 9 * s, Lasts: 4 * s, From: []int{2, 3}}, {Kind: faults.Cut, At: 14 * s, Lasts: 4 * s, From: []int{4}}}},
		"each hears nobody, in turn":     {n: 5, gained: 2, script: faults.Script{{Kind: faults.Cut, At: 4 * s, Lasts: 4 * s, To: []int{0, 1}}, {Kind: faults.Cut, At: 9 * s, Lasts: 4 * s, To: []int{2, 3}}, {Kind: faults.Cut, At: 14 * s, Lasts: 4 * s, To: []int{4}}}},
		"two parts":                      {n: 9, gained: 1, script: split(all(5), []int{5, 6, 7, 8})},
		"two equal parts of four voters": {n: 4, voters: 4, gained: 1, script: split([]int{0, 1}, []int{2, 3})},
		"three parts":                    {n: 9, gained: 1, script: split([]int{0, 5, 6}, []int{1, 2, 7}, []int{3, 4, 8})},
		"all restarted within a second":  {n: 5, gained: 2, script: faults.Script{{Kind: faults.Kill, At: 6 * s, Lasts: 200, From: []int{0, 1}}, {Kind: faults.Kill, At: 6*s + 300, Lasts: 200, From: []int{2, 3}}, {Kind: faults.Kill, At: 6*s + 700, Lasts: 200, From: []int{4}}}},
		"seven in ten killed":            {n: 30, gained: 1, script: faults.Script{{Kind: faults.Kill, At: 6 * s, Lasts: 2 * s, From: all(21)}}},
		"voters restarted in turn":       {n: 5, gained: 1, script: faults.Script{{Kind: faults.Kill, At: 5 * s, Lasts: 50, From: []int{0}}, {Kind: faults.Kill, At: 5*s + 400, Lasts: 50, From: []int{1}}, {Kind: faults.Kill, At: 5*s + 800, Lasts: 50, From: []int{2}}, {Kind: faults.Kill, At: 6*s + 200, Lasts: 50, From: []int{3}}}},
		"wall clocks jump by 2 s":        {n: 5, gained: 2, script: faults.Script{{Kind: faults.Step, At: 4 * s, From: all(5), Size: 2 * s}, {Kind: faults.Kill, At: 5 * s, Lasts: s, From: []int{0, 1, 2}}, {Kind: faults.Step, At: 8 * s, From: []int{0, 1, 2}, Size: 2 * s, Back: true}, {Kind: faults.Kill, At: 12 * s, Lasts: s, From: []int{2, 3, 4}}}},
		"datagrams come 5 s late, twice": {n: 5, gained: 1, script: faults.Script{{Kind: faults.Delay, At: 5 * s, Lasts: 2 * s, Size: 5 * s}, {Kind: faults.Duplicate, At: 0, Lasts: 20 * s, Share: 1, Size: 4 * s}}},
		"they overtake one another":      {n: 5, gained: 1, script: faults.Script{{Kind: faults.Jitter, At: 0, Lasts: 20 * s, Size: 300}}},
		"half are changed on their way":  {n: 5, gained: 1, script: faults.Script{{Kind: faults.Corrupt, At: 2 * s, Lasts: 16 * s, Share: 0.5}}},
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
			o := Options{Seed: 5, Schedulers: c.n, Voters: max(c.voters, min(5, c.n)), Lease: 1000, Duties: max(c.duties, 4), Length: 28_000, Base: 2, Drift: 0.01, Stalls: 0.002, Script: c.script, Grown: c.grown}
			if c.voters > 0 {
				o.Voters = c.voters
			}
			r := play(t, o)
			require.Zero(t, r.Double, "two holders")
			require.Zero(t, r.Falling, "falling numbers")
			require.Zero(t, r.Old, "old acts taken")
			require.Zero(t, r.Unheld, "held by nobody at the end")
			require.GreaterOrEqual(t, r.Gained, c.gained)
			require.True(t, ordered(r))
		})
	}
}

// How long nobody holds a duty: after a kill, a stall or a cut at most the lease and a second; after a
// planned end a tenth of a second.
func TestTimeWithoutAHolder(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	var gaps, handed []float64
	for seed := range uint64(20) {
		o := Options{Seed: seed, Schedulers: 9, Voters: 5, Lease: 2000, Duties: 6, Length: 40_000, Base: 2, Drift: 0.005}
		for i := range 9 {
			f := faults.Fault{At: units.Millis(6000 + 3500*i), Lasts: 2500, From: []int{int(seed+uint64(i)) % 9}}
			switch f.Kind = []faults.Kind{faults.Kill, faults.Stall, faults.Term}[i%3]; f.Kind {
			case faults.Kill:
				f.Lasts = 1500
			}
			o.Script = append(o.Script, f)
		}
		r := play(t, o)
		require.Zero(t, r.Double+r.Falling+r.Old)
		gaps, handed = append(gaps, r.Gaps...), append(handed, r.Handed...)
	}
	t.Logf("%d without: p50 %.0f p99 %.0f ms; %d handed on: p50 %.0f p99 %.0f ms", len(gaps), rig.Quantile(gaps, 0.5), rig.Quantile(gaps, 0.99), len(handed), rig.Quantile(handed, 0.5), rig.Quantile(handed, 0.99))
	require.Greater(t, len(gaps), 60)
	require.Greater(t, len(handed), 40)
	require.Less(t, rig.Quantile(gaps, 0.99), 3000.0)
	require.Less(t, rig.Quantile(handed, 0.99), 100.0)
}

// A holder is asked to end while a fifth of the datagrams is lost and three of the others stand still, the
// heir perhaps among them, and nobody has noticed yet: those who stand next have the duty some steps later.
func TestHandingOnWhenTheHeirIsGone(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	var handed []float64
	for seed := range uint64(80) {
		rng := rand.New(rand.NewPCG(seed, 7))
		still, ends := rng.Perm(4), rng.Perm(5)
		for i := range still {
			still[i] += 5 // none of the voters, or nobody could hold anything
		}
		r := play(t, Options{Seed: seed, Schedulers: 9, Voters: 5, Lease: 2000, Duties: 8, Length: 24_000, Base: 2, Drift: 0.005, Script: faults.Script{
			{Kind: faults.Loss, Lasts: 24_000, Share: 0.2}, {Kind: faults.Stall, At: 8000, Lasts: 2500, From: still[:3]}, {Kind: faults.Term, At: 8100, Lasts: 3000, From: ends[:1]}}})
		require.Zero(t, r.Double+r.Falling+r.Old, "seed %d", seed)
		handed = append(handed, r.Handed...)
	}
	t.Logf("%d handed on: p50 %.0f p90 %.0f p99 %.0f ms", len(handed), rig.Quantile(handed, 0.5), rig.Quantile(handed, 0.9), rig.Quantile(handed, 0.99))
	require.Greater(t, len(handed), 40)
	require.Less(t, rig.Quantile(handed, 0.9), 1600.0)
}

// Membership by the size of the fleet and by what is lost: deaths are noticed, the living are not
// taken for dead, and what it costs a scheduler does not grow with the fleet.
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
	if *large {
		sizes = append(sizes, 1000)
	}
	for _, n := range sizes {
		for _, loss := range []units.Share{0, 0.1, 0.3} {
			length := 30_000.0
			o := Options{Seed: 9, Schedulers: n, Voters: 3, Length: length, Base: 2, Drift: 0.01,
				Script: faults.Script{{Kind: faults.Loss, At: 0, Lasts: units.Millis(length), Share: loss}}}
			for i := range max(1, n/20) {
				o.Script = append(o.Script, faults.Fault{Kind: faults.Kill, At: units.Millis(5000 + 100*i), Lasts: units.Millis(length), From: []int{3 + i}})
			}
			r := play(t, o)
			killed := max(1, n/20)
			per := float64(n) * length / 1000
			rows = append(rows, row{n, loss, float64(r.Tells) / per, float64(r.Bytes) / per})
			t.Logf("%4d schedulers, %2.0f%% lost: %d killed, noticed %d times, p50 %.0f p99 %.0f ms; taken for dead though living %d; %.1f datagrams and %.0f bytes a second each",
				n, 100*float64(loss), killed, len(r.Noticed), rig.Quantile(r.Noticed, 0.5), rig.Quantile(r.Noticed, 0.99), r.False, float64(r.Tells)/per, float64(r.Bytes)/per)
			require.GreaterOrEqual(t, len(r.Noticed), killed*(n-killed), "each death is noticed by each of the living")
			if loss <= 0.1 {
				require.Zero(t, r.False)
			}
		}
	}
	for i, x := range rows[6:] {
		require.Less(t, x.rate, 1.3*rows[3+i%3].rate, fmt.Sprint("datagrams a second grow with the fleet: ", x))
	}
}

// One that stood still takes nobody for dead when it wakes.
func TestOneThatStoodStillBlamesNobody(t *testing.T) {
	o := Options{Seed: 4, Schedulers: 20, Voters: 5, Length: 30_000, Base: 2,
		Script: faults.Script{{Kind: faults.Stall, At: 6000, Lasts: 12_000, From: []int{7}}}}
	require.Zero(t, play(t, o).False)
}
