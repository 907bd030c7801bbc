// Package fleethost runs a scheduler's part of the fleet. It is given datagrams from the other schedulers, reports
// about targets and tenants, and a clock. One goroutine owns the fleet's state machine, steps it at each event,
// and executes its actions through the callbacks of Config. The package neither sends datagrams itself nor probes
// targets. Before any act of a duty, the caller calls Holds, which reads the clock at that moment and does not
// block.
package fleethost

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync/atomic"

	"cottonwell/internal/clock"
	"cottonwell/internal/fleet"
	"cottonwell/internal/fleet/members"
	"cottonwell/internal/fleet/rules"
)

// queueLength is the number of events that may wait for the machine. Further ones are dropped, as a network does.
const queueLength = 512

// Config configures a Host.
type Config struct {
	Fleet fleet.Config
	Clock clock.Clock
	Log   *slog.Logger
	Send  func(to int, raw string)
	// Probe starts a probe of a target; ReportProbe reports its result. SetExcluded excludes a target for lasts
	// milliseconds (0: includes it again). Both are nil if no scheduler examines targets. Neither may block on the
	// host.
	Probe       func(target string)
	SetExcluded func(target string, lasts float64)
	// SetShares reports the part of each tenant's requests that is within its share, for lasts milliseconds. Nil if
	// shares are not added up. It may not block.
	SetShares func(parts map[string]float64, lasts float64)
	// ApplyRules reports the document in force until a time of the clock, and its strict form, which is in force from
	// then on. Nil if no rules are agreed on. It may not block.
	ApplyRules func(now *rules.Doc, until float64, strict *rules.Doc)
}

// grant is the last grant of a duty.
type grant struct {
	number uint64
	until  float64
}

// Host runs the fleet's state machine of one scheduler.
type Host struct {
	config        Config
	machine       *fleet.Machine
	alarm         clock.Alarm
	events        chan fleet.Event
	resignations  chan chan struct{}
	showRequests  chan struct{}
	grants        map[string]*atomic.Pointer[grant]
	actions       []fleet.Action
	unhealthy     map[string]bool   // the last decision for each listed target
	tenantIndex   map[string]int    // index of each tenant in counts
	counts        []atomic.Uint64   // requests of each tenant so far
	countSnapshot []uint64          // counts at the last step, since Run began
	countsBefore  []uint64          // counts when Run began
	overShare     map[string]bool   // tenants over their shares, as last reported
	zones         map[string]string // of the listed targets
	rulesVersion  rules.Version     // the version in force, as last reported
	strictRules   bool

	Dropped atomic.Int64 // events dropped because the queue was full
	running atomic.Bool
	listed  atomic.Pointer[fleet.Event] // the last list of targets; nil before the first
}

// New returns a host. Run starts it.
func New(c Config) (*Host, error) {
	c.Fleet.Lease.Unsafe.NoFence = fencingDisabled
	if c.Fleet.Rules != nil {
		c.Fleet.Rules.Unsafe.NoExpiry = rulesNeverExpire
	}
	h := &Host{config: c, events: make(chan fleet.Event, queueLength), resignations: make(chan chan struct{}), showRequests: make(chan struct{}, 1), grants: map[string]*atomic.Pointer[grant]{}, unhealthy: map[string]bool{}, overShare: map[string]bool{}, strictRules: true}
	if agreement := c.Fleet.Rules; agreement != nil {
		configured := agreement.Check
		agreement.Check = func(d *rules.Doc) error {
			if configured != nil {
				if err := configured(d); err != nil {
					return err
				}
			}
			return h.checkDrains(d)
		}
	}
	if shares := c.Fleet.Usage; shares != nil {
		h.tenantIndex, h.counts = map[string]int{}, make([]atomic.Uint64, len(shares.Tenants))
		h.countSnapshot, h.countsBefore = make([]uint64, len(shares.Tenants)), make([]uint64, len(shares.Tenants))
		for i, t := range shares.Tenants {
			h.tenantIndex[t.Name] = i
		}
	}
	for _, d := range c.Fleet.Lease.Duties {
		h.grants[d.Name] = &atomic.Pointer[grant]{}
	}
	var err error
	if h.machine, err = fleet.New(h.config.Fleet, c.Clock.Now()); err != nil {
		return nil, err
	}
	return h, nil
}

