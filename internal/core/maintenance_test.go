package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
)

func (h *harness) maintain(target string, offline bool) bool {
	known := make(chan bool, 1)
	h.apply(maintenanceEvent{target: target, offline: offline, reply: known})
	return <-known
}

// An offline target gets no new attempts, whatever its source lists meanwhile. Its outstanding attempts continue.
func TestOfflineTargetGetsNoAttempts(t *testing.T) {
	h := newHarness(t, 2)
	for len(h.started) == 0 || h.started[len(h.started)-1].Target != "a" {
		h.accept(string(rune('A'+len(h.started))), "c")
		require.Less(t, len(h.started), 5, "target a gets no attempts")
	}
	onA := h.started[len(h.started)-1]
	require.True(t, h.maintain("a", true))
	require.True(t, h.maintain("a", true), "Offline is idempotent")
	h.apply(listEvent{"test", TargetList{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "a", Zone: "a", Cell: "1"}}}}})
	h.apply(listEvent{"test", TargetList{Scope: balance.Complete, Targets: []Target{{Member: balance.Member{ID: "a", Zone: "a", Cell: "1"}}, {Member: balance.Member{ID: "b", Zone: "a", Cell: "2"}}}}})
	for _, f := range h.core.flows {
		h.apply(outcomeEvent{Outcome{AttemptRef: AttemptRef{f.number, 0}, Result: balance.OK}})
	}
	require.Contains(t, h.answers, Response{Kind: Served}, "the outstanding attempt ended")
	before := len(h.started)
	for i := range 20 {
		h.accept("later"+string(rune('A'+i)), "c")
		if a := h.started[len(h.started)-1]; len(h.started) > before {
			require.Equal(t, "b", a.Target)
			h.apply(outcomeEvent{Outcome{AttemptRef: a.AttemptRef, Result: balance.OK}})
		}
		h.advance(10)
	}
	require.Greater(t, len(h.started), before)
	require.Equal(t, "a", onA.Target)
	require.True(t, h.maintain("a", false))
	require.Eventually(t, func() bool {
		h.accept("back"+string(rune(len(h.started))), "c")
		a := h.started[len(h.started)-1]
		h.apply(outcomeEvent{Outcome{AttemptRef: a.AttemptRef, Result: balance.OK}})
		h.advance(10)
		return a.Target == "a"
	}, 8*time.Second, time.Millisecond, "the target is used again")
}

// A target that was never listed is unknown. A target that left the list while it was offline is known, and stays offline.
func TestMaintenanceOfUnlistedTargets(t *testing.T) {
	h := newHarness(t, 1)
	require.False(t, h.maintain("z", true))
	require.False(t, h.maintain("z", false))
	require.True(t, h.maintain("a", true))
	h.apply(listEvent{"test", TargetList{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "a", State: balance.Gone}}}}})
	require.True(t, h.maintain("a", true))
	h.apply(listEvent{"test", TargetList{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "a", Zone: "a", Cell: "1"}}}}})
	h.accept("x", "c")
	require.Empty(t, h.started)
	require.True(t, h.maintain("a", false))
	h.advance(20)
	require.Len(t, h.started, 1)
}

// A callback about a job that is unknown here is forwarded to the scheduler's other process. A forwarded callback is not
// forwarded again, and a callback about a known job is not forwarded.
func TestUpdateOfUnknownJobIsForwardedOnce(t *testing.T) {
	h := newHarness(t, 1)
	var unmatched []TargetCallback
	h.core.cfg.ForwardUnmatched = func(n TargetCallback) { unmatched = append(unmatched, n) }
	unknown := TargetCallback{ID: "other's", From: "a", Result: balance.OK}
	h.apply(targetUpdateEvent{unknown})
	forwarded := unknown
	forwarded.PassedOn = true
	h.apply(targetUpdateEvent{forwarded})
	h.accept("x", "c")
	h.apply(targetUpdateEvent{TargetCallback{ID: "x", From: "a", Result: balance.OK}})
	require.Equal(t, []TargetCallback{unknown}, unmatched)
	require.Len(t, h.answers, 1)
	require.Equal(t, map[string]int{"news of an attempt that is over": 1}, h.core.stats.Dropped)
}

// Targets that another process had taken offline are offline here too, whether or not they are listed here.
func TestMaintenanceIsInherited(t *testing.T) {
	h := newHarness(t, 1)
	for _, target := range []string{"a", "z"} {
		e := maintenanceEvent{target: target, offline: true, inherited: true, reply: make(chan bool, 1)}
		h.apply(e)
		require.True(t, <-e.reply)
	}
	h.accept("x", "c")
	require.Empty(t, h.started)
	targets := make(chan []string, 1)
	h.apply(maintainedQuery{targets})
	require.Equal(t, []string{"a", "z"}, <-targets)
	require.True(t, h.maintain("a", false))
	h.advance(20)
	require.Len(t, h.started, 1)
}
