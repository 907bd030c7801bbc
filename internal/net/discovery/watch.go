package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"

	"cottonwell/internal/clock"
	"cottonwell/internal/net/httpio"
)

// watch is one call for the list and its changes, until its connection ends.
type watch struct {
	*Watcher
	address string
	held    bool // a list was, as of version from
	from    uint64
	askedAt float64 // ms on the clock
	ctx     context.Context
	cancel  context.CancelFunc
	once    sync.Once
	left    chan struct{} // closed once the watcher has moved to another address
	ended   chan struct{} // closed once err is set
	err     error         // why it ended
	listed  bool          // its first list was told; the watcher's mutex guards it
}

// leave says that the watcher has moved to another address.
func (x *watch) leave() { x.once.Do(func() { close(x.left) }) }

// isCurrent says whether the watcher has not moved away.
func (x *watch) isCurrent() bool {
	select {
	case <-x.left:
		return false
	default:
		return true
	}
}

// run holds the watch until it ends, and says why it did.
func (x *watch) run() error {
	if x.address == "" {
		return errors.New("no address")
	}
	d := net.Dialer{Timeout: clock.Duration(dialFor)}
	nc, err := d.DialContext(x.ctx, "tcp", x.address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(x.ctx, func() { nc.Close() })()
	c := x.Stack.Wrap(nc)
	if err := x.ask(c); err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	resp, err := c.Stream("GET", x.Clock.Deadline(firstFor))
	if err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return fmt.Errorf("answer: status %d", resp.StatusCode)
	}
	x.Log.Info("watch open", "discovery", x.address, "held", x.held, "from", x.from)
	return x.read(resp.Body, func() error {
		c.Grant()
		return c.SetReadDeadline(x.Clock.Deadline(quietFor))
	})
}

func (x *watch) ask(c *httpio.Conn) error {
	path := "/discovery/hosts?watch=1"
	if x.held {
		path += "&from=" + strconv.FormatUint(x.from, 10)
	}
	buf := c.Buffer()
	defer c.Done(buf)
	_, err := c.Send(httpio.Start(buf, "GET ", path, " HTTP/1.1").Field("Host", x.address), nil, x.Clock.Deadline(dialFor))
	return err
}

// read tells of the lists as they come, and of signs of life between them. alive is called at each, and has the connection
// live on for a while.
func (x *watch) read(body io.Reader, alive func() error) error {
	beat := &pulse{r: body, now: x.Clock.Now, alive: alive}
	if err := beat.alive(); err != nil {
		return err
	}
	listed := false // before the first list, a sign of life says nothing of what the list has missed
	beat.beats = func() {
		if listed && x.SignOfLife != nil && x.isCurrent() {
			x.SignOfLife(beat.readAt)
		}
	}
	for lists := json.NewDecoder(beat); ; listed = true {
		var l List
		if err := lists.Decode(&l); err != nil {
			if listed && !beat.within && endedThere(beat.failed) && x.Clock.Now() <= beat.readAt+emptyLineBy {
				beat.readAt = x.Clock.Now()
				beat.beats() // it ended, and had told all so far
			}
			return x.unreadable(err, beat.failed)
		}
		begunAt := beat.begunAt
		ahead, _ := io.ReadAll(lists.Buffered())
		if err := beat.whole(len(bytes.TrimSpace(ahead)) > 0); err != nil {
			return err
		}
		x.tell(&l, begunAt)
	}
}

// endedThere says whether the other side ended the stream.
func endedThere(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// unreadable is the error of a list that could not be read, failed that of the stream it came on, if that broke.
func (x *watch) unreadable(err, failed error) error {
	switch {
	case errors.Is(err, io.EOF):
		return errors.New("the stream ended")
	case failed != nil:
		return err // what has come of a list is nothing, and is told again
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isCurrent() { // what this object changed is lost: only the whole list can mend that
		x.Held, x.From = false, 0
	}
	return fmt.Errorf("a list that cannot be read: %w", err)
}

// tell passes a list on whose first byte was read at a time.
func (x *watch) tell(l *List, begunAt float64) {
	g, err := l.TargetGroup()
	if err != nil {
		x.Log.Warn("list entry passed over", "cause", err)
	}
	if x.takesOver(l.Index) {
		g.ReadAt = begunAt
	}
	x.Log.Info("list", "index", l.Index, "whole", l.Snapshot, "targets", len(l.Endpoints))
	x.Tell(g)
}

// takesOver notes the version of a list, and says whether the watch is of the address that has a say. Once it is, nothing
// of the address before is told any more.
func (x *watch) takesOver(version uint64) bool {
	x.mu.Lock()
	if !x.isCurrent() {
		x.mu.Unlock()
		return false
	}
	x.listed, x.Held, x.From = true, true, version
	old := x.previous
	x.previous = nil
	x.mu.Unlock()
	if old != nil {
		old.cancel()
		<-old.ended
	}
	return true
}