// Receive passes on a datagram of another scheduler. Any datagram, of the fleet or not, shows that its sender is
// live. It does not block. It reports false, and does nothing, unless the host runs.
func (h *Host) Receive(from int, raw string) bool {
	running := h.running.Load()
	h.post(fleet.Event{Kind: fleet.DatagramReceived, From: from, Raw: raw})
	return running
}

// Running reports whether the host runs: whether this process votes and acts for its scheduler in the fleet.
func (h *Host) Running() bool { return h.running.Load() }

// ReportSuspicion reports that this scheduler suspects a target and has stopped choosing it. It does not block.
func (h *Host) ReportSuspicion(target string, failing bool) {
	h.post(fleet.Event{Kind: fleet.TargetSuspected, Target: target, Failing: failing})
}

// ReportProbe reports the result of a probe of a target, whoever requested it. It does not block.
func (h *Host) ReportProbe(target string, responded bool) {
	h.post(fleet.Event{Kind: fleet.ProbeDone, Target: target, Responded: responded})
}

// SetTargets reports all known targets with their zones. It does not block. A dropped list is repeated with the next
// change.
func (h *Host) SetTargets(zones map[string]string) {
	listed := &fleet.Event{Kind: fleet.TargetsListed, Targets: slices.Collect(maps.Keys(zones)), Zones: zones}
	h.listed.Store(listed) // for a machine that starts later
	h.post(*listed)
}

// Publish requests that a document be put in force in the whole fleet, provided that all live members accept it.
// It does not block: the log reports the result.
func (h *Host) Publish(d *rules.Doc) { h.post(fleet.Event{Kind: fleet.Publish, Doc: d}) }

// checkDrains rejects a document that drains more than half of the listed targets.
func (h *Host) checkDrains(d *rules.Doc) error {
	targets, zones, drained := map[string]bool{}, map[string]bool{}, 0
	for _, x := range d.Drains {
		targets[x.Target], zones[x.Zone] = true, true
	}
	for id, zone := range h.zones {
		if targets[id] || zone != "" && zones[zone] {
			drained++
		}
	}
	if 2*drained > len(h.zones) && drained > 0 {
		return fmt.Errorf("it drains %d of %d targets, more than half", drained, len(h.zones))
	}
	return nil
}

// CountRequest counts a request of a tenant. It does not block. A tenant without a share is not counted.
func (h *Host) CountRequest(tenant string) {
	if i, ok := h.tenantIndex[tenant]; ok {
		h.counts[i].Add(1)
	}
}

// post queues an event for the machine. Events are dropped while it does not run.
func (h *Host) post(ev fleet.Event) {
	if !h.running.Load() {
		return
	}
	select {
	case h.events <- ev:
	default:
		h.Dropped.Add(1)
	}
}

// Holds returns the number under which this scheduler holds a duty now. Every act of the duty must carry the
// number, as this process may pause after the call.
func (h *Host) Holds(duty string) (number uint64, ok bool) {
	granted := h.grants[duty]
	if granted == nil {
		return 0, false
	}
	if g := granted.Load(); g != nil && h.config.Clock.Now() < g.until {
		return g.number, true
	}
	return 0, false
}

// Resign hands over all duties, and returns once the datagrams that do so are sent. It does nothing unless the host runs.
func (h *Host) Resign(ctx context.Context) {
	if !h.running.Load() {
		return
	}
	done := make(chan struct{})
	select {
	case h.resignations <- done:
		<-done
	case <-ctx.Done():
	}
}

// LogState requests a log of this scheduler's view of all members and duties. It does not block.
func (h *Host) LogState() {
	select {
	case h.showRequests <- struct{}{}:
	default: // a request is already pending
	}
}

