// Package listener serves the clients' side of the platform's protocol over HTTP: jobs, the readiness page, and the
// callbacks by which targets report the progress and outcome of a job. It is given accepted connections and a
// budget of sockets. It passes each valid job and callback to the core, and writes the core's response to the
// client. It chooses no targets and keeps no state of a job beyond its connection.
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
	"cottonwell/internal/net/pacer"
)

const (
	idleTimeout      = 120_000.0 // milliseconds that a connection may be idle after it has carried a job
	noJobIdleTimeout = 5_000.0   // milliseconds that a connection may be idle that has not
	readTimeout      = 2_400.0   // milliseconds, from connecting to the first request's last byte; for later requests, from their first byte
	writeTimeout     = 2_000.0   // milliseconds
	idleDivisor      = 5         // one in idleDivisor of the slots may be idle between jobs
	lingerTimeout    = 400.0     // milliseconds for a client to close a connection whose sending side this process has closed
	maxOverBudget    = 16        // connections beyond the budget that may close gently; as many more may receive a response that there is no slot
	flowGrace        = 5_000.0   // milliseconds beyond the client's deadline after which a flow's connection is closed
)

// Scheduler is the part of the core that the listener uses.
type Scheduler interface {
	Accept(*core.Request) core.Ticket
	ReceiveCallback(core.TargetCallback)
}

// Listener accepts clients' connections and targets' callbacks at one address.
type Listener struct {
	Core  Scheduler
	Clock clock.Clock
	Log   *slog.Logger
	Stack *httpio.Stack
	// Classes are the request classes by name.
	Classes map[string]Class

	Counts Counts

	ready     atomic.Bool
	slots     connectionSlots
	rejecting atomic.Int64 // connections that are receiving the response that there is no slot
}

// Counts are the counters of a listener, for the log. Rejected counts requests with a client error, Evicted the
// slots taken from inactive connections, ClosedExcessIdle the connections closed because too many were idle, and
// RefusedNoSlot those rejected for lack of a slot.
type Counts struct {
	Rejected, Evicted, ClosedExcessIdle, RefusedNoSlot atomic.Int64
	Closes                                             httpio.Closes
}

// Class is the listener's part of a class's settings.
type Class struct {
	ClientTimeout float64 // client timeout in milliseconds where the request has none
	KeyRequired   bool    // its jobs must have an Idempotency-Key
}

// New returns a listener with a socket budget for its connections.
func New(core Scheduler, clk clock.Clock, log *slog.Logger, stack *httpio.Stack, classes map[string]Class, sockets *httpio.Budget) *Listener {
	l := &Listener{Core: core, Clock: clk, Log: log, Stack: stack, Classes: classes}
	l.slots = connectionSlots{clock: clk, budget: sockets, counts: &l.Counts, maxIdle: max(1, sockets.Size()/idleDivisor), open: map[*connectionSlot]bool{}}
	return l
}

// SetReady sets what the readiness page reports.
func (l *Listener) SetReady(ready bool) { l.ready.Store(ready) }

// StartShutdown starts the graceful shutdown: it closes the idle connections, and each further one after its response. The
// listener still accepts new connections, as targets call back until the end.
func (l *Listener) StartShutdown() { l.slots.drain(false) }

// FinishShutdown also closes the connections that still wait for a first request, and each new one without a pending
// request. Requests that have arrived are served.
func (l *Listener) FinishShutdown() { l.slots.drain(true) }

// ShuttingDown reports whether StartShutdown was called.
func (l *Listener) ShuttingDown() bool { return l.slots.isShuttingDown() }

// Busy returns the number of connections on which a request is read or served, or that are closing. After
// FinishShutdown it includes those that wait for a first request.
func (l *Listener) Busy() int { return l.slots.busy() }

// Serve accepts connections until ctx ends, then closes the remaining ones. After Accept has failed with a
// deadline, it accepts no more connections and serves the open ones.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	var handlers sync.WaitGroup
	defer handlers.Wait()
	stop := context.AfterFunc(ctx, func() {
		ln.Close()
		l.slots.closeAll()
	})
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) { // no more connections are accepted, and the open ones continue
				ln.Close()
				<-ctx.Done()
			}
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			l.Log.Error("cannot accept", "cause", err)
			l.pause(ctx) // perhaps out of file descriptors: an immediate retry would only use up the CPU
			continue
		}
		slot, ok := l.slots.acquire(l.Stack.Wrap(conn))
		if !ok {
			// Every slot has a request in progress. Leaving the connection in the queue would also delay the
			// callbacks behind it. A target retries its callback.
			l.Counts.RefusedNoSlot.Add(1)
			l.Counts.Closes.Add(closedNoSlot)
			l.rejectConn(&handlers, conn)
			continue
		}
		handlers.Go(func() { l.serve(ctx, slot) })
	}
}

// pause waits 20 ms, or until ctx ends.
func (l *Listener) pause(ctx context.Context) {
	alarm := l.Clock.NewAlarm()
	defer alarm.Stop()
	alarm.Set(l.Clock.Now() + 20)
	select {
	case <-alarm.C():
	case <-ctx.Done():
	}
}

