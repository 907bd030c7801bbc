package core

import (
	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// Ended tells how an attempt ended. Only the first word about an attempt counts.
func (c *Core) Ended(o Outcome) { c.post(ended{o}) }

type ended struct{ o Outcome }

func (e ended) apply(c *Core) {
	f := c.flows[e.o.Flow]
	if f == nil || e.o.N >= len(f.attempts) || f.attempts[e.o.N].ended {
		c.drop("outcome of an attempt that is over")
		return
	}
	c.conclude(f, e.o.N, e.o)
}

// News tells what a target says by itself.
func (c *Core) News(n TargetNews) { c.post(news{n}) }

type news struct{ n TargetNews }

func (e news) apply(c *Core) {
	f := c.byID[e.n.ID]
	if f == nil && c.cfg.Stray != nil && !e.n.PassedOn {
		c.cfg.Stray(e.n)
		return
	}
	if f == nil || f.out < 0 || f.attempts[f.out].target != e.n.From {
		c.drop("news of an attempt that is over")
		return
	}
	n := f.out
	if p := e.n.Progress; p != nil {
		if p.Data == "" {
			c.step(balance.Event{Kind: balance.Noted, Request: f.number, Attempt: n, Worker: e.n.From,
				Started: p.Started, Fraction: p.Fraction})
		}
		if !f.answered {
			f.From.Progress(*p)
		}
		return
	}
	if e.n.Result != balance.OK && f.doubtful(n) {
		// The word may be of an earlier attempt there, which ended here without the target's word. Taken for this
		// one's it would let a further attempt out beside it, so this one is given up first.
		c.drop("an end that may be another attempt's")
		c.cancel(Ref{f.number, n}, doubtfulEnd)
		return
	}
	c.conclude(f, n, Outcome{Ref: Ref{f.number, n}, Result: e.n.Result, Report: e.n.Report, Body: e.n.Body})
}

// doubtful says whether an earlier attempt at the same target ended without that target's word.
func (f *flow) doubtful(n int) bool {
	for _, a := range f.attempts[:n] {
		if a.target == f.attempts[n].target && (a.result == balance.Reset || a.result == balance.TimedOut || a.result == balance.Cancelled) {
			return true
		}
	}
	return false
}

// conclude ends an attempt, relays a result to the client and tells the module.
func (c *Core) conclude(f *flow, n int, o Outcome) {
	a := &f.attempts[n]
	a.ended, a.endedAt, a.result = true, c.clock.Now(), o.Result
	if f.out == n {
		f.out = -1
	}
	c.books.outcome(o.Result)
	c.trace.ended(f, n)
	if o.Result == balance.OK && !f.answered {
		c.relay(f, Answer{Kind: Served, Body: o.Body})
	}
	c.step(balance.Event{Kind: balance.Ended, Request: f.number, Attempt: n, Worker: a.target, Result: o.Result,
		Final: f.answered, Elapsed: clock.Duration(a.endedAt - a.sentAt), Report: o.Report})
	c.book(f)
}

// giveUp gives the fixed response that the module decided on, at once.
func (c *Core) giveUp(number uint64, ans Answer) {
	if f := c.flows[number]; f != nil && !f.answered {
		c.relay(f, ans)
	}
}

// relay gives a flow its one final answer.
func (c *Core) relay(f *flow, ans Answer) {
	if !c.inv.Check(!f.answered, "second-answer", "flow %d", f.number) {
		return
	}
	switch ans.Kind {
	case Served:
		c.books.Served++
	case Refused:
		c.books.Refused++
	case Failed:
		c.books.Failed++
	}
	c.trace.answered(f, &ans)
	f.From.Answer(ans)
	c.finish(f)
}

// overdue answers a flow that the module has left without an answer.
func (c *Core) overdue(number uint64) {
	f := c.flows[number]
	if f == nil || f.answered {
		return
	}
	c.log.Error("flow overdue: the module gave no answer in time", "flow", f.number, "id", f.ID, "class", f.Class)
	c.inv.Check(false, "flow-overdue", "flow %d", f.number)
	c.relay(f, Answer{Kind: Failed, TimedOut: true, Reason: overdueAnswer})
	c.step(balance.Event{Kind: balance.Departed, Request: f.number})
}

// Finish gives every open flow its final answer now: refused where nothing of it can have
// run, else failed. It is for the moment before the program would be killed.
func (c *Core) Finish() { c.post(finishAll{}) }

type finishAll struct{}

func (finishAll) apply(c *Core) {
	c.finished = true
	for _, f := range c.flows {
		if f.answered {
			continue
		}
		ans := Answer{Kind: Refused, RetryAfter: c.cfg.ComeBack, Reason: ending}
		for _, a := range f.attempts {
			if c.mayHaveRun(&a) {
				ans = Answer{Kind: Failed, Reason: ending}
			}
		}
		c.log.Warn("finished before its time, as the program must end", "flow", f)
		c.relay(f, ans)
		c.step(balance.Event{Kind: balance.Departed, Request: f.number})
	}
}
