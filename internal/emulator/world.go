package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/decide"
	"cottonwell/internal/faults"
	"cottonwell/internal/room"
	"cottonwell/internal/vtime"
)

// Settings are the module's, as a scheduler of this shop is told them.
func (s *Spec) Settings(self int) balance.Settings {
	out := balance.Settings{Self: self, Fleet: s.Schedulers, Zone: s.Zones[self%len(s.Zones)], Tick: 5 * time.Millisecond, ReportsFree: true,
		TellsStart: true, MaxAttempts: 3, Cancel: true, Probes: true, Peers: !s.Apart, Subscribe: true, StreamsPerConn: 1, ConnIdle: 30 * time.Second,
		DialTimeout: 250 * time.Millisecond, AnswerSlack: 20 * time.Millisecond, AskWithin: 10 * time.Second, ColdFrom: 0.15,
		BeyondWorth: float64(s.BeyondWorth), ColdFor: 24 * time.Second, DrainGrace: 250 * time.Millisecond, FallMultiple: 3, FallWindow: time.Second,
		Prices: balance.Prices{Probe: 0.0019, CrossZone: 0.059},
		Goal:   balance.Goal{Whole: 0.45, WorstWindow: 0.15, WorstClass: 0.3}}
	for _, t := range s.Tenants {
		if t.Allowance > 0 {
			out.Tenants = append(out.Tenants, balance.Tenant{Name: t.Name, Allowance: t.Allowance})
		}
	}
	cold := 0.0
	for _, k := range s.Kinds {
		cold = max(cold, float64(k.ColdFor))
		if k.ColdFor > 0 {
			out.ColdFrom = min(out.ColdFrom, float64(k.ColdFrom))
		}
	}
	if cold > 0 {
		out.ColdFor = span(cold)
	}
	for _, c := range s.Classes {
		x := balance.Class{Name: c.Name, Aim: span(float64(c.Aim)), Stretch: c.Stretch, Deadline: span(float64(c.Patience)), Worth: c.Worth}
		if c.Keyed {
			x.Effect, x.Scope, x.Window = balance.Keyed, balance.ScopeCell, span(float64(c.Window))
		}
		out.Classes = append(out.Classes, x)
	}
	return out
}

func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// World plays one day against schedulers in this process, on a time of its own. The same
// spec, seed and plan give the same day.
type World struct {
	spec *Spec
	ways *faults.Net // among the schedulers
	rng  *rand.Rand
	vtime.Queue
	seq     uint64 // of attempts and of requests that come again
	workers []*place
	byID    map[string]*place
	scheds  []*sched
	flows   map[uint64]*flow
	open    int
	Result  Result
}

// place is a worker in the world: what it last reported, and when it is looked at next.
type place struct {
	*Worker
	spec     WorkerSpec
	load     Load
	loadAt   float64
	lookAt   float64
	attempts map[uint64]*attempt
	drainAt  float64 // since when it drains; 0: it does not
	state    balance.State
}

// Policy decides for one scheduler: the program's decisions, or what they are compared with.
type Policy interface {
	// Step takes one event at the given time and appends the actions that answer it.
	Step(now time.Duration, ev *balance.Event, acts []balance.Action) []balance.Action
}

type sched struct {
	n      int
	policy Policy
	alive  bool
	life   int
	acts   []balance.Action
	toldOf map[string]float64 // when it was told that a worker drains or is gone
	// toldBorn is the last start of each worker that it was told of.
	toldBorn map[string]float64
}

type flow struct {
	id       uint64
	a        Arrival
	first    float64 // of its first try
	due      float64
	s        *sched
	life     int
	attempts []*attempt
	over     bool
	tries    int
	counted  bool
}

type attempt struct {
	ref   uint64
	n     int
	f     *flow
	to    *place
	at    float64
	over  bool // the scheduler knows its end
	quit  bool // it was given up, and its worker may know
	ran   bool // it may have run
	ended balance.Result
}