// rejectConn refuses any request on a connection for which there is no slot. Closing with an unread request would
// reset the connection, and its client would not know that a retry is safe. If more than maxOverBudget arrive at
// once, the others are only closed.
func (l *Listener) rejectConn(handlers *sync.WaitGroup, conn net.Conn) {
	if l.rejecting.Add(1) > maxOverBudget {
		l.rejecting.Add(-1)
		conn.Close()
		return
	}
	handlers.Go(func() {
		defer l.rejecting.Add(-1)
		l.reply(l.Stack.Wrap(conn), noSlotReply())
		httpio.CloseGently(conn, l.Clock.Deadline(lingerTimeout))
	})
}

func noSlotReply() reply {
	return reply{status: http.StatusServiceUnavailable, retryAfter: 1000, text: "refused: no place\n", close: true}
}

// serve handles the requests of one connection, one after the other.
func (l *Listener) serve(ctx context.Context, slot *connectionSlot) {
	defer l.slots.release(slot)
	c := slot.conn
	// A new connection may have its first request on the way, so a graceful shutdown does not close it unread. A
	// silent connection must not keep its slot.
	if !l.slots.setState(slot, awaitingFirst, false, readTimeout) && !dataPending(c) {
		l.closeGently(slot, l.slots.idleCloseReason(slot))
		return
	}
	connectedAt, pace := l.Clock.Now(), pacer.New(l.Clock)
	for ctx.Err() == nil {
		if err := c.Await(); err != nil {
			if !httpio.TimedOut(err) {
				return
			}
			// The deadline has passed, or Wake was called. A request may have arrived at the same moment.
			if !dataPending(c) {
				l.closeGently(slot, l.slots.idleCloseReason(slot))
				return
			}
		}
		timeout := readTimeout
		if connectedAt > 0 {
			timeout, connectedAt = readTimeout-(l.Clock.Now()-connectedAt), 0
		}
		if !l.slots.setState(slot, reading, false, timeout) { // its slot was evicted, and what has arrived is refused unread
			l.reply(c, noSlotReply())
			l.closeGently(slot, closedEvicted)
			return
		}
		req, body, err := c.ReadRequest(l.Clock.Deadline(writeTimeout))
		if err != nil {
			if l.reject(c, err) {
				l.closeGently(slot, closedUnreadable)
			}
			return
		}
		if !l.slots.setState(slot, serving, false, readTimeout) {
			body.Release()
			l.reply(c, noSlotReply())
			l.closeGently(slot, closedEvicted)
			return
		}
		size := body.Len()
		if !l.handle(slot, req, body) {
			return
		}
		pace.Pause(size, ctx.Done())
	}
}

// awaitNext prepares a connection for its next request, and reports whether it stays open. A request that has
// already arrived is served, even if the connection is marked to close.
func (l *Listener) awaitNext(slot *connectionSlot, job bool) bool {
	timeout := noJobIdleTimeout
	if job || slot.hadJob {
		timeout = idleTimeout
	}
	if l.slots.setState(slot, idle, job, timeout) || dataPending(slot.conn) {
		return true
	}
	l.closeGently(slot, l.slots.idleCloseReason(slot))
	return false
}

// dataPending reports whether data has arrived on a connection that is about to be closed. That request is then
// served or refused: its client may have sent it long before, and only this process was late to read it.
func dataPending(c *httpio.Conn) bool {
	pending, _ := c.Peek()
	return pending
}

