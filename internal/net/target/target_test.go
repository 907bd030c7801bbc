package target

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

// sink keeps what the transport tells.
type sink struct {
	ended  chan core.Outcome
	probed chan core.ProbeResult
}

func (s sink) Ended(o core.Outcome)          { s.ended <- o }
func (s sink) ProbeEnded(r core.ProbeResult) { s.probed <- r }

type bench struct {
	*Transport
	t     *testing.T
	clock *clock.Manual
	sink  sink
	ln    net.Listener
}

func newBench(t *testing.T) *bench {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	b := &bench{t: t, clock: clock.NewManual(1e6), ln: ln, sink: sink{make(chan core.Outcome, 9), make(chan core.ProbeResult, 9)}}
	b.Transport = New(Config{Clock: b.clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Stack: httpio.NewStack(), Sink: b.sink,
		Sockets: httpio.NewBudget(2), DialFor: 5000, IdleFor: 30000, Host: "x"})
	b.list(balance.Ready)
	return b
}

func (b *bench) list(s balance.State) {
	b.Listed(core.Group{Scope: balance.Changes, Targets: []core.Target{{Member: balance.Member{ID: "t", State: s}, Address: b.ln.Addr().String()}}})
}

func (b *bench) start(n int) core.Attempt {
	a := core.Attempt{Ref: core.Ref{Flow: 1, N: n}, ID: "id", Target: "t", Job: core.Job{Method: "POST", Path: "/c"}, Deadline: 1e6 + 1000}
	b.Start(a)
	return a
}

// serve accepts a connection, or goes on with c, and reads one request.
func (b *bench) serve(c net.Conn) (net.Conn, *http.Request) {
	if c == nil {
		var err error
		c, err = b.ln.Accept()
		require.NoError(b.t, err)
	}
	req, err := http.ReadRequest(bufio.NewReader(c))
	require.NoError(b.t, err)
	return c, req
}

func (b *bench) accept202(c net.Conn) {
	_, err := io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	require.NoError(b.t, err)
	b.idle(1)
	b.clock.Advance(restLeast)
}

func (b *bench) idle(n int) {
	tg, _ := b.target("t")
	require.Eventually(b.t, func() bool {
		tg.pool.mu.Lock()
		defer tg.pool.mu.Unlock()
		return len(tg.pool.idle) == n
	}, 10*time.Second, time.Millisecond)
}

// A connection that the target has closed while it stood idle must not carry a request: it
// would end as a reset, and a purchase could not leave its pod any more.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	b := newBench(t)
	b.start(0)
	c, _ := b.serve(nil)
	b.accept202(c)
	c.Close()
	tg, _ := b.target("t")
	require.Eventually(t, func() bool { return !stands(tg.pool.idle[0].conn) }, 10*time.Second, time.Millisecond)
	b.start(1)
	c, _ = b.serve(nil)
	b.accept202(c)
	require.EqualValues(t, 2, b.Counts.Dialled.Load())
	require.Equal(t, map[httpio.CloseReason]int{closedStale: 1}, b.Counts.Closes.Counts())
	require.Empty(t, b.sink.ended)
}

// A connection near the target's idle limit is not used, as the closing could cross.
func TestOldConnectionsAreRetired(t *testing.T) {
	b := newBench(t)
	b.start(0)
	c, _ := b.serve(nil)
	b.accept202(c)
	b.clock.Advance(14_000)
	b.start(1)
	_, _ = b.serve(c)
	b.accept202(c)
	require.EqualValues(t, 1, b.Counts.Reused.Load())
	b.clock.Advance(15_000)
	b.start(2)
	c, _ = b.serve(nil)
	b.accept202(c)
	require.EqualValues(t, 1, b.Counts.Retired.Load())
	require.Equal(t, map[httpio.CloseReason]int{closedIdle: 1}, b.Counts.Closes.Counts())
}

// An attempt given up before its 202 is over once the target has ended its side. One that is
// slow to take the connection reads the request late, and a further attempt before that would
// be a second copy. It is not told as a reset besides: two resets eject a worker.
func TestGivenUpBeforeThe202(t *testing.T) {
	b := newBench(t)
	a := b.start(0)
	c, _ := b.serve(nil)
	b.Cancel(a)
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the end of what we write gives the attempt up")
	require.Empty(t, b.sink.ended, "the target has not said that it knows")
	c.Close()
	require.Equal(t, balance.Cancelled, (<-b.sink.ended).Result, "and no clock had to move")
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.running) == 0
	}, 10*time.Second, time.Millisecond)
	require.Empty(t, b.sink.ended)
}

// A 202 that crosses the giving up is heard: the job is taken, and only DELETE ends it. What
// the answer proves is told, too.
func TestAnswerThatCrossesTheGivingUp(t *testing.T) {
	b := newBench(t)
	a := b.start(0)
	c, _ := b.serve(nil)
	b.Cancel(a)
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "given up; before that, the answer would not cross it")
	_, err = io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	d, req := b.serve(nil)
	require.Equal(t, "DELETE /jobs/id", req.Method+" "+req.URL.Path)
	require.Empty(t, b.sink.ended)
	_, err = io.WriteString(d, "HTTP/1.1 204 No Content\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, balance.Cancelled, (<-b.sink.ended).Result)
	b.idle(1)
	b.clock.Advance(restLeast)

	a = b.start(1)
	_, _ = b.serve(d)
	b.Cancel(a)
	_, err = d.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, err = io.WriteString(d, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, balance.Full, (<-b.sink.ended).Result, "it never ran")
}

