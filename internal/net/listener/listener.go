// Package listener is the clients' side of the platform's protocol: jobs, the readiness
// page, and the call-backs by which targets tell what becomes of a job.
package listener

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"cottonwell/internal/buffer"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

const (
	idleFor   = 120_000.0 // milliseconds that a connection that has brought a job may rest
	spareFor  = 5_000.0   // that one may rest that has brought none
	readFor   = 2_400.0   // from connecting to a first request's last byte; later, from its first byte
	writeFor  = 2_000.0
	restShare = 5       // of the places, one in so many may rest between jobs
	lingerFor = 400.0   // for a client to end a connection of which we have ended our side
	overMost  = 16      // connections over the budget that may close gently; as many may be turned off in words
	spare     = 5_000.0 // how much longer than its client's patience a flow may take before its connection is dropped
)

// Scheduler is what the listener needs of the core.
type Scheduler interface {
	TakeIn(*core.Request) core.Ticket
	News(core.TargetNews)
}

// Listener accepts clients and targets' call-backs at one address.
type Listener struct {
	Core  Scheduler
	Clock clock.Clock
	Log   *slog.Logger
	Stack *httpio.Stack
	// Classes are the classes of requests by name.
	Classes map[string]Class

	Counts Counts

	ready   atomic.Bool
	slots   connectionSlots
	turning atomic.Int64 // connections that are told that there is no place
}

// Counts are a listener's figures, for the log: requests answered with an error of the
// client's, places taken from connections that brought least, connections closed as too many
// rested, and connections closed for want of a place.
type Counts struct {
	Rejected, Evicted, Spared, TurnedOff atomic.Int64
	Closes                               httpio.Closes
}

// Class is what the listener needs to know of a class.
type Class struct {
	Patience float64 // of a client that tells none, in milliseconds
	Keyed    bool    // its jobs must have a key
}

// New makes a listener ready to serve, with a budget for its connections.
func New(core Scheduler, clk clock.Clock, log *slog.Logger, stack *httpio.Stack, classes map[string]Class, sockets *httpio.Budget) *Listener {
	l := &Listener{Core: core, Clock: clk, Log: log, Stack: stack, Classes: classes}
	l.slots = connectionSlots{clock: clk, budget: sockets, counts: &l.Counts, rests: max(1, sockets.Size()/restShare), all: map[*connectionSlot]bool{}}
	return l
}

// SetReady says what the readiness page answers.
func (l *Listener) SetReady(ready bool) { l.ready.Store(ready) }

// Wind closes connections that stand between requests, and each further one once it
// has its answer. New ones are still accepted: targets call back until the end.
func (l *Listener) Wind() { l.slots.drain(false) }

// Shut closes those too that still wait for a first request, and each new one on which none has come. What has
// come is served.
func (l *Listener) Shut() { l.slots.drain(true) }

// Winding says whether Wind was called.
func (l *Listener) Winding() bool { return l.slots.isEnding() }

// Busy is how many requests are being read, served or answered, and how many connections close; after Shut
// also how many wait for a first request.
func (l *Listener) Busy() int { return l.slots.busy() }

// Serve accepts connections until ctx ends, then closes what is left. Once Accept has failed by a deadline, it accepts none
// any more.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	var all sync.WaitGroup
	defer all.Wait()
	stop := context.AfterFunc(ctx, func() {
		ln.Close()
		l.slots.closeAll()
	})
	defer stop()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) { // nothing more is to be accepted; what was goes on
				ln.Close()
				<-ctx.Done()
			}
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			l.Log.Error("cannot accept", "cause", err)
			l.pause(ctx) // out of descriptors, perhaps: to try again at once would only burn the core
			continue
		}
		slot, ok := l.slots.acquire(l.Stack.Wrap(nc))
		if !ok {
			// Every place has a request in work. To leave the connection waiting would keep call-backs
			// waiting behind it, too; a target tries its call again.
			l.Counts.TurnedOff.Add(1)
			l.Counts.Closes.Note(closedNoPlace)
			l.turnOff(&all, nc)
			continue
		}
		all.Go(func() { l.serve(ctx, slot) })
	}
}

func (l *Listener) pause(ctx context.Context) {
	a := l.Clock.NewAlarm()
	defer a.Stop()
	a.Set(l.Clock.Now() + 20)
	select {
	case <-a.C():
	case <-ctx.Done():
	}
}