// NewWorld makes a world. Without a plan no room is held.
func NewWorld(spec *Spec, seed uint64, plan *room.Config) (*World, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	for _, f := range spec.Faults {
		if !f.Kind.OfWay() && f.Kind != faults.Kill || f.Ways != "" || f.Old {
			return nil, fmt.Errorf("fault %s: in virtual time schedulers may be killed and the ways among them be bad, and no more", f.Kind)
		}
	}
	w := &World{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x0117)), Queue: vtime.Queue{Now: 1e9}, byID: map[string]*place{}, flows: map[uint64]*flow{}}
	w.ways = &faults.Net{Base: float64(spec.DatagramDelay), Rng: rand.New(rand.NewPCG(seed, 0xda7a)), Script: slices.Concat(spec.Faults,
		faults.Script{{Kind: faults.Loss, Lasts: 2 * spec.Length, Share: spec.DatagramLoss}})}
	w.Result = newResult(spec)
	for i, ws := range spec.Workers() {
		p := &place{Worker: NewWorker(ws, seed+uint64(i)), spec: ws, lookAt: math.Inf(1), attempts: map[uint64]*attempt{}}
		p.load = p.Load() // a report is old, and never empty
		w.workers = append(w.workers, p)
		w.byID[ws.ID] = p
	}
	for i := range spec.Schedulers {
		s := &sched{n: i, toldOf: map[string]float64{}, toldBorn: map[string]float64{}}
		w.scheds = append(w.scheds, s)
		if err := w.start(s, seed, plan); err != nil {
			return nil, err
		}
	}
	start := w.Now
	for i, a := range spec.Arrivals(seed) {
		id := uint64(i + 1)
		w.After(a.At, func() { w.arrive(id, a, start+a.At, 0) })
	}
	w.script(seed, plan)
	return w, nil
}

func (w *World) start(s *sched, seed uint64, plan *room.Config) error {
	settings, own := w.spec.Settings(s.n), seed+uint64(s.n)*77+uint64(s.life)
	if w.spec.policy != nil {
		s.policy = w.spec.policy(settings, own)
	} else {
		d, err := decide.New(settings, own, plan)
		if err != nil {
			return err
		}
		s.policy = d
	}
	s.alive = true
	s.life++
	w.After(0, func() { w.list(s, balance.FromDisk) })
	return nil
}

// net is the time that a message takes.
func (w *World) net() float64 { return float64(w.spec.NetDelay) * (0.8 + 0.4*w.rng.Float64()) }

// Run plays until all that came is answered, and returns what came of it.
func (w *World) Run() *Result {
	end := w.Now + float64(w.spec.Length) + 20_000
	for w.Now < end && (w.open > 0 || w.Now < end-20_000) && w.Next(math.Inf(1)) {
	}
	if w.open > 0 {
		w.Result.Broken["unanswered"] += w.open
	}
	for _, s := range w.scheds {
		if d, ok := s.policy.(*decide.Decider); ok && d.Room() != nil {
			w.Result.addRoom(d.Room())
		}
	}
	w.Result.finish()
	return &w.Result
}

// step gives a scheduler an event and does what it says.
func (w *World) step(s *sched, ev balance.Event) {
	if !s.alive {
		return
	}
	acts := s.policy.Step(span(w.Now), &ev, s.acts[:0])
	s.acts = nil // a step from within needs its own
	for i := range acts {
		w.act(s, &acts[i])
	}
	s.acts = acts[:0]
}

