package core

import (
	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// admit lets a flow in to the module, or gives it a fixed response. What is refused
// here has never been sent anywhere, so that to try again does no harm.
func (c *Core) admit(f *flow) {
	switch {
	case c.byID[f.ID] != nil:
		// Two flows of one id could not be told apart by what targets call back, and a target
		// would hold two attempts of one request. The first one keeps the id.
		c.books.Twice++
		c.turnAway(f, Answer{Kind: Failed, Reason: idInUse})
		return
	case c.finished:
		c.books.Refused++
		c.turnAway(f, Answer{Kind: Refused, RetryAfter: c.cfg.ComeBack, Reason: ending})
		return
	case c.cfg.MaxOpen > 0 && c.open >= c.cfg.MaxOpen:
		c.books.Full++
		c.books.Refused++
		c.turnAway(f, Answer{Kind: Refused, RetryAfter: c.cfg.ComeBack, Reason: tooManyOpen})
		return
	}
	if c.cfg.Asked != nil && c.firstTry(f) {
		c.cfg.Asked(f.Tenant)
	}
	c.flows[f.number], c.byID[f.ID] = f, f
	c.open++
	// The module answers by itself before its client leaves; this timer is for the day it does not.
	c.timers.add(timer{at: f.deadline + clock.Millis(c.cfg.Settings.AnswerSlack)/2, what: flowTimer, id: f.number})
	c.step(balance.Event{Kind: balance.Arrived, Request: f.number, Class: f.Class, Key: f.Subject,
		Budget: clock.Duration(f.deadline - c.clock.Now()), Hint: clock.Duration(f.Hint), Slots: f.Slots, Memory: f.Memory, Tenant: f.Tenant, Repeat: f.Repeat,
		First: f.First, Priority: f.Job.Priority})
}

// turnAway answers a flow that is not admitted.
func (c *Core) turnAway(f *flow, ans Answer) {
	c.trace.answered(f, &ans)
	f.From.Answer(ans)
	c.free(f)
}

// firstTry says whether a request is no later try of one that was refused, as far as can be known: these
// come with less of their client's patience left.
func (c *Core) firstTry(f *flow) bool {
	longest, known := c.longest[f.Class]
	if known {
		c.longest[f.Class] = max(longest, f.Patience)
	}
	return f.First || known && !f.Repeat && f.Patience >= 0.98*longest
}
