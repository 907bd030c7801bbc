// The interface (settings, events, actions) is in balance/api.go; every decision is here.
//
// Vocabulary: a job is held (waiting here), out (an attempt at a worker has not ended) or done (answered).
// The ring is the sorted list of ready workers. A worker is ejected while it is judged unfit.

package balance

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	neighbours  = 5     // k: a job chooses among its home and k workers on each side
	theta       = 16.0  // weight of a worker is exp(-theta x cost)
	blindShare  = 0.5   // of a worker's slots at most are taken as others' without a fresh report, at first,
	blindStep   = 0.05  // and that much more for each job that did not start promptly,
	blindOdds   = 2.0   // undone by so many that did,
	blindMost   = 0.9   // but never all: dispatchers that take every worker for full serve nobody
	slotSlack   = 0.05  // of a slot may be missing: reports are noisy, and guesses never fade to nothing
	forget      = 0.9   // kept of a worker's speed record at each new sample
	metShare    = 0.02  // of the newest request in the share of a class served lately
	metGain     = 16.0  // weight of a class for each unit that it is served worse than the best
	shedShare   = 0.05  // of the newest request in the share refused lately
	cheapShare  = 0.25  // worth less than this share of the dearest, for its work, a job is cheap
	reserveMost = 0.4   // share of a worker's slots kept for dearer jobs while some are refused
	paceForget  = 0.95  // the same for the speed of all workers together
	usualForget = 0.998 // the same for how long jobs of a class usually run
	speedPrior  = 4.0   // jobs' worth of trust in the average speed
	priceWeight = 35.0  // cost of crossing zones or of a new connection, for each unit of its price
	ejectFor    = time.Second / 2
	ejectMost   = 2 // times that it doubles; a trial costs one attempt at most, an idle worker many
	shutFor     = 60 * ejectFor
	probeSpend  = 0.008 // of the result, in price and in workers' time, spent on probes for each request
	retryShare  = 0.2   // retries after failures for each request
	retryBurst  = 10.0
	unsafeSpare = 0.3 // of a slot that an unsafe job may exceed what is taken for free
	coldSafety  = 0.4 // share used of what a cold worker may be sent, where dispatchers hear one another,
	apartShare  = 1.5 // and that much more where they do not: shares that small are seldom all spent
	tickTimer   = uint64(1) << 60
	askTimer    = tickTimer + 1
)

// lags are the ages that a report may have when it arrives.
var lags = [...]time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second}

type class struct {
	Class
	met               float64         // share served lately
	runs, work, hints float64         // of served attempts: count, seconds, hinted seconds
	budget            time.Duration   // the longest that came
	attempts          int             // of a request, at most
	shut              map[string]rest // workers that answered 'full' and none served since
}

// rest is until when a worker gets no jobs of a class, and how often in a row it turned one away.
type rest struct {
	until time.Duration
	times int
}

type attempt struct {
	to                                     *worker
	sentAt, startAt, heardAt, lookAt, wait time.Duration // wait: expected in the worker's queue
	out, cancelled, missed                 bool
	result                                 Result
}

type request struct {
	id                       uint64
	tenant                   string
	class                    *class
	slots, work, hint, value float64
	home                     float64       // place on the ring, 0 to 1; or drawn from
	key                      uint32        // the hash of its key, if what the key needs must be fetched
	arrived                  time.Duration // of its first try, as far as known
	aimBy, hopeBy            time.Duration // started later it is late; and worth nothing
	answerBy, wakeAt         time.Duration // the last moment for an answer
	attempts                 []attempt
	outs                     int // attempts out
	held, done               bool
	priority                 int
	line                     *line         // of its key, if that asks for order
	kept                     *worker       // where room is held for it, or was
	doubt                    time.Duration // until then an ended attempt may still run
}

// line is the queue of one key: its requests in the order taken, each until it is over with no attempt out.
type line struct {
	reqs []*request
	rest time.Duration // nothing is sent for the next request before
}

// mark is a figure at a moment.
type mark struct {
	at time.Duration
	x  float64
}

type worker struct {
	Member
	listed, hard, trial      bool    // hard: cannot be reached; trial: one attempt at a time
	gen, streak, ejections   int     // failures in a row; ejections of late
	own, told                float64 // slots of own attempts out, and of others' by their word
	outs, conns              int     // and their number; connections open, as far as known
	marks                    []mark  // recent figures of own and told
	others, mean             float64 // slots held for others at the last report, and usually
	slots                    float64 // slots it has, as reports show; 0 unknown
	rep                      Report
	repAt, heardAt, probedAt time.Duration
	endedAt, tokensAt        time.Duration // when an attempt last ended; when tokens were last reckoned
	ran, expected            float64       // seconds: running seen, and expected of an average worker
	ejectedTo, fullTo        time.Duration
	tokens                   float64 // seconds of work that may be sent while cold
	offset                   uint32  // hash of the id
	keep                     *Keep   // room held there, if any
}

