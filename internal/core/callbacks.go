package core

import (
	"slices"

	"cottonwell/balance"
)

// This file attributes the callbacks of targets to attempts.
//
// On the platform's protocol a callback names the request and the target, not the attempt, and a target repeats each call
// until it receives an answer. So a callback that arrives while an attempt is outstanding may belong to an earlier attempt
// at the same target.

// ReceiveCallback passes a callback of a target.
func (c *Core) ReceiveCallback(callback TargetCallback) { c.post(targetUpdateEvent{callback}) }

type targetUpdateEvent struct{ callback TargetCallback }

func (e targetUpdateEvent) apply(c *Core) {
	f := c.flowsByID[e.callback.ID]
	if f == nil && c.cfg.ForwardUnmatched != nil && !e.callback.PassedOn {
		c.cfg.ForwardUnmatched(e.callback)
		return
	}
	if f != nil && e.callback.Partial != nil {
		c.receivePartial(f, &e.callback)
		return
	}
	if f == nil || !f.mayConcernOutstanding(&e.callback) {
		c.countDropped("news of an attempt that is over")
		return
	}
	if e.callback.Progress != nil {
		c.receiveProgress(f, &e.callback)
		return
	}
	c.receiveEnd(f, &e.callback)
}

// mayConcernOutstanding reports whether a callback can concern the outstanding attempt of its flow.
func (f *flow) mayConcernOutstanding(callback *TargetCallback) bool {
	if f.outstanding < 0 || f.attempts[f.outstanding].target != callback.From {
		return false
	}
	return callback.Attempt == nil || *callback.Attempt == AttemptRef{f.number, f.outstanding}
}

// receiveProgress passes a start or a completed share to the decision module and to the client.
func (c *Core) receiveProgress(f *flow, callback *TargetCallback) {
	n, progress := f.outstanding, callback.Progress
	if callback.Attempt != nil || !c.earlierMayReportProgress(f) {
		f.attempts[n].startReported = true
	}
	c.enqueue(balance.Event{Kind: balance.Progressed, Request: f.number, Attempt: n, Worker: callback.From,
		Started: progress.Started, Fraction: progress.Fraction})
	if !f.clientDone {
		f.Receiver.Progress(*progress)
	}
}

// receiveEnd ends the outstanding attempt if the callback surely concerns it. If the callback may also concern an earlier
// attempt, the outstanding one may still run, and a further attempt would run in parallel. So it is cancelled first.
func (c *Core) receiveEnd(f *flow, callback *TargetCallback) {
	n := f.outstanding
	switch c.endOrigin(f, callback) {
	case fromOutstanding:
		f.attempts[n].endReported = true
		c.endAttempt(f, n, Outcome{AttemptRef: AttemptRef{f.number, n}, Result: callback.Result, Report: callback.Report, Body: callback.Body})
	case fromEarlier:
		c.ignoreEnd(f, n, callback, repeatedEnd)
	case fromEither:
		c.ignoreEnd(f, n, callback, string(ambiguousEnd))
		c.cancelAmbiguous(f, n)
	}
}

// repeatedEnd is the description of a callback that an earlier attempt caused.
const repeatedEnd = "a repeated end of an earlier attempt"

func (c *Core) ignoreEnd(f *flow, n int, callback *TargetCallback, why string) {
	c.countDropped(why)
	c.trace.endIgnored(f, n, callback, why)
}

// callbackOrigin is the attempt that a callback can come from.
type callbackOrigin int

const (
	fromOutstanding callbackOrigin = iota
	fromEarlier                    // an earlier attempt at the same target, which has ended here
	fromEither
)

// endOrigin returns which attempts at a target can have caused a callback that reports an end. A result (OK) answers the
// request whichever attempt produced it.
func (c *Core) endOrigin(f *flow, callback *TargetCallback) callbackOrigin {
	mayBeEarlier := callback.Result != balance.OK && callback.Attempt == nil &&
		slices.ContainsFunc(f.earlierAtTarget(), func(a attempt) bool { return a.mayStillReportEnd(callback.Result) })
	switch {
	case !mayBeEarlier:
		return fromOutstanding
	case callback.Result == balance.Full && f.attempts[f.outstanding].startReported && !c.cfg.Settings.FullMayHaveRun:
		return fromEarlier // a job that has started is never returned
	}
	return fromEither
}

// earlierAtTarget returns the attempts before the outstanding one at the same target.
func (f *flow) earlierAtTarget() (earlier []attempt) {
	for _, a := range f.attempts[:f.outstanding] {
		if a.target == f.attempts[f.outstanding].target {
			earlier = append(earlier, a)
		}
	}
	return earlier
}

// mayStillReportEnd reports whether a callback with the given result can come from an attempt that has ended here. A target
// that reported an end repeats only that report. But two parties may report a killed job: the target, and the agent of its
// machine, which reports it as lost (Reset).
func (a *attempt) mayStillReportEnd(result balance.Result) bool {
	if a.endReported {
		return result == a.result || result == balance.Reset || a.result == balance.Reset
	}
	return a.endUnconfirmed()
}

// endUnconfirmed reports whether an attempt is outstanding or ended without any word of its target, which may still have it.
func (a *attempt) endUnconfirmed() bool {
	return !a.ended || a.result == balance.Reset || a.result == balance.TimedOut || a.result == balance.Cancelled
}

// earlierMayReportProgress reports whether a start or progress at the target of the outstanding attempt can come from an
// earlier attempt there. A job that was returned has never started.
func (c *Core) earlierMayReportProgress(f *flow) bool {
	return slices.ContainsFunc(f.earlierAtTarget(), func(a attempt) bool {
		if a.endReported {
			return a.result != balance.Full || c.cfg.Settings.FullMayHaveRun
		}
		return a.endUnconfirmed()
	})
}
