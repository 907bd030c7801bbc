// Package usage lets one scheduler, the usage aggregator, add up the requests of each tenant over the
// whole fleet, so that traffic beyond a tenant's share can be identified when capacity is short. Each
// scheduler receives only a small part of the traffic, and no two receive the same part.
//
// Each scheduler reports its recent request rate per tenant to the usage aggregator. While some tenant
// exceeds its share, the usage aggregator sends all live members the fraction of each tenant's
// requests that is within its share. docs/design/accountant.md gives the guarantees.
//
// The Machine is given events (request counts, messages, timers) and returns actions. It performs no
// I/O and rejects no requests itself. Each event carries the fencing number under which this scheduler
// holds the duty, read at that moment. Messages of the usage aggregator carry this number, and a
// receiver that knows a newer one refuses them. Times are in milliseconds.
package usage

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// Duty is the name of the usage aggregator's duty.
const Duty = "accountant"

// MaxTenants is the maximum number of tenants with separate counts. All requests of further tenants
// are treated as within their shares.
const MaxTenants = 32

const (
	warmupRounds    = 3    // report intervals in which a new usage aggregator only receives, as each report may be lost
	maxAgeRounds    = 4    // report intervals for which a scheduler's report counts
	newestWeight    = 0.5  // weight of the newest sum in the moving average
	overShareFactor = 1.02 // multiple of its share at which a tenant is reported
	endSends        = 2    // messages sent after no tenant exceeds its share any more; afterwards the fractions expire
)

// Tenant is a tenant with a share of the fleet.
type Tenant struct {
	Name      string
	Allowance float64 // requests per second over the whole fleet that are within its share
}

// Config configures a Machine. Tenants and times must be the same on all schedulers.
type Config struct {
	Self, Fleet int
	RunID       uint32 // random number of this run; separates its reports from those of an earlier run
	Tenants     []Tenant
	Interval    float64 // ms between two reports to the usage aggregator, and between two messages from it
	ValidFor    float64 // ms that its message is valid from receipt
}

// Default returns the values of settings that the operator's file omits.
func Default() Config { return Config{Interval: 500, ValidFor: 3000} }

// Check returns an error that names the first invalid setting.
func (c *Config) Check() error {
	switch {
	case c.Fleet < 1 || c.Self < 0 || c.Self >= c.Fleet:
		return fmt.Errorf("accountant: scheduler %d of %d is out of range", c.Self, c.Fleet)
	case len(c.Tenants) == 0:
		return fmt.Errorf("accountant: the settings name no tenants with shares")
	case !(c.Interval >= 50 && c.Interval <= 10_000):
		return fmt.Errorf("accountant: every is %gms; it must be 50ms to 10s", c.Interval)
	case !(c.ValidFor >= (warmupRounds+1)*c.Interval && c.ValidFor <= 60_000):
		return fmt.Errorf("accountant: lasts is %gms; it must be from four times every (%gms) to 1m, or a new usage aggregator would start too late", c.ValidFor, c.Interval)
	}
	seen := map[string]bool{}
	for _, t := range c.Tenants {
		if t.Name == "" || seen[t.Name] || !(t.Allowance > 0 && t.Allowance < 1e9) {
			return fmt.Errorf("accountant: tenant %q has no unique name, or an invalid allowance of %g requests per second", t.Name, t.Allowance)
		}
		seen[t.Name] = true
	}
	return nil
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Due             EventKind = iota // the requested wake-up time is reached: Requests
	MessageReceived                  // a message was received: From, Msg
)

// Event is one input to the Machine.
type Event struct {
	Kind     EventKind
	Requests []uint64 // requests received by this scheduler since its start, by tenant; nil: not counted
	From     int
	Msg      *Msg

	Number uint64 // under which this scheduler holds the duty now; 0: it does not hold the duty
	Newest uint64 // newest number known, of any holder
	Holder int    // holder of the duty, as far as known; -1: unknown
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send             ActionKind = iota // send Msg to scheduler To; -1: to all other live members; Msg is valid until the next Step
	FractionsChanged                   // under Number, Fractions applies for Lasts ms
	Wake                               // deliver Due at At; replaces an earlier wake-up
)

