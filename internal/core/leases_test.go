package core

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/freshness"
)

// leased is a bench whose source is watched, with leases on its targets a, b, ...; its first list was heard.
func leased(t *testing.T, targets int) *bench {
	b := newBench(t, targets)
	for _, s := range b.core.sources {
		s.Watch = func() {}
	}
	require.NoError(t, b.core.startLeases(&freshness.Config{LeaseFor: 5500, StartFor: 1000, RenewAhead: 1500, RetryAfter: 1000,
		ProbesAtOnce: 4, Confirmed: 2}))
	b.do(listed{"test", Group{Scope: balance.Changes}})
	return b
}

func (b *bench) lose() {
	b.do(listed{"test", Group{Scope: balance.AskFailed, LastSign: b.clock.Now()}})
}

// Nothing goes to targets whose leases have run out; one that a probe confirms gets what waits, and the next list
// releases all.
func TestNothingGoesOutWithoutALease(t *testing.T) {
	b := leased(t, 2)
	b.lose()
	b.pass(5499)
	b.take("x", "c")
	require.Len(t, b.started, 1)
	b.do(news{TargetNews{ID: "x", From: b.started[0].Target, Result: balance.OK}})
	b.pass(2)
	b.take("y", "c")
	require.Len(t, b.started, 1, "it waits")
	require.Equal(t, 2, b.core.books.Withheld)
	b.do(probed{ProbeResult{Target: "b", SentAt: b.clock.Now(), Result: balance.OK}})
	require.Len(t, b.started, 2)
	require.Equal(t, "b", b.started[1].Target)
	b.do(listed{"test", Group{Scope: balance.Changes}})
	require.Zero(t, b.core.books.Withheld)
}

// An attempt is told until when it may leave, as its connection may be long in coming up; the class's own bound stays.
func TestAttemptsEndWithTheirLease(t *testing.T) {
	b := leased(t, 1)
	b.take("open", "c")
	require.True(t, math.IsInf(b.started[0].Latest, 1))
	b.do(news{TargetNews{ID: "open", From: "a", Result: balance.OK}})
	lostAt := b.clock.Now()
	b.lose()
	b.pass(100)
	b.take("lost", "c")
	require.Equal(t, lostAt+5500, b.started[1].Latest)
}

// A process that stands still between two steps sends nothing by a lease that ran out meanwhile: it is looked at again as
// the attempt begins, before any timer has rung.
func TestLeaseIsLookedAtAsTheAttemptBegins(t *testing.T) {
	b := leased(t, 1)
	b.lose()
	b.clock.Advance(5501)
	b.take("x", "c")
	require.Empty(t, b.started)
}

// A target that answers a probe as not ready gets nothing while discovery is silent, though its lease runs on. While the
// watch is open the list decides.
func TestTargetThatIsNotReady(t *testing.T) {
	b := leased(t, 2)
	notReady := ProbeResult{Target: "a", SentAt: b.clock.Now(), Result: balance.Failed, NotReady: true}
	b.do(probed{notReady})
	require.Zero(t, b.core.books.Withheld)
	b.lose()
	require.Zero(t, b.core.books.Withheld, "the list was right when it was asked")
	b.do(probed{notReady})
	require.Equal(t, 1, b.core.books.Withheld)
	for range 5 {
		b.take(string(rune('k'+len(b.started))), "c")
		require.Equal(t, "b", b.started[len(b.started)-1].Target)
		b.do(news{TargetNews{ID: b.started[len(b.started)-1].ID, From: "b", Result: balance.OK}})
	}
	require.Len(t, b.started, 5)
}
