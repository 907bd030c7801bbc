// Package fleet puts together what the schedulers of a tier know of one another and agree on: who
// lives (members), who holds which duty (leases), which targets are ill (health), and what lies beyond
// tenants' shares (shares). It is a state machine without I/O: events in, actions out.
// docs/design/duties.md says what it promises.
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
	"cottonwell/internal/fleet/shares"
)

// Config sets a fleet's machine up.
type Config struct {
	Members   members.Config
	Lease     lease.Config
	Health    *health.Config // nil: nobody examines targets
	Shares    *shares.Config // nil: nobody adds up what tenants ask for
	Rules     *rules.Config  // nil: each goes by what it was started with
	Addresses []string       // of the schedulers, by number
}

// Check returns an error that names the setting that is impossible.
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
	if c.Shares != nil {
		if err := c.Shares.Check(); err != nil {
			return err
		}
	}
	if c.Rules != nil {
		if err := c.Rules.CheckConfig(); err != nil {
			return err
		}
	}
	for name, on := range map[string]bool{health.Duty: c.Health != nil, shares.Duty: c.Shares != nil, rules.Duty: c.Rules != nil} {
		if on && !slices.ContainsFunc(c.Lease.Duties, func(d lease.Duty) bool { return d.Name == name }) {
			return fmt.Errorf("fleet: there is no duty %q", name)
		}
	}
	if len(c.Addresses) != c.Lease.Fleet || c.Members.Fleet != c.Lease.Fleet || c.Members.Self != c.Lease.Self {
		return fmt.Errorf("fleet: %d addresses, %d schedulers, %d members", len(c.Addresses), c.Lease.Fleet, c.Members.Fleet)
	}
	return nil
}

// Digest is of what must be the same at all: who votes, and for how long a vote counts. A list that
// grows at its end is another list, but the same fleet.
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

// EventKind tells events apart.
type EventKind int

// The kinds of events.
const (
	Due     EventKind = iota // the time asked for has come; Asked
	Heard                    // a datagram: From, Raw
	Resign                   // this scheduler is to end
	Doubted                  // it has taken Target out of its draw: Failing
	Probed                   // a probe of Target has ended: Answered
	Listed                   // Targets are all that there are
	Publish                  // Doc is to be put in force
)

// Event is one thing that happened.
type Event struct {
	Kind EventKind
	Wall float64 // ms of the wall clock
	From int
	Raw  string

	Target   string
	Failing  bool
	Answered bool
	Targets  []string
	Zones    map[string]string // of these
	Doc      *rules.Doc
	Asked    []uint64 // requests that came here since the start, by tenant; where shares are added up
}

// ActionKind tells actions apart.
type ActionKind int

// The kinds of actions.
const (
	Tell    ActionKind = iota // a datagram: To, Raw
	Wake                      // ask for Due at At; a later one replaces it
	Gained                    // a duty is held from now on: Duty, Number, Note
	Lost                      // it is held no more: Duty, Number, Note is the reason
	Took                      // an act of To under Number was taken
	Refused                   // and one was not, as a newer number has been heard of
	Learnt                    // To holds a duty under Number, by a voter's word or its own
	Changed                   // what is believed of To: State
	Probe                     // see whether Target answers
	Judged                    // under Duty's Number: Target gets nothing for Lasts ms; 0: it may be tried again
	Rule                      // act on Doc, of Version, until At; Strict: it is its strict form, and has no end
	Adopted                   // all that live act on Version
	Dropped                   // the document Digest is put aside, as To does not take it: Note
	Alarm                     // something that cannot be: Note, of Version
	Shared                    // under Duty's Number, for Lasts ms: of what tenants ask, Parts lie within their shares
)

// Action is one thing that the host must do, in order.
type Action struct {
	Kind   ActionKind
	To     int
	Raw    string
	At     float64
	Duty   string
	Number uint64
	Note   string
	State  members.State
	Target string
	Lasts  float64
	Parts  map[string]float64

	Doc     *rules.Doc
	Version rules.Version
	Digest  rules.Digest
	Strict  bool
}

// Machine is one scheduler's part of the fleet.
type Machine struct {
	c       Config
	digest  uint32
	members *members.Machine
	leases  *lease.Machine
	health  *health.Machine // nil while that is off
	shares  *shares.Machine // likewise
	rules   *rules.Machine  // likewise
	duties  map[string]int
	wakes   [5]float64 // of the members, of the leases, of what examines, of what adds up and of the rules
	wakeAt  float64
	alive   []bool
	msg     members.Msg
	mActs   []members.Action
	lActs   []lease.Action
	hActs   []health.Action
	hMsg    health.Msg
	sActs   []shares.Action
	sMsg    shares.Msg
	rActs   []rules.Action
	rMsg    rules.Msg
	raw     []byte
	acts    []Action

	// Unreadable counts datagrams that could not be read: cut off, changed, of another version or fleet.
	Unreadable int
}

