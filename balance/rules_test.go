package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// The tests in this file feed random legal sequences of events and check the actions against the seven rules
// only. The checker shares no code and no state with the package.

const ms = time.Millisecond

// observedAttempt is an attempt as the checker sees it.
type observedAttempt struct {
	worker    string
	sentAt    time.Duration
	startedAt time.Duration // sentAt until the start is reported
	endedAt   time.Duration
	inFlight  bool
	result    Result
}

// observedRequest is a request as the checker sees it.
type observedRequest struct {
	class    Class
	slots    float64
	deadline time.Duration
	attempts []observedAttempt
	done     bool
	key      string
}

// observedSend is the start of an attempt at a cold worker.
type observedSend struct {
	at          time.Duration
	workSeconds float64
}

// observedWorker is a worker as the lists show it.
type observedWorker struct {
	Member
	notReady      bool // a list showed it as draining or gone
	notReadySince time.Duration
	listed        bool
	sends         []observedSend // since its last start, while cold
}

// ruleChecker follows events and actions and collects violations of the rules.
type ruleChecker struct {
	settings        Settings
	runSeconds      map[string]float64 // by class: run time of a job
	slots           float64            // of each worker
	requests        map[uint64]*observedRequest
	openIDs         []uint64 // requests that are not done, in order of arrival
	workers         map[string]*observedWorker
	keyOrder        map[string][]*observedRequest // by key, in order of arrival
	arrivals        []time.Duration               // since the last restart
	furtherAttempts []time.Duration               // attempts beyond the first
	timers          []dueTimer
	violations      []string
}

type dueTimer struct {
	at    time.Duration
	timer uint64
}

// report records a violation.
func (c *ruleChecker) report(now time.Duration, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", now)+fmt.Sprintf(format, args...))
}

// checkActions checks the actions of one step and records what they do.
func (c *ruleChecker) checkActions(now time.Duration, acts []Action) {
	for i := range acts {
		a := &acts[i]
		r := c.requests[a.Request]
		switch a.Kind {
		case Send, Refuse, Fail, Cancel:
			if r == nil {
				c.report(now, "action %d for an unknown request", a.Kind)
				continue
			}
		}
		if hasReason := a.Reason != ""; hasReason != (a.Kind == Refuse || a.Kind == Fail || a.Kind == Cancel) {
			c.report(now, "action %d with the reason %q", a.Kind, a.Reason)
		}
		switch a.Kind {
		case Send:
			c.checkSend(now, r, a)
		case Refuse:
			if r.class.Effect == Unsafe && c.firstMayHaveRun(r) >= 0 {
				c.report(now, "rule 2: refused an unsafe request that may have run")
			}
			if r.class.Effect == Keyed && r.class.Scope != ScopeAll && c.firstMayHaveRun(r) >= 0 {
				c.report(now, "rule 2: refused a keyed request of a limited scope that may have run")
			}
			c.checkFinal(now, r)
		case Fail:
			c.checkFinal(now, r)
		case Cancel:
			if !c.settings.Cancel || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
				c.report(now, "a cancel that is not allowed")
			}
		case Probe:
			if !c.settings.Probes || c.workers[a.Worker] == nil {
				c.report(now, "a probe that is not allowed")
			}
		case Wake:
			if a.After < 0 || a.After > 71*time.Minute {
				c.report(now, "a timer after %v", a.After)
			}
			c.timers = append(c.timers, dueTimer{now + a.After.Truncate(time.Microsecond), a.Timer})
		case Subscribe:
			if !c.settings.Subscribe {
				c.report(now, "query for a list that arrives without queries")
			}
		}
	}
}

// checkFinal checks that a final response is the only one of its request.
func (c *ruleChecker) checkFinal(now time.Duration, r *observedRequest) {
	if r.done {
		c.report(now, "rule 1: a second final response")
	}
	r.done = true
}

// firstMayHaveRun returns the index of the first attempt that may have run, or -1.
func (c *ruleChecker) firstMayHaveRun(r *observedRequest) int {
	return slices.IndexFunc(r.attempts, func(a observedAttempt) bool {
		return a.inFlight || (a.result != Full || c.settings.FullMayHaveRun) && a.result != NoConnection && a.result != NeverSent
	})
}

