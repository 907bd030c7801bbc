// Package balance decides, for one dispatcher, which worker each request goes to, when it waits, when it is
// retried and when it is refused. A dispatcher is one scheduler of a fleet; a worker is a target that runs jobs.
//
// The host gives a Balancer its settings and a random seed, then passes each event to Step: an arrived request,
// an attempt that started or ended, a change of the worker list, a message of another dispatcher, a timer. Step
// returns the actions that the host must carry out in order, such as starting an attempt, refusing a request or
// setting a timer.
//
// The package is a state machine without I/O. It opens no connections, reads no clock, starts no goroutine and
// keeps no global state. The same settings, seed and events always give the same actions. A Balancer is not
// safe for concurrent use.
//
// This file defines the settings, events and actions. The other files hold the decisions, one concern each.
package balance

import (
	"fmt"
	"slices"
	"time"
)

// Effect is the effect of running a request more than once.
type Effect int

// The effects that a class may have.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // one group of workers drops repeats for a limited time
	Unsafe               // must not run twice
)

// Scope is the group of workers that together drop repeats of a keyed request.
type Scope int

// The scopes of a keyed class.
const (
	ScopeAll  Scope = iota // every worker
	ScopeZone              // the workers of one zone
	ScopeCell              // the workers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name          string
	Effect        Effect
	Scope         Scope         // for Keyed
	Window        time.Duration // for Keyed: how long workers remember a request and drop its repeats
	LatencyTarget time.Duration // fixed part of the latency target; Stretch x the time of the request's own work is added
	Stretch       float64
	Deadline      time.Duration // client timeout over all tries
	Value         float64       // value of a response within the latency target
	LateShare     float64       // share of Value that a response after the latency target still earns
	Kind          string        // machine kind required, or empty
	Stream        bool          // the response is streamed
	InOrder       bool          // requests of one key run one at a time, in the order in which they were accepted
}

// Prices are the points of service lost for each unit of a cost.
type Prices struct {
	CrossZone, Waste, LateFail, Handshake, Connection, Probe, Fetch float64
}

// Goal holds the weights of the parts of the overall score.
type Goal struct {
	Whole, WorstWindow, WorstClass float64
}

// Settings are what a dispatcher is configured with at its start.
type Settings struct {
	Self, Fleet        int    // number of this dispatcher, and how many there are
	Zone               string // zone of this dispatcher
	Classes            []Class
	Tick               time.Duration // time resolution of the host
	ByWork             bool          // Value counts for each unit of work
	ReportsFree        bool          // reports carry the number of free slots
	ReportsStart       bool          // workers report the start of a job
	ProgressEvery      time.Duration // interval of progress reports; 0 for none
	Subscribe          bool          // the dispatcher must query discovery for the worker list
	MaxAttempts        int           // attempts of one request, the first included
	Duplicates         bool          // two attempts of a request may be in flight at once
	Cancel             bool          // attempts may be cancelled
	Probes             bool          // workers may be probed
	Peers              bool          // dispatchers may send one another short messages, which may be lost
	MaxRetryAfter      time.Duration // longest retry-after that clients honour; 0 if they honour none
	StreamsPerConn     int
	ConnIdle           time.Duration // idle time after which a connection is closed
	DialTimeout        time.Duration
	Prices             Prices
	Goal               Goal
	ResponseSlack      time.Duration // time after the deadline within which a final response is still accepted
	MaxQueryInterval   time.Duration // the list counts as known once no query was sent for this long
	ColdFrom           float64       // share of its capacity that a worker has at its start
	ColdFor            time.Duration // time after its start at which a worker is warm at the latest
	DrainGrace         time.Duration
	CollapseMultiple   float64       // a cold worker that is sent this multiple of its capacity collapses
	CollapseWindow     time.Duration // window over which CollapseMultiple is measured
	ClientsMarkRetries bool          // clients mark their later tries
	KeyPause           time.Duration // InOrder: pause of a key after an attempt that may still run
	RetryBudgetFree    float64       // attempts beyond each request's first that are allowed in a window
	RetryBudgetRatio   float64       // further attempts allowed for each request accepted in the window
	RetryBudgetWindow  time.Duration // length of that window; 0 for no limit
	FullMayHaveRun     bool          // workers respond 'full' to work that they had begun, too
	Tenants            []Tenant      // tenants with shares of the fleet
	BeyondShareValue   float64       // share of its value that a request beyond its tenant's share keeps
}