// Action is one output of the Machine. The host carries out actions in order.
type Action struct {
	Kind      ActionKind
	To        int
	Msg       *Msg
	Fractions map[string]float64 // by tenant: fraction of its requests that is within its share; tenants within their share are omitted
	Number    uint64
	Lasts     float64
	At        float64
}

// reporter is what the usage aggregator records about one scheduler.
type reporter struct {
	receivedAt float64
	runID      uint32
	seq        uint32
	rates      []float32 // requests per second, by tenant
}

// Counts holds event counters.
type Counts struct {
	Stale      int // messages refused, because a newer number is known or a newer message was applied
	Mismatched int // messages refused, because the sender is configured with other tenants
}

// Machine is one scheduler's part of the shared usage counts. Create it with New.
type Machine struct {
	config            Config
	initialAllowances []float64 // configured allowances, which apply unless others are agreed on
	tenantsKey        uint32    // hash of the tenants' names; messages with another key are refused
	requests          []uint64
	countedAt         float64 // time of the last count; negative: never
	nextReportAt      float64
	rates             []float32
	seq               uint32 // of this scheduler's latest report
	newestNumber      uint64 // number of the latest applied Fractions message
	newestSeq         uint32 // sequence number of the latest applied Fractions message under newestNumber

	// The state of the usage aggregator.
	number       uint64 // to which this state belongs; 0: not the usage aggregator
	since        float64
	fractionsSeq uint32 // sequence number of its latest message
	endSendsLeft int    // messages still to be sent after no tenant exceeds its share
	reporters    []reporter
	rateSums     []float64
	actions      []Action

	Counts Counts
}

// New returns a machine. Its first event, Due, should be passed to Step immediately.
func New(config Config, now float64) (*Machine, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	config.Tenants = config.Tenants[:min(len(config.Tenants), MaxTenants)]
	h := fnv.New32a()
	for _, t := range config.Tenants {
		h.Write([]byte(t.Name + "\x00"))
	}
	config.Tenants = slices.Clone(config.Tenants) // allowances may be changed by SetAllowances
	n := len(config.Tenants)
	m := &Machine{config: config, tenantsKey: h.Sum32(), countedAt: -1, requests: make([]uint64, n), rates: make([]float32, n), reporters: make([]reporter, config.Fleet), rateSums: make([]float64, n)}
	// Reports are staggered, so that the usage aggregator does not receive all of them at once.
	m.nextReportAt = now + config.Interval*(float64(config.Self)+0.5)/float64(config.Fleet)
	for _, t := range config.Tenants {
		m.initialAllowances = append(m.initialAllowances, t.Allowance)
	}
	return m, nil
}

// Step processes one event at the given time and appends the resulting actions to acts.
func (m *Machine) Step(now float64, ev *Event, acts []Action) []Action {
	m.actions = acts
	if ev.Number != m.number { // the duty was gained, lost, or lost and regained: discard what was added up under the other number
		m.number, m.since, m.fractionsSeq, m.endSendsLeft = ev.Number, now, 0, 0
		clear(m.rateSums)
		for i := range m.reporters {
			m.reporters[i].receivedAt = math.Inf(-1)
		}
	}
	if ev.Kind == MessageReceived {
		m.receive(now, ev)
	}
	if now >= m.nextReportAt && ev.Requests != nil {
		m.nextReportAt = max(m.nextReportAt+m.config.Interval, now+m.config.Interval/2)
		m.updateRates(now, ev.Requests)
		switch {
		case m.number > 0:
			m.recordUsage(now, m.config.Self, m.config.RunID, m.seq, m.rates)
			m.sendFractions(now)
		case ev.Holder >= 0 && ev.Holder != m.config.Self:
			m.emit(Action{Kind: Send, To: ev.Holder, Msg: &Msg{Kind: Usage, TenantsKey: m.tenantsKey, Number: uint64(m.config.RunID), Seq: m.seq, Figures: m.rates}})
		}
	}
	m.emit(Action{Kind: Wake, At: m.nextReportAt})
	acts, m.actions = m.actions, nil
	return acts
}

