package room

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
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

func (p *Planner) targetUp(now float64, ev *Event) {
	t := p.targets[ev.Target]
	if t == nil {
		if len(p.targets) >= MaxTargets {
			p.Counts.Bounded++
			return
		}
		p.number++
		t = &target{id: ev.Target, number: p.number, memory: -1, slow: 1}
		p.targets[t.id] = t
		for i := range t.pos {
			t.pos[i], t.ready[i] = -1, math.Inf(1)
			if i < len(p.sizes) {
				p.ready[i].put(t)
			}
		}
	}
	t.hash, t.sort, t.can = ev.Hash, ev.Sort, ev.Can
	if !t.up {
		t.up = true
		p.slots += t.slots
	}
	p.touch(now, t)
}

func (p *Planner) targetDown(now float64, t *target) {
	if !t.up {
		return
	}
	t.up = false
	p.slots -= t.slots
	for len(t.others) > 0 {
		p.unhold(now, t.others[0], TargetLeft)
	}
	if h := t.hold; h != nil {
		p.move(now, h, TargetLeft)
	}
	p.touch(now, t)
	p.prune(t)
}

// prune forgets a target that is neither up nor has work of ours.
func (p *Planner) prune(t *target) {
	if t.up || len(t.runs) > 0 || t.hold != nil {
		return
	}
	for i := range p.sizes {
		if t.pos[i] >= 0 {
			p.ready[i].remove(t.pos[i])
		}
	}
	if t.dirty {
		p.dirty = slices.DeleteFunc(p.dirty, func(x *target) bool { return x == t })
	}
	delete(p.targets, t.id)
}

func (p *Planner) measured(now float64, ev *Event) {
	t := p.targets[ev.Target]
	if t == nil {
		return
	}
	if t.up {
		p.slots += ev.Slots - t.slots
	}
	t.slots, t.busy, t.slow, t.cold, t.usable = ev.Slots, ev.Busy, max(ev.Slow, 0.01), ev.Cold, ev.Usable
	if ev.Memory >= 0 {
		t.memory = ev.Memory
	}
	t.measured = true
	p.widest = max(p.widest, t.slots+slack)
	p.touch(now, t)
}

// touch notes that something is new at a target, and looks at what is held there at once.
func (p *Planner) touch(now float64, t *target) {
	if !t.dirty {
		t.dirty = true
		p.dirty = append(p.dirty, t)
	}
	if t.hold != nil {
		p.review(now, t.hold)
	}
}

func (t *target) own() (slots float64) {
	for _, f := range t.runs {
		slots += f.need
	}
	return slots
}

func (p *Planner) sizeOf(need float64) int {
	i, ok := slices.BinarySearch(p.sizes, need)
	switch {
	case ok:
		return i
	case len(p.sizes) < maxSizes:
		return -1
	}
	return min(i, maxSizes-1)
}

// size returns the place of a number of slots among those that are told apart, and makes
// one while there is room. As places move, the targets' heaps are made anew: six times at most.
func (p *Planner) size(need float64) int {
	if i := p.sizeOf(need); i >= 0 {
		return i
	}
	p.sizes = append(p.sizes, need)
	slices.Sort(p.sizes)
	at, _ := slices.BinarySearch(p.sizes, need)
	for _, f := range p.flows {
		if f.size >= at {
			f.size++
		}
	}
	for c := range p.times.by {
		copy(p.times.by[c][at+1:], p.times.by[c][at:])
		p.times.by[c][at] = nil
	}
	clear(p.ready[:])
	for i := range p.sizes {
		p.ready[i] = &heap[*target]{
			less: func(a, b *target) bool {
				return a.ready[i] < b.ready[i] || a.ready[i] == b.ready[i] && a.number < b.number
			},
			place: func(t *target, at int) { t.pos[i] = at }}
	}
	p.dirty = p.dirty[:0]
	for _, t := range p.inOrder() {
		for i := range p.sizes {
			t.ready[i] = math.Inf(1)
			p.ready[i].put(t)
		}
		t.dirty = true
		p.dirty = append(p.dirty, t)
	}
	return at
}