// Balancer decides for one dispatcher.
type Balancer struct {
	s                            Settings
	rng                          *rand.Rand
	classes                      map[string]*class
	workers                      map[string]*worker
	ring                         []*worker
	reqs                         map[uint64]*request
	tells                        map[int]map[string]float64 // slots that each dispatcher has out, by worker
	held                         []*request
	gen                          int
	asking                       asking
	ticking                      bool
	retries, paid                float64                  // own budget; further attempts that are paid for
	extras                       []mark                   // further attempts of late, and what had paid
	lines                        map[string]*line         // by key
	slotMean, runMean, slotsMean float64                  // of an average job, and the slots of a worker
	top, shed, cold              float64                  // dearest value, share refused lately
	ran, expected                float64                  // seconds lately, as for a worker
	others, blind                float64                  // mean share that others hold; most believed
	heardAt, lag                 time.Duration            // of the last report; its age on arrival
	parts                        map[string]float64       // of what tenants ask, until partsTo
	misfit                       [len(lags)]float64       // of reports with own work so long ago
	startDelay                   map[string]time.Duration // of a prompt start in each zone
	gap                          float64                  // seconds between requests, usually
	cameAt, probeTakes, partsTo  time.Duration            // the last; the quickest; see parts
	acts                         []Action
	cand                         []*worker
}

// New returns a Balancer for the settings, or an error that says which of them is impossible.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{s: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), classes: map[string]*class{},
		workers: map[string]*worker{}, reqs: map[uint64]*request{}, tells: map[int]map[string]float64{},
		retries: retryBurst, slotMean: 1, slotsMean: 2, cold: 1, runMean: 2 * s.Classes[0].Aim.Seconds(),
		lines: map[string]*line{}, startDelay: map[string]time.Duration{}, blind: blindShare, gap: 0.1}
	for _, c := range s.Classes {
		b.classes[c.Name] = &class{Class: c, met: 1, runs: 0.1, work: 0.2 * c.Aim.Seconds(), // a first guess
			attempts: s.MaxAttempts, shut: map[string]rest{}}
	}
	return b, nil
}

// Step takes one event at the given time and appends the actions that answer it.
func (b *Balancer) Step(now time.Duration, ev *Event, acts []Action) []Action {
	b.acts = acts
	switch ev.Kind {
	case Arrived:
		b.arrived(now, ev)
	case Departed:
		if r := b.reqs[ev.Request]; r != nil && !r.done {
			b.close(now, r)
			b.place(now) // its slot, or the turn of its key, may be another's now
		}
	case Ended:
		b.ended(now, ev)
	case Noted:
		b.noted(now, ev)
	case Streaming: // the attempt is the client's now
		if r := b.reqs[ev.Request]; r != nil {
			r.done = true
		}
	case Listed:
		b.list(now, ev)
	case Probed:
		if w := b.workers[ev.Worker]; w != nil {
			b.report(now, w, &ev.Report)
			b.probeTakes = min(cmp.Or(b.probeTakes, ev.Elapsed), ev.Elapsed)
			if ev.Result == NoConnection { // an answer shows no more than that the process runs
				b.judge(now, w, nil, ev.Result)
			}
		}
	case PeerSpoke:
		if b.note(now, ev.Who, ev.Loads) {
			b.place(now)
		}
	case Kept: // room is held at a worker, for whom and what may go there; or let go
		if w := b.workers[ev.Worker]; w != nil {
			w.keep = ev.Keep
			if r := b.reqs[ev.Request]; r != nil {
				r.kept = w
			}
		}
		b.place(now)
	case Judged: // by one for all: left out for a while, or to be tried again
		if w := b.workers[ev.Worker]; w != nil && (ev.Elapsed == 0 || now+ev.Elapsed > w.ejectedTo) {
			w.ejectedTo, w.hard, w.trial = now+ev.Elapsed, ev.Elapsed > 0, true
		}
	case Answered:
		if wait, sooner := b.asking.hint(now, b.s.Fleet, b.rng); sooner {
			b.do(Action{Kind: Wake, Timer: askTimer, After: wait})
		}
	case Shared:
		b.parts, b.partsTo = ev.Parts, now+ev.Elapsed
	case Ruled:
		b.cold = ev.Cold
		for name, c := range b.classes {
			c.attempts = min(b.s.MaxAttempts, cmp.Or(ev.Caps[name], b.s.MaxAttempts))
		}
	case TimerDue:
		b.timer(now, ev.Timer)
	}
	acts, b.acts = b.acts, nil
	return acts
}

func (b *Balancer) do(a Action) { b.acts = append(b.acts, a) }

func (b *Balancer) timer(now time.Duration, t uint64) {
	switch t {
	case tickTimer:
		b.ticking = false
		b.place(now)
	case askTimer:
		if b.asking.isDue(now) { // and not left over from before it was to be sooner
			b.ask()
		}
	default:
		if r := b.reqs[t]; r != nil && !r.done {
			r.wakeAt = 0
			b.review(now, r)
		}
	}
}

func (b *Balancer) arrived(now time.Duration, ev *Event) {
	c := b.classes[ev.Class]
	if c == nil {
		b.do(Action{Kind: Refuse, Request: ev.Request})
		return
	}
	r := &request{id: ev.Request, class: c, slots: max(ev.Slots, 1), hint: ev.Hint.Seconds(),
		home: b.newHome(), arrived: now, priority: ev.Priority, tenant: ev.Tenant}
	if b.s.Prices.Fetch > 0 && ev.Key != "" {
		r.key = hash(ev.Key)
	}
	// A budget under the usual one is what is left to a later try. Where each try has only a part of the
	// deadline, first tries would else be taken for old ones and refused.
	if !ev.First {
		c.budget = max(c.budget, ev.Budget)
		if ev.Budget < c.budget*49/50 && (ev.Repeat || !b.s.MarksRepeat) {
			r.arrived = now - max(0, c.Deadline-ev.Budget)
		}
	}
	r.answerBy = now + max(0, ev.Budget-2*b.s.Tick)
	b.estimate(r)
	b.reqs[r.id] = r
	b.paid += b.s.ExtraRatio
	if c.InOrder && ev.Key != "" {
		b.join(now, r, ev.Key)
	}
	b.retries = min(retryBurst, b.retries+retryShare)
	b.slotMean += 0.02 * (r.slots - b.slotMean)
	if b.cameAt > 0 { // or the age of the clock, decades on a real one, would be taken for a gap
		b.gap += 0.05 * ((now - b.cameAt).Seconds() - b.gap)
	}
	b.cameAt = now
	b.hold(now, r)
	b.place(now)
	b.probe(now)
}

