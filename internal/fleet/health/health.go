// Package health lets one scheduler, the health checker, decide for the whole fleet whether a target
// is unhealthy, so that each of up to three hundred schedulers need not find out by failed jobs of its
// own.
//
// A scheduler that takes a target out of its own selection reports this suspicion to the health
// checker. Suspicions from several schedulers make it act: a target that is reported as
// unresponsive is probed, and declared unhealthy only if it does not respond to the health checker
// either. A target that is reported as failing is declared unhealthy on the reports only, because a
// probe shows only that the process runs. A verdict is sent to all live members, is valid for a
// stated time, and is repeated while it applies. docs/design/examiner.md gives the guarantees.
//
// The Machine is given events and returns actions; it performs no I/O and does not send probes itself.
// Each event carries the fencing number under which this scheduler holds the duty, read at that
// moment. Verdicts carry this number, and a receiver that knows a newer one refuses them. Times are in
// milliseconds.
package health

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// Duty is the name of the health checker's duty.
const Duty = "examiner"

// MaxTargets is the maximum number of known targets; further targets get no verdict.
const MaxTargets = 4096

const (
	suspicionSends      = 3     // times a suspicion is sent, as each datagram may be lost
	recoverySends       = 2     // times a recovery is sent; after that verdicts expire without it
	probeTimeoutMS      = 2000. // ms after which an unfinished probe is requested again
	minSendGapMS        = 20.   // minimum ms between two sends of verdicts; changes in between are sent together
	maxVerdictDoublings = 3     // a failing target's verdict duration doubles up to this many times
)

// Config configures a Machine.
type Config struct {
	Self, Fleet       int
	Reporters         int     // schedulers that must suspect a target, or half of the live members if that is less
	Window            float64 // ms that a suspicion counts
	ValidFor          float64 // ms that a verdict is valid from its receipt
	Interval          float64 // ms between two sends of the verdicts, and between two probes of a target
	MaxUnhealthyShare float64 // maximum share of the listed targets that may be unhealthy at once
}

// Default returns the values of settings that the operator's file omits.
func Default() Config {
	return Config{Reporters: 3, Window: 1500, ValidFor: 1500, Interval: 500, MaxUnhealthyShare: 0.25}
}

// Check returns an error that names the first invalid setting.
func (c *Config) Check() error {
	switch {
	case c.Fleet < 1 || c.Self < 0 || c.Self >= c.Fleet:
		return fmt.Errorf("examiner: scheduler %d of %d is out of range", c.Self, c.Fleet)
	case c.Reporters < 1 || c.Reporters > 15:
		return fmt.Errorf("examiner: tellers is %d; it must be 1 to 15", c.Reporters)
	case !(c.Window >= 100 && c.Window <= 60_000):
		return fmt.Errorf("examiner: window is %gms; it must be 100ms to 1m", c.Window)
	case !(c.Interval >= 50 && c.Interval <= 10_000):
		return fmt.Errorf("examiner: every is %gms; it must be 50ms to 10s", c.Interval)
	case !(c.ValidFor >= 2*c.Interval && c.ValidFor <= 60_000):
		return fmt.Errorf("examiner: lasts is %gms; it must be from twice every (%gms) to 1m, or one lost datagram would end a verdict", c.ValidFor, c.Interval)
	case !(c.MaxUnhealthyShare > 0 && c.MaxUnhealthyShare <= 0.5):
		return fmt.Errorf("examiner: most is %g; it must be above 0 and at most 0.5", c.MaxUnhealthyShare)
	}
	return nil
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Due             EventKind = iota // the requested wake-up time is reached
	TargetSuspected                  // this scheduler took Target out of its selection; Failing: because it fails, otherwise because it does not respond
	ProbeDone                        // a probe of Target ended; Responded: its process runs
	TargetsListed                    // Targets is the complete list of targets
	MessageReceived                  // a message was received: From, Msg
)

