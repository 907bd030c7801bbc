// Package simulation plays a fleet in virtual time: the real state machines of many schedulers, clocks
// that run unevenly, processes that are killed, stopped and ended, and a network with faults from
// a script. It checks what the fleet promises at each step. The same options give the same run.
package simulation

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"cottonwell/internal/faults"
	"cottonwell/internal/fleet"
	"cottonwell/internal/fleet/lease"
	"cottonwell/internal/fleet/members"
	"cottonwell/internal/fleet/rules"
	"cottonwell/internal/vtime"
)

// Options say what is played.
type Options struct {
	Seed       uint64
	Schedulers int
	Voters     int
	Lease      float64 // ms
	Duties     int
	Length     float64 // ms
	Base       float64 // usual time of a datagram, in ms
	Drift      float64 // clocks run off by up to so much, either way
	Script     faults.Script
	Unsafe     lease.Unsafe
	NoFence    bool    // whoever is acted upon takes any number
	Stalls     float64 // chance that a holder stands still between its look and its act
	Grown      int     // so many schedulers know a shorter list, of this length, until they are restarted
	Rules      *Rules  // nil: none are agreed on
}

// Result is what came of it.
type Result struct {
	Gained, Lost        int
	Acts, Late          int       // acts taken, and refused for an older number
	Double              int       // two believed to hold one duty
	Falling             int       // a number that was not newer than all before
	Old                 int       // acts taken under an older number than one taken before
	Unheld              int       // duties that nobody holds at the end
	Gaps                []float64 // ms without a holder, from the end of one holding to the next
	Handed              []float64 // the same, where the holder was asked to end
	Tells               int
	Bytes               int
	False               int       // living schedulers that some other took for dead
	Noticed             []float64 // ms from a kill to its being taken for dead by another
	Unreadable, Foreign int
	Trace               uint64 // a hash of all that happened
	Holdings            []Holding
	Rules               RulesResult
}

// Holding is a time in which a scheduler believed to hold a duty.
type Holding struct {
	Duty, Who  int
	Number     uint64
	From, To   float64
	HandedOver bool
}

type proc struct {
	n        int
	life     int
	m        *fleet.Machine
	list     int // how long its list is
	rate     float64
	zero     float64 // of its clock, which no other knows
	wall     float64 // its wall clock is off by that much
	wakeAt   float64 // on its clock; infinite: none
	stillTo  float64 // it stands still until then
	waiting  []func()
	killedAt float64
	termAt   float64
	took     map[int]uint64 // by duty, the newest number under which it took an act
	holds    map[int]int    // duty to its place in Holdings
	ruled    rules.Version  // the newest that it acted on in this life
	strict   bool
}

// World is a run.
type World struct {
	o   Options
	rng *rand.Rand
	net *faults.Net
	vtime.Queue
	procs  []*proc
	duties []duty
	names  map[string]int
	acts   []fleet.Action
	trace  interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
	offered map[rules.Digest]float64 // when each document was offered
	numbers map[uint64]rules.Version // those that were acted on
	Result  Result
}

type duty struct {
	fence   lease.Fence
	taken   uint64 // the newest number under which an act was taken
	newest  uint64 // and under which it was gained
	endedAt float64
	handed  bool
	holding int // schedulers that hold it
}

