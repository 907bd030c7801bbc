// Package members detects which of the configured schedulers are live. It implements SWIM (Das, Gupta,
// Motivala 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey 2018). In each period a
// scheduler pings one other member. If no response arrives it requests indirect pings through others,
// and it suspects a member before it declares the member dead. A scheduler that is itself slow extends
// its own timeouts first. docs/design/duties.md gives the reasons and the guarantees: a death is
// detected and a false belief ends, but two schedulers may disagree at any time.
//
// The Machine is given events (received messages, timers) and returns actions (messages to send, state
// changes). It performs no I/O, reads no clock, starts no goroutine and keeps no global state. Times
// are in milliseconds on the host's clock.
package members

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// State is the state of a scheduler as believed locally.
type State byte

// The states. A configured scheduler starts as Alive, before any contact.
const (
	Alive State = iota
	Suspected
	Dead
	Left // announced its own shutdown
)

func (s State) String() string { return [...]string{"living", "suspected", "dead", "left"}[s] }

// MaxFleet is the maximum number of configured schedulers.
const MaxFleet = 4096

// Config configures a Machine.
type Config struct {
	Self, Fleet int
	Period      float64 // interval between two pings in ms
	PingTimeout float64 // ms to wait for a response before indirect pings are requested
	Helpers     int     // number of members that are requested to ping indirectly
	Seed        uint64
}

// Default returns the values of settings that the operator's file omits.
func Default() Config { return Config{Period: 500, PingTimeout: 150, Helpers: 3} }

// Check returns an error that names the first invalid setting.
func (c *Config) Check() error {
	switch {
	case c.Fleet < 1 || c.Fleet > MaxFleet || c.Self < 0 || c.Self >= c.Fleet:
		return fmt.Errorf("members: scheduler %d of %d is out of range; a fleet has up to %d schedulers", c.Self, c.Fleet, MaxFleet)
	case !(c.Period >= 50 && c.Period <= 60_000):
		return fmt.Errorf("members: period is %gms; it must be 50ms to 1m", c.Period)
	case !(c.PingTimeout > 0 && c.PingTimeout <= c.Period/2):
		return fmt.Errorf("members: answer_in is %gms; it must be above 0 and up to half the period (%gms)", c.PingTimeout, c.Period)
	case c.Helpers < 0 || c.Helpers > 8:
		return fmt.Errorf("members: helpers is %d; it must be 0 to 8", c.Helpers)
	}
	return nil
}

const (
	minSuspicionPeriods = 3.0 // minimum suspicion timeout in periods, per factor of ten in fleet size
	maxSuspicionFactor  = 4.0 // maximum suspicion timeout, as a multiple of the minimum
	maxReporters        = 3   // independent reporters that shorten the suspicion timeout to the minimum
	maxHealthPenalty    = 6   // upper limit of the health penalty; each step lengthens the timeouts
	gossipFactor        = 4.0 // times an update is sent, per doubling of the fleet size
	maxUpdatesPerMsg    = 24  // updates in one datagram
	deadPingPeriods     = 4   // a dead or departed member is pinged every this many periods; otherwise a partition would never heal
	stallPeriods        = 1.5 // periods without any event after which this process is taken to have paused
)

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Due             EventKind = iota // the requested wake-up time is reached
	MessageReceived                  // a message was received: From, Msg
	Contact                          // another datagram from From was received, so it is alive
	Leave                            // this scheduler shuts down
)

// Event is one input to the Machine.
type Event struct {
	Kind EventKind
	From int
	Msg  *Msg
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send    ActionKind = iota // send a message: To, Msg; Msg is valid until the next Step
	Wake                      // deliver Due at At; replaces an earlier wake-up
	Changed                   // the state of Member changed: State
)

// Action is one output of the Machine. The host carries out actions in order.
type Action struct {
	Kind   ActionKind
	To     int
	Msg    Msg
	At     float64
	Member int
	State  State
}

// member is the local state of one scheduler.
type member struct {
	state        State
	incarnation  uint32
	since        float64 // time of the last state change
	lastContact  float64 // time of the last direct contact
	deadAt       float64 // suspected: when it is declared dead
	reporters    [maxReporters]int
	numReporters int // suspected: number of independent reporters
	sendsLeft    int // how often its state is still to be sent
	queued       bool
}

// Counts holds event counters.
type Counts struct{ Pinged, IndirectPings, Suspected, Died, Refuted, Stalls, Ignored int }

