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

	"cottonwell/internal/clock"
	"cottonwell/internal/net/httpio"
)

// watch is one request for the list and its changes, until its connection ends.
type watch struct {
	*Watcher
	address     string
	hasList     bool // a list is known, as of version fromVersion
	fromVersion uint64
	startedAt   float64 // ms on the clock
	ctx         context.Context
	cancel      context.CancelFunc
	once        sync.Once
	replaced    chan struct{} // closed once the discovery address has changed
	ended       chan struct{} // closed once err is set
	err         error         // why it ended
	gotList     bool          // its first list was delivered; guarded by the watcher's mutex
}

// markReplaced records that the discovery address has changed.
func (x *watch) markReplaced() { x.once.Do(func() { close(x.replaced) }) }

// isCurrent reports whether the discovery address is still that of the watch.
func (x *watch) isCurrent() bool {
	select {
	case <-x.replaced:
		return false
	default:
		return true
	}
}

// run keeps the watch open until it ends, and returns why it ended.
func (x *watch) run() error {
	if x.address == "" {
		return errors.New("no address")
	}
	dialer := net.Dialer{Timeout: clock.Duration(dialTimeout)}
	nc, err := dialer.DialContext(x.ctx, "tcp", x.address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(x.ctx, func() { nc.Close() })()
	conn := x.Stack.Wrap(nc)
	if err := x.sendRequest(conn); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	resp, err := conn.ReadStreamHead("GET", x.Clock.Deadline(responseTimeout))
	if err != nil {
		return fmt.Errorf("response: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return fmt.Errorf("response: status %d", resp.StatusCode)
	}
	x.Log.Info("watch open", "discovery", x.address, "held", x.hasList, "from", x.fromVersion)
	return x.read(resp.Body, func() error {
		conn.ExtendStream()
		return conn.SetReadDeadline(x.Clock.Deadline(silenceTimeout))
	})
}

func (x *watch) sendRequest(conn *httpio.Conn) error {
	path := "/discovery/hosts?watch=1"
	if x.hasList {
		path += "&from=" + strconv.FormatUint(x.fromVersion, 10)
	}
	buf := conn.Buffer()
	defer conn.Done(buf)
	_, err := conn.Send(httpio.Start(buf, "GET ", path, " HTTP/1.1").Field("Host", x.address), nil, x.Clock.Deadline(dialTimeout))
	return err
}

// read delivers the lists as they arrive, and the heartbeats between them. It calls extend at each, which extends
// the deadline of the connection. The end of the stream is no heartbeat: the watch may have fallen silent before, and
// hidden changes since.
func (x *watch) read(body io.Reader, extend func() error) error {
	monitor := &streamMonitor{r: body, now: x.Clock.Now, extend: extend}
	if err := monitor.extend(); err != nil {
		return err
	}
	gotList := false // before the first list, a heartbeat does not cover what the list has missed
	monitor.onHeartbeat = func() {
		if gotList && x.OnHeartbeat != nil && x.isCurrent() {
			x.OnHeartbeat(monitor.readAt)
		}
	}
	for decoder := json.NewDecoder(monitor); ; gotList = true {
		var list List
		if err := decoder.Decode(&list); err != nil {
			return x.readError(err, monitor.err)
		}
		startedAt := monitor.objectStartedAt
		buffered, _ := io.ReadAll(decoder.Buffered())
		if err := monitor.endObject(len(bytes.TrimSpace(buffered)) > 0); err != nil {
			return err
		}
		x.deliver(&list, startedAt)
	}
}

// readError returns the error for a list that could not be read. streamErr is the error of its stream, if that
// broke.
func (x *watch) readError(err, streamErr error) error {
	switch {
	case errors.Is(err, io.EOF):
		return errors.New("the stream ended")
	case streamErr != nil:
		return err // an incomplete list changes nothing, and is sent again
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isCurrent() { // the changes of this object are lost, and only the whole list restores them
		x.HasList, x.FromVersion = false, 0
	}
	return fmt.Errorf("unreadable list: %w", err)
}

// deliver passes on a list whose first byte was read at startedAt.
func (x *watch) deliver(list *List, startedAt float64) {
	targets, err := list.TargetList()
	if err != nil {
		x.Log.Warn("list entry ignored", "cause", err)
	}
	if x.takeOver(list.Index) {
		targets.ReadAt = startedAt
	}
	x.Log.Info("list", "index", list.Index, "whole", list.Snapshot, "targets", len(list.Endpoints))
	x.OnList(targets)
}

// takeOver records the version of a list, and reports whether the watch is that of the current address. If it is,
// takeOver first ends the watch of the previous address, of which nothing more is reported.
func (x *watch) takeOver(version uint64) bool {
	x.mu.Lock()
	if !x.isCurrent() {
		x.mu.Unlock()
		return false
	}
	x.gotList, x.HasList, x.FromVersion = true, true, version
	previous := x.previous
	x.previous = nil
	x.mu.Unlock()
	if previous != nil {
		previous.cancel()
		<-previous.ended
	}
	return true
}
