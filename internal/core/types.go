// Package core runs the request flows of one scheduler, independently of any wire protocol.
//
// A flow is one client request from its acceptance until it has its final response and no attempt of it is outstanding.
// Listeners submit requests with Core.Accept. They receive progress and, unless the client left, exactly one final response
// through the ResponseReceiver interface. The decision module (package decision) chooses the target of each attempt and decides about
// refusals, cancellations and retries. Core carries these decisions out through the Transport of the target's Source. It
// enforces the rules that apply to any decision, such as the limit on attempts and the repeat rules of a class.
//
// A flow passes through these stages:
//
//   - accept: create the flow from a request;
//   - admit: pass the flow to the decision module, or reject it with a fixed response;
//   - route: run the decision module on the pending events and perform its actions;
//   - dispatch: start an attempt at a target;
//   - deliver: pass progress and the final response to the client;
//   - record: update the counters and remove the finished flow.
//
// New is given the settings, the clock, the sources of targets and the functions to call for other components. Run
// executes the core: its goroutine owns the decision module and all flow state. The other methods may be called from any
// goroutine and post an event to it.
//
// Core also keeps the lease on the list of the watched source, applies the rules that the schedulers agreed on and keeps
// targets offline for maintenance. It does not parse or write messages of a protocol, open connections or choose targets.
// Times are milliseconds on the configured clock, and durations are milliseconds.
package core

import (
	"cottonwell/balance"
	"cottonwell/internal/buffer"
)

// Request is a client request as a listener submits it.
type Request struct {
	ID              string // chosen by the client, unique per request
	Class           string
	Tenant          string
	Subject         string  // key of what the request is about, or empty
	ClientTimeoutMS float64 // client timeout in milliseconds
	Slots           float64
	Memory          float64 // memory units required, 0 if unknown
	ExpectedWorkMS  float64 // expected work in milliseconds, 0 if unknown
	MarkedRetry     bool    // the client marked it as a retry
	FirstTry        bool    // the listener is sure that it is not a retry
	Job             Job
	Receiver        ResponseReceiver
	// RepeatKey identifies the job for a class whose requests must not be repeated and have no key at targets; empty if unknown.
	RepeatKey string
}

// Job is the work for a target. Core forwards it unchanged. The listener checks that its texts can be part of a message to any
// target: printable ASCII, except for Unique, which may contain any byte but NUL.
type Job struct {
	Method, Path string       // as in the request line
	Key          string       // idempotency key by which targets drop repeats, or empty
	Type         string       // content type, or empty
	Body         *buffer.Body // may be nil
	Function     string       // function that the target must offer; empty: any target of the class
	Unique       string       // the client's key for recognizing a repeat, or empty
	Priority     int          // higher is served first; 0 is normal
}

// ResponseReceiver receives the progress and the final response of a flow for its client. Core calls the methods from its
// own goroutine, so they must not block. It calls Respond exactly once, or never if the client left first.
type ResponseReceiver interface {
	Respond(Response)
	Progress(Progress)
	// Partial receives output that an attempt sends before its end, and decides what becomes of it.
	Partial(PartialOutput) PartialHandling
}

// PartialOutput is output that an attempt sends before its end.
type PartialOutput struct {
	Kind PartialKind
	Data string // not empty
}

// PartialKind is the kind of partial output.
type PartialKind int

// The kinds of partial output.
const (
	PartialResult PartialKind = iota // the first part of the result, or the next one
	Warning
	Exception
)

// PartialHandling is what becomes of partial output.
type PartialHandling int

// The ways to handle partial output.
const (
	Ignored  PartialHandling = iota // no client wants it
	HeldBack                        // core holds it back, and puts it before the rest of the attempt's result
	PassedOn                        // a client has it, so no other attempt may answer the flow
)

// ResponseKind is the kind of a final response.
type ResponseKind int

// The kinds of final responses.
const (
	Served  ResponseKind = iota // Body holds a target's result
	Refused                     // fixed response: a retry does no harm
	Failed                      // fixed response: no guarantee whether the request ran
)