// isolated reports whether there are other dispatchers and no messages between them about their load.
func (s *Settings) isolated() bool { return !s.Peers && s.Fleet > 1 }

// Tenant has a share of the requests that the fleet serves.
type Tenant struct {
	Name      string
	Allowance float64 // requests a second that are within its share, over all dispatchers
}

// validate returns an error that names the first impossible setting, or nil.
func (s *Settings) validate() error {
	switch {
	case s.Fleet < 1 || s.Self < 0 || s.MaxAttempts < 1 || len(s.Classes) == 0:
		return fmt.Errorf("balance: impossible settings: dispatcher %d of %d, %d attempts allowed, %d classes",
			s.Self, s.Fleet, s.MaxAttempts, len(s.Classes))
	case !(s.ColdFrom > 0 && s.ColdFrom <= 1 && s.CollapseMultiple > 0) || min(s.ColdFor, s.CollapseWindow) < 0:
		return fmt.Errorf("balance: impossible settings for cold workers: ColdFrom %g, ColdFor %v, CollapseMultiple %g, CollapseWindow %v",
			s.ColdFrom, s.ColdFor, s.CollapseMultiple, s.CollapseWindow)
	case min(s.Tick, s.ResponseSlack, s.MaxQueryInterval, s.DrainGrace) < 0:
		return fmt.Errorf("balance: negative duration: Tick %v, ResponseSlack %v, MaxQueryInterval %v, DrainGrace %v",
			s.Tick, s.ResponseSlack, s.MaxQueryInterval, s.DrainGrace)
	case !(s.RetryBudgetFree >= 0 && s.RetryBudgetRatio >= 0) || s.RetryBudgetWindow < 0:
		return fmt.Errorf("balance: impossible budget of further attempts: RetryBudgetFree %g, RetryBudgetRatio %g, RetryBudgetWindow %v",
			s.RetryBudgetFree, s.RetryBudgetRatio, s.RetryBudgetWindow)
	case !(s.BeyondShareValue >= 0):
		return fmt.Errorf("balance: impossible BeyondShareValue %g", s.BeyondShareValue)
	case s.KeyPause < 0:
		return fmt.Errorf("balance: negative KeyPause %v", s.KeyPause)
	}
	for i, c := range s.Classes {
		if min(c.LatencyTarget, c.Window, c.Deadline-1) < 0 || !(c.Value >= 0 && c.Stretch >= 0) ||
			slices.ContainsFunc(s.Classes[:i], func(x Class) bool { return x.Name == c.Name }) {
			return fmt.Errorf("balance: class %q is defined twice or has an impossible value", c.Name)
		}
	}
	return nil
}

// EventKind is the kind of an event.
type EventKind int

// The kinds of events, with the fields that each uses.
const (
	Arrived       EventKind = iota // a request arrived: Request, Class, Key, Budget, Hint, Slots, MarkedRetry
	Departed                       // the client left or its deadline passed: Request
	Ended                          // an attempt ended: Request, Attempt, Worker, Result, Final, Elapsed, Report
	Progressed                     // an attempt reported progress: Request, Attempt, Worker, Started or Fraction
	Streaming                      // a streamed response has begun: Request, Attempt, Worker
	Listed                         // the worker list: List, Members
	Probed                         // the response to a probe: Worker, Result, Elapsed, Report
	TimerDue                       // a timer fired: Timer
	PeerLoads                      // another dispatcher announced its load: Peer, Loads
	Reserved                       // capacity of a worker was reserved, or released if Reservation is nil: Worker, Request, Reservation
	WorkerEjected                  // a decision for all schedulers: Worker gets no jobs for Elapsed; 0: it may be tried
	RulesChanged                   // the limits that the schedulers agreed on: MaxAttempts, ColdFactor
	PeerGotList                    // discovery recently sent a response to another dispatcher
	TenantShares                   // a decision for all schedulers, valid for Elapsed: TenantParts of demand within the tenants' shares
)

// Result is the outcome of an attempt or a probe.
type Result int

// The results. This package decides what each proves about the attempt.
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

// String returns the name of the result.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return fmt.Sprintf("result %d", int(r))
	}
	return resultNames[r]
}

