package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
	"cottonwell/internal/decision"
	"cottonwell/internal/faults"
	"cottonwell/internal/vtime"
)

// Settings returns the settings of the decision module for the scheduler with index self.
func (s *Spec) Settings(self int) balance.Settings {
	out := balance.Settings{Self: self, Fleet: s.Schedulers, Zone: s.Zones[self%len(s.Zones)], Tick: 5 * time.Millisecond, ReportsFree: true,
		ReportsStart: true, MaxAttempts: 3, Cancel: true, Probes: true, Peers: !s.Isolated, Subscribe: true, StreamsPerConn: 1, ConnIdle: 30 * time.Second,
		DialTimeout: 250 * time.Millisecond, ResponseSlack: 20 * time.Millisecond, MaxQueryInterval: 10 * time.Second, ColdFrom: 0.15,
		BeyondShareValue: float64(s.BeyondAllowanceValue), ColdFor: 24 * time.Second, DrainGrace: 250 * time.Millisecond, CollapseMultiple: 3, CollapseWindow: time.Second,
		Prices: balance.Prices{Probe: 0.0019, CrossZone: 0.059},
		Goal:   balance.Goal{Whole: 0.45, WorstWindow: 0.15, WorstClass: 0.3}}
	for _, t := range s.Tenants {
		if t.Allowance > 0 {
			out.Tenants = append(out.Tenants, balance.Tenant{Name: t.Name, Allowance: t.Allowance})
		}
	}
	cold := 0.0
	for _, k := range s.Kinds {
		cold = max(cold, float64(k.ColdDuration))
		if k.ColdDuration > 0 {
			out.ColdFrom = min(out.ColdFrom, float64(k.ColdSpeed))
		}
	}
	if cold > 0 {
		out.ColdFor = toDuration(cold)
	}
	for _, c := range s.Classes {
		x := balance.Class{Name: c.Name, LatencyTarget: toDuration(float64(c.LatencyTarget)), Stretch: c.TargetStretch, Deadline: toDuration(float64(c.ClientTimeout)), Value: c.Value}
		if c.Keyed {
			x.Effect, x.Scope, x.Window = balance.Keyed, balance.ScopeCell, toDuration(float64(c.KeyWindow))
		}
		out.Classes = append(out.Classes, x)
	}
	return out
}

func toDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Simulation runs the emulated site in virtual time against schedulers in the same process. The same Spec,
// seed and planner configuration give the same Result.
type Simulation struct {
	spec  *Spec
	links *faults.DatagramFaults // between the schedulers
	rng   *rand.Rand
	vtime.Queue
	lastID      uint64 // last identifier of an attempt or of a retried request
	workers     []*simWorker
	workersByID map[string]*simWorker
	schedulers  []*scheduler
	flows       map[uint64]*flow
	openFlows   int
	Result      Result
}

// simWorker is a worker in a Simulation, with its reported load and its scheduled events. Times are virtual ms.
type simWorker struct {
	*Worker
	spec           WorkerSpec
	reportedLoad   Load
	sampledAt      float64 // when the last load report was sampled; 0: never
	nextEventAt    float64 // when advance is scheduled to run next
	attempts       map[uint64]*attempt
	drainingSince  float64       // 0: not draining
	discoveryState balance.State // state that discovery announces
}

// Policy decides for one scheduler. It is either decision.Decider or a policy to compare it with.
type Policy interface {
	// Step processes one event at the given time and appends the resulting actions to acts.
	Step(now time.Duration, ev *balance.Event, acts []balance.Action) []balance.Action
}

type scheduler struct {
	index         int
	policy        Policy
	alive         bool
	incarnation   int // number of starts of the process
	actionBuffer  []balance.Action
	notReadySince map[string]float64 // by worker: when discovery first reported it as draining or gone
	// knownStart is the last start of each worker that discovery reported to this scheduler, in virtual ms.
	knownStart map[string]float64
}

type flow struct {
	id          uint64
	arrival     Arrival
	firstSentAt float64 // time of the first try
	deadline    float64
	scheduler   *scheduler
	incarnation int // of the scheduler when the request arrived
	attempts    []*attempt
	finished    bool
	retries     int
	recorded    bool // in Result
}

type attempt struct {
	ref        uint64
	index      int
	flow       *flow
	worker     *simWorker
	sentAt     float64
	concluded  bool // the scheduler was notified of its end
	cancelled  bool // the scheduler cancelled it; the cancellation may have reached the worker
	mayHaveRun bool
	result     balance.Result
}

