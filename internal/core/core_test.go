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

// bench is a core on a clock set by hand, with a transport that only writes down what it
// is asked to do. The core's goroutine is not started: events are applied one by one.
type bench struct {
	t       *testing.T
	clock   *clock.Manual
	core    *Core
	started []Attempt
	stopped []Attempt
	answers []Answer
	news    []Progress
}

func (b *bench) Start(a Attempt)     { b.started = append(b.started, a) }
func (b *bench) Cancel(a Attempt)    { b.stopped = append(b.stopped, a) }
func (b *bench) Probe(string)        {}
func (b *bench) Listed(Group)        {}
func (b *bench) Answer(a Answer)     { b.answers = append(b.answers, a) }
func (b *bench) Progress(p Progress) { b.news = append(b.news, p) }

func newBench(t *testing.T, targets int) *bench {
	b := &bench{t: t, clock: clock.NewManual(1.7e12)}
	s := balance.Settings{Fleet: 1, Zone: "a", Tick: 5 * time.Millisecond, MaxAttempts: 3, TellsStart: true, Cancel: true,
		AnswerSlack: 20 * time.Millisecond, ColdFrom: 0.3, ColdFor: 10 * time.Second, FallMultiple: 3, FallWindow: time.Second,
		Classes: []balance.Class{{Name: "c", Aim: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second, Worth: 1},
			{Name: "k", Effect: balance.Keyed, Scope: balance.ScopeCell, Window: 7500 * time.Millisecond, Aim: 200 * time.Millisecond,
				Stretch: 2, Deadline: 5 * time.Second, Worth: 1}}}
	known := Group{}
	for i := range targets {
		known.Targets = append(known.Targets, Target{Member: balance.Member{ID: string(rune('a' + i)), Zone: "a", Cell: string(rune('1' + i))}})
	}
	var err error
	b.core, err = New(Config{Settings: s, Seed: 1, Clock: b.clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Invariants: invariant.New(), ComeBack: 1000, MaxOpen: 5}, Source{Name: "test", Transport: b})
	require.NoError(t, err)
	known.Scope = balance.FromDisk
	b.do(listed{"test", known})
	return b
}

func (b *bench) do(e event) {
	e.apply(b.core)
	b.core.route()
}

func (b *bench) pass(ms float64) {
	b.clock.Advance(ms)
	for b.core.timers.due(b.clock.Now(), b.core.ring) {
		b.core.route()
	}
}

func (b *bench) take(id, class string) {
	b.do(takeIn{&Request{ID: id, Class: class, Patience: 5000, Slots: 1, From: b}, b.clock.Now()})
}

func TestOneFinalAnswerAndLateNewsIsDropped(t *testing.T) {
	b := newBench(t, 1)
	b.take("x", "c")
	require.Len(t, b.started, 1)
	b.do(news{TargetNews{ID: "x", From: "a", Result: balance.OK, Body: "first"}})
	b.do(news{TargetNews{ID: "x", From: "a", Result: balance.OK, Body: "second"}})
	b.do(ended{Outcome{Ref: b.started[0].Ref, Result: balance.Failed}})
	require.Equal(t, []Answer{{Kind: Served, Body: "first"}}, b.answers)
	require.Equal(t, map[string]int{"news of an attempt that is over": 1, "outcome of an attempt that is over": 1}, b.core.books.Dropped)
	require.Empty(t, b.core.flows)
	require.Empty(t, b.core.byID)
}

// A target's word about another's attempt, or about one that was sent elsewhere since, is not
// the flow's outcome: served by it, the client would get what the flow no longer stands for.
func TestNewsOfAnotherTargetIsNotHeard(t *testing.T) {
	b := newBench(t, 2)
	b.take("x", "c")
	other := map[string]string{"a": "b", "b": "a"}[b.started[0].Target]
	b.do(news{TargetNews{ID: "x", From: other, Result: balance.OK, Body: "no"}})
	require.Empty(t, b.answers)
}

