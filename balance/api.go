// Package balance decides, for one dispatcher, which worker each job goes to,
// when it waits, when it is tried again and when it is refused.
//
// This file is the interface: settings, events and actions. The decisions are
// in the files beside it, by concern. The package is a state machine without I/O: it reads no
// clock, starts no goroutine and keeps no global state, so the same settings,
// seed and events always give the same actions.
package balance

import (
	"fmt"
	"slices"
	"time"
)

// Effect says what repeating a request would do.
type Effect int

// The kinds of effect a class may have.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped by one group of workers for a while
	Unsafe               // must not run twice
)

// Scope names the group of workers that together drop repeats of a keyed request.
type Scope int

// The scopes of a keyed class.
const (
	ScopeAll  Scope = iota // every worker
	ScopeZone              // the workers of one zone
	ScopeCell              // the workers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name     string
	Effect   Effect
	Scope    Scope         // for Keyed
	Window   time.Duration // for Keyed: how long repeats are remembered
	Aim      time.Duration // the answer is wanted within Aim + Stretch x own work
	Stretch  float64
	Deadline time.Duration // the client's patience over all its tries
	Worth    float64
	Late     float64 // share of Worth that an answer after the aim still earns
	Kind     string  // machine kind required, or empty
	Stream   bool    // the answer is streamed
	InOrder  bool    // requests of one key run one at a time, in the order in which they were taken
}

// Prices are the points of service lost for each unit of a cost.
type Prices struct {
	CrossZone, Waste, LateFail, Handshake, Connection, Probe, Fetch float64
}

// Goal holds the weights of the parts of the result.
type Goal struct {
	Whole, WorstWindow, WorstClass float64
}

// Settings are what a dispatcher is told at its start.
type Settings struct {
	Self, Fleet    int    // number of this dispatcher, and how many there are
	Zone           string // its zone
	Classes        []Class
	Tick           time.Duration // the host's smallest step of time
	ByWork         bool          // worth is counted for each unit of work
	ReportsFree    bool          // reports carry free slots
	TellsStart     bool          // workers tell when a job starts
	ProgressEvery  time.Duration // interval of progress notes, 0 for none
	Subscribe      bool          // the worker list must be asked for
	MaxAttempts    int
	Duplicates     bool          // two attempts of a request may be outstanding at once
	Cancel         bool          // attempts may be cancelled
	Probes         bool          // workers may be probed
	Peers          bool          // dispatchers may send one another short messages, which may be lost
	MaxRetryAfter  time.Duration // the longest advice to stay away that clients honour, 0 if they hear none
	StreamsPerConn int
	ConnIdle       time.Duration
	DialTimeout    time.Duration
	Prices         Prices
	Goal           Goal
	AnswerSlack    time.Duration // a final answer may come this long after the deadline
	AskWithin      time.Duration // without asking for this long, the list counts as known
	ColdFrom       float64       // a worker starts with this share of its capacity
	ColdFor        time.Duration // and is warm after this time at the latest
	DrainGrace     time.Duration
	FallMultiple   float64 // a cold worker sent this multiple of its capacity
	FallWindow     time.Duration
	MarksRepeat    bool          // clients mark their later tries
	OrderRest      time.Duration // InOrder: a key rests so long after an attempt that may still run
	ExtraFree      float64       // attempts beyond each request's first in a window: so many
	ExtraRatio     float64       // and this share of the requests taken in it
	ExtraWindow    time.Duration // that window; 0 for no such limit
	FullMayHaveRun bool          // workers answer 'full' for work that they had begun, too
	Tenants        []Tenant      // those with shares of the fleet
	BeyondWorth    float64       // share of a request's worth that it has beyond its tenant's share
}

// apart says whether there are other dispatchers whose work this one does not hear of.
func (s *Settings) apart() bool { return !s.Peers && s.Fleet > 1 }

// Tenant has a share of what the fleet serves.
type Tenant struct {
	Name      string
	Allowance float64 // requests a second that lie within it, at all dispatchers together
}

// check returns an error that says which settings are impossible.
func (s *Settings) check() error {
	switch {
	case s.Fleet < 1 || s.Self < 0 || s.MaxAttempts < 1 || len(s.Classes) == 0:
		return fmt.Errorf("balance: dispatcher %d of %d, %d attempts allowed, %d classes",
			s.Self, s.Fleet, s.MaxAttempts, len(s.Classes))
	case !(s.ColdFrom > 0 && s.ColdFrom <= 1 && s.FallMultiple > 0) || min(s.ColdFor, s.FallWindow) < 0:
		return fmt.Errorf("balance: cold rule with share ColdFrom %g, ColdFor %v, FallMultiple %g, FallWindow %v",
			s.ColdFrom, s.ColdFor, s.FallMultiple, s.FallWindow)
	case min(s.Tick, s.AnswerSlack, s.AskWithin, s.DrainGrace) < 0:
		return fmt.Errorf("balance: a negative time: Tick %v, AnswerSlack %v, AskWithin %v, DrainGrace %v",
			s.Tick, s.AnswerSlack, s.AskWithin, s.DrainGrace)
	case !(s.ExtraFree >= 0 && s.ExtraRatio >= 0) || s.ExtraWindow < 0:
		return fmt.Errorf("balance: budget of further attempts with ExtraFree %g, ExtraRatio %g, ExtraWindow %v",
			s.ExtraFree, s.ExtraRatio, s.ExtraWindow)
	case !(s.BeyondWorth >= 0):
		return fmt.Errorf("balance: worth beyond a share is %g", s.BeyondWorth)
	case s.OrderRest < 0:
		return fmt.Errorf("balance: a key that rests for OrderRest %v", s.OrderRest)
	}
	for i, c := range s.Classes {
		if min(c.Aim, c.Window, c.Deadline-1) < 0 || !(c.Worth >= 0 && c.Stretch >= 0) ||
			slices.ContainsFunc(s.Classes[:i], func(x Class) bool { return x.Name == c.Name }) {
			return fmt.Errorf("balance: class %q is there twice or has an impossible figure", c.Name)
		}
	}
	return nil
}

