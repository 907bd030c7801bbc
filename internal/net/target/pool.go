package target

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/clock"
	"cottonwell/internal/net/httpio"
)

var (
	errNoSocket = errors.New("socket budget exhausted")
	errDial     = errors.New("connect")
)

// pool is the list of idle connections to one target, in the order of their release.
type pool struct {
	mu   sync.Mutex
	idle []idleConn
}

type idleConn struct {
	conn      *httpio.Conn
	idleSince float64
}

// retireShare is the share of the target's idle limit after which a connection is not reused. The target may close
// the connection at any time up to that limit. A request that crosses the close ends as a reset, and a purchase
// may then not move to another pod.
const retireShare = 0.5

// minIdleTime is the time in milliseconds that a connection stays idle before it carries the next request. A
// target or an intermediary may send a second response some milliseconds after the first. Taken for the response
// to the next request, it would report a wrong outcome, even that the request never ran.
const minIdleTime = 20.0

// neverIdle is the idle time of a connection that has not carried a request yet.
const neverIdle = -1.0

// acquire returns a connection to the target and its idle time in milliseconds. It prefers a usable connection that
// has been idle for at least minIdleTime, and dials otherwise.
func (t *Transport) acquire(target *targetState, address string) (conn *httpio.Conn, idleTime float64, err error) {
	t.closeIdle(target, t.idleStats.limit(t.IdleTimeout*retireShare), closedIdle)
	for {
		x, ok := target.pool.takeLatest(t.Clock.Now() - minIdleTime)
		if !ok {
			break
		}
		if usable(x.conn) {
			t.Counts.Reused.Add(1)
			return x.conn, max(0, t.Clock.Now()-x.idleSince), nil
		}
		t.Counts.Retired.Add(1)
		t.discard(x.conn, closedStale)
	}
	if !t.Sockets.TryAcquire() && !t.evict() {
		return nil, neverIdle, errNoSocket
	}
	t.Counts.Dials.Add(1)
	nc, err := net.DialTimeout("tcp", address, clock.Duration(t.DialTimeout))
	if err != nil {
		t.Sockets.Release()
		return nil, neverIdle, fmt.Errorf("%w: %w", errDial, err)
	}
	return t.Stack.Wrap(nc), neverIdle, nil
}

// takeLatest removes and returns the connection released last among those released at idleBefore or earlier.
func (p *pool) takeLatest(idleBefore float64) (idleConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if x := p.idle[i]; x.idleSince <= idleBefore {
			p.idle = slices.Delete(p.idle, i, i+1)
			return x, true
		}
	}
	return idleConn{}, false
}

// finishResponse reads the rest of a response and returns its connection to the pool.
func (t *Transport) finishResponse(target *targetState, conn *httpio.Conn, resp *http.Response) {
	body, err := conn.ReadBody(resp, t.Clock.Deadline(bodyTimeout))
	if err != nil {
		t.discard(conn, closedBodyIncomplete)
		return
	}
	body.Release()
	t.release(target, conn, resp.Close)
}

// release returns a connection to the pool, unless the target closes it or has sent more than the response.
func (t *Transport) release(target *targetState, conn *httpio.Conn, closing bool) {
	if reason := reasonNotReusable(conn, closing); reason != "" {
		t.discard(conn, reason)
		return
	}
	target.pool.mu.Lock()
	defer target.pool.mu.Unlock()
	target.pool.idle = append(target.pool.idle, idleConn{conn, t.Clock.Now()})
}

// reasonNotReusable returns why a connection can carry no further request, or "" if it can.
func reasonNotReusable(conn *httpio.Conn, closing bool) httpio.CloseReason {
	switch {
	case closing:
		return closedByTarget
	case conn.Buffered():
		return closedExtraData
	case conn.SetDeadline(time.Time{}) != nil: // a deadline that expires while the connection is idle would make it look dead
		return closedBroken
	}
	return ""
}

// closeIdle closes the connections that have been idle for at least after milliseconds. The pool is in order of
// release, so these come first.
func (t *Transport) closeIdle(target *targetState, after float64, reason httpio.CloseReason) {
	target.pool.mu.Lock()
	n := 0
	for n < len(target.pool.idle) && t.Clock.Now()-target.pool.idle[n].idleSince >= after {
		n++
	}
	expired := append([]idleConn(nil), target.pool.idle[:n]...)
	target.pool.idle = append(target.pool.idle[:0], target.pool.idle[n:]...)
	target.pool.mu.Unlock()
	for _, x := range expired {
		t.Counts.Retired.Add(1)
		t.discard(x.conn, reason)
	}
}

// evict closes an idle connection of any target and leaves its place in the socket budget to the caller.
func (t *Transport) evict() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, target := range t.targets {
		target.pool.mu.Lock()
		if len(target.pool.idle) > 0 {
			c := target.pool.idle[0].conn
			target.pool.idle = target.pool.idle[1:]
			target.pool.mu.Unlock()
			t.Counts.Closes.Add(closedEvicted)
			c.Close()
			return true
		}
		target.pool.mu.Unlock()
	}
	return false
}

// usable reports, without blocking, whether an idle connection is still open and has no unexpected data to read.
func usable(c *httpio.Conn) bool {
	received, err := c.Peek()
	return !received && err == nil
}

// parseProbeReport reads a load report from the response to a probe: from the body, as JSON or as name=value
// pairs, or else from the header.
func parseProbeReport(body []byte, header string) balance.Report {
	body = bytes.TrimSpace(body)
	var values map[string]float64
	if json.Unmarshal(body, &values) == nil && len(values) > 0 {
		return httpio.Load(values)
	}
	if rep := httpio.ParseLoad(strings.TrimSpace(string(body))); rep.Present {
		return rep
	}
	return httpio.ParseLoad(header)
}
