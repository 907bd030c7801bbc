package balance

import (
	"slices"
	"testing"
	"time"
)

// asker is a dispatcher that asks for its list, at its start.
func asker(t *testing.T, seed uint64, within time.Duration) (*Balancer, *Action) {
	s := base()
	s.Subscribe, s.AskWithin = true, within
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return b, find(b.Step(time.Hour, &Event{Kind: Listed, List: FromDisk}, nil), Subscribe)
}

// The list is asked for again after an error, and never while an answer is owed: soon after a watch that was open, and
// after a call that failed when others will have had their answers. The settings count a dispatcher whose call failed
// as told of nothing new for four times AskWithin; it stays within half of that.
func TestAsksAgainAfterError(t *testing.T) {
	b, asks := asker(t, 3, 2*time.Second)
	if asks == nil {
		t.Fatal("not asked at the start")
	}
	now := time.Hour
	fails := func() time.Duration {
		t.Helper()
		acts := b.Step(now, &Event{Kind: Listed, List: AskFailed}, nil)
		w := find(acts, Wake)
		if w == nil || find(acts, Subscribe) != nil {
			t.Fatalf("want a wait before asking again: %+v", acts)
		}
		now += w.After
		if find(b.Step(now, &Event{Kind: TimerDue, Timer: w.Timer}, nil), Subscribe) == nil {
			t.Fatal("not asked again")
		}
		return w.After
	}
	for n := range 40 {
		if wait := fails(); wait < 2*time.Second || wait > 4*time.Second {
			t.Errorf("failure %d: waits %v, want 2 s to 4 s", n+1, wait)
		}
	}
	b.Step(now, &Event{Kind: Listed, List: Changes}, nil)
	if wait := fails(); wait > 300*time.Millisecond {
		t.Errorf("waits %v after a watch that broke", wait)
	}
	if wait := fails(); wait < 2*time.Second {
		t.Errorf("no backoff: waits %v after a watch that broke and a call that failed", wait)
	}
}

// Failure (the release of the large fleet): discovery takes calls in turn and throws away work on those that waited too
// long. Dispatchers that call again sooner than it can answer all of them keep it busy with calls that fail, for good.
// What a dispatcher does to its list by itself is no answer of discovery.
func TestFailedCallsAreSpread(t *testing.T) {
	const fleet, answers = 300, 55 // a second, each after up to 2 s
	calls := make([]int, 100)
	for seed := range uint64(fleet) {
		b, _ := asker(t, seed, 10*time.Second)
		for at := time.Duration(0); at < 100*time.Second; {
			calls[int(at.Seconds())]++
			b.Step(time.Hour+at, &Event{Kind: Listed, List: Changes, Local: true}, nil)
			at += 2 * time.Second
			at += find(b.Step(time.Hour+at, &Event{Kind: Listed, List: AskFailed}, nil), Wake).After
		}
	}
	for second, n := range calls[5:] {
		if n > answers*3/2 {
			t.Errorf("%d calls in second %d", n, second+5)
		}
	}
	total := 0
	for _, n := range calls[5:] {
		total += n
	}
	if mean := float64(total) / 95; mean > answers {
		t.Errorf("%.0f calls a second, more than the %d that are answered", mean, answers)
	}
}

// Calls that fail are repeated the more slowly the more of them fail, in a large fleet: discovery may answer few. Word
// that it has answered another dispatcher has this one call soon, once; a call that fails after that is repeated slowly again.
func TestCallsOfALargeFleet(t *testing.T) {
	s := base()
	s.Subscribe, s.AskWithin, s.Fleet, s.Peers = true, 100*time.Second, 300, true
	b, err := New(s, 3)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	wake := func(kind EventKind) time.Duration {
		w := find(b.Step(now, &Event{Kind: kind, List: AskFailed}, nil), Wake)
		if w == nil {
			return 0
		}
		return w.After
	}
	call := func(wait time.Duration) {
		t.Helper()
		if now += wait; find(b.Step(now, &Event{Kind: TimerDue, Timer: discoveryTimer}, nil), Subscribe) == nil {
			t.Fatal("not asked")
		}
	}
	b.Step(now, &Event{Kind: Listed, List: FromDisk}, nil)
	for n, mean := range []time.Duration{4, 8, 16, 30, 30} {
		mean *= time.Second
		wait := wake(Listed)
		if wait < mean/2 || wait > mean*3/2 {
			t.Fatalf("failure %d: waits %v, want about %v", n+1, wait, mean)
		}
		call(wait)
	}
	wake(Listed)
	soon := wake(Answered)
	if soon <= 0 || soon > 6*time.Second {
		t.Fatalf("waits %v after another was answered", soon)
	}
	if again := wake(Answered); again != 0 {
		t.Fatalf("told twice, waits %v", again)
	}
	call(soon)
	wait := wake(Listed)
	if wait < 2*time.Second || wake(Answered) != 0 {
		t.Fatalf("waits %v after that call failed, too", wait)
	}
}

