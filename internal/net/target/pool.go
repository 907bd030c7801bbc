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
	errNoSocket = errors.New("the budget of sockets is spent")
	errDial     = errors.New("connect")
)

// pool holds the idle connections to one target, the one used last on top.
type pool struct {
	mu   sync.Mutex
	idle []idle
}

type idle struct {
	conn  *httpio.Conn
	since float64
}

// retireShare is the share of the target's idle limit after which a connection is not
// used again. The target closes it "at the latest" then, and a request that crosses the
// closing ends as a reset, after which a purchase may not leave its pod.
const retireShare = 0.5

// restLeast is how long a connection rests at least, in milliseconds, before it carries the next request. A target, or
// what stands before it, may send a second answer some milliseconds after the first; read as the answer to the
// next request it would say of that one what is not so, even that it never ran.
const restLeast = 20.0

// fresh is the rest of a connection that has carried nothing yet.
const fresh = -1.0

// take returns a connection to the target, an idle one if there is one that has rested and still stands,
// and how long it has rested.
func (t *Transport) take(tg *target, address string) (c *httpio.Conn, rested float64, err error) {
	t.retire(tg, t.rests.limit(t.IdleFor*retireShare), closedIdle)
	for {
		x, ok := tg.pool.last(t.Clock.Now() - restLeast)
		if !ok {
			break
		}
		if stands(x.conn) {
			t.Counts.Reused.Add(1)
			return x.conn, max(0, t.Clock.Now()-x.since), nil
		}
		t.Counts.Retired.Add(1)
		t.discard(x.conn, closedStale)
	}
	if !t.Sockets.TryTake() && !t.evict() {
		return nil, fresh, errNoSocket
	}
	t.Counts.Dialled.Add(1)
	nc, err := net.DialTimeout("tcp", address, clock.Duration(t.DialFor))
	if err != nil {
		t.Sockets.Give()
		return nil, fresh, fmt.Errorf("%w: %w", errDial, err)
	}
	return t.Stack.Wrap(nc), fresh, nil
}

// last takes out the connection that came last of those that have rested since a time.
func (p *pool) last(since float64) (idle, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if x := p.idle[i]; x.since <= since {
			p.idle = slices.Delete(p.idle, i, i+1)
			return x, true
		}
	}
	return idle{}, false
}

// settle reads what is left of an answer and puts its connection back.
func (t *Transport) settle(tg *target, c *httpio.Conn, resp *http.Response) {
	rest, err := c.ReadRest(resp, t.Clock.Deadline(bodyFor))
	if err != nil {
		t.discard(c, closedBody)
		return
	}
	rest.Release()
	t.put(tg, c, resp.Close)
}

// put puts a connection back, unless the target closes it or has sent more than it was asked for.
func (t *Transport) put(tg *target, c *httpio.Conn, last bool) {
	if reason := whyNotReused(c, last); reason != "" {
		t.discard(c, reason)
		return
	}
	tg.pool.mu.Lock()
	defer tg.pool.mu.Unlock()
	tg.pool.idle = append(tg.pool.idle, idle{c, t.Clock.Now()})
}

// whyNotReused says why no further request may go on a connection; empty if one may.
func whyNotReused(c *httpio.Conn, last bool) httpio.CloseReason {
	switch {
	case last:
		return closedLast
	case c.Ahead():
		return closedAhead
	case c.SetDeadline(time.Time{}) != nil: // one that passes while it is idle would make it look dead
		return closedBroken
	}
	return ""
}

// retire closes connections that have been idle so long, the oldest of which are at the bottom.
func (t *Transport) retire(tg *target, after float64, reason httpio.CloseReason) {
	tg.pool.mu.Lock()
	n := 0
	for n < len(tg.pool.idle) && t.Clock.Now()-tg.pool.idle[n].since >= after {
		n++
	}
	old := append([]idle(nil), tg.pool.idle[:n]...)
	tg.pool.idle = append(tg.pool.idle[:0], tg.pool.idle[n:]...)
	tg.pool.mu.Unlock()
	for _, x := range old {
		t.Counts.Retired.Add(1)
		t.discard(x.conn, reason)
	}
}

// evict closes an idle connection of any target, and keeps its place in the budget.
func (t *Transport) evict() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tg := range t.targets {
		tg.pool.mu.Lock()
		if len(tg.pool.idle) > 0 {
			c := tg.pool.idle[0].conn
			tg.pool.idle = tg.pool.idle[1:]
			tg.pool.mu.Unlock()
			t.Counts.Closes.Note(closedPlace)
			c.Close()
			return true
		}
		tg.pool.mu.Unlock()
	}
	return false
}

// stands looks, without waiting, whether the other side has closed an idle connection or
// sent something that nobody asked for. Either way it is of no use.
func stands(c *httpio.Conn) bool {
	come, err := c.Look()
	return !come && err == nil
}

// parseBody reads a load report from a probe's answer: the body, as name=value pairs or
// as JSON, or else the header.
func parseBody(body []byte, header string) balance.Report {
	body = bytes.TrimSpace(body)
	var figures map[string]float64
	if json.Unmarshal(body, &figures) == nil && len(figures) > 0 {
		return httpio.Load(figures)
	}
	if rep := httpio.ParseLoad(strings.TrimSpace(string(body))); rep.Present {
		return rep
	}
	return httpio.ParseLoad(header)
}