// NewSimulation returns a Simulation that is ready to Run. If plannerConfig is nil, the schedulers make no reservations.
func NewSimulation(spec *Spec, seed uint64, plannerConfig *backfill.Config) (*Simulation, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	for _, f := range spec.SchedulerFaults {
		if !f.Kind.IsLinkFault() && f.Kind != faults.Kill || f.Links != "" || f.OldList {
			return nil, fmt.Errorf("fault %s: virtual time supports only kills of schedulers and faults on the links between them", f.Kind)
		}
	}
	w := &Simulation{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x0117)), Queue: vtime.Queue{Now: 1e9}, workersByID: map[string]*simWorker{}, flows: map[uint64]*flow{}}
	w.links = &faults.DatagramFaults{MeanDelay: float64(spec.DatagramDelay), Rng: rand.New(rand.NewPCG(seed, 0xda7a)), Script: slices.Concat(spec.SchedulerFaults,
		faults.Script{{Kind: faults.Loss, Lasts: 2 * spec.Length, Share: spec.DatagramLoss}})}
	w.Result = newResult(spec)
	for i, ws := range spec.Workers() {
		p := &simWorker{Worker: NewWorker(ws, seed+uint64(i)), spec: ws, nextEventAt: math.Inf(1), attempts: map[uint64]*attempt{}}
		p.reportedLoad = p.Load() // a probe before the first sample reports this load
		w.workers = append(w.workers, p)
		w.workersByID[ws.ID] = p
	}
	for i := range spec.Schedulers {
		s := &scheduler{index: i, notReadySince: map[string]float64{}, knownStart: map[string]float64{}}
		w.schedulers = append(w.schedulers, s)
		if err := w.start(s, seed, plannerConfig); err != nil {
			return nil, err
		}
	}
	start := w.Now
	for i, a := range spec.Arrivals(seed) {
		id := uint64(i + 1)
		w.After(a.At, func() { w.arrive(id, a, start+a.At, 0) })
	}
	w.scheduleFaults(seed, plannerConfig)
	return w, nil
}

// start starts the process of a scheduler, without state from an earlier incarnation.
func (w *Simulation) start(s *scheduler, seed uint64, plannerConfig *backfill.Config) error {
	settings, schedulerSeed := w.spec.Settings(s.index), seed+uint64(s.index)*77+uint64(s.incarnation)
	if w.spec.newPolicy != nil {
		s.policy = w.spec.newPolicy(settings, schedulerSeed)
	} else {
		decider, err := decision.New(settings, schedulerSeed, plannerConfig)
		if err != nil {
			return err
		}
		s.policy = decider
	}
	s.alive = true
	s.incarnation++
	w.After(0, func() { w.sendSnapshot(s, balance.FromDisk) })
	return nil
}

// networkDelay draws the delay of one message, in ms.
func (w *Simulation) networkDelay() float64 {
	return float64(w.spec.NetDelay) * (0.8 + 0.4*w.rng.Float64())
}

// Run runs the simulation until every request has its final response, and returns the Result. It stops at
// the latest 20 s after the end of the load and records the requests that are still open as violations ("unanswered").
func (w *Simulation) Run() *Result {
	end := w.Now + float64(w.spec.Length) + 20_000
	for w.Now < end && (w.openFlows > 0 || w.Now < end-20_000) && w.Next(math.Inf(1)) {
	}
	if w.openFlows > 0 {
		w.Result.Violations["unanswered"] += w.openFlows
	}
	for _, s := range w.schedulers {
		if d, ok := s.policy.(*decision.Decider); ok && d.Planner() != nil {
			w.Result.addReservations(d.Planner())
		}
	}
	w.Result.finish()
	return &w.Result
}

// step passes an event to a scheduler's policy and performs the resulting actions.
func (w *Simulation) step(s *scheduler, ev balance.Event) {
	if !s.alive {
		return
	}
	actions := s.policy.Step(toDuration(w.Now), &ev, s.actionBuffer[:0])
	s.actionBuffer = nil // a nested step must not reuse the buffer
	for i := range actions {
		w.perform(s, &actions[i])
	}
	s.actionBuffer = actions[:0]
}