// Machine is one scheduler's failure detector. Create it with New.
type Machine struct {
	config        Config
	rng           *rand.Rand
	now           float64
	members       []member
	pingOrder     []int // order in which members are pinged
	nextPing      int
	updateQueue   []int // members whose state is to be sent
	nextUpdate    int   // next entry of updateQueue to send
	suspects      []int
	gone          []int // dead or departed members; they are pinged at times, as a member may have restarted and its update may have been lost
	healthPenalty int

	seq             uint32
	pinged          int // member with an outstanding ping; -1: no member
	pingedAt        float64
	indirectAt      float64 // when indirect pings are requested; infinite once they were
	nextPeriodAt    float64 // start of the next period
	periods         int
	leaving         bool
	actions         []Action
	pendingIndirect [16]indirectPing // pings sent on behalf of others; ring buffer that overwrites the oldest
	nextIndirect    int

	Counts Counts
}

// indirectPing is a ping sent on behalf of another scheduler.
type indirectPing struct {
	seq, requesterSeq uint32
	requester         int
}

// New returns a machine that takes all schedulers to be alive.
func New(config Config, now float64) (*Machine, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	m := &Machine{config: config, rng: rand.New(rand.NewPCG(config.Seed, uint64(config.Self))), now: now, members: make([]member, config.Fleet), pinged: -1,
		indirectAt: math.Inf(1)}
	for i := range m.members {
		m.members[i].since = now
		m.members[i].lastContact = math.Inf(-1)
	}
	for i := range m.pendingIndirect {
		m.pendingIndirect[i].requester = -1
	}
	for _, who := range m.rng.Perm(config.Fleet) {
		if who != config.Self {
			m.pingOrder = append(m.pingOrder, who)
		}
	}
	m.nextPeriodAt = now + m.rng.Float64()*config.Period
	m.queueUpdate(config.Self) // announce this scheduler
	return m, nil
}

// Step processes one event at the given time and appends the resulting actions to acts.
func (m *Machine) Step(now float64, ev *Event, acts []Action) []Action {
	m.actions = acts
	if gap := now - m.now; gap > stallPeriods*m.config.Period {
		m.onStall(gap)
	}
	m.now = max(m.now, now)
	before := m.wakeAt()
	switch {
	case ev.Kind == Leave:
		m.leave()
	case ev.Kind == Due:
	case ev.From < 0 || ev.From >= m.config.Fleet || ev.From == m.config.Self:
		m.Counts.Ignored++
	case ev.Kind == Contact:
		if x := &m.members[ev.From]; x.state >= Dead && m.now-x.lastContact >= m.config.Period {
			m.seq++
			m.send(ev.From, Ping, m.seq, 0) // it is alive after all: send it the state that is held for it, so that it can refute it
		}
		m.recordContact(ev.From)
	case ev.Kind == MessageReceived:
		m.receive(ev.From, ev.Msg)
	}
	m.onTimers()
	if at := m.wakeAt(); ev.Kind == Due || at != before {
		m.emit(Action{Kind: Wake, At: at})
	}
	acts, m.actions = m.actions, nil
	return acts
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) wakeAt() float64 { return min(m.indirectAt, m.nextPeriodAt) }

// Alive reports whether a scheduler is not declared dead. A suspected scheduler still counts, so that
// a quantity divided by the number of live members is divided among too many rather than too few.
func (m *Machine) Alive(who int) bool { return m.members[who].state < Dead }

// State returns the believed state of a scheduler and the time of its last change.
func (m *Machine) State(who int) (s State, since float64) {
	return m.members[who].state, m.members[who].since
}

// Count returns the number of schedulers that are not declared dead, including this one.
func (m *Machine) Count() (n int) {
	for i := range m.members {
		if m.Alive(i) {
			n++
		}
	}
	return n
}

// onStall handles a pause of this process. The missing contacts are this process's own fault, so
// suspicion timeouts are extended by the pause and the outstanding ping is discarded.
func (m *Machine) onStall(gap float64) {
	m.Counts.Stalls++
	for _, who := range m.suspects {
		m.members[who].deadAt += gap
	}
	m.pinged, m.indirectAt = -1, math.Inf(1)
	m.adjustHealthPenalty(2)
}

// adjustHealthPenalty changes the health penalty, by which this scheduler lengthens its own timeouts.
func (m *Machine) adjustHealthPenalty(by int) {
	m.healthPenalty = min(maxHealthPenalty, max(0, m.healthPenalty+by))
}

// pingTimeout returns how long a ping response is awaited, in ms.
func (m *Machine) pingTimeout() float64 {
	return min(m.config.PingTimeout*float64(1+m.healthPenalty), m.config.Period*0.45*float64(1+m.healthPenalty))
}

func (m *Machine) onTimers() {
	if m.now >= m.indirectAt {
		m.indirectAt = math.Inf(1)
		m.sendIndirectPings()
	}
	if m.now >= m.nextPeriodAt {
		m.startPeriod()
	}
}

