package core

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/buffer"
	"cottonwell/internal/clock"
	"cottonwell/internal/invariant"
)

// harness runs a core on a manual clock and is its transport and its response receiver. It only records the calls. The core's
// goroutine is not started: the test applies events one by one.
type harness struct {
	t         *testing.T
	clock     *clock.Manual
	core      *Core
	started   []Attempt
	cancelled []Attempt
	answers   []Response
	progress  []Progress
	partial   []PartialOutput
	handling  PartialHandling // of partial output
}

func (h *harness) Start(a Attempt)          { h.started = append(h.started, a) }
func (h *harness) Cancel(a Attempt)         { h.cancelled = append(h.cancelled, a) }
func (h *harness) Probe(string)             {}
func (h *harness) UpdateTargets(TargetList) {}
func (h *harness) Respond(a Response)       { h.answers = append(h.answers, a) }
func (h *harness) Progress(p Progress)      { h.progress = append(h.progress, p) }

func (h *harness) Partial(p PartialOutput) PartialHandling {
	h.partial = append(h.partial, p)
	return h.handling
}

func newHarness(t *testing.T, targets int) *harness {
	h := &harness{t: t, clock: clock.NewManual(1.7e12)}
	s := balance.Settings{Fleet: 1, Zone: "a", Tick: 5 * time.Millisecond, MaxAttempts: 3, ReportsStart: true, Cancel: true,
		ResponseSlack: 20 * time.Millisecond, ColdFrom: 0.3, ColdFor: 10 * time.Second, CollapseMultiple: 3, CollapseWindow: time.Second,
		Classes: []balance.Class{{Name: "c", LatencyTarget: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second, Value: 1},
			{Name: "k", Effect: balance.Keyed, Scope: balance.ScopeCell, Window: 7500 * time.Millisecond, LatencyTarget: 200 * time.Millisecond,
				Stretch: 2, Deadline: 5 * time.Second, Value: 1}}}
	known := TargetList{}
	for i := range targets {
		known.Targets = append(known.Targets, Target{Member: balance.Member{ID: string(rune('a' + i)), Zone: "a", Cell: string(rune('1' + i))}})
	}
	var err error
	h.core, err = New(Config{Settings: s, Seed: 1, Clock: h.clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Invariants: invariant.New(), RetryAfterMS: 1000, MaxOpen: 5}, Source{Name: "test", Transport: h})
	require.NoError(t, err)
	known.Scope = balance.FromDisk
	h.apply(listEvent{"test", known})
	return h
}

func (h *harness) apply(e event) {
	e.apply(h.core)
	h.core.route()
}

func (h *harness) advance(ms float64) {
	h.clock.Advance(ms)
	for h.core.timers.fireEarliest(h.clock.Now(), h.core.fire) {
		h.core.route()
	}
}

func (h *harness) accept(id, class string) {
	h.apply(acceptEvent{&Request{ID: id, Class: class, ClientTimeoutMS: 5000, Slots: 1, Receiver: h}, h.clock.Now()})
}

func TestOneFinalAnswerAndLateNewsIsDropped(t *testing.T) {
	h := newHarness(t, 1)
	h.accept("x", "c")
	require.Len(t, h.started, 1)
	h.apply(targetUpdateEvent{TargetCallback{ID: "x", From: "a", Result: balance.OK, Body: "first"}})
	h.apply(targetUpdateEvent{TargetCallback{ID: "x", From: "a", Result: balance.OK, Body: "second"}})
	h.apply(outcomeEvent{Outcome{AttemptRef: h.started[0].AttemptRef, Result: balance.Failed}})
	require.Equal(t, []Response{{Kind: Served, Body: "first"}}, h.answers)
	require.Equal(t, map[string]int{"news of an attempt that is over": 1, "outcome of an attempt that is over": 1}, h.core.stats.Dropped)
	require.Empty(t, h.core.flows)
	require.Empty(t, h.core.flowsByID)
}

// A callback from a target other than that of the outstanding attempt must not end the flow. Otherwise the client would get
// the result of an attempt that is no longer the flow's.
func TestUpdateOfAnotherTargetIsIgnored(t *testing.T) {
	h := newHarness(t, 2)
	h.accept("x", "c")
	other := map[string]string{"a": "b", "b": "a"}[h.started[0].Target]
	h.apply(targetUpdateEvent{TargetCallback{ID: "x", From: other, Result: balance.OK, Body: "no"}})
	require.Empty(t, h.answers)
}

