package core

import (
	"slices"

	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// AttemptEnded passes the outcome of an attempt. Only the first outcome of an attempt counts.
func (c *Core) AttemptEnded(o Outcome) { c.post(outcomeEvent{o}) }

type outcomeEvent struct{ outcome Outcome }

func (e outcomeEvent) apply(c *Core) {
	f := c.flows[e.outcome.Flow]
	if f == nil || e.outcome.Index >= len(f.attempts) || f.attempts[e.outcome.Index].ended {
		c.countDropped("outcome of an attempt that is over")
		return
	}
	c.endAttempt(f, e.outcome.Index, e.outcome)
}

// endAttempt records the outcome of an attempt, delivers a result to the client and notifies the decision module.
func (c *Core) endAttempt(f *flow, n int, o Outcome) {
	a := &f.attempts[n]
	a.ended, a.endedAt, a.result = true, c.clock.Now(), o.Result
	if f.outstanding == n {
		f.outstanding = -1
	}
	c.reviewMemory(f, n)
	c.stats.countOutcome(o.Result)
	c.trace.attemptEnded(f, n)
	c.deliverOutcome(f, n, o.Result == balance.OK, o.Body)
	c.enqueue(balance.Event{Kind: balance.Ended, Request: f.number, Attempt: n, Worker: a.target, Result: o.Result,
		Final: f.clientDone, Elapsed: clock.Duration(a.endedAt - a.sentAt), Report: o.Report})
	c.removeIfDone(f)
}

// deliverFixed delivers the fixed response that the decision module chose. It does nothing if the flow is over.
func (c *Core) deliverFixed(number uint64, response Response) {
	if f := c.flows[number]; f != nil && !f.clientDone {
		c.deliver(f, response)
	}
}

// deliver sends a flow's one final response to its client.
func (c *Core) deliver(f *flow, response Response) {
	if !c.invariants.Check(!f.clientDone, "second-answer", "flow %d", f.number) {
		return
	}
	switch response.Kind {
	case Served:
		c.stats.Served++
	case Refused:
		c.stats.Refused++
	case Failed:
		c.stats.Failed++
		response.MayRepeat = c.mayRepeat(f)
	}
	c.trace.requestCompleted(f, &response)
	f.Receiver.Respond(response)
	c.closeForClient(f)
}

// mayRepeat reports whether a further flow for the same job keeps the rules of its class, and may end otherwise.
func (c *Core) mayRepeat(f *flow) bool {
	completed := slices.ContainsFunc(f.attempts, func(a attempt) bool {
		return a.ended && (a.result == balance.OK || a.result == balance.Failed)
	})
	return !completed && c.clock.Now() < c.latestStart(f, len(f.attempts))
}

// failOverdue fails a flow for which the decision module made no decision before the deadline.
func (c *Core) failOverdue(number uint64) {
	f := c.flows[number]
	if f == nil || f.clientDone {
		return
	}
	c.log.Error("flow overdue: no decision of the decision module before the deadline", "flow", f.number, "id", f.ID, "class", f.Class)
	c.invariants.Check(false, "flow-overdue", "flow %d", f.number)
	c.deliver(f, Response{Kind: Failed, TimedOut: true, Reason: noDecision})
	c.enqueue(balance.Event{Kind: balance.Departed, Request: f.number})
}

// EndOpenFlows ends every open flow with a final response: refused if no attempt of it can have run, otherwise failed. It is
// called shortly before the process is killed.
func (c *Core) EndOpenFlows() { c.post(endOpenFlowsEvent{}) }

type endOpenFlowsEvent struct{}

func (endOpenFlowsEvent) apply(c *Core) {
	c.shuttingDown = true
	for _, f := range c.flows {
		if f.clientDone {
			continue
		}
		response := Response{Kind: Refused, RetryAfter: c.cfg.RetryAfterMS, Reason: shutdownReason}
		for _, a := range f.attempts {
			if c.mayHaveRun(&a) {
				response = Response{Kind: Failed, Reason: shutdownReason}
			}
		}
		c.log.Warn("open flow ended early because the program is shutting down", "flow", f)
		c.deliver(f, response)
		c.enqueue(balance.Event{Kind: balance.Departed, Request: f.number})
	}
}
