// Package simulation runs a fleet in virtual time. It uses the real state machines of many schedulers,
// clocks that run at different rates, processes that are killed, paused and shut down, and a network
// with faults from a script. At each step it checks the guarantees of the fleet. It is given Options
// and returns a Result; equal options give an equal run. It opens no sockets, starts no processes and
// takes no decision in production.
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

// Options configure a run.
type Options struct {
	Seed        uint64
	Schedulers  int
	Voters      int
	Lease       float64 // ms
	Duties      int
	Length      float64 // ms
	BaseDelay   float64 // usual one-way delay of a datagram, ms
	Drift       float64 // maximum relative clock rate error, fast or slow
	Script      faults.Script
	Unsafe      lease.Unsafe
	NoFence     bool    // receivers accept acts under any number
	StallChance float64 // probability that a holder pauses between its check of Holds and its act
	GrownFrom   int     // the first GrownFrom schedulers know only one another until they are restarted; 0: all know all
	Rules       *Rules  // nil: no settings are agreed on
}

// Result holds the counters and times of a run.
type Result struct {
	Gained, Lost              int
	ActsAccepted, ActsRefused int       // acts accepted, and acts refused for an older number
	DoubleHolders             int       // times that two schedulers held one duty
	DecreasingNumbers         int       // duties gained under a number that was not newer than all before
	OldActsAccepted           int       // acts accepted under an older number than one accepted before
	UnheldDuties              int       // duties without a holder at the end
	Gaps                      []float64 // ms without a holder, from the end of one holding to the next
	HandoverGaps              []float64 // the same, if the holder was terminated gracefully
	Datagrams                 int       // datagrams sent
	Bytes                     int       // bytes of the datagrams sent
	FalseDeaths               int       // times that a running scheduler was declared dead by another
	DetectionTimes            []float64 // ms from the kill of a scheduler until another declares it dead
	Unreadable, Ignored       int
	Trace                     uint64 // hash of all events
	Holdings                  []Holding
	Rules                     RulesResult
}

// Holding is a period in which a scheduler held a duty, by its own state.
type Holding struct {
	Duty, Scheduler int
	Number          uint64
	From, To        float64
	HandedOver      bool
}

// proc is one simulated scheduler process, over all of its runs.
type proc struct {
	number          int
	run             int
	machine         *fleet.Machine
	knownSchedulers int // number of schedulers on its list
	clockRate       float64
	clockOffset     float64 // offset of its monotonic clock, unknown to the others, ms
	wallOffset      float64 // offset of its wall clock, ms
	wakeAt          float64 // on its clock; infinite: no wake-up is set
	pausedUntil     float64 // the process is paused until then
	deferred        []func()
	killedAt        float64
	termAt          float64
	newestAccepted  map[int]uint64 // by duty, newest number under which it accepted an act
	openHoldings    map[int]int    // by duty, index in Result.Holdings
	version         rules.Version  // newest version that it acted on in this run
	strict          bool
}

// World is the state of a run. Create it with New.
type World struct {
	options Options
	rng     *rand.Rand
	network *faults.DatagramFaults
	vtime.Queue
	procs        []*proc
	duties       []duty
	dutyByName   map[string]int
	actionBuffer []fleet.Action
	trace        interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
	offeredAt       map[rules.Digest]float64 // time at which each document was offered
	versionByNumber map[uint64]rules.Version // versions that were acted on
	Result          Result
}

// duty is the state of one duty, as seen by an observer of the whole fleet.
type duty struct {
	fence          lease.Fence
	newestAccepted uint64 // newest number under which an act was accepted
	newestGained   uint64 // newest number under which it was gained
	endedAt        float64
	handedOver     bool
	holders        int // schedulers that hold it
}

