package core

import (
	"context"
	"log/slog"
	"maps"
	"math"

	"cottonwell/balance"
)

// Reasons for which the core itself refuses or fails a request, or cancels an attempt.
const (
	idInUse         balance.Reason = "id in use"
	idRepeated      balance.Reason = "id came again"
	keyTaken        balance.Reason = "key in use by another request"
	tooManyOpen     balance.Reason = "too many requests open"
	shutdownReason  balance.Reason = "the program ends"
	noDecision      balance.Reason = "no decision in time"
	modulePanic     balance.Reason = "decision module panicked"
	attemptTimeout  balance.Reason = "attempt timed out"
	partialPassedOn balance.Reason = "part of a result was passed on"
	resultTooLong   balance.Reason = "result longer than 64 KiB"
	ambiguousEnd    balance.Reason = "an end that may be another attempt's"
)

// Reasons for which an attempt is not started.
const (
	forbiddenByRules balance.Reason = "against the rules"
	leaseExpired     balance.Reason = "lease on the target over"
	pastDeadline     balance.Reason = "past its time"
	pastRepeatWindow balance.Reason = "past the window for repeats"
)

// Reasons are the numbers of decisions, by reason.
type Reasons struct {
	Refused, Failed map[balance.Reason]int // final responses
	Cancelled       map[balance.Reason]int // cancelled attempts
	NotStarted      map[balance.Reason]int // attempts not started
	Retries         map[string]int         // attempts after the first, by the result of the previous one
}

func newReasons() Reasons {
	return Reasons{Refused: map[balance.Reason]int{}, Failed: map[balance.Reason]int{}, Cancelled: map[balance.Reason]int{},
		NotStarted: map[balance.Reason]int{}, Retries: map[string]int{}}
}

func (r *Reasons) clone() Reasons {
	return Reasons{Refused: maps.Clone(r.Refused), Failed: maps.Clone(r.Failed), Cancelled: maps.Clone(r.Cancelled),
		NotStarted: maps.Clone(r.NotStarted), Retries: maps.Clone(r.Retries)}
}

// trace logs the course of each request at the debug level, with the request's id, and counts the reasons of decisions.
type trace struct {
	log     *slog.Logger
	enabled bool
	reasons Reasons
}

func newTrace(log *slog.Logger) trace {
	return trace{log: log, enabled: log.Enabled(context.Background(), slog.LevelDebug), reasons: newReasons()}
}

// requestCompleted logs and counts the final response of a request.
func (t *trace) requestCompleted(f *flow, a *Response) {
	kind := "served"
	switch a.Kind {
	case Refused:
		kind = "refused"
		t.reasons.Refused[a.Reason]++
	case Failed:
		kind = "failed"
		t.reasons.Failed[a.Reason]++
	}
	if t.enabled {
		t.log.Debug("request completed", "kind", kind, "reason", a.Reason, "request", f)
	}
}

// clientLeft logs that a client left before its final response.
func (t *trace) clientLeft(f *flow) {
	if t.enabled {
		t.log.Debug("client left", "request", f)
	}
}

// attemptStarted logs the start of a request's latest attempt and counts retries. leaseLeft is the remaining time of the
// lease on its target, in milliseconds.
func (t *trace) attemptStarted(f *flow, leaseLeft float64) {
	n := len(f.attempts) - 1
	previous := ""
	if n > 0 {
		previous = f.attempts[n-1].String()
		t.reasons.Retries[previous]++
	}
	if !t.enabled {
		return
	}
	entry := t.log.With("id", f.ID, "attempt", n, "target", f.attempts[n].target)
	if n > 0 {
		entry = entry.With("after", previous)
	}
	if !math.IsInf(leaseLeft, 1) {
		entry = entry.With("lease_left_ms", leaseLeft)
	}
	entry.Debug("attempt started")
}

// attemptNotStarted logs and counts an attempt that the decision module requested and that was not started.
func (t *trace) attemptNotStarted(f *flow, reason balance.Reason) {
	t.reasons.NotStarted[reason]++
	if t.enabled {
		n := len(f.attempts) - 1
		t.log.Debug("attempt not started", "id", f.ID, "attempt", n, "target", f.attempts[n].target, "reason", reason)
	}
}

// attemptCancelled logs and counts the cancellation of an attempt.
func (t *trace) attemptCancelled(f *flow, n int, reason balance.Reason) {
	t.reasons.Cancelled[reason]++
	if t.enabled {
		t.log.Debug("attempt cancelled", "id", f.ID, "attempt", n, "target", f.attempts[n].target, "reason", reason)
	}
}

// attemptEnded logs the result of an attempt.
func (t *trace) attemptEnded(f *flow, n int) {
	if t.enabled {
		a := &f.attempts[n]
		t.log.Debug("attempt ended", "id", f.ID, "attempt", n, "target", a.target, "result", a.result, "elapsed_ms", a.endedAt-a.sentAt)
	}
}

// endIgnored logs a callback that reported an end and did not end the outstanding attempt n.
func (t *trace) endIgnored(f *flow, n int, callback *TargetCallback, why string) {
	if t.enabled {
		t.log.Debug("end of an attempt ignored", "id", f.ID, "outstanding", n, "target", callback.From, "result", callback.Result, "why", why)
	}
}

// leaseConfirmed logs a confirmation of the list, age milliseconds old, that may renew the lease.
func (t *trace) leaseConfirmed(by string, age float64) {
	if t.enabled {
		t.log.Debug("list confirmation", "by", by, "age_ms", age)
	}
}

// String returns the attempt's result, or that it has not ended.
func (a *attempt) String() string {
	if !a.ended {
		return "still out"
	}
	return a.result.String()
}
