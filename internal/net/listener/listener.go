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

	"reachcart/internal/buffer"
	"reachcart/internal/clock"
	"reachcart/internal/core"
	"reachcart/internal/net/httpio"
)

const (
	idleFor   = 120_000.0 // milliseconds that a connection may stand idle
	readFor   = 10_000.0  // for a request, from its first byte to its last
	writeFor  = 5_000.0
	lingerFor = 1_000.0 // for a client to read why its request is no request
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
	// Classes are the classes of requests by name, with the patience of a client that tells none.
	Classes map[string]float64
	// Sockets bounds the connections.
	Sockets *httpio.Budget

	ready   atomic.Bool
	closing atomic.Bool
	mu      sync.Mutex
	conns   map[*httpio.Conn]bool // whether a request is being read, served or answered
}

// New makes a listener ready to serve.
func New(core Scheduler, clk clock.Clock, log *slog.Logger, stack *httpio.Stack, classes map[string]float64, sockets *httpio.Budget) *Listener {
	return &Listener{Core: core, Clock: clk, Log: log, Stack: stack, Classes: classes, Sockets: sockets,
		conns: map[*httpio.Conn]bool{}}
}

// SetReady says what the readiness page answers.
func (l *Listener) SetReady(ready bool) { l.ready.Store(ready) }

// Wind closes connections that stand between requests, and each further one once it
// has its answer. New ones are still accepted: targets call back until the end.
func (l *Listener) Wind() {
	l.closing.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, busy := range l.conns {
		if !busy {
			c.Close()
		}
	}
}

// Busy is how many requests are being read, served or answered.
func (l *Listener) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, busy := range l.conns {
		if busy {
			n++
		}
	}
	return n
}

// Serve accepts connections until ctx ends, then closes what is left.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	var all sync.WaitGroup
	defer all.Wait()
	stop := context.AfterFunc(ctx, func() {
		ln.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.conns {
			c.Close()
		}
	})
	defer stop()
	for {
		if !l.Sockets.Take(ctx.Done()) {
			return nil
		}
		nc, err := ln.Accept()
		if err != nil {
			l.Sockets.Give()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			l.Log.Error("cannot accept", "cause", err)
			l.pause(ctx) // out of descriptors, perhaps: to try again at once would only burn the core
			continue
		}
		all.Go(func() {
			defer l.Sockets.Give()
			l.serve(ctx, nc)
		})
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

// mark notes whether c is busy; it returns false if c should rather be closed.
func (l *Listener) mark(c *httpio.Conn, busy bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = busy
	return busy || !l.closing.Load()
}

// serve takes the requests of one connection, one after the other.
func (l *Listener) serve(ctx context.Context, nc net.Conn) {
	c := l.Stack.Wrap(nc)
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		c.Close()
	}()
	first := true
	for ctx.Err() == nil {
		// A new connection may have its first request on the way, so it is not closed unread.
		if !l.mark(c, false) && !first {
			return
		}
		first = false
		if c.SetReadDeadline(l.Clock.Deadline(idleFor)) != nil || c.Await() != nil {
			return
		}
		l.mark(c, true)
		req, body, err := c.ReadRequest(l.Clock.Deadline(readFor))
		if err != nil {
			l.reject(c, err)
			httpio.CloseGently(c.Conn, l.Clock.Deadline(lingerFor))
			return
		}
		if !l.answer(c, req, body) {
			return
		}
	}
}

// reject answers what could not be read, where there is somebody to answer.
func (l *Listener) reject(c *httpio.Conn, err error) {
	switch {
	case errors.Is(err, httpio.ErrTooLarge):
		l.reply(c, reply{status: http.StatusRequestEntityTooLarge, close: true, text: "body over 64 KiB\n"})
	case errors.Is(err, httpio.ErrMalformed):
		l.reply(c, reply{status: http.StatusBadRequest, close: true, text: "malformed request\n"})
	}
}

// answer serves one request and says whether the connection goes on. It takes over the body.
func (l *Listener) answer(c *httpio.Conn, req *http.Request, body *buffer.Body) bool {
	path := req.URL.Path
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	patience, isJob := l.Classes[class]
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
		flow, err := parseJob(req, class, patience)
		if err != nil {
			r = reply{status: http.StatusBadRequest, text: err.Error() + "\n"}
			break
		}
		flow.Job.Body = body
		return l.flow(c, flow, req.Close)
	}
	body.Release()
	r.close = r.close || req.Close
	return l.reply(c, r) && !r.close
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
func (l *Listener) flow(c *httpio.Conn, r *core.Request, last bool) bool {
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
	p.close = last || !l.ready.Load() || l.closing.Load() || l.Sockets.Tight()
	if !l.reply(c, p) || p.close {
		c.Close() // ends Await
		<-next
		return false
	}
	l.mark(c, false)
	if l.closing.Load() {
		c.Close()
	}
	if c.SetReadDeadline(l.Clock.Deadline(idleFor)) != nil {
		return false
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