// ListScope is the content of a worker list.
type ListScope int

// The scopes of a worker list.
const (
	Changes       ListScope = iota // changed entries only
	Complete                       // the complete list
	FromDisk                       // the complete list as last stored, perhaps stale
	RequestFailed                  // a query failed or the watch ended; no entries
)

// State is the state of a worker in the list.
type State int

// The states of a worker.
const (
	Ready State = iota
	Draining
	Gone
	Suspended // listed, but nothing may be sent to it until it is listed as Ready again
)

// Member is an entry of the worker list.
type Member struct {
	ID, Zone, Kind, Cell string
	State                State
	Weight               float64
	Started              time.Duration // clock time of the last start; 0 for long ago
	Classes              string        // names of the classes that it runs, with a comma before and after each; empty: all
}

// Report holds the load figures of a worker. A figure that was not reported is below 0.
type Report struct {
	Present                 bool
	InFlight, Waiting, Free float64
	Memory                  float64 // free memory, in units of the usual share of one slot; 0 if not reported
}

// Reservation is a reservation of a worker's capacity for one request, with the limits for other requests at that worker.
type Reservation struct {
	Request       uint64                   // the request that it is for; 0: a request of another dispatcher
	SpareSlots    float64                  // slots that other requests may take without touching the reservation
	BackfillSlots float64                  // slots of the largest request that ends before the reservation starts
	BackfillUntil map[string]time.Duration // by class: latest time to send a request of up to BackfillSlots
}

// EarlierRun is an attempt of an earlier request that the same client repeats with a new one. It may have run or may still run.
type EarlierRun struct {
	Zone, Cell string // of its worker
	SentAt     time.Duration
}

// Event is one thing that happened. Kind determines which fields are used.
type Event struct {
	Kind        EventKind
	Request     uint64
	Attempt     int
	Worker      string
	Result      Result
	Final       bool // the request has its final response
	Elapsed     time.Duration
	Report      Report
	Started     bool
	Fraction    float64
	Class       string
	Key         string        // subject of the request, or empty
	Budget      time.Duration // time until the client leaves
	Hint        time.Duration // expected work; 0 if unknown
	Slots       float64
	MarkedRetry bool
	FirstTry    bool        // certainly the client's first try, whatever its Budget
	Priority    int         // queued requests of a higher priority go first; 0 is usual
	Earlier     *EarlierRun // Arrived: the request repeats one that may have run; nil: it does not
	List        ListScope
	Members     []Member
	Local       bool // Listed: a change made by this scheduler, not a response of discovery
	Timer       uint64
	Peer        int                // number of the dispatcher that sent the message
	Raw         string             // its message, any bytes; for the host
	Loads       map[string]float64 // the decoded message: slots that its attempts take, by worker
	Reservation *Reservation       // nil: the reservation is released
	Tenant      string
	TenantParts map[string]float64 // by tenant; a tenant without an entry: all of it
	MaxAttempts map[string]int     // by class: attempts of a request; no entry: Settings.MaxAttempts applies
	ColdFactor  float64            // part of the load that the settings allow for a cold worker
	Memory      float64            // units of memory that the request needs; 0 if unknown
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of actions, with the fields that each uses.
const (
	Send          ActionKind = iota // start an attempt: Request, Worker, After is its timeout (0: none)
	Refuse                          // final response, a retry does no harm: Request, After is the retry-after (0: none)
	Fail                            // final response without that guarantee: Request
	Cancel                          // stop waiting for an attempt: Request, Attempt
	Wake                            // deliver TimerDue after After: Timer
	Probe                           // probe Worker
	Subscribe                       // query discovery for the list and watch its changes
	Log                             // write Text to the log
	SendToPeers                     // send a message to other dispatchers: Raw, at most 256 bytes, and To
	SuspectWorker                   // report a suspicion: Worker gets no jobs for a while, as it is silent, or Failing
)

// Action is one thing that the host must do. Actions are done in order. Kind determines which fields are used.
type Action struct {
	Kind    ActionKind
	Request uint64
	Attempt int
	Worker  string
	After   time.Duration
	Timer   uint64
	Text    string
	Raw     string
	To      []int // numbers of the receiving dispatchers; nil: every other
	Failing bool
	Reason  Reason // of Refuse, Fail and Cancel
}
