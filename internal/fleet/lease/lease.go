// Package lease assigns each duty to at most one scheduler at a time, without a disk. A scheduler
// holds a duty while a majority of a few voters has granted it a lease; each voter measures the lease
// by its own clock. docs/design/duties.md gives the reasons, the guarantees and a short proof.
//
// The guarantee: at no instant do two schedulers hold one duty, and the fencing number under which it
// is held never decreases. This requires clocks that run at the same rate within Drift and never step
// (the host's monotonic clock), and voters that grant nothing after a start for as long as a grant
// from before the start may be valid. No message has to arrive, and each message may arrive late,
// twice or out of order. A holder must call Holds at the moment it acts, because a process may pause
// at any line. The receiver of an act must refuse numbers lower than one it has seen (Fence).
//
// The Machine is given events (received messages, timers, the live members) and returns actions
// (messages to send, duties gained and lost). It performs no I/O, reads no clock, starts no goroutine,
// keeps no global state and does not carry out the duties themselves. Times are in milliseconds on the
// host's clock.
package lease

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

// Limits on the configuration. New refuses larger values, so that no state grows at run time.
const (
	MaxVoters = 15
	MaxDuties = 1024
	MaxFleet  = 4096
	// MaxNoteBytes is the maximum length of the note that a holder passes to its successor.
	MaxNoteBytes = 128
)

// Duty is a task that at most one scheduler at a time may perform.
type Duty struct {
	Name string
	Zone string // optional: schedulers of this zone are preferred as holders
}

// Config configures a Machine.
type Config struct {
	Self, Fleet int
	Zones       []string // zone of each scheduler, as far as known; may be nil
	Voters      int      // the schedulers numbered below this vote; must be the same on every scheduler
	RunID       uint32   // random number of this run; separates messages of this run from those of an earlier run of this scheduler
	Lease       float64  // duration of a grant in ms, by the voter's clock
	Quiet       float64  // ms after a start in which a voter grants nothing; at least the longest lease in use
	Drift       float64  // maximum relative clock rate error, fast or slow
	Seed        uint64
	Duties      []Duty

	// Unsafe disables safety measures, so that tests can verify that the checkers detect the
	// violations. It is zero in production.
	Unsafe Unsafe
}

// Unsafe disables single measures on which the guarantee rests.
type Unsafe struct {
	NoQuiet  bool // grant leases immediately after a start
	NoExpiry bool // treat a held duty as held after its lease has expired
	NoFence  bool // accept acts under any number
}

// Default returns the values of settings that the operator's file omits.
func Default() Config {
	return Config{Voters: 5, Lease: 2000, Quiet: 2500, Drift: 0.01}
}

// Check returns an error that names the first invalid setting.
func (c *Config) Check() error {
	switch {
	case c.Fleet < 1 || c.Fleet > MaxFleet || c.Self < 0 || c.Self >= c.Fleet:
		return fmt.Errorf("lease: scheduler %d of %d is out of range; a fleet has up to %d schedulers", c.Self, c.Fleet, MaxFleet)
	case c.Voters < 1 || c.Voters > min(MaxVoters, c.Fleet):
		return fmt.Errorf("lease: voters is %d; it must be 1 to %d", c.Voters, min(MaxVoters, c.Fleet))
	case !(c.Lease >= 200 && c.Lease <= 60_000):
		return fmt.Errorf("lease: lease is %gms; it must be 200ms to 1m", c.Lease)
	case !(c.Quiet >= c.Lease && c.Quiet <= 120_000):
		return fmt.Errorf("lease: quiet is %gms; it must be from the lease (%gms) to 2m", c.Quiet, c.Lease)
	case !(c.Drift >= 0 && c.Drift <= 0.1):
		return fmt.Errorf("lease: drift is %g; it must be 0 to 0.1", c.Drift)
	case len(c.Duties) > MaxDuties:
		return fmt.Errorf("lease: %d duties configured; at most %d are allowed", len(c.Duties), MaxDuties)
	case c.Zones != nil && len(c.Zones) != c.Fleet:
		return fmt.Errorf("lease: %d zones configured for %d schedulers", len(c.Zones), c.Fleet)
	}
	ids := map[uint32]string{}
	for _, d := range c.Duties {
		if other, twice := ids[ID(d.Name)]; twice || d.Name == "" {
			return fmt.Errorf("lease: duty %q has no name, or its ID equals that of %q", d.Name, other)
		}
		ids[ID(d.Name)] = d.Name
	}
	return nil
}

// ID returns the hash of a duty's name that identifies the duty in messages.
func ID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Due             EventKind = iota // the requested wake-up time is reached
	MessageReceived                  // a message was received: From, Msg
	MembersChanged                   // the set of live members: Alive, by scheduler number
	Resign                           // this scheduler shuts down: it hands over its duties and claims none again
)

