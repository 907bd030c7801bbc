// Package backfill plans reservations for large jobs. A large job that finds no target with enough free
// slots gets a reservation at the target where it can start first. Small jobs may still run there if
// they end before the reservation begins, or fit beside it. This is EASY backfilling (Lifka 1995;
// Mu'alem and Feitelson 2001), adapted to schedulers that receive the targets' reports late and share
// no state except by datagrams that may be lost. docs/design/room.md explains the design.
//
// The planner takes events about targets, flows, attempts and the reservations of other schedulers.
// It returns actions: reserve slots at a target, release them, or request a timer. It decides at which
// target slots are reserved, from when, and which jobs may run there meanwhile. It does not choose the
// targets of flows: the decision module (package balance) does.
//
// It is a state machine without I/O, like package balance. It reads no clock, starts no goroutine and
// has no global state. Times are milliseconds on the host's clock.
package backfill

import (
	"fmt"
	"slices"
)

// Mode selects how slots are reserved. NoBackfill and Emptying exist for comparison with Backfill.
type Mode int

// The modes.
const (
	Backfill   Mode = iota // small jobs may run at a reserved target if they end before the reservation or fit beside it
	NoBackfill             // no other job may start at a reserved target
	Emptying               // expected ends are not used: the emptiest target is reserved until it is empty
)

// Limits of the planner's state. Flows and targets beyond them are counted and get no reservations.
// They are served without the planner.
const (
	MaxTargets            = 16384
	MaxFlows              = 65536
	maxTenants            = 256 // further tenants share one account
	maxSizes              = 6   // distinct numbers of slots; a further one counts as the next larger
	maxRunsPerTarget      = 128 // jobs whose expected ends are considered at one target
	maxReservationRetries = 3   // reservations for one flow after its first
)

// Config configures a planner.
type Config struct {
	Self, Fleet      int      // number of this scheduler, and number of schedulers
	Classes          []string // of flows; run times are learned for each
	Mode             Mode
	LargeSlots       float64 // slots from which a flow is large
	Share            float64 // share of the target group's slots that may be reserved at once, 0 to 1
	TenantShare      float64 // share of the reservable slots for one tenant, 0 to 1; each may have one reservation in any case
	MaxDuration      float64 // longest duration of a reservation, ms
	Confidence       float64 // share of the backfilled jobs that must end before the reservation begins, 0.5 to 0.99
	MaxSmallUnserved float64 // share of the small flows that may go unserved because of reservations, 0 to 1
}

// Default returns the values of the settings that an operator's file omits.
func Default() Config {
	return Config{Fleet: 1, LargeSlots: 2, Share: 0.25, TenantShare: 0.6, MaxDuration: 1000, Confidence: 0.9, MaxSmallUnserved: 0.02}
}

// Check returns an error that names the first invalid setting, or nil.
func (c *Config) Check() error {
	for _, setting := range []struct {
		name                   string
		value, lowest, highest float64
		unit, allowed          string
	}{
		{"large", c.LargeSlots, 1, 1024, "slots", "1 to 1024"},
		{"share", c.Share, 0, 1, "", "0% to 100%"},
		{"tenant_share", c.TenantShare, 0, 1, "", "0% to 100%"},
		{"longest", c.MaxDuration, 1, 60_000, "ms", "1ms to 1m"},
		{"confidence", c.Confidence, 0.5, 0.99, "", "50% to 99%"},
		{"small_drop", c.MaxSmallUnserved, 0, 1, "", "0% to 100%"},
	} {
		if !(setting.value >= setting.lowest && setting.value <= setting.highest) {
			return fmt.Errorf("room.%s is %g%s, and may be %s", setting.name, setting.value, setting.unit, setting.allowed)
		}
	}
	switch {
	case c.Fleet < 1 || c.Self < 0 || c.Self >= c.Fleet:
		return fmt.Errorf("backfill: scheduler %d is not in a fleet of %d", c.Self, c.Fleet)
	case len(c.Classes) == 0 || len(c.Classes) > 64:
		return fmt.Errorf("backfill: %d classes, and may be 1 to 64", len(c.Classes))
	case c.Mode < Backfill || c.Mode > Emptying:
		return fmt.Errorf("backfill: unknown mode %d", c.Mode)
	}
	for i, name := range c.Classes {
		if slices.Contains(c.Classes[:i], name) {
			return fmt.Errorf("backfill: class %q is listed twice", name)
		}
	}
	return nil
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	TargetUp       EventKind = iota // a target is listed, or restarted: Target, Hash, MachineKind, AllowedClasses
	TargetDown                      // a target drains or is gone: Target
	TargetMeasured                  // new estimates of a target: Target, Slots, Busy, Memory, Slowdown, Cold, UsableFrom
	FlowQueued                      // a flow has no target yet: Flow, Class, Tenant, Need, Memory, MachineKind, LatestStart
	AttemptSent                     // an attempt was sent: Flow, Class, Need, Memory, Target
	AttemptStarted                  // the job of an attempt runs: Flow
	AttemptEnded                    // an attempt ended: Flow, OK
	FlowDone                        // the flow has its final response or its client left: Flow, OK if served before its deadline
	PeerReserved                    // all reservations of another scheduler: Peer, Reservations
	TimerDue                        // the timer requested by Wake
)