// probe asks those candidates of the latest job whose figures are oldest, if they have half faded: the next
// homes are near. Its price, and the time of the quickest so far as a worker's, bound the number.
func (b *Balancer) probe(now time.Duration) {
	for spent := 0.0; b.s.Probes && len(b.cand) > 0 && spent < probeSpend; {
		spent += max(b.s.Prices.Probe, 0.001) + b.probeTakes.Seconds()/b.runMean
		w := slices.MinFunc(b.cand, func(x, y *worker) int { return cmp.Compare(x.newsAt(), y.newsAt()) })
		if (now - w.newsAt()).Seconds() < max(b.runMean*b.pace(), 0.2)/2 {
			return
		}
		w.probedAt = now
		b.do(Action{Kind: Probe, Worker: w.ID})
	}
}

func (w *worker) newsAt() time.Duration { return max(w.repAt, w.probedAt) }

// estimate sets what is expected of the request's work, and so how long it may wait.
func (b *Balancer) estimate(r *request) {
	c := r.class
	r.work = cmp.Or(r.hint, c.work/c.runs)
	if r.hint > 0 && c.hints > 0 {
		r.work *= c.work / c.hints
	}
	r.aimBy = min(r.answerBy, r.arrived+c.Aim+seconds(max(0, c.Stretch-b.pace())*r.work))
	if r.hopeBy = r.aimBy; c.Late > 0 {
		r.hopeBy = r.answerBy
	}
}

// newHome draws a home about this dispatcher's own place on the ring, among twice as many workers as it has
// jobs running: a small dispatcher would else never meet a worker that it knows, or has a connection to.
func (b *Balancer) newHome() float64 {
	place, spread := b.placeOf(b.s.Self)
	return math.Mod(1+place+spread*(b.rng.Float64()-0.5), 1)
}

// placeOf is a dispatcher's place on the ring, and the share of the ring in which this one has its homes.
func (b *Balancer) placeOf(who int) (place, spread float64) {
	own := max(1, 2*b.runMean/max(b.gap, 1e-6))
	return (float64(who) + 0.5) / float64(b.s.Fleet), min(1, own/float64(max(1, len(b.ring))))
}

func (b *Balancer) hold(now time.Duration, r *request) {
	r.held, b.held = true, append(b.held, r)
	b.wake(now, r, min(r.hopeBy, r.answerBy))
}

// wake asks for a review of r at the given time, unless an earlier one is on its way.
func (b *Balancer) wake(now time.Duration, r *request, at time.Duration) {
	at = max(at, now).Truncate(time.Microsecond) + time.Microsecond // hosts count in whole microseconds
	if r.wakeAt > now && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	b.do(Action{Kind: Wake, Timer: r.id, After: at - now})
}

// close ends what the dispatcher owes for r and stops its attempts.
func (b *Balancer) close(now time.Duration, r *request) {
	r.done = true
	for i := range r.attempts {
		b.cancel(r, i)
	}
	if r.held {
		r.held = false
		b.held = slices.DeleteFunc(b.held, func(x *request) bool { return x == r })
	}
	b.forget(r)
}

// forget drops a request that is over once nothing of it is out; the next one of its key may go then. An
// attempt that was given up counts until its end is told, as it may run until then.
func (b *Balancer) forget(r *request) {
	if !r.done || r.outs > 0 {
		return
	}
	delete(b.reqs, r.id)
	if l := r.line; l != nil {
		l.reqs = slices.DeleteFunc(l.reqs, func(x *request) bool { return x == r })
		l.rest = max(l.rest, r.doubt)
	}
}

// join puts r at the end of its key's line. Lines empty and rested go, or memory would grow with the day.
func (b *Balancer) join(now time.Duration, r *request, key string) {
	maps.DeleteFunc(b.lines, func(_ string, l *line) bool { return len(l.reqs) == 0 && now >= l.rest })
	if b.lines[key] == nil {
		b.lines[strings.Clone(key)] = &line{} // the host's text may be part of something longer
	}
	r.line = b.lines[key]
	r.line.reqs = append(r.line.reqs, r)
}

// mayGo says whether the order of its key and the budget of further attempts let r go, to any worker.
func (b *Balancer) mayGo(now time.Duration, r *request) bool {
	l := r.line
	return (l == nil || l.reqs[0] == r && now >= l.rest) && (len(r.attempts) == 0 || b.mayRetry(now))
}

// mayRetry keeps the stated budget of further attempts in any window, also one that begins after the requests
// that paid: those since each of the latest, one more included, stay within what was paid since then.
func (b *Balancer) mayRetry(now time.Duration) bool {
	from := now - b.s.ExtraWindow - b.s.Tick
	b.extras = slices.DeleteFunc(b.extras, func(x mark) bool { return x.at < from })
	n := len(b.extras) + 1
	for k, x := range append(b.extras, mark{now, b.paid}) {
		if b.s.ExtraWindow > 0 && float64(n-k) > b.s.ExtraFree+b.paid-x.x {
			return false
		}
	}
	return true
}