func TestOneAttemptOutstandingAtATime(t *testing.T) {
	h := newHarness(t, 2)
	for i := range 300 { // the module learns that jobs are short, so it soon suspects a silent target
		h.accept(fmt.Sprint(i), "c")
		a := h.started[len(h.started)-1]
		h.apply(targetUpdateEvent{TargetCallback{ID: a.ID, From: a.Target, Progress: &Progress{Started: true}}})
		h.advance(10)
		h.apply(targetUpdateEvent{TargetCallback{ID: a.ID, From: a.Target, Result: balance.OK}})
	}
	h.accept("x", "c")
	startedCount := len(h.started)
	for range 15 { // no start report and no other callback from the target: the module cancels the attempt
		h.advance(10)
	}
	require.Len(t, h.cancelled, 1)
	require.Len(t, h.started, startedCount, "no further attempt before the cancellation is confirmed")
	h.apply(outcomeEvent{Outcome{AttemptRef: h.started[startedCount-1].AttemptRef, Result: balance.Cancelled}})
	h.advance(20)
	require.Len(t, h.started, startedCount+1)
}

// The core does not start an attempt that the rules forbid, even if the decision module requests it.
func TestForbiddenDispatchesEndAtOnce(t *testing.T) {
	if invariantsPanic() {
		t.Skip("a debug build panics on a broken invariant")
	}
	h := newHarness(t, 2)
	h.accept("x", "c")
	h.core.perform(&balance.Action{Kind: balance.Send, Request: 1, Worker: "a"})
	require.Len(t, h.started, 1)
	require.Equal(t, map[string]int{"two-attempts-out": 1}, h.core.invariants.Counts())
	require.Equal(t, balance.NeverSent, h.core.pendingEvents[0].Result)
}

// An attempt that was not started because the deadline had passed has not run. It must not prevent further attempts, and the
// flow must end as refused. When such an attempt counted as run, a flow of an unsafe class got no further attempt and ended
// as failed, although a retry was harmless.
func TestAttemptThatNeverStartedHasNotRun(t *testing.T) {
	h := newHarness(t, 0)
	h.core.classes["k"].Effect = balance.Unsafe
	h.accept("x", "k")
	f := h.core.flows[1]
	h.apply(listEvent{"test", TargetList{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "a", Zone: "a", Cell: "1"}}}}})
	h.started, f.attempts, f.outstanding = nil, nil, -1
	h.clock.Advance(5001)
	h.core.dispatch(&balance.Action{Kind: balance.Send, Request: 1, Worker: "a"})
	require.Empty(t, h.started, "the client's deadline has passed")
	require.Len(t, f.attempts, 1)
	require.False(t, h.core.mayHaveRun(&f.attempts[0]))
	require.True(t, math.IsInf(h.core.latestStart(f, 1), 1))
	h.core.pendingEvents = nil
	endOpenFlowsEvent{}.apply(h.core)
	require.Equal(t, []Response{{Kind: Refused, RetryAfter: 1000, Reason: shutdownReason}}, h.answers)
}

func invariantsPanic() (yes bool) {
	defer func() { yes = recover() != nil }()
	invariant.New().Check(false, "probe", "")
	return false
}

func TestRefusalIsImmediateAndCarriesRetryAfter(t *testing.T) {
	h := newHarness(t, 1)
	h.accept("x", "k")
	for range 3 {
		h.apply(outcomeEvent{Outcome{AttemptRef: h.started[len(h.started)-1].AttemptRef, Result: balance.NoConnection}})
		h.advance(10)
	}
	require.Equal(t, []Response{{Kind: Refused, RetryAfter: 1000, Reason: balance.AttemptsExhausted}}, h.answers)
}

func TestKeyedThatMayHaveRunIsNotRefused(t *testing.T) {
	h := newHarness(t, 2)
	h.accept("x", "k")
	h.apply(outcomeEvent{Outcome{AttemptRef: h.started[0].AttemptRef, Result: balance.Reset}})
	h.advance(10)
	for _, a := range h.started {
		require.Equal(t, h.started[0].Target, a.Target, "sent to another cell")
	}
	h.advance(5000)
	require.Len(t, h.answers, 1)
	require.Equal(t, Failed, h.answers[0].Kind)
}

