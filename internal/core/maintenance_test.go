package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
)

func (b *bench) maintain(target string, offline bool) bool {
	known := make(chan bool, 1)
	b.do(maintained{target: target, offline: offline, known: known})
	return <-known
}

// Nothing more goes to a target that is offline, whatever its source lists meanwhile, and what is out there goes on.
func TestTargetThatIsOfflineGetsNothing(t *testing.T) {
	b := newBench(t, 2)
	for len(b.started) == 0 || b.started[len(b.started)-1].Target != "a" {
		b.take(string(rune('A'+len(b.started))), "c")
		require.Less(t, len(b.started), 5, "one of two targets gets nothing")
	}
	onA := b.started[len(b.started)-1]
	require.True(t, b.maintain("a", true))
	require.True(t, b.maintain("a", true), "twice is as good as once")
	b.do(listed{"test", Group{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "a", Zone: "a", Cell: "1"}}}}})
	b.do(listed{"test", Group{Scope: balance.Whole, Targets: []Target{{Member: balance.Member{ID: "a", Zone: "a", Cell: "1"}}, {Member: balance.Member{ID: "b", Zone: "a", Cell: "2"}}}}})
	for _, f := range b.core.flows {
		b.do(ended{Outcome{Ref: Ref{f.number, 0}, Result: balance.OK}})
	}
	require.Contains(t, b.answers, Answer{Kind: Served}, "what was out there ended")
	before := len(b.started)
	for i := range 20 {
		b.take("later"+string(rune('A'+i)), "c")
		if a := b.started[len(b.started)-1]; len(b.started) > before {
			require.Equal(t, "b", a.Target)
			b.do(ended{Outcome{Ref: a.Ref, Result: balance.OK}})
		}
		b.pass(10)
	}
	require.Greater(t, len(b.started), before)
	require.Equal(t, "a", onA.Target)
	require.True(t, b.maintain("a", false))
	require.Eventually(t, func() bool {
		b.take("back"+string(rune(len(b.started))), "c")
		a := b.started[len(b.started)-1]
		b.do(ended{Outcome{Ref: a.Ref, Result: balance.OK}})
		b.pass(10)
		return a.Target == "a"
	}, 8*time.Second, time.Millisecond, "used again")
}

// One that nobody has is not known; one that left the list while it was offline is, and stays offline.
func TestMaintenanceOfTargetsThatAreNotListed(t *testing.T) {
	b := newBench(t, 1)
	require.False(t, b.maintain("z", true))
	require.False(t, b.maintain("z", false))
	require.True(t, b.maintain("a", true))
	b.do(listed{"test", Group{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "a", State: balance.Gone}}}}})
	require.True(t, b.maintain("a", true))
	b.do(listed{"test", Group{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "a", Zone: "a", Cell: "1"}}}}})
	b.take("x", "c")
	require.Empty(t, b.started)
	require.True(t, b.maintain("a", false))
	b.pass(20)
	require.Len(t, b.started, 1)
}

// News of a job that is unknown here goes to whoever knows the scheduler's other process, once: what that one passed on does
// not go back. News of a job that is known here goes nowhere.
func TestNewsOfUnknownJobsIsPassedOnOnce(t *testing.T) {
	b := newBench(t, 1)
	var stray []TargetNews
	b.core.cfg.Stray = func(n TargetNews) { stray = append(stray, n) }
	unknown := TargetNews{ID: "other's", From: "a", Result: balance.OK}
	b.do(news{unknown})
	passedOn := unknown
	passedOn.PassedOn = true
	b.do(news{passedOn})
	b.take("x", "c")
	b.do(news{TargetNews{ID: "x", From: "a", Result: balance.OK}})
	require.Equal(t, []TargetNews{unknown}, stray)
	require.Len(t, b.answers, 1)
	require.Equal(t, map[string]int{"news of an attempt that is over": 1}, b.core.books.Dropped)
}

// What another process had offline is taken over, listed here or not.
func TestMaintenanceIsInherited(t *testing.T) {
	b := newBench(t, 1)
	for _, target := range []string{"a", "z"} {
		e := maintained{target: target, offline: true, inherited: true, known: make(chan bool, 1)}
		b.do(e)
		require.True(t, <-e.known)
	}
	b.take("x", "c")
	require.Empty(t, b.started)
	targets := make(chan []string, 1)
	b.do(readMaintained{targets})
	require.Equal(t, []string{"a", "z"}, <-targets)
	require.True(t, b.maintain("a", false))
	b.pass(20)
	require.Len(t, b.started, 1)
}
