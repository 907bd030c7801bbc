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

// The test in this file feeds arbitrary legal sequences of events and judges the actions by the seven
// rules alone. The judge shares no code and no state with the module.

const ms = time.Millisecond

type judgedAttempt struct {
	worker string
	sent   time.Duration
	begun  time.Duration // sent, or when it was told to start
	ended  time.Duration
	out    bool
	result Result
}

type judgedRequest struct {
	class    Class
	slots    float64
	deadline time.Duration
	attempts []judgedAttempt
	over     bool
	key      string
}

type judgedSend struct {
	at   time.Duration
	work float64
}

type judgedWorker struct {
	Member
	bad   bool // told that it drains or is gone
	badAt time.Duration
	known bool
	sends []judgedSend // since its last start, while cold
}

// judge follows events and actions and collects broken rules.
type judge struct {
	s       Settings
	run     map[string]float64 // seconds a job of a class runs
	slots   float64            // of each worker
	reqs    map[uint64]*judgedRequest
	ids     []uint64 // not over, in order of arrival
	workers map[string]*judgedWorker
	turns   map[string][]*judgedRequest // by key, as taken
	taken   []time.Duration             // requests of this life
	further []time.Duration             // attempts beyond the first
	timers  []dueTimer
	broken  []string
}

type dueTimer struct {
	at  time.Duration
	key uint64
}

func (j *judge) fail(now time.Duration, format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf("%v: ", now)+fmt.Sprintf(format, args...))
}

func (j *judge) act(now time.Duration, acts []Action) {
	for i := range acts {
		a := &acts[i]
		r := j.reqs[a.Request]
		switch a.Kind {
		case Send, Refuse, Fail, Cancel:
			if r == nil {
				j.fail(now, "action %d for a request never given", a.Kind)
				continue
			}
		}
		if told := a.Reason != ""; told != (a.Kind == Refuse || a.Kind == Fail || a.Kind == Cancel) {
			j.fail(now, "action %d with the reason %q", a.Kind, a.Reason)
		}
		switch a.Kind {
		case Send:
			j.send(now, r, a)
		case Refuse:
			if r.class.Effect == Unsafe && j.ran(r) >= 0 {
				j.fail(now, "rule 2: an unsafe request refused that may have run")
			}
			if r.class.Effect == Keyed && r.class.Scope != ScopeAll && j.ran(r) >= 0 {
				j.fail(now, "rule 2: a keyed request of a narrow group refused that may have run")
			}
			j.final(now, r)
		case Fail:
			j.final(now, r)
		case Cancel:
			if !j.s.Cancel || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
				j.fail(now, "a cancel that is not allowed")
			}
		case Probe:
			if !j.s.Probes || j.workers[a.Worker] == nil {
				j.fail(now, "a probe that is not allowed")
			}
		case Wake:
			if a.After < 0 || a.After > 71*time.Minute {
				j.fail(now, "a timer after %v", a.After)
			}
			j.timers = append(j.timers, dueTimer{now + a.After.Truncate(time.Microsecond), a.Timer})
		case Subscribe:
			if !j.s.Subscribe {
				j.fail(now, "asked for a list that comes unasked")
			}
		}
	}
}

func (j *judge) final(now time.Duration, r *judgedRequest) {
	if r.over {
		j.fail(now, "rule 1: a second final answer")
	}
	r.over = true
}

// ran is the first attempt that may have run, or -1.
func (j *judge) ran(r *judgedRequest) int {
	return slices.IndexFunc(r.attempts, func(a judgedAttempt) bool {
		return a.out || (a.result != Full || j.s.FullMayHaveRun) && a.result != NoConnection && a.result != NeverSent
	})
}