// turnOff refuses whatever is asked on a connection for which there is no place. To close it with a request
// unread would reset it, and its client would not know that to try again is harmless. When many come at once
// the rest are only closed.
func (l *Listener) turnOff(all *sync.WaitGroup, nc net.Conn) {
	if l.turning.Add(1) > overMost {
		l.turning.Add(-1)
		nc.Close()
		return
	}
	all.Go(func() {
		defer l.turning.Add(-1)
		l.reply(l.Stack.Wrap(nc), noPlace())
		httpio.CloseGently(nc, l.Clock.Deadline(lingerFor))
	})
}

func noPlace() reply {
	return reply{status: http.StatusServiceUnavailable, retryAfter: 1000, text: "refused: no place\n", close: true}
}

// serve takes the requests of one connection, one after the other.
func (l *Listener) serve(ctx context.Context, x *connectionSlot) {
	defer l.slots.release(x)
	c := x.conn
	// A new connection may have its first request on the way, so it is not closed unread while
	// the program winds down, but a silent one must not hold its place.
	if !l.slots.move(x, fresh, false, readFor) && !come(c) {
		l.part(x, l.slots.whyEnded(x))
		return
	}
	begun := l.Clock.Now()
	for ctx.Err() == nil {
		if err := c.Await(); err != nil {
			if !httpio.TimedOut(err) {
				return
			}
			// Nothing came in time, or the connection was told to end; but a request may have come in that moment.
			if !come(c) {
				l.part(x, l.slots.whyEnded(x))
				return
			}
		}
		within := readFor
		if begun > 0 {
			within, begun = readFor-(l.Clock.Now()-begun), 0
		}
		if !l.slots.move(x, reading, false, within) { // its place is taken, and what has come is refused unread
			l.reply(c, noPlace())
			l.part(x, closedPlace)
			return
		}
		req, body, err := c.ReadRequest(l.Clock.Deadline(writeFor))
		if err != nil {
			if l.reject(c, err) {
				l.part(x, closedBad)
			}
			return
		}
		if !l.slots.move(x, serving, false, readFor) {
			body.Release()
			l.reply(c, noPlace())
			l.part(x, closedPlace)
			return
		}
		if !l.answer(x, req, body) {
			return
		}
	}
}

// rest readies a connection for its next request, and says whether it may come. One that has come already is
// served, whatever became of the connection meanwhile.
func (l *Listener) rest(x *connectionSlot, job bool) bool {
	idle := spareFor
	if job || x.job {
		idle = idleFor
	}
	if l.slots.move(x, resting, job, idle) || come(x.conn) {
		return true
	}
	l.part(x, l.slots.whyEnded(x))
	return false
}

// come says whether something has come on a connection that is about to be closed. It is served then, or refused:
// its sender may have sent it long before, and only the program was late to read it.
func come(c *httpio.Conn) bool {
	here, _ := c.Look()
	return here
}

// reject answers what could not be read, if there may be somebody to answer, and says whether.
func (l *Listener) reject(c *httpio.Conn, err error) bool {
	l.Counts.Rejected.Add(1)
	l.Log.Debug("rejected", "peer", c.RemoteAddr(), "cause", err)
	r := reply{close: true}
	var netErr net.Error
	switch {
	case errors.Is(err, httpio.ErrTooLarge):
		r.status, r.text = http.StatusRequestEntityTooLarge, "body over 64 KiB\n"
	case errors.Is(err, httpio.ErrHeadTooLarge):
		r.status, r.text = http.StatusRequestHeaderFieldsTooLarge, err.Error()+"\n"
	case errors.Is(err, httpio.ErrMalformed):
		r.status, r.text = http.StatusBadRequest, "malformed request\n"
	case errors.As(err, &netErr) && netErr.Timeout():
		r.status, r.text = http.StatusRequestTimeout, "the request did not come whole in time\n"
	default:
		return false
	}
	return l.reply(c, r)
}

// answer serves one request and says whether the connection goes on. It takes over the body.
func (l *Listener) answer(x *connectionSlot, req *http.Request, body *buffer.Body) bool {
	path := req.URL.Path
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, isJob := l.Classes[name]
	var r reply
	switch {
	case path == "/up":
		r = l.up(req)
	case path == "/v1/job-events":
		r = l.callBack(req, body)
	case !isJob:
		r = reply{status: http.StatusNotFound, text: "no such path\n"}
	case req.Method != http.MethodPost:
		r = reply{status: http.StatusMethodNotAllowed, allow: "POST", text: "jobs come by POST\n"}
	default:
		flow, err := parseJob(req, name, class)
		if err != nil {
			r = reply{status: http.StatusBadRequest, text: err.Error() + "\n"}
			break
		}
		flow.Job.Body = body
		return l.flow(x, flow, req.Close)
	}
	body.Release()
	if r.status >= 400 && r.status != http.StatusServiceUnavailable {
		l.Counts.Rejected.Add(1)
		l.Log.Debug("rejected", "peer", x.conn.RemoteAddr(), "cause", r.text)
	}
	r.close = r.close || req.Close || l.slots.parting(x)
	switch {
	case !l.reply(x.conn, r):
		x.reason = closedUnwritten
		return false
	case r.close:
		l.part(x, l.slots.whyLast(x, req.Close, false))
		return false
	}
	return l.rest(x, false)
}

