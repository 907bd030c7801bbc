package core

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
)

// At the debug level the log says of each request by its id where it went, why it was tried again, and why it was refused;
// the counts say the same at any level.
func TestEachDecisionIsToldWithItsReason(t *testing.T) {
	b := newBench(t, 2)
	var text bytes.Buffer
	b.core.trace = newTrace(slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug})))
	b.take("twice", "c")
	first := b.started[0]
	b.do(ended{Outcome{Ref: first.Ref, Result: balance.NoConnection}})
	require.Len(t, b.started, 2)
	b.pass(5000)
	require.Len(t, b.answers, 1)
	b.take("nowhere", "no such class")
	for _, line := range []string{
		`msg="attempt begun" id=twice attempt=0 target=` + first.Target,
		`msg="attempt ended" id=twice attempt=0 target=` + first.Target + ` result="no connection"`,
		`msg="attempt begun" id=twice attempt=1 target=` + b.started[1].Target + ` after="no connection"`,
		`msg="attempt given up" id=twice attempt=1 target=` + b.started[1].Target + ` reason="answered without it"`,
		`msg="request answered" kind=refused reason="out of time" request.id=twice`,
		`msg="request answered" kind=refused reason="unknown class" request.id=nowhere`,
	} {
		require.Contains(t, text.String(), line)
	}
	counts := make(chan Books, 1)
	readBooks{counts}.apply(b.core)
	require.Equal(t, Reasons{
		Refused: map[balance.Reason]int{balance.OutOfTime: 1, balance.UnknownClass: 1}, Failed: map[balance.Reason]int{},
		GivenUp: map[balance.Reason]int{balance.AnswerGiven: 1}, NotBegun: map[balance.Reason]int{},
		Retries: map[string]int{"no connection": 1}}, (<-counts).Reasons)
}

// What is over, or forbidden, is not sent, and the reason is the first bound that was passed.
func TestWhyAttemptsDoNotBegin(t *testing.T) {
	for _, c := range []struct {
		allowed               bool
		client, window, lease float64
		want                  balance.Reason
	}{
		{true, 11, 11, 11, ""},
		{false, 11, 11, 11, againstRules},
		{true, 10, 10, 10, pastItsTime},
		{true, 11, 10, 10, windowOfClass},
		{true, 11, 11, 10, leaseOver},
	} {
		require.Equal(t, c.want, whyNotBegun(c.allowed, 10, c.client, c.window, c.lease))
	}
}