func TestOneAttemptOutAtATime(t *testing.T) {
	b := newBench(t, 2)
	for i := range 300 { // jobs are known to be short, so that silence is soon judged
		b.take(fmt.Sprint(i), "c")
		a := b.started[len(b.started)-1]
		b.do(news{TargetNews{ID: a.ID, From: a.Target, Progress: &Progress{Started: true}}})
		b.pass(10)
		b.do(news{TargetNews{ID: a.ID, From: a.Target, Result: balance.OK}})
	}
	b.take("x", "c")
	began := len(b.started)
	for range 15 { // not started, and not a word from its target: the module withdraws it
		b.pass(10)
	}
	require.Len(t, b.stopped, 1)
	require.Len(t, b.started, began, "nothing follows until the target knows that it was given up")
	b.do(ended{Outcome{Ref: b.started[began-1].Ref, Result: balance.Cancelled}})
	b.pass(20)
	require.Len(t, b.started, began+1)
}

// What the rules forbid is not sent, whatever the module says.
func TestForbiddenSendsEndAtOnce(t *testing.T) {
	if invariantsPanic() {
		t.Skip("a debug build stops there")
	}
	b := newBench(t, 2)
	b.take("x", "c")
	b.core.act(&balance.Action{Kind: balance.Send, Request: 1, Worker: "a"})
	require.Len(t, b.started, 1)
	require.Equal(t, map[string]int{"two-attempts-out": 1}, b.core.inv.Counts())
	require.Equal(t, balance.NeverSent, b.core.steps[0].Result)
}

// A send whose time was over was never begun, so it is no reason to hold the flow back, nor to call it failed. Before, it
// counted as served: a class that is unsafe to repeat was not sent any more, and at the end its client not told that to try
// again is harmless.
func TestASendThatNeverBeganHasNotRun(t *testing.T) {
	b := newBench(t, 0)
	b.core.classes["k"].Effect = balance.Unsafe
	b.take("x", "k")
	f := b.core.flows[1]
	b.do(listed{"test", Group{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "a", Zone: "a", Cell: "1"}}}}})
	b.started, f.attempts, f.out = nil, nil, -1
	b.clock.Advance(5001)
	b.core.send(&balance.Action{Kind: balance.Send, Request: 1, Worker: "a"})
	require.Empty(t, b.started, "its client's time is over")
	require.Len(t, f.attempts, 1)
	require.False(t, b.core.mayHaveRun(&f.attempts[0]))
	require.True(t, math.IsInf(b.core.latest(f, 1), 1))
	b.core.steps = nil
	finishAll{}.apply(b.core)
	require.Equal(t, []Answer{{Kind: Refused, RetryAfter: 1000, Reason: ending}}, b.answers)
}

func invariantsPanic() (yes bool) {
	defer func() { yes = recover() != nil }()
	invariant.New().Check(false, "probe", "")
	return false
}

func TestRefusalIsAnsweredAtOnceAndSaysWhenToComeBack(t *testing.T) {
	b := newBench(t, 1)
	b.take("x", "k")
	for range 3 {
		b.do(ended{Outcome{Ref: b.started[len(b.started)-1].Ref, Result: balance.NoConnection}})
		b.pass(10)
	}
	require.Equal(t, []Answer{{Kind: Refused, RetryAfter: 1000, Reason: balance.AttemptsOver}}, b.answers)
}

func TestKeyedThatMayHaveRunIsNotRefused(t *testing.T) {
	b := newBench(t, 2)
	b.take("x", "k")
	b.do(ended{Outcome{Ref: b.started[0].Ref, Result: balance.Reset}})
	b.pass(10)
	for _, a := range b.started {
		require.Equal(t, b.started[0].Target, a.Target, "another pod")
	}
	b.pass(5000)
	require.Len(t, b.answers, 1)
	require.Equal(t, Failed, b.answers[0].Kind)
}

