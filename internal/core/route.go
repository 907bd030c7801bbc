package core

import (
	"fmt"

	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// enqueue appends an event for the decision module.
func (c *Core) enqueue(ev balance.Event) { c.pendingEvents = append(c.pendingEvents, ev) }

// route passes the pending events to the decision module in order and performs its actions. An action can add an event,
// such as the end of an attempt that the rules forbid. That event is appended to the pending ones.
func (c *Core) route() {
	c.applyRuleExpiry()
	for i := 0; i < len(c.pendingEvents); i++ {
		c.actions = c.decide(&c.pendingEvents[i], c.actions[:0])
		for j := range c.actions {
			c.perform(&c.actions[j])
		}
	}
	clear(c.pendingEvents)
	c.pendingEvents = c.pendingEvents[:0]
}

// decide runs the decision module on one event. If the module panics, only the flow of that event fails. The other flows
// continue.
func (c *Core) decide(ev *balance.Event, acts []balance.Action) (out []balance.Action) {
	defer func() {
		if cause := recover(); cause != nil {
			c.log.Error("module panicked", "event", int(ev.Kind), "flow", ev.Request, "cause", fmt.Sprint(cause))
			c.invariants.Check(false, "module-panic", "%v", cause)
			out = acts[:0]
			if f := c.flows[ev.Request]; f != nil {
				c.deliver(f, Response{Kind: Failed, Reason: modulePanic})
			}
		}
	}()
	return c.module.Step(clock.Duration(c.clock.Now()), ev, acts)
}

// perform carries out one action of the decision module.
func (c *Core) perform(a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		c.dispatch(a)
	case balance.Cancel:
		c.cancel(AttemptRef{a.Request, a.Attempt}, a.Reason)
	case balance.Refuse:
		if c.lease != nil && c.lease.Lapsed() {
			c.stats.RefusedLapsed++
		}
		retryAfter := clock.Millis(a.After)
		if retryAfter <= 0 {
			retryAfter = c.defaultRetryAfter(a.Request)
		}
		c.deliverFixed(a.Request, Response{Kind: Refused, RetryAfter: retryAfter, Reason: a.Reason})
	case balance.Fail:
		f := c.flows[a.Request]
		c.deliverFixed(a.Request, Response{Kind: Failed, TimedOut: f != nil && c.nearDeadline(f), Reason: a.Reason})
	case balance.Wake:
		c.timers.add(timer{at: c.clock.Now() + clock.Millis(a.After), kind: moduleTimer, id: a.Timer})
	case balance.Probe:
		c.invariants.Check(c.probe(a.Worker), "probe-unknown-target", "%s", a.Worker)
	case balance.Subscribe:
		for _, s := range c.sources {
			if s.Watch != nil {
				s.Watch()
			}
		}
	case balance.SendToPeers:
		if c.cfg.SendToPeers != nil {
			c.cfg.SendToPeers(a.To, a.Raw)
		}
	case balance.SuspectWorker:
		if c.cfg.ReportSuspicion != nil {
			c.cfg.ReportSuspicion(a.Worker, a.Failing)
		}
	case balance.Log:
		c.log.Info("message from the decision module", "text", a.Text)
	}
}

// deadlineMargin is the time in milliseconds before a flow's deadline from which its failure counts as a timeout.
const deadlineMargin = 100.0

// nearDeadline reports whether a failure of a flow now counts as a timeout.
func (c *Core) nearDeadline(f *flow) bool { return c.clock.Now() > f.deadline-deadlineMargin }

// fire handles a timer that is due.
func (c *Core) fire(t timer) {
	switch t.kind {
	case moduleTimer:
		c.enqueue(balance.Event{Kind: balance.TimerDue, Timer: t.id})
	case attemptTimer:
		c.expire(AttemptRef{t.id, t.attempt})
	case flowTimer:
		c.failOverdue(t.id)
	case leaseTimer:
		c.leaseTimerDue()
	}
}
