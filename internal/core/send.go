package core

import (
	"math"

	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// send starts an attempt. The rules that hold whatever the module decides are kept
// here: nothing for a flow that is over, one attempt out at a time, so many at most as the settings
// say, and repeats only as the class allows. A send against them is never begun, and the module is told so.
func (c *Core) send(a *balance.Action) {
	f := c.flows[a.Request]
	if !c.inv.Check(f != nil, "send-unknown-flow", "flow %d", a.Request) {
		return
	}
	n, now := len(f.attempts), c.clock.Now()
	s := c.targets[a.Worker]
	f.attempts = append(f.attempts, attempt{target: a.Worker, sentAt: now})
	ok := c.inv.Check(!f.answered, "send-after-answer", "flow %d", f.number) &&
		c.inv.Check(f.out < 0 || c.cfg.Settings.Duplicates, "two-attempts-out", "flow %d", f.number) &&
		c.inv.Check(n < c.cfg.Settings.MaxAttempts, "too-many-attempts", "flow %d", f.number) &&
		c.inv.Check(s != nil, "send-unknown-target", "%s", a.Worker)
	window := c.latest(f, n)
	if ok && window <= 0 {
		ok = c.inv.Check(false, "repeat-of-unsafe", "flow %d", f.number)
	}
	lease := c.maySendUntil(s, a.Worker)
	if reason := whyNotBegun(ok, now, f.deadline, window, lease); reason != "" {
		f.attempts[n].ended, f.attempts[n].result = true, balance.NeverSent
		c.trace.notBegun(f, reason)
		c.step(balance.Event{Kind: balance.Ended, Request: f.number, Attempt: n, Worker: a.Worker,
			Result: balance.NeverSent, Final: f.answered})
		return
	}
	by := now + clock.Millis(a.After)
	if a.After <= 0 || by > f.deadline {
		by = f.deadline
	}
	f.attempts[n].by, f.out = s.Transport, n
	c.books.Sends++
	c.trace.begun(f, lease-now)
	c.timers.add(timer{at: by, what: attemptTimer, id: f.number, n: n})
	if f.Job.Body != nil {
		f.Job.Body.Retain()
	}
	s.Transport.Start(Attempt{Ref: Ref{f.number, n}, ID: f.ID, Class: f.Class, Target: a.Worker, Job: f.Job, Deadline: by, Latest: min(window, lease)})
}

// whyNotBegun says why an attempt may not begin now; empty if it may. The rest are the times until which it could have begun:
// its client's, that of repeats and that of the lease on its target.
func whyNotBegun(allowed bool, now, client, window, lease float64) balance.Reason {
	switch {
	case !allowed:
		return againstRules
	case now >= client:
		return pastItsTime
	case now >= window:
		return windowOfClass
	case now >= lease:
		return leaseOver
	}
	return ""
}

// latest is until when attempt n of a flow may leave: for ever, unless an earlier one may have run; then, by the class,
// until the targets begin to forget that one, or not at all (0). It is looked at again as the first byte goes.
func (c *Core) latest(f *flow, n int) float64 {
	class := c.classes[f.Class]
	for i := range f.attempts[:n] {
		if a := &f.attempts[i]; class != nil && class.Effect != balance.Safe && c.mayHaveRun(a) {
			if class.Effect == balance.Unsafe {
				return 0
			}
			return a.sentAt + clock.Millis(class.Window-2*c.cfg.Settings.Tick)
		}
	}
	return math.Inf(1)
}

// mayHaveRun says whether an attempt may have run, or still may.
func (c *Core) mayHaveRun(a *attempt) bool {
	switch a.result {
	case balance.NoConnection, balance.NeverSent:
		return !a.ended
	case balance.Full:
		return !a.ended || c.cfg.Settings.FullMayHaveRun
	}
	return true
}

// cancel gives an attempt up. It is over once the transport says so: until then the
// target may not know, and a further attempt would be a second copy.
func (c *Core) cancel(r Ref, reason balance.Reason) {
	f := c.flows[r.Flow]
	if f == nil || r.N >= len(f.attempts) {
		return
	}
	if a := &f.attempts[r.N]; !a.ended && !a.cancelling {
		a.cancelling = true
		c.books.Cancels++
		c.trace.givenUp(f, r.N, reason)
		a.by.Cancel(Attempt{Ref: r, ID: f.ID, Class: f.Class, Target: a.target})
	}
}

// expire ends an attempt whose time is over. The target is told, but nothing waits for
// its word: the client's time is over too.
func (c *Core) expire(r Ref) {
	f := c.flows[r.Flow]
	if f == nil || f.attempts[r.N].ended {
		return
	}
	c.cancel(r, attemptTime)
	c.conclude(f, r.N, Outcome{Ref: r, Result: balance.TimedOut})
}