func TestAttemptEndsWithItsClientsPatience(t *testing.T) {
	b := newBench(t, 1)
	b.take("x", "c")
	b.do(news{TargetNews{ID: "x", From: "a", Progress: &Progress{Started: true}}})
	b.pass(4995)
	require.Len(t, b.answers, 1)
	require.NotEqual(t, Served, b.answers[0].Kind)
	b.pass(10)
	require.Len(t, b.stopped, 1)
	require.Empty(t, b.core.flows)
}

func TestAdmission(t *testing.T) {
	b := newBench(t, 0)
	body, err := buffer.NewPool().FromBytes([]byte("x"))
	require.NoError(t, err)
	b.take("x", "c")
	b.do(takeIn{&Request{ID: "x", Class: "c", Patience: 5000, From: b, Job: Job{Body: body}}, b.clock.Now()})
	require.Equal(t, []Answer{{Kind: Failed, Reason: idInUse}}, b.answers, "the id is in use")
	require.Zero(t, body.Len(), "its body was given back")
	for _, id := range []string{"2", "3", "4", "5", "6"} {
		b.take(id, "c")
	}
	require.Equal(t, Answer{Kind: Refused, RetryAfter: 1000, Reason: tooManyOpen}, b.answers[1], "too many are open")
	b.take("7", "dance")
	require.Len(t, b.answers, 3)
	b.do(left{&Request{ID: "x", From: b}})
	require.Equal(t, 1, b.core.books.Left)
	require.Len(t, b.answers, 3, "who left gets no answer")
}

// A source that tells its whole list says nothing of the other source's targets.
func TestWholeListKeepsOtherSources(t *testing.T) {
	b := newBench(t, 1)
	b.core.sources["second"] = &source{Source: Source{Name: "second", Transport: b}, members: map[string]Target{}}
	b.do(listed{"second", Group{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "z", Zone: "a"}}}}})
	b.do(listed{"test", Group{Scope: balance.Whole}})
	b.take("x", "c")
	require.Equal(t, "z", b.started[0].Target)
}

