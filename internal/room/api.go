// Package room plans room for large jobs: a reservation at the earliest time at which one can
// start, and small jobs in the gaps that end before it or fit beside it (EASY backfilling:
// Lifka 1995; Mu'alem and Feitelson 2001), for schedulers that see reports late and share no
// more than datagrams that may be lost. docs/design/room.md says why it is as it is.
//
// It is a state machine without I/O, like package balance: events in, actions out; it reads
// no clock, starts no goroutine and keeps no global state. Times are milliseconds on the
// host's clock. It decides where room is held, from when and what may go there beside it.
// Which target a flow goes to is the decision module's to say.
package room

import (
	"fmt"
	"slices"
)

// Mode says how room is held. The lesser ones are there to be compared with.
type Mode int

// The modes.
const (
	Backfill   Mode = iota // small jobs that end in time, or fit beside, may go where room is held
	NoBackfill             // nothing goes there, whatever it would take
	Emptying               // no expected ends: the emptiest target is held until it is empty
)

// Bounds of what the planner keeps. Beyond them nothing is held for further flows and
// targets, and they are counted; whatever they need goes on without the planner.
const (
	MaxTargets = 16384
	MaxFlows   = 65536
	maxTenants = 256 // further ones share one account
	maxSizes   = 6   // distinct numbers of slots; a further one counts as the next larger
	maxRuns    = 128 // ends looked at for one target
	maxMoves   = 3   // times that one flow's room may be sought anew
)

// Config sets a planner up.
type Config struct {
	Self, Fleet int      // number of this scheduler, and how many there are
	Classes     []string // of flows; running times are learned for each
	Mode        Mode
	Large       float64 // slots from which a flow is large
	Share       float64 // of the target group's slots that may be held at once, 0 to 1
	TenantShare float64 // of those, for one tenant; one hold it may always have
	Longest     float64 // milliseconds that a hold may last
	Confidence  float64 // share of the jobs in gaps that must end in time, 0.5 to 0.99
	SmallDrop   float64 // share of the small flows that may go unserved for what is held
}

// Default is what an operator's file leaves out.
func Default() Config {
	return Config{Fleet: 1, Large: 2, Share: 0.25, TenantShare: 0.6, Longest: 1000, Confidence: 0.9, SmallDrop: 0.02}
}

// Check returns an error that names the setting that is impossible.
func (c *Config) Check() error {
	for _, x := range []struct {
		name        string
		is, lo, hi  float64
		unit, about string
	}{
		{"large", c.Large, 1, 1024, "slots", "1 to 1024"},
		{"share", c.Share, 0, 1, "", "0% to 100%"},
		{"tenant_share", c.TenantShare, 0, 1, "", "0% to 100%"},
		{"longest", c.Longest, 1, 60_000, "ms", "1ms to 1m"},
		{"confidence", c.Confidence, 0.5, 0.99, "", "50% to 99%"},
		{"small_drop", c.SmallDrop, 0, 1, "", "0% to 100%"},
	} {
		if !(x.is >= x.lo && x.is <= x.hi) {
			return fmt.Errorf("room.%s is %g%s, and may be %s", x.name, x.is, x.unit, x.about)
		}
	}
	switch {
	case c.Fleet < 1 || c.Self < 0 || c.Self >= c.Fleet:
		return fmt.Errorf("room: scheduler %d of %d", c.Self, c.Fleet)
	case len(c.Classes) == 0 || len(c.Classes) > 64:
		return fmt.Errorf("room: %d classes, and may be 1 to 64", len(c.Classes))
	case c.Mode < Backfill || c.Mode > Emptying:
		return fmt.Errorf("room: mode %d", c.Mode)
	}
	for i, name := range c.Classes {
		if slices.Contains(c.Classes[:i], name) {
			return fmt.Errorf("room: class %q is there twice", name)
		}
	}
	return nil
}

// Kind tells events apart.
type Kind int

// The kinds of events.
const (
	Up       Kind = iota // a target is listed, or restarted: Target, Hash, Sort, Can
	Down                 // it drains or is gone: Target
	Measured             // what is believed of it: Target, Slots, Busy, Memory, Slow, Cold, Usable
	Waits                // a flow has no target yet: Flow, Class, Tenant, Need, Memory, Sort, Latest
	Begun                // an attempt was sent: Flow, Class, Need, Memory, Target
	Started              // its job runs: Flow
	Ended                // it is over: Flow, OK
	Over                 // the flow is answered or its client left: Flow, OK: served in time
	Heard                // what another scheduler holds, all of it: Who, Holds
	Due                  // the timer asked for by Wake
)

// Event is one thing that happened. Which fields count depends on Kind.
type Event struct {
	Kind   Kind
	Target string
	Hash   uint32 // of the target's name, the same at every scheduler
	Sort   string // of machine: the target's, or the one that a flow needs; empty: any
	Can    string // classes that the target runs, a comma before and behind each; empty: all
	Slots  float64
	Busy   float64 // slots taken by anybody, as believed
	Memory float64 // free at a target (below 0: unknown), or needed by a flow (0: unknown)
	Slow   float64 // how much longer than the average target it needs
	Cold   bool
	Usable float64 // not before
	Flow   uint64
	Class  string
	Tenant string
	Need   float64 // slots
	Latest float64 // a start after it is of no use
	OK     bool
	Who    int
	Holds  []Foreign
}

// Foreign is room that another scheduler holds.
type Foreign struct {
	Target string
	Slots  float64
	From   float64 // when it is needed
}

// ActionKind tells actions apart.
type ActionKind int

// The kinds of actions.
const (
	Hold  ActionKind = iota // room is held, or held otherwise: Target, Flow, Spare, Most, Last
	LetGo                   // no room is held there any more: Target, Flow, Why
	Wake                    // ask for Due at At
)

// Reason says why room was let go.
type Reason int

// The reasons.
const (
	Placed     Reason = iota // its flow began there
	Elsewhere                // its flow began at another target
	Answered                 // its flow is answered, or its client left
	TargetLeft               // the target drains or is gone
	TargetIll                // it is ejected or turned work away
	TargetCold               // it turned out cold
	NoMemory                 // it has slots and no memory
	Slipped                  // the room would come after the latest useful start
	TooLong                  // it was held for the longest time
	Settled                  // another scheduler holds the same room with more right
	Unheard                  // another scheduler's, which tells of it no more
	reasons
)

var reasonNames = [reasons]string{"placed", "elsewhere", "answered", "target-left", "target-ill", "target-cold",
	"no-memory", "slipped", "too-long", "settled", "unheard"}

func (r Reason) String() string {
	if r < 0 || r >= reasons {
		return "unknown"
	}
	return reasonNames[r]
}

// Action is one thing that the host must do, in order.
type Action struct {
	Kind   ActionKind
	Target string
	Flow   uint64    // 0: another scheduler's
	Spare  float64   // a job of so many slots takes nothing of what is held
	Most   float64   // one of so many ends in time if it is sent
	Last   []float64 // by class, until then; the planner's own, good until its next step
	At     float64
	Why    Reason
}

// Counts is what a planner has done since its start.
type Counts struct {
	Held, Moved         int // holds begun; of these, as an earlier one of the flow failed
	LetGo               [reasons]int
	Gaps, Wrong         int // small jobs sent into a gap, and those that ended too late
	TooLarge, Untenable int // large flows beyond any target; that no room could serve in time
	Refused             int // holds not begun as the share or the governor forbade them
	Bounded             int // flows and targets beyond what the planner keeps
	SmallOver, SmallHit int // small flows that are over; unserved after they waited beside held room
}