// SetAllowances sets the allowances that the schedulers agreed on. A tenant with no or zero agreed
// allowance gets its configured one.
func (m *Machine) SetAllowances(agreed map[string]float64) {
	for i := range m.config.Tenants {
		t := &m.config.Tenants[i]
		t.Allowance = m.initialAllowances[i]
		if x := agreed[t.Name]; x > 0 {
			t.Allowance = x
		}
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// updateRates computes the requests per second that this scheduler received since the last count.
func (m *Machine) updateRates(now float64, requests []uint64) {
	for i := range m.rates {
		m.rates[i] = 0
		if m.countedAt >= 0 && now > m.countedAt && requests[i] > m.requests[i] {
			m.rates[i] = float32(1000 * float64(requests[i]-m.requests[i]) / (now - m.countedAt))
		}
	}
	copy(m.requests, requests)
	m.countedAt = now
	m.seq++
}

func (m *Machine) receive(now float64, ev *Event) {
	msg := ev.Msg
	if msg.TenantsKey != m.tenantsKey || len(msg.Figures) != len(m.config.Tenants) {
		m.Counts.Mismatched++
		return
	}
	if msg.Kind == Fractions {
		m.applyFractions(msg, ev.Newest)
	} else if m.number > 0 && ev.From >= 0 && ev.From < len(m.reporters) {
		m.recordUsage(now, ev.From, uint32(msg.Number), msg.Seq, msg.Figures)
	}
}

// recordUsage records a scheduler's report, unless a newer report of the same run was recorded.
func (m *Machine) recordUsage(now float64, scheduler int, runID, seq uint32, rates []float32) {
	reporter := &m.reporters[scheduler]
	if reporter.runID == runID && seq <= reporter.seq && !math.IsInf(reporter.receivedAt, -1) {
		m.Counts.Stale++
		return
	}
	reporter.receivedAt, reporter.runID, reporter.seq, reporter.rates = now, runID, seq, append(reporter.rates[:0], rates...)
}

// sendFractions adds up the reported rates and sends the resulting fractions while some tenant
// exceeds its share. A scheduler whose last report is too old to count is dead or isolated, so its
// requests are unknown here. Sums that are too small only delay the treatment of traffic beyond the
// shares.
func (m *Machine) sendFractions(now float64) {
	warmingUp := now < m.since+warmupRounds*m.config.Interval // not all schedulers have reported yet
	fractions, overShare := make([]float32, len(m.config.Tenants)), false
	for i, t := range m.config.Tenants {
		sum := 0.0
		for k := range m.reporters {
			if reporter := &m.reporters[k]; now-reporter.receivedAt <= maxAgeRounds*m.config.Interval {
				sum += float64(reporter.rates[i])
			}
		}
		if warmingUp {
			m.rateSums[i] = sum
		}
		m.rateSums[i] += newestWeight * (sum - m.rateSums[i])
		fractions[i] = 1
		if m.rateSums[i] > overShareFactor*t.Allowance {
			fractions[i], overShare = float32(t.Allowance/m.rateSums[i]), true
		}
	}
	if warmingUp {
		return
	}
	if overShare {
		m.endSendsLeft = endSends
	} else if m.endSendsLeft--; m.endSendsLeft < 0 {
		m.endSendsLeft = 0
		return
	}
	m.fractionsSeq++
	msg := &Msg{Kind: Fractions, TenantsKey: m.tenantsKey, Number: m.number, Seq: m.fractionsSeq, Lasts: m.config.ValidFor, Figures: fractions}
	m.emit(Action{Kind: Send, To: -1, Msg: msg})
	m.applyFractions(msg, 0)
}

// applyFractions applies a message of the usage aggregator, unless a newer one is known.
func (m *Machine) applyFractions(msg *Msg, newest uint64) {
	if msg.Number < max(newest, m.newestNumber) || msg.Number == m.newestNumber && msg.Seq <= m.newestSeq {
		m.Counts.Stale++
		return
	}
	m.newestNumber, m.newestSeq = msg.Number, msg.Seq
	fractions := map[string]float64{}
	for i, t := range m.config.Tenants {
		if msg.Figures[i] < 1 {
			fractions[t.Name] = float64(msg.Figures[i])
		}
	}
	m.emit(Action{Kind: FractionsChanged, Fractions: fractions, Number: msg.Number, Lasts: msg.Lasts})
}
