package core

import "cottonwell/balance"

// flow is a request from its acceptance until it has its final response and no attempt of it is outstanding.
type flow struct {
	Request
	number      uint64
	deadline    float64 // when the client timeout ends
	attempts    []attempt
	outstanding int         // index of the attempt that is outstanding, or -1
	earlier     *earlierRun // the run that the flow repeats; nil if there is none
	clientDone  bool        // it has its final response, or its client left
	passedOn    int         // index of the attempt whose partial output a client has, or -1
}

// attempt is one dispatch of a flow to a target.
type attempt struct {
	target     string
	transport  Transport
	sentAt     float64
	endedAt    float64 // if ended
	result     balance.Result
	ended      bool
	cancelling bool
	// startReported is set if the target reported a start or progress that only this attempt can have caused.
	startReported bool
	// endReported is set if a callback of the target ended the attempt. Otherwise its transport did, or its deadline.
	endReported bool
	// endAmbiguous is set if a callback may have reported the end of this attempt or of an earlier one at the same target.
	endAmbiguous bool
	partial      heldResult // parts of its result that are held back until it ends
}

// Ticket identifies a flow to the listener that submitted it.
type Ticket struct {
	core *Core
	req  *Request
}

// Accept accepts a request from a listener. From now on the core is responsible for its response, and for releasing its
// body if there is one.
func (c *Core) Accept(r *Request) Ticket {
	c.post(acceptEvent{r, c.clock.Now()})
	return Ticket{c, r}
}

// ClientLeft reports that the client left before its final response.
func (t Ticket) ClientLeft() { t.core.post(clientLeftEvent{t.req}) }

type acceptEvent struct {
	request *Request
	at      float64
}

func (e acceptEvent) apply(c *Core) {
	c.stats.Accepted++
	c.lastFlow++
	f := &flow{Request: *e.request, number: c.lastFlow, deadline: e.at + e.request.ClientTimeoutMS, outstanding: -1, passedOn: -1}
	c.admit(f)
}

type clientLeftEvent struct{ request *Request }

func (e clientLeftEvent) apply(c *Core) {
	f := c.flowsByID[e.request.ID]
	if f == nil || f.clientDone || f.Receiver != e.request.Receiver {
		return // the final response was sent before this event was handled
	}
	c.stats.ClientsLeft++
	c.trace.clientLeft(f)
	c.closeForClient(f)
	c.enqueue(balance.Event{Kind: balance.Departed, Request: f.number})
	c.route()
	// The decision module cancels the outstanding attempt if the platform allows that. An attempt that was not sent yet,
	// because its connection is still being established, is withdrawn in any case.
	if f.outstanding >= 0 && !f.attempts[f.outstanding].cancelling {
		a := &f.attempts[f.outstanding]
		a.transport.Cancel(Attempt{AttemptRef: AttemptRef{f.number, f.outstanding}, ID: f.ID, Class: f.Class, Target: a.target, OnlyIfUnsent: true})
	}
}
