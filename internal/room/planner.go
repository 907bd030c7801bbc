package room

import (
	"math"
)

const (
	tickEvery   = 10.0 // milliseconds, while a large flow waits or room is held
	tryMost     = 4    // large flows looked at in a tick
	reviewMost  = 32   // holds looked at in a tick, in turn
	lookMost    = 8    // targets looked at for one of them
	endQuantile = 0.6  // of a running time: when a job that runs is expected to end
	slack       = 0.05 // of a slot may be missing: what is believed of targets is noisy
	shortMemory = 0.02 // units
	governEvery = 500.0
	dropForget  = 0.9993 // of the share of small flows that are unserved for what is held, at each one
	missForget  = 0.999  // the same of those unserved, with room held and without
	missEnough  = 200    // small flows before that is believed,
	lackEnough  = 40     // and large ones
	firstScale  = 0.3    // of the share that may be held, at the start
	trialEvery  = 6000   // ms: while the governor doubts, nothing is held for the first part,
	trialFor    = 800    // of so long,
	trialAfter  = 300    // and what comes so long after its begin counts for it
	growStep    = 0.025  // of the governor's scale, in one look
	dropMost    = 2.0    // times what the operator allows: no trial is needed
	shrinkStep  = 0.5
	gapGain     = 0.02 // of the quantile by which gaps are judged, for each wrong guess
	leastScale  = 0.05
)

// flow is a request while it waits, or an attempt of it while it is out.
type flow struct {
	id         uint64
	class      int
	size       int // of the learned times
	tenant     *tenant
	need, mem  float64
	latest     float64
	sort       string
	large      bool
	waits      bool
	waitFrom   float64
	at         int // in the queue of large flows, or -1
	hold       *hold
	moves      int
	on         *target // while an attempt is out
	ranFrom    float64 // its start, or its sending while no start is told
	started    bool
	gapUntil   float64 // it went into a gap that ends then; 0: it did not
	besideHold bool    // room was held while it waited for the attempt that is out
	trial      bool    // it came while nothing was held, for a trial,
	unclear    bool    // and what had been held may still show
	done       bool    // it is over, and forgotten once its attempt is
}

// tenant is one account of held slots.
type tenant struct{ held float64 }

// target is what is known of one.
type target struct {
	id       string
	hash     uint32
	sort     string
	can      string
	up       bool
	measured bool
	slots    float64
	busy     float64
	memory   float64 // free; below 0: unknown
	slow     float64
	cold     bool
	usable   float64
	runs     []*flow // own attempts out
	hold     *hold   // in force: own, or another scheduler's
	mine     *hold   // own, in force or about to give way
	others   []*hold // those of other schedulers
	ready    [maxSizes]float64
	pos      [maxSizes]int
	dirty    bool
	number   uint64 // order of arrival, to settle ties
}

// hold is room kept at a target.
type hold struct {
	target *target
	flow   *flow // nil: another scheduler's
	who    int
	slots  float64
	from   float64 // when it is needed
	since  float64
	spare  float64
	last   []float64
	told   bool // to the host, in this form
	at     int  // among the own ones
}

// Planner plans for one scheduler.
type Planner struct {
	c        Config
	classes  map[string]int
	times    *book
	tenants  map[string]*tenant
	flows    map[uint64]*flow
	targets  map[string]*target
	sizes    []float64                // distinct needs of large flows, ascending
	ready    [maxSizes]*heap[*target] // by when so many slots are free
	dirty    []*target
	queue    heap[*flow] // large ones that wait, by their latest start
	holds    []*hold     // own
	foreign  map[int][]*hold
	slots    float64   // of all targets that are up
	held     float64   // by anybody, as far as told
	anyHeld  float64   // when room was last held
	quant    float64   // by which gaps are judged
	scale    float64   // the governor's: of the share that may be held
	drop     float64   // share of small flows that are unserved for what is held
	govern   float64   // when it looks next
	doubt    bool      // the governor makes trials
	miss     [3]missed // share of the small flows unserved: with room held, and in trials without
	lack     [3]missed // the same of the large ones
	ticking  bool
	turn     int
	widest   float64 // slots of the largest target,
	widestAt float64 // looked for again then
	number   uint64
	free     []*flow
	spare    []*hold
	ends     []end
	tried    []*target
	acts     []Action

	Counts Counts
}

// missed is a share that forgets.
type missed struct{ share, n float64 }

func (m *missed) add(hit float64) {
	m.n++
	m.share += max(1/m.n, 1-missForget) * (hit - m.share)
}

type end struct{ at, slots, mem float64 }

// New returns a planner, or says which setting is impossible.
func New(c Config) (*Planner, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	p := &Planner{c: c, classes: map[string]int{}, times: newBook(len(c.Classes)), tenants: map[string]*tenant{},
		flows: map[uint64]*flow{}, targets: map[string]*target{}, foreign: map[int][]*hold{},
		quant: c.Confidence, scale: firstScale, anyHeld: math.Inf(-1)}
	for i, name := range c.Classes {
		p.classes[name] = i
	}
	p.queue = heap[*flow]{
		less:  func(a, b *flow) bool { return a.latest < b.latest || a.latest == b.latest && a.id < b.id },
		place: func(f *flow, at int) { f.at = at }}
	return p, nil
}

// Step takes one event at the given time and appends the actions that answer it.
func (p *Planner) Step(now float64, ev *Event, acts []Action) []Action {
	p.acts = acts
	switch ev.Kind {
	case Up:
		p.targetUp(now, ev)
	case Down:
		if t := p.targets[ev.Target]; t != nil {
			p.targetDown(now, t)
		}
	case Measured:
		p.measured(now, ev)
	case Waits:
		p.waits(now, ev)
	case Begun:
		p.begun(now, ev)
	case Started:
		if f := p.flows[ev.Flow]; f != nil && f.on != nil && !f.started {
			f.started, f.ranFrom = true, now
			p.touch(now, f.on)
		}
	case Ended:
		p.ended(now, ev)
	case Over:
		p.over(now, ev)
	case Heard:
		p.heard(now, ev)
	case Due:
		p.ticking = false
		p.tick(now)
	}
	if !p.ticking && (len(p.queue.items) > 0 || len(p.holds) > 0) {
		p.ticking = true
		p.acts = append(p.acts, Action{Kind: Wake, At: now + tickEvery})
	}
	acts, p.acts = p.acts, nil
	return acts
}

// Own calls yield with each hold of this scheduler and the slots that it has out there besides.
func (p *Planner) Own(yield func(target string, slots, out, from float64)) {
	for _, h := range p.holds {
		yield(h.target.id, h.slots, h.target.own(), h.from)
	}
}

// Scale is the governor's present share of what may be held, and Drop the share of small
// flows that went unserved beside held room, of late.
func (p *Planner) Scale() (scale, drop float64) { return p.scale, p.drop }

// Confidence is the quantile by which gaps are judged now.
func (p *Planner) Confidence() float64 { return p.quant }