func (b *Balancer) cancel(r *request, i int) {
	a := &r.attempts[i]
	if a.out && b.s.Cancel && !a.cancelled && b.s.TellsStart {
		a.cancelled = true
		b.do(Action{Kind: Cancel, Request: r.id, Attempt: i})
	}
}

// answer gives the final answer: a refusal where it may be given, else a failure.
func (b *Balancer) answer(now time.Duration, r *request) {
	r.class.met -= metShare * r.class.met
	if b.mayRefuse(r) {
		b.do(Action{Kind: Refuse, Request: r.id, After: b.s.MaxRetryAfter})
	} else {
		b.do(Action{Kind: Fail, Request: r.id})
	}
	b.close(now, r)
}

func (b *Balancer) mayRefuse(r *request) bool {
	c := r.class
	return c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll || b.mayHaveRun(r) == nil
}

// mayHaveRun returns the first attempt that may have run or still may.
func (b *Balancer) mayHaveRun(r *request) *attempt {
	i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.out || !b.neverRan(a.result) })
	if i < 0 {
		return nil
	}
	return &r.attempts[i]
}

// neverRan says whether a result proves that the attempt did not run. Workers that shed work which they had
// begun make 'full' no proof; the settings say so.
func (b *Balancer) neverRan(res Result) bool {
	return res == Full && !b.s.FullMayHaveRun || res == NoConnection || res == NeverSent
}

// maySend says whether the rules let a further attempt of r go to w.
func (b *Balancer) maySend(now time.Duration, r *request, w *worker) bool {
	c := r.class
	ran := b.mayHaveRun(r)
	if ran == nil || c.Effect == Safe {
		return true
	}
	if c.Effect == Unsafe || now-ran.sentAt+2*b.s.Tick > c.Window {
		return false
	}
	return c.Scope == ScopeAll || w.Zone == ran.to.Zone && (c.Scope == ScopeZone || w.Cell == ran.to.Cell)
}

// place sends what is held and has room: by priority, then the most worth for the work first.
func (b *Balancer) place(now time.Duration) {
	for _, r := range b.held {
		r.value = b.value(now, r)
		b.top = max(b.top*0.999, r.value)
	}
	slices.SortStableFunc(b.held, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(y.value, x.value))
	})
	kept, misses := b.held[:0], 0
	for _, r := range b.held {
		if (misses < 4 || r.kept != nil) && b.mayGo(now, r) {
			if w := b.draw(now, r); w != nil {
				r.held = false
				b.send(now, r, w)
				continue
			}
			misses++
		}
		kept = append(kept, r)
	}
	clear(b.held[len(kept):])
	b.held = kept
	if len(kept) > 0 && !b.ticking {
		b.ticking = true
		b.do(Action{Kind: Wake, Timer: tickTimer, After: max(2*b.s.Tick, 10*time.Millisecond)})
	}
}

// value is the worth of r for each second of a slot that it takes, times the chance that it is still in time.
func (b *Balancer) value(now time.Duration, r *request) float64 {
	c := r.class
	v := c.Worth / r.slots
	if !b.s.ByWork {
		v /= max(r.work, 1e-3)
	}
	if p, beyond := b.parts[r.tenant]; beyond && now < b.partsTo { // of any of them, as nothing tells which
		v *= p + (1-p)*b.s.BeyondWorth
	}
	// The result hangs on the worst-served class, too: the worse one is served, the sooner its jobs go.
	best := c.met
	for _, x := range b.classes {
		best = max(best, x.met)
	}
	v *= 1 + b.s.Goal.WorstClass/max(1e-9, b.s.Goal.Whole+b.s.Goal.WorstClass)*min(3, metGain*(best-c.met))
	p := b.chance(r, (now - r.arrived).Seconds())
	return v * (p + (1-p)*c.Late)
}

// chance is how likely r is in time if it starts after so many seconds, its work taken as exponential about
// the mean. While all run slowly (a fault that all share), only short jobs have a chance.
func (b *Balancer) chance(r *request, waited float64) float64 {
	spare, gain := r.class.Aim.Seconds()-waited, (r.class.Stretch-b.pace())*max(r.work, 1e-3)
	switch {
	case spare >= 0 && gain >= 0:
		return 1
	case gain > 0:
		return math.Exp(spare / gain)
	case spare > 0:
		return 1 - math.Exp(spare/gain)
	}
	return 0
}

// pace is how much longer than usual jobs run now.
func (b *Balancer) pace() float64 { return (b.ran + b.runMean) / (b.expected + b.runMean + 1e-9) }

// draw picks the worker for r: the softmax over its home and the k neighbours on each side.
func (b *Balancer) draw(now time.Duration, r *request) *worker {
	b.cand = b.cand[:0]
	for pass := 0; pass < 3 && len(b.cand) == 0; pass++ {
		b.gather(now, r, pass)
	}
	if w := r.kept; w != nil && w.listed && w.owns(r) && b.fits(now, r, w, 0) && !slices.Contains(b.cand, w) {
		b.cand = append(b.cand, w)
	}
	best, top := (*worker)(nil), math.Inf(-1)
	for i, w := range b.cand {
		if !b.room(now, r, w) {
			continue
		}
		price := 0.0
		if i > 0 && r.key > 0 {
			price = b.s.Prices.Fetch
		}
		// The largest of Gumbel noise less theta x cost is a draw with weights exp(-theta x cost).
		if x := -math.Log(b.rng.ExpFloat64()) - theta*b.cost(now, w, price); x > top {
			best, top = w, x
		}
	}
	return best
}

