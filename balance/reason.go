package balance

// Reason is the reason why a request was refused or failed, or why an attempt was cancelled. It is for logs
// and counters only; no decision depends on it.
type Reason string

// The reasons to refuse or fail a request.
const (
	UnknownClass         Reason = "unknown class"
	NoTarget             Reason = "no target may be sent to"
	NoCapacity           Reason = "no room in time"
	NotStarted           Reason = "not started in time"
	OutOfTime            Reason = "out of time"
	AttemptsExhausted    Reason = "attempts used up"
	RetryBudgetExhausted Reason = "retry budget used up"
	MayHaveRun           Reason = "may have run and must not be repeated"
	TargetFull           Reason = "target full"
)

// The reasons to cancel an attempt.
const (
	ClientLeft    Reason = "client left"
	ResponseSent  Reason = "answered without it"
	OtherServed   Reason = "another attempt served"
	OtherStarted  Reason = "another attempt started"
	TargetEjected Reason = "target judged unfit"
)
