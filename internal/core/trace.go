package core

import (
	"context"
	"log/slog"
	"maps"
	"math"

	"cottonwell/balance"
)

// Why the core itself refused or failed a request, or gave an attempt up.
const (
	idInUse       balance.Reason = "id in use"
	tooManyOpen   balance.Reason = "too many requests open"
	ending        balance.Reason = "the program ends"
	overdueAnswer balance.Reason = "no decision in time"
	modulePanic   balance.Reason = "decision module panicked"
	attemptTime   balance.Reason = "attempt timed out"
	doubtfulEnd   balance.Reason = "an end that may be another attempt's"
)

// Why an attempt was not begun.
const (
	againstRules  balance.Reason = "against the rules"
	leaseOver     balance.Reason = "lease on the target over"
	pastItsTime   balance.Reason = "past its time"
	windowOfClass balance.Reason = "past the window for repeats"
)

// Reasons are counts of decisions by their reasons.
type Reasons struct {
	Refused, Failed map[balance.Reason]int // final answers
	GivenUp         map[balance.Reason]int // attempts
	NotBegun        map[balance.Reason]int // attempts
	Retries         map[string]int         // attempts after the first, by how the one before ended
}

func newReasons() Reasons {
	return Reasons{Refused: map[balance.Reason]int{}, Failed: map[balance.Reason]int{}, GivenUp: map[balance.Reason]int{},
		NotBegun: map[balance.Reason]int{}, Retries: map[string]int{}}
}

func (r *Reasons) clone() Reasons {
	return Reasons{Refused: maps.Clone(r.Refused), Failed: maps.Clone(r.Failed), GivenUp: maps.Clone(r.GivenUp),
		NotBegun: maps.Clone(r.NotBegun), Retries: maps.Clone(r.Retries)}
}

// trace writes what becomes of each request to the log at its debug level, with the request's id, and counts the reasons.
type trace struct {
	log     *slog.Logger
	enabled bool
	reasons Reasons
}

func newTrace(log *slog.Logger) trace {
	return trace{log: log, enabled: log.Enabled(context.Background(), slog.LevelDebug), reasons: newReasons()}
}

// answered notes a request's final answer.
func (t *trace) answered(f *flow, a *Answer) {
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
		t.log.Debug("request answered", "kind", kind, "reason", a.Reason, "request", f)
	}
}

// left notes that a client left before its answer.
func (t *trace) left(f *flow) {
	if t.enabled {
		t.log.Debug("client left", "request", f)
	}
}

// begun notes the begin of a request's latest attempt. leaseLeft is how long its target may still be sent to, in ms.
func (t *trace) begun(f *flow, leaseLeft float64) {
	n := len(f.attempts) - 1
	before := ""
	if n > 0 {
		before = f.attempts[n-1].String()
		t.reasons.Retries[before]++
	}
	if !t.enabled {
		return
	}
	record := t.log.With("id", f.ID, "attempt", n, "target", f.attempts[n].target)
	if n > 0 {
		record = record.With("after", before)
	}
	if !math.IsInf(leaseLeft, 1) {
		record = record.With("lease_left_ms", leaseLeft)
	}
	record.Debug("attempt begun")
}

// notBegun notes that an attempt that was decided on was not begun.
func (t *trace) notBegun(f *flow, reason balance.Reason) {
	t.reasons.NotBegun[reason]++
	if t.enabled {
		n := len(f.attempts) - 1
		t.log.Debug("attempt not begun", "id", f.ID, "attempt", n, "target", f.attempts[n].target, "reason", reason)
	}
}

// givenUp notes that an attempt is given up.
func (t *trace) givenUp(f *flow, n int, reason balance.Reason) {
	t.reasons.GivenUp[reason]++
	if t.enabled {
		t.log.Debug("attempt given up", "id", f.ID, "attempt", n, "target", f.attempts[n].target, "reason", reason)
	}
}

// ended notes how an attempt ended.
func (t *trace) ended(f *flow, n int) {
	if t.enabled {
		a := &f.attempts[n]
		t.log.Debug("attempt ended", "id", f.ID, "attempt", n, "target", a.target, "result", a.result, "elapsed_ms", a.endedAt-a.sentAt)
	}
}

// word notes that a word of discovery's, so many milliseconds old, may renew the lease on the list.
func (t *trace) word(by string, age float64) {
	if t.enabled {
		t.log.Debug("word of discovery", "by", by, "age_ms", age)
	}
}

// String is how the attempt ended, or that it has not.
func (a *attempt) String() string {
	if !a.ended {
		return "still out"
	}
	return a.result.String()
}
