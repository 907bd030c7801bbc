package core

import (
	"context"
	"fmt"
	"log/slog"

	"cottonwell/balance"
	"cottonwell/internal/clock"
	"cottonwell/internal/decide"
	"cottonwell/internal/gossip"
	"cottonwell/internal/invariant"
	"cottonwell/internal/room"
)

// Config is what a core is made from.
type Config struct {
	Settings   balance.Settings
	Seed       uint64
	Clock      clock.Clock
	Log        *slog.Logger
	Invariants *invariant.Set
	// ComeBack is the advice on a refusal for which the module gives none, in ms.
	ComeBack float64
	// MaxOpen is how many flows may be open at once.
	MaxOpen int
	// Tell sends a message to other schedulers, by their numbers (nil: all of them); nil where there is
	// no way to them.
	Tell func(to []int, raw string)
	// Room sets the planner of held room up; nil while that is off.
	Room *room.Config
	// Doubt, Probed and Listed tell whoever examines targets for the fleet what this scheduler takes out of
	// its draw, how probes end and which targets there are; nil where nobody does. None may wait.
	Doubt  func(target string, failing bool)
	Probed func(target string, answered bool)
	Listed func(targets []Target)
	// Asked counts a tenant's requests for whoever adds them up over the fleet, later tries of a client left
	// out; nil where nobody does. It may not wait.
	Asked func(tenant string)
	// ListLease is for how long, in ms, a list is acted on after the last word of its source; 0: for ever. It holds for
	// the source that has a Watch.
	ListLease float64
	// UnwatchedLease is the same while no watch is open; 0: as long.
	UnwatchedLease float64
	// MovedLease is for how long, in ms, it is acted on after the source has moved, until it is heard anew; 0: no less
	// long than without that.
	MovedLease float64
	// Stray takes news of a job that is unknown here, for another process of this scheduler; nil where there can be none.
	// It may not wait.
	Stray func(TargetNews)
	// Known is the list as it was held last, by source; the module learns it first.
	Known map[string]Group
}

// Core runs the flows of one scheduler.
type Core struct {
	cfg     Config
	log     *slog.Logger
	clock   clock.Clock
	inv     *invariant.Set
	module  *decide.Decider
	sources map[string]*source
	events  chan event
	done    chan struct{} // closed when Run returns

	// What follows belongs to Run's goroutine.
	flows   map[uint64]*flow
	byID    map[string]*flow
	last    uint64 // number of the newest flow
	open    int    // flows without a final answer
	targets map[string]*source
	offline map[string]bool // targets under maintenance; each was listed when it went offline
	timers  timers
	steps   []balance.Event // for the module, in order
	acts    []balance.Action
	books   Books
	trace   trace
	idle    []chan struct{}    // closed once no flow is open
	longest map[string]float64 // patience that came with a request, by class
	classes map[string]*balance.Class
	// finished says that the program ends: nothing is taken in any more.
	finished bool
	fresh    chan struct{} // closed once there is a list that may be acted on
	ruling
	listLease
}

type source struct {
	Source
	members map[string]Target
}

type event interface{ apply(*Core) }

// New returns a core that has not begun, or says what is wrong with its settings.
func New(cfg Config, sources ...Source) (*Core, error) {
	module, err := decide.New(cfg.Settings, cfg.Seed, cfg.Room)
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	c := &Core{cfg: cfg, log: cfg.Log, clock: cfg.Clock, inv: cfg.Invariants, module: module,
		sources: map[string]*source{}, events: make(chan event, 1024), done: make(chan struct{}),
		flows: map[uint64]*flow{}, byID: map[string]*flow{}, targets: map[string]*source{}, offline: map[string]bool{},
		fresh: make(chan struct{}), books: Books{Dropped: map[string]int{}}, trace: newTrace(cfg.Log), longest: map[string]float64{},
		classes: map[string]*balance.Class{}, ruling: ruling{rules: Rules{Cold: 1}}}
	for i := range cfg.Settings.Classes {
		class := &cfg.Settings.Classes[i]
		c.longest[class.Name], c.classes[class.Name] = 0, class
	}
	for _, s := range sources {
		c.sources[s.Name] = &source{Source: s, members: map[string]Target{}}
	}
	if err := c.startLease(); err != nil {
		return nil, err
	}
	return c, nil
}