// gather collects the home of r and its neighbours, alternating sides, passing over workers that r may
// not use. Pass 1 takes in workers already tried, pass 2 ejected ones too.
func (b *Balancer) gather(now time.Duration, r *request, pass int) {
	n := len(b.ring)
	home := int(r.home * float64(n))
	for i, top := 0, uint32(0); r.key > 0 && i < n; i++ { // the same one at every dispatcher
		if x := (r.key ^ b.ring[i].offset) * 0x85ebca6b; (x^x>>15)*0xc2b2ae35 >= top {
			top, home = (x^x>>15)*0xc2b2ae35, i
		}
	}
	for i := 0; i < n && len(b.cand) < 2*neighbours+1; i++ {
		at := home + (i+1)/2*(2*(i%2)-1)
		w := b.ring[(at+n)%n]
		if b.fits(now, r, w, pass) {
			b.cand = append(b.cand, w)
		}
	}
}

func (b *Balancer) fits(now time.Duration, r *request, w *worker, pass int) bool {
	return w.State == Ready && (r.class.Kind == "" || r.class.Kind == w.Kind) &&
		(w.Classes == "" || strings.Contains(w.Classes, ","+r.class.Name+",")) &&
		(len(r.attempts) == 0 || b.maySend(now, r, w)) &&
		(pass == 2 || now >= w.ejectedTo) && (pass > 0 || now >= r.class.shut[w.ID].until) &&
		(pass > 0 || !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == w }))
}

// slots is how many slots w has for work now: fewer while it is cold.
func (b *Balancer) slots(now time.Duration, w *worker) float64 {
	return cmp.Or(w.slots, b.slotsMean) * b.warmth(now, w)
}

func (b *Balancer) warmth(now time.Duration, w *worker) float64 {
	age := now - w.Started
	if w.Started == 0 || age >= b.s.ColdFor {
		return 1
	}
	return b.s.ColdFrom + (1-b.s.ColdFrom)*max(0, age.Seconds())/b.s.ColdFor.Seconds()
}

// note keeps what a dispatcher has out at each worker by its word: nothing, where it names none. The cost
// grows with what was named, not with the workers: with many dispatchers these are most of all events. less
// says that there may be room now.
func (b *Balancer) note(now time.Duration, who int, loads map[string]float64) (less bool) {
	if b.tells[who] == nil {
		b.tells[who] = map[string]float64{}
	}
	had := b.tells[who]
	for id := range had {
		if loads[id] == 0 {
			less = b.noteAt(now, had, id, 0) || less
		}
	}
	for id, slots := range loads {
		less = b.noteAt(now, had, id, slots) || less
	}
	return less
}

func (b *Balancer) noteAt(now time.Duration, had map[string]float64, id string, slots float64) (less bool) {
	less = slots < had[id]
	if w := b.workers[id]; w != nil && had[id] != slots {
		w.told += slots - had[id]
		if more := slots - had[id]; more > 0 && b.warmth(now, w) < 1 {
			b.refill(now, w)
			w.tokens -= more * b.runMean
		}
		w.mark(now)
		had[id] = slots
	}
	if slots == 0 {
		delete(had, id)
	}
	return less
}

// owns says whether room is held at w for r.
func (w *worker) owns(r *request) bool { return w.keep != nil && w.keep.Request == r.id }

// leaves says whether r at w leaves alone what is held there for another.
func (w *worker) leaves(now time.Duration, r *request) bool {
	k := w.keep
	return k == nil || w.owns(r) || r.slots <= k.Spare || r.slots <= k.Most && now <= k.Last[r.class.Name]
}

// load is how many slots of w are taken or waited for: own work, and others' as last reported. Old reports
// fade into the mean of all workers, which may not say that all are full, or dispatchers with late reports
// would stop and start together; it fades when no report comes at all. Nor is w taken for emptier than
// learned caution says, short of one slot: others see the same report, and go there too. Cheap jobs wait.
func (b *Balancer) load(now time.Duration, w *worker) float64 {
	tau := max(b.runMean*b.pace(), 0.2)
	n := b.slots(now, w)
	mean := n * max(0, min(b.others, b.blind)) * math.Exp(-(now-b.heardAt).Seconds()/(3*tau))
	if w.repAt == 0 {
		return w.own + w.told + mean
	}
	fresh := math.Exp(-(now - w.repAt + b.lag).Seconds() / tau)
	floor := min(n-1, n*(b.blind-blindShare)/(blindMost-blindShare))
	return w.own + max(0, floor, w.told+mean+(w.others-mean)*fresh)
}

// slow is how much longer than the average worker w needs for a job.
func (b *Balancer) slow(w *worker) float64 {
	prior := speedPrior * max(b.runMean, 1e-3)
	return (w.ran + prior*b.pace()) / (w.expected + prior)
}

