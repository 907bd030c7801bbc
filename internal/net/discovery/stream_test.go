package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

// deadlineClock is a clock whose deadlines the test can let expire.
type deadlineClock struct {
	*clock.Manual
	mu        sync.Mutex
	requested int
	past      bool
	short     time.Duration // duration of the next deadlines; 0: they never expire
}

func (d *deadlineClock) Deadline(float64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requested++
	if d.past {
		return time.Unix(1, 0)
	}
	if d.short > 0 {
		return time.Now().Add(d.short)
	}
	return time.Time{}
}

// pass makes every later deadline an expired one, and returns how many were requested until now.
func (d *deadlineClock) pass() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.past = true
	return d.requested
}

func (d *deadlineClock) requestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requested
}

type fixture struct {
	t     *testing.T
	w     *Watcher
	ln    net.Listener
	clock *deadlineClock
	lists chan core.TargetList
}

func newFixture(t *testing.T) *fixture {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fixture{t: t, ln: ln, clock: &deadlineClock{Manual: clock.NewManual(1)}, lists: make(chan core.TargetList, 9)}
	s.w = New(Config{Address: ln.Addr().String(), Clock: s.clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Stack: httpio.NewStack(), HasList: true, FromVersion: 41, OnList: func(g core.TargetList) { s.lists <- g }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done; ln.Close() })
	return s
}

// open accepts the watcher's request. It returns the requested version and a writer of chunks.
func (s *fixture) open() (from string, chunk func(string), c net.Conn) {
	c, err := s.ln.Accept()
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	req, err := http.ReadRequest(bufio.NewReader(c))
	require.NoError(s.t, err)
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	require.NoError(s.t, err)
	return req.URL.Query().Get("from"), func(text string) {
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		require.NoError(s.t, err)
	}, c
}

// awaitDeadlines waits until the watcher has requested count deadlines, one for each named step.
func (s *fixture) awaitDeadlines(count int, steps string) {
	require.Eventually(s.t, func() bool { return s.clock.requestCount() == count }, 10*time.Second, time.Millisecond, steps)
}

func (s *fixture) list(n int) string {
	b, err := json.MarshalIndent(map[string]any{"index": n, "snapshot": false, "endpoints": []map[string]any{{"name": fmt.Sprint("t", n), "status": "DRAINING"}}}, "", "  ")
	require.NoError(s.t, err)
	return string(b)
}

// Lists may arrive in any layout, in pieces, several at once, and with white space between them.
func TestListsInAnyLayout(t *testing.T) {
	s := newFixture(t)
	s.w.RequestWatch()
	_, chunk, _ := s.open()
	one := s.list(42)
	for i := 0; i < len(one); i += 7 {
		chunk(one[i:min(i+7, len(one))])
	}
	require.Equal(t, "t42", (<-s.lists).Targets[0].ID)
	chunk("\n")
	chunk("\n" + s.list(43) + s.list(44) + "\n" + s.list(45)[:9])
	require.Equal(t, "t43", (<-s.lists).Targets[0].ID)
	require.Equal(t, "t44", (<-s.lists).Targets[0].ID)
	chunk(s.list(45)[9:])
	require.Equal(t, "t45", (<-s.lists).Targets[0].ID)
}

// Crossing: a watch falls silent in the middle of a list, while empty lines still arrive. The partial list changes
// nothing. The watch is reopened from the last complete list, and what it reports then counts.
func TestHalfAListIsSilence(t *testing.T) {
	s := newFixture(t)
	s.w.RequestWatch()
	_, chunk, c := s.open()
	chunk(s.list(42))
	require.Equal(t, "t42", (<-s.lists).Targets[0].ID)
	s.awaitDeadlines(5, "request, response, open, begun, whole")
	s.clock.mu.Lock()
	s.clock.short = 300 * time.Millisecond
	s.clock.mu.Unlock()
	chunk(s.list(43)[:20]) // the start of an object is a heartbeat
	for ended := false; !ended; {
		select {
		case g := <-s.lists:
			require.Equal(t, balance.RequestFailed, g.Scope)
			ended = true
		case <-time.After(20 * time.Millisecond):
			_, _ = io.WriteString(c, "1\r\n\n\r\n") // white space inside an object is none
		}
	}
	s.clock.mu.Lock()
	require.Equal(t, 6, s.clock.requested)
	s.clock.short = 0
	s.clock.mu.Unlock()
	s.w.RequestWatch()
	from, chunk, _ := s.open()
	require.Equal(t, "42", from)
	chunk(s.list(43))
	require.Equal(t, "t43", (<-s.lists).Targets[0].ID)
}

// A watch without data is reopened, long before the changes it misses count as reported.
func TestSilentWatchEnds(t *testing.T) {
	require.Less(t, silenceTimeout, 6000.0-dialTimeout, "or there is no time for a new request before the missed changes count as reported")
	require.Greater(t, silenceTimeout, 2000.0, "an empty line comes every 2 s")
	s := newFixture(t)
	s.w.RequestWatch()
	_, chunk, _ := s.open()
	chunk(s.list(42))
	require.Equal(t, "t42", (<-s.lists).Targets[0].ID)
	s.clock.pass()
	chunk("\n")
	require.Equal(t, balance.RequestFailed, (<-s.lists).Scope)
}