// flow returns the flow of an id, new if need be; nil where the planner keeps no more.
func (p *Planner) flow(now float64, ev *Event) *flow {
	if f := p.flows[ev.Flow]; f != nil {
		return f
	}
	class, ok := p.classes[ev.Class]
	if !ok || len(p.flows) >= MaxFlows {
		p.Counts.Bounded++
		return nil
	}
	var f *flow
	if n := len(p.free); n > 0 {
		f, p.free = p.free[n-1], p.free[:n-1]
	} else {
		f = &flow{}
	}
	*f = flow{id: ev.Flow, class: class, need: max(ev.Need, 1), mem: ev.Memory, sort: ev.Sort, at: -1}
	f.size, f.trial = p.size(f.need), p.onTrial(now)
	f.unclear = f.trial && math.Mod(now, trialEvery) < trialAfter
	f.large = f.need >= p.c.Large
	p.flows[f.id] = f
	return f
}

func (p *Planner) tenantOf(name string) *tenant {
	t := p.tenants[name]
	if t == nil {
		if len(p.tenants) >= maxTenants {
			name = ""
			if t = p.tenants[name]; t != nil {
				return t
			}
		}
		t = &tenant{}
		p.tenants[name] = t
	}
	return t
}

func (p *Planner) waits(now float64, ev *Event) {
	f := p.flow(now, ev)
	if f == nil || f.done || f.on != nil {
		return // it is over, or not waiting at all
	}
	f.waits, f.waitFrom, f.latest, f.besideHold = true, now, ev.Latest, false
	f.tenant = p.tenantOf(ev.Tenant)
	if !f.large {
		return
	}
	if f.at < 0 {
		p.queue.put(f)
	} else {
		p.queue.fix(f.at)
	}
	p.seek(now, f)
}

// seek holds room for a large flow where it can start earliest, if that is of use to it and
// the bounds allow it.
func (p *Planner) seek(now float64, f *flow) {
	if f.hold != nil || f.moves > maxMoves || now > f.latest {
		return
	}
	if p.onTrial(now) {
		return
	}
	budget := p.c.Share * p.scale * p.slots
	if p.held == 0 && p.scale >= firstScale { // in a small group, one hold may be more than that
		budget = p.c.Share * p.slots
	}
	if p.held+f.need > budget || f.tenant.held > 0 && f.tenant.held+f.need > p.c.TenantShare*budget {
		p.Counts.Refused++
		return
	}
	t, from := p.earliest(now, f)
	if t == nil {
		return
	}
	var h *hold
	if n := len(p.spare); n > 0 {
		h, p.spare = p.spare[n-1], p.spare[:n-1]
	} else {
		h = &hold{last: make([]float64, len(p.c.Classes))}
	}
	*h = hold{target: t, flow: f, who: p.c.Self, slots: f.need, from: from, since: now, last: h.last}
	f.hold = h
	f.moves++
	h.at, t.mine = len(p.holds), h
	p.holds = append(p.holds, h)
	p.held += h.slots
	f.tenant.held += h.slots
	p.anyHeld = now
	p.Counts.Held++
	if f.moves > 1 {
		p.Counts.Moved++
	}
	p.settle(now, t)
}

// earliest finds the target at which f can start first. Targets stand in a heap by when so
// many slots are expected to be free; what that says of one is as old as the last news of it,
// so that it is reckoned anew before it is believed.
func (p *Planner) earliest(now float64, f *flow) (best *target, from float64) {
	for _, t := range p.dirty {
		t.dirty = false
		for i, s := range p.sizes {
			if s >= p.c.Large {
				t.ready[i] = p.readyAt(now, t, s)
				p.ready[i].fix(t.pos[i])
			}
		}
	}
	p.dirty = p.dirty[:0]
	h, need := p.ready[f.size], max(f.need, p.sizes[f.size])
	p.tried = p.tried[:0]
	for looks := 0; looks < lookMost && len(h.items) > 0; looks++ {
		t := h.items[0]
		if t.ready[f.size] > f.latest {
			break
		}
		if at := p.readyAt(now, t, need); at > t.ready[f.size]+0.5 {
			t.ready[f.size] = at
			h.fix(0)
			continue
		}
		if p.serves(now, t, f) {
			best, from = t, max(now, t.ready[f.size])
			break
		}
		p.tried = append(p.tried, h.remove(0))
	}
	for _, t := range p.tried {
		h.put(t)
	}
	if best == nil && len(h.items) > 0 && f.need > p.largest(now) {
		p.Counts.TooLarge++
		f.moves = maxMoves + 1
	} else if best == nil {
		p.Counts.Untenable++
	}
	return best, from
}