func TestAttemptEndsWithClientTimeout(t *testing.T) {
	h := newHarness(t, 1)
	h.accept("x", "c")
	h.apply(targetUpdateEvent{TargetCallback{ID: "x", From: "a", Progress: &Progress{Started: true}}})
	h.advance(4995)
	require.Len(t, h.answers, 1)
	require.NotEqual(t, Served, h.answers[0].Kind)
	h.advance(10)
	require.Len(t, h.cancelled, 1)
	require.Empty(t, h.core.flows)
}

func TestAdmission(t *testing.T) {
	h := newHarness(t, 0)
	body, err := buffer.NewPool().FromBytes([]byte("x"))
	require.NoError(t, err)
	h.accept("x", "c")
	h.apply(acceptEvent{&Request{ID: "x", Class: "c", ClientTimeoutMS: 5000, Receiver: h, Job: Job{Body: body}}, h.clock.Now()})
	require.Equal(t, []Response{{Kind: Failed, Reason: idInUse}}, h.answers, "the id is in use")
	require.Zero(t, body.Len(), "its body was released")
	for _, id := range []string{"2", "3", "4", "5", "6"} {
		h.accept(id, "c")
	}
	require.Equal(t, Response{Kind: Refused, RetryAfter: 1000, Reason: tooManyOpen}, h.answers[1], "too many requests are open")
	h.accept("7", "dance")
	require.Len(t, h.answers, 3)
	h.apply(clientLeftEvent{&Request{ID: "x", Receiver: h}})
	require.Equal(t, 1, h.core.stats.ClientsLeft)
	require.Len(t, h.answers, 3, "a client that left gets no response")
}

// A whole list from one source does not remove the targets of another source.
func TestWholeListKeepsOtherSources(t *testing.T) {
	h := newHarness(t, 1)
	h.core.sources["second"] = &source{Source: Source{Name: "second", Transport: h}, targets: map[string]Target{}}
	h.apply(listEvent{"second", TargetList{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "z", Zone: "a"}}}}})
	h.apply(listEvent{"test", TargetList{Scope: balance.Complete}})
	h.accept("x", "c")
	require.Equal(t, "z", h.started[0].Target)
}