// checkSend checks a new attempt against the rules and records it.
func (c *ruleChecker) checkSend(now time.Duration, r *observedRequest, a *Action) {
	w := c.workers[a.Worker]
	switch {
	case w == nil || !w.listed:
		c.report(now, "sent to a worker that is in no list")
		return
	case r.done:
		c.report(now, "rule 1: sent after the final response")
	case now > r.deadline:
		c.report(now, "rule 1: sent after the deadline")
	case len(r.attempts) >= c.settings.MaxAttempts:
		c.report(now, "too many attempts")
	case w.notReady && now > w.notReadySince+c.settings.DrainGrace:
		c.report(now, "rule 3: sent to a worker known to drain for %v", now-w.notReadySince)
	}
	if slices.ContainsFunc(r.attempts, func(x observedAttempt) bool { return x.inFlight }) && !c.settings.Duplicates {
		c.report(now, "rule 2: two attempts at once")
	}
	if i := c.firstMayHaveRun(r); i >= 0 && r.class.Effect != Safe {
		first := r.attempts[i]
		firstWorker := c.workers[first.worker]
		switch {
		case r.class.Effect == Unsafe:
			c.report(now, "rule 2: an unsafe request sent again")
		case now-first.sentAt > r.class.Window:
			c.report(now, "rule 2: a keyed request sent again after its window")
		case r.class.Scope == ScopeZone && firstWorker.Zone != w.Zone, r.class.Scope == ScopeCell && firstWorker.Cell != w.Cell:
			c.report(now, "rule 2: a keyed request sent outside its group")
		}
	}
	c.checkKeyOrder(now, r)
	if len(r.attempts) > 0 {
		c.checkAttemptBudget(now)
	}
	r.attempts = append(r.attempts, observedAttempt{worker: w.ID, sentAt: now, startedAt: now, inFlight: true})
	if w.Started > 0 && now < w.Started+c.settings.ColdFor {
		w.sends = append(w.sends, observedSend{now, c.runSeconds[r.class.Name] * r.slots})
		c.checkColdBudget(now, w)
	}
}

// checkKeyOrder checks that every earlier request of the key is done, with no attempt in flight or possibly running.
func (c *ruleChecker) checkKeyOrder(now time.Duration, r *observedRequest) {
	for _, earlier := range c.keyOrder[r.key] {
		if earlier == r || r.key == "" || !r.class.InOrder {
			return
		}
		if !earlier.done {
			c.report(now, "rule 5: sent while an earlier request of its key is not done")
		}
		for _, a := range earlier.attempts {
			doubtful := a.result == TimedOut || a.result == Reset || a.result == Cancelled
			if a.inFlight || doubtful && now < a.endedAt+c.settings.KeyPause {
				c.report(now, "rule 5: sent while an attempt of its key is in flight or may still run")
			}
		}
	}
}

// checkAttemptBudget checks a further attempt at the time now against the budget.
func (c *ruleChecker) checkAttemptBudget(now time.Duration) {
	c.furtherAttempts = append(c.furtherAttempts, now)
	count := func(ts []time.Duration) (further float64) {
		for _, at := range ts {
			if at >= now-c.settings.RetryBudgetWindow {
				further++
			}
		}
		return further
	}
	further, accepted := count(c.furtherAttempts), count(c.arrivals)
	if c.settings.RetryBudgetWindow > 0 && further > c.settings.RetryBudgetFree+c.settings.RetryBudgetRatio*accepted {
		c.report(now, "rule 6: %v further attempts within %v, for %v requests", further, c.settings.RetryBudgetWindow, accepted)
	}
}

// checkColdBudget checks that this dispatcher on its own stays within a cold worker's budget over the window that
// ends now. TestFleetStaysWithinColdBudgets checks the same for a whole fleet.
func (c *ruleChecker) checkColdBudget(now time.Duration, w *observedWorker) {
	sum := 0.0
	for _, s := range w.sends {
		if s.at > now-c.settings.CollapseWindow {
			sum += s.workSeconds
		}
	}
	warm := c.settings.ColdFrom + (1-c.settings.ColdFrom)*(now-w.Started).Seconds()/c.settings.ColdFor.Seconds()
	if budget := c.settings.CollapseMultiple * c.slots * warm * c.settings.CollapseWindow.Seconds(); sum > budget+1e-9 {
		c.report(now, "rule 4: %.3f s of work sent to a cold worker with a budget of %.3f s", sum, budget)
	}
}