// Event is one input to the Machine. Kind determines which fields are used.
type Event struct {
	Kind  EventKind
	Wall  float64 // ms of the wall clock; used only to choose fencing numbers after all memory of earlier ones is lost
	From  int
	Msg   Msg
	Alive []bool
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send          ActionKind = iota // send a message: To, Msg
	Wake                            // deliver Due at At; replaces an earlier wake-up
	Gained                          // this scheduler holds a duty from now on: Duty, Number, Note from the previous holder
	Lost                            // this scheduler no longer holds a duty: Duty, Number, Reason
	ActAccepted                     // an act of To under Number was accepted
	ActRefused                      // an act of To under Number was refused, because an act under a newer number is known
	HolderChanged                   // the known holder of a duty changed, as reported by a voter or by the holder: Duty, Number, To
)

// Action is one output of the Machine. The host carries out actions in order.
type Action struct {
	Kind   ActionKind
	To     int
	Msg    Msg
	At     float64
	Duty   int // index in Config.Duties
	Number uint64
	Reason string
	Note   string
}

// Machine votes on leases, claims duties and holds them. Create it with New.
type Machine struct {
	config     Config
	rng        *rand.Rand
	now        float64      // time of the latest event, ms; never decreases
	wall       float64      // latest wall clock time, ms
	quietUntil float64      // a voter grants nothing before this time, ms
	votes      []vote       // by duty; nil unless this scheduler is a voter
	claims     []claimState // by duty
	dutyByID   map[uint32]int
	alive      []bool
	leaving    bool
	wakeAt     float64
	timers     timerHeap
	loopback   []Msg // messages from this scheduler to itself
	actions    []Action

	Counts Counts
}

// Counts holds event counters for logs and tests.
type Counts struct {
	Granted, Refused, Gained, Lost, Ignored int
}

// New returns a newly started machine. Its first event should be passed to Step immediately.
func New(config Config, now float64) (*Machine, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	m := &Machine{config: config, rng: rand.New(rand.NewPCG(config.Seed, uint64(config.Self)<<32|uint64(config.RunID))), now: now, quietUntil: now + config.Quiet,
		claims: make([]claimState, len(config.Duties)), dutyByID: map[uint32]int{}, alive: make([]bool, config.Fleet), wakeAt: math.Inf(1)}
	if config.Unsafe.NoQuiet {
		m.quietUntil = now
	}
	if m.isVoter() {
		m.votes = make([]vote, len(config.Duties))
	}
	for i := range m.alive {
		m.alive[i] = true
	}
	m.timers.index = make([]int, len(config.Duties))
	for i, d := range config.Duties {
		m.dutyByID[ID(d.Name)] = i
		m.claims[i] = claimState{id: ID(d.Name), holder: -1, handedBy: -1}
		m.claims[i].rank = m.standbyRank(i)
		m.timers.index[i] = -1
		m.timers.set(i, now+m.standbyDelay(i))
	}
	return m, nil
}

func (m *Machine) isVoter() bool { return m.config.Self < m.config.Voters }

// majority returns the number of voters that form a majority.
func (m *Machine) majority() int { return m.config.Voters/2 + 1 }

// holdTime returns how long a granted duty is held, in ms from the request. By the fastest clock this
// ends before the voter's lease ends by the slowest clock.
func (m *Machine) holdTime() float64 {
	return m.config.Lease * (1 - m.config.Drift) / (1 + m.config.Drift)
}

// Step processes one event at the given time and appends the resulting actions to acts. A time before
// that of an earlier event is replaced by the earlier event's time.
func (m *Machine) Step(now float64, ev *Event, acts []Action) []Action {
	m.actions = acts
	m.now, m.wall = max(m.now, now), max(m.wall, ev.Wall)
	switch ev.Kind {
	case MessageReceived:
		m.receive(ev.From, &ev.Msg)
	case MembersChanged:
		m.setAlive(ev.Alive)
	case Resign:
		m.resign()
	}
	for {
		if len(m.loopback) > 0 { // messages to itself bypass the network
			msg := m.loopback[0]
			m.loopback = m.loopback[1:]
			m.receive(m.config.Self, &msg)
			continue
		}
		d, at := m.timers.first()
		if d < 0 || at > m.now {
			if at < m.wakeAt || m.wakeAt <= m.now && !math.IsInf(at, 1) {
				m.wakeAt = at
				m.emit(Action{Kind: Wake, At: at})
			}
			break
		}
		m.timers.set(d, math.Inf(1))
		m.onTimer(d)
	}
	acts, m.actions = m.actions, nil
	return acts
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) send(to int, msg Msg) {
	if to == m.config.Self {
		m.loopback = append(m.loopback, msg)
		return
	}
	m.emit(Action{Kind: Send, To: to, Msg: msg})
}

// receive processes a message. Messages that are not meant for this scheduler, or concern an unknown
// duty, are counted and ignored.
func (m *Machine) receive(from int, msg *Msg) {
	duty, known := m.dutyByID[msg.Duty]
	if !known || from < 0 || from >= m.config.Fleet {
		m.Counts.Ignored++
		return
	}
	switch msg.Kind {
	case Query, Request, Release:
		if !m.isVoter() {
			m.Counts.Ignored++
			return
		}
		m.onVoterRequest(duty, from, msg)
	case Free, Grant, Held, Stale, Quiet:
		if from >= m.config.Voters {
			m.Counts.Ignored++
			return
		}
		m.onVoterResponse(duty, from, msg)
	case Handover:
		m.onHandover(duty, from, msg)
	case Announce:
		m.onAnnounce(duty, from, msg)
	default:
		m.Counts.Ignored++
	}
}