func TestRunReportsIdleAndEnds(t *testing.T) {
	h := newHarness(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { h.core.Run(ctx); close(done) }()
	h.core.Accept(&Request{ID: "x", Class: "c", ClientTimeoutMS: 5000, Slots: 1, Receiver: h})
	idle := h.core.Idle()
	require.Equal(t, 1, h.core.Stats().Open)
	h.core.ReceiveCallback(TargetCallback{ID: "x", From: "a", Result: balance.OK})
	<-idle
	cancel()
	<-done
	h.core.Accept(&Request{ID: "y"}) // Run has returned, and the call does not block
}

// A verdict of the examiner applies to this scheduler, and this scheduler's suspicions and probe results are reported.
func TestVerdictsApplyAndSuspicionsAreReported(t *testing.T) {
	h := newHarness(t, 2)
	h.apply(verdictEvent{"a", 1000})
	for i := range 20 {
		h.accept(fmt.Sprint(i), "c")
		a := h.started[len(h.started)-1]
		require.Equal(t, "b", a.Target)
		h.apply(targetUpdateEvent{TargetCallback{ID: a.ID, From: "b", Result: balance.OK}})
	}
	var suspected []string
	h.core.cfg.ReportSuspicion = func(target string, failing bool) { suspected = append(suspected, fmt.Sprint(target, failing)) }
	h.core.perform(&balance.Action{Kind: balance.SuspectWorker, Worker: "a", Failing: true})
	require.Equal(t, []string{"atrue"}, suspected)
	var probed []string
	h.core.cfg.ReportProbe = func(target string, responded bool) { probed = append(probed, fmt.Sprint(target, responded)) }
	h.apply(probeOf("a", balance.OK))
	h.apply(probeOf("b", balance.TimedOut))
	require.Equal(t, []string{"atrue", "bfalse"}, probed)
}

func probeOf(target string, res balance.Result) event {
	return probeEndedEvent{ProbeResult{Target: target, Result: res}}
}

// A tenant's request is counted once. Retries, recognized by a shorter client timeout, are not counted.
func TestOnlyFirstTriesAreCounted(t *testing.T) {
	h := newHarness(t, 1)
	counts := map[string]int{}
	h.core.cfg.CountRequest = func(tenant string) { counts[tenant]++ }
	submit := func(id, class string, timeout float64, first, repeat bool) {
		h.apply(acceptEvent{&Request{ID: id, Class: class, Tenant: "t", ClientTimeoutMS: timeout, Slots: 1, FirstTry: first, MarkedRetry: repeat, Receiver: h}, h.clock.Now()})
	}
	submit("a", "c", 5000, false, false)
	submit("b", "c", 4000, false, false)
	submit("c", "c", 4999, false, false)
	require.Equal(t, 2, counts["t"])
	submit("d", "c", 3000, true, false)
	submit("e", "c", 5000, false, true)
	require.Equal(t, 3, counts["t"])
	submit("f", "no such class", 9000, false, false)
	require.Equal(t, 3, counts["t"])
	require.NotContains(t, h.core.longestTimeout, "no such class", "unknown classes of clients use no memory")
}

// The agreed rules take precedence over the list. They expire into the strict rules by the core's own clock, without a
// notification.
func TestRulesExpireIntoStrictRules(t *testing.T) {
	h := newHarness(t, 2)
	drainRules := func(ids ...string) Rules {
		r := Rules{ColdFactor: 1, DrainedTargets: map[string]bool{}, RetryAfterMS: map[string]float64{"c": 70}}
		for _, id := range ids {
			r.DrainedTargets[id] = true
		}
		return r
	}
	selectedTarget := func() (out []string) {
		n := len(h.started)
		h.accept(fmt.Sprint("r", n), "c")
		require.Len(t, h.started, n+1)
		at := h.started[n]
		h.apply(targetUpdateEvent{TargetCallback{ID: at.ID, From: at.Target, Result: balance.OK, Body: "x"}})
		return []string{at.Target}
	}
	h.apply(rulesEvent{drainRules("a"), h.clock.Now() + 1000, drainRules("b")})
	for range 5 {
		require.Equal(t, []string{"b"}, selectedTarget())
	}
	// A change from discovery that lists a drained target as ready does not end the drain.
	h.apply(listEvent{"test", TargetList{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "a", Zone: "a", Cell: "1"}}}}})
	require.Equal(t, []string{"b"}, selectedTarget())
	h.clock.Advance(1001)
	for range 5 {
		require.Equal(t, []string{"a"}, selectedTarget(), "the strict rules are in force")
	}
	h.apply(rulesEvent{Rules{ColdFactor: 1, DrainedZones: map[string]bool{"a": true}, RetryAfterMS: map[string]float64{"c": 70}}, h.clock.Now() + 1000, drainRules()})
	n := len(h.started)
	h.accept("x", "c")
	require.Len(t, h.started, n, "all targets of the zone are drained")
	h.advance(1100)
	require.Len(t, h.started, n+1, "the drain has ended")
	require.Equal(t, 70.0, h.core.defaultRetryAfter(h.core.flowsByID["x"].number))
	require.Equal(t, 1000.0, h.core.defaultRetryAfter(999))
}

// At shutdown a request can arrive after EndOpenFlows has ended the open flows. Nothing would end its flow later, so it is refused
// at once and not dispatched.
func TestWhatComesAfterTheLastAnswersIsRefused(t *testing.T) {
	h := newHarness(t, 1)
	h.accept("x", "k")
	h.accept("y", "c")
	sent := len(h.started)
	h.apply(endOpenFlowsEvent{})
	require.Len(t, h.answers, 2)
	require.Contains(t, h.answers, Response{Kind: Failed, MayRepeat: true, Reason: shutdownReason}, "it may have run, and its key may be repeated")
	h.accept("z", "c")
	require.Equal(t, Response{Kind: Refused, RetryAfter: 1000, Reason: shutdownReason}, h.answers[2])
	require.Len(t, h.started, sent)
	h.apply(outcomeEvent{Outcome{AttemptRef: h.started[0].AttemptRef, Result: balance.Full}})
	h.advance(6000)
	require.Len(t, h.answers, 3, "one final response each")
	require.Len(t, h.started, sent, "no further attempt is started")
}