// New makes a run.
func New(o Options) (*World, error) {
	if err := o.Script.Check(o.Schedulers); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0xd111))
	w := &World{o: o, rng: rng, net: &faults.Net{Script: o.Script, Base: o.Base, Rng: rng}, names: map[string]int{},
		duties: make([]duty, o.Duties), trace: fnv.New64a()}
	for i := range o.Duties {
		w.names[o.name(i)] = i
		w.duties[i].endedAt = -1
	}
	for i := range o.Schedulers {
		p := &proc{n: i, rate: 1 + o.Drift*(2*rng.Float64()-1), zero: 1e6 * rng.Float64(), wall: 1.8e12 + 200*rng.Float64(), list: o.Schedulers, holds: map[int]int{}, killedAt: -1, termAt: -1}
		if o.Grown > 0 && i < o.Grown {
			p.list = o.Grown
		}
		w.procs = append(w.procs, p)
		// Starts lie apart, as in a roll-out.
		w.After(rng.Float64()*50, func() { w.start(p) })
	}
	for i := range o.Script {
		f := &o.Script[i]
		if !f.Kind.OfWay() {
			w.After(float64(f.At), func() { w.fault(f) })
		}
	}
	if o.Rules != nil {
		w.drawRules()
	}
	return w, nil
}

// name is what a duty is called; where rules are agreed on the first one is the publisher's.
func (o *Options) name(duty int) string {
	if o.Rules != nil && duty == 0 {
		return rules.Duty
	}
	return fmt.Sprintf("duty-%d", duty)
}

func (p *proc) clock(now float64) float64 { return p.zero + now*p.rate }

// start begins a process, which knows nothing of any before.
func (w *World) start(p *proc) {
	p.life++
	c := fleet.Config{Members: members.Default(), Lease: lease.Default()}
	for i := range p.list {
		c.Addresses = append(c.Addresses, fmt.Sprint("a", i))
	}
	c.Members.Self, c.Members.Fleet, c.Members.Seed = p.n, p.list, w.rng.Uint64()
	c.Lease.Self, c.Lease.Fleet, c.Lease.Seed, c.Lease.Life = p.n, p.list, w.rng.Uint64(), w.rng.Uint32()
	c.Lease.Voters, c.Lease.Drift, c.Lease.Unsafe = w.o.Voters, max(w.o.Drift, 0.001), w.o.Unsafe
	if w.o.Lease > 0 {
		c.Lease.Lease, c.Lease.Quiet = w.o.Lease, w.o.Lease*1.25
	}
	for i := range w.o.Duties {
		c.Lease.Duties = append(c.Lease.Duties, lease.Duty{Name: w.o.name(i)})
	}
	if w.o.Rules != nil {
		c.Rules = w.rulesOf(p)
		p.ruled, p.strict = rules.Version{}, true
	}
	m, err := fleet.New(c, p.clock(w.Now))
	if err != nil {
		panic(fmt.Sprintf("simulation: options that make no fleet: %v", err))
	}
	p.m, p.wakeAt, p.termAt, p.took = m, math.Inf(1), -1, map[int]uint64{}
	life := p.life
	w.step(p, fleet.Event{Kind: fleet.Due})
	if w.o.Duties > 0 {
		w.After(100*w.rng.Float64(), func() { w.act(p, life) })
	}
}

// does runs something in a process, or once it stands still no more, if it is still the same one.
func (w *World) does(p *proc, life int, do func()) {
	if p.m == nil || p.life != life {
		return
	}
	if w.Now < p.stillTo {
		p.waiting = append(p.waiting, func() { w.does(p, life, do) })
		return
	}
	do()
}

func (w *World) step(p *proc, ev fleet.Event) {
	now := p.clock(w.Now)
	ev.Wall = now - p.zero + p.wall
	acts := p.m.Step(now, &ev, w.acts[:0])
	w.acts = nil
	for i := range acts {
		w.do(p, &acts[i])
	}
	w.acts = acts[:0]
}

func (w *World) note(format string, args ...any) { fmt.Fprintf(w.trace, format+"\n", args...) }

