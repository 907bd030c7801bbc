package balance

import (
	"slices"
	"testing"
	"time"
)

// newSubscriber returns a dispatcher that queries discovery for its list, and its first query. The query is nil if it
// sent none at its start.
func newSubscriber(t *testing.T, seed uint64, maxQueryInterval time.Duration) (*Balancer, *Action) {
	s := baseSettings()
	s.Subscribe, s.MaxQueryInterval = true, maxQueryInterval
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return b, findAction(b.Step(time.Hour, &Event{Kind: Listed, List: FromDisk}, nil), Subscribe)
}

// A dispatcher queries again after an error, but never while a query is outstanding. After an open watch ended it
// queries soon. After a failed query it waits until the others are likely to have their responses.
//
// The rules allow a dispatcher whose query failed to be without new information for four times MaxQueryInterval. The wait
// stays within half of that.
func TestAsksAgainAfterError(t *testing.T) {
	b, query := newSubscriber(t, 3, 2*time.Second)
	if query == nil {
		t.Fatal("no query at the start")
	}
	now := time.Hour
	failQuery := func() time.Duration {
		t.Helper()
		acts := b.Step(now, &Event{Kind: Listed, List: RequestFailed}, nil)
		w := findAction(acts, Wake)
		if w == nil || findAction(acts, Subscribe) != nil {
			t.Fatalf("want a wait before the next query: %+v", acts)
		}
		now += w.After
		if findAction(b.Step(now, &Event{Kind: TimerDue, Timer: w.Timer}, nil), Subscribe) == nil {
			t.Fatal("no second query")
		}
		return w.After
	}
	for n := range 40 {
		if wait := failQuery(); wait < 2*time.Second || wait > 4*time.Second {
			t.Errorf("failure %d: waits %v, want 2 s to 4 s", n+1, wait)
		}
	}
	b.Step(now, &Event{Kind: Listed, List: Changes}, nil)
	if wait := failQuery(); wait > 300*time.Millisecond {
		t.Errorf("waits %v after a watch ended", wait)
	}
	if wait := failQuery(); wait < 2*time.Second {
		t.Errorf("no backoff: waits %v after a watch ended and a query failed", wait)
	}
}

// Failure: in a large fleet, discovery processed queries one after the other and discarded the work on those that had
// waited too long. Dispatchers that queried again sooner than it could respond to all of them kept it permanently
// busy with queries that failed.
//
// A list change that a dispatcher makes itself (Local) is no response of discovery.
func TestFailedCallsAreSpread(t *testing.T) {
	const fleetSize, responses = 300, 55 // dispatchers; responses a second, each after up to 2 s
	queries := make([]int, 100)
	for seed := range uint64(fleetSize) {
		b, _ := newSubscriber(t, seed, 10*time.Second)
		for at := time.Duration(0); at < 100*time.Second; {
			queries[int(at.Seconds())]++
			b.Step(time.Hour+at, &Event{Kind: Listed, List: Changes, Local: true}, nil)
			at += 2 * time.Second
			at += findAction(b.Step(time.Hour+at, &Event{Kind: Listed, List: RequestFailed}, nil), Wake).After
		}
	}
	for second, n := range queries[5:] {
		if n > responses*3/2 {
			t.Errorf("%d queries in second %d", n, second+5)
		}
	}
	total := 0
	for _, n := range queries[5:] {
		total += n
	}
	if mean := float64(total) / 95; mean > responses {
		t.Errorf("%.0f queries a second, more than the %d that get a response", mean, responses)
	}
}

// In a large fleet the wait after a failed query grows with the number of failures, as discovery may respond to few
// dispatchers. A message that it responded to another dispatcher brings the next query forward, once. After a further
// failure the wait is long again.
func TestCallsOfALargeFleet(t *testing.T) {
	s := baseSettings()
	s.Subscribe, s.MaxQueryInterval, s.Fleet, s.Peers = true, 100*time.Second, 300, true
	b, err := New(s, 3)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	wake := func(kind EventKind) time.Duration {
		w := findAction(b.Step(now, &Event{Kind: kind, List: RequestFailed}, nil), Wake)
		if w == nil {
			return 0
		}
		return w.After
	}
	query := func(wait time.Duration) {
		t.Helper()
		if now += wait; findAction(b.Step(now, &Event{Kind: TimerDue, Timer: discoveryTimer}, nil), Subscribe) == nil {
			t.Fatal("no query")
		}
	}
	b.Step(now, &Event{Kind: Listed, List: FromDisk}, nil)
	for n, mean := range []time.Duration{4, 8, 16, 30, 30} {
		mean *= time.Second
		wait := wake(Listed)
		if wait < mean/2 || wait > mean*3/2 {
			t.Fatalf("failure %d: waits %v, want about %v", n+1, wait, mean)
		}
		query(wait)
	}
	wake(Listed)
	hinted := wake(PeerGotList)
	if hinted <= 0 || hinted > 6*time.Second {
		t.Fatalf("waits %v after discovery responded to another dispatcher", hinted)
	}
	if again := wake(PeerGotList); again != 0 {
		t.Fatalf("waits %v after a second message", again)
	}
	query(hinted)
	wait := wake(Listed)
	if wait < 2*time.Second || wake(PeerGotList) != 0 {
		t.Fatalf("waits %v after that query failed, too", wait)
	}
}

