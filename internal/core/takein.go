package core

import "cottonwell/balance"

// flow is a request from its taking in until nothing of it is left.
type flow struct {
	Request
	number   uint64
	deadline float64 // when its client leaves
	attempts []attempt
	out      int  // the attempt that is out, or -1
	answered bool // it has its final answer, or its client left
}

// attempt is one send of a flow.
type attempt struct {
	target     string
	by         Transport
	sentAt     float64
	endedAt    float64 // if ended
	result     balance.Result
	ended      bool
	cancelling bool
}

// Ticket names a flow to the listener that took it in.
type Ticket struct {
	core *Core
	req  *Request
}

// TakeIn takes a request from a listener, which is answered from now on. The body, if
// there is one, is the core's to release.
func (c *Core) TakeIn(r *Request) Ticket {
	c.post(takeIn{r, c.clock.Now()})
	return Ticket{c, r}
}

// Left tells that the client went away before its answer.
func (t Ticket) Left() { t.core.post(left{t.req}) }

type takeIn struct {
	r  *Request
	at float64
}

func (e takeIn) apply(c *Core) {
	c.books.Taken++
	c.last++
	f := &flow{Request: *e.r, number: c.last, deadline: e.at + e.r.Patience, out: -1}
	c.admit(f)
}

type left struct{ r *Request }

func (e left) apply(c *Core) {
	f := c.byID[e.r.ID]
	if f == nil || f.answered || f.From != e.r.From {
		return // the answer crossed its leaving
	}
	c.books.Left++
	c.trace.left(f)
	c.finish(f)
	c.step(balance.Event{Kind: balance.Departed, Request: f.number})
	c.route()
	// The module gives up what is out where the platform lets it. Whatever the platform says, what has not left
	// by now, as a connection is still coming up, does not leave any more.
	if f.out >= 0 && !f.attempts[f.out].cancelling {
		a := &f.attempts[f.out]
		a.by.Cancel(Attempt{Ref: Ref{f.number, f.out}, ID: f.ID, Class: f.Class, Target: a.target, Unsent: true})
	}
}