// perform carries out one action of a scheduler.
func (w *Simulation) perform(s *scheduler, action *balance.Action) {
	incarnation := s.incarnation
	sameProcess := func() bool { return s.alive && s.incarnation == incarnation }
	switch action.Kind {
	case balance.Send:
		w.send(s, w.flows[action.Request], action.Worker)
	case balance.Refuse, balance.Fail:
		w.endUnserved(w.flows[action.Request], action.Kind == balance.Refuse)
	case balance.Cancel:
		f := w.flows[action.Request]
		if f == nil || action.Attempt >= len(f.attempts) {
			w.Result.Violations["cancel-unknown"]++
			return
		}
		abandoned := f.attempts[action.Attempt]
		abandoned.cancelled = true
		w.After(2*w.networkDelay(), func() { w.conclude(abandoned, balance.Cancelled) })
	case balance.Wake:
		timer := action.Timer
		w.After(action.After.Seconds()*1000, func() {
			if sameProcess() {
				w.step(s, balance.Event{Kind: balance.TimerDue, Timer: timer})
			}
		})
	case balance.Probe:
		p := w.workersByID[action.Worker]
		sentAt := w.Now
		w.After(2*w.networkDelay(), func() {
			if !sameProcess() {
				return
			}
			ev := balance.Event{Kind: balance.Probed, Worker: p.ID, Elapsed: toDuration(w.Now - sentAt), Report: w.report(p)}
			if !p.Up || p.Collapsed {
				ev.Result, ev.Report = balance.NoConnection, balance.Report{}
			}
			w.step(s, ev)
		})
	case balance.Subscribe:
		w.After(2*w.networkDelay(), func() {
			if sameProcess() {
				w.sendSnapshot(s, balance.Complete)
			}
		})
	case balance.SendToPeers:
		if len(action.Raw) > 256 {
			w.Result.Violations["datagram-too-long"]++
		}
		if action.To == nil {
			for _, to := range w.schedulers {
				w.sendDatagram(s, to, action.Raw)
			}
		}
		for _, n := range action.To {
			w.sendDatagram(s, w.schedulers[n], action.Raw)
		}
	}
}

// sendDatagram sends a datagram to another scheduler. The faults of the link may delay, drop, repeat or change it.
func (w *Simulation) sendDatagram(s, to *scheduler, raw string) {
	if to == s {
		return
	}
	w.Result.Datagrams++
	for _, d := range w.links.Deliver(w.Now-1e9, s.index, to.index, raw) {
		w.After(d.After, func() {
			w.step(to, balance.Event{Kind: balance.PeerLoads, Peer: s.index, Raw: d.Raw})
		})
	}
}

// discoveryEntry returns the worker's entry in the discovery list.
func (w *Simulation) discoveryEntry(p *simWorker) balance.Member {
	return balance.Member{ID: p.ID, Zone: p.Zone, Kind: p.Kind, Cell: p.Cell, State: p.discoveryState, Weight: 1, Started: toDuration(p.StartedAt)}
}

// sendSnapshot passes the whole discovery list to a scheduler.
func (w *Simulation) sendSnapshot(s *scheduler, scope balance.ListScope) {
	ev := balance.Event{Kind: balance.Listed, List: scope}
	for _, p := range w.workers {
		if p.discoveryState != balance.Gone {
			ev.Members = append(ev.Members, w.discoveryEntry(p))
		}
		w.recordNotified(s, p)
	}
	w.step(s, ev)
}

// recordNotified records that a scheduler received the worker's current entry.
func (w *Simulation) recordNotified(s *scheduler, p *simWorker) {
	if p.discoveryState == balance.Ready {
		delete(s.notReadySince, p.ID)
		s.knownStart[p.ID] = p.StartedAt
	} else if _, ok := s.notReadySince[p.ID]; !ok {
		s.notReadySince[p.ID] = w.Now
	}
}

// announce changes a worker's state in discovery after the discovery delay and then notifies all schedulers.
func (w *Simulation) announce(p *simWorker, state balance.State) {
	w.After(float64(w.spec.DiscoveryDelay)*(0.5+w.rng.Float64()), func() {
		p.discoveryState = state
		for _, s := range w.schedulers {
			if w.spec.DiscoverySpread == 0 {
				w.notify(s, p)
				continue
			}
			w.After(float64(w.spec.DiscoverySpread)*w.rng.Float64(), func() { w.notify(s, p) })
		}
	})
}

// notify passes a change of one worker to a scheduler.
func (w *Simulation) notify(s *scheduler, p *simWorker) {
	w.recordNotified(s, p)
	w.step(s, balance.Event{Kind: balance.Listed, List: balance.Changes, Members: []balance.Member{w.discoveryEntry(p)}})
}

