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
	lingerFor = 400.0   // for a client to read why its request is no request
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

	ready atomic.Bool
	seats seats
}

// Counts are a listener's figures, for the log: requests answered with an error of the
// client's, places taken from connections that brought least, connections closed as too many
// rested, and connections closed for want of a place.
type Counts struct{ Rejected, Evicted, Spared, TurnedOff atomic.Int64 }

// Class is what the listener needs to know of a class.
type Class struct {
	Patience float64 // of a client that tells none, in milliseconds
	Keyed    bool    // its jobs must have a key
}

// New makes a listener ready to serve, with a budget for its connections.
func New(core Scheduler, clk clock.Clock, log *slog.Logger, stack *httpio.Stack, classes map[string]Class, sockets *httpio.Budget) *Listener {
	l := &Listener{Core: core, Clock: clk, Log: log, Stack: stack, Classes: classes}
	l.seats = seats{clock: clk, budget: sockets, counts: &l.Counts, rests: max(1, sockets.Size()/restShare), all: map[*seat]bool{}}
	return l
}

// SetReady says what the readiness page answers.
func (l *Listener) SetReady(ready bool) { l.ready.Store(ready) }

// Wind closes connections that stand between requests, and each further one once it
// has its answer. New ones are still accepted: targets call back until the end.
func (l *Listener) Wind() { l.seats.wind() }

// Winding says whether Wind was called.
func (l *Listener) Winding() bool { return l.seats.winding() }

// Busy is how many requests are being read, served or answered.
func (l *Listener) Busy() int { return l.seats.busy() }

// Serve accepts connections until ctx ends, then closes what is left.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	var all sync.WaitGroup
	defer all.Wait()
	stop := context.AfterFunc(ctx, func() {
		ln.Close()
		l.seats.closeAll()
	})
	defer stop()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			l.Log.Error("cannot accept", "cause", err)
			l.pause(ctx) // out of descriptors, perhaps: to try again at once would only burn the core
			continue
		}
		seat, ok := l.seats.sit(l.Stack.Wrap(nc))
		if !ok {
			// Every place has a request in work. To leave the connection waiting would keep call-backs
			// waiting behind it, too; a target tries its call again.
			l.Counts.TurnedOff.Add(1)
			nc.Close()
			continue
		}
		all.Go(func() { l.serve(ctx, seat) })
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

// serve takes the requests of one connection, one after the other.
func (l *Listener) serve(ctx context.Context, x *seat) {
	defer l.seats.leave(x)
	c := x.conn
	by := l.Clock.Deadline(readFor)
	// A new connection may have its first request on the way, so it is not closed unread while
	// the program winds down, but a silent one must not hold its place.
	if c.SetReadDeadline(by) != nil || c.Await() != nil {
		return
	}
	for ctx.Err() == nil {
		if !l.seats.move(x, reading, false) {
			return
		}
		req, body, err := c.ReadRequest(by)
		if err != nil {
			if l.reject(c, err) && l.seats.move(x, resting, false) {
				httpio.CloseGently(c.Conn, l.Clock.Deadline(lingerFor))
			}
			return
		}
		if !l.seats.move(x, serving, false) {
			body.Release()
			return
		}
		if !l.answer(x, req, body) || c.Await() != nil {
			return
		}
		by = l.Clock.Deadline(readFor)
	}
}

// rest readies a connection for its next request, and says whether it may come.
func (l *Listener) rest(x *seat, job bool) bool {
	idle := spareFor
	if job || x.job {
		idle = idleFor
	}
	return x.conn.SetReadDeadline(l.Clock.Deadline(idle)) == nil && l.seats.move(x, resting, job)
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
func (l *Listener) answer(x *seat, req *http.Request, body *buffer.Body) bool {
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
	r.close = r.close || req.Close
	return l.reply(x.conn, r) && !r.close && l.rest(x, false)
}

func (l *Listener) up(req *http.Request) reply {
	switch {
	case req.Method != http.MethodGet:
		return reply{status: http.StatusMethodNotAllowed, allow: "GET"}
	case !l.ready.Load():
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
// closes its side meanwhile has gone away.
func (l *Listener) flow(x *seat, r *core.Request, last bool) bool {
	c := x.conn
	e := &exchange{answers: make(chan core.Answer, 1)}
	r.From = e
	patience := r.Patience // the core owns r from here on
	ticket := l.Core.TakeIn(r)
	if err := c.SetReadDeadline(l.Clock.Deadline(patience + spare)); err != nil {
		ticket.Left()
		return false
	}
	next := make(chan error, 1)
	go func() { next <- c.Await() }()
	var a core.Answer
	select {
	case a = <-e.answers:
	case err := <-next:
		if err != nil {
			ticket.Left()
			return false
		}
		a = <-e.answers // the next request is there already: it has to wait
		next <- nil
	}
	p := fixedResponse(a)
	// While winding down, an answer is the best moment to part: no request can cross the closing.
	p.close = last || l.seats.winding()
	if !l.reply(c, p) || p.close {
		c.Close() // ends Await
		<-next
		return false
	}
	if !l.rest(x, true) {
		c.Close()
	}
	return <-next == nil
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
func (l *Listener) Ready() bool { return l.ready.Load() }