// New prepares a run.
func New(options Options) (*World, error) {
	if err := options.Script.Check(options.Schedulers); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(options.Seed, 0xd111))
	w := &World{options: options, rng: rng, network: &faults.DatagramFaults{Script: options.Script, MeanDelay: options.BaseDelay, Rng: rng}, dutyByName: map[string]int{},
		duties: make([]duty, options.Duties), trace: fnv.New64a()}
	for i := range options.Duties {
		w.dutyByName[options.dutyName(i)] = i
		w.duties[i].endedAt = -1
	}
	for i := range options.Schedulers {
		p := &proc{number: i, clockRate: 1 + options.Drift*(2*rng.Float64()-1), clockOffset: 1e6 * rng.Float64(), wallOffset: 1.8e12 + 200*rng.Float64(), knownSchedulers: options.Schedulers, openHoldings: map[int]int{}, killedAt: -1, termAt: -1}
		if options.GrownFrom > 0 && i < options.GrownFrom {
			p.knownSchedulers = options.GrownFrom
		}
		w.procs = append(w.procs, p)
		// Starts are spread, as in a rolling deployment.
		w.After(rng.Float64()*50, func() { w.start(p) })
	}
	for i := range options.Script {
		f := &options.Script[i]
		if !f.Kind.IsLinkFault() {
			w.After(float64(f.At), func() { w.applyFault(f) })
		}
	}
	if options.Rules != nil {
		w.scheduleDocuments()
	}
	return w, nil
}

// dutyName returns the name of a duty. If settings are agreed on, the first duty is the publisher's.
func (o *Options) dutyName(duty int) string {
	if o.Rules != nil && duty == 0 {
		return rules.Duty
	}
	return fmt.Sprintf("duty-%d", duty)
}

// clock converts virtual time to the process's monotonic clock.
func (p *proc) clock(now float64) float64 { return p.clockOffset + now*p.clockRate }

// start starts a new run of a process, without any state of earlier runs.
func (w *World) start(p *proc) {
	p.run++
	c := fleet.Config{Members: members.Default(), Lease: lease.Default()}
	for i := range p.knownSchedulers {
		c.Addresses = append(c.Addresses, fmt.Sprint("a", i))
	}
	c.Members.Self, c.Members.Fleet, c.Members.Seed = p.number, p.knownSchedulers, w.rng.Uint64()
	c.Lease.Self, c.Lease.Fleet, c.Lease.Seed, c.Lease.RunID = p.number, p.knownSchedulers, w.rng.Uint64(), w.rng.Uint32()
	c.Lease.Voters, c.Lease.Drift, c.Lease.Unsafe = w.options.Voters, max(w.options.Drift, 0.001), w.options.Unsafe
	if w.options.Lease > 0 {
		c.Lease.Lease, c.Lease.Quiet = w.options.Lease, w.options.Lease*1.25
	}
	for i := range w.options.Duties {
		c.Lease.Duties = append(c.Lease.Duties, lease.Duty{Name: w.options.dutyName(i)})
	}
	if w.options.Rules != nil {
		c.Rules = w.rulesConfig(p)
		p.version, p.strict = rules.Version{}, true
	}
	m, err := fleet.New(c, p.clock(w.Now))
	if err != nil {
		panic(fmt.Sprintf("simulation: invalid options: %v", err))
	}
	p.machine, p.wakeAt, p.termAt, p.newestAccepted = m, math.Inf(1), -1, map[int]uint64{}
	run := p.run
	w.step(p, fleet.Event{Kind: fleet.Due})
	if w.options.Duties > 0 {
		w.After(100*w.rng.Float64(), func() { w.performDuties(p, run) })
	}
}

// runInProcess calls do in a process, after its pause if it is paused. It does nothing if the process
// has ended or was restarted.
func (w *World) runInProcess(p *proc, run int, do func()) {
	if p.machine == nil || p.run != run {
		return
	}
	if w.Now < p.pausedUntil {
		p.deferred = append(p.deferred, func() { w.runInProcess(p, run, do) })
		return
	}
	do()
}

func (w *World) step(p *proc, ev fleet.Event) {
	now := p.clock(w.Now)
	ev.Wall = now - p.clockOffset + p.wallOffset
	acts := p.machine.Step(now, &ev, w.actionBuffer[:0])
	w.actionBuffer = nil
	for i := range acts {
		w.handleAction(p, &acts[i])
	}
	w.actionBuffer = acts[:0]
}

func (w *World) traceEvent(format string, args ...any) { fmt.Fprintf(w.trace, format+"\n", args...) }