func (l *Listener) up(req *http.Request) reply {
	switch {
	case req.Method != http.MethodGet:
		return reply{status: http.StatusMethodNotAllowed, allow: "GET"}
	case !l.Ready():
		return reply{status: http.StatusServiceUnavailable, retryAfter: 1000, text: "not ready\n"}
	}
	return reply{status: http.StatusOK, text: "ready\n"}
}

// exchange is one flow's side of a connection.
type exchange struct{ answers chan core.Answer }

// Answer implements core.Listener.
func (e *exchange) Answer(a core.Answer) { e.answers <- a } // room for the only one

// Progress implements core.Listener; this wire has no word for it.
func (e *exchange) Progress(core.Progress) {}

// flow hands a job to the core, waits for its answer and writes that. A client that
// closes its side meanwhile has gone away, also one that has sent more before.
func (l *Listener) flow(x *connectionSlot, r *core.Request, last bool) bool {
	c := x.conn
	e := &exchange{answers: make(chan core.Answer, 1)}
	r.From = e
	// The core owns r once it is taken in. The deadline goes before, as a connection that broke by now must not
	// bring a job.
	if err := c.SetReadDeadline(l.Clock.Deadline(r.Patience + spare)); err != nil {
		r.Job.Body.Release()
		return false
	}
	ticket := l.Core.TakeIn(r)
	var flooded bool
	gone := make(chan error, 1)
	go func() {
		var err error
		flooded, err = c.Watch()
		gone <- err
	}()
	var a core.Answer
	select {
	case a = <-e.answers:
		c.Wake()
		<-gone // had it gone in this moment, the answer may still arrive: it may have ended its own side alone
	case err := <-gone:
		ticket.Left()
		switch {
		case err == nil:
			l.part(x, closedLate)
		case errors.Is(err, httpio.ErrTooLarge): // which is no client of the protocol's
			l.part(x, closedFlood)
		}
		return false
	}
	p := fixedResponse(a)
	// While winding down, an answer is the best moment to part: no request can cross the closing.
	p.close = last || flooded || l.slots.parting(x)
	switch {
	case !l.reply(c, p):
		x.reason = closedUnwritten
		return false
	case p.close:
		l.part(x, l.slots.whyLast(x, last, flooded))
		return false
	}
	return l.rest(x, true)
}

// fixedResponse words the core's answer in this protocol.
func fixedResponse(a core.Answer) reply {
	switch {
	case a.Kind == core.Served:
		return reply{status: http.StatusOK, text: a.Body}
	case a.Kind == core.Refused:
		return reply{status: http.StatusServiceUnavailable, retryAfter: max(a.RetryAfter, 1), text: "refused: no room in time\n"}
	case a.TimedOut:
		return reply{status: http.StatusGatewayTimeout, text: "failed: out of time\n"}
	}
	return reply{status: http.StatusInternalServerError, text: "failed\n"}
}

// reply is an answer to be written.
type reply struct {
	status     int
	retryAfter float64 // milliseconds
	allow      string
	close      bool
	text       string
}

// reply writes r and says whether its last byte went out.
func (l *Listener) reply(c *httpio.Conn, r reply) bool {
	buf := c.Buffer()
	defer c.Done(buf)
	h := httpio.Start(buf, "HTTP/1.1 ", fmt.Sprint(r.status), " ", http.StatusText(r.status)).Field("Allow", r.allow)
	if r.retryAfter > 0 {
		h.Field("Retry-After", seconds(r.retryAfter))
	}
	if r.close {
		h.Field("Connection", "close")
	}
	var body [][]byte
	if r.status != http.StatusNoContent && r.text != "" {
		body = [][]byte{[]byte(r.text)}
	}
	_, err := c.Send(h, body, l.Clock.Deadline(writeFor))
	return err == nil
}

// Ready says what the readiness page answers.
func (l *Listener) Ready() bool { return l.ready.Load() && !l.slots.isAway() }

// Leave takes the scheduler out of service: the readiness page says no, and connections close that stand between requests,
// and each further one once it has its answer. What comes until clients know is served.
func (l *Listener) Leave() { l.slots.leave(true) }

// Return brings it back to service.
func (l *Listener) Return() { l.slots.leave(false) }