func (w *World) do(p *proc, a *fleet.Action) {
	life := p.life
	switch a.Kind {
	case fleet.Tell:
		w.Result.Tells++
		w.Result.Bytes += len(a.Raw)
		if a.To < 0 || a.To >= len(w.procs) {
			panic("simulation: a datagram to nobody")
		}
		to, from := w.procs[a.To], p.n
		for _, d := range w.net.Pass(w.Now, from, a.To, a.Raw) {
			w.After(d.After, func() {
				if to.m != nil {
					life := to.life
					w.does(to, life, func() { w.step(to, fleet.Event{Kind: fleet.Heard, From: from, Raw: d.Raw}) })
				}
			})
		}
	case fleet.Wake:
		if a.At >= p.wakeAt && p.wakeAt > p.clock(w.Now) {
			return
		}
		p.wakeAt = a.At
		at := a.At
		w.After(max(0.001, (at-p.clock(w.Now))/p.rate), func() {
			w.does(p, life, func() {
				if p.wakeAt == at {
					p.wakeAt = math.Inf(1)
					w.step(p, fleet.Event{Kind: fleet.Due})
				}
			})
		})
	case fleet.Gained:
		w.gained(p, w.names[a.Duty], a.Number)
	case fleet.Lost:
		w.note("%.3f %d lost %s %d %s", w.Now, p.n, a.Duty, a.Number, a.Note)
		w.ends(p, w.names[a.Duty], a.Note == "handed on")
	case fleet.Took:
		x := w.names[a.Duty]
		if a.Number < p.took[x] {
			w.Result.Old++
		}
		p.took[x] = max(p.took[x], a.Number)
	case fleet.Refused:
		w.Result.Late++
	case fleet.Rule, fleet.Adopted, fleet.Dropped, fleet.Alarm:
		w.governed(p, a)
	case fleet.Changed:
		w.note("%.3f %d says %d is %v", w.Now, p.n, a.To, a.State)
		if a.State == members.Dead {
			if q := w.procs[a.To]; q.m == nil && q.killedAt >= 0 {
				w.Result.Noticed = append(w.Result.Noticed, w.Now-q.killedAt)
			} else if w.Now >= q.stillTo {
				w.Result.False++
			}
		}
	}
}

// holdsNow says whether a process believes at this instant that it holds a duty, by its own clock.
func (w *World) holdsNow(p *proc, d int) (uint64, bool) {
	if p.m == nil {
		return 0, false
	}
	return p.m.Holds(w.o.name(d), p.clock(w.Now))
}

func (w *World) gained(p *proc, d int, number uint64) {
	x := &w.duties[d]
	w.note("%.3f %d gained %d %d", w.Now, p.n, d, number)
	w.Result.Gained++
	if number <= x.newest {
		w.Result.Falling++
	}
	x.newest = max(x.newest, number)
	for _, q := range w.procs {
		if q != p {
			if _, yes := w.holdsNow(q, d); yes {
				w.Result.Double++
				w.note("%.3f %d holds %d too", w.Now, q.n, d)
			} else if i, open := q.holds[d]; open { // its time ran out, and it has not looked yet
				w.close(q, d, i, false)
			}
		}
	}
	if x.endedAt >= 0 && x.holding == 0 {
		if gap := w.Now - x.endedAt; x.handed {
			w.Result.Handed = append(w.Result.Handed, gap)
		} else {
			w.Result.Gaps = append(w.Result.Gaps, gap)
		}
	}
	x.holding++
	p.holds[d] = len(w.Result.Holdings)
	w.Result.Holdings = append(w.Result.Holdings, Holding{Duty: d, Who: p.n, Number: number, From: w.Now, To: -1})
}

func (w *World) ends(p *proc, d int, handed bool) {
	w.Result.Lost++
	if i, open := p.holds[d]; open {
		w.close(p, d, i, handed)
	}
}

// close ends a holding: now, or when its time ran out by the holder's clock.
func (w *World) close(p *proc, d, i int, handed bool) {
	delete(p.holds, d)
	at := w.Now
	if p.m != nil && !w.o.Unsafe.NoExpiry {
		at = min(at, (p.m.Until(w.o.name(d))-p.zero)/p.rate)
	}
	h, x := &w.Result.Holdings[i], &w.duties[d]
	h.To, h.HandedOver = max(at, h.From), handed
	x.endedAt, x.handed = h.To, handed
	x.holding--
}

