package listener

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/internal/clock"
	"cottonwell/internal/net/httpio"
)

// expiredClock is a clock on which every deadline has passed.
type expiredClock struct{ *clock.Manual }

func (expiredClock) Deadline(float64) time.Time { return time.Now().Add(-time.Second) }

func startListener(t *testing.T, clk clock.Clock, places int) (*Listener, func() net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(nil, clk, slog.New(slog.NewTextHandler(io.Discard, nil)), httpio.NewStack(), nil, httpio.NewBudget(places))
	l.SetReady(true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); <-done })
	return l, func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		return c
	}
}

// A connection with no bytes or half a request must end by itself: faulty clients open hundreds of them, and each
// takes a slot.
func TestSilenceEnds(t *testing.T) {
	l, dial := startListener(t, expiredClock{clock.NewManual(1e6)}, 9)
	got, err := io.ReadAll(dial())
	require.NoError(t, err)
	require.Empty(t, got)
	l.requireCloses(t, map[httpio.CloseReason]int{closedIdle: 1})
}

// Inactive connections keep no slot that another connection needs. First go those that got responses and never
// carried a job, then the silent ones, the oldest first.
func TestFullHouseTakesThePlaceThatIsWorthLeast(t *testing.T) {
	clk := clock.NewManual(1e6)
	l, dial := startListener(t, clk, 2)
	sendRequest := func(c net.Conn) { require.NoError(t, roundTrip(c, upRequest, readyResponse)) }
	requireClosed := func(c net.Conn) {
		_, err := c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
	silent := dial()
	require.Eventually(t, func() bool { return l.slotCount() == 1 }, 10*time.Second, time.Millisecond)
	clk.Advance(1)
	served := dial()
	sendRequest(served)
	require.Eventually(t, func() bool { return l.idleCount() == 1 }, 10*time.Second, time.Millisecond)
	clk.Advance(1)
	third := dial()
	requireClosed(served)
	fourth := dial()
	requireClosed(silent)
	sendRequest(third)
	sendRequest(fourth)
	require.EqualValues(t, 2, l.Counts.Evicted.Load())
	require.Zero(t, l.Counts.RefusedNoSlot.Load())
	require.NoError(t, served.Close())
	require.NoError(t, silent.Close())
	l.requireCloses(t, map[httpio.CloseReason]int{closedEvicted: 2})
}

// Clients may hold a limited number of connections, and some never reuse one after its job. Their idle connections
// must not use up that number. The listener closes the one that has been idle longest.
func TestIdleConnectionLimit(t *testing.T) {
	clk := clock.NewManual(1e6)
	l, dial := startListener(t, clk, 5*idleDivisor)
	conns := make([]net.Conn, 7)
	for i := range conns {
		conns[i] = dial()
		// The connection's own goroutine has to have set it idle, or it would overwrite the states set here.
		require.NoError(t, roundTrip(conns[i], upRequest, readyResponse))
		require.Eventually(t, func() bool { return l.idleCount() == min(i, 5)+1 }, 10*time.Second, time.Millisecond)
		clk.Advance(1)
		l.slots.mu.Lock()
		var x *connectionSlot
		for y := range l.slots.open {
			if !y.hadJob {
				x = y
			}
		}
		l.slots.mu.Unlock()
		require.True(t, l.slots.setState(x, serving, true, 1))
		l.slots.setState(x, idle, true, 1)
		if i >= 5 {
			_, err := conns[i-5].Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			require.NoError(t, conns[i-5].Close()) // as clients do; one that stays open is closed after lingerTimeout
			require.Eventually(t, func() bool { return l.slotCount() == 5 }, 10*time.Second, time.Millisecond)
		}
	}
	require.EqualValues(t, 2, l.Counts.ClosedExcessIdle.Load())
	l.requireCloses(t, map[httpio.CloseReason]int{closedExcessIdle: 2})
}

// The order of eviction, and the connections that are never evicted.
func TestEvictionRank(t *testing.T) {
	for _, c := range []struct {
		state slotState
		job   bool
		want  int
	}{
		{idle, false, 1}, {awaitingFirst, false, 2}, {reading, false, 2}, {idle, true, 3},
		{reading, true, 0}, {serving, false, 0}, {serving, true, 0}, {closing, false, 1}, {closing, true, 0},
	} {
		require.Equal(t, c.want, (&connectionSlot{state: c.state, hadJob: c.job}).evictionRank(), "%+v", c)
	}
}

// requireCloses waits until connections were closed for these reasons, with these counts.
func (l *Listener) requireCloses(t *testing.T, want map[httpio.CloseReason]int) {
	require.Eventually(t, func() bool { return maps.Equal(l.Counts.Closes.Counts(), want) }, 10*time.Second, time.Millisecond,
		"%v, want %v", l.Counts.Closes.Counts(), want)
}

func (l *Listener) slotCount() int {
	l.slots.mu.Lock()
	defer l.slots.mu.Unlock()
	return len(l.slots.open)
}

func (l *Listener) idleCount() (n int) {
	l.slots.mu.Lock()
	defer l.slots.mu.Unlock()
	for x := range l.slots.open {
		if x.state == idle {
			n++
		}
	}
	return n
}
