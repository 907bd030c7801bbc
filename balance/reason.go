package balance

// Reason says in a few words why a request was refused or failed, or why an attempt was given up. It is for
// logs and counts; nothing is decided by it.
type Reason string

// Why a request was refused or failed.
const (
	UnknownClass Reason = "unknown class"
	NoTarget     Reason = "no target may be sent to"
	NoRoom       Reason = "no room in time"
	NotStarted   Reason = "not started in time"
	OutOfTime    Reason = "out of time"
	AttemptsOver Reason = "attempts used up"
	BudgetOver   Reason = "retry budget used up"
	MayHaveRun   Reason = "may have run and must not be repeated"
	TargetFull   Reason = "target full"
)

// Why an attempt was given up.
const (
	ClientLeft  Reason = "client left"
	AnswerGiven Reason = "answered without it"
	OtherServed Reason = "another attempt served"
	OtherBegan  Reason = "another attempt started"
	UnfitTarget Reason = "target judged unfit"
)