// startPeriod ends the current period and pings the next member.
func (m *Machine) startPeriod() {
	m.nextPeriodAt = m.now + m.config.Period*(0.9+0.2*m.rng.Float64())
	if m.pinged >= 0 {
		if waited := m.now - m.pingedAt; waited < 2*m.pingTimeout() && m.healthPenalty > 0 {
			return // a scheduler with a health penalty waits longer, and pings no other member meanwhile
		}
		who := m.pinged
		m.pinged = -1
		m.adjustHealthPenalty(1)
		m.suspectMember(who, m.members[who].incarnation, m.config.Self)
	}
	kept := 0
	for _, who := range m.suspects {
		if m.now < m.members[who].deadAt || m.members[who].state != Suspected {
			m.suspects[kept] = who
			kept++
			continue
		}
		m.Counts.Died++
		m.setState(who, Dead, m.members[who].incarnation)
	}
	m.suspects = m.suspects[:kept]
	if m.leaving || m.config.Fleet == 1 {
		return
	}
	m.periods++
	if m.periods%deadPingPeriods == 0 && len(m.gone) > 0 {
		m.seq++
		m.send(m.gone[m.rng.IntN(len(m.gone))], Ping, m.seq, 0)
	}
	for range m.pingOrder {
		who := m.pingOrder[m.nextPing]
		if m.nextPing++; m.nextPing == len(m.pingOrder) {
			m.nextPing = 0
			m.rng.Shuffle(len(m.pingOrder), func(i, j int) { m.pingOrder[i], m.pingOrder[j] = m.pingOrder[j], m.pingOrder[i] })
		}
		if x := &m.members[who]; x.state >= Dead || x.state == Alive && m.now-x.lastContact < m.config.Period {
			continue // gone, or contacted recently
		}
		m.seq++
		m.Counts.Pinged++
		m.pinged, m.pingedAt, m.indirectAt = who, m.now, m.now+m.pingTimeout()
		m.send(who, Ping, m.seq, 0)
		return
	}
}

// sendIndirectPings repeats the outstanding ping and requests other members to ping its target.
func (m *Machine) sendIndirectPings() {
	if m.pinged < 0 {
		return
	}
	m.send(m.pinged, Ping, m.seq, 0) // the first ping may have been lost
	for n, tries := 0, 0; n < m.config.Helpers && tries < 4*m.config.Helpers && len(m.pingOrder) > 1; tries++ {
		who := m.pingOrder[m.rng.IntN(len(m.pingOrder))]
		if who != m.pinged && m.members[who].state == Alive {
			m.send(who, IndirectPing, m.seq, m.pinged)
			n++
		}
	}
}

// recordContact records a direct contact with a scheduler.
func (m *Machine) recordContact(who int) {
	m.members[who].lastContact = m.now
	if who == m.pinged {
		m.pinged, m.indirectAt = -1, math.Inf(1)
		m.adjustHealthPenalty(-1)
	}
}

func (m *Machine) receive(from int, msg *Msg) {
	m.recordContact(from)
	for _, r := range msg.Updates[:msg.NumUpdates] {
		m.applyUpdate(int(r.Reporter), int(r.Member), r.State, r.Incarnation)
	}
	switch msg.Kind {
	case Ping:
		m.send(from, Ack, msg.Seq, 0)
	case IndirectPing:
		if msg.Target >= 0 && msg.Target < m.config.Fleet && msg.Target != m.config.Self {
			m.Counts.IndirectPings++
			m.seq++
			m.pendingIndirect[m.nextIndirect] = indirectPing{m.seq, msg.Seq, from}
			m.nextIndirect = (m.nextIndirect + 1) % len(m.pendingIndirect)
			m.send(msg.Target, Ping, m.seq, 0)
		}
	case Ack:
		for i := range m.pendingIndirect {
			if h := &m.pendingIndirect[i]; h.requester >= 0 && h.seq == msg.Seq {
				m.send(h.requester, IndirectAck, h.requesterSeq, from)
				h.requester = -1
			}
		}
	case IndirectAck:
		if msg.Target == m.pinged && msg.Seq == m.seq {
			m.recordContact(msg.Target)
		}
	}
}

// applyUpdate applies an update. A newer incarnation wins; within one incarnation the worse state
// wins. Only the scheduler itself increases its incarnation, when it receives an update with a state
// worse than its own.
func (m *Machine) applyUpdate(reporter, who int, state State, incarnation uint32) {
	if who >= m.config.Fleet {
		m.Counts.Ignored++
		return
	}
	member := &m.members[who]
	if who == m.config.Self {
		if state != Alive && incarnation < member.incarnation && !m.leaving {
			m.queueUpdate(who) // already refuted with a newer incarnation; the reporter may have been unreachable when that was sent
		} else if (state != Alive || incarnation > member.incarnation) && !m.leaving && incarnation >= member.incarnation {
			member.incarnation = incarnation + 1
			if state == Alive {
				member.incarnation = incarnation // the incarnation of an earlier run: the next suspicion is refuted from there
			}
			m.Counts.Refuted++
			if state == Suspected {
				m.adjustHealthPenalty(1)
			}
			m.queueUpdate(who)
		}
		return
	}
	switch {
	case state == Alive && incarnation > member.incarnation, state >= Dead && member.state < Dead && incarnation >= member.incarnation, state >= Dead && incarnation > member.incarnation:
		m.setState(who, state, incarnation)
	case state == Suspected:
		m.suspectMember(who, incarnation, reporter)
	}
}

