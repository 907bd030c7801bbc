package core

import (
	"context"
	"fmt"
	"log/slog"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
	"cottonwell/internal/clock"
	"cottonwell/internal/decision"
	"cottonwell/internal/gossip"
	"cottonwell/internal/invariant"
)

// Config configures a Core. The functions in it are called from the core's goroutine and must not block.
type Config struct {
	Settings   balance.Settings
	Seed       uint64
	Clock      clock.Clock
	Log        *slog.Logger
	Invariants *invariant.Set
	// RetryAfterMS is the retry-after of a refusal for which the decision module sets none, in milliseconds.
	RetryAfterMS float64
	// MaxOpen is the maximum number of flows without a final response; 0: unlimited.
	MaxOpen int
	// SendToPeers sends a message to the schedulers of the given numbers (nil: all others). It is nil if schedulers exchange no
	// messages.
	SendToPeers func(to []int, raw string)
	// Planner configures the reservation planner; nil if disabled.
	Planner *backfill.Config
	// ReportSuspicion, ReportProbe and ReportTargets report to the fleet's examiner of targets: the targets that this
	// scheduler suspects and no longer selects, whether a target responded to a probe, and the listed targets. They are
	// nil if disabled.
	ReportSuspicion func(target string, failing bool)
	ReportProbe     func(target string, responded bool)
	ReportTargets   func(targets []Target)
	// CountRequest counts a request of a tenant for the fleet-wide total. It is not called for retries of a client. It is nil if
	// disabled.
	CountRequest func(tenant string)
	// ListLease is how long a list is used after its source last confirmed it, in milliseconds; 0: without limit. It
	// applies to the source that has a Watch.
	ListLease float64
	// UnwatchedLease replaces ListLease while no watch is open, in milliseconds; 0: the same as ListLease.
	UnwatchedLease float64
	// AddressChangeLease limits how long the list is used after the address of the source changed and before the new address
	// confirms it, in milliseconds; 0: a change of address does not shorten the lease.
	AddressChangeLease float64
	// ForwardUnmatched receives callbacks about jobs that this process does not know, to be forwarded to another process of this
	// scheduler. It is nil if there is no such process.
	ForwardUnmatched func(TargetCallback)
	// StoredLists is the last stored list of each source. It is loaded before Run handles any other event.
	StoredLists map[string]TargetList
}

// Core runs the flows of one scheduler.
type Core struct {
	cfg        Config
	log        *slog.Logger
	clock      clock.Clock
	invariants *invariant.Set
	module     *decision.Decider
	sources    map[string]*source
	events     chan event
	done       chan struct{} // closed when Run returns

	// The fields below are accessed by Run's goroutine only.
	flows          map[uint64]*flow
	flowsByID      map[string]*flow
	flowsByKey     map[repeatKey]*flow // the last flow with each key of keyOf
	repeats        repeatMemory
	lastFlow       uint64 // number of the newest flow
	openFlows      int    // flows without a final response
	sourceByTarget map[string]*source
	offline        map[string]bool // targets under maintenance; each was listed when it went offline
	timers         timers
	pendingEvents  []balance.Event // not yet passed to the decision module, in order
	actions        []balance.Action
	stats          Stats
	trace          trace
	idleWaiters    []chan struct{}    // each is closed once no flow is open
	longestTimeout map[string]float64 // longest client timeout seen, in milliseconds, by class
	classes        map[string]*balance.Class
	// shuttingDown is set by EndOpenFlows. New requests are refused from then on.
	shuttingDown bool
	listReady    chan struct{} // closed once the list may be used
	activeRules
	listLease
}

// source is a Source with its current list of targets.
type source struct {
	Source
	targets map[string]Target
}

// event is a message to Run's goroutine. Its apply method runs on that goroutine.
type event interface{ apply(*Core) }

// New returns a core that is not running yet, or an error if the settings are invalid.
func New(cfg Config, sources ...Source) (*Core, error) {
	module, err := decision.New(cfg.Settings, cfg.Seed, cfg.Planner)
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	c := &Core{cfg: cfg, log: cfg.Log, clock: cfg.Clock, invariants: cfg.Invariants, module: module,
		sources: map[string]*source{}, events: make(chan event, 1024), done: make(chan struct{}),
		flows: map[uint64]*flow{}, flowsByID: map[string]*flow{}, flowsByKey: map[repeatKey]*flow{}, repeats: newRepeatMemory(), sourceByTarget: map[string]*source{}, offline: map[string]bool{},
		listReady: make(chan struct{}), stats: Stats{Dropped: map[string]int{}}, trace: newTrace(cfg.Log), longestTimeout: map[string]float64{},
		classes: map[string]*balance.Class{}, activeRules: activeRules{rules: Rules{ColdFactor: 1}}}
	for i := range cfg.Settings.Classes {
		class := &cfg.Settings.Classes[i]
		c.longestTimeout[class.Name], c.classes[class.Name] = 0, class
	}
	for _, s := range sources {
		c.sources[s.Name] = &source{Source: s, targets: map[string]Target{}}
	}
	if err := c.startLease(); err != nil {
		return nil, err
	}
	return c, nil
}

// post sends an event to Run. It drops the event if Run has returned.
func (c *Core) post(e event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// Run handles events and timers until ctx is done.
func (c *Core) Run(ctx context.Context) {
	defer close(c.done)
	alarm := c.clock.NewAlarm()
	defer alarm.Stop()
	for name, list := range c.cfg.StoredLists {
		list.Scope = balance.FromDisk
		listEvent{name, list}.apply(c)
		c.route()
	}
	for {
		if at, ok := c.timers.earliest(); ok {
			alarm.Set(at)
		}
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			e.apply(c)
		case <-alarm.C():
		}
		c.route()
		for c.timers.fireEarliest(c.clock.Now(), c.fire) {
			c.route()
		}
	}
}