func (h *Host) show() {
	schedulers, held := h.machine.View(h.config.Clock.Now())
	for i, m := range schedulers {
		h.config.Log.Info("fleet member", "who", i, "address", m.Address, "state", m.State.String(), "since", m.Since)
	}
	for _, d := range held {
		h.config.Log.Info("fleet duty", "duty", d.Duty, "holder", d.Holder, "number", d.Number, "until", d.Until)
	}
}

// ApplyStrictRules puts the strict form of the initial rules in force, for the time before Run.
func (h *Host) ApplyStrictRules() {
	if agreement := h.config.Fleet.Rules; agreement != nil && !agreementDisabled {
		strict := rules.Strict(cmp.Or(agreement.InitialDoc, &rules.Doc{}), agreement.Classes, agreement.Fleet)
		h.config.ApplyRules(strict, math.Inf(1), strict)
	}
}

// Run runs the machine until ctx ends. The machine starts anew here: its silence as a voter counts from now. Once Run has
// returned, this process holds nothing.
func (h *Host) Run(ctx context.Context) {
	machine, err := fleet.New(h.config.Fleet, h.config.Clock.Now())
	if err != nil { // New has checked the configuration
		h.config.Log.Error("fleet machine failed to start", "cause", err)
		return
	}
	h.machine = machine
	for i := range h.counts {
		h.countsBefore[i] = h.counts[i].Load()
	}
	h.alarm = h.config.Clock.NewAlarm()
	defer h.alarm.Stop()
	h.running.Store(true)
	defer h.stop()
	h.step(fleet.Event{Kind: fleet.Due})
	if listed := h.listed.Load(); listed != nil {
		h.step(*listed)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-h.events:
			h.step(ev)
		case <-h.alarm.C():
			h.step(fleet.Event{Kind: fleet.Due})
		case <-h.showRequests:
			h.show()
		case done := <-h.resignations:
			h.step(fleet.Event{Kind: fleet.Resign})
			close(done)
		}
	}
}

// stop ends all holds of this process.
func (h *Host) stop() {
	h.running.Store(false)
	for name, held := range h.grants {
		if g := held.Swap(nil); g != nil {
			h.config.Log.Info("duty lost", "duty", name, "number", g.number, "at", h.config.Clock.Now(), "cause", "stopped")
		}
	}
}

// step runs the machine for one event. It reads the clock only after receiving the event: a grant counts from the
// time of its request, and here from no earlier than the receipt of the request.
func (h *Host) step(ev fleet.Event) {
	now := h.config.Clock.Now()
	ev.Wall = now // the clock started at the wall time and runs evenly
	if ev.Kind == fleet.Due && h.counts != nil {
		for i := range h.counts {
			h.countSnapshot[i] = h.counts[i].Load() - h.countsBefore[i]
		}
		ev.Requests = h.countSnapshot
	}
	if agreementDisabled && ev.Kind == fleet.Publish {
		if _, digest, err := ev.Doc.Pack(); err == nil {
			h.config.ApplyRules(ev.Doc, math.Inf(1), ev.Doc)
			h.config.Log.Info("rules in force", "number", 0, "a", digest, "b", 0, "strict", false, "at", now, "until", math.Inf(1))
		}
		return
	}
	if ev.Kind == fleet.TargetsListed {
		h.zones = ev.Zones
		maps.DeleteFunc(h.unhealthy, func(id string, _ bool) bool { return !slices.Contains(ev.Targets, id) })
	}
	h.actions = h.machine.Step(now, &ev, h.actions[:0])
	for i := range h.actions {
		h.apply(now, &h.actions[i])
	}
	for name, p := range h.grants { // the machine reports a renewed grant with no action
		if g, until := p.Load(), h.holdUntil(name); g != nil && until > g.until {
			p.Store(&grant{g.number, until})
			h.config.Log.Debug("duty kept", "duty", name, "number", g.number, "at", now, "until", until)
		}
	}
}