// wait is how long a job of so many slots would wait in w's queue. However cold, w runs one job at a time:
// one with a single slot would else stand idle until it is warm. What it may be sent is coldRoom's to bound.
func (b *Balancer) wait(now time.Duration, w *worker, slots float64) time.Duration {
	n := max(1, b.slots(now, w))
	return seconds(max(0, b.load(now, w)+slots-n) / n * b.runMean * b.slow(w))
}

func (b *Balancer) room(now time.Duration, r *request, w *worker) bool {
	if now < w.fullTo || w.trial && w.outs > 0 || !b.coldRoom(now, r, w) || !w.leaves(now, r) {
		return false
	}
	// While requests are refused, cheap jobs leave some slots to dear ones, or these would come too late.
	kept := min(reserveMost, b.shed) * b.slots(now, w) * max(0, 1-r.value/max(cheapShare*b.top, 1e-9))
	if r.class.Effect == Unsafe && b.s.TellsStart { // it cannot leave a queue: careful in need
		kept += b.shed - unsafeSpare
	}
	return b.wait(now, w, r.slots+kept-slotSlack) <= 0
}

// cost is the Q of the softmax: the load, scaled by the speed of w, and the prices of what choosing w brings.
func (b *Balancer) cost(now time.Duration, w *worker, price float64) float64 {
	if w.Zone != b.s.Zone {
		price += b.s.Prices.CrossZone
	}
	if w.outs >= w.conns || now-w.endedAt >= b.s.ConnIdle {
		price += b.s.Prices.Handshake // all open connections are busy, or were closed as idle
	}
	return b.slow(w)/b.warmth(now, w)*(1+b.load(now, w)/max(b.slots(now, w), 0.1)) + priceWeight*price
}

// coldRoom keeps what a cold worker may be sent, in seconds of work: by this dispatcher and by those whose
// words it hears. So one allowance is all dispatchers', and none of it lies idle. Who may not speak has a
// share. With others about it begins empty, is first used at different times, and in small bursts.
func (b *Balancer) coldRoom(now time.Duration, r *request, w *worker) bool {
	if b.warmth(now, w) >= 1 {
		return true
	}
	burst := b.refill(now, w)
	return burst > 0 && w.tokens >= min(burst, r.work*r.slots)
}

// refill reckons the allowance of a cold worker up to now, as must be done before anything is taken off it,
// and returns the most that it comes to.
func (b *Balancer) refill(now time.Duration, w *worker) (burst float64) {
	rate := coldSafety * b.cold * b.s.FallMultiple * b.slots(now, w) / max(1, b.slow(w))
	if b.s.apart() {
		rate *= apartShare / float64(b.s.Fleet)
	}
	burst = rate * b.s.FallWindow.Seconds()
	if b.s.Fleet > 1 {
		if burst /= 4; w.tokensAt == 0 {
			w.tokens, w.tokensAt = -b.rng.Float64()*b.runMean, now
		}
	}
	w.tokens, w.tokensAt = min(burst, w.tokens+rate*(now-w.tokensAt).Seconds()), now
	return burst
}

func (b *Balancer) send(now time.Duration, r *request, w *worker) {
	wait := b.wait(now, w, r.slots)
	b.own(now, w, r, 1)
	w.tokens -= r.work * r.slots
	if w.keep != nil && !w.owns(r) {
		w.keep.Spare -= r.slots // until it is told anew
	}
	// It may have to connect first. Notes that come at once tell of no slot sooner than a tick's would.
	prompt := max(cmp.Or(b.startDelay[w.Zone], b.s.DialTimeout/4), b.s.Tick)
	a := attempt{to: w, sentAt: now, wait: wait, out: true, lookAt: now + wait + 4*prompt + 2*b.s.Tick}
	if !b.s.TellsStart {
		b.short(now > r.aimBy)
		a.lookAt = now + 2*wait + seconds(5*r.work*b.slow(w)) + b.s.ProgressEvery*5/2
	}
	if len(r.attempts) > 0 {
		b.extras = append(b.extras, mark{now, b.paid})
	}
	r.attempts = append(r.attempts, a)
	b.do(Action{Kind: Send, Request: r.id, Worker: w.ID})
	b.wake(now, r, min(a.lookAt, r.answerBy))
}

// own notes a change of this dispatcher's own work at w.
func (b *Balancer) own(now time.Duration, w *worker, r *request, n int) {
	w.own = max(0, w.own+float64(n)*r.slots)
	w.outs, r.outs = w.outs+n, r.outs+n
	w.conns = max(w.conns, w.outs)
	w.mark(now)
}

// mark notes what is known to be at w: own work and what others told of theirs.
func (w *worker) mark(now time.Duration) {
	if len(w.marks) >= 64 {
		w.marks = slices.Delete(w.marks, 0, 32)
	}
	w.marks = append(w.marks, mark{now, w.own + w.told})
}

func (w *worker) ownAt(at time.Duration) float64 {
	for i := len(w.marks) - 1; i >= 0; i-- {
		if w.marks[i].at <= at {
			return w.marks[i].x
		}
	}
	return 0
}

// review looks at a request whose timer came due.
func (b *Balancer) review(now time.Duration, r *request) {
	next := r.answerBy
	running := func(a attempt) bool { return a.out && a.startAt > 0 }
	// Without word of others' jobs nobody knows that one which waits at a worker has no chance any more.
	if r.held || !b.s.apart() && b.s.TellsStart && !slices.ContainsFunc(r.attempts, running) {
		next = r.hopeBy
	}
	if now >= next {
		b.short(true)
		b.answer(now, r)
		return
	}
	for i := range r.attempts {
		if r.attempts[i].out {
			next = min(next, b.look(now, r, i))
		}
	}
	b.wake(now, r, next)
}