// Event is one input to the Machine.
type Event struct {
	Kind      EventKind
	Target    string
	Failing   bool
	Responded bool
	Targets   []string
	From      int
	Msg       *Msg

	Number      uint64 // under which this scheduler holds the duty now; 0: it does not hold the duty
	Newest      uint64 // newest number known, of any holder
	Holder      int    // holder of the duty, as far as known; -1: unknown
	LiveMembers int    // schedulers that are not declared dead
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send    ActionKind = iota // send Msg to scheduler To; -1: to all other live members; Msg is valid until the next Step
	Probe                     // probe Target; the result is reported as ProbeDone
	Verdict                   // under Number: exclude Target for Lasts ms; 0: Target may be used again
	Wake                      // deliver Due at At; replaces an earlier wake-up
)

// Action is one output of the Machine. The host carries out actions in order.
type Action struct {
	Kind   ActionKind
	To     int
	Msg    *Msg
	Target string
	Lasts  float64
	Number uint64
	At     float64
}

// suspicion is one scheduler's report about a target.
type suspicion struct {
	reporter int
	at       float64
	failing  bool
}

// targetState is what a scheduler records about one target.
type targetState struct {
	id   string
	hash uint32

	// This scheduler's own suspicion.
	sendsLeft        int // sends of the suspicion that remain
	sendAt           float64
	suspectedFailing bool
	suspectedAt      float64

	// The state of the health checker.
	suspicions        []suspicion // at most Config.Reporters, from different schedulers
	unhealthy         bool
	verdictFailing    bool // declared unhealthy because it fails, on the reports of others
	unhealthyUntil    float64
	verdictsInRow     int // consecutive verdicts
	verdictEndedAt    float64
	recoverySendsLeft int // sends of its recovery that remain
	probing           bool
	probedAt          float64
}

// Counts holds event counters.
type Counts struct {
	Stale    int // verdicts refused, because a newer number is known or a newer verdict was applied
	Capped   int // targets not declared unhealthy, because too many are already
	Cleared  int // targets that several schedulers suspected and that responded to a probe
	Verdicts int // targets declared unhealthy by this scheduler
}

// Machine is one scheduler's part of the shared health checks. Create it with New.
type Machine struct {
	config       Config
	targets      []*targetState          // sorted by id
	byID         map[string]*targetState // the same targets, by id
	byHash       map[uint32]*targetState // the same targets, by the hash used in messages; nil if two targets have the same hash
	number       uint64                  // to which the health checker's state belongs; 0: not the health checker
	seq          uint32                  // of its latest verdicts message
	lastSentAt   float64
	changed      bool   // since the last send
	newestNumber uint64 // number of the latest applied verdict
	newestSeq    uint32 // sequence number of the latest applied verdict under newestNumber
	actions      []Action

	Counts Counts
}

// New returns a machine without targets.
func New(config Config) (*Machine, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	return &Machine{config: config, byID: map[string]*targetState{}, byHash: map[uint32]*targetState{}, lastSentAt: math.Inf(-1)}, nil
}