// Crossing: SIGHUP changes the discovery address while a request has no response yet. The watcher sends a request to
// the new address at once.
func TestMoveWhileACallIsOut(t *testing.T) {
	s := newFixture(t)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	s.w.RequestWatch()
	silent, err := s.ln.Accept()
	require.NoError(t, err)
	defer silent.Close()
	s.w.SetAddress(other.Addr().String())
	s.ln = other
	from, chunk, _ := s.open()
	require.Empty(t, from, "versions of the old address are not valid there")
	chunk(s.list(7))
	require.Equal(t, "t7", (<-s.lists).Targets[0].ID)
}

// Crossing: discovery reports a change while SIGHUP changes the address. What was written counts, so the old watch
// is read until the new address has responded. It gives no heartbeat, and after that response nothing more of it is
// reported.
func TestChangeThatCrossesTheMove(t *testing.T) {
	s := newFixture(t)
	heartbeats := make(chan float64, 9)
	s.w.OnHeartbeat = func(readAt float64) { heartbeats <- readAt }
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	s.w.RequestWatch()
	_, chunk, old := s.open()
	chunk(s.list(42))
	require.Positive(t, (<-s.lists).ReadAt)
	s.w.SetAddress(other.Addr().String())
	chunk("\n")
	chunk(s.list(43))
	g := <-s.lists
	require.Equal(t, "t43", g.Targets[0].ID)
	require.Zero(t, g.ReadAt)
	s.ln = other
	from, chunk, _ := s.open()
	require.Empty(t, from)
	chunk(s.list(7))
	g = <-s.lists
	require.Equal(t, "t7", g.Targets[0].ID)
	require.Positive(t, g.ReadAt)
	_, err = old.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Empty(t, heartbeats)
	chunk("\n")
	require.Positive(t, <-heartbeats)
}

// Crossing: the address changes while the watch ends by itself. One request goes to the new address, none to the
// old.
func TestMoveAsTheWatchEnds(t *testing.T) {
	for range 20 {
		s := newFixture(t)
		other, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s.w.RequestWatch()
		_, _, c := s.open()
		go c.Close()
		s.w.SetAddress(other.Addr().String())
		s.ln.Close()
		s.ln = other
		from, chunk, _ := s.open()
		require.Empty(t, from)
		chunk(s.list(8))
		for g := range s.lists {
			if g.Scope != balance.RequestFailed {
				require.Equal(t, "t8", g.Targets[0].ID)
				break
			}
		}
		other.Close()
	}
}

// Reports of a watch are dated by the time of reading: a list by its first byte, however long the rest takes, and
// an empty line as a heartbeat. Bytes before the first list of a watch are no heartbeat, as the changes missed
// until then are unknown. The failure of a watch is none either.
func TestHeartbeatTimes(t *testing.T) {
	s := newFixture(t)
	heartbeats := make(chan float64, 9)
	s.w.OnHeartbeat = func(readAt float64) { heartbeats <- readAt }
	s.w.RequestWatch()
	_, chunk, c := s.open()
	chunk("\n")
	s.awaitDeadlines(4, "request, response, open, the empty line")
	s.clock.Advance(99)
	chunk(s.list(42)[:20])
	s.awaitDeadlines(5, "and half a list")
	s.clock.Advance(900)
	chunk(s.list(42)[20:] + s.list(43)[:20])
	require.Equal(t, 100.0, (<-s.lists).ReadAt)
	s.clock.Advance(500)
	chunk(s.list(43)[20:])
	require.Equal(t, 1000.0, (<-s.lists).ReadAt, "it began where the previous list ended")
	require.Empty(t, heartbeats)
	s.clock.Advance(250)
	chunk("\n")
	require.Equal(t, 1750.0, <-heartbeats)
	s.clock.Advance(2151)
	c.Close()
	require.Equal(t, balance.RequestFailed, (<-s.lists).Scope)
	require.Empty(t, heartbeats, "an empty line was overdue: the watch had fallen silent")
}

// Failure: a watch that had fallen silent and then ended counted as confirmed up to its end, although it had hidden the
// changes since its last line. No end of a watch is a heartbeat, whoever ends it and however soon after a line.
func TestWatchEndIsNoHeartbeat(t *testing.T) {
	for name, end := range map[string]func(s *fixture, chunk func(string), c net.Conn){
		"closed":         func(_ *fixture, _ func(string), c net.Conn) { c.Close() },
		"last chunk":     func(_ *fixture, _ func(string), c net.Conn) { _, _ = io.WriteString(c, "0\r\n\r\n") },
		"inside a chunk": func(_ *fixture, _ func(string), c net.Conn) { _, _ = io.WriteString(c, "9\r\n"); c.Close() },
		"reset": func(_ *fixture, _ func(string), c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"inside a list": func(s *fixture, chunk func(string), c net.Conn) {
			chunk(s.list(43)[:20])
			s.awaitDeadlines(6, "request, response, open, begun, whole, begun")
			c.Close()
		},
		"closed by the watcher": func(s *fixture, chunk func(string), _ net.Conn) {
			s.clock.pass()
			chunk(s.list(43)[:20])
		},
	} {
		for _, silentMS := range []float64{0, 1, 1900, 2149} {
			s := newFixture(t)
			heartbeats := make(chan float64, 9)
			s.w.OnHeartbeat = func(readAt float64) { heartbeats <- readAt }
			s.w.RequestWatch()
			_, chunk, c := s.open()
			chunk(s.list(42))
			<-s.lists
			s.clock.Advance(silentMS)
			end(s, chunk, c)
			require.Equal(t, balance.RequestFailed, (<-s.lists).Scope, name)
			require.Empty(t, heartbeats, "%s, %g ms after the last line", name, silentMS)
		}
	}
}