// New returns a machine that has just begun. Its first event, Due, should come at once.
func New(c Config, now float64) (*Machine, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	m := &Machine{c: c, digest: c.Digest(), duties: map[string]int{}, wakeAt: math.Inf(1),
		alive: make([]bool, c.Lease.Fleet)}
	for i := range m.wakes {
		m.wakes[i] = math.Inf(1)
	}
	var err error
	if m.members, err = members.New(c.Members, now); err != nil {
		return nil, err
	}
	if m.leases, err = lease.New(c.Lease, now); err != nil {
		return nil, err
	}
	for i, d := range c.Lease.Duties {
		m.duties[d.Name] = i
	}
	if c.Health != nil {
		if m.health, err = health.New(*c.Health); err != nil {
			return nil, err
		}
	}
	if c.Shares != nil {
		if m.shares, err = shares.New(*c.Shares, now); err != nil {
			return nil, err
		}
	}
	if c.Rules != nil {
		if m.rules, err = rules.New(*c.Rules, now); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Step takes one event at the given time and appends the actions that answer it.
func (m *Machine) Step(now float64, ev *Event, acts []Action) []Action {
	m.acts = acts
	switch ev.Kind {
	case Due:
		m.wakeAt = math.Inf(1) // each is looked at; none minds being asked too early, as a clock may round
		m.member(now, &members.Event{Kind: members.Due})
		m.lease(now, &lease.Event{Kind: lease.Due, Wall: ev.Wall})
		m.examine(now, &health.Event{Kind: health.Due})
		m.account(now, &shares.Event{Kind: shares.Due, Requests: ev.Asked})
		m.govern(now, &rules.Event{Kind: rules.Due})
	case Doubted:
		m.examine(now, &health.Event{Kind: health.TargetSuspected, Target: ev.Target, Failing: ev.Failing})
	case Probed:
		m.examine(now, &health.Event{Kind: health.ProbeDone, Target: ev.Target, Responded: ev.Answered})
	case Listed:
		m.examine(now, &health.Event{Kind: health.TargetsListed, Targets: ev.Targets})
	case Publish:
		m.govern(now, &rules.Event{Kind: rules.Publish, Doc: ev.Doc})
	case Heard:
		m.heard(now, ev)
	case Resign:
		m.lease(now, &lease.Event{Kind: lease.Resign, Wall: ev.Wall})
		m.member(now, &members.Event{Kind: members.Leave})
	}
	if at := slices.Min(m.wakes[:]); at < m.wakeAt {
		m.wakeAt = at
		m.acts = append(m.acts, Action{Kind: Wake, At: at})
	}
	acts, m.acts = m.acts, nil
	return acts
}

// Reads says whether a datagram is one of the fleet's, and not of those that tell of load.
func Reads(raw string) bool {
	return len(raw) > 0 && slices.Contains([]byte{members.Version, lease.Version, health.Version, shares.Version, rules.Format}, raw[0])
}

func (m *Machine) heard(now float64, ev *Event) {
	m.raw = append(m.raw[:0], ev.Raw...)
	switch {
	case len(m.raw) > 0 && m.raw[0] == members.Version:
		if m.msg.Parse(m.raw, m.digest) != nil {
			m.Unreadable++
			return
		}
		m.member(now, &members.Event{Kind: members.MessageReceived, From: ev.From, Msg: &m.msg})
	case len(m.raw) > 0 && m.raw[0] == lease.Version:
		e := lease.Event{Kind: lease.MessageReceived, Wall: ev.Wall, From: ev.From}
		if m.signed(now, ev.From, e.Msg.Parse(m.raw, m.digest)) {
			m.lease(now, &e)
		}
	case len(m.raw) > 0 && m.raw[0] == health.Version && m.health != nil:
		if m.signed(now, ev.From, m.hMsg.Parse(m.raw, m.digest)) {
			m.examine(now, &health.Event{Kind: health.MessageReceived, From: ev.From, Msg: &m.hMsg})
		}
	case len(m.raw) > 0 && m.raw[0] == shares.Version && m.shares != nil:
		if m.signed(now, ev.From, m.sMsg.Parse(m.raw, m.digest)) {
			m.account(now, &shares.Event{Kind: shares.MessageReceived, From: ev.From, Msg: &m.sMsg})
		}
	case len(m.raw) > 0 && m.raw[0] == rules.Format && m.rules != nil:
		if m.signed(now, ev.From, m.rMsg.Parse(m.raw, m.digest)) {
			m.govern(now, &rules.Event{Kind: rules.Heard, From: ev.From, Msg: &m.rMsg})
		}
	default: // some other word: whoever sent it lives
		m.member(now, &members.Event{Kind: members.Contact, From: ev.From})
	}
}

// signed counts a datagram that could not be read, and takes any other one for a sign that its sender lives.
func (m *Machine) signed(now float64, from int, err error) bool {
	if err != nil {
		m.Unreadable++
		return false
	}
	m.member(now, &members.Event{Kind: members.Contact, From: from})
	return true
}

func (m *Machine) member(now float64, ev *members.Event) {
	m.mActs = m.members.Step(now, ev, m.mActs[:0])
	changed := false
	for i := range m.mActs {
		switch a := &m.mActs[i]; a.Kind {
		case members.Send:
			m.raw = a.Msg.Append(m.raw[:0], m.digest)
			m.acts = append(m.acts, Action{Kind: Tell, To: a.To, Raw: string(m.raw)})
		case members.Wake:
			m.wakes[0] = a.At
		case members.Changed:
			changed = true
			m.acts = append(m.acts, Action{Kind: Changed, To: a.Member, State: a.State})
		}
	}
	if changed {
		for i := range m.alive {
			m.alive[i] = m.members.Alive(i)
		}
		m.lease(now, &lease.Event{Kind: lease.MembersChanged, Alive: m.alive})
	}
}

func (m *Machine) lease(now float64, ev *lease.Event) {
	m.lActs = m.leases.Step(now, ev, m.lActs[:0])
	for i := range m.lActs {
		a := &m.lActs[i]
		out := Action{To: a.To, Number: a.Number}
		switch a.Kind {
		case lease.Send:
			m.raw = a.Msg.Append(m.raw[:0], m.digest)
			out = Action{Kind: Tell, To: a.To, Raw: string(m.raw)}
		case lease.Wake:
			m.wakes[1] = a.At
			continue
		case lease.Gained:
			out.Kind, out.Duty, out.Note = Gained, m.c.Lease.Duties[a.Duty].Name, a.Note
		case lease.Lost:
			out.Kind, out.Duty, out.Note = Lost, m.c.Lease.Duties[a.Duty].Name, a.Reason
		case lease.ActAccepted:
			out.Kind, out.Duty = Took, m.c.Lease.Duties[a.Duty].Name
		case lease.ActRefused:
			out.Kind, out.Duty = Refused, m.c.Lease.Duties[a.Duty].Name
		case lease.HolderChanged:
			out.Kind, out.Duty = Learnt, m.c.Lease.Duties[a.Duty].Name
		}
		m.acts = append(m.acts, out)
	}
}

// examine gives an event to what examines targets, with the duty as it stands at this moment.
func (m *Machine) examine(now float64, ev *health.Event) {
	if m.health == nil {
		return
	}
	ev.Holder, _, ev.Newest, ev.Number = m.standing(health.Duty, now)
	ev.LiveMembers = m.members.Count()
	m.wakes[2] = math.Inf(1)
	m.hActs = m.health.Step(now, ev, m.hActs[:0])
	for i := range m.hActs {
		switch a := &m.hActs[i]; a.Kind {
		case health.Send:
			m.raw = a.Msg.Append(m.raw[:0], m.digest)
			m.tell(a.To)
		case health.Probe:
			m.acts = append(m.acts, Action{Kind: Probe, Target: a.Target})
		case health.Verdict:
			m.acts = append(m.acts, Action{Kind: Judged, Duty: health.Duty, Number: a.Number, Target: a.Target, Lasts: a.Lasts})
		case health.Wake:
			m.wakes[2] = a.At
		}
	}
}

// standing is how a duty stands at this moment: who holds it as far as is known, and under which number; the
// newest under which anybody was heard to act; and the number under which this scheduler holds it, or 0.
func (m *Machine) standing(duty string, now float64) (holder int, number, newest, own uint64) {
	d := m.duties[duty]
	holder, number, _ = m.leases.Holder(d, now)
	own, _ = m.leases.Holds(d, now)
	return holder, number, m.leases.NewestNumber(d), own
}

// tell sends what is in raw to one scheduler, or to all others that live (-1).
func (m *Machine) tell(who int) {
	raw := string(m.raw)
	if who >= 0 {
		m.acts = append(m.acts, Action{Kind: Tell, To: who, Raw: raw})
		return
	}
	for to := range m.c.Lease.Fleet {
		if to != m.c.Lease.Self && m.members.Alive(to) {
			m.acts = append(m.acts, Action{Kind: Tell, To: to, Raw: raw})
		}
	}
}

// account gives an event to what adds up tenants' requests, likewise.
func (m *Machine) account(now float64, ev *shares.Event) {
	if m.shares == nil {
		return
	}
	ev.Holder, _, ev.Newest, ev.Number = m.standing(shares.Duty, now)
	m.sActs = m.shares.Step(now, ev, m.sActs[:0])
	for i := range m.sActs {
		switch a := &m.sActs[i]; a.Kind {
		case shares.Send:
			m.raw = a.Msg.Append(m.raw[:0], m.digest)
			m.tell(a.To)
		case shares.PartsChanged:
			m.acts = append(m.acts, Action{Kind: Shared, Duty: shares.Duty, Number: a.Number, Lasts: a.Lasts, Parts: a.Parts})
		case shares.Wake:
			m.wakes[3] = a.At
		}
	}
}

// govern gives an event to what agrees on rules, likewise.
func (m *Machine) govern(now float64, ev *rules.Event) {
	if m.rules == nil {
		return
	}
	ev.Holder, ev.HolderNo, _, ev.Duty = m.standing(rules.Duty, now)
	ev.Alive = m.members.Alive
	m.rActs = m.rules.Step(now, ev, m.rActs[:0])
	for i := range m.rActs {
		a := &m.rActs[i]
		out := Action{To: a.Who, Doc: a.Doc, Version: a.Version, Digest: a.Digest, Strict: a.Strict, At: a.Until, Note: a.Reason}
		switch a.Kind {
		case rules.Send:
			m.raw = a.Msg.Append(m.raw[:0], m.digest)
			m.tell(a.To)
			continue
		case rules.Wake:
			m.wakes[4] = a.At
			continue
		case rules.Rule:
			out.Kind = Rule
			if m.shares != nil {
				agreed := map[string]float64{}
				for name, t := range a.Doc.Tenants {
					if t.Allowance != nil {
						agreed[name] = *t.Allowance
					}
				}
				m.shares.SetAllowances(agreed)
			}
		case rules.Adopted:
			out.Kind = Adopted
		case rules.Refused:
			out.Kind = Dropped
		case rules.Alarm:
			out.Kind = Alarm
		}
		m.acts = append(m.acts, out)
	}
}

// InForce is what this scheduler may act on at a time, read at the moment of acting; where rules are agreed on.
func (m *Machine) InForce(now float64) (v rules.Version, d *rules.Doc, strict bool) {
	return m.rules.InForce(now)
}

// Holds says under which number this scheduler holds a duty at the given time. It is to be asked at
// the moment of acting, with a time read then.
func (m *Machine) Holds(duty string, now float64) (number uint64, ok bool) {
	d, known := m.duties[duty]
	if !known {
		return 0, false
	}
	return m.leases.Holds(d, now)
}

// Until is when this scheduler ceases to hold a duty unless it is granted anew.
func (m *Machine) Until(duty string) float64 { return m.leases.HeldUntil(m.duties[duty]) }

// Leave says what the successor in a duty needs to know.
func (m *Machine) Leave(duty, note string) {
	if d, known := m.duties[duty]; known {
		m.leases.SetHandoverNote(d, note)
	}
}

// Member is what is believed of one scheduler.
type Member struct {
	Address string
	State   members.State
	Since   float64
}

// Held is what is known of one duty.
type Held struct {
	Duty   string
	Holder int // -1: nobody, as far as is known
	Number uint64
	Until  float64 // at the latest
}

// View is what this scheduler believes, to be looked at.
func (m *Machine) View(now float64) (all []Member, duties []Held) {
	for i, a := range m.c.Addresses {
		s, since := m.members.State(i)
		all = append(all, Member{a, s, since})
	}
	for i, d := range m.c.Lease.Duties {
		who, number, until := m.leases.Holder(i, now)
		duties = append(duties, Held{d.Name, who, number, until})
	}
	return all, duties
}

// Alive says whether a scheduler is not taken for dead; Living is how many are not.
func (m *Machine) Alive(who int) bool { return m.members.Alive(who) }

// Living is how many schedulers are not taken for dead, this one among them.
func (m *Machine) Living() int { return m.members.Count() }