// checkDeadlines reports requests without a final response at their deadline.
func (c *ruleChecker) checkDeadlines(now time.Duration) {
	c.openIDs = slices.DeleteFunc(c.openIDs, func(id uint64) bool { return c.requests[id].done })
	for _, id := range c.openIDs {
		if r := c.requests[id]; now > r.deadline+c.settings.ResponseSlack {
			c.report(now, "rule 1: no final response by %v", r.deadline)
			r.done = true
		}
	}
}

// simulation delivers one random sequence of events.
type simulation struct {
	rng      *rand.Rand
	checker  *ruleChecker
	balancer *Balancer
	now      time.Duration
	nextID   uint64
	inFlight []attemptRef
	seed     uint64
}

// attemptRef names an attempt in flight.
type attemptRef struct {
	id      uint64
	attempt int
	slots   float64
}

// randomSettings returns valid random settings.
func randomSettings(rng *rand.Rand) Settings {
	s := Settings{Self: 0, Fleet: 1 + rng.IntN(5), Zone: "z0", Tick: time.Duration(1+rng.IntN(5)) * ms,
		ReportsFree: rng.IntN(3) > 0, ReportsStart: rng.IntN(2) == 0, Subscribe: rng.IntN(2) == 0,
		MaxAttempts: 1 + rng.IntN(5), Duplicates: rng.IntN(2) == 0, Cancel: rng.IntN(3) > 0,
		Probes: rng.IntN(2) == 0, MaxRetryAfter: time.Second,
		ResponseSlack: 20 * ms, MaxQueryInterval: 10 * time.Second, ColdFrom: 0.1 + 0.5*rng.Float64(),
		ColdFor: time.Duration(2+rng.IntN(20)) * time.Second, DrainGrace: time.Duration(rng.IntN(2000)) * ms,
		CollapseMultiple: 2 + 2*rng.Float64(), CollapseWindow: time.Duration(1+rng.IntN(3)) * time.Second,
		ByWork: rng.IntN(2) == 0, Goal: Goal{Whole: 0.7, WorstClass: 0.3}, Prices: Prices{CrossZone: 0.02}}
	if rng.IntN(4) == 0 {
		s.Fleet, s.Self = 300, rng.IntN(300)
	}
	if rng.IntN(2) == 0 {
		s.ProgressEvery = time.Second
	}
	s.FullMayHaveRun, s.ClientsMarkRetries = rng.IntN(3) == 0, rng.IntN(2) == 0
	if rng.IntN(3) == 0 {
		s.RetryBudgetFree, s.RetryBudgetRatio, s.RetryBudgetWindow = float64(rng.IntN(4)), 0.3*rng.Float64(), time.Duration(1+rng.IntN(3))*time.Second
	}
	ordered := rng.IntN(2) == 0
	s.KeyPause = time.Duration(rng.IntN(3)*50) * ms
	for i := range 4 {
		c := Class{Name: fmt.Sprintf("c%d", i), Effect: Effect(i % 3), Scope: Scope(rng.IntN(3)),
			Window: time.Duration(500+rng.IntN(4000)) * ms, LatencyTarget: time.Duration(100+rng.IntN(400)) * ms,
			Stretch: 1 + rng.Float64(), Deadline: time.Duration(1+rng.IntN(8)) * time.Second, Value: 1 + rng.Float64()*8}
		if rng.IntN(4) == 0 {
			c.LateShare = 0.5
		}
		c.InOrder = ordered && rng.IntN(2) == 0
		s.Classes = append(s.Classes, c)
	}
	return s
}