// arrive delivers a request to its scheduler, or to the next live one.
func (w *Simulation) arrive(id uint64, a Arrival, firstSentAt float64, retries int) {
	s := w.schedulers[a.Scheduler]
	for i := 0; !s.alive && i < len(w.schedulers); i++ {
		s = w.schedulers[(a.Scheduler+i)%len(w.schedulers)]
	}
	c := &w.spec.Classes[a.Class]
	f := &flow{id: id, arrival: a, firstSentAt: firstSentAt, deadline: firstSentAt + float64(c.ClientTimeout), scheduler: s, incarnation: s.incarnation, retries: retries}
	w.flows[id] = f
	w.openFlows++
	if a.DepartsAfter > 0 {
		w.After(a.DepartsAfter, func() {
			if !f.finished {
				w.close(f)
				w.Result.Departed++
				w.step(f.scheduler, balance.Event{Kind: balance.Departed, Request: id})
			}
		})
	}
	w.After(f.deadline+50-w.Now, func() {
		if !f.finished && f.scheduler.incarnation == f.incarnation {
			w.Result.Violations["answer-late"]++
			w.close(f)
			w.record(f, false)
		}
	})
	w.step(s, balance.Event{Kind: balance.Arrived, Request: id, Class: c.Name, Tenant: a.Tenant, Budget: toDuration(f.deadline - w.Now),
		Slots: float64(a.Slots), Memory: a.Memory, Priority: c.Priority, MarkedRetry: retries > 0, FirstTry: retries == 0})
}

// close marks a flow as finished.
func (w *Simulation) close(f *flow) {
	f.finished = true
	w.openFlows--
}

// send starts an attempt at a worker and counts the rules that it violates.
func (w *Simulation) send(s *scheduler, f *flow, id string) {
	p := w.workersByID[id]
	if f == nil || p == nil {
		w.Result.Violations["send-unknown"]++
		return
	}
	w.lastID++
	a := &attempt{ref: w.lastID, index: len(f.attempts), flow: f, worker: p, sentAt: w.Now}
	w.checkRules(s, f, a)
	f.attempts = append(f.attempts, a)
	w.Result.Sends++
	if p.Zone != w.spec.Zones[s.index%len(w.spec.Zones)] {
		w.Result.CrossZone++
	}
	w.After(f.deadline-w.Now, func() { w.conclude(a, balance.TimedOut) })
	w.After(w.networkDelay(), func() { w.offer(a) })
}

// checkRules counts the rules that a new attempt violates.
func (w *Simulation) checkRules(s *scheduler, f *flow, a *attempt) {
	violations := w.Result.Violations
	if f.finished {
		violations["send-after-answer"]++
	}
	if len(f.attempts) >= 3 {
		violations["fourth-attempt"]++
	}
	if at, ok := s.notReadySince[a.worker.ID]; ok && w.Now > at+250 {
		violations["send-to-draining"]++
	}
	c := &w.spec.Classes[f.arrival.Class]
	for _, x := range f.attempts {
		if !x.concluded {
			violations["two-attempts-out"]++
		}
		if c.Keyed && (!x.concluded || x.mayHaveRun) && (x.worker.Cell != a.worker.Cell || w.Now-x.sentAt > float64(c.KeyWindow)) {
			violations["keyed-repeat-elsewhere"]++
		}
	}
}

// offer delivers an attempt to its worker.
func (w *Simulation) offer(a *attempt) {
	p, f := a.worker, a.flow
	if a.concluded {
		return
	}
	wasCollapsed := p.Collapsed
	result := p.Offer(w.Now, Job{Ref: a.ref, Slots: f.arrival.Slots, Memory: f.arrival.Memory, Work: f.arrival.Work, Priority: w.spec.Classes[f.arrival.Class].Priority,
		StartKnown: f.scheduler.knownStart[p.ID] == p.StartedAt})
	// The platform counts a collapse only if more than two thirds of the requests came from schedulers to which discovery
	// had announced the start.
	if p.Collapsed && !wasCollapsed && (!w.spec.OverloadByRequests || p.startKnownShare() > 2.0/3) {
		w.Result.Violations["cold-pushed-over"]++
	}
	switch result {
	case Accepted:
		p.attempts[a.ref] = a
		w.advance(p)
	case Rejected:
		w.After(w.networkDelay(), func() { w.conclude(a, balance.Full) })
	case Failed:
		a.mayHaveRun = true
		w.After(w.networkDelay()+1, func() { w.conclude(a, balance.Failed) })
	case Unreachable:
		w.After(w.networkDelay(), func() { w.conclude(a, balance.NoConnection) })
	}
}

// advance simulates a worker up to the present and schedules itself for the worker's next event.
func (w *Simulation) advance(p *simWorker) {
	p.Advance(w.Now, func(at float64, n JobEvent) { w.handleJobEvent(p, n) })
	next := p.NextEvent(w.Now)
	if next < p.nextEventAt || p.nextEventAt <= w.Now {
		p.nextEventAt = next
		if !math.IsInf(next, 1) {
			w.After(next-w.Now, func() {
				if p.nextEventAt <= w.Now {
					w.advance(p)
				}
			})
		}
	}
}