// suspectMember starts to suspect a scheduler, or counts one more independent reporter of the
// suspicion. A scheduler that only forwards the update is not a reporter.
func (m *Machine) suspectMember(who int, incarnation uint32, reporter int) {
	member := &m.members[who]
	if incarnation < member.incarnation || member.state >= Dead && incarnation == member.incarnation {
		return
	}
	if member.state != Suspected || incarnation > member.incarnation {
		m.Counts.Suspected++
		m.setState(who, Suspected, incarnation)
		member.reporters[0], member.numReporters = reporter, 1
		member.deadAt = m.now + m.suspicionTimeout(1)
		return
	}
	for _, other := range member.reporters[:member.numReporters] {
		if other == reporter {
			return
		}
	}
	if member.numReporters < maxReporters {
		member.reporters[member.numReporters] = reporter
		member.numReporters++
		member.deadAt = min(member.deadAt, member.since+m.suspicionTimeout(member.numReporters))
		m.queueUpdate(who) // forward the update with the additional reporter
	}
}

// suspicionTimeout returns how long a member is suspected before it is declared dead, in ms. More
// reporters shorten it.
func (m *Machine) suspicionTimeout(numReporters int) float64 {
	shortest := minSuspicionPeriods * max(1, math.Log10(float64(m.config.Fleet))) * m.config.Period
	longest := shortest * maxSuspicionFactor
	return max(shortest, longest-(longest-shortest)*math.Log(float64(numReporters))/math.Log(maxReporters)) * (1 + float64(m.healthPenalty)/4)
}

// setState changes the believed state of a scheduler.
func (m *Machine) setState(who int, state State, incarnation uint32) {
	member := &m.members[who]
	oldState := member.state
	member.incarnation = incarnation
	m.queueUpdate(who)
	if oldState == state {
		return
	}
	member.state, member.since = state, m.now
	if state == Suspected {
		m.suspects = append(m.suspects, who)
	}
	if oldState >= Dead && state < Dead {
		for i, w := range m.gone {
			if w == who {
				m.gone[i] = m.gone[len(m.gone)-1]
				m.gone = m.gone[:len(m.gone)-1]
				break
			}
		}
	}
	if state >= Dead && oldState < Dead {
		m.gone = append(m.gone, who)
	}
	m.emit(Action{Kind: Changed, Member: who, State: state})
}

// queueUpdate queues a scheduler's state for sending.
func (m *Machine) queueUpdate(who int) {
	member := &m.members[who]
	member.sendsLeft = int(gossipFactor * math.Ceil(math.Log2(float64(m.config.Fleet)+1)))
	if !member.queued {
		member.queued = true
		m.updateQueue = append(m.updateQueue, who)
	}
}

// leave announces this scheduler's shutdown to some others, which forward it.
func (m *Machine) leave() {
	m.leaving = true
	m.members[m.config.Self].incarnation++
	m.members[m.config.Self].state = Left
	m.queueUpdate(m.config.Self)
	n := 0
	for _, who := range m.pingOrder {
		if m.members[who].state == Alive {
			m.seq++
			m.send(who, Ping, m.seq, 0)
			if n++; n == 2*max(1, m.config.Helpers) {
				return
			}
		}
	}
}

// send sends a message with as many queued updates as fit. A recipient that is not believed alive gets
// its own state first.
func (m *Machine) send(to int, kind MsgKind, seq uint32, who int) {
	m.actions = append(m.actions, Action{Kind: Send, To: to, Msg: Msg{Kind: kind, Seq: seq, Target: who}})
	msg := &m.actions[len(m.actions)-1].Msg
	if m.members[to].state != Alive {
		msg.add(to, &m.members[to])
	}
	for left := len(m.updateQueue); left > 0 && msg.NumUpdates < maxUpdatesPerMsg; left-- {
		if m.nextUpdate >= len(m.updateQueue) {
			m.nextUpdate = 0
		}
		subject := m.updateQueue[m.nextUpdate]
		member := &m.members[subject]
		msg.add(subject, member)
		if member.sendsLeft--; member.sendsLeft > 0 {
			m.nextUpdate++
			continue
		}
		member.queued = false
		m.updateQueue[m.nextUpdate] = m.updateQueue[len(m.updateQueue)-1]
		m.updateQueue = m.updateQueue[:len(m.updateQueue)-1]
	}
}