// holdUntil returns when this scheduler ceases to hold a duty unless the grant is renewed.
func (h *Host) holdUntil(duty string) float64 {
	if leasesNeverExpire {
		return math.MaxInt64
	}
	return h.machine.HeldUntil(duty)
}

// ruleUntil returns when a document expires. A strict form never does, as it is the last.
func (h *Host) ruleUntil(a *fleet.Action) float64 {
	if a.Strict || rulesNeverExpire {
		return math.Inf(1)
	}
	return a.At
}

func (h *Host) apply(now float64, action *fleet.Action) {
	switch action.Kind {
	case fleet.Send:
		h.config.Send(action.To, action.Raw)
	case fleet.Wake:
		h.alarm.Set(action.At)
	case fleet.Gained:
		until := h.holdUntil(action.Duty)
		h.grants[action.Duty].Store(&grant{action.Number, until})
		h.config.Log.Info("duty gained", "duty", action.Duty, "number", action.Number, "at", now, "until", until)
	case fleet.Lost:
		h.grants[action.Duty].Store(nil)
		h.config.Log.Info("duty lost", "duty", action.Duty, "number", action.Number, "at", now, "cause", action.Note)
	case fleet.ActAccepted:
		h.config.Log.Debug("duty act taken", "duty", action.Duty, "number", action.Number, "holder", action.To, "at", now)
	case fleet.ActRefused:
		h.config.Log.Info("duty act refused", "duty", action.Duty, "number", action.Number, "holder", action.To, "at", now)
	case fleet.HolderChanged:
		h.config.Log.Info("duty held", "duty", action.Duty, "number", action.Number, "holder", action.To)
	case fleet.Probe:
		h.config.Probe(action.Target)
	case fleet.Verdict:
		h.config.SetExcluded(action.Target, action.Lasts)
		if unhealthy := action.Lasts > 0; unhealthy != h.unhealthy[action.Target] {
			h.unhealthy[action.Target] = unhealthy
			h.config.Log.Info("target judged", "duty", action.Duty, "number", action.Number, "target", action.Target, "ill", unhealthy, "at", now)
		}
	case fleet.FractionsChanged:
		h.config.SetShares(action.Fractions, action.Lasts)
		for name := range h.tenantIndex {
			fraction, overShare := action.Fractions[name]
			if overShare != h.overShare[name] {
				h.overShare[name] = overShare
				h.config.Log.Info("tenant judged", "duty", action.Duty, "number", action.Number, "tenant", name, "beyond", overShare, "part", cmp.Or(fraction, 1), "at", now)
			}
		}
	case fleet.ApplyRules:
		if agreementDisabled {
			return
		}
		h.config.ApplyRules(action.Doc, h.ruleUntil(action), rules.Strict(action.Doc, h.config.Fleet.Rules.Classes, h.config.Fleet.Rules.Fleet))
		level := slog.LevelDebug // only its end has changed
		if action.Version != h.rulesVersion || action.Strict != h.strictRules {
			level, h.rulesVersion, h.strictRules = slog.LevelInfo, action.Version, action.Strict
		}
		h.config.Log.Log(context.Background(), level, "rules in force", "number", action.Version.Number, "a", action.Version.A, "b", action.Version.B, "strict", action.Strict, "at", now, "until", h.ruleUntil(action))
	case fleet.Adopted:
		h.config.Log.Info("rules adopted by all", "number", action.Version.Number, "a", action.Version.A, "at", now)
	case fleet.RulesRefused:
		h.config.Log.Warn("rules refused", "a", action.Digest, "by", action.To, "cause", action.Note, "at", now)
	case fleet.Alarm:
		h.config.Log.Error("rules alarm", "number", action.Version.Number, "from", action.To, "cause", action.Note, "at", now)
	case fleet.Changed:
		level := slog.LevelInfo
		if action.State == members.Dead {
			level = slog.LevelWarn
		}
		h.config.Log.Log(context.Background(), level, "member", "who", action.To, "state", action.State.String(), "living", h.machine.LiveMembers())
	}
}