// Holds returns the fencing number under which this scheduler holds a duty at the given time. Call it
// at the moment of acting, with a time read then.
func (m *Machine) Holds(duty int, now float64) (number uint64, ok bool) {
	claim := &m.claims[duty]
	if claim.phase != holding || now >= claim.until && !m.config.Unsafe.NoExpiry {
		return 0, false
	}
	return claim.number, true
}

// HeldUntil returns when this scheduler's hold on a duty ends unless its lease is renewed.
func (m *Machine) HeldUntil(duty int) float64 { return m.claims[duty].until }

// Holder returns the holder of a duty as far as this scheduler knows, its fencing number, and the
// latest time until which it may hold the duty. who is -1 if no holder is known.
func (m *Machine) Holder(duty int, now float64) (who int, number uint64, until float64) {
	claim := &m.claims[duty]
	if n, ok := m.Holds(duty, now); ok {
		return m.config.Self, n, claim.until
	}
	if claim.holder < 0 || now >= claim.holderUntil {
		return -1, claim.newestHeld, 0
	}
	return claim.holder, claim.holderNumber, claim.holderUntil
}

// NewestNumber returns the newest fencing number of a duty under which any scheduler is known to have
// acted.
func (m *Machine) NewestNumber(duty int) uint64 { return m.claims[duty].newestHeld }

// SetHandoverNote sets the note that is sent to the successor when a duty is handed over.
func (m *Machine) SetHandoverNote(duty int, note string) {
	m.claims[duty].note = note[:min(len(note), MaxNoteBytes)]
}

// standbyKey orders the schedulers by preference for a duty: those of its zone first, then by a hash
// that spreads the duties over the schedulers.
func (m *Machine) standbyKey(duty, who int) uint64 {
	d := &m.config.Duties[duty]
	x := uint64(m.claims[duty].id)<<32 | uint64(who)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x = (x ^ x>>33) >> 1
	if d.Zone != "" && m.config.Zones != nil && m.config.Zones[who] != d.Zone {
		x |= 1 << 63
	}
	return x
}

// standbyRank returns this scheduler's position in the standby order of the live members for a duty.
func (m *Machine) standbyRank(duty int) (rank int) {
	own := m.standbyKey(duty, m.config.Self)
	for who, yes := range m.alive {
		if yes && who != m.config.Self && m.standbyKey(duty, who) < own {
			rank++
		}
	}
	return rank
}

// successors returns the first closeStandbys other live schedulers in a duty's standby order.
func (m *Machine) successors(duty int) (to []int) {
	for who, yes := range m.alive {
		if !yes || who == m.config.Self {
			continue
		}
		i, _ := slices.BinarySearchFunc(to, who, func(x, y int) int { return cmp.Compare(m.standbyKey(duty, x), m.standbyKey(duty, y)) })
		if to = slices.Insert(to, i, who); len(to) > closeStandbys {
			to = to[:closeStandbys]
		}
	}
	return to
}

// timerHeap is a min-heap of one timer per duty.
type timerHeap struct {
	heap  []timer
	index []int // position in the heap, by duty; -1: no timer
}

type timer struct {
	duty int
	at   float64
}

func (t *timerHeap) first() (duty int, at float64) {
	if len(t.heap) == 0 {
		return -1, math.Inf(1)
	}
	return t.heap[0].duty, t.heap[0].at
}

// set changes the time of a duty's timer. An infinite time removes the timer.
func (t *timerHeap) set(duty int, at float64) {
	i := t.index[duty]
	switch {
	case i < 0 && math.IsInf(at, 1):
		return
	case i < 0:
		i = len(t.heap)
		t.heap = append(t.heap, timer{duty, at})
	default:
		t.heap[i].at = at
	}
	t.index[duty] = i
	if math.IsInf(at, 1) {
		last := len(t.heap) - 1
		t.swap(i, last)
		t.heap = t.heap[:last]
		t.index[duty] = -1
		if i == last {
			return
		}
	}
	for ; i > 0 && t.heap[i].at < t.heap[(i-1)/2].at; i = (i - 1) / 2 {
		t.swap(i, (i-1)/2)
	}
	for {
		c := 2*i + 1
		if c >= len(t.heap) {
			return
		}
		if c+1 < len(t.heap) && t.heap[c+1].at < t.heap[c].at {
			c++
		}
		if t.heap[i].at <= t.heap[c].at {
			return
		}
		t.swap(i, c)
		i = c
	}
}

func (t *timerHeap) swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.index[t.heap[i].duty], t.index[t.heap[j].duty] = i, j
}

// Fence is used by the receiver of acts: it refuses an act whose number is older than one already
// accepted.
type Fence struct{ newest uint64 }

// Accept reports whether an act under a number may be accepted, and records the number if so.
func (f *Fence) Accept(number uint64) bool {
	if number < f.newest {
		return false
	}
	f.newest = number
	return true
}