func (w *World) act(s *sched, a *balance.Action) {
	life := s.life
	alive := func() bool { return s.alive && s.life == life }
	switch a.Kind {
	case balance.Send:
		w.send(s, w.flows[a.Request], a.Worker)
	case balance.Refuse, balance.Fail:
		w.answer(w.flows[a.Request], a.Kind == balance.Refuse)
	case balance.Cancel:
		f := w.flows[a.Request]
		if f == nil || a.Attempt >= len(f.attempts) {
			w.Result.Broken["cancel-unknown"]++
			return
		}
		at := f.attempts[a.Attempt]
		at.quit = true
		w.After(2*w.net(), func() { w.conclude(at, balance.Cancelled) })
	case balance.Wake:
		timer := a.Timer
		w.After(a.After.Seconds()*1000, func() {
			if alive() {
				w.step(s, balance.Event{Kind: balance.TimerDue, Timer: timer})
			}
		})
	case balance.Probe:
		p := w.byID[a.Worker]
		began := w.Now
		w.After(2*w.net(), func() {
			if !alive() {
				return
			}
			ev := balance.Event{Kind: balance.Probed, Worker: p.ID, Elapsed: span(w.Now - began), Report: w.report(p)}
			if !p.Up || p.Fallen {
				ev.Result, ev.Report = balance.NoConnection, balance.Report{}
			}
			w.step(s, ev)
		})
	case balance.Subscribe:
		w.After(2*w.net(), func() {
			if alive() {
				w.list(s, balance.Whole)
			}
		})
	case balance.Tell:
		if len(a.Raw) > 256 {
			w.Result.Broken["datagram-too-long"]++
		}
		if a.To == nil {
			for _, to := range w.scheds {
				w.datagram(s, to, a.Raw)
			}
		}
		for _, n := range a.To {
			w.datagram(s, w.scheds[n], a.Raw)
		}
	}
}

// datagram sends one on its way, through whatever is wrong there.
func (w *World) datagram(s, to *sched, raw string) {
	if to == s {
		return
	}
	w.Result.Datagrams++
	for _, d := range w.ways.Pass(w.Now-1e9, s.n, to.n, raw) {
		w.After(d.After, func() {
			w.step(to, balance.Event{Kind: balance.PeerSpoke, Who: s.n, Raw: d.Raw})
		})
	}
}

func (w *World) member(p *place) balance.Member {
	return balance.Member{ID: p.ID, Zone: p.Zone, Kind: p.Kind, Cell: p.Cell, State: p.state, Weight: 1, Started: span(p.Born)}
}

func (w *World) list(s *sched, scope balance.ListScope) {
	ev := balance.Event{Kind: balance.Listed, List: scope}
	for _, p := range w.workers {
		if p.state != balance.Gone {
			ev.Members = append(ev.Members, w.member(p))
		}
		w.heardOf(s, p)
	}
	w.step(s, ev)
}

func (w *World) heardOf(s *sched, p *place) {
	if p.state == balance.Ready {
		delete(s.toldOf, p.ID)
		s.toldBorn[p.ID] = p.Born
	} else if _, ok := s.toldOf[p.ID]; !ok {
		s.toldOf[p.ID] = w.Now
	}
}

// tell has all schedulers told of a change at a worker, some time after.
func (w *World) tell(p *place, state balance.State) {
	w.After(float64(w.spec.ListDelay)*(0.5+w.rng.Float64()), func() {
		p.state = state
		for _, s := range w.scheds {
			if w.spec.ListSpread == 0 {
				w.tellOne(s, p)
				continue
			}
			w.After(float64(w.spec.ListSpread)*w.rng.Float64(), func() { w.tellOne(s, p) })
		}
	})
}

func (w *World) tellOne(s *sched, p *place) {
	w.heardOf(s, p)
	w.step(s, balance.Event{Kind: balance.Listed, List: balance.Changes, Members: []balance.Member{w.member(p)}})
}

