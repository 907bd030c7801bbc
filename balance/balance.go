// The interface (settings, events, actions) is in balance/api.go; here are the state and the events' ways.
//
// Vocabulary: a job is held (waiting here), out (an attempt at a worker has not ended) or done (answered).
// The ring is the sorted list of ready workers. A worker is ejected while it is judged unfit.

package balance

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
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
	backOffTo                time.Duration // while it is cold
	tokens                   float64       // seconds of work that may be sent while cold
	offset                   uint32        // hash of the id
	keep                     *Keep         // room held there, if any
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
			b.close(now, r, ClientLeft)
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

// hash is the same at every dispatcher, and never 0.
func hash(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32() | 1
}

func seconds(x float64) time.Duration {
	return time.Duration(max(-1e9, min(1e9, x)) * float64(time.Second))
}
