package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/freshness"
)

const listLasts = 5700.0

// leased is a bench whose source is watched, with a lease on the list of its targets a, b, ...
func leased(t *testing.T, targets int) *bench {
	b := newBench(t, targets)
	for _, s := range b.core.sources {
		s.Watch = func() {}
	}
	b.core.cfg.ListLease, b.core.fresh = listLasts, make(chan struct{})
	require.NoError(t, b.core.startLease())
	b.core.leaseReviewed(b.core.leased, b.core.listHeard(b.core.leased, &Group{Scope: balance.FromDisk}))
	b.core.route()
	return b
}

// hear tells of changes, none, that were just read.
func (b *bench) hear() {
	b.do(listed{"test", Group{Scope: balance.Changes, ReadAt: b.clock.Now()}})
}

func (b *bench) lose() { b.do(listed{"test", Group{Scope: balance.AskFailed}}) }

func (b *bench) serve(id string) {
	last := b.started[len(b.started)-1]
	b.do(news{TargetNews{ID: id, From: last.Target, Result: balance.OK}})
}

// lapses lets the lease run out that was just renewed: a request is served just before, and one waits just after.
func (b *bench) lapses() {
	b.t.Helper()
	b.pass(listLasts - 1)
	b.take("x", "c")
	require.Len(b.t, b.started, 1)
	b.serve("x")
	b.pass(2)
	b.take("y", "c")
	require.Len(b.t, b.started, 1, "it waits")
}

// Before discovery's first word nothing goes out, however short the time since the start.
func TestNothingGoesOutBeforeTheFirstList(t *testing.T) {
	b := leased(t, 2)
	b.take("x", "c")
	require.Empty(t, b.started, "it waits")
	b.do(probed{ProbeResult{Target: "b", SentAt: b.clock.Now(), Result: balance.OK}})
	require.Empty(t, b.started, "a target's own word says nothing of the list")
	select {
	case <-b.core.Fresh():
		require.Fail(t, "clients are let in")
	default:
	}
	b.hear()
	require.Len(t, b.started, 1)
	<-b.core.Fresh()
}

// Nothing goes out once the lease on the list has run out, and what waits goes out as it is renewed. What the module knows
// of the targets outlives that.
func TestNothingGoesOutWithoutALease(t *testing.T) {
	b := leased(t, 2)
	b.hear()
	b.lose()
	b.lapses()
	require.Equal(t, 2, b.core.withholds())
	require.Equal(t, 1, b.core.books.Lapses)
	b.do(probed{ProbeResult{Target: "b", SentAt: b.clock.Now(), Result: balance.OK}})
	require.Len(t, b.started, 1)
	b.pass(9)
	b.hear()
	require.Len(t, b.started, 2)
	require.Zero(t, b.core.withholds())
	require.Equal(t, 9.0, b.core.books.LapsedFor, "from when it was noticed")
}

// A request that can't be served in time while the lease has run out is refused, and counted so.
func TestRefusalsWithoutALeaseAreCounted(t *testing.T) {
	b := leased(t, 1)
	b.take("x", "c")
	b.pass(60_000)
	require.Equal(t, 1, b.core.books.Refused)
	require.Equal(t, 1, b.core.books.RefusedLapsed)
}

// An open watch renews the lease by its signs of life, and by nothing else: one that is silent is as good as none.
func TestSilentWatchLetsTheLeaseRunOut(t *testing.T) {
	b := leased(t, 1)
	b.hear()
	b.pass(2000)
	b.do(signOfLife{"test", b.clock.Now()})
	b.lapses()
	b.do(signOfLife{"test", b.clock.Now()})
	require.Len(t, b.started, 2)
}

// An attempt is told until when it may leave, as its connection may be long in coming up; the class's own bound stays.
func TestAttemptsEndWithTheirLease(t *testing.T) {
	b := leased(t, 1)
	b.hear()
	heardAt := b.clock.Now()
	b.pass(100)
	b.take("open", "c")
	require.Equal(t, heardAt+listLasts, b.started[0].Latest)
}