func (j *judge) send(now time.Duration, r *judgedRequest, a *Action) {
	w := j.workers[a.Worker]
	switch {
	case w == nil || !w.known:
		j.fail(now, "sent to a worker that no list named")
		return
	case r.over:
		j.fail(now, "rule 1: sent after the end")
	case now > r.deadline:
		j.fail(now, "rule 1: sent after the deadline")
	case len(r.attempts) >= j.s.MaxAttempts:
		j.fail(now, "too many attempts")
	case w.bad && now > w.badAt+j.s.DrainGrace:
		j.fail(now, "rule 3: sent to a worker known to drain for %v", now-w.badAt)
	}
	if slices.ContainsFunc(r.attempts, func(x judgedAttempt) bool { return x.out }) && !j.s.Duplicates {
		j.fail(now, "rule 2: two attempts at once")
	}
	if i := j.ran(r); i >= 0 && r.class.Effect != Safe {
		first := r.attempts[i]
		g := j.workers[first.worker]
		switch {
		case r.class.Effect == Unsafe:
			j.fail(now, "rule 2: an unsafe request sent again")
		case now-first.sent > r.class.Window:
			j.fail(now, "rule 2: a keyed request sent again after its window")
		case r.class.Scope == ScopeZone && g.Zone != w.Zone, r.class.Scope == ScopeCell && g.Cell != w.Cell:
			j.fail(now, "rule 2: a keyed request sent outside its group")
		}
	}
	j.inTurn(now, r)
	if len(r.attempts) > 0 {
		j.rationed(now)
	}
	r.attempts = append(r.attempts, judgedAttempt{worker: w.ID, sent: now, begun: now, out: true})
	if w.Started > 0 && now < w.Started+j.s.ColdFor {
		w.sends = append(w.sends, judgedSend{now, j.run[r.class.Name] * r.slots})
		j.cold(now, w)
	}
}

// inTurn checks that nothing of the key taken earlier is unfinished, out, or perhaps still running.
func (j *judge) inTurn(now time.Duration, r *judgedRequest) {
	for _, x := range j.turns[r.key] {
		if x == r || r.key == "" || !r.class.InOrder {
			return
		}
		if !x.over {
			j.fail(now, "rule 5: sent while an earlier request of its key is not over")
		}
		for _, a := range x.attempts {
			doubtful := a.result == TimedOut || a.result == Reset || a.result == Cancelled
			if a.out || doubtful && now < a.ended+j.s.OrderRest {
				j.fail(now, "rule 5: sent while an attempt of its key is out or may still run")
			}
		}
	}
}

// rationed counts a further attempt made now against the budget.
func (j *judge) rationed(now time.Duration) {
	j.further = append(j.further, now)
	count := func(ts []time.Duration) (n float64) {
		for _, at := range ts {
			if at >= now-j.s.ExtraWindow {
				n++
			}
		}
		return n
	}
	n, of := count(j.further), count(j.taken)
	if j.s.ExtraWindow > 0 && n > j.s.ExtraFree+j.s.ExtraRatio*of {
		j.fail(now, "rule 6: %v further attempts within %v, for %v requests", n, j.s.ExtraWindow, of)
	}
}

// cold checks that this dispatcher alone stays within a cold worker's budget, over the window that ends now. That
// all together do is what TestCrowdSparesColdWorkers checks.
func (j *judge) cold(now time.Duration, w *judgedWorker) {
	sum := 0.0
	for _, s := range w.sends {
		if s.at > now-j.s.FallWindow {
			sum += s.work
		}
	}
	warm := j.s.ColdFrom + (1-j.s.ColdFrom)*(now-w.Started).Seconds()/j.s.ColdFor.Seconds()
	if budget := j.s.FallMultiple * j.slots * warm * j.s.FallWindow.Seconds(); sum > budget+1e-9 {
		j.fail(now, "rule 4: %.3f s of work sent to a cold worker with a budget of %.3f s", sum, budget)
	}
}

// overdue finds requests that were not answered in time.
func (j *judge) overdue(now time.Duration) {
	j.ids = slices.DeleteFunc(j.ids, func(id uint64) bool { return j.reqs[id].over })
	for _, id := range j.ids {
		if r := j.reqs[id]; now > r.deadline+j.s.AnswerSlack {
			j.fail(now, "rule 1: no final answer by %v", r.deadline)
			r.over = true
		}
	}
}

// drill plays one random sequence.
type drill struct {
	rng  *rand.Rand
	j    *judge
	b    *Balancer
	now  time.Duration
	next uint64
	out  []outRef
	seed uint64
}

type outRef struct {
	id      uint64
	attempt int
	slots   float64
}

