package freshness

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const lasts = 5700.0

func newLease(t require.TestingT) *Lease {
	l, err := NewLease(lasts, lasts)
	require.NoError(t, err)
	l.Load(0, serving("a", "b"))
	return l
}

func serving(names ...string) (targets []Target) {
	for _, name := range names {
		targets = append(targets, Target{Name: name})
	}
	return targets
}

func TestImpossibleLeases(t *testing.T) {
	for _, lasts := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		_, err := NewLease(lasts, lasts)
		require.Error(t, err)
	}
	_, err := NewLease(1, 2)
	require.Error(t, err, "longer without a watch than with one")
}

// A process that has just started has no word of discovery, whatever list it was given.
func TestBeginsAsRunOut(t *testing.T) {
	l := newLease(t)
	require.False(t, l.Review(0))
	require.True(t, l.Withheld("a"))
	require.Less(t, l.MaySendUntil("a"), 0.0)
	l.Listed(10, 5, serving("a", "b"))
	require.False(t, l.Withheld("a"))
	require.Equal(t, 5+lasts, l.MaySendUntil("a"))
}

// A lease runs from when discovery's word was read, not from when it was told, and words out of turn shorten nothing. An
// open watch that is silent renews nothing.
func TestLeaseRunsFromWhenTheWordWasRead(t *testing.T) {
	l := newLease(t)
	l.Listed(1000, 10, serving("a", "b"))
	require.False(t, l.SignOfLife(2100, 2000))
	require.Equal(t, 2000+lasts, l.Until())
	require.False(t, l.SignOfLife(2200, 1500))
	require.Equal(t, 2000+lasts, l.Until())
	require.False(t, l.Review(1999+lasts))
	require.True(t, l.Review(2000+lasts))
	require.True(t, l.Withheld("a"))
	require.False(t, l.SignOfLife(9000, 2100), "it was read too long ago")
	require.True(t, l.SignOfLife(9000, 8990))
	require.False(t, l.Withheld("a"))
	// A call that fails changes nothing.
	require.False(t, l.WatchLost(9000))
	require.Equal(t, 8990+lasts, l.MaySendUntil("a"))
}

// Where discovery has moved, what the old one said holds for a shorter time; what the new one says holds as usual.
func TestLeaseEndsSooner(t *testing.T) {
	l := newLease(t)
	l.Listed(1000, 1000, serving("a"))
	require.False(t, l.EndBy(1500, 5200))
	require.Equal(t, 5200.0, l.MaySendUntil("a"))
	require.False(t, l.EndBy(1600, 9000), "never later")
	require.Equal(t, 5200.0, l.Until())
	require.False(t, l.SignOfLife(2000, 1990))
	require.Equal(t, 1990+lasts, l.Until())
	require.True(t, l.EndBy(3000, 3000))
	require.True(t, l.Withheld("a"))
}

// A probe never renews the lease, and takes a target away that says that it drains, while no watch is open.
func TestProbesOnlyTakeAway(t *testing.T) {
	l := newLease(t)
	l.Listed(0, 0, serving("a", "b"))
	require.False(t, l.Probed(1, "a", NotReady), "the list decides while the watch is open")
	l.WatchLost(1)
	require.False(t, l.Probed(1, "b", Serving))
	require.False(t, l.Probed(1, "b", Silent), "silence says nothing of a drain")
	require.True(t, l.Probed(1, "a", NotReady))
	require.False(t, l.Probed(1, "a", NotReady))
	require.True(t, l.Withheld("a"))
	require.Less(t, l.MaySendUntil("a"), 0.0)
	require.False(t, l.Withheld("b"))
	require.True(t, l.Probed(1, "a", Serving))
	require.False(t, l.Withheld("a"))
	require.True(t, l.Review(lasts))
	require.False(t, l.Probed(lasts, "a", Serving))
	require.True(t, l.Withheld("a"), "the list may have lost it meanwhile")
	require.False(t, l.Probed(lasts, "b", NotReady))
	l.Listed(9000, 9000, serving("a", "b"))
	require.False(t, l.Withheld("b"), "the list names it")
}