// short notes whether a job found capacity too late.
func (b *Balancer) short(late bool) {
	b.shed -= shedShare * b.shed
	if late {
		b.shed += shedShare
	}
}

// look judges an attempt of which nothing more was heard in time, and says when to look again.
func (b *Balancer) look(now time.Duration, r *request, i int) time.Duration {
	a := &r.attempts[i]
	if now < a.lookAt {
		return a.lookAt
	}
	a.lookAt = now + 4*b.s.Tick + time.Millisecond
	w, patience := a.to, seconds(5*r.work*b.slow(a.to))
	if b.s.TellsStart && a.startAt == 0 {
		// It waits though it was sent to a free slot: w is fuller than its late reports say.
		w.fullTo = max(w.fullTo, now+b.turnover(now, w))
		if !a.missed {
			a.missed = true
			b.blind = min(blindMost, b.blind+blindStep)
		}
		// The more is out there, the sooner some word is due. A dispatcher with one job there that took the
		// wait behind others' jobs for silence would eject workers that are well.
		patience = seconds(4 * b.runMean * b.slow(w) / float64(max(1, w.outs)))
		if b.s.apart() && w.outs < 3 { // nor does anybody tell it of those jobs
			patience *= 3
		}
	} else if b.s.ProgressEvery > 0 {
		patience = b.s.ProgressEvery * 5 / 2
	}
	since := max(a.heardAt, a.sentAt+2*a.wait)
	if now >= since+patience && w.heardAt <= since {
		b.eject(now, w, false) // it takes work and answers nothing
	}
	if b.s.TellsStart && a.startAt == 0 {
		b.move(now, r, i) // last, as a copy that it sends moves the attempts
	}
	return r.attempts[i].lookAt
}

// turnover is how long w needs to free a slot.
func (b *Balancer) turnover(now time.Duration, w *worker) time.Duration {
	return seconds(b.runMean * b.slow(w) / max(b.slots(now, w), 1))
}

// move gives a request that waits in a queue another chance where there is room: by a second copy, or by
// withdrawing the first from a worker judged unfit. From one that works that may stop nothing: the job runs
// for nobody, and the queue that was the reason grows by it.
func (b *Balancer) move(now time.Duration, r *request, i int) {
	a, copies := &r.attempts[i], b.s.Duplicates
	if len(r.attempts) >= r.class.attempts || r.class.Effect == Unsafe || a.cancelled || !b.mayRetry(now) ||
		b.retries < 0 || copies && b.retries < retryBurst/2 || !copies && now >= a.to.ejectedTo {
		return
	}
	w := b.draw(now, r)
	if w == nil {
		return
	}
	b.retries-- // given back if it starts promptly where it goes
	if b.s.Duplicates {
		b.send(now, r, w)
	} else {
		b.cancel(r, i)
	}
}

func (b *Balancer) find(ev *Event) (*request, *attempt) {
	if r := b.reqs[ev.Request]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		return r, &r.attempts[ev.Attempt]
	}
	return nil, nil
}

func (b *Balancer) noted(now time.Duration, ev *Event) {
	r, a := b.find(ev)
	if a == nil || !a.out {
		return
	}
	a.heardAt, a.lookAt = now, now+b.s.ProgressEvery*5/2
	b.heard(now, a.to)
	if ev.Started && a.startAt == 0 {
		a.startAt = now
		b.started(now, r, a)
	}
	if !r.done {
		b.wake(now, r, min(a.lookAt, r.answerBy))
	}
}

// started takes from the start of an attempt that its worker had a slot, and withdraws copies that wait.
func (b *Balancer) started(now time.Duration, r *request, a *attempt) {
	b.short(now > r.aimBy)
	d := now - a.sentAt
	usual := min(d, cmp.Or(b.startDelay[a.to.Zone], d)) // by zone, or all starts far away would seem missed
	b.startDelay[a.to.Zone] = usual + (min(d, 2*usual)-usual)/64
	if !a.missed {
		b.blind = max(blindShare/2, b.blind-blindStep/blindOdds)
		if a != &r.attempts[0] {
			b.retries = min(retryBurst, b.retries+1)
		}
	}
	for i := range r.attempts {
		if r.attempts[i].startAt == 0 {
			b.cancel(r, i)
		}
	}
}

// heard notes that w is alive; one ejected for its silence comes back.
func (b *Balancer) heard(now time.Duration, w *worker) {
	w.heardAt = now
	if now < w.ejectedTo && !w.hard && w.streak == 0 {
		w.ejectedTo = now
	}
}

func (b *Balancer) ended(now time.Duration, ev *Event) {
	r, a := b.find(ev)
	if a == nil || !a.out {
		return
	}
	w := a.to
	a.out, a.result, w.endedAt = false, ev.Result, now
	b.own(now, w, r, -1)
	if ev.Result == TimedOut || ev.Result == Reset || ev.Result == Cancelled {
		r.doubt = now + b.s.OrderRest
	}
	b.report(now, w, &ev.Report)
	b.learn(now, r, a, ev)
	b.judge(now, w, r.class, ev.Result)
	b.drop(w)
	if ev.Result != OK && ev.Result != Full && !b.neverRan(ev.Result) && !a.cancelled {
		b.retries = max(-1, b.retries-1)
	}
	switch {
	case r.done:
		b.forget(r)
	case ev.Final:
		b.close(now, r)
	case now >= r.answerBy || r.outs == 0 && (len(r.attempts) >= r.class.attempts || now >= r.hopeBy ||
		b.retries < 0 || r.class.Effect == Unsafe && b.mayHaveRun(r) != nil),
		// Where no start is told, to try on after 'full' fills every queue until all answers are late.
		ev.Result == Full && r.outs == 0 && !b.s.TellsStart:
		b.answer(now, r)
	case r.outs == 0 && !r.held:
		r.home = b.newHome()
		b.hold(now, r)
	}
	b.place(now)
}