// handleJobEvent reports a start or an end of a job to the scheduler of its request.
func (w *Simulation) handleJobEvent(p *simWorker, n JobEvent) {
	a := p.attempts[n.Ref]
	if a == nil {
		return
	}
	f := a.flow
	a.mayHaveRun = true
	switch n.Kind {
	case Started:
		w.After(w.networkDelay(), func() {
			if !a.concluded && f.scheduler.incarnation == f.incarnation {
				w.step(f.scheduler, balance.Event{Kind: balance.Progressed, Request: f.id, Attempt: a.index, Worker: p.ID, Started: true})
			}
		})
	case Done:
		delete(p.attempts, n.Ref)
		w.After(w.networkDelay(), func() { w.conclude(a, balance.OK) })
	case Lost:
		delete(p.attempts, n.Ref)
		w.After(w.networkDelay(), func() { w.conclude(a, balance.Reset) })
	}
}

// report returns the worker's load report. The report is delayed and noisy.
func (w *Simulation) report(p *simWorker) balance.Report {
	if w.Now-p.sampledAt > float64(w.spec.ReportInterval)*(0.5+w.rng.Float64()) || p.sampledAt == 0 {
		delay := float64(w.spec.ReportDelay)
		for _, t := range w.spec.SiteFaults {
			if since := w.Now - 1e9; t.Kind == "late-reports" && since >= float64(t.At) && since < float64(t.At+t.Duration) {
				delay += float64(t.Delay)
			}
		}
		load := p.Load()
		p.sampledAt = w.Now
		if delay <= 0 {
			p.reportedLoad = load
		} else {
			w.After(delay, func() { p.reportedLoad = load })
		}
	}
	noise := func(x float64) float64 {
		return max(0, x*(1+float64(w.spec.ReportNoise)*w.rng.NormFloat64()))
	}
	r := balance.Report{Present: true, InFlight: noise(p.reportedLoad.InFlight), Waiting: noise(p.reportedLoad.Queued), Free: noise(p.reportedLoad.FreeSlots)}
	if p.Memory > 0 {
		r.Memory = max(0.001, noise(p.reportedLoad.FreeMemory))
	}
	return r
}

// conclude notifies the scheduler of the end of an attempt. Only the first call for an attempt has an effect.
func (w *Simulation) conclude(a *attempt, result balance.Result) {
	f := a.flow
	if a.concluded {
		return
	}
	a.concluded, a.result = true, result
	if result == balance.Full || result == balance.NoConnection {
		a.mayHaveRun = false
	} else {
		a.mayHaveRun = true
	}
	if f.scheduler.incarnation != f.incarnation || !f.scheduler.alive {
		return
	}
	ev := balance.Event{Kind: balance.Ended, Request: f.id, Attempt: a.index, Worker: a.worker.ID, Result: result, Elapsed: toDuration(w.Now - a.sentAt)}
	if !w.spec.Isolated && (result == balance.OK || result == balance.Failed || result == balance.Full) {
		ev.Report = w.report(a.worker)
	}
	if result == balance.OK && !f.finished {
		w.close(f)
		w.record(f, true)
	}
	ev.Final = f.finished
	w.step(f.scheduler, ev)
}

// endUnserved ends a request with a refusal or a failure. Clients with retries left send it again immediately.
func (w *Simulation) endUnserved(f *flow, refused bool) {
	if f == nil || f.finished {
		w.Result.Violations["second-answer"]++
		return
	}
	w.close(f)
	if refused {
		w.Result.Refused++
		for _, a := range f.attempts {
			if w.spec.Classes[f.arrival.Class].Keyed && a.mayHaveRun {
				w.Result.Violations["refused-though-it-may-have-run"]++
			}
		}
	} else {
		w.Result.Failed++
	}
	if f.retries < w.spec.Retries && w.Now < f.deadline-10 && f.arrival.DepartsAfter == 0 {
		w.lastID++
		id := w.lastID<<20 | 1<<50
		w.After(2*w.networkDelay(), func() { w.arrive(id, f.arrival, f.firstSentAt, f.retries+1) })
		return
	}
	w.record(f, false)
}

// record adds a finished request, including all its retries, to the Result. It omits requests that arrived during the
// warm-up or whose clients disconnect early.
func (w *Simulation) record(f *flow, served bool) {
	if f.recorded || f.firstSentAt-1e9 < float64(w.spec.Warmup) || f.arrival.DepartsAfter > 0 {
		return
	}
	f.recorded = true
	w.Result.add(w.spec, &f.arrival, w.Now-f.firstSentAt, served)
}