// Isolated dispatchers each need their own response. The first queries of many dispatchers that start at once are
// spread. The wait after a failed query does not grow with the number of failures.
func TestQueriesOfAnIsolatedFleet(t *testing.T) {
	s := baseSettings()
	s.Subscribe, s.MaxQueryInterval, s.Fleet = true, 100*time.Second, 300
	var first []time.Duration
	for seed := range uint64(100) {
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		acts := b.Step(time.Hour, &Event{Kind: Listed, List: FromDisk}, nil)
		wake := findAction(acts, Wake)
		if wake == nil || findAction(acts, Subscribe) != nil {
			t.Fatalf("want a wait before the first query: %+v", acts)
		}
		first = append(first, wake.After)
		now := time.Hour + wake.After
		for n := range 5 {
			if findAction(b.Step(now, &Event{Kind: TimerDue, Timer: wake.Timer}, nil), Subscribe) == nil {
				t.Fatal("no query")
			}
			wake = findAction(b.Step(now, &Event{Kind: Listed, List: RequestFailed}, nil), Wake)
			if wake.After < 2*time.Second || wake.After > 6*time.Second {
				t.Fatalf("failure %d: waits %v", n+1, wake.After)
			}
			now += wake.After
		}
	}
	slices.Sort(first)
	if first[10] > time.Second || first[50] < time.Second || first[50] > 2*time.Second || first[99] > 3*time.Second {
		t.Fatalf("first queries after %v", first)
	}
}

// A query that was brought forward is not sent again by the timer that was set for it first.
func TestObsoleteQueryTimer(t *testing.T) {
	s := baseSettings()
	s.Subscribe, s.MaxQueryInterval, s.Fleet, s.Peers = true, 100*time.Second, 300, true
	b, err := New(s, 3)
	if err != nil {
		t.Fatal(err)
	}
	queried := func(at time.Duration) bool {
		return findAction(b.Step(at, &Event{Kind: TimerDue, Timer: discoveryTimer}, nil), Subscribe) != nil
	}
	failQuery := func(at time.Duration) time.Duration {
		return at + findAction(b.Step(at, &Event{Kind: Listed, List: RequestFailed}, nil), Wake).After
	}
	b.Step(0, &Event{Kind: Listed, List: FromDisk}, nil)
	first := failQuery(0)
	if !queried(first) {
		t.Fatal("no query")
	}
	obsolete := failQuery(first)
	hinted := first + findAction(b.Step(first, &Event{Kind: PeerGotList}, nil), Wake).After
	if !queried(hinted) {
		t.Fatal("the query was not brought forward")
	}
	next := failQuery(obsolete - time.Millisecond)
	if queried(obsolete) || !queried(next) {
		t.Fatal("query sent by an obsolete timer, or not sent by the current one")
	}
}

// If MaxQueryInterval is 0, discovery is an agent on this machine and a query costs nothing. The dispatcher then queries
// again soon however often the agent did not respond, as the list counts from the moment of the agent's return.
func TestAsksAnAgentAgainSoon(t *testing.T) {
	s := baseSettings()
	s.Subscribe, s.MaxQueryInterval = true, 0
	b, err := New(s, 3)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(time.Hour, &Event{Kind: Listed, List: FromDisk}, nil)
	for n := range 9 {
		w := findAction(b.Step(time.Hour, &Event{Kind: Listed, List: RequestFailed}, nil), Wake)
		if w == nil || w.After <= 0 || w.After > time.Second/10 {
			t.Fatalf("failure %d: next query %+v", n+1, w)
		}
		b.Step(time.Hour, &Event{Kind: TimerDue, Timer: w.Timer}, nil)
	}
}