// learn takes from a served attempt how long jobs of its class run and how fast the worker is.
func (b *Balancer) learn(now time.Duration, r *request, a *attempt, ev *Event) {
	if ev.Result != OK {
		return
	}
	c, w := r.class, a.to
	c.met += metShare * (1 - c.met)
	run := max((now - cmp.Or(a.startAt, a.sentAt+a.wait)).Seconds(), 0.1*(now-a.sentAt).Seconds(), 1e-4)
	w.ran, w.expected = w.ran*forget+run, w.expected*forget+r.work
	b.ran, b.expected = b.ran*paceForget+run, b.expected*paceForget+r.work
	c.runs, c.work, c.hints = c.runs*usualForget+1, c.work*usualForget+run, c.hints*usualForget+r.hint
	b.runMean += 0.02 * (r.work - b.runMean)
}

// judge draws from a result what it says about the worker's health.
func (b *Balancer) judge(now time.Duration, w *worker, c *class, res Result) {
	switch res {
	case OK:
		b.heard(now, w)
		w.streak, w.trial, w.hard = 0, false, false
		delete(c.shut, w.ID)
		if now > w.ejectedTo+16*ejectFor {
			w.ejections = 0
		}
	case Failed, Reset:
		b.heard(now, w)
		// A connection may break though the worker is well: of such breaks it takes twice as many.
		if w.streak++; res == Failed {
			w.streak++
		}
		if w.streak >= 4 {
			b.eject(now, w, false)
		}
	case Full:
		b.heard(now, w)
		// None of its class while others are there, as some shed one class alone; and for longer each time,
		// as a worker that turns all away looks idle.
		maps.DeleteFunc(c.shut, func(_ string, x rest) bool { return now >= x.until+shutFor })
		x := rest{now + shutFor, c.shut[w.ID].times + 1}
		if b.neverRan(Full) {
			w.fullTo = now + b.turnover(now, w)
			x.until = now + b.turnover(now, w)<<min(x.times, 6)
		}
		c.shut[w.ID] = x
	case NoConnection:
		b.eject(now, w, true)
	}
}

// eject takes w from the ring for a while, longer each time. A fault that most workers share ejects no
// more than half of them; one that cannot be reached at all is no use to anybody.
func (b *Balancer) eject(now time.Duration, w *worker, hard bool) {
	out := 0
	for _, x := range b.ring {
		if now < x.ejectedTo && !x.hard {
			out++
		}
	}
	if now < w.ejectedTo || !hard && 2*(out+1) > len(b.ring) {
		return
	}
	b.do(Action{Kind: Doubt, Worker: w.ID, Failing: w.streak >= 4})
	w.hard, w.trial, w.streak = hard, true, min(w.streak, 2) // in the trial half as much is enough
	w.ejectedTo = now + ejectFor<<min(w.ejections, ejectMost)
	w.ejections++
}

// report takes in a worker's figures. Own work at the time they were taken is subtracted, so that it
// counts once.
func (b *Balancer) report(now time.Duration, w *worker, rep *Report) {
	if !rep.Present {
		return
	}
	b.heardAt = now
	total := rep.InFlight * b.slotMean
	if b.s.ReportsFree && rep.Free >= 0 && rep.InFlight >= 0 {
		n := rep.Free + max(0, rep.InFlight-max(0, rep.Waiting))*b.slotMean
		had := cmp.Or(w.slots, max(n, 1))
		w.slots = max(1, had+0.1*(n-had))
		b.slotsMean += 0.02 * (w.slots - b.slotsMean)
		total = w.slots - rep.Free + max(0, rep.Waiting)*b.slotMean
	}
	if total < 0 {
		return
	}
	if w.rep != *rep || w.repAt == 0 { // else the same figures again, perhaps of the same moment
		b.fit(now, w, total)
		w.others = total - w.ownAt(now-b.lag)
	}
	w.rep, w.repAt = *rep, now
	b.others += 0.05 * (w.others/max(w.slots, 1) - b.others)
}

// fit finds the age of the reports: the one at which own work explains most of what they say. Reports that
// come seconds late would else have their old load counted as others' (and good workers refused).
func (b *Balancer) fit(now time.Duration, w *worker, total float64) {
	best := 0
	for i, lag := range lags {
		d := (total - w.ownAt(now-lag) - w.mean) / max(w.slots, 1)
		b.misfit[i] += 0.03 * (d*d - b.misfit[i])
		if b.misfit[i] < 0.98*b.misfit[best] {
			best = i
		}
	}
	b.lag = lags[best]
	w.mean += 0.1 * (total - w.ownAt(now-b.lag) - w.mean)
}

// hash is the same at every dispatcher, and never 0.
func hash(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32() | 1
}

func seconds(x float64) time.Duration {
	return time.Duration(max(-1e9, min(1e9, x)) * float64(time.Second))
}