// EventKind tells events apart.
type EventKind int

// The kinds of events.
const (
	Arrived   EventKind = iota // a request: Request, Class, Key, Budget, Hint, Slots, Repeat
	Departed                   // its client left, or its time is over: Request
	Ended                      // an attempt ended: Request, Attempt, Worker, Result, Final, Elapsed, Report
	Noted                      // news of an attempt: Request, Attempt, Worker, Started or Fraction
	Streaming                  // a streamed answer has begun: Request, Attempt, Worker
	Listed                     // the worker list: Scope, Members
	Probed                     // the answer to a probe: Worker, Result, Elapsed, Report
	TimerDue                   // a timer came due: Timer
	PeerSpoke                  // what another dispatcher has out: Who, Loads
	Kept                       // room is held or let go at a worker: Worker, Request, Keep
	Judged                     // by one scheduler for all: Worker gets nothing for Elapsed; 0: it may be tried again
	Ruled                      // what the schedulers agreed on: Caps, Cold
	Answered                   // discovery has answered another dispatcher lately
	Shared                     // likewise, for Elapsed: the Parts of what tenants ask that lie within their shares
)

// Result says how an attempt or a probe ended.
type Result int

// The results. What each proves about the attempt is for the module to say.
const (
	OK Result = iota
	Failed
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	NeverSent
)

var resultNames = [...]string{"served", "failed", "full", "timed out", "no connection", "reset", "cancelled", "never sent"}

func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return fmt.Sprintf("result %d", int(r))
	}
	return resultNames[r]
}

// ListScope says what a worker list holds.
type ListScope int

// The scopes of a worker list.
const (
	Changes   ListScope = iota // changed entries only
	Whole                      // the complete list
	FromDisk                   // the complete list as last held, perhaps stale
	AskFailed                  // a call failed or the subscription broke; no entries
)

// State is a worker's state in the list.
type State int

// The states.
const (
	Ready State = iota
	Draining
	Gone
	Suspended // listed, and nothing may be sent to it until it is told to be Ready again
)

// Member is an entry of the worker list.
type Member struct {
	ID, Zone, Kind, Cell string
	State                State
	Weight               float64
	Started              time.Duration // clock time of the last start, 0 for long ago
	Classes              string        // names of those that it can run, a comma before and behind each; empty: all
}

// Report holds a worker's figures; a figure not reported is below 0.
type Report struct {
	Present                 bool
	InFlight, Waiting, Free float64
	Memory                  float64 // free memory, in units of one slot's usual share; 0 where none is reported
}

// Keep is room that is held at a worker for one request, and what may go there beside it.
type Keep struct {
	Request uint64                   // for whom; 0: for another dispatcher's
	Spare   float64                  // a job of so many slots takes nothing of it
	Most    float64                  // one of so many ends in time, if it is sent
	Last    map[string]time.Duration // by class, until then
}

// Event is one thing that happened. Which fields count depends on Kind.
type Event struct {
	Kind     EventKind
	Request  uint64
	Attempt  int
	Worker   string
	Result   Result
	Final    bool // the request has its final answer
	Elapsed  time.Duration
	Report   Report
	Started  bool
	Fraction float64
	Class    string
	Key      string        // subject of the request, or empty
	Budget   time.Duration // time until the client leaves
	Hint     time.Duration // expected work, 0 when unknown
	Slots    float64
	Repeat   bool
	First    bool // surely no later try, whatever its budget
	Priority int  // held requests of a higher one go first; 0 is the usual
	List     ListScope
	Members  []Member
	Local    bool // Listed: this scheduler's own doing, not an answer of discovery
	Timer    uint64
	Who      int                // number of the dispatcher that speaks
	Raw      string             // what it says, any bytes: for those who host the module
	Loads    map[string]float64 // what that means: slots out, by worker
	Keep     *Keep              // nil: let go
	Tenant   string
	Parts    map[string]float64 // by tenant; none: all of it
	Caps     map[string]int     // by class, attempts of a request; none: as the settings have it
	Cold     float64            // part of what a cold worker may be sent by the settings
	Memory   float64            // units of memory that it needs, 0 when unknown
}

// ActionKind tells actions apart.
type ActionKind int

// The kinds of actions.
const (
	Send      ActionKind = iota // begin an attempt: Request, Worker, After is its time-out (0: none)
	Refuse                      // final: a retry does no harm: Request, After is advice (0: none)
	Fail                        // final, without a promise: Request
	Cancel                      // stop waiting for an attempt: Request, Attempt
	Wake                        // ask for TimerDue after After: Timer
	Probe                       // probe Worker
	Subscribe                   // ask for the list and its changes
	Say                         // a line for the log: Text
	Tell                        // a message to other dispatchers: Raw, at most 256 bytes, and To
	Doubt                       // for whoever examines: Worker gets no jobs for a while, as it is silent, or Failing
)

// Action is one thing the host must do, in order. Which fields count depends on Kind.
type Action struct {
	Kind    ActionKind
	Request uint64
	Attempt int
	Worker  string
	After   time.Duration
	Timer   uint64
	Text    string
	Raw     string
	To      []int // numbers of dispatchers; nil: every other
	Failing bool
	Reason  Reason // of Refuse, Fail and Cancel
}
