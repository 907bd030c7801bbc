package core

import (
	"math"

	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// dispatch starts an attempt. It enforces the rules that apply to any decision of the decision module: no attempt after the
// final response, one outstanding attempt at a time (unless Settings.Duplicates), at most Settings.MaxAttempts attempts, and
// repeats only as the class allows. An attempt against these rules is not started, and the module gets an Ended event for it.
func (c *Core) dispatch(a *balance.Action) {
	f := c.flows[a.Request]
	if !c.invariants.Check(f != nil, "send-unknown-flow", "flow %d", a.Request) {
		return
	}
	n, now := len(f.attempts), c.clock.Now()
	s := c.sourceByTarget[a.Worker]
	f.attempts = append(f.attempts, attempt{target: a.Worker, sentAt: now})
	ok := c.invariants.Check(!f.clientDone, "send-after-answer", "flow %d", f.number) &&
		c.invariants.Check(f.outstanding < 0 || c.cfg.Settings.Duplicates, "two-attempts-out", "flow %d", f.number) &&
		c.invariants.Check(n < c.cfg.Settings.MaxAttempts, "too-many-attempts", "flow %d", f.number) &&
		c.invariants.Check(s != nil, "send-unknown-target", "%s", a.Worker)
	windowEnd := c.latestStart(f, n)
	if s != nil && !c.mayRepeatAt(f, s, a.Worker) {
		windowEnd = 0
	}
	if ok && windowEnd <= 0 {
		ok = c.invariants.Check(false, "repeat-of-unsafe", "flow %d", f.number)
	}
	leaseEnd := c.maySendUntil(s, a.Worker)
	if reason := startRefusal(ok, now, f.deadline, windowEnd, leaseEnd); reason != "" {
		f.attempts[n].ended, f.attempts[n].result = true, balance.NeverSent
		c.trace.attemptNotStarted(f, reason)
		c.enqueue(balance.Event{Kind: balance.Ended, Request: f.number, Attempt: n, Worker: a.Worker,
			Result: balance.NeverSent, Final: f.clientDone})
		return
	}
	attemptDeadline := now + clock.Millis(a.After)
	if a.After <= 0 || attemptDeadline > f.deadline {
		attemptDeadline = f.deadline
	}
	f.attempts[n].transport, f.outstanding = s.Transport, n
	target := s.targets[a.Worker]
	c.rememberAttempt(f, AttemptRef{f.number, n}, &target)
	c.stats.Dispatches++
	c.trace.attemptStarted(f, leaseEnd-now)
	c.timers.add(timer{at: attemptDeadline, kind: attemptTimer, id: f.number, attempt: n})
	if f.Job.Body != nil {
		f.Job.Body.Retain()
	}
	s.Transport.Start(Attempt{AttemptRef: AttemptRef{f.number, n}, ID: f.ID, Class: f.Class, Target: a.Worker, Job: f.Job, Deadline: attemptDeadline, SendBy: min(windowEnd, leaseEnd)})
}

// startRefusal returns the reason why an attempt may not start now, or "" if it may. allowed is whether the rules permit
// it. The last three parameters are the times by which it must start: the client's deadline, the end of the window for
// repeats and the end of the lease on its target.
func startRefusal(allowed bool, now, clientDeadline, windowEnd, leaseEnd float64) balance.Reason {
	switch {
	case !allowed:
		return forbiddenByRules
	case now >= clientDeadline:
		return pastDeadline
	case now >= windowEnd:
		return pastRepeatWindow
	case now >= leaseEnd:
		return leaseExpired
	}
	return ""
}

// latestStart returns the time by which attempt n of a flow must be sent, in milliseconds. There is no limit (infinity)
// unless an earlier attempt may have run. Then the limit depends on the class: the end of the time for which targets remember
// the earlier attempt, or 0 if the class forbids repeats. The transport checks the limit again before the first byte.
func (c *Core) latestStart(f *flow, n int) float64 {
	class := c.classes[f.Class]
	if f.earlier != nil && class != nil {
		return c.repeatsUntil(class, f.earlier.sentAt)
	}
	for i := range f.attempts[:n] {
		if a := &f.attempts[i]; class != nil && class.Effect != balance.Safe && c.mayHaveRun(a) {
			return c.repeatsUntil(class, a.sentAt)
		}
	}
	return math.Inf(1)
}

// repeatsUntil returns the time by which a repeat of an attempt that may have run must be sent, or 0 if the class forbids repeats.
func (c *Core) repeatsUntil(class *balance.Class, sentAt float64) float64 {
	if class.Effect == balance.Unsafe {
		return 0
	}
	return sentAt + clock.Millis(class.Window-2*c.cfg.Settings.Tick)
}

// mayRepeatAt reports whether a flow may be sent to a target of a source as far as an earlier flow with its key is concerned.
func (c *Core) mayRepeatAt(f *flow, s *source, target string) bool {
	class := c.classes[f.Class]
	if f.earlier == nil || class == nil {
		return true
	}
	t := s.targets[target]
	return f.earlier.mayRepeatAt(class, &t)
}

// mayHaveRun reports whether an attempt may have run or may still run.
func (c *Core) mayHaveRun(a *attempt) bool {
	switch a.result {
	case balance.NoConnection, balance.NeverSent:
		return !a.ended
	case balance.Full:
		return !a.ended || c.cfg.Settings.FullMayHaveRun
	}
	return true
}

// cancel requests the cancellation of an attempt. The attempt ends when the transport reports its outcome. Until then the
// target may still run it, and a further attempt would be a duplicate.
func (c *Core) cancel(r AttemptRef, reason balance.Reason) {
	f := c.flows[r.Flow]
	if f == nil || r.Index >= len(f.attempts) {
		return
	}
	if a := &f.attempts[r.Index]; !a.ended && !a.cancelling {
		c.requestCancel(f, r, reason)
	}
}

// cancelAmbiguous cancels an attempt whose end the target may have reported. It repeats an earlier cancellation, which may
// wait in vain for a final callback.
func (c *Core) cancelAmbiguous(f *flow, n int) {
	if a := &f.attempts[n]; !a.endAmbiguous {
		a.endAmbiguous = true
		c.requestCancel(f, AttemptRef{f.number, n}, ambiguousEnd)
	}
}

// requestCancel passes a cancellation to the transport of an attempt.
func (c *Core) requestCancel(f *flow, r AttemptRef, reason balance.Reason) {
	a := &f.attempts[r.Index]
	a.cancelling = true
	c.stats.Cancels++
	c.trace.attemptCancelled(f, r.Index, reason)
	a.transport.Cancel(Attempt{AttemptRef: r, ID: f.ID, Class: f.Class, Target: a.target, EndAmbiguous: a.endAmbiguous})
}

// expire ends an attempt that timed out. It notifies the target but does not wait for a confirmation, since the client's
// deadline has passed as well.
func (c *Core) expire(r AttemptRef) {
	f := c.flows[r.Flow]
	if f == nil || f.attempts[r.Index].ended {
		return
	}
	c.cancel(r, attemptTimeout)
	c.endAttempt(f, r.Index, Outcome{AttemptRef: r, Result: balance.TimedOut})
}