// A process that stands still between two steps sends nothing by a lease that ran out meanwhile: it is looked at again as
// the attempt begins, before any timer has rung.
func TestLeaseIsLookedAtAsTheAttemptBegins(t *testing.T) {
	b := leased(t, 1)
	b.hear()
	b.clock.Advance(listLasts + 1)
	b.take("x", "c")
	require.Empty(t, b.started)
}

// A target that answers a probe as not ready gets nothing while discovery is silent, though the lease runs on. While the
// watch is open the list decides.
func TestTargetThatIsNotReady(t *testing.T) {
	b := leased(t, 2)
	b.hear()
	notReady := ProbeResult{Target: "a", SentAt: b.clock.Now(), Result: balance.Failed, NotReady: true}
	b.do(probed{notReady})
	require.Zero(t, b.core.withholds())
	b.lose()
	require.Zero(t, b.core.withholds(), "the list was right when it was asked")
	b.do(probed{notReady})
	require.Equal(t, 1, b.core.withholds())
	for range 5 {
		b.take(string(rune('k'+len(b.started))), "c")
		require.Equal(t, "b", b.started[len(b.started)-1].Target)
		b.serve(b.started[len(b.started)-1].ID)
	}
	require.Len(t, b.started, 5)
}

// Where the settings bound how long the old address's list counts after a move, nothing goes out after that until the new
// one is heard.
func TestLeaseAfterAMove(t *testing.T) {
	b := leased(t, 1)
	b.core.cfg.MovedLease = 3700
	b.hear()
	b.do(moved{"test"})
	b.pass(3699)
	b.take("x", "c")
	require.Len(t, b.started, 1)
	b.serve("x")
	b.pass(2)
	b.take("y", "c")
	require.Len(t, b.started, 1)
	b.hear()
	require.Len(t, b.started, 2)
}

// A scheduler that discovery does not answer serves by the word that another one passes on, and calls discovery soon.
func TestServesByAWordThatWasPassedOn(t *testing.T) {
	b := leased(t, 2)
	var told []string
	b.core.cfg.Tell = func(to []int, raw string) {
		require.Equal(t, []int{1}, to)
		told = append(told, raw)
	}
	b.core.cfg.Settings.Peers, b.core.cfg.Settings.Fleet, b.core.fresh = true, 2, make(chan struct{})
	require.NoError(t, b.core.startLease())
	b.do(listed{"test", Group{Scope: balance.FromDisk, Targets: []Target{b.core.leased.members["a"], b.core.leased.members["b"]}}})
	b.take("x", "c")
	b.pass(200)
	require.Len(t, told, 1)
	other, err := freshness.NewLease(listLasts, listLasts)
	require.NoError(t, err)
	other.Listed(7000, 7000, []freshness.Target{{Name: "b"}})
	peers, err := freshness.NewPeers(7000, freshness.PeersConfig{Self: 1, Fleet: 2, AskEvery: 1, AskMany: 1, Younger: 1}, other)
	require.NoError(t, err)
	answers, _, err := peers.Heard(7100, 0, told[0])
	require.NoError(t, err)
	require.Len(t, answers, 1)
	b.do(heard{1, answers[0].Raw})
	require.Len(t, b.started, 1)
	require.Equal(t, "b", b.started[0].Target)
	require.Equal(t, 1, b.core.withholds(), "the other one has left the list")
	require.Equal(t, 1, b.core.books.WordsPassedOn)
	b.do(heard{1, answers[0].Raw[:9]})
	require.Equal(t, 1, b.core.unreadable)
}

// Without a watch the list is acted on for a shorter time, where the settings say so: nothing more goes out as the watch ends
// that had fallen silent before.
func TestLeaseEndsWithTheWatch(t *testing.T) {
	b := leased(t, 1)
	b.core.cfg.UnwatchedLease, b.core.fresh = 2700, make(chan struct{})
	require.NoError(t, b.core.startLease())
	b.core.leaseReviewed(b.core.leased, b.core.listHeard(b.core.leased, &Group{Scope: balance.FromDisk}))
	b.hear()
	b.pass(2800)
	b.take("x", "c")
	require.Len(t, b.started, 1)
	b.serve("x")
	b.lose()
	require.Equal(t, 1, b.core.withholds())
	b.take("y", "c")
	require.Len(t, b.started, 1, "it waits")
	b.hear()
	require.Len(t, b.started, 2)
}