func (w *World) arrive(id uint64, a Arrival, first float64, tries int) {
	s := w.scheds[a.Scheduler]
	for i := 0; !s.alive && i < len(w.scheds); i++ {
		s = w.scheds[(a.Scheduler+i)%len(w.scheds)]
	}
	c := &w.spec.Classes[a.Class]
	f := &flow{id: id, a: a, first: first, due: first + float64(c.Patience), s: s, life: s.life, tries: tries}
	w.flows[id] = f
	w.open++
	if a.Leaves > 0 {
		w.After(a.Leaves, func() {
			if !f.over {
				w.close(f)
				w.Result.Left++
				w.step(f.s, balance.Event{Kind: balance.Departed, Request: id})
			}
		})
	}
	w.After(f.due+50-w.Now, func() {
		if !f.over && f.s.life == f.life {
			w.Result.Broken["answer-late"]++
			w.close(f)
			w.count(f, false)
		}
	})
	w.step(s, balance.Event{Kind: balance.Arrived, Request: id, Class: c.Name, Tenant: a.Tenant, Budget: span(f.due - w.Now),
		Slots: float64(a.Slots), Memory: a.Memory, Priority: c.Priority, Repeat: tries > 0, First: tries == 0})
}

func (w *World) close(f *flow) {
	f.over = true
	w.open--
}

// send starts an attempt and holds it against the rules.
func (w *World) send(s *sched, f *flow, id string) {
	p := w.byID[id]
	if f == nil || p == nil {
		w.Result.Broken["send-unknown"]++
		return
	}
	w.seq++
	a := &attempt{ref: w.seq, n: len(f.attempts), f: f, to: p, at: w.Now}
	w.rules(s, f, a)
	f.attempts = append(f.attempts, a)
	w.Result.Sends++
	if p.Zone != w.spec.Zones[s.n%len(w.spec.Zones)] {
		w.Result.Far++
	}
	w.After(f.due-w.Now, func() { w.conclude(a, balance.TimedOut) })
	w.After(w.net(), func() { w.offer(a) })
}

func (w *World) rules(s *sched, f *flow, a *attempt) {
	broken := w.Result.Broken
	if f.over {
		broken["send-after-answer"]++
	}
	if len(f.attempts) >= 3 {
		broken["fourth-attempt"]++
	}
	if at, ok := s.toldOf[a.to.ID]; ok && w.Now > at+250 {
		broken["send-to-draining"]++
	}
	c := &w.spec.Classes[f.a.Class]
	for _, x := range f.attempts {
		if !x.over {
			broken["two-attempts-out"]++
		}
		if c.Keyed && (!x.over || x.ran) && (x.to.Cell != a.to.Cell || w.Now-x.at > float64(c.Window)) {
			broken["keyed-repeat-elsewhere"]++
		}
	}
}

func (w *World) offer(a *attempt) {
	p, f := a.to, a.f
	if a.over {
		return
	}
	fell := p.Fallen
	ans := p.Offer(w.Now, Job{Ref: a.ref, Slots: f.a.Slots, Memory: f.a.Memory, Work: f.a.Work, Priority: w.spec.Classes[f.a.Class].Priority,
		Told: f.s.toldBorn[p.ID] == p.Born})
	// The platform counts the falls of which over two thirds came from schedulers that had been told of the start.
	if p.Fallen && !fell && (!w.spec.ByRequests || p.toldShare() > 2.0/3) {
		w.Result.Broken["cold-pushed-over"]++
	}
	switch ans {
	case Taken:
		p.attempts[a.ref] = a
		w.look(p)
	case Full:
		w.After(w.net(), func() { w.conclude(a, balance.Full) })
	case Failed:
		a.ran = true
		w.After(w.net()+1, func() { w.conclude(a, balance.Failed) })
	case Away:
		w.After(w.net(), func() { w.conclude(a, balance.NoConnection) })
	}
}

// look plays a worker to the present, and comes back when something happens there next.
func (w *World) look(p *place) {
	p.Advance(w.Now, func(at float64, n Note) { w.note(p, n) })
	next := p.Next(w.Now)
	if next < p.lookAt || p.lookAt <= w.Now {
		p.lookAt = next
		if !math.IsInf(next, 1) {
			w.After(next-w.Now, func() {
				if p.lookAt <= w.Now {
					w.look(p)
				}
			})
		}
	}
}