func randomSettings(rng *rand.Rand) Settings {
	s := Settings{Self: 0, Fleet: 1 + rng.IntN(5), Zone: "z0", Tick: time.Duration(1+rng.IntN(5)) * ms,
		ReportsFree: rng.IntN(3) > 0, TellsStart: rng.IntN(2) == 0, Subscribe: rng.IntN(2) == 0,
		MaxAttempts: 1 + rng.IntN(5), Duplicates: rng.IntN(2) == 0, Cancel: rng.IntN(3) > 0,
		Probes: rng.IntN(2) == 0, MaxRetryAfter: time.Second,
		AnswerSlack: 20 * ms, AskWithin: 10 * time.Second, ColdFrom: 0.1 + 0.5*rng.Float64(),
		ColdFor: time.Duration(2+rng.IntN(20)) * time.Second, DrainGrace: time.Duration(rng.IntN(2000)) * ms,
		FallMultiple: 2 + 2*rng.Float64(), FallWindow: time.Duration(1+rng.IntN(3)) * time.Second,
		ByWork: rng.IntN(2) == 0, Goal: Goal{Whole: 0.7, WorstClass: 0.3}, Prices: Prices{CrossZone: 0.02}}
	if rng.IntN(4) == 0 {
		s.Fleet, s.Self = 300, rng.IntN(300)
	}
	if rng.IntN(2) == 0 {
		s.ProgressEvery = time.Second
	}
	s.FullMayHaveRun, s.MarksRepeat = rng.IntN(3) == 0, rng.IntN(2) == 0
	if rng.IntN(3) == 0 {
		s.ExtraFree, s.ExtraRatio, s.ExtraWindow = float64(rng.IntN(4)), 0.3*rng.Float64(), time.Duration(1+rng.IntN(3))*time.Second
	}
	ordered := rng.IntN(2) == 0
	s.OrderRest = time.Duration(rng.IntN(3)*50) * ms
	for i := range 4 {
		c := Class{Name: fmt.Sprintf("c%d", i), Effect: Effect(i % 3), Scope: Scope(rng.IntN(3)),
			Window: time.Duration(500+rng.IntN(4000)) * ms, Aim: time.Duration(100+rng.IntN(400)) * ms,
			Stretch: 1 + rng.Float64(), Deadline: time.Duration(1+rng.IntN(8)) * time.Second, Worth: 1 + rng.Float64()*8}
		if rng.IntN(4) == 0 {
			c.Late = 0.5
		}
		c.InOrder = ordered && rng.IntN(2) == 0
		s.Classes = append(s.Classes, c)
	}
	return s
}

func newDrill(t *testing.T, seed uint64) *drill {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := randomSettings(rng)
	d := &drill{rng: rng, seed: seed, now: time.Duration(rng.IntN(1000)) * time.Hour, next: 1}
	d.j = &judge{s: s, run: map[string]float64{}, slots: float64(2 + rng.IntN(4)), reqs: map[uint64]*judgedRequest{},
		workers: map[string]*judgedWorker{}}
	for _, c := range s.Classes {
		d.j.run[c.Name] = c.Aim.Seconds() * (0.5 + rng.Float64())
	}
	for i := range 3 + rng.IntN(8) {
		m := Member{ID: fmt.Sprintf("w%02d", i), Zone: fmt.Sprintf("z%d", i%3), Cell: fmt.Sprint(i % 4), Weight: 1}
		d.j.workers[m.ID] = &judgedWorker{Member: m}
	}
	d.restart(t)
	return d
}