// act has a holder do its duty now and then: it looks whether it holds, may stand still after that, at
// any line, and what it does arrives some time later.
func (w *World) act(p *proc, life int) {
	w.does(p, life, func() {
		for d := range w.duties {
			if number, ok := w.holdsNow(p, d); ok {
				send := func() {
					for _, x := range w.net.Pass(w.Now, p.n, (p.n+1)%len(w.procs), "act") {
						w.After(x.After, func() { w.acted(d, number) })
					}
				}
				// At the end all is well for a while, so that it can be seen to go on.
				if w.rng.Float64() < w.o.Stalls && w.Now < w.o.Length-16*w.o.Lease {
					w.still(p, w.o.Lease*10*w.rng.Float64())
				}
				w.does(p, life, send)
			}
		}
	})
	if p.m != nil && p.life == life {
		w.After(50+100*w.rng.Float64(), func() { w.act(p, life) })
	}
}

func (w *World) acted(d int, number uint64) {
	x := &w.duties[d]
	if !w.o.NoFence && !x.fence.Accept(number) {
		w.Result.Late++
		return
	}
	w.Result.Acts++
	if number < x.taken {
		w.Result.Old++
	}
	x.taken = max(x.taken, number)
}

func (w *World) still(p *proc, ms float64) {
	p.stillTo = max(p.stillTo, w.Now+ms)
	life := p.life
	w.At(p.stillTo, func() {
		if p.life != life || w.Now < p.stillTo {
			return
		}
		todo := p.waiting
		p.waiting = nil
		// What came meanwhile and what is due: neither is sure to go first.
		if w.rng.IntN(2) == 0 {
			w.rng.Shuffle(len(todo), func(i, j int) { todo[i], todo[j] = todo[j], todo[i] })
		}
		for _, do := range todo {
			do()
		}
	})
}

func (w *World) kill(p *proc) {
	if p.m == nil {
		return
	}
	for d, i := range p.holds {
		w.close(p, d, i, p.termAt >= 0)
	}
	w.Result.Unreadable += p.m.Unreadable
	p.m, p.waiting, p.killedAt, p.stillTo = nil, nil, w.Now, 0
}

func (w *World) fault(f *faults.Fault) {
	for _, n := range f.From {
		p := w.procs[n]
		w.note("%.3f %s %d", w.Now, f.Kind, n)
		again := func() {
			w.After(float64(f.Lasts), func() {
				if p.m == nil {
					p.list = len(w.procs)
					w.start(p)
				}
			})
		}
		switch f.Kind {
		case faults.Kill:
			w.kill(p)
			again()
		case faults.Stall:
			if p.m != nil {
				w.still(p, float64(f.Lasts))
			}
		case faults.Term:
			if p.m != nil && p.termAt < 0 {
				life := p.life
				w.does(p, life, func() {
					p.termAt = w.Now
					w.step(p, fleet.Event{Kind: fleet.Resign})
				})
				w.After(200, func() {
					if p.life == life {
						w.kill(p)
						again()
					}
				})
			}
		case faults.Step:
			if by := float64(f.Size); f.Back {
				p.wall -= by
			} else {
				p.wall += by
			}
		}
	}
}

// Run plays to the end.
func (w *World) Run() *Result {
	for w.Next(w.o.Length) {
	}
	w.Now = w.o.Length
	for d := range w.duties {
		held := false
		for _, p := range w.procs {
			_, yes := w.holdsNow(p, d)
			held = held || yes
		}
		if !held {
			w.Result.Unheld++
		}
	}
	if w.o.Rules != nil {
		w.agreed()
	}
	for _, p := range w.procs {
		for d, i := range p.holds {
			w.close(p, d, i, false)
		}
		if p.m != nil {
			w.Result.Unreadable += p.m.Unreadable
		}
	}
	w.Result.Trace = w.trace.Sum64()
	return &w.Result
}