func (w *World) handleAction(p *proc, a *fleet.Action) {
	run := p.run
	switch a.Kind {
	case fleet.Send:
		w.Result.Datagrams++
		w.Result.Bytes += len(a.Raw)
		if a.To < 0 || a.To >= len(w.procs) {
			panic("simulation: datagram to an unknown scheduler")
		}
		to, from := w.procs[a.To], p.number
		for _, d := range w.network.Deliver(w.Now, from, a.To, a.Raw) {
			w.After(d.After, func() {
				if to.machine != nil {
					run := to.run
					w.runInProcess(to, run, func() { w.step(to, fleet.Event{Kind: fleet.DatagramReceived, From: from, Raw: d.Raw}) })
				}
			})
		}
	case fleet.Wake:
		if a.At >= p.wakeAt && p.wakeAt > p.clock(w.Now) {
			return
		}
		p.wakeAt = a.At
		at := a.At
		w.After(max(0.001, (at-p.clock(w.Now))/p.clockRate), func() {
			w.runInProcess(p, run, func() {
				if p.wakeAt == at {
					p.wakeAt = math.Inf(1)
					w.step(p, fleet.Event{Kind: fleet.Due})
				}
			})
		})
	case fleet.Gained:
		w.onGained(p, w.dutyByName[a.Duty], a.Number)
	case fleet.Lost:
		w.traceEvent("%.3f %d lost %s %d %s", w.Now, p.number, a.Duty, a.Number, a.Note)
		w.onLost(p, w.dutyByName[a.Duty], a.Note == "handed on")
	case fleet.ActAccepted:
		x := w.dutyByName[a.Duty]
		if a.Number < p.newestAccepted[x] {
			w.Result.OldActsAccepted++
		}
		p.newestAccepted[x] = max(p.newestAccepted[x], a.Number)
	case fleet.ActRefused:
		w.Result.ActsRefused++
	case fleet.ApplyRules, fleet.Adopted, fleet.RulesRefused, fleet.Alarm:
		w.onRulesAction(p, a)
	case fleet.Changed:
		w.traceEvent("%.3f %d says %d is %v", w.Now, p.number, a.To, a.State)
		if a.State == members.Dead {
			if q := w.procs[a.To]; q.machine == nil && q.killedAt >= 0 {
				w.Result.DetectionTimes = append(w.Result.DetectionTimes, w.Now-q.killedAt)
			} else if w.Now >= q.pausedUntil {
				w.Result.FalseDeaths++
			}
		}
	}
}

// holdsNow reports whether a process holds a duty at this instant, by its own clock.
func (w *World) holdsNow(p *proc, d int) (uint64, bool) {
	if p.machine == nil {
		return 0, false
	}
	return p.machine.Holds(w.options.dutyName(d), p.clock(w.Now))
}

func (w *World) onGained(p *proc, d int, number uint64) {
	x := &w.duties[d]
	w.traceEvent("%.3f %d gained %d %d", w.Now, p.number, d, number)
	w.Result.Gained++
	if number <= x.newestGained {
		w.Result.DecreasingNumbers++
	}
	x.newestGained = max(x.newestGained, number)
	for _, q := range w.procs {
		if q != p {
			if _, yes := w.holdsNow(q, d); yes {
				w.Result.DoubleHolders++
				w.traceEvent("%.3f %d holds %d too", w.Now, q.number, d)
			} else if i, open := q.openHoldings[d]; open { // its lease has expired, but it has not processed that yet
				w.close(q, d, i, false)
			}
		}
	}
	if x.endedAt >= 0 && x.holders == 0 {
		if gap := w.Now - x.endedAt; x.handedOver {
			w.Result.HandoverGaps = append(w.Result.HandoverGaps, gap)
		} else {
			w.Result.Gaps = append(w.Result.Gaps, gap)
		}
	}
	x.holders++
	p.openHoldings[d] = len(w.Result.Holdings)
	w.Result.Holdings = append(w.Result.Holdings, Holding{Duty: d, Scheduler: p.number, Number: number, From: w.Now, To: -1})
}

func (w *World) onLost(p *proc, d int, handed bool) {
	w.Result.Lost++
	if i, open := p.openHoldings[d]; open {
		w.close(p, d, i, handed)
	}
}

// close ends a holding now, or at the time when it expired by the holder's clock.
func (w *World) close(p *proc, d, i int, handed bool) {
	delete(p.openHoldings, d)
	at := w.Now
	if p.machine != nil && !w.options.Unsafe.NoExpiry {
		at = min(at, (p.machine.HeldUntil(w.options.dutyName(d))-p.clockOffset)/p.clockRate)
	}
	h, x := &w.Result.Holdings[i], &w.duties[d]
	h.To, h.HandedOver = max(at, h.From), handed
	x.endedAt, x.handedOver = h.To, handed
	x.holders--
}

