// Package fleet combines what the schedulers of a tier know about one another and agree on: which
// schedulers are live (members), which scheduler holds which duty (leases), which targets are
// unhealthy (health), the traffic beyond tenants' shares (usage), and the agreed settings (rules).
//
// The Machine is given events (datagrams, timers, reports of the host) and returns actions (datagrams
// to send, duties, verdicts and settings to apply). It performs no I/O, and it does not route requests
// or probe targets itself. Times are in milliseconds. docs/design/duties.md gives the guarantees.
package fleet

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"cottonwell/internal/fleet/health"
	"cottonwell/internal/fleet/lease"
	"cottonwell/internal/fleet/members"
	"cottonwell/internal/fleet/rules"
	"cottonwell/internal/fleet/usage"
)

// Config configures a Machine.
type Config struct {
	Members   members.Config
	Lease     lease.Config
	Health    *health.Config // nil disables the shared health checks
	Usage     *usage.Config  // nil disables the shared usage counts
	Rules     *rules.Config  // nil disables agreed settings: each scheduler uses its own
	Addresses []string       // of the schedulers, by number
}

// Check returns an error that names the first invalid setting.
func (c *Config) Check() error {
	if err := c.Members.Check(); err != nil {
		return err
	}
	if err := c.Lease.Check(); err != nil {
		return err
	}
	if c.Health != nil {
		if err := c.Health.Check(); err != nil {
			return err
		}
	}
	if c.Usage != nil {
		if err := c.Usage.Check(); err != nil {
			return err
		}
	}
	if c.Rules != nil {
		if err := c.Rules.CheckConfig(); err != nil {
			return err
		}
	}
	for name, on := range map[string]bool{health.Duty: c.Health != nil, usage.Duty: c.Usage != nil, rules.Duty: c.Rules != nil} {
		if on && !slices.ContainsFunc(c.Lease.Duties, func(d lease.Duty) bool { return d.Name == name }) {
			return fmt.Errorf("fleet: duty %q is not configured", name)
		}
	}
	if len(c.Addresses) != c.Lease.Fleet || c.Members.Fleet != c.Lease.Fleet || c.Members.Self != c.Lease.Self {
		return fmt.Errorf("fleet: %d addresses, %d schedulers and %d members do not match, or the scheduler numbers differ", len(c.Addresses), c.Lease.Fleet, c.Members.Fleet)
	}
	return nil
}

// Digest returns a hash of the settings that must be equal on all schedulers: the voters and the
// duration of a lease. Appending schedulers to the list of addresses does not change the digest.
func (c *Config) Digest() uint32 {
	h := fnv.New32a()
	for _, x := range []float64{float64(c.Lease.Voters), c.Lease.Lease, c.Lease.Drift} {
		var raw [8]byte
		binary.LittleEndian.PutUint64(raw[:], math.Float64bits(x))
		h.Write(raw[:])
	}
	for _, a := range c.Addresses[:c.Lease.Voters] {
		h.Write([]byte(a))
		h.Write([]byte{0})
	}
	return h.Sum32()
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Due              EventKind = iota // the requested wake-up time is reached: Requests
	DatagramReceived                  // a datagram was received: From, Raw
	Resign                            // this scheduler shuts down
	TargetSuspected                   // this scheduler took Target out of its selection: Failing
	ProbeDone                         // a probe of Target ended: Responded
	TargetsListed                     // Targets is the complete list of targets
	Publish                           // Doc is to be put into force
)