// Event is an input of the planner. Its Kind determines which fields are set.
type Event struct {
	Kind           EventKind
	Target         string
	Hash           uint32  // of the target's name, the same at every scheduler
	MachineKind    string  // kind of the target, or the kind that a flow needs; empty: any
	AllowedClasses string  // classes that the target runs, with a comma before and after each; empty: all
	Slots          float64 // of the target
	Busy           float64 // estimated slots in use by all schedulers
	Memory         float64 // units free at a target (below 0: unknown), or needed by a flow (0: unknown)
	Slowdown       float64 // run time at the target relative to the average target
	Cold           bool    // the target is warming up
	UsableFrom     float64 // when the target accepts jobs again, ms
	Flow           uint64
	Class          string
	Tenant         string
	Need           float64 // slots that the flow needs
	LatestStart    float64 // latest useful start of the flow, ms
	OK             bool
	Peer           int // number of another scheduler
	Reservations   []PeerReservation
}

// PeerReservation is a reservation of another scheduler.
type PeerReservation struct {
	Target string
	Slots  float64
	From   float64 // when its flow can start, ms
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Reserve ActionKind = iota // make or change a reservation: Target, Flow, SpareSlots, BackfillSlots, BackfillUntil
	Release                   // remove the reservation: Target, Flow, Reason
	Wake                      // request TimerDue at the time At
)

// Reason is why a reservation was released.
type Reason int

// The reasons.
const (
	Placed          Reason = iota // its flow was sent to the target
	Elsewhere                     // its flow was sent to another target
	Answered                      // its flow has its final response, or the client left
	TargetLeft                    // the target drains or is gone
	TargetUnhealthy               // the target is ejected or rejected work
	TargetCold                    // the target is cold
	NoMemory                      // the target will have the slots, but not the memory
	TooLate                       // the slots would be free after the latest useful start
	Expired                       // it reached the longest duration
	Superseded                    // a reservation of another scheduler for the same slots takes precedence
	NotReported                   // it is another scheduler's, which no longer reports it
	reasonCount
)

var reasonNames = [reasonCount]string{"placed", "elsewhere", "answered", "target-left", "target-ill", "target-cold",
	"no-memory", "slipped", "too-long", "settled", "unheard"}

// String returns the name of the reason, as in the log.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Action is an output of the planner. The host must execute actions in order.
type Action struct {
	Kind          ActionKind
	Target        string
	Flow          uint64    // 0: a flow of another scheduler
	SpareSlots    float64   // a job with up to this many slots fits beside the reservation
	BackfillSlots float64   // a job with up to this many slots may be sent until BackfillUntil
	BackfillUntil []float64 // by class, ms; owned by the planner, valid until its next step
	At            float64   // ms
	Reason        Reason
}

// Counts are the planner's totals since its start.
type Counts struct {
	Reserved, Moved            int              // reservations made; those of them that replaced a failed one of the flow
	Released                   [reasonCount]int // reservations released, by reason
	Backfilled, BackfilledLate int              // small jobs backfilled before a reservation; those of them that ended too late
	TooLarge, NoUsefulStart    int              // large flows larger than any target; searches that found no target before the latest start
	Refused                    int              // reservations rejected because of the shares or the adjusted scale
	OverLimit                  int              // flows and targets beyond the planner's limits
	SmallDone, SmallUnserved   int              // small flows that ended; those of them unserved after they waited beside a reservation
}
