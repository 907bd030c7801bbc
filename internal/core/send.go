package core

import (
	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// send starts an attempt. The rules that hold whatever the module decides are kept
// here: nothing for a flow that is over, one attempt out at a time, three at most. A
// send against them is never begun, and the module is told so.
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
	if !ok || now >= f.deadline {
		f.attempts[n].ended = true
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
	c.timers.add(timer{at: by, what: attemptTimer, id: f.number, n: n})
	if f.Job.Body != nil {
		f.Job.Body.Retain()
	}
	s.Transport.Start(Attempt{Ref: Ref{f.number, n}, ID: f.ID, Class: f.Class, Target: a.Worker, Job: f.Job, Deadline: by})
}

// cancel gives an attempt up. It is over once the transport says so: until then the
// target may not know, and a further attempt would be a second copy.
func (c *Core) cancel(r Ref) {
	f := c.flows[r.Flow]
	if f == nil || r.N >= len(f.attempts) {
		return
	}
	if a := &f.attempts[r.N]; !a.ended && !a.cancelling {
		a.cancelling = true
		c.books.Cancels++
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
	c.cancel(r)
	c.conclude(f, r.N, Outcome{Ref: r, Result: balance.TimedOut})
}