// Event is one input to the Machine. Kind determines which fields are used.
type Event struct {
	Kind EventKind
	Wall float64 // ms of the wall clock
	From int
	Raw  string

	Target    string
	Failing   bool
	Responded bool
	Targets   []string
	Zones     map[string]string // zones of Targets
	Doc       *rules.Doc
	Requests  []uint64 // requests received by this scheduler since its start, by tenant; if Config.Shares is set
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send             ActionKind = iota // send a datagram: To, Raw
	Wake                               // deliver Due at At; replaces an earlier wake-up
	Gained                             // this scheduler holds a duty from now on: Duty, Number, Note
	Lost                               // this scheduler no longer holds a duty: Duty, Number; Note is the reason
	ActAccepted                        // an act of To under Number was accepted
	ActRefused                         // an act of To under Number was refused, because a newer number is known
	HolderChanged                      // To holds a duty under Number, as reported by a voter or by To
	Changed                            // the state of member To changed: State
	Probe                              // probe Target
	Verdict                            // under Duty's Number: exclude Target for Lasts ms; 0: Target may be used again
	ApplyRules                         // apply Doc, of Version, until At; Strict: Doc is its strict form and has no end
	Adopted                            // all live members apply Version
	RulesRefused                       // the document Digest is dropped, because To does not accept it: Note
	Alarm                              // an inconsistency was detected: Note, of Version
	FractionsChanged                   // under Duty's Number, for Lasts ms: Fractions are the parts of tenants' requests within their shares
)

// Action is one output of the Machine. The host carries out actions in order.
type Action struct {
	Kind      ActionKind
	To        int
	Raw       string
	At        float64
	Duty      string
	Number    uint64
	Note      string
	State     members.State
	Target    string
	Lasts     float64
	Fractions map[string]float64

	Doc     *rules.Doc
	Version rules.Version
	Digest  rules.Digest
	Strict  bool
}

// Machine is one scheduler's part of the fleet. Create it with New.
type Machine struct {
	config         Config
	digest         uint32
	members        *members.Machine
	leases         *lease.Machine
	health         *health.Machine // nil if disabled
	usage          *usage.Machine  // nil if disabled
	rules          *rules.Machine  // nil if disabled
	dutyIndex      map[string]int
	wakes          [5]float64 // wake-up times of members, leases, health, usage and rules, in this order
	wakeAt         float64
	alive          []bool
	membersMsg     members.Msg
	membersActions []members.Action
	leaseActions   []lease.Action
	healthActions  []health.Action
	healthMsg      health.Msg
	usageActions   []usage.Action
	usageMsg       usage.Msg
	rulesActions   []rules.Action
	rulesMsg       rules.Msg
	raw            []byte
	actions        []Action

	// Unreadable counts datagrams that could not be decoded: truncated, corrupted, or of another
	// version or fleet.
	Unreadable int
}