// The rule on drains as the platform counts it: a change counts as told 6 s after discovery had it and could be reached,
// or at once where it was told.
const (
	countsAfter = 6000.0
	grace       = 250.0
	// askWithin is after which a change counts as told to a scheduler that has no watch.
	askWithin = 3000.0
)

// Nothing is sent against the rule on drains, whatever discovery does: outages of any length, calls that are refused,
// time out and succeed, watches that fall silent, restarts, and targets that drain or leave the list at any moment and
// answer probes all the same. And a list that is fresh is always served by.
func TestDrainRuleHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		broken, idle := playDrains(rng, rightProgram())
		require.Zero(t, broken)
		require.Zero(t, idle, "steps without any target although discovery's word is fresh")
	})
}

// program is how a scheduler uses its lease.
type program struct {
	lasts   float64
	apart   float64 // without a watch
	maySend func(l *Lease, name string, now float64) bool
	// probed and failed are told besides of a probe that was answered as serving, and of a call that failed.
	probed, failed func(l *Lease, now float64)
	// started is told of the list that the process starts with.
	started func(l *Lease, now float64)
}

func rightProgram() program {
	nothing := func(*Lease, float64) {}
	return program{lasts: lasts, apart: askWithin - 300, probed: nothing, failed: nothing, started: nothing,
		maySend: func(l *Lease, name string, now float64) bool { return now < l.MaySendUntil(name) }}
}

// The checker finds programs that break the rule: one that goes on with its list while discovery is silent, one that does
// so while a watch is open, one whose leases are longer than the time after which a change counts as told, and those that
// take a probe, a failed call or the list of the start for discovery's word.
func TestCheckerFindsWrongVariants(t *testing.T) {
	renews := func(l *Lease, now float64) { l.wordAt = now }
	variants := map[string]func(*program){
		"goes on": func(p *program) { p.maySend = func(*Lease, string, float64) bool { return true } },
		"trusts an open watch": func(p *program) {
			p.maySend = func(l *Lease, name string, now float64) bool { return l.watching || now < l.MaySendUntil(name) }
		},
		"long leases":                 func(p *program) { p.lasts = countsAfter + 1500 },
		"long leases without a watch": func(p *program) { p.apart = lasts },
		"probes":                      func(p *program) { p.probed = renews },
		"failed calls":                func(p *program) { p.failed = renews },
		"first list":                  func(p *program) { p.started = renews },
	}
	for name, change := range variants {
		wrong, broken := rightProgram(), 0
		change(&wrong)
		for seed := range uint64(300) {
			n, _ := playDrains(rand.New(rand.NewPCG(seed, 1)), wrong)
			broken += n
		}
		require.Positive(t, broken, name)
		t.Log(name, broken)
	}
}

// world is discovery and its targets in virtual time, seen by one scheduler.
type world struct {
	rng      *rand.Rand
	names    []string
	leftAt   map[string]float64 // when each drains or leaves the list
	honest   map[string]bool    // it answers probes as not ready then
	toldAt   map[string]float64 // this scheduler
	reached  bool               // discovery can be reached
	upSince  float64            // since when, for the last time
	watching bool
	silent   bool // the open watch is
	wordAt   float64
}

func newWorld(rng *rand.Rand) *world {
	w := &world{rng: rng, leftAt: map[string]float64{}, honest: map[string]bool{}, toldAt: map[string]float64{},
		reached: rng.IntN(2) == 0, upSince: -1e6, wordAt: math.Inf(-1)}
	for i := range 12 {
		name := fmt.Sprintf("t%02d", i)
		w.names = append(w.names, name)
		w.leftAt[name], w.honest[name] = math.Inf(1), rng.IntN(2) == 0
		if i > 3 { // some stay to the end, and some left before the process began
			w.leftAt[name] = -10_000 + 70_000*rng.Float64()
		}
	}
	return w
}

