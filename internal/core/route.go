package core

import (
	"fmt"

	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// step puts an event in line for the module.
func (c *Core) step(ev balance.Event) { c.steps = append(c.steps, ev) }

// route gives the module what has happened, in order, and does what it decides. An
// action may bring a further event (a send that the rules forbid ends at once): it
// comes after those that were there before.
func (c *Core) route() {
	c.lapse()
	for i := 0; i < len(c.steps); i++ {
		c.acts = c.decide(&c.steps[i], c.acts[:0])
		for j := range c.acts {
			c.act(&c.acts[j])
		}
	}
	clear(c.steps)
	c.steps = c.steps[:0]
}

// decide runs one step of the module. One that panics ends nothing but the flow that
// it was about: the others' clients still wait for their answers.
func (c *Core) decide(ev *balance.Event, acts []balance.Action) (out []balance.Action) {
	defer func() {
		if v := recover(); v != nil {
			c.log.Error("module panicked", "event", int(ev.Kind), "flow", ev.Request, "cause", fmt.Sprint(v))
			c.inv.Check(false, "module-panic", "%v", v)
			out = acts[:0]
			if f := c.flows[ev.Request]; f != nil {
				c.relay(f, Answer{Kind: Failed, Reason: modulePanic})
			}
		}
	}()
	return c.module.Step(clock.Duration(c.clock.Now()), ev, acts)
}

// act does one thing that the module decided.
func (c *Core) act(a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		c.send(a)
	case balance.Cancel:
		c.cancel(Ref{a.Request, a.Attempt}, a.Reason)
	case balance.Refuse:
		if c.lease != nil && c.lease.Lapsed() {
			c.books.RefusedLapsed++
		}
		back := clock.Millis(a.After)
		if back <= 0 {
			back = c.comeBack(a.Request)
		}
		c.giveUp(a.Request, Answer{Kind: Refused, RetryAfter: back, Reason: a.Reason})
	case balance.Fail:
		f := c.flows[a.Request]
		c.giveUp(a.Request, Answer{Kind: Failed, TimedOut: f != nil && c.clock.Now() > f.deadline-100, Reason: a.Reason})
	case balance.Wake:
		c.timers.add(timer{at: c.clock.Now() + clock.Millis(a.After), what: moduleTimer, id: a.Timer})
	case balance.Probe:
		c.inv.Check(c.probe(a.Worker), "probe-unknown-target", "%s", a.Worker)
	case balance.Subscribe:
		for _, s := range c.sources {
			if s.Watch != nil {
				s.Watch()
			}
		}
	case balance.Tell:
		if c.cfg.Tell != nil {
			c.cfg.Tell(a.To, a.Raw)
		}
	case balance.Doubt:
		if c.cfg.Doubt != nil {
			c.cfg.Doubt(a.Worker, a.Failing)
		}
	case balance.Say:
		c.log.Info("module says", "text", a.Text)
	}
}

// ring does what a timer is for.
func (c *Core) ring(t timer) {
	switch t.what {
	case moduleTimer:
		c.step(balance.Event{Kind: balance.TimerDue, Timer: t.id})
	case attemptTimer:
		c.expire(Ref{t.id, t.n})
	case flowTimer:
		c.overdue(t.id)
	case leaseTimer:
		c.leaseDue()
	}
}