// largest is the most slots that any target has, or had a moment ago.
func (p *Planner) largest(now float64) float64 {
	if now >= p.widestAt {
		p.widest, p.widestAt = 0, now+governEvery
		for _, t := range p.targets {
			if t.up {
				p.widest = max(p.widest, t.slots+slack)
			}
		}
	}
	return p.widest
}

// serves says whether f may wait for room at t at all.
func (p *Planner) serves(now float64, t *target, f *flow) bool {
	return t.hold == nil && (f.sort == "" || f.sort == t.sort) && t.runsClass(p.c.Classes[f.class]) &&
		!p.short(f, t, p.readyAt(now, t, f.need))
}

func (t *target) runsClass(class string) bool {
	if t.can == "" {
		return true
	}
	for rest := t.can; len(rest) > len(class)+1; rest = rest[1:] {
		if rest[0] == ',' && rest[1:len(class)+1] == class && rest[len(class)+1] == ',' {
			return true
		}
	}
	return false
}

// readyAt is when so many slots are expected to be free at t, infinite for a target that
// takes nothing or is held. It leaves the expected ends in p.ends, the earliest first.
func (p *Planner) readyAt(now float64, t *target, slots float64) float64 {
	p.ends = p.ends[:0]
	if !t.up || !t.measured || t.cold || t.hold != nil || slots > t.slots+slack || t.usable > now+1000 {
		return math.Inf(1)
	}
	if p.c.Mode == Emptying { // the emptiest first, whatever it runs
		return now + max(0, t.busy+slots-t.slots)*0.001
	}
	return max(p.freeAt(now, t, slots, now), t.usable)
}

