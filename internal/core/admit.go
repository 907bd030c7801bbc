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
		c.stats.DuplicateID++
		c.reject(f, Response{Kind: Failed, Reason: idInUse})
		return
	case c.repeats.find(c.clock.Now(), idKey(f.ID)) != nil: // its client left and came again, and it may have run
		c.stats.DuplicateID++
		c.reject(f, Response{Kind: Failed, Reason: idRepeated})
		return
	case c.keyInUse(f):
		c.stats.Refused++
		c.reject(f, Response{Kind: Refused, RetryAfter: c.cfg.RetryAfterMS, Reason: keyTaken})
		return
	case c.shuttingDown:
		c.stats.Refused++
		c.reject(f, Response{Kind: Refused, RetryAfter: c.cfg.RetryAfterMS, Reason: shutdownReason})
		return
	case c.cfg.MaxOpen > 0 && c.openFlows >= c.cfg.MaxOpen:
		c.stats.TooManyOpen++
		c.stats.Refused++
		c.reject(f, Response{Kind: Refused, RetryAfter: c.cfg.RetryAfterMS, Reason: tooManyOpen})
		return
	}
	if c.cfg.CountRequest != nil && c.isFirstTry(f) {
		c.cfg.CountRequest(f.Tenant)
	}
	c.flows[f.number], c.flowsByID[f.ID] = f, f
	f.earlier = c.earlierRunOf(f)
	c.registerKey(f)
	c.openFlows++
	// The decision module normally decides before the deadline. This timer is for a fault of the module.
	c.timers.add(timer{at: f.deadline + clock.Millis(c.cfg.Settings.ResponseSlack)/2, kind: flowTimer, id: f.number})
	c.enqueue(balance.Event{Kind: balance.Arrived, Request: f.number, Class: f.Class, Key: f.Subject,
		Budget: clock.Duration(f.deadline - c.clock.Now()), Hint: clock.Duration(f.ExpectedWorkMS), Slots: f.Slots, Memory: f.Memory, Tenant: f.Tenant, MarkedRetry: f.MarkedRetry,
		FirstTry: f.FirstTry, Priority: f.Job.Priority, Earlier: f.earlier.forModule()})
}

// reject gives a flow that is not admitted its final response.
func (c *Core) reject(f *flow, response Response) {
	c.trace.requestCompleted(f, &response)
	f.Receiver.Respond(response)
	c.releaseBody(f)
}

// isFirstTry reports whether a request is probably not a retry of a refused one. Unless the request is marked, the
// client timeout decides: a retry has less of it left than a first try of the same class.
func (c *Core) isFirstTry(f *flow) bool {
	longest, known := c.longestTimeout[f.Class]
	if known {
		c.longestTimeout[f.Class] = max(longest, f.ClientTimeoutMS)
	}
	return f.FirstTry || known && !f.MarkedRetry && f.ClientTimeoutMS >= 0.98*longest
}
