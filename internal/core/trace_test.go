package core

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
)

// At the debug level the log holds, for each request id, its targets, the reasons of its retries and the reason of a refusal.
// The counters hold the reasons at any level.
func TestDecisionsAreLoggedWithReasons(t *testing.T) {
	h := newHarness(t, 2)
	var text bytes.Buffer
	h.core.trace = newTrace(slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug})))
	h.accept("twice", "c")
	first := h.started[0]
	h.apply(outcomeEvent{Outcome{AttemptRef: first.AttemptRef, Result: balance.NoConnection}})
	require.Len(t, h.started, 2)
	h.advance(5000)
	require.Len(t, h.answers, 1)
	h.accept("nowhere", "no such class")
	for _, line := range []string{
		`msg="attempt started" id=twice attempt=0 target=` + first.Target,
		`msg="attempt ended" id=twice attempt=0 target=` + first.Target + ` result="no connection"`,
		`msg="attempt started" id=twice attempt=1 target=` + h.started[1].Target + ` after="no connection"`,
		`msg="attempt cancelled" id=twice attempt=1 target=` + h.started[1].Target + ` reason="answered without it"`,
		`msg="request completed" kind=refused reason="out of time" request.id=twice`,
		`msg="request completed" kind=refused reason="unknown class" request.id=nowhere`,
	} {
		require.Contains(t, text.String(), line)
	}
	counts := make(chan Stats, 1)
	statsQuery{counts}.apply(h.core)
	require.Equal(t, Reasons{
		Refused: map[balance.Reason]int{balance.OutOfTime: 1, balance.UnknownClass: 1}, Failed: map[balance.Reason]int{},
		Cancelled: map[balance.Reason]int{balance.ResponseSent: 1}, NotStarted: map[balance.Reason]int{},
		Retries: map[string]int{"no connection": 1}}, (<-counts).Reasons)
}

// An attempt that is forbidden or past a limit is not started. The reason is the first limit that it fails.
func TestStartRefusalReasons(t *testing.T) {
	for _, c := range []struct {
		allowed               bool
		client, window, lease float64
		want                  balance.Reason
	}{
		{true, 11, 11, 11, ""},
		{false, 11, 11, 11, forbiddenByRules},
		{true, 10, 10, 10, pastDeadline},
		{true, 11, 10, 10, pastRepeatWindow},
		{true, 11, 11, 10, leaseExpired},
	} {
		require.Equal(t, c.want, startRefusal(c.allowed, 10, c.client, c.window, c.lease))
	}
}
