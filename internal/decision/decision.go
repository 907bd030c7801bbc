// Package decision combines the decision module (package balance) with the reservation planner for
// large jobs (package backfill) and the load messages between schedulers (package gossip).
//
// It has the interface of the decision module and replaces it for a host: the core, which works on
// sockets, and the adapter to the simulator's protocol. The host passes in the module's events,
// including the raw datagrams of other schedulers. It gets back the module's actions, including
// the datagrams to send. The planner's decisions reach the module as events.
//
// The package is a state machine without I/O. It opens no sockets, reads no clock and chooses no
// targets itself.
package decision

import (
	"time"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
	"cottonwell/internal/gossip"
)

const (
	changesInterval     = 10 * time.Millisecond   // between checks for changed loads to send
	fullStateInterval   = 600 * time.Millisecond  // between full states, sent to the schedulers concerned
	reservationInterval = 40 * time.Millisecond   // between full states while slots are reserved; no changes are sent then
	peerTimeout         = 1400 * time.Millisecond // without a message; longer than two full state intervals, as datagrams are lost
	trailingFullStates  = 2                       // full states sent to a scheduler after the last load that concerns it
)

// Timer numbers of this package. The module's own numbers are lower.
const (
	gossipTimer = uint64(1)<<61 + iota
	plannerTimer
)

// Decider decides for one scheduler: it drives the decision module and the reservation planner and
// exchanges load messages with the other schedulers.
type Decider struct {
	settings         balance.Settings
	module           *balance.Balancer
	names            map[string]gossip.Name   // hashed name of each listed target, by id
	byShortName      map[gossip.Name][]string // ids of listed targets by short name
	byName           map[gossip.Name][]string // ids of listed targets by full name
	receivedAt       []time.Duration          // time of the last message from each scheduler; 0: silent
	peerLoads        []map[string]float64     // slots that each other scheduler uses, by target
	peersAt          map[string][]int         // other schedulers that use slots, by target
	fullStatesDue    []int                    // full states still to be sent to each scheduler
	sentLoads        []gossip.Load            // own loads at the last message
	fullStateAt      time.Duration            // when the last full state was sent; 0: never
	changes          []gossip.Load            // own loads that changed since the last message
	received         gossip.Message           // the message being processed
	outgoing         gossip.Message           // the own full state
	encoded          []byte                   // buffer for a datagram
	sentReservations bool                     // the last full state contained reservations
	event            balance.Event            // buffer for events made by this package

	Unreadable int // datagrams that could not be parsed, or had an invalid sender

	planner *backfill.Planner // nil if disabled
	plannerState
}

// New returns a Decider, or an error that names the invalid setting. If plannerConfig is nil, this
// scheduler makes no reservations. It respects the reservations of others all the same.
func New(s balance.Settings, seed uint64, plannerConfig *backfill.Config) (*Decider, error) {
	module, err := balance.New(s, seed)
	if err != nil {
		return nil, err
	}
	d := &Decider{settings: s, module: module, names: map[string]gossip.Name{}, byShortName: map[gossip.Name][]string{}, byName: map[gossip.Name][]string{},
		peersAt: map[string][]int{}, receivedAt: make([]time.Duration, s.Fleet),
		peerLoads: make([]map[string]float64, s.Fleet), fullStatesDue: make([]int, s.Fleet)}
	if err := d.startPlanner(plannerConfig); err != nil {
		return nil, err
	}
	return d, nil
}

// Step processes one event at the given time, appends the resulting actions and returns the slice.
func (d *Decider) Step(now time.Duration, ev *balance.Event, actions []balance.Action) []balance.Action {
	first := len(actions)
	switch {
	case ev.Kind == balance.TimerDue && ev.Timer == gossipTimer:
		return d.sendState(now, actions)
	case ev.Kind == balance.TimerDue && ev.Timer == plannerTimer:
		return d.plannerDue(now, actions)
	case ev.Kind == balance.PeerLoads:
		return d.receive(now, ev, actions)
	case ev.Kind == balance.Listed && ev.List != balance.RequestFailed:
		d.updateNames(ev)
	}
	late := d.finishesLate(now, ev)
	actions = d.module.Step(now, ev, actions)
	actions = d.afterModule(now, ev, late, first, actions)
	if ev.Kind == balance.Listed && ev.List == balance.FromDisk {
		actions = d.sendState(now, actions)
	}
	return actions
}

// Estimate returns the module's current estimate of a target. The bool is false if the target is not listed.
func (d *Decider) Estimate(now time.Duration, target string) (balance.WorkerEstimate, bool) {
	return d.module.WorkerEstimate(now, target)
}
