// Package core is the scheduler between its fronts: flows, their attempts and the
// outcomes of these. It knows no wire. One goroutine owns the decision module and
// all flow state; whatever happens outside reaches it as an event by channel.
//
// A flow passes a chain of stages, each in a file of its own: take in (takein.go),
// admit (admit.go), route (route.go), send (send.go), relay (relay.go), book (book.go).
package core

import (
	"cottonwell/balance"
	"cottonwell/internal/buffer"
)

// Request is what a front takes in from a client.
type Request struct {
	ID       string // the client's name for it, new with every request
	Class    string
	Tenant   string
	Subject  string  // what it is about, or empty
	Patience float64 // milliseconds until the client leaves
	Slots    float64
	Memory   float64 // units that it needs, 0 when unknown
	Hint     float64 // expected work in milliseconds, 0 when unknown
	Repeat   bool    // the client marks it as a later try
	First    bool    // the front knows that it is none
	Job      Job
	From     Listener
}

// Job is what a target is asked to do; it passes on unchanged.
type Job struct {
	Method, Path string       // what is asked for, in the words of the request line
	Key          string       // the key by which targets drop repeats, or empty
	Type         string       // content type, or empty
	Body         *buffer.Body // may be nil
	Function     string       // the one that a target must have, or empty: any of the class
	Unique       string       // by which the client knows a repeat, or empty
	Priority     int          // higher goes first; 0 is the usual
}

// Listener is the client's side of a flow. Both calls come from the core's goroutine
// and must not block. Answer comes exactly once, unless the client left first.
type Listener interface {
	Answer(Answer)
	Progress(Progress)
}

// AnswerKind tells final answers apart.
type AnswerKind int

// The kinds of final answers.
const (
	Served  AnswerKind = iota // Body holds a target's result
	Refused                   // fixed response: to try again does no harm
	Failed                    // fixed response: no promise about the effect
)

// Answer is the final answer of a flow.
type Answer struct {
	Kind       AnswerKind
	Body       string
	RetryAfter float64        // Refused: when to come back, in milliseconds
	TimedOut   bool           // Failed: because time ran out
	Reason     balance.Reason // Refused, Failed: why, for the log
}

// Progress is news of a running attempt.
type Progress struct {
	Started   bool
	Fraction  float64 // share done, if not Started
	Data      string  // a part of the result, if the target sends it early
	Warning   bool    // Data is a warning
	Exception bool    // Data is an exception
}

// Ref names an attempt: the flow's number and the attempt's within it.
type Ref struct {
	Flow uint64
	N    int
}

// Attempt is what a transport is given to start.
type Attempt struct {
	Ref
	ID       string // the client's name for the request
	Class    string
	Target   string
	Job      Job     // its body is held for the transport until it calls Release; not given to Cancel
	Deadline float64 // when the core stops waiting, on its clock; not given to Cancel
	Latest   float64 // when it may leave at the latest: the class may not be repeated later, or the target's lease ends (0: no limit); not given to Cancel
	Unsent   bool    // for Cancel: only if nothing of it has left, and with no word to the target
}

// Transport reaches the targets of one source. All calls come from the core's
// goroutine and must not block. Each Start is followed by one Outcome for its Ref;
// Cancel asks for it to come soon. Each Probe is followed by one ProbeResult.
type Transport interface {
	Start(Attempt)
	Cancel(Attempt)
	Probe(target string)
	// Listed tells of the list as it now is, before anything is sent by it.
	Listed(Group)
}

// Source is a transport together with who tells of its targets.
type Source struct {
	Name      string
	Transport Transport
	// Watch asks for the list and its changes; nil where changes come unasked.
	Watch func()
}

// Target is an entry of the target group.
type Target struct {
	balance.Member
	Address string
	// StartedMS is when it last started, on the core's clock; 0 for long ago.
	StartedMS float64
}

// Group is a list of targets or of changes to it.
type Group struct {
	Scope   balance.ListScope
	Targets []Target
	// ReadAt is when its first byte was read, on the core's clock. It counts for what a source that is watched tells.
	ReadAt float64
}

// Outcome tells how an attempt ended.
type Outcome struct {
	Ref
	Result balance.Result
	Report balance.Report
	Body   string // of a served one
}

// TargetNews is what a target says by itself, not as the answer to a send.
type TargetNews struct {
	ID, From string // the request's, and the target's name
	Progress *Progress
	Result   balance.Result // if Progress is nil: how the attempt ended
	Report   balance.Report
	Body     string
	PassedOn bool // by another process of this scheduler, to which it came
}

// ProbeResult is how a probe ended.
type ProbeResult struct {
	Target  string
	Result  balance.Result
	SentAt  float64 // when it was asked for, on the core's clock
	Elapsed float64
	Report  balance.Report
	// NotReady says that the target runs and answered that it takes nothing new.
	NotReady bool
}