// Response is the final response of a flow.
type Response struct {
	Kind       ResponseKind
	Body       string         // Served: the result, less the parts that were passed on to the client before
	RetryAfter float64        // Refused: retry-after in milliseconds
	TimedOut   bool           // Failed: the deadline was reached
	MayRepeat  bool           // Failed: the same job may be submitted again, with its key; no target has completed it
	Reason     balance.Reason // Refused, Failed: reason for the log
}

// Progress is a progress report of a running attempt.
type Progress struct {
	Started  bool
	Fraction float64 // completed share, from 0 to 1; unset if Started
}

// AttemptRef identifies an attempt by the number of its flow and its index within the flow, from 0.
type AttemptRef struct {
	Flow  uint64
	Index int
}

// Attempt is an attempt as passed to Transport.Start and Transport.Cancel.
type Attempt struct {
	AttemptRef
	ID     string // Request.ID
	Class  string
	Target string
	// Job is the work to do. Its body is retained for the transport, which must call Release. Unset for Cancel.
	Job Job
	// Deadline is when the core stops waiting for the attempt, in milliseconds on its clock. Unset for Cancel.
	Deadline float64
	// SendBy is the time by which the first byte must be sent, in milliseconds on the core's clock (0: no limit). It is
	// the end of the class's window for repeats or of the target's lease, whichever is earlier. Unset for Cancel.
	SendBy float64
	// OnlyIfUnsent restricts Cancel to an attempt of which no byte was sent. The target is not notified.
	OnlyIfUnsent bool
	// EndAmbiguous tells Cancel that the target may have reported the end of the attempt already. A target that no longer has
	// the job then confirms the cancellation. Otherwise its final callback would still be awaited.
	EndAmbiguous bool
}

// Transport communicates with the targets of one source. Core calls its methods from its own goroutine, so they must not
// block. The transport reports one Outcome for each Start and one ProbeResult for each Probe. Cancel requests that
// the Outcome be reported soon.
type Transport interface {
	Start(Attempt)
	Cancel(Attempt)
	Probe(target string)
	// UpdateTargets passes a new list, or changes to it, before any attempt is dispatched on the basis of it.
	UpdateTargets(TargetList)
}

// Source is a transport with the provider of its list of targets.
type Source struct {
	Name      string
	Transport Transport
	// Watch requests the list and its changes. It is nil if the source reports changes without a request.
	Watch func()
}

// Target is an entry of the target group.
type Target struct {
	balance.Member
	Address string
	// StartedMS is when it last started, in milliseconds on the core's clock; 0: long ago.
	StartedMS float64
}

// TargetList is a list of targets or of changes to it.
type TargetList struct {
	Scope   balance.ListScope
	Targets []Target
	// ReadAt is when its first byte was read, in milliseconds on the core's clock. It is used for a watched source only.
	ReadAt float64
}

// Outcome is how an attempt ended.
type Outcome struct {
	AttemptRef
	Result balance.Result
	Report balance.Report
	Body   string // the result if the attempt succeeded
}

// TargetCallback is a callback of a target about an attempt, separate from the response to the dispatch.
type TargetCallback struct {
	ID, From string         // Request.ID and the target's name
	Attempt  *AttemptRef    `json:",omitempty"` // the attempt; nil if the target's protocol names only the request
	Progress *Progress      // nil if it reports something else
	Partial  *PartialOutput `json:",omitempty"` // nil if it reports something else; only together with Attempt
	Result   balance.Result // how the attempt ended, if Progress and Partial are nil
	Report   balance.Report
	Body     string
	PassedOn bool // another process of this scheduler received and forwarded it
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Target  string
	Result  balance.Result
	SentAt  float64 // when the probe was requested, in milliseconds on the core's clock
	Elapsed float64 // milliseconds
	Report  balance.Report
	// NotReady is set if the target responded that it accepts no new work.
	NotReady bool
}