// freeAt reckons when so many slots are free at t. Others' work was there at least since the
// given time, as far as known.
func (p *Planner) freeAt(now float64, t *target, slots, since float64) float64 {
	p.ends = p.ends[:0]
	free, own, mem := t.slots-t.busy, 0.0, 0.0
	for i, f := range t.runs {
		own, mem = own+f.need, mem+f.mem
		if i >= maxRuns {
			continue
		}
		p.ends = append(p.ends, end{p.endOf(now, t, f, endQuantile), f.need, f.mem})
	}
	if others := min(math.Round(t.busy-own), maxRuns); others > 0 {
		// Of others' jobs nothing is known but how many slots they take. Where they are in
		// their runs is taken as evenly spread.
		each := 0.0
		if t.memory >= 0 {
			each = max(0, t.slots-t.memory-mem) / others
		}
		for i := 1.0; i <= others; i++ {
			left := 200.0 * i / (others + 1)
			if b := p.times.all; b.known {
				left = b.left(i/(others+1), (now-since)/t.slow) * t.slow
			}
			p.ends = append(p.ends, end{now + left, 1, each})
		}
	}
	if free >= slots-slack {
		return now
	}
	slices.SortFunc(p.ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	for _, e := range p.ends {
		if free += e.slots; free >= slots-slack {
			return e.at
		}
	}
	return math.Inf(1)
}

// endOf is when the attempt of f at t ends, at a quantile of what is learned.
func (p *Planner) endOf(now float64, t *target, f *flow, q float64) float64 {
	if b := p.times.of(f.class, f.size); b != nil {
		return now + b.left(q, (now-f.ranFrom)/t.slow)*t.slow
	}
	return now + 200*t.slow
}

// review looks at held room anew: whether it still can come in time, and what fits beside it.
func (p *Planner) review(now float64, h *hold) {
	t := h.target
	if f := h.flow; f != nil {
		why := reasons
		switch {
		case !t.up:
			why = TargetLeft
		case t.cold:
			why = TargetCold
		case t.usable > f.latest || t.usable > now+1000:
			why = TargetIll
		case h.slots > t.slots+slack:
			why = TargetLeft // it restarted as a smaller one
		case now-h.since > p.c.Longest:
			why = TooLong
		case now > f.latest:
			why = Slipped
		}
		if why == reasons && p.c.Mode != Emptying {
			at := p.freeAt(now, t, h.slots, h.since)
			if max(at, t.usable) > f.latest {
				why = Slipped
			}
			if p.short(f, t, at) {
				why = NoMemory
			}
			h.from = max(at, t.usable, now)
		}
		if why != reasons {
			p.move(now, h, why)
			return
		}
	}
	p.tell(now, h)
}

// short says whether memory will be missing at t for f at the given time: what is reported
// free now, and what those give back that end till then. p.ends must be t's.
func (p *Planner) short(f *flow, t *target, at float64) bool {
	if f.mem <= 0 || t.memory < 0 {
		return false
	}
	free := t.memory
	for _, e := range p.ends {
		if e.at <= at {
			free += e.mem
		}
	}
	return free < f.mem-shortMemory
}

// tell gives the host the hold as it is now, if it is another than told before.
func (p *Planner) tell(now float64, h *hold) {
	t, spare, most := h.target, 0.0, 0.0
	if p.c.Mode == Backfill {
		free := t.slots - t.busy
		for _, f := range t.runs {
			if p.endOf(now, t, f, p.quant) <= h.from {
				free += f.need
			}
		}
		if others := math.Round(t.busy - t.own()); others > 0 && p.times.all.known {
			free += math.Floor(others * p.times.all.share((h.from-min(now, h.since))/t.slow))
		}
		spare = max(0, math.Floor(free-h.slots+slack))
		most = p.c.Large - slack
	}
	same := h.told && h.spare == spare
	for c := range h.last {
		last := math.Inf(-1)
		if p.c.Mode == Backfill {
			last = h.from - p.longest(c)*t.slow
		}
		if d := last - h.last[c]; d > 2 || d < -2 {
			same = false
		}
		h.last[c] = last
	}
	if same {
		return
	}
	h.told, h.spare = true, spare
	a := Action{Kind: Hold, Target: t.id, Spare: spare, Most: most, Last: h.last}
	if h.flow != nil {
		a.Flow = h.flow.id
	}
	p.acts = append(p.acts, a)
}

// longest is the running time that a small job of a class stays under with the confidence
// that gaps need; infinite while nothing is known.
func (p *Planner) longest(class int) (ms float64) {
	for i, s := range p.sizes {
		if i > 0 && s >= p.c.Large {
			break
		}
		b := p.times.of(class, i)
		if b == nil {
			return math.Inf(1)
		}
		ms = max(ms, b.at(p.quant))
	}
	return ms
}

// move lets a hold go and seeks room for its flow elsewhere.
func (p *Planner) move(now float64, h *hold, why Reason) {
	f := h.flow
	p.unhold(now, h, why)
	if why == TooLong {
		f.moves = maxMoves + 1 // it had its time, wherever it would be now
	}
	if f != nil && f.waits && f.at >= 0 {
		p.seek(now, f)
	}
}

// unhold lets a hold go.
func (p *Planner) unhold(now float64, h *hold, why Reason) {
	t := h.target
	p.Counts.LetGo[why]++
	p.held -= h.slots
	p.anyHeld = now
	if f := h.flow; f != nil {
		f.hold = nil
		f.tenant.held -= h.slots
		last := len(p.holds) - 1
		p.holds[h.at], p.holds[last].at = p.holds[last], h.at
		p.holds[last] = nil
		p.holds, t.mine = p.holds[:last], nil
	} else {
		t.others = slices.DeleteFunc(t.others, func(x *hold) bool { return x == h })
		p.foreign[h.who] = slices.DeleteFunc(p.foreign[h.who], func(x *hold) bool { return x == h })
	}
	if t.hold == h {
		t.hold = nil
		a := Action{Kind: LetGo, Target: t.id, Why: why}
		if h.flow != nil {
			a.Flow = h.flow.id
		}
		p.acts = append(p.acts, a)
		if len(t.others) > 0 && t.up {
			p.settle(now, t)
		}
	}
	p.spare = append(p.spare, h)
	if !t.dirty {
		t.dirty = true
		p.dirty = append(p.dirty, t)
	}
	p.prune(t)
}

// right says whether a goes before b at one target: the larger, then by the schedulers'
// numbers, turned by the target's hash so that no scheduler always gives way. Both
// schedulers know all of it once they have heard one another, and so agree without a word.
func (p *Planner) right(a, b *hold) bool {
	if x, y := math.Ceil(a.slots), math.Ceil(b.slots); x != y {
		return x > y
	}
	n, turn := p.c.Fleet, int(a.target.hash%uint32(p.c.Fleet))
	return (a.who+turn)%n < (b.who+turn)%n
}

// settle puts in force the hold at t that has most right. An own one that has less is let
// go, and its flow looks elsewhere.
func (p *Planner) settle(now float64, t *target) {
	own := t.mine
	best := own
	for _, h := range t.others {
		if best == nil || p.right(h, best) {
			best = h
		}
	}
	if t.hold = best; best != nil {
		best.told = false
		p.review(now, best)
	}
	if own != nil && best != own {
		p.move(now, own, Settled)
	}
}

func (p *Planner) begun(now float64, ev *Event) {
	f, t := p.flow(now, ev), p.targets[ev.Target]
	if f == nil || t == nil || f.on != nil {
		return
	}
	f.besideHold = f.waits && p.anyHeldSince(f.waitFrom)
	f.waits = false
	if f.at >= 0 {
		p.queue.remove(f.at)
	}
	if h := f.hold; h != nil {
		why := Elsewhere
		if h.target == t {
			why = Placed
		}
		p.unhold(now, h, why)
	}
	f.gapUntil = 0
	if h := t.hold; h != nil && f.need > h.spare && now <= h.last[f.class] {
		f.gapUntil = h.from
		p.Counts.Gaps++
	}
	if t.hold != nil {
		t.hold.told = false // the host reckons with less from now on, and is told anew
	}
	f.on, f.ranFrom, f.started = t, now, false
	t.runs = append(t.runs, f)
	t.busy += f.need // until it is measured
	p.touch(now, t)
}

func (p *Planner) ended(now float64, ev *Event) {
	f := p.flows[ev.Flow]
	if f == nil || f.on == nil {
		return
	}
	t := f.on
	if ev.OK {
		p.times.add(f.class, f.size, (now-f.ranFrom)/t.slow)
	}
	if f.gapUntil > 0 {
		// The quantile goes up with each wrong guess and down with each right one, so that
		// the share of wrong ones comes to what the operator allows.
		if now > f.gapUntil {
			p.Counts.Wrong++
			p.quant += gapGain * p.c.Confidence
		} else {
			p.quant -= gapGain * (1 - p.c.Confidence)
		}
		p.quant = min(topQuantile, max(0.5, p.quant))
		f.gapUntil = 0
	}
	t.runs = slices.DeleteFunc(t.runs, func(x *flow) bool { return x == f })
	t.busy = max(0, t.busy-f.need)
	f.on = nil
	p.touch(now, t)
	p.prune(t)
	if f.done {
		p.forget(f)
	}
}

func (p *Planner) over(now float64, ev *Event) {
	f := p.flows[ev.Flow]
	if f == nil {
		return
	}
	k, miss := 0, 0.0
	if f.trial {
		k = 1
	}
	if f.unclear {
		k = 2
	}
	if !ev.OK {
		miss = 1
	}
	if f.large {
		p.lack[k].add(miss)
	} else {
		p.miss[k].add(miss)
		p.Counts.SmallOver++
		hit := 0.0
		if !ev.OK && (f.besideHold || f.waits && p.anyHeldSince(f.waitFrom)) {
			hit = 1
			p.Counts.SmallHit++
		}
		p.drop = dropForget*p.drop + (1-dropForget)*hit
		if now >= p.govern {
			p.govern = now + governEvery
			p.governor()
		}
	}
	if f.at >= 0 {
		p.queue.remove(f.at)
	}
	f.waits = false
	if f.hold != nil {
		p.unhold(now, f.hold, Answered)
	}
	if f.done = true; f.on == nil {
		p.forget(f)
	}
}

func (p *Planner) anyHeldSince(at float64) bool { return len(p.holds) > 0 || p.anyHeld >= at }

// forget gives a flow's place back. One that is over with an attempt out is forgotten at its end.
func (p *Planner) forget(f *flow) {
	delete(p.flows, f.id)
	p.free = append(p.free, f)
}

// governor holds less while small flows lose more by it than the operator allows. Those that
// went unserved after they waited beside held room are the most that it can have cost. Only
// where that is too much does it look closer: for a part of the time nothing is held, and
// what goes unserved then would have anyway. Large flows that fare no better with held room
// than without are a reason to hold less, too.
func (p *Planner) governor() {
	if p.drop <= p.c.SmallDrop {
		p.doubt, p.scale = false, min(1, p.scale+growStep)
		return
	}
	if !p.doubt {
		p.doubt, p.miss, p.lack = true, [3]missed{}, [3]missed{}
	}
	if p.drop > dropMost*p.c.SmallDrop {
		p.scale = max(leastScale, p.scale*shrinkStep)
		return
	}
	if p.miss[0].n < missEnough || p.miss[1].n < missEnough {
		return
	}
	cost := p.miss[0].share - p.miss[1].share
	vain := p.lack[0].n >= lackEnough && p.lack[1].n >= lackEnough && p.lack[0].share >= p.lack[1].share
	// What is held now shows in what goes unserved a while later, so it turns back early.
	if cost > 0.6*p.c.SmallDrop || vain {
		p.scale = max(leastScale, p.scale*shrinkStep)
	} else if cost < 0.3*p.c.SmallDrop {
		p.scale = min(1, p.scale+growStep/2)
	}
}

// onTrial says whether nothing is held now, so that it shows what held room costs.
func (p *Planner) onTrial(now float64) bool {
	return p.doubt && math.Mod(now, trialEvery) < trialFor
}

// heard takes in all that another scheduler holds now.
func (p *Planner) heard(now float64, ev *Event) {
	old := p.foreign[ev.Who]
	for i := len(old) - 1; i >= 0; i-- {
		h := old[i]
		if !slices.ContainsFunc(ev.Holds, func(x Foreign) bool { return x.Target == h.target.id && x.Slots == h.slots }) {
			p.unhold(now, h, Unheard)
			old = p.foreign[ev.Who]
		}
	}
	for _, x := range ev.Holds {
		t := p.targets[x.Target]
		if t == nil || !t.up {
			continue
		}
		if i := slices.IndexFunc(t.others, func(h *hold) bool { return h.who == ev.Who }); i >= 0 {
			h := t.others[i]
			h.from = x.From
			if t.hold == h {
				p.review(now, h)
			}
			continue
		}
		h := &hold{target: t, who: ev.Who, slots: x.Slots, from: x.From, since: now, last: make([]float64, len(p.c.Classes))}
		t.others = append(t.others, h)
		p.foreign[ev.Who] = append(p.foreign[ev.Who], h)
		p.held += h.slots
		p.settle(now, t)
	}
}

// tick looks again at what is held and at the large flows that wait, the most urgent first.
func (p *Planner) tick(now float64) {
	// News of a target has its hold looked at; this is for time that goes by without any.
	for range min(reviewMost, len(p.holds)) {
		if len(p.holds) == 0 {
			break
		}
		p.turn = (p.turn + 1) % len(p.holds)
		p.review(now, p.holds[p.turn])
	}
	var again [4 * tryMost]*flow
	n := 0
	for sought := 0; n < len(again) && len(p.queue.items) > 0 && sought < tryMost; {
		f := p.queue.remove(0)
		if now > f.latest || f.moves > maxMoves { // no room can serve it any more
			continue
		}
		if f.hold == nil {
			p.seek(now, f)
			sought++
		}
		again[n] = f
		n++
	}
	for _, f := range again[:n] {
		if f.waits && f.at < 0 {
			p.queue.put(f)
		}
	}
}

// inOrder lists the targets in the order of their coming, not of the map: the same events
// must give the same actions.
func (p *Planner) inOrder() []*target {
	return slices.SortedFunc(maps.Values(p.targets), func(a, b *target) int { return cmp.Compare(a.number, b.number) })
}

// Targets names the targets that are up, in the order of their coming.
func (p *Planner) Targets() (ids []string) {
	for _, t := range p.inOrder() {
		if t.up {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// Trials is what share of the small flows went unserved while room was held and, in trials,
// while none was; doubt says whether the governor makes any.
func (p *Planner) Trials() (held, without float64, doubt bool) {
	return p.miss[0].share, p.miss[1].share, p.doubt
}

// LogValue is the planner's account for the books. docs/ROOM.md explains the words.
func (p *Planner) LogValue() slog.Value {
	c := &p.Counts
	held, without, doubt := p.Trials()
	attrs := []slog.Attr{slog.Int("held", c.Held), slog.Int("moved", c.Moved), slog.Int("now", len(p.holds)), slog.Int("gaps", c.Gaps), slog.Int("wrong", c.Wrong),
		slog.Int("too_large", c.TooLarge), slog.Int("untenable", c.Untenable), slog.Int("refused", c.Refused), slog.Int("bounded", c.Bounded),
		slog.Float64("scale", round(p.scale)), slog.Float64("drop", round(p.drop)), slog.Bool("doubt", doubt),
		slog.Float64("unserved_held", round(held)), slog.Float64("unserved_without", round(without)), slog.Float64("quantile", round(p.quant))}
	for why, n := range c.LetGo {
		if n > 0 {
			attrs = append(attrs, slog.Int(Reason(why).String(), n))
		}
	}
	return slog.GroupValue(attrs...)
}

func round(x float64) float64 { return math.Round(1000*x) / 1000 }