// Where dispatchers may not talk each has to be answered by itself: the first calls of many that start at once are spread, and
// those that fail are repeated at one pace, however many did.
func TestCallsOfAFleetThatMayNotTalk(t *testing.T) {
	s := base()
	s.Subscribe, s.AskWithin, s.Fleet = true, 100*time.Second, 300
	var first []time.Duration
	for seed := range uint64(100) {
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		acts := b.Step(time.Hour, &Event{Kind: Listed, List: FromDisk}, nil)
		wake := find(acts, Wake)
		if wake == nil || find(acts, Subscribe) != nil {
			t.Fatalf("want a wait before the first call: %+v", acts)
		}
		first = append(first, wake.After)
		now := time.Hour + wake.After
		for n := range 5 {
			if find(b.Step(now, &Event{Kind: TimerDue, Timer: wake.Timer}, nil), Subscribe) == nil {
				t.Fatal("not asked")
			}
			wake = find(b.Step(now, &Event{Kind: Listed, List: AskFailed}, nil), Wake)
			if wake.After < 2*time.Second || wake.After > 6*time.Second {
				t.Fatalf("failure %d: waits %v", n+1, wake.After)
			}
			now += wake.After
		}
	}
	slices.Sort(first)
	if first[10] > time.Second || first[50] < time.Second || first[50] > 2*time.Second || first[99] > 3*time.Second {
		t.Fatalf("first calls after %v", first)
	}
}

// A call that was put forward is not made again by the timer that was set for it first.
func TestTimerOfACallThatWasPutForward(t *testing.T) {
	s := base()
	s.Subscribe, s.AskWithin, s.Fleet, s.Peers = true, 100*time.Second, 300, true
	b, err := New(s, 3)
	if err != nil {
		t.Fatal(err)
	}
	asked := func(at time.Duration) bool {
		return find(b.Step(at, &Event{Kind: TimerDue, Timer: discoveryTimer}, nil), Subscribe) != nil
	}
	fails := func(at time.Duration) time.Duration {
		return at + find(b.Step(at, &Event{Kind: Listed, List: AskFailed}, nil), Wake).After
	}
	b.Step(0, &Event{Kind: Listed, List: FromDisk}, nil)
	first := fails(0)
	if !asked(first) {
		t.Fatal("not asked")
	}
	late := fails(first)
	soon := first + find(b.Step(first, &Event{Kind: Answered}, nil), Wake).After
	if !asked(soon) {
		t.Fatal("not asked sooner")
	}
	next := fails(late - time.Millisecond)
	if asked(late) || !asked(next) {
		t.Fatal("asked by the timer that no longer counts")
	}
}

// Where asking is bounded by no time, as an agent on this machine costs nothing to ask, it is asked again soon however
// often it was silent: what it has counts from the moment of its return.
func TestAsksAnAgentAgainSoon(t *testing.T) {
	s := base()
	s.Subscribe, s.AskWithin = true, 0
	b, err := New(s, 3)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(time.Hour, &Event{Kind: Listed, List: FromDisk}, nil)
	for n := range 9 {
		w := find(b.Step(time.Hour, &Event{Kind: Listed, List: AskFailed}, nil), Wake)
		if w == nil || w.After <= 0 || w.After > time.Second/10 {
			t.Fatalf("failure %d: asked again %+v", n+1, w)
		}
		b.Step(time.Hour, &Event{Kind: TimerDue, Timer: w.Timer}, nil)
	}
}