// A DELETE that nobody answers proves nothing, so the attempt stays out: the core ends it when
// it stops waiting, and until then no other target may get the job.
func TestDeleteThatIsNotAnswered(t *testing.T) {
	b := newBench(t)
	a := b.start(0)
	c, _ := b.serve(nil)
	b.accept202(c)
	b.Cancel(a)
	for i := range deletes {
		if i > 0 {
			c = nil
		}
		var req *http.Request
		c, req = b.serve(c)
		require.Equal(t, "DELETE", req.Method)
		c.Close()
	}
	require.Eventually(t, func() bool { return b.Counts.Unheard.Load() == 1 }, 10*time.Second, time.Millisecond)
	require.Empty(t, b.sink.ended)
}

// A drain that is told between the decision and the first byte holds, too.
func TestNothingGoesToATargetThatDrains(t *testing.T) {
	b := newBench(t)
	b.list(balance.Draining)
	b.start(0)
	require.Equal(t, balance.NeverSent, (<-b.sink.ended).Result)
}

func TestNoSocketIsNoFaultOfTheTarget(t *testing.T) {
	b := newBench(t)
	require.True(t, b.Sockets.TryTake())
	require.True(t, b.Sockets.TryTake())
	b.start(0)
	require.Equal(t, balance.NeverSent, (<-b.sink.ended).Result)
}

func TestOutcomesOfBrokenConnections(t *testing.T) {
	b := newBench(t)
	b.start(0)
	c, _ := b.serve(nil)
	c.Close()
	require.Equal(t, balance.Reset, (<-b.sink.ended).Result)
	b.ln.Close()
	b.start(1)
	require.Equal(t, balance.NoConnection, (<-b.sink.ended).Result)
	b.Probe("t")
	require.Equal(t, balance.NoConnection, (<-b.sink.probed).Result)
}

func TestProbeBringsTheLoad(t *testing.T) {
	b := newBench(t)
	b.Probe("t")
	c, req := b.serve(nil)
	require.Equal(t, "/metrics/load", req.URL.Path)
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n{\"inflight\":2,\"queue\":1,\"x0\":3}    ")
	require.NoError(t, err)
	r := <-b.sink.probed
	require.Equal(t, balance.Report{Present: true, InFlight: 2, Waiting: 1, Free: 3}, r.Report)
}

// Kept connections that go stale long before the settings' limit end in a reset each, so ages
// at which many break are not used; breaks that come at any age must not end keeping at all.
func TestConnectionsRestOnlyAsLongAsTheyLast(t *testing.T) {
	play := func(r *rests, now, rested float64, kept, broken int) {
		for range kept {
			r.note(now, rested, false)
		}
		for range broken {
			r.note(now, rested, true)
		}
	}
	r := &rests{}
	play(r, 1, 10, 96, 4)
	play(r, 1, 300, 0, 2)
	require.Equal(t, 15e3, r.limit(15e3), "two breaks prove nothing")
	play(r, 1, 300, 5, 2)
	require.Equal(t, 200.0, r.limit(15e3))
	require.Equal(t, 100.0, r.limit(100))
	play(r, restForget+2, 10, 1, 0)
	require.Equal(t, 15e3, r.limit(15e3), "what is long ago is tried again")

	noise := &rests{}
	play(noise, 1, 10, 80, 20)
	play(noise, 1, 300, 8, 3)
	require.Equal(t, 15e3, noise.limit(15e3), "all ages break alike")
}

// A client leaves as its request is being written to a connection that the target had closed while it stood idle. The
// request would go out on a fresh connection, some time later: not any more. Before, only its wait for the first
// connection was looked at.
func TestClientLeavesBetweenTwoConnections(t *testing.T) {
	b := newBench(t)
	a := core.Attempt{Ref: core.Ref{Flow: 1}, Target: "t", Unsent: true}
	at := &attempt{Attempt: a}
	require.True(t, at.enter(writing, nil))
	b.giveUp(a, at)
	require.False(t, at.enter(waiting, nil), "it would wait for another connection")
	at = &attempt{Attempt: a}
	require.True(t, at.enter(writing, nil))
	b.giveUp(a, at)
	require.True(t, at.enter(over, nil), "what has gone out is answered, and its connection kept")
	require.Empty(t, b.sink.ended)
}

// A connection comes up so late that the request may not be repeated any more, or so late that its target drains: it is
// not sent, and the target never sees a byte of it.
func TestTooLateAsTheConnectionIsUp(t *testing.T) {
	b := newBench(t)
	b.Start(core.Attempt{Ref: core.Ref{Flow: 1}, ID: "id", Target: "t", Job: core.Job{Method: "POST", Path: "/c"}, Deadline: 1e6 + 1000, Latest: 1e6 - 1})
	require.Equal(t, balance.NeverSent, (<-b.sink.ended).Result)
	c, err := b.ln.Accept()
	require.NoError(t, err)
	b.idle(1) // the connection is kept for others
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	n, _ := c.Read(make([]byte, 1))
	require.Zero(t, n)
}