// post hands an event to Run. After Run has returned, events have no receiver.
func (c *Core) post(e event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// Run takes events until ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.done)
	alarm := c.clock.NewAlarm()
	defer alarm.Stop()
	for name, g := range c.cfg.Known {
		g.Scope = balance.FromDisk
		listed{name, g}.apply(c)
		c.route()
	}
	for {
		if at, ok := c.timers.first(); ok {
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
		for c.timers.due(c.clock.Now(), c.ring) {
			c.route()
		}
	}
}

// Fresh returns a channel that is closed once there is a list that may be acted on, by discovery's own word or one that was
// passed on.
func (c *Core) Fresh() <-chan struct{} { return c.fresh }

// Idle returns a channel that is closed once no flow is open.
func (c *Core) Idle() <-chan struct{} {
	ch := make(chan struct{})
	c.post(waitIdle{ch})
	return ch
}

type waitIdle struct{ ch chan struct{} }

func (e waitIdle) apply(c *Core) {
	if c.open == 0 {
		close(e.ch)
		return
	}
	c.idle = append(c.idle, e.ch)
}

// List tells the core of targets.
func (c *Core) List(from string, g Group) { c.post(listed{from, g}) }

type listed struct {
	from  string
	group Group
}

func (e listed) apply(c *Core) {
	s := c.sources[e.from]
	if s == nil {
		c.drop("list from an unknown source")
		return
	}
	if e.group.Scope == balance.AskFailed {
		c.books.ListFailures++
		c.step(balance.Event{Kind: balance.Listed, List: balance.AskFailed})
		c.listLost(s)
		return
	}
	c.books.Lists++
	if e.group.Scope != balance.Changes {
		for id := range s.members {
			delete(c.targets, id)
		}
		clear(s.members)
	}
	for i := range e.group.Targets {
		t := &e.group.Targets[i]
		t.Started = clock.Duration(t.StartedMS)
		if t.State == balance.Gone {
			delete(s.members, t.ID)
			delete(c.targets, t.ID)
		} else {
			s.members[t.ID] = *t
			c.targets[t.ID] = s
		}
	}
	changed := c.listHeard(s, &e.group)
	ev := balance.Event{Kind: balance.Listed, List: e.group.Scope}
	for _, t := range e.group.Targets {
		ev.Members = append(ev.Members, c.member(t))
	}
	if e.group.Scope != balance.Changes {
		// The module takes a whole list for all that there is, so the other sources' targets go in too.
		for _, other := range c.sources {
			if other == s {
				continue
			}
			for _, t := range other.members {
				ev.Members = append(ev.Members, c.member(t))
			}
		}
	}
	s.Transport.Listed(c.maintainedGroup(e.group))
	c.step(ev)
	c.leaseReviewed(s, changed)
	if c.cfg.Listed != nil {
		all := make([]Target, 0, len(c.targets))
		for id, s := range c.targets {
			all = append(all, s.members[id])
		}
		c.cfg.Listed(all)
	}
}

// Heard tells what another scheduler said, by its number in the settings.
func (c *Core) Heard(who int, raw string) { c.post(heard{who, raw}) }

type heard struct {
	who int
	raw string
}

func (e heard) apply(c *Core) {
	if gossip.IsAboutLists(e.raw) {
		c.wordHeard(e.who, e.raw)
		return
	}
	c.step(balance.Event{Kind: balance.PeerSpoke, Who: e.who, Raw: e.raw})
}

// ProbeEnded tells how a probe ended.
func (c *Core) ProbeEnded(r ProbeResult) { c.post(probed{r}) }

type probed struct{ r ProbeResult }

func (e probed) apply(c *Core) {
	c.books.ProbesEnded++
	c.step(balance.Event{Kind: balance.Probed, Worker: e.r.Target, Result: e.r.Result,
		Elapsed: clock.Duration(e.r.Elapsed), Report: e.r.Report})
	c.probeHeard(e.r)
	if c.cfg.Probed != nil {
		c.cfg.Probed(e.r.Target, e.r.Result != balance.NoConnection && e.r.Result != balance.TimedOut)
	}
}

// Examine has a target probed for the fleet. One that is gone by now is not.
func (c *Core) Examine(target string) { c.post(examine(target)) }

type examine string

func (e examine) apply(c *Core) {
	c.probe(string(e))
}

// probe has a target probed, and says whether there is one of that name.
func (c *Core) probe(target string) bool {
	s := c.targets[target]
	if s != nil {
		c.books.Probes++
		s.Transport.Probe(target)
	}
	return s != nil
}

// Judge tells of a target that one scheduler has judged for all: nothing goes there for so many ms, or
// it may be tried again (0).
func (c *Core) Judge(target string, lasts float64) { c.post(judged{target, lasts}) }

type judged struct {
	target string
	lasts  float64
}

func (e judged) apply(c *Core) {
	c.step(balance.Event{Kind: balance.Judged, Worker: e.target, Elapsed: clock.Duration(e.lasts)})
}

// Share tells which part of what tenants ask lies within their shares, for so many ms.
func (c *Core) Share(parts map[string]float64, lasts float64) { c.post(shared{parts, lasts}) }

type shared struct {
	parts map[string]float64
	lasts float64
}

func (e shared) apply(c *Core) {
	c.step(balance.Event{Kind: balance.Shared, Parts: e.parts, Elapsed: clock.Duration(e.lasts)})
}