// ListReady returns a channel that is closed once the list may be used: when discovery, or another scheduler that forwards its
// confirmation, has confirmed it. Without a lease it is closed from the start.
func (c *Core) ListReady() <-chan struct{} { return c.listReady }

// Idle returns a channel that is closed once no flow is open.
func (c *Core) Idle() <-chan struct{} {
	ch := make(chan struct{})
	c.post(idleQuery{ch})
	return ch
}

type idleQuery struct{ done chan struct{} }

func (e idleQuery) apply(c *Core) {
	if c.openFlows == 0 {
		close(e.done)
		return
	}
	c.idleWaiters = append(c.idleWaiters, e.done)
}

// UpdateTargets passes a list of targets, or changes to it, from the named source.
func (c *Core) UpdateTargets(sourceName string, list TargetList) { c.post(listEvent{sourceName, list}) }

type listEvent struct {
	source string
	list   TargetList
}

func (e listEvent) apply(c *Core) {
	s := c.sources[e.source]
	if s == nil {
		c.countDropped("list from an unknown source")
		return
	}
	if e.list.Scope == balance.RequestFailed {
		c.stats.ListFailures++
		c.enqueue(balance.Event{Kind: balance.Listed, List: balance.RequestFailed})
		c.watchLost(s)
		return
	}
	c.stats.Lists++
	if e.list.Scope != balance.Changes {
		for id := range s.targets {
			delete(c.sourceByTarget, id)
		}
		clear(s.targets)
	}
	for i := range e.list.Targets {
		t := &e.list.Targets[i]
		t.Started = clock.Duration(t.StartedMS)
		if t.State == balance.Gone {
			delete(s.targets, t.ID)
			delete(c.sourceByTarget, t.ID)
		} else {
			s.targets[t.ID] = *t
			c.sourceByTarget[t.ID] = s
		}
	}
	changed := c.updateLeaseList(s, &e.list)
	ev := balance.Event{Kind: balance.Listed, List: e.list.Scope}
	for _, t := range e.list.Targets {
		ev.Members = append(ev.Members, c.memberOf(t))
	}
	if e.list.Scope != balance.Changes {
		// The decision module treats a whole list as the list of all sources, so the other sources' targets are added.
		for _, other := range c.sources {
			if other == s {
				continue
			}
			for _, t := range other.targets {
				ev.Members = append(ev.Members, c.memberOf(t))
			}
		}
	}
	s.Transport.UpdateTargets(c.applyMaintenance(e.list))
	c.enqueue(ev)
	c.afterLeaseEvent(s, changed)
	if c.cfg.ReportTargets != nil {
		all := make([]Target, 0, len(c.sourceByTarget))
		for id, s := range c.sourceByTarget {
			all = append(all, s.targets[id])
		}
		c.cfg.ReportTargets(all)
	}
}

// ReceivePeerMessage passes a message that was received from another scheduler, identified by its number in the settings.
func (c *Core) ReceivePeerMessage(sender int, raw string) { c.post(peerMessageEvent{sender, raw}) }

type peerMessageEvent struct {
	sender int
	raw    string
}

func (e peerMessageEvent) apply(c *Core) {
	if gossip.IsListMessage(e.raw) {
		c.receiveListMessage(e.sender, e.raw)
		return
	}
	c.enqueue(balance.Event{Kind: balance.PeerLoads, Peer: e.sender, Raw: e.raw})
}

// ProbeEnded passes the result of a probe.
func (c *Core) ProbeEnded(r ProbeResult) { c.post(probeEndedEvent{r}) }

type probeEndedEvent struct{ result ProbeResult }

func (e probeEndedEvent) apply(c *Core) {
	c.stats.ProbesEnded++
	c.enqueue(balance.Event{Kind: balance.Probed, Worker: e.result.Target, Result: e.result.Result,
		Elapsed: clock.Duration(e.result.Elapsed), Report: e.result.Report})
	c.updateLeaseProbe(e.result)
	if c.cfg.ReportProbe != nil {
		c.cfg.ReportProbe(e.result.Target, e.result.Result != balance.NoConnection && e.result.Result != balance.TimedOut)
	}
}

// Probe probes a target for the fleet's examiner. A target that is no longer listed is not probed.
func (c *Core) Probe(target string) { c.post(probeRequestEvent(target)) }

type probeRequestEvent string

func (e probeRequestEvent) apply(c *Core) {
	c.probe(string(e))
}

// probe requests a probe of a target. It reports whether the target is listed.
func (c *Core) probe(target string) bool {
	s := c.sourceByTarget[target]
	if s != nil {
		c.stats.Probes++
		s.Transport.Probe(target)
	}
	return s != nil
}

// ApplyVerdict passes the examiner's verdict on a target for the whole fleet: nothing is sent to the target for a duration in
// milliseconds, or it may be used again (0).
func (c *Core) ApplyVerdict(target string, duration float64) { c.post(verdictEvent{target, duration}) }

type verdictEvent struct {
	target   string
	duration float64
}

func (e verdictEvent) apply(c *Core) {
	c.enqueue(balance.Event{Kind: balance.WorkerEjected, Worker: e.target, Elapsed: clock.Duration(e.duration)})
}

// ApplyShares passes the part of each tenant's requests that is within its share. The parts apply for a duration in
// milliseconds.
func (c *Core) ApplyShares(parts map[string]float64, duration float64) {
	c.post(sharesEvent{parts, duration})
}

type sharesEvent struct {
	parts    map[string]float64
	duration float64
}

func (e sharesEvent) apply(c *Core) {
	c.enqueue(balance.Event{Kind: balance.TenantShares, TenantParts: e.parts, Elapsed: clock.Duration(e.duration)})
}