// New returns a newly started machine. Its first event, Due, should be passed to Step immediately.
func New(config Config, now float64) (*Machine, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	m := &Machine{config: config, digest: config.Digest(), dutyIndex: map[string]int{}, wakeAt: math.Inf(1),
		alive: make([]bool, config.Lease.Fleet)}
	for i := range m.wakes {
		m.wakes[i] = math.Inf(1)
	}
	var err error
	if m.members, err = members.New(config.Members, now); err != nil {
		return nil, err
	}
	if m.leases, err = lease.New(config.Lease, now); err != nil {
		return nil, err
	}
	for i, d := range config.Lease.Duties {
		m.dutyIndex[d.Name] = i
	}
	if config.Health != nil {
		if m.health, err = health.New(*config.Health); err != nil {
			return nil, err
		}
	}
	if config.Usage != nil {
		if m.usage, err = usage.New(*config.Usage, now); err != nil {
			return nil, err
		}
	}
	if config.Rules != nil {
		if m.rules, err = rules.New(*config.Rules, now); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Step processes one event at the given time and appends the resulting actions to acts.
func (m *Machine) Step(now float64, ev *Event, acts []Action) []Action {
	m.actions = acts
	switch ev.Kind {
	case Due:
		m.wakeAt = math.Inf(1) // all parts get the event; each tolerates an early Due, as the host's clock may round
		m.stepMembers(now, &members.Event{Kind: members.Due})
		m.stepLeases(now, &lease.Event{Kind: lease.Due, Wall: ev.Wall})
		m.stepHealth(now, &health.Event{Kind: health.Due})
		m.stepUsage(now, &usage.Event{Kind: usage.Due, Requests: ev.Requests})
		m.stepRules(now, &rules.Event{Kind: rules.Due})
	case TargetSuspected:
		m.stepHealth(now, &health.Event{Kind: health.TargetSuspected, Target: ev.Target, Failing: ev.Failing})
	case ProbeDone:
		m.stepHealth(now, &health.Event{Kind: health.ProbeDone, Target: ev.Target, Responded: ev.Responded})
	case TargetsListed:
		m.stepHealth(now, &health.Event{Kind: health.TargetsListed, Targets: ev.Targets})
	case Publish:
		m.stepRules(now, &rules.Event{Kind: rules.Publish, Doc: ev.Doc})
	case DatagramReceived:
		m.receive(now, ev)
	case Resign:
		m.stepLeases(now, &lease.Event{Kind: lease.Resign, Wall: ev.Wall})
		m.stepMembers(now, &members.Event{Kind: members.Leave})
	}
	if at := slices.Min(m.wakes[:]); at < m.wakeAt {
		m.wakeAt = at
		m.actions = append(m.actions, Action{Kind: Wake, At: at})
	}
	acts, m.actions = m.actions, nil
	return acts
}

// IsFleetDatagram reports whether a datagram is one of the fleet's protocols, and not a load report.
func IsFleetDatagram(raw string) bool {
	return len(raw) > 0 && slices.Contains([]byte{members.Version, lease.Version, health.Version, usage.Version, rules.Format}, raw[0])
}

func (m *Machine) receive(now float64, ev *Event) {
	m.raw = append(m.raw[:0], ev.Raw...)
	switch {
	case len(m.raw) > 0 && m.raw[0] == members.Version:
		if m.membersMsg.Parse(m.raw, m.digest) != nil {
			m.Unreadable++
			return
		}
		m.stepMembers(now, &members.Event{Kind: members.MessageReceived, From: ev.From, Msg: &m.membersMsg})
	case len(m.raw) > 0 && m.raw[0] == lease.Version:
		e := lease.Event{Kind: lease.MessageReceived, Wall: ev.Wall, From: ev.From}
		if m.recordContact(now, ev.From, e.Msg.Parse(m.raw, m.digest)) {
			m.stepLeases(now, &e)
		}
	case len(m.raw) > 0 && m.raw[0] == health.Version && m.health != nil:
		if m.recordContact(now, ev.From, m.healthMsg.Parse(m.raw, m.digest)) {
			m.stepHealth(now, &health.Event{Kind: health.MessageReceived, From: ev.From, Msg: &m.healthMsg})
		}
	case len(m.raw) > 0 && m.raw[0] == usage.Version && m.usage != nil:
		if m.recordContact(now, ev.From, m.usageMsg.Parse(m.raw, m.digest)) {
			m.stepUsage(now, &usage.Event{Kind: usage.MessageReceived, From: ev.From, Msg: &m.usageMsg})
		}
	case len(m.raw) > 0 && m.raw[0] == rules.Format && m.rules != nil:
		if m.recordContact(now, ev.From, m.rulesMsg.Parse(m.raw, m.digest)) {
			m.stepRules(now, &rules.Event{Kind: rules.MessageReceived, From: ev.From, Msg: &m.rulesMsg})
		}
	default: // a datagram of another protocol: its sender is alive
		m.stepMembers(now, &members.Event{Kind: members.Contact, From: ev.From})
	}
}

// recordContact counts a datagram that could not be decoded. Any other datagram is recorded as a
// contact with its sender.
func (m *Machine) recordContact(now float64, from int, err error) bool {
	if err != nil {
		m.Unreadable++
		return false
	}
	m.stepMembers(now, &members.Event{Kind: members.Contact, From: from})
	return true
}

func (m *Machine) stepMembers(now float64, ev *members.Event) {
	m.membersActions = m.members.Step(now, ev, m.membersActions[:0])
	changed := false
	for i := range m.membersActions {
		switch a := &m.membersActions[i]; a.Kind {
		case members.Send:
			m.raw = a.Msg.Append(m.raw[:0], m.digest)
			m.actions = append(m.actions, Action{Kind: Send, To: a.To, Raw: string(m.raw)})
		case members.Wake:
			m.wakes[0] = a.At
		case members.Changed:
			changed = true
			m.actions = append(m.actions, Action{Kind: Changed, To: a.Member, State: a.State})
		}
	}
	if changed {
		for i := range m.alive {
			m.alive[i] = m.members.Alive(i)
		}
		m.stepLeases(now, &lease.Event{Kind: lease.MembersChanged, Alive: m.alive})
	}
}

func (m *Machine) stepLeases(now float64, ev *lease.Event) {
	m.leaseActions = m.leases.Step(now, ev, m.leaseActions[:0])
	for i := range m.leaseActions {
		a := &m.leaseActions[i]
		out := Action{To: a.To, Number: a.Number}
		switch a.Kind {
		case lease.Send:
			m.raw = a.Msg.Append(m.raw[:0], m.digest)
			out = Action{Kind: Send, To: a.To, Raw: string(m.raw)}
		case lease.Wake:
			m.wakes[1] = a.At
			continue
		case lease.Gained:
			out.Kind, out.Duty, out.Note = Gained, m.config.Lease.Duties[a.Duty].Name, a.Note
		case lease.Lost:
			out.Kind, out.Duty, out.Note = Lost, m.config.Lease.Duties[a.Duty].Name, a.Reason
		case lease.ActAccepted:
			out.Kind, out.Duty = ActAccepted, m.config.Lease.Duties[a.Duty].Name
		case lease.ActRefused:
			out.Kind, out.Duty = ActRefused, m.config.Lease.Duties[a.Duty].Name
		case lease.HolderChanged:
			out.Kind, out.Duty = HolderChanged, m.config.Lease.Duties[a.Duty].Name
		}
		m.actions = append(m.actions, out)
	}
}

// stepHealth passes an event to the health checks, with the current state of their duty.
func (m *Machine) stepHealth(now float64, ev *health.Event) {
	if m.health == nil {
		return
	}
	ev.Holder, _, ev.Newest, ev.Number = m.dutyState(health.Duty, now)
	ev.LiveMembers = m.members.Count()
	m.wakes[2] = math.Inf(1)
	m.healthActions = m.health.Step(now, ev, m.healthActions[:0])
	for i := range m.healthActions {
		switch a := &m.healthActions[i]; a.Kind {
		case health.Send:
			m.raw = a.Msg.Append(m.raw[:0], m.digest)
			m.sendRaw(a.To)
		case health.Probe:
			m.actions = append(m.actions, Action{Kind: Probe, Target: a.Target})
		case health.Verdict:
			m.actions = append(m.actions, Action{Kind: Verdict, Duty: health.Duty, Number: a.Number, Target: a.Target, Lasts: a.Lasts})
		case health.Wake:
			m.wakes[2] = a.At
		}
	}
}

// dutyState returns the current state of a duty: its known holder and number, the newest number under
// which a scheduler is known to have acted, and the number under which this scheduler holds the duty,
// or 0.
func (m *Machine) dutyState(duty string, now float64) (holder int, number, newest, own uint64) {
	index := m.dutyIndex[duty]
	holder, number, _ = m.leases.Holder(index, now)
	own, _ = m.leases.Holds(index, now)
	return holder, number, m.leases.NewestNumber(index), own
}

// sendRaw sends the datagram in m.raw to one scheduler, or to all other live members if who is -1.
func (m *Machine) sendRaw(who int) {
	raw := string(m.raw)
	if who >= 0 {
		m.actions = append(m.actions, Action{Kind: Send, To: who, Raw: raw})
		return
	}
	for to := range m.config.Lease.Fleet {
		if to != m.config.Lease.Self && m.members.Alive(to) {
			m.actions = append(m.actions, Action{Kind: Send, To: to, Raw: raw})
		}
	}
}

// stepUsage passes an event to the usage counts, with the current state of their duty.
func (m *Machine) stepUsage(now float64, ev *usage.Event) {
	if m.usage == nil {
		return
	}
	ev.Holder, _, ev.Newest, ev.Number = m.dutyState(usage.Duty, now)
	m.usageActions = m.usage.Step(now, ev, m.usageActions[:0])
	for i := range m.usageActions {
		switch a := &m.usageActions[i]; a.Kind {
		case usage.Send:
			m.raw = a.Msg.Append(m.raw[:0], m.digest)
			m.sendRaw(a.To)
		case usage.FractionsChanged:
			m.actions = append(m.actions, Action{Kind: FractionsChanged, Duty: usage.Duty, Number: a.Number, Lasts: a.Lasts, Fractions: a.Fractions})
		case usage.Wake:
			m.wakes[3] = a.At
		}
	}
}

// stepRules passes an event to the agreed settings, with the current state of their duty.
func (m *Machine) stepRules(now float64, ev *rules.Event) {
	if m.rules == nil {
		return
	}
	ev.Holder, ev.HolderNumber, _, ev.Duty = m.dutyState(rules.Duty, now)
	ev.Alive = m.members.Alive
	m.rulesActions = m.rules.Step(now, ev, m.rulesActions[:0])
	for i := range m.rulesActions {
		a := &m.rulesActions[i]
		out := Action{To: a.Scheduler, Doc: a.Doc, Version: a.Version, Digest: a.Digest, Strict: a.Strict, At: a.Until, Note: a.Reason}
		switch a.Kind {
		case rules.Send:
			m.raw = a.Msg.Append(m.raw[:0], m.digest)
			m.sendRaw(a.To)
			continue
		case rules.Wake:
			m.wakes[4] = a.At
			continue
		case rules.Apply:
			out.Kind = ApplyRules
			if m.usage != nil {
				agreed := map[string]float64{}
				for name, t := range a.Doc.Tenants {
					if t.Allowance != nil {
						agreed[name] = *t.Allowance
					}
				}
				m.usage.SetAllowances(agreed)
			}
		case rules.Adopted:
			out.Kind = Adopted
		case rules.Refused:
			out.Kind = RulesRefused
		case rules.Alarm:
			out.Kind = Alarm
		}
		m.actions = append(m.actions, out)
	}
}

// InForce returns the settings that this scheduler may apply at the given time. Call it at the moment
// of acting, with a time read then. Config.Rules must be set.
func (m *Machine) InForce(now float64) (v rules.Version, d *rules.Doc, strict bool) {
	return m.rules.InForce(now)
}

// Holds returns the fencing number under which this scheduler holds a duty at the given time. Call it
// at the moment of acting, with a time read then.
func (m *Machine) Holds(duty string, now float64) (number uint64, ok bool) {
	d, known := m.dutyIndex[duty]
	if !known {
		return 0, false
	}
	return m.leases.Holds(d, now)
}

// HeldUntil returns when this scheduler's hold on a duty ends unless its lease is renewed.
func (m *Machine) HeldUntil(duty string) float64 { return m.leases.HeldUntil(m.dutyIndex[duty]) }

// SetHandoverNote sets the note that is sent to the successor when a duty is handed over.
func (m *Machine) SetHandoverNote(duty, note string) {
	if d, known := m.dutyIndex[duty]; known {
		m.leases.SetHandoverNote(d, note)
	}
}

// MemberStatus is the believed state of one scheduler.
type MemberStatus struct {
	Address string
	State   members.State
	Since   float64
}

// DutyStatus is what is known about one duty.
type DutyStatus struct {
	Duty   string
	Holder int // -1: unknown
	Number uint64
	Until  float64 // latest time until which Holder may hold the duty
}

// View returns the believed state of all schedulers and duties, for logs and tests.
func (m *Machine) View(now float64) (all []MemberStatus, duties []DutyStatus) {
	for i, a := range m.config.Addresses {
		s, since := m.members.State(i)
		all = append(all, MemberStatus{a, s, since})
	}
	for i, d := range m.config.Lease.Duties {
		who, number, until := m.leases.Holder(i, now)
		duties = append(duties, DutyStatus{d.Name, who, number, until})
	}
	return all, duties
}

// Alive reports whether a scheduler is not declared dead.
func (m *Machine) Alive(who int) bool { return m.members.Alive(who) }

// LiveMembers returns the number of schedulers that are not declared dead, including this one.
func (m *Machine) LiveMembers() int { return m.members.Count() }