// performDuties repeatedly lets a holder act. The process checks that it holds the duty, may pause
// after the check, and its act arrives some time later.
func (w *World) performDuties(p *proc, run int) {
	w.runInProcess(p, run, func() {
		for d := range w.duties {
			if number, ok := w.holdsNow(p, d); ok {
				send := func() {
					for _, x := range w.network.Deliver(w.Now, p.number, (p.number+1)%len(w.procs), "act") {
						w.After(x.After, func() { w.onAct(d, number) })
					}
				}
				// The last part of the run has no pauses, so that recovery can be verified.
				if w.rng.Float64() < w.options.StallChance && w.Now < w.options.Length-16*w.options.Lease {
					w.pause(p, w.options.Lease*10*w.rng.Float64())
				}
				w.runInProcess(p, run, send)
			}
		}
	})
	if p.machine != nil && p.run == run {
		w.After(50+100*w.rng.Float64(), func() { w.performDuties(p, run) })
	}
}

func (w *World) onAct(d int, number uint64) {
	x := &w.duties[d]
	if !w.options.NoFence && !x.fence.Accept(number) {
		w.Result.ActsRefused++
		return
	}
	w.Result.ActsAccepted++
	if number < x.newestAccepted {
		w.Result.OldActsAccepted++
	}
	x.newestAccepted = max(x.newestAccepted, number)
}

// pause pauses a process for ms.
func (w *World) pause(p *proc, ms float64) {
	p.pausedUntil = max(p.pausedUntil, w.Now+ms)
	run := p.run
	w.At(p.pausedUntil, func() {
		if p.run != run || w.Now < p.pausedUntil {
			return
		}
		todo := p.deferred
		p.deferred = nil
		// Messages that arrived during the pause and due timers may be processed in any order.
		if w.rng.IntN(2) == 0 {
			w.rng.Shuffle(len(todo), func(i, j int) { todo[i], todo[j] = todo[j], todo[i] })
		}
		for _, do := range todo {
			do()
		}
	})
}

// kill ends a process without notice.
func (w *World) kill(p *proc) {
	if p.machine == nil {
		return
	}
	for d, i := range p.openHoldings {
		w.close(p, d, i, p.termAt >= 0)
	}
	w.Result.Unreadable += p.machine.Unreadable
	p.machine, p.deferred, p.killedAt, p.pausedUntil = nil, nil, w.Now, 0
}

func (w *World) applyFault(f *faults.Fault) {
	for _, n := range f.From {
		p := w.procs[n]
		w.traceEvent("%.3f %s %d", w.Now, f.Kind, n)
		restart := func() {
			w.After(float64(f.Lasts), func() {
				if p.machine == nil {
					p.knownSchedulers = len(w.procs)
					w.start(p)
				}
			})
		}
		switch f.Kind {
		case faults.Kill:
			w.kill(p)
			restart()
		case faults.Stall:
			if p.machine != nil {
				w.pause(p, float64(f.Lasts))
			}
		case faults.Term:
			if p.machine != nil && p.termAt < 0 {
				run := p.run
				w.runInProcess(p, run, func() {
					p.termAt = w.Now
					w.step(p, fleet.Event{Kind: fleet.Resign})
				})
				w.After(200, func() {
					if p.run == run {
						w.kill(p)
						restart()
					}
				})
			}
		case faults.Step:
			if by := float64(f.Size); f.Backward {
				p.wallOffset -= by
			} else {
				p.wallOffset += by
			}
		}
	}
}

// Run runs the simulation to its end.
func (w *World) Run() *Result {
	for w.Next(w.options.Length) {
	}
	w.Now = w.options.Length
	for d := range w.duties {
		held := false
		for _, p := range w.procs {
			_, yes := w.holdsNow(p, d)
			held = held || yes
		}
		if !held {
			w.Result.UnheldDuties++
		}
	}
	if w.options.Rules != nil {
		w.checkAgreement()
	}
	for _, p := range w.procs {
		for d, i := range p.openHoldings {
			w.close(p, d, i, false)
		}
		if p.machine != nil {
			w.Result.Unreadable += p.machine.Unreadable
		}
	}
	w.Result.Trace = w.trace.Sum64()
	return &w.Result
}
