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

// deadlines is a clock whose deadlines the test lets pass.
type deadlines struct {
	*clock.Manual
	mu    sync.Mutex
	asks  int
	past  bool
	short time.Duration // of the next ones; 0: none ever passes
}

func (d *deadlines) Deadline(float64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asks++
	if d.past {
		return time.Unix(1, 0)
	}
	if d.short > 0 {
		return time.Now().Add(d.short)
	}
	return time.Time{}
}

// pass lets each deadline that is asked for from now on have passed, and returns how many were asked for.
func (d *deadlines) pass() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.past = true
	return d.asks
}

func (d *deadlines) asked() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asks
}

type stand struct {
	t      *testing.T
	w      *Watcher
	ln     net.Listener
	clk    *deadlines
	groups chan core.Group
}

func newStand(t *testing.T) *stand {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &stand{t: t, ln: ln, clk: &deadlines{Manual: clock.NewManual(1)}, groups: make(chan core.Group, 9)}
	s.w = New(Config{Address: ln.Addr().String(), Clock: s.clk, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Stack: httpio.NewStack(), Held: true, From: 41, Tell: func(g core.Group) { s.groups <- g }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done; ln.Close() })
	return s
}

// open takes the watcher's call and returns from which version it asks, and a writer of chunks.
func (s *stand) open() (from string, chunk func(string), c net.Conn) {
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

// awaitDeadlines waits until the watcher has asked its clock for this many deadlines, one for each step that is named.
func (s *stand) awaitDeadlines(many int, steps string) {
	require.Eventually(s.t, func() bool { return s.clk.asked() == many }, 10*time.Second, time.Millisecond, steps)
}

func (s *stand) list(n int) string {
	b, err := json.MarshalIndent(map[string]any{"index": n, "snapshot": false, "endpoints": []map[string]any{{"name": fmt.Sprint("t", n), "status": "DRAINING"}}}, "", "  ")
	require.NoError(s.t, err)
	return string(b)
}

// Lists may come in any layout, in pieces, several at once, and with white space between.
func TestListsInAnyLayout(t *testing.T) {
	s := newStand(t)
	s.w.Watch()
	_, chunk, _ := s.open()
	one := s.list(42)
	for i := 0; i < len(one); i += 7 {
		chunk(one[i:min(i+7, len(one))])
	}
	require.Equal(t, "t42", (<-s.groups).Targets[0].ID)
	chunk("\n")
	chunk("\n" + s.list(43) + s.list(44) + "\n" + s.list(45)[:9])
	require.Equal(t, "t43", (<-s.groups).Targets[0].ID)
	require.Equal(t, "t44", (<-s.groups).Targets[0].ID)
	chunk(s.list(45)[9:])
	require.Equal(t, "t45", (<-s.groups).Targets[0].ID)
}

// Crossing: a watch falls silent in the middle of a list, while empty lines still come. What came of that list is
// nothing; the watch is opened anew from the last whole one, and what it tells then counts.
func TestHalfAListIsSilence(t *testing.T) {
	s := newStand(t)
	s.w.Watch()
	_, chunk, c := s.open()
	chunk(s.list(42))
	require.Equal(t, "t42", (<-s.groups).Targets[0].ID)
	s.awaitDeadlines(5, "ask, answer, open, begun, whole")
	s.clk.mu.Lock()
	s.clk.short = 300 * time.Millisecond
	s.clk.mu.Unlock()
	chunk(s.list(43)[:20]) // an object has begun: a sign of life
	for ended := false; !ended; {
		select {
		case g := <-s.groups:
			require.Equal(t, balance.AskFailed, g.Scope)
			ended = true
		case <-time.After(20 * time.Millisecond):
			_, _ = io.WriteString(c, "1\r\n\n\r\n") // while it is not whole, this is none
		}
	}
	s.clk.mu.Lock()
	require.Equal(t, 6, s.clk.asks)
	s.clk.short = 0
	s.clk.mu.Unlock()
	s.w.Watch()
	from, chunk, _ := s.open()
	require.Equal(t, "42", from)
	chunk(s.list(43))
	require.Equal(t, "t43", (<-s.groups).Targets[0].ID)
}

// A watch on which nothing comes is opened anew, long before what it misses counts as told.
func TestSilentWatchEnds(t *testing.T) {
	require.Less(t, quietFor, 6000.0-dialFor, "or there is no time to ask anew before what was missed counts as told")
	require.Greater(t, quietFor, 2000.0, "an empty line comes every 2 s")
	s := newStand(t)
	s.w.Watch()
	_, chunk, _ := s.open()
	chunk(s.list(42))
	require.Equal(t, "t42", (<-s.groups).Targets[0].ID)
	s.clk.pass()
	chunk("\n")
	require.Equal(t, balance.AskFailed, (<-s.groups).Scope)
}

// Crossing: SIGHUP moves discovery while a call is out that nobody answers. The new address is asked at once.
func TestMoveWhileACallIsOut(t *testing.T) {
	s := newStand(t)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	s.w.Watch()
	silent, err := s.ln.Accept()
	require.NoError(t, err)
	defer silent.Close()
	s.w.Move(other.Addr().String())
	s.ln = other
	from, chunk, _ := s.open()
	require.Empty(t, from, "versions of the old address mean nothing there")
	chunk(s.list(7))
	require.Equal(t, "t7", (<-s.groups).Targets[0].ID)
}

// Crossing: discovery tells of a change in the moment in which SIGHUP moves it. What was written counts, so the old watch is
// read until the new address has answered; it is no sign of life, and after that answer nothing of it is told.
func TestChangeThatCrossesTheMove(t *testing.T) {
	s := newStand(t)
	signs := make(chan float64, 9)
	s.w.SignOfLife = func(readAt float64) { signs <- readAt }
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	s.w.Watch()
	_, chunk, old := s.open()
	chunk(s.list(42))
	require.Positive(t, (<-s.groups).ReadAt)
	s.w.Move(other.Addr().String())
	chunk("\n")
	chunk(s.list(43))
	g := <-s.groups
	require.Equal(t, "t43", g.Targets[0].ID)
	require.Zero(t, g.ReadAt)
	s.ln = other
	from, chunk, _ := s.open()
	require.Empty(t, from)
	chunk(s.list(7))
	g = <-s.groups
	require.Equal(t, "t7", g.Targets[0].ID)
	require.Positive(t, g.ReadAt)
	_, err = old.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Empty(t, signs)
	chunk("\n")
	require.Positive(t, <-signs)
}

// Crossing: the address moves in the moment in which the watch ends by itself. One call goes to the new address, none
// to the old.
func TestMoveAsTheWatchEnds(t *testing.T) {
	for range 20 {
		s := newStand(t)
		other, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s.w.Watch()
		_, _, c := s.open()
		go c.Close()
		s.w.Move(other.Addr().String())
		s.ln.Close()
		s.ln = other
		from, chunk, _ := s.open()
		require.Empty(t, from)
		chunk(s.list(8))
		for g := range s.groups {
			if g.Scope != balance.AskFailed {
				require.Equal(t, "t8", g.Targets[0].ID)
				break
			}
		}
		other.Close()
	}
}

// What a watch says is dated by when it was read: a list by its first byte, however long the rest takes, and an empty line
// as a sign of life. What comes before the first list of a watch is none, as what the list has missed until then is
// not known; nor is the failure of a watch.
func TestWordsOfAWatchAreDated(t *testing.T) {
	s := newStand(t)
	signs := make(chan float64, 9)
	s.w.SignOfLife = func(readAt float64) { signs <- readAt }
	s.w.Watch()
	_, chunk, c := s.open()
	chunk("\n")
	s.awaitDeadlines(4, "ask, answer, open, the empty line")
	s.clk.Advance(99)
	chunk(s.list(42)[:20])
	s.awaitDeadlines(5, "and half a list")
	s.clk.Advance(900)
	chunk(s.list(42)[20:] + s.list(43)[:20])
	require.Equal(t, 100.0, (<-s.groups).ReadAt)
	s.clk.Advance(500)
	chunk(s.list(43)[20:])
	require.Equal(t, 1000.0, (<-s.groups).ReadAt, "it began with the end of the one before")
	require.Empty(t, signs)
	s.clk.Advance(250)
	chunk("\n")
	require.Equal(t, 1750.0, <-signs)
	s.clk.Advance(2151)
	c.Close()
	require.Equal(t, balance.AskFailed, (<-s.groups).Scope)
	require.Empty(t, signs, "an empty line was due: it had fallen silent")
}

// The end of a watch that had not fallen silent says that discovery had told all until then, whether it ends in order or by
// a reset. The end amid a list says nothing, nor does the own end of it.
func TestEndOfAWatchIsItsLastWord(t *testing.T) {
	for name, play := range map[string]struct {
		ends func(s *stand, chunk func(string), c net.Conn)
		sign bool
	}{
		"in order": {func(_ *stand, _ func(string), c net.Conn) { c.Close() }, true},
		"reset": {func(_ *stand, _ func(string), c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}, true},
		"amid a list": {func(s *stand, chunk func(string), c net.Conn) {
			chunk(s.list(43)[:20])
			s.awaitDeadlines(6, "ask, answer, open, begun, whole, begun")
			c.Close()
		}, false},
		"by ourselves": {func(s *stand, chunk func(string), _ net.Conn) {
			s.clk.pass()
			chunk("\n")
		}, false},
	} {
		s := newStand(t)
		signs := make(chan float64, 9)
		s.w.SignOfLife = func(readAt float64) { signs <- readAt }
		s.w.Watch()
		_, chunk, c := s.open()
		chunk(s.list(42))
		<-s.groups
		s.clk.Advance(2149)
		play.ends(s, chunk, c)
		require.Equal(t, balance.AskFailed, (<-s.groups).Scope, name)
		if play.sign {
			require.Len(t, signs, 1, name)
			require.Equal(t, 2150.0, <-signs, name)
		} else {
			for len(signs) > 0 {
				require.Equal(t, "by ourselves", name)
				<-signs // the empty line itself
			}
		}
	}
}