func TestRunEndsAndTellsWhenIdle(t *testing.T) {
	b := newBench(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { b.core.Run(ctx); close(done) }()
	b.core.TakeIn(&Request{ID: "x", Class: "c", Patience: 5000, Slots: 1, From: b})
	idle := b.core.Idle()
	require.Equal(t, 1, b.core.Books().Open)
	b.core.News(TargetNews{ID: "x", From: "a", Result: balance.OK})
	<-idle
	cancel()
	<-done
	b.core.TakeIn(&Request{ID: "y"}) // nobody listens, and nothing blocks
}

// What one scheduler judges for all holds here, and what this one takes out of its draw is told.
func TestVerdictsHoldAndDoubtsAreTold(t *testing.T) {
	b := newBench(t, 2)
	b.do(judged{"a", 1000})
	for i := range 20 {
		b.take(fmt.Sprint(i), "c")
		a := b.started[len(b.started)-1]
		require.Equal(t, "b", a.Target)
		b.do(news{TargetNews{ID: a.ID, From: "b", Result: balance.OK}})
	}
	var told []string
	b.core.cfg.Doubt = func(target string, failing bool) { told = append(told, fmt.Sprint(target, failing)) }
	b.core.act(&balance.Action{Kind: balance.Doubt, Worker: "a", Failing: true})
	require.Equal(t, []string{"atrue"}, told)
	var probed []string
	b.core.cfg.Probed = func(target string, answered bool) { probed = append(probed, fmt.Sprint(target, answered)) }
	b.do(probeOf("a", balance.OK))
	b.do(probeOf("b", balance.TimedOut))
	require.Equal(t, []string{"atrue", "bfalse"}, probed)
}

func probeOf(target string, res balance.Result) event {
	return probed{ProbeResult{Target: target, Result: res}}
}

// Tenants' requests are counted once: later tries, which come with less patience, are not.
func TestFirstTriesAreCounted(t *testing.T) {
	b := newBench(t, 1)
	asked := map[string]int{}
	b.core.cfg.Asked = func(tenant string) { asked[tenant]++ }
	ask := func(id, class string, patience float64, first, repeat bool) {
		b.do(takeIn{&Request{ID: id, Class: class, Tenant: "t", Patience: patience, Slots: 1, First: first, Repeat: repeat, From: b}, b.clock.Now()})
	}
	ask("a", "c", 5000, false, false)
	ask("b", "c", 4000, false, false)
	ask("c", "c", 4999, false, false)
	require.Equal(t, 2, asked["t"])
	ask("d", "c", 3000, true, false)
	ask("e", "c", 5000, false, true)
	require.Equal(t, 3, asked["t"])
	ask("f", "no such class", 9000, false, false)
	require.Equal(t, 3, asked["t"])
	require.NotContains(t, b.core.longest, "no such class", "what clients say does not fill tables")
}

// Rules that the schedulers agreed on go over the list, and lapse into their strict form at the core's own look
// at the clock, whether or not anybody tells it.
func TestRulesHoldUntilTheirTime(t *testing.T) {
	b := newBench(t, 2)
	drain := func(ids ...string) Rules {
		r := Rules{Cold: 1, Targets: map[string]bool{}, ComeBack: map[string]float64{"c": 70}}
		for _, id := range ids {
			r.Targets[id] = true
		}
		return r
	}
	to := func() (out []string) {
		n := len(b.started)
		b.take(fmt.Sprint("r", n), "c")
		require.Len(t, b.started, n+1)
		at := b.started[n]
		b.do(news{TargetNews{ID: at.ID, From: at.Target, Result: balance.OK, Body: "x"}})
		return []string{at.Target}
	}
	b.do(ruled{drain("a"), b.clock.Now() + 1000, drain("b")})
	for range 5 {
		require.Equal(t, []string{"b"}, to())
	}
	// Discovery's word of a drained target does not bring it back.
	b.do(listed{"test", Group{Scope: balance.Changes, Targets: []Target{{Member: balance.Member{ID: "a", Zone: "a", Cell: "1"}}}}})
	require.Equal(t, []string{"b"}, to())
	b.clock.Advance(1001)
	for range 5 {
		require.Equal(t, []string{"a"}, to(), "the strict form, from its time on")
	}
	b.do(ruled{Rules{Cold: 1, Zones: map[string]bool{"a": true}, ComeBack: map[string]float64{"c": 70}}, b.clock.Now() + 1000, drain()})
	n := len(b.started)
	b.take("x", "c")
	require.Len(t, b.started, n, "all of the zone is drained")
	b.pass(1100)
	require.Len(t, b.started, n+1, "and gets work again")
	require.Equal(t, 70.0, b.core.comeBack(b.core.byID["x"].number))
	require.Equal(t, 1000.0, b.core.comeBack(999))
}

// The program gives its last answers; a request that was read just before comes in after them. Nobody would be left to
// answer it, so it is refused at once and goes nowhere.
func TestWhatComesAfterTheLastAnswersIsRefused(t *testing.T) {
	b := newBench(t, 1)
	b.take("x", "k")
	b.take("y", "c")
	sent := len(b.started)
	b.do(finishAll{})
	require.Len(t, b.answers, 2)
	require.Contains(t, b.answers, Answer{Kind: Failed, Reason: ending}, "it may have run")
	b.take("z", "c")
	require.Equal(t, Answer{Kind: Refused, RetryAfter: 1000, Reason: ending}, b.answers[2])
	require.Len(t, b.started, sent)
	b.do(ended{Outcome{Ref: b.started[0].Ref, Result: balance.Full}})
	b.pass(6000)
	require.Len(t, b.answers, 3, "one answer each")
	require.Len(t, b.started, sent, "and nothing goes out any more")
}
