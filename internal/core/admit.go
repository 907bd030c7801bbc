package core

import (
	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// admit passes a flow to the decision module, or rejects it with a fixed response. A flow that is rejected here was never
// sent to a target, so a retry does no harm.
func (c *Core) admit(f *flow) {
	switch {
	case c.flowsByID[f.ID] != nil:
		// Callbacks of targets could not be assigned to one of two flows with the same id, and a target could hold two
		// attempts of one request. The first flow keeps the id.
		c.stats.Twice++
		c.reject(f, Answer{Kind: Failed, Reason: idInUse})
		return
	case c.shuttingDown:
		c.stats.Refused++
		c.reject(f, Answer{Kind: Refused, RetryAfter: c.cfg.ComeBack, Reason: shutdownReason})
		return
	case c.cfg.MaxOpen > 0 && c.openFlows >= c.cfg.MaxOpen:
		c.stats.Full++
		c.stats.Refused++
		c.reject(f, Answer{Kind: Refused, RetryAfter: c.cfg.ComeBack, Reason: tooManyOpen})
		return
	}
	if c.cfg.Asked != nil && c.isFirstTry(f) {
		c.cfg.Asked(f.Tenant)
	}
	c.flows[f.number], c.flowsByID[f.ID] = f, f
	c.openFlows++
	// The decision module normally decides before the deadline. This timer is for a fault of the module.
	c.timers.add(timer{at: f.deadline + clock.Millis(c.cfg.Settings.AnswerSlack)/2, kind: flowTimer, id: f.number})
	c.enqueue(balance.Event{Kind: balance.Arrived, Request: f.number, Class: f.Class, Key: f.Subject,
		Budget: clock.Duration(f.deadline - c.clock.Now()), Hint: clock.Duration(f.Hint), Slots: f.Slots, Memory: f.Memory, Tenant: f.Tenant, Repeat: f.Repeat,
		First: f.First, Priority: f.Job.Priority})
}

// reject gives a flow that is not admitted its final response.
func (c *Core) reject(f *flow, response Answer) {
	c.trace.requestCompleted(f, &response)
	f.From.Answer(response)
	c.releaseBody(f)
}

// isFirstTry reports whether a request is probably not a retry of a refused one. Unless the request is marked, the
// client timeout decides: a retry has less of it left than a first try of the same class.
func (c *Core) isFirstTry(f *flow) bool {
	longest, known := c.longestTimeout[f.Class]
	if known {
		c.longestTimeout[f.Class] = max(longest, f.Patience)
	}
	return f.First || known && !f.Repeat && f.Patience >= 0.98*longest
}