// restart begins a new life of the dispatcher; what the old one held is void.
func (d *drill) restart(t *testing.T) {
	b, err := New(d.j.s, d.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	d.b, d.out, d.j.timers, d.j.ids = b, nil, nil, nil
	d.j.reqs, d.j.turns = map[uint64]*judgedRequest{}, map[string][]*judgedRequest{}
	d.j.taken, d.j.further = nil, nil
	d.list(FromDisk)
}

func (d *drill) step(ev Event) {
	d.j.act(d.now, d.b.Step(d.now, &ev, nil))
	for id, r := range d.j.reqs { // note new attempts, to end them later; sorted below
		for i := range r.attempts {
			if r.attempts[i].out && !slices.ContainsFunc(d.out, func(o outRef) bool { return o.id == id && o.attempt == i }) {
				d.out = append(d.out, outRef{id: id, attempt: i, slots: r.slots})
			}
		}
	}
	slices.SortFunc(d.out, func(x, y outRef) int {
		if x.id != y.id {
			return int(x.id) - int(y.id)
		}
		return x.attempt - y.attempt
	})
}

// sortedWorkers gives the workers in a fixed order.
func (d *drill) sortedWorkers() []*judgedWorker {
	var ws []*judgedWorker
	for _, w := range d.j.workers {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, func(x, y *judgedWorker) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return ws
}

func (d *drill) list(scope ListScope) {
	ev := Event{Kind: Listed, List: scope}
	if scope == AskFailed {
		d.step(ev)
		return
	}
	for _, w := range d.sortedWorkers() {
		change := d.rng.IntN(8)
		if scope == Changes && change > 2 {
			continue
		}
		switch change {
		case 0:
			w.State = Draining
		case 1:
			w.State = Ready
			w.Started = max(1, d.now-time.Duration(d.rng.IntN(1500))*ms) // restarted
			w.sends = nil
		case 2:
			w.State = Gone
		default:
			if d.rng.IntN(3) > 0 {
				w.State = Ready
			}
		}
		told := w.State != Ready
		if told && !w.bad {
			w.badAt = d.now
		}
		w.bad, w.known = told, w.known || !told || scope == Changes
		if scope == Changes || w.State != Gone { // a whole list leaves out what is gone
			ev.Members = append(ev.Members, w.Member)
			w.known = true
		}
	}
	d.step(ev)
}

func (d *drill) request() {
	c := d.j.s.Classes[d.rng.IntN(len(d.j.s.Classes))]
	budget := c.Deadline
	if d.rng.IntN(3) == 0 {
		budget = time.Duration(d.rng.Int64N(int64(c.Deadline))).Truncate(time.Microsecond)
	}
	id := d.next
	d.next++
	r := &judgedRequest{class: c, slots: float64(1 + d.rng.IntN(2)), deadline: d.now + budget}
	d.j.reqs[id], d.j.ids = r, append(d.j.ids, id)
	d.j.taken = append(d.j.taken, d.now)
	if d.rng.IntN(3) > 0 {
		r.key = fmt.Sprintf("k%d", d.rng.IntN(4))
	}
	if c.InOrder {
		d.j.turns[r.key] = append(d.j.turns[r.key], r)
	}
	ev := Event{Kind: Arrived, Request: id, Class: c.Name, Budget: budget, Slots: r.slots, Repeat: d.rng.IntN(5) == 0, Key: r.key}
	d.step(ev)
}

// end ends the i-th attempt that is out, in any way that is legal now.
func (d *drill) end(i int, res Result) {
	o := d.out[i]
	d.out = slices.Delete(d.out, i, i+1)
	r := d.j.reqs[o.id]
	a := &r.attempts[o.attempt]
	a.out, a.result, a.ended = false, res, d.now
	final := r.over
	if res == OK {
		r.over, final = true, true
	}
	ev := Event{Kind: Ended, Request: o.id, Attempt: o.attempt, Worker: a.worker, Result: res, Final: final,
		Elapsed: d.now - a.sent}
	if d.rng.IntN(3) > 0 && res != NoConnection {
		in := d.rng.Float64() * d.j.slots
		ev.Report = Report{Present: true, InFlight: in, Waiting: float64(d.rng.IntN(2)), Free: -1}
		if d.j.s.ReportsFree {
			ev.Report.Free = d.j.slots - in
			ev.Report.InFlight += ev.Report.Waiting
		}
	}
	d.step(ev)
	if d.rng.IntN(20) == 0 {
		d.step(ev) // doubled
	}
}

// elapse moves the clock and delivers the timers, outcomes and departures that come due.
func (d *drill) elapse(by time.Duration) {
	until := d.now + by
	for {
		at := until
		for _, t := range d.j.timers {
			at = min(at, max(t.at, d.now))
		}
		for _, id := range d.j.ids {
			if r := d.j.reqs[id]; r != nil && !r.over {
				at = min(at, max(d.now, r.deadline))
			}
		}
		d.now = at
		var due []dueTimer
		d.j.timers = slices.DeleteFunc(d.j.timers, func(t dueTimer) bool {
			if t.at <= d.now {
				due = append(due, t)
			}
			return t.at <= d.now
		})
		for _, t := range due {
			d.step(Event{Kind: TimerDue, Timer: t.key})
		}
		for i := len(d.out) - 1; i >= 0; i-- { // time-outs at the deadline
			if r := d.j.reqs[d.out[i].id]; !r.over && d.now >= r.deadline {
				d.end(i, TimedOut)
				i = min(i, len(d.out))
			}
		}
		d.j.overdue(d.now)
		if len(due) == 0 && d.now >= until {
			return
		}
		d.now += 100 * time.Microsecond
		until = max(until, d.now)
	}
}

func (d *drill) random(t *testing.T) {
	switch n := d.rng.IntN(100); {
	case n < 35:
		d.request()
	case n < 65 && len(d.out) > 0:
		i := d.rng.IntN(len(d.out))
		r := d.j.reqs[d.out[i].id]
		res := []Result{OK, OK, OK, OK, OK, OK, Failed, Full, TimedOut, NoConnection, Reset, Cancelled, NeverSent}[d.rng.IntN(13)]
		begun := r.attempts[d.out[i].attempt].begun
		if res == OK && (r.over || (d.now-begun).Seconds() < d.j.run[r.class.Name]) {
			return // it still runs, or its answer is not wanted
		}
		d.end(i, res)
	case n < 75 && len(d.out) > 0:
		o := d.out[d.rng.IntN(len(d.out))]
		a := &d.j.reqs[o.id].attempts[o.attempt]
		started := d.rng.IntN(2) == 0 && a.begun == a.sent
		if started {
			a.begun = d.now
		}
		d.step(Event{Kind: Noted, Request: o.id, Attempt: o.attempt, Worker: a.worker, Started: started,
			Fraction: d.rng.Float64()})
	case n < 78:
		d.list([]ListScope{Changes, Changes, Whole, AskFailed}[d.rng.IntN(4)])
	case n < 80 && len(d.j.ids) > 0:
		if r := d.j.reqs[d.j.ids[d.rng.IntN(len(d.j.ids))]]; r != nil && !r.over {
			r.over = true
			for id, x := range d.j.reqs {
				if x == r {
					d.step(Event{Kind: Departed, Request: id})
					break
				}
			}
		}
	case n < 82: // ids and workers nobody knows
		d.step(Event{Kind: Ended, Request: 1 << 50, Worker: "nobody", Result: Result(d.rng.IntN(8))})
		d.step(Event{Kind: Departed, Request: 1 << 50})
		d.step(Event{Kind: Noted, Request: 1 << 50, Attempt: 3, Started: true})
		d.step(Event{Kind: TimerDue, Timer: d.rng.Uint64()})
		d.step(Event{Kind: Probed, Worker: "nobody"})
		d.step(Event{Kind: PeerSpoke})
		d.step(Event{Kind: Kept, Worker: "nobody", Request: 1 << 50, Keep: &Keep{Request: 1 << 50}})
	case n < 84 && len(d.j.ids) > 0 && d.rng.IntN(3) > 0: // room held and let go, with or without sense
		keep := &Keep{Request: d.j.ids[d.rng.IntN(len(d.j.ids))], Spare: float64(d.rng.IntN(3)), Most: 1}
		for _, id := range slices.Sorted(maps.Keys(d.j.workers)) {
			if d.rng.IntN(4) == 0 {
				if d.rng.IntN(2) == 0 {
					keep = nil
				}
				d.step(Event{Kind: Kept, Worker: id, Request: d.j.ids[0], Keep: keep})
			}
		}
	case n < 83 && d.rng.IntN(6) == 0:
		d.restart(t)
	default:
		d.elapse(time.Duration(d.rng.IntN(120)) * ms)
	}
}

func TestRulesHold(t *testing.T) {
	sequences := 3000
	if testing.Short() {
		sequences = 300
	}
	// One goroutine for each share of the seeds: under the race detector this test is the longest of all.
	const shares = 8
	for share := range shares {
		t.Run(fmt.Sprintf("seeds %d mod %d", share, shares), func(t *testing.T) {
			t.Parallel()
			for seed := share; seed < sequences; seed += shares {
				rulesHold(t, seed)
			}
		})
	}
}

func rulesHold(t *testing.T, seed int) {
	d := newDrill(t, uint64(seed))
	for range 150 {
		d.random(t)
	}
	d.elapse(10 * time.Second)
	if len(d.j.broken) > 0 {
		t.Fatalf("seed %d: %d rules broken, first: %s", seed, len(d.j.broken), d.j.broken[0])
	}
	for len(d.out) > 0 {
		d.end(0, Cancelled)
	}
	for _, l := range d.b.keyQueues {
		if len(l.requests) > 0 {
			t.Fatalf("seed %d: requests kept in the line of a key after all is over", seed)
		}
	}
	if len(d.b.requests) > 0 || len(d.b.queued) > 0 {
		t.Fatalf("seed %d: %d requests kept after all is over", seed, len(d.b.requests))
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() []Action {
		d := newDrill(t, 42)
		var all []Action
		for range 300 {
			d.random(t)
			all = d.b.Step(d.now, &Event{Kind: Arrived, Request: d.next + 1<<40, Class: "c0", Budget: time.Second, Slots: 1}, all)
			d.next++
			all = d.b.Step(d.now, &Event{Kind: Departed, Request: d.next - 1 + 1<<40}, all)
		}
		return all
	}
	if first, second := play(), play(); !slices.EqualFunc(first, second, func(x, y Action) bool { return reflect.DeepEqual(x, y) }) {
		t.Fatal("two runs of the same events differ")
	}
}