// newSimulation returns a simulation with random settings and workers.
func newSimulation(t *testing.T, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := randomSettings(rng)
	sim := &simulation{rng: rng, seed: seed, now: time.Duration(rng.IntN(1000)) * time.Hour, nextID: 1}
	sim.checker = &ruleChecker{settings: settings, runSeconds: map[string]float64{}, slots: float64(2 + rng.IntN(4)), requests: map[uint64]*observedRequest{},
		workers: map[string]*observedWorker{}}
	for _, c := range settings.Classes {
		sim.checker.runSeconds[c.Name] = c.LatencyTarget.Seconds() * (0.5 + rng.Float64())
	}
	for i := range 3 + rng.IntN(8) {
		m := Member{ID: fmt.Sprintf("w%02d", i), Zone: fmt.Sprintf("z%d", i%3), Cell: fmt.Sprint(i % 4), Weight: 1}
		sim.checker.workers[m.ID] = &observedWorker{Member: m}
	}
	sim.restart(t)
	return sim
}

// restart replaces the dispatcher by a new one without state. Requests of the old one are void.
func (s *simulation) restart(t *testing.T) {
	b, err := New(s.checker.settings, s.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	s.balancer, s.inFlight, s.checker.timers, s.checker.openIDs = b, nil, nil, nil
	s.checker.requests, s.checker.keyOrder = map[uint64]*observedRequest{}, map[string][]*observedRequest{}
	s.checker.arrivals, s.checker.furtherAttempts = nil, nil
	s.sendList(FromDisk)
}

// step delivers an event, checks the actions and records new attempts.
func (s *simulation) step(ev Event) {
	s.checker.checkActions(s.now, s.balancer.Step(s.now, &ev, nil))
	for id, r := range s.checker.requests { // record new attempts, to end them later; sorted below
		for i := range r.attempts {
			if r.attempts[i].inFlight && !slices.ContainsFunc(s.inFlight, func(o attemptRef) bool { return o.id == id && o.attempt == i }) {
				s.inFlight = append(s.inFlight, attemptRef{id: id, attempt: i, slots: r.slots})
			}
		}
	}
	slices.SortFunc(s.inFlight, func(x, y attemptRef) int {
		if x.id != y.id {
			return int(x.id) - int(y.id)
		}
		return x.attempt - y.attempt
	})
}

// sortedWorkers returns the workers, sorted by ID.
func (s *simulation) sortedWorkers() []*observedWorker {
	var ws []*observedWorker
	for _, w := range s.checker.workers {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, func(x, y *observedWorker) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return ws
}

// sendList changes some workers at random and delivers a list with the given scope.
func (s *simulation) sendList(scope ListScope) {
	ev := Event{Kind: Listed, List: scope}
	if scope == RequestFailed {
		s.step(ev)
		return
	}
	for _, w := range s.sortedWorkers() {
		change := s.rng.IntN(8)
		if scope == Changes && change > 2 {
			continue
		}
		switch change {
		case 0:
			w.State = Draining
		case 1:
			w.State = Ready
			w.Started = max(1, s.now-time.Duration(s.rng.IntN(1500))*ms) // restarted
			w.sends = nil
		case 2:
			w.State = Gone
		default:
			if s.rng.IntN(3) > 0 {
				w.State = Ready
			}
		}
		notReady := w.State != Ready
		if notReady && !w.notReady {
			w.notReadySince = s.now
		}
		w.notReady, w.listed = notReady, w.listed || !notReady || scope == Changes
		if scope == Changes || w.State != Gone { // a complete list omits removed workers
			ev.Members = append(ev.Members, w.Member)
			w.listed = true
		}
	}
	s.step(ev)
}

// newRequest delivers a random request.
func (s *simulation) newRequest() {
	c := s.checker.settings.Classes[s.rng.IntN(len(s.checker.settings.Classes))]
	budget := c.Deadline
	if s.rng.IntN(3) == 0 {
		budget = time.Duration(s.rng.Int64N(int64(c.Deadline))).Truncate(time.Microsecond)
	}
	id := s.nextID
	s.nextID++
	r := &observedRequest{class: c, slots: float64(1 + s.rng.IntN(2)), deadline: s.now + budget}
	s.checker.requests[id], s.checker.openIDs = r, append(s.checker.openIDs, id)
	s.checker.arrivals = append(s.checker.arrivals, s.now)
	if s.rng.IntN(3) > 0 {
		r.key = fmt.Sprintf("k%d", s.rng.IntN(4))
	}
	if c.InOrder {
		s.checker.keyOrder[r.key] = append(s.checker.keyOrder[r.key], r)
	}
	ev := Event{Kind: Arrived, Request: id, Class: c.Name, Budget: budget, Slots: r.slots, MarkedRetry: s.rng.IntN(5) == 0, Key: r.key}
	s.step(ev)
}

// endAttempt ends the i-th attempt in flight with the given result.
func (s *simulation) endAttempt(i int, res Result) {
	o := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	r := s.checker.requests[o.id]
	a := &r.attempts[o.attempt]
	a.inFlight, a.result, a.endedAt = false, res, s.now
	final := r.done
	if res == OK {
		r.done, final = true, true
	}
	ev := Event{Kind: Ended, Request: o.id, Attempt: o.attempt, Worker: a.worker, Result: res, Final: final,
		Elapsed: s.now - a.sentAt}
	if s.rng.IntN(3) > 0 && res != NoConnection {
		in := s.rng.Float64() * s.checker.slots
		ev.Report = Report{Present: true, InFlight: in, Waiting: float64(s.rng.IntN(2)), Free: -1}
		if s.checker.settings.ReportsFree {
			ev.Report.Free = s.checker.slots - in
			ev.Report.InFlight += ev.Report.Waiting
		}
	}
	s.step(ev)
	if s.rng.IntN(20) == 0 {
		s.step(ev) // duplicate event
	}
}

// advance moves the clock and delivers the timers and timeouts that come due.
func (s *simulation) advance(by time.Duration) {
	until := s.now + by
	for {
		at := until
		for _, t := range s.checker.timers {
			at = min(at, max(t.at, s.now))
		}
		for _, id := range s.checker.openIDs {
			if r := s.checker.requests[id]; r != nil && !r.done {
				at = min(at, max(s.now, r.deadline))
			}
		}
		s.now = at
		var due []dueTimer
		s.checker.timers = slices.DeleteFunc(s.checker.timers, func(t dueTimer) bool {
			if t.at <= s.now {
				due = append(due, t)
			}
			return t.at <= s.now
		})
		for _, t := range due {
			s.step(Event{Kind: TimerDue, Timer: t.timer})
		}
		for i := len(s.inFlight) - 1; i >= 0; i-- { // timeouts at the deadline
			if r := s.checker.requests[s.inFlight[i].id]; !r.done && s.now >= r.deadline {
				s.endAttempt(i, TimedOut)
				i = min(i, len(s.inFlight))
			}
		}
		s.checker.checkDeadlines(s.now)
		if len(due) == 0 && s.now >= until {
			return
		}
		s.now += 100 * time.Microsecond
		until = max(until, s.now)
	}
}

// randomEvent delivers one random event, or advances the clock.
func (s *simulation) randomEvent(t *testing.T) {
	switch n := s.rng.IntN(100); {
	case n < 35:
		s.newRequest()
	case n < 65 && len(s.inFlight) > 0:
		i := s.rng.IntN(len(s.inFlight))
		r := s.checker.requests[s.inFlight[i].id]
		res := []Result{OK, OK, OK, OK, OK, OK, Failed, Full, TimedOut, NoConnection, Reset, Cancelled, NeverSent}[s.rng.IntN(13)]
		startedAt := r.attempts[s.inFlight[i].attempt].startedAt
		if res == OK && (r.done || (s.now-startedAt).Seconds() < s.checker.runSeconds[r.class.Name]) {
			return // it still runs, or no response is expected
		}
		s.endAttempt(i, res)
	case n < 75 && len(s.inFlight) > 0:
		o := s.inFlight[s.rng.IntN(len(s.inFlight))]
		a := &s.checker.requests[o.id].attempts[o.attempt]
		started := s.rng.IntN(2) == 0 && a.startedAt == a.sentAt
		if started {
			a.startedAt = s.now
		}
		s.step(Event{Kind: Progressed, Request: o.id, Attempt: o.attempt, Worker: a.worker, Started: started,
			Fraction: s.rng.Float64()})
	case n < 78:
		s.sendList([]ListScope{Changes, Changes, Complete, RequestFailed}[s.rng.IntN(4)])
	case n < 80 && len(s.checker.openIDs) > 0:
		if r := s.checker.requests[s.checker.openIDs[s.rng.IntN(len(s.checker.openIDs))]]; r != nil && !r.done {
			r.done = true
			for id, x := range s.checker.requests {
				if x == r {
					s.step(Event{Kind: Departed, Request: id})
					break
				}
			}
		}
	case n < 82: // unknown IDs and workers
		s.step(Event{Kind: Ended, Request: 1 << 50, Worker: "unknown", Result: Result(s.rng.IntN(8))})
		s.step(Event{Kind: Departed, Request: 1 << 50})
		s.step(Event{Kind: Progressed, Request: 1 << 50, Attempt: 3, Started: true})
		s.step(Event{Kind: TimerDue, Timer: s.rng.Uint64()})
		s.step(Event{Kind: Probed, Worker: "unknown"})
		s.step(Event{Kind: PeerLoads})
		s.step(Event{Kind: Reserved, Worker: "unknown", Request: 1 << 50, Reservation: &Reservation{Request: 1 << 50}})
	case n < 84 && len(s.checker.openIDs) > 0 && s.rng.IntN(3) > 0: // reservations made and released, valid or not
		reservation := &Reservation{Request: s.checker.openIDs[s.rng.IntN(len(s.checker.openIDs))], SpareSlots: float64(s.rng.IntN(3)), BackfillSlots: 1}
		for _, id := range slices.Sorted(maps.Keys(s.checker.workers)) {
			if s.rng.IntN(4) == 0 {
				if s.rng.IntN(2) == 0 {
					reservation = nil
				}
				s.step(Event{Kind: Reserved, Worker: id, Request: s.checker.openIDs[0], Reservation: reservation})
			}
		}
	case n < 83 && s.rng.IntN(6) == 0:
		s.restart(t)
	default:
		s.advance(time.Duration(s.rng.IntN(120)) * ms)
	}
}

func TestRulesHold(t *testing.T) {
	sequences := 3000
	if testing.Short() {
		sequences = 300
	}
	// Each share of the seeds runs in its own goroutine: under the race detector this test is the slowest of all.
	const shares = 8
	for share := range shares {
		t.Run(fmt.Sprintf("seeds %d mod %d", share, shares), func(t *testing.T) {
			t.Parallel()
			for seed := share; seed < sequences; seed += shares {
				checkRules(t, seed)
			}
		})
	}
}

// checkRules runs the sequence of one seed and checks that nothing is left over at its end.
func checkRules(t *testing.T, seed int) {
	sim := newSimulation(t, uint64(seed))
	for range 150 {
		sim.randomEvent(t)
	}
	sim.advance(10 * time.Second)
	if len(sim.checker.violations) > 0 {
		t.Fatalf("seed %d: %d violations, first: %s", seed, len(sim.checker.violations), sim.checker.violations[0])
	}
	for len(sim.inFlight) > 0 {
		sim.endAttempt(0, Cancelled)
	}
	for _, queue := range sim.balancer.keyQueues {
		if len(queue.requests) > 0 {
			t.Fatalf("seed %d: requests are left in a key queue after all attempts ended", seed)
		}
	}
	if len(sim.balancer.requests) > 0 || len(sim.balancer.queued) > 0 {
		t.Fatalf("seed %d: %d requests are left after all attempts ended", seed, len(sim.balancer.requests))
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() []Action {
		sim := newSimulation(t, 42)
		var all []Action
		for range 300 {
			sim.randomEvent(t)
			all = sim.balancer.Step(sim.now, &Event{Kind: Arrived, Request: sim.nextID + 1<<40, Class: "c0", Budget: time.Second, Slots: 1}, all)
			sim.nextID++
			all = sim.balancer.Step(sim.now, &Event{Kind: Departed, Request: sim.nextID - 1 + 1<<40}, all)
		}
		return all
	}
	if first, second := play(), play(); !slices.EqualFunc(first, second, func(x, y Action) bool { return reflect.DeepEqual(x, y) }) {
		t.Fatal("two runs with the same events differ")
	}
}