// reject writes the response to a request that could not be read. It returns false if nothing could be written.
func (l *Listener) reject(c *httpio.Conn, err error) bool {
	l.Counts.Rejected.Add(1)
	l.Log.Debug("rejected", "peer", c.RemoteAddr(), "cause", err)
	r := reply{close: true}
	var netErr net.Error
	switch {
	case errors.Is(err, httpio.ErrTooLarge):
		r.status, r.text = http.StatusRequestEntityTooLarge, "body over 64 KiB\n"
	case errors.Is(err, httpio.ErrNoMemory): // nothing of it was forwarded
		r.status, r.retryAfter, r.text = http.StatusServiceUnavailable, 1000, "refused: no memory\n"
	case errors.Is(err, httpio.ErrHeadTooLarge), errors.Is(err, httpio.ErrTooManyFields):
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

// handle serves one request and reports whether the connection stays open. It takes over the body.
func (l *Listener) handle(slot *connectionSlot, req *http.Request, body *buffer.Body) bool {
	path := req.URL.Path
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, isJob := l.Classes[name]
	var r reply
	switch {
	case path == "/up":
		r = l.readiness(req)
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
		return l.serveFlow(slot, flow, req.Close)
	}
	body.Release()
	if r.status >= 400 && r.status != http.StatusServiceUnavailable {
		l.Counts.Rejected.Add(1)
		l.Log.Debug("rejected", "peer", slot.conn.RemoteAddr(), "cause", r.text)
	}
	r.close = r.close || req.Close || l.slots.mustClose(slot)
	switch {
	case !l.reply(slot.conn, r):
		slot.reason = closedWriteFailed
		return false
	case r.close:
		l.closeGently(slot, l.slots.lastCloseReason(slot, req.Close, false))
		return false
	}
	return l.awaitNext(slot, false)
}

// readiness returns the response of the readiness page.
func (l *Listener) readiness(req *http.Request) reply {
	switch {
	case req.Method != http.MethodGet:
		return reply{status: http.StatusMethodNotAllowed, allow: "GET"}
	case !l.Ready():
		return reply{status: http.StatusServiceUnavailable, retryAfter: 1000, text: "not ready\n"}
	}
	return reply{status: http.StatusOK, text: "ready\n"}
}

// flowReceiver receives the core's response to one flow.
type flowReceiver struct{ response chan core.Response }

// Respond implements core.ResponseReceiver.
func (e *flowReceiver) Respond(a core.Response) { e.response <- a } // the channel has a buffer for the only response

// Progress implements core.ResponseReceiver. This protocol has no message for progress.
func (e *flowReceiver) Progress(core.Progress) {}

// Partial implements core.ResponseReceiver. This protocol has no message for a part of a result, so the whole result is sent.
func (e *flowReceiver) Partial(output core.PartialOutput) core.PartialHandling {
	if output.Kind == core.PartialResult {
		return core.HeldBack
	}
	return core.Ignored
}

// serveFlow passes a job to the core, waits for its response and writes that to the client. A client that closes
// its side meanwhile counts as disconnected, even if it had pipelined another request.
func (l *Listener) serveFlow(slot *connectionSlot, r *core.Request, lastRequest bool) bool {
	c := slot.conn
	receiver := &flowReceiver{response: make(chan core.Response, 1)}
	r.Receiver = receiver
	// From Accept on, the core owns r. A client that has left already, perhaps long before its request was read, must not start a
	// job, nor must a connection that is broken.
	if c.ClientGone() {
		r.Job.Body.Release()
		return false
	}
	if err := c.SetReadDeadline(l.Clock.Deadline(r.ClientTimeoutMS + flowGrace)); err != nil {
		r.Job.Body.Release()
		return false
	}
	ticket := l.Core.Accept(r)
	var overflowed bool
	disconnected := make(chan error, 1)
	go func() {
		var err error
		overflowed, err = c.WatchClose()
		disconnected <- err
	}()
	var coreResponse core.Response
	select {
	case coreResponse = <-receiver.response:
		c.Wake()
		<-disconnected // even if the client has just closed, the response may still arrive: it may have closed only its sending side
	case err := <-disconnected:
		ticket.ClientLeft()
		switch {
		case err == nil:
			l.closeGently(slot, closedTimeout)
		case errors.Is(err, httpio.ErrTooLarge): // no client of this protocol sends that much
			l.closeGently(slot, closedOverflow)
		}
		return false
	}
	response := fixedResponse(coreResponse)
	// During a graceful shutdown, the response is the best moment to close: no request can cross the close.
	response.close = lastRequest || overflowed || l.slots.mustClose(slot)
	switch {
	case !l.reply(c, response):
		slot.reason = closedWriteFailed
		return false
	case response.close:
		l.closeGently(slot, l.slots.lastCloseReason(slot, lastRequest, overflowed))
		return false
	}
	return l.awaitNext(slot, true)
}

// fixedResponse returns the HTTP response for a response of the core.
func fixedResponse(a core.Response) reply {
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

// reply is a response to write.
type reply struct {
	status     int
	retryAfter float64 // milliseconds
	allow      string
	close      bool
	text       string
}

// reply writes r and reports whether its last byte was sent.
func (l *Listener) reply(c *httpio.Conn, r reply) bool {
	buf := c.Buffer()
	defer c.Done(buf)
	h := httpio.Start(buf, "HTTP/1.1 ", fmt.Sprint(r.status), " ", http.StatusText(r.status)).Field("Allow", r.allow)
	if r.retryAfter > 0 {
		h.Field("Retry-After", retryAfterSeconds(r.retryAfter))
	}
	if r.close {
		h.Field("Connection", "close")
	}
	var body [][]byte
	if r.status != http.StatusNoContent && r.text != "" {
		body = [][]byte{[]byte(r.text)}
	}
	_, err := c.Send(h, body, l.Clock.Deadline(writeTimeout))
	return err == nil
}

// Ready reports whether the readiness page reports ready.
func (l *Listener) Ready() bool { return l.ready.Load() && !l.slots.isOutOfService() }

// TakeOutOfService takes the scheduler out of service. The readiness page then reports not ready, idle connections are
// closed, and each further one after its response. Requests that arrive until the clients have noticed are served.
func (l *Listener) TakeOutOfService() { l.slots.setOutOfService(true) }

// PutInService puts the scheduler back into service.
func (l *Listener) PutInService() { l.slots.setOutOfService(false) }