// targetHash returns the hash that identifies a target in messages.
func targetHash(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// Step processes one event at the given time and appends the resulting actions to acts.
func (m *Machine) Step(now float64, ev *Event, acts []Action) []Action {
	m.actions = acts
	if ev.Number != m.number { // the duty was gained, lost, or lost and regained: discard what was found under the other number
		m.number, m.seq, m.changed = ev.Number, 0, false
		for _, target := range m.targets {
			target.unhealthy, target.verdictFailing, target.probing, target.recoverySendsLeft, target.verdictsInRow, target.suspicions = false, false, false, 0, 0, target.suspicions[:0]
		}
	}
	switch ev.Kind {
	case TargetSuspected:
		if target := m.byID[ev.Target]; target != nil && !target.unhealthy {
			target.sendsLeft, target.sendAt, target.suspectedAt, target.suspectedFailing = suspicionSends, now, now, ev.Failing
		}
	case ProbeDone:
		if target := m.byID[ev.Target]; target != nil && target.probing {
			m.onProbeDone(now, target, ev)
		}
	case TargetsListed:
		m.setTargets(ev.Targets)
	case MessageReceived:
		if ev.Msg.Kind == Verdicts {
			m.applyVerdicts(now, ev.Msg, ev.Newest)
		} else if target := m.byHash[ev.Msg.Entries[0].Target]; target != nil && m.number > 0 {
			m.recordSuspicion(now, target, suspicion{ev.From, now, ev.Msg.Entries[0].Failing}, ev)
		}
	}
	m.runTimers(now, ev)
	acts, m.actions = m.actions, nil
	return acts
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// setTargets replaces the list of targets and keeps the state of those that remain.
func (m *Machine) setTargets(ids []string) {
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	ids = ids[:min(len(ids), MaxTargets)]
	old := m.byID
	m.targets, m.byID, m.byHash = nil, make(map[string]*targetState, len(ids)), make(map[uint32]*targetState, len(ids))
	for _, id := range ids {
		target := old[id]
		if target == nil {
			target = &targetState{id: id, hash: targetHash(id), verdictEndedAt: math.Inf(-1)}
		}
		m.targets, m.byID[id] = append(m.targets, target), target
		if _, twice := m.byHash[target.hash]; twice {
			target = nil // the two are indistinguishable in messages, so neither gets a verdict
		}
		m.byHash[targetHash(id)] = target
	}
}

// recordSuspicion records a suspicion, and checks the target once enough schedulers suspect it.
func (m *Machine) recordSuspicion(now float64, target *targetState, report suspicion, ev *Event) {
	if m.byHash[target.hash] != target {
		return
	}
	target.suspicions = slices.DeleteFunc(target.suspicions, func(x suspicion) bool { return x.reporter == report.reporter || now-x.at > m.config.Window })
	if len(target.suspicions) < m.config.Reporters {
		target.suspicions = append(target.suspicions, report)
	}
	if target.unhealthy || !m.enoughReporters(target, ev) {
		return
	}
	failing := 0
	for _, x := range target.suspicions {
		if x.failing {
			failing++
		}
	}
	if 2*failing > len(target.suspicions) {
		m.declareUnhealthy(now, target, true)
	} else if !target.probing {
		m.startProbe(now, target)
	}
}

// enoughReporters reports whether enough schedulers suspect a target for it to be checked. In a small
// fleet half of the live members is enough.
func (m *Machine) enoughReporters(target *targetState, ev *Event) bool {
	return len(target.suspicions) >= max(1, min(m.config.Reporters, (ev.LiveMembers+1)/2))
}

func (m *Machine) startProbe(now float64, target *targetState) {
	target.probing, target.probedAt = true, now
	m.emit(Action{Kind: Probe, Target: target.id})
}

// onProbeDone evaluates the result of a probe of a target that was reported as unresponsive.
func (m *Machine) onProbeDone(now float64, target *targetState, ev *Event) {
	target.probing = false
	switch {
	case !ev.Responded && !target.unhealthy:
		if target.suspicions = slices.DeleteFunc(target.suspicions, func(x suspicion) bool { return now-x.at > m.config.Window }); m.enoughReporters(target, ev) {
			m.declareUnhealthy(now, target, false)
		}
	case ev.Responded && target.unhealthy && !target.verdictFailing:
		m.endVerdict(now, target, recoverySends)
	case ev.Responded && !target.unhealthy: // the reporters cannot reach it, or are wrong
		target.suspicions = target.suspicions[:0]
		m.Counts.Cleared++
	}
}

// declareUnhealthy declares a target unhealthy, unless so many targets are that the fault is likely
// elsewhere.
func (m *Machine) declareUnhealthy(now float64, target *targetState, failing bool) {
	unhealthy := 1
	for _, x := range m.targets {
		if x.unhealthy {
			unhealthy++
		}
	}
	if unhealthy > 1 && float64(unhealthy) > m.config.MaxUnhealthyShare*float64(len(m.targets)) || len(m.targets) < 2 {
		m.Counts.Capped++
		target.suspicions = target.suspicions[:0]
		return
	}
	if target.verdictsInRow++; now-target.verdictEndedAt > 8*m.config.ValidFor {
		target.verdictsInRow = 1
	}
	m.Counts.Verdicts++
	target.unhealthy, target.verdictFailing, target.recoverySendsLeft, m.changed = true, failing, 0, true
	target.unhealthyUntil = now + m.config.ValidFor*float64(int(1)<<min(target.verdictsInRow-1, maxVerdictDoublings))
}

// endVerdict ends a verdict: it expires, or it is withdrawn because the target responded.
func (m *Machine) endVerdict(now float64, target *targetState, recoverySendsLeft int) {
	target.unhealthy, target.verdictEndedAt, target.recoverySendsLeft, target.suspicions = false, now, recoverySendsLeft, target.suspicions[:0]
	m.changed = m.changed || recoverySendsLeft > 0
}

// applyVerdicts applies received verdicts, unless newer ones are known.
func (m *Machine) applyVerdicts(now float64, msg *Msg, newest uint64) {
	if msg.Number < max(newest, m.newestNumber) || msg.Number == m.newestNumber && msg.Seq <= m.newestSeq {
		m.Counts.Stale++
		return
	}
	m.newestNumber, m.newestSeq = msg.Number, msg.Seq
	for _, e := range msg.Entries {
		if target := m.byHash[e.Target]; target != nil {
			target.sendsLeft = 0
			if e.Healthy {
				m.emit(Action{Kind: Verdict, Target: target.id, Number: msg.Number})
			} else {
				m.emit(Action{Kind: Verdict, Target: target.id, Number: msg.Number, Lasts: msg.Lasts})
			}
		}
	}
}

// runTimers performs what is due and requests the next wake-up.
func (m *Machine) runTimers(now float64, ev *Event) {
	next := math.Inf(1)
	busy := false
	for _, target := range m.targets {
		if target.sendsLeft > 0 && now-target.suspectedAt > m.config.Window {
			target.sendsLeft = 0
		}
		if target.sendsLeft > 0 && target.sendAt <= now {
			m.sendSuspicion(now, target, ev)
		}
		if target.sendsLeft > 0 {
			next = min(next, target.sendAt)
		}
		if target.probing && now-target.probedAt > probeTimeoutMS {
			target.probing = false
		}
		switch {
		case !target.unhealthy:
		case target.verdictFailing && now >= target.unhealthyUntil:
			m.endVerdict(now, target, 0) // each scheduler tries it again by itself, at its own time
		case target.verdictFailing:
			next = min(next, target.unhealthyUntil)
		case !target.probing && now >= target.probedAt+m.config.Interval:
			m.startProbe(now, target)
			next = min(next, now+probeTimeoutMS+1)
		case !target.probing:
			next = min(next, target.probedAt+m.config.Interval)
		default:
			next = min(next, target.probedAt+probeTimeoutMS+1)
		}
		busy = busy || target.unhealthy || target.recoverySendsLeft > 0
	}
	if busy && m.number > 0 {
		at := m.lastSentAt + m.config.Interval
		if m.changed {
			at = m.lastSentAt + minSendGapMS
		}
		if now >= at {
			m.sendVerdicts(now)
			at = now + m.config.Interval
		}
		next = min(next, at)
	}
	if !math.IsInf(next, 1) {
		m.emit(Action{Kind: Wake, At: next})
	}
}

// sendSuspicion reports this scheduler's suspicion to the health checker. While no holder of the duty
// is known, the suspicion stays pending.
func (m *Machine) sendSuspicion(now float64, target *targetState, ev *Event) {
	target.sendAt = now + m.config.Interval/2
	switch {
	case m.number > 0:
		target.sendsLeft = 0
		m.recordSuspicion(now, target, suspicion{m.config.Self, now, target.suspectedFailing}, ev)
	case ev.Holder >= 0 && ev.Holder != m.config.Self:
		target.sendsLeft--
		msg := &Msg{Kind: Suspicions, Entries: []Entry{{Target: target.hash, Failing: target.suspectedFailing}}}
		m.emit(Action{Kind: Send, To: ev.Holder, Msg: msg})
	}
}

// sendVerdicts sends all other live members the unhealthy and the recovered targets.
func (m *Machine) sendVerdicts(now float64) {
	m.lastSentAt, m.changed = now, false
	var entries []Entry
	for _, target := range m.targets {
		switch {
		case target.unhealthy:
			entries = append(entries, Entry{Target: target.hash, Failing: target.verdictFailing})
		case target.recoverySendsLeft > 0:
			target.recoverySendsLeft--
			entries = append(entries, Entry{Target: target.hash, Healthy: true})
		}
	}
	for part := range slices.Chunk(entries, MaxEntries) {
		m.seq++
		msg := &Msg{Kind: Verdicts, Number: m.number, Seq: m.seq, Lasts: m.config.ValidFor, Entries: part}
		m.emit(Action{Kind: Send, To: -1, Msg: msg})
		m.applyVerdicts(now, msg, 0)
	}
}