func (w *World) note(p *place, n Note) {
	a := p.attempts[n.Ref]
	if a == nil {
		return
	}
	f := a.f
	a.ran = true
	switch n.Kind {
	case Started:
		w.After(w.net(), func() {
			if !a.over && f.s.life == f.life {
				w.step(f.s, balance.Event{Kind: balance.Noted, Request: f.id, Attempt: a.n, Worker: p.ID, Started: true})
			}
		})
	case Done:
		delete(p.attempts, n.Ref)
		w.After(w.net(), func() { w.conclude(a, balance.OK) })
	case Lost:
		delete(p.attempts, n.Ref)
		w.After(w.net(), func() { w.conclude(a, balance.Reset) })
	}
}

// report is what the worker says of itself: a while old, and noisy.
func (w *World) report(p *place) balance.Report {
	if w.Now-p.loadAt > float64(w.spec.ReportEvery)*(0.5+w.rng.Float64()) || p.loadAt == 0 {
		delay := float64(w.spec.ReportDelay)
		for _, t := range w.spec.Troubles {
			if since := w.Now - 1e9; t.Kind == "late-reports" && since >= float64(t.At) && since < float64(t.At+t.Lasts) {
				delay += float64(t.Size)
			}
		}
		load := p.Load()
		p.loadAt = w.Now
		if delay <= 0 {
			p.load = load
		} else {
			w.After(delay, func() { p.load = load })
		}
	}
	noise := func(x float64) float64 {
		return max(0, x*(1+float64(w.spec.ReportNoise)*w.rng.NormFloat64()))
	}
	r := balance.Report{Present: true, InFlight: noise(p.load.InFlight), Waiting: noise(p.load.Queue), Free: noise(p.load.FreeSlots)}
	if p.Memory > 0 {
		r.Memory = max(0.001, noise(p.load.FreeMemory))
	}
	return r
}

// conclude ends an attempt for its scheduler, once.
func (w *World) conclude(a *attempt, res balance.Result) {
	f := a.f
	if a.over {
		return
	}
	a.over, a.ended = true, res
	if res == balance.Full || res == balance.NoConnection {
		a.ran = false
	} else {
		a.ran = true
	}
	if f.s.life != f.life || !f.s.alive {
		return
	}
	ev := balance.Event{Kind: balance.Ended, Request: f.id, Attempt: a.n, Worker: a.to.ID, Result: res, Elapsed: span(w.Now - a.at)}
	if !w.spec.Apart && (res == balance.OK || res == balance.Failed || res == balance.Full) {
		ev.Report = w.report(a.to)
	}
	if res == balance.OK && !f.over {
		w.close(f)
		w.count(f, true)
	}
	ev.Final = f.over
	w.step(f.s, ev)
}

// answer is a refusal or a failure; some clients come again at once.
func (w *World) answer(f *flow, refused bool) {
	if f == nil || f.over {
		w.Result.Broken["second-answer"]++
		return
	}
	w.close(f)
	if refused {
		w.Result.Refused++
		for _, a := range f.attempts {
			if w.spec.Classes[f.a.Class].Keyed && a.ran {
				w.Result.Broken["refused-though-it-may-have-run"]++
			}
		}
	} else {
		w.Result.Failed++
	}
	if f.tries < w.spec.Retries && w.Now < f.due-10 && f.a.Leaves == 0 {
		w.seq++
		id := w.seq<<20 | 1<<50
		w.After(2*w.net(), func() { w.arrive(id, f.a, f.first, f.tries+1) })
		return
	}
	w.count(f, false)
}

// count books a request that is over, with all its tries.
func (w *World) count(f *flow, served bool) {
	if f.counted || f.first-1e9 < float64(w.spec.Warmup) || f.a.Leaves > 0 {
		return
	}
	f.counted = true
	w.Result.add(w.spec, &f.a, w.Now-f.first, served)
}