// tell has the scheduler told of all that discovery knows.
func (w *world) tell(now float64) {
	w.wordAt = now
	for _, name := range w.names {
		if _, told := w.toldAt[name]; !told && now >= w.leftAt[name] {
			w.toldAt[name] = now
		}
	}
}

// listed is what serves by the list of discovery.
func (w *world) listed(now float64) (targets []Target) {
	for _, name := range w.names {
		if now < w.leftAt[name] {
			targets = append(targets, Target{Name: name})
		}
	}
	return targets
}

// untold says whether discovery has a change of which the scheduler was not told.
func (w *world) untold(now float64) bool {
	for _, name := range w.names {
		if _, told := w.toldAt[name]; !told && now >= w.leftAt[name] {
			return true
		}
	}
	return false
}

// breaks says whether a send to a target at a time is against the rule. While discovery is down nothing counts anew.
func (w *world) breaks(now float64, name string) bool {
	left := w.leftAt[name]
	if now < left {
		return false
	}
	counts := math.Inf(1)
	if w.reached {
		counts = max(left, w.upSince) + countsAfter
	}
	if w.reached && !w.watching {
		counts = min(counts, max(left, w.upSince)+askWithin)
	}
	if at, told := w.toldAt[name]; told {
		counts = min(counts, at)
	}
	return now > counts+grace
}

// playDrains plays a minute and returns how many sends broke the rule, and in how many steps nothing could be sent although
// discovery's word was fresh.
func playDrains(rng *rand.Rand, p program) (broken, idle int) {
	const step = 25.0
	w := newWorld(rng)
	l, err := NewLease(p.lasts, p.apart)
	if err != nil {
		panic(err)
	}
	l.Load(0, serving(w.names...)) // however old that list is
	p.started(l, 0)
	callEnds := 20 + 2000*rng.Float64()
	for now := 0.0; now < 60_000; now += step {
		if rng.Float64() < step/15_000 {
			if w.reached = !w.reached; w.reached {
				w.upSince = now
			}
		}
		switch {
		case w.watching && (!w.reached || rng.Float64() < step/20_000): // it breaks at once, or falls silent first
			w.silent = w.silent || rng.IntN(2) == 0
			if !w.silent || rng.Float64() < step/3500 {
				w.watching, w.silent, callEnds = false, false, now+300+2500*rng.Float64()
				l.WatchLost(now)
				p.failed(l, now)
			}
		case w.watching && w.silent:
			if rng.Float64() < step/3500 {
				w.watching, w.silent, callEnds = false, false, now+300+2500*rng.Float64()
				l.WatchLost(now)
			}
		case w.watching && w.untold(now):
			w.tell(now)
			l.Listed(now, now, w.listed(now))
		case w.watching && rng.Float64() < step/2000:
			w.wordAt = now
			l.SignOfLife(now, now)
		case w.watching:
		case now >= callEnds && w.reached && rng.IntN(2) == 0:
			w.watching = true
			w.tell(now)
			l.Listed(now, now, w.listed(now))
		case now >= callEnds:
			callEnds = now + 2000 + 8000*rng.Float64()
			l.WatchLost(now)
			p.failed(l, now)
		}
		name := w.names[rng.IntN(len(w.names))]
		switch {
		case rng.IntN(20) == 0:
			l.Probed(now, name, Silent)
		case now >= w.leftAt[name] && w.honest[name]:
			l.Probed(now, name, NotReady)
		default:
			l.Probed(now, name, Serving)
			p.probed(l, now)
		}
		l.Review(now)
		served := false
		for _, name := range w.names {
			if _, told := w.toldAt[name]; told || !p.maySend(l, name, now) {
				continue
			}
			served = served || now < w.leftAt[name]
			if w.breaks(now, name) {
				broken++
			}
		}
		if !served && now < w.wordAt+l.lasts() {
			idle++
		}
	}
	return broken, idle
}
