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

// late is a clock by which every deadline has passed.
type late struct{ *clock.Manual }

func (late) Deadline(float64) time.Time { return time.Now().Add(-time.Second) }

func start(t *testing.T, clk clock.Clock, places int) (*Listener, func() net.Conn) {
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

// A connection on which nothing comes, or half a request, must end by itself: bad clients
// open them by hundreds, and each holds a place.
func TestSilenceEnds(t *testing.T) {
	l, dial := start(t, late{clock.NewManual(1e6)}, 9)
	got, err := io.ReadAll(dial())
	require.NoError(t, err)
	require.Empty(t, got)
	l.closes(t, map[httpio.CloseReason]int{closedIdle: 1})
}

// Connections that bring nothing hold no place that another needs: first go those that were
// answered and never brought a job, then the silent ones, the oldest first.
func TestFullHouseTakesThePlaceThatIsWorthLeast(t *testing.T) {
	clk := clock.NewManual(1e6)
	l, dial := start(t, clk, 2)
	asks := func(c net.Conn) { require.NoError(t, talk(c, ask, ready)) }
	gone := func(c net.Conn) {
		_, err := c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
	silent := dial()
	require.Eventually(t, func() bool { return l.taken() == 1 }, 10*time.Second, time.Millisecond)
	clk.Advance(1)
	asked := dial()
	asks(asked)
	require.Eventually(t, func() bool { return l.resting() == 1 }, 10*time.Second, time.Millisecond)
	clk.Advance(1)
	third := dial()
	gone(asked)
	fourth := dial()
	gone(silent)
	asks(third)
	asks(fourth)
	require.EqualValues(t, 2, l.Counts.Evicted.Load())
	require.Zero(t, l.Counts.TurnedOff.Load())
	require.NoError(t, asked.Close())
	require.NoError(t, silent.Close())
	l.closes(t, map[httpio.CloseReason]int{closedPlace: 2})
}

// Clients may hold only so many connections, and some send one job on each and never come
// back on it: resting ones must not be all that they have. The one longest at rest is closed.
func TestFewConnectionsRestBetweenJobs(t *testing.T) {
	clk := clock.NewManual(1e6)
	l, dial := start(t, clk, 5*restShare)
	conns := make([]net.Conn, 7)
	for i := range conns {
		conns[i] = dial()
		// Its own goroutine has to have come to rest with it, or it would undo what is moved here.
		require.NoError(t, talk(conns[i], ask, ready))
		require.Eventually(t, func() bool { return l.resting() == min(i, 5)+1 }, 10*time.Second, time.Millisecond)
		clk.Advance(1)
		l.slots.mu.Lock()
		var x *connectionSlot
		for y := range l.slots.all {
			if !y.job {
				x = y
			}
		}
		l.slots.mu.Unlock()
		require.True(t, l.slots.move(x, serving, true, 1))
		l.slots.move(x, resting, true, 1)
		if i >= 5 {
			_, err := conns[i-5].Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			require.NoError(t, conns[i-5].Close()) // as clients do; one that stays is closed after lingerFor
			require.Eventually(t, func() bool { return l.taken() == 5 }, 10*time.Second, time.Millisecond)
		}
	}
	require.EqualValues(t, 2, l.Counts.Spared.Load())
	l.closes(t, map[httpio.CloseReason]int{closedSpared: 2})
}

// Who goes first, and who never does.
func TestWorthOfAPlace(t *testing.T) {
	for _, c := range []struct {
		state standing
		job   bool
		want  int
	}{
		{resting, false, 1}, {fresh, false, 2}, {reading, false, 2}, {resting, true, 3},
		{reading, true, 0}, {serving, false, 0}, {serving, true, 0}, {closing, false, 1}, {closing, true, 0},
	} {
		require.Equal(t, c.want, (&connectionSlot{state: c.state, job: c.job}).worth(), "%+v", c)
	}
}

// closes waits until these connections were closed, by reason.
func (l *Listener) closes(t *testing.T, want map[httpio.CloseReason]int) {
	require.Eventually(t, func() bool { return maps.Equal(l.Counts.Closes.Counts(), want) }, 10*time.Second, time.Millisecond,
		"%v, want %v", l.Counts.Closes.Counts(), want)
}

func (l *Listener) taken() int {
	l.slots.mu.Lock()
	defer l.slots.mu.Unlock()
	return len(l.slots.all)
}

func (l *Listener) resting() (n int) {
	l.slots.mu.Lock()
	defer l.slots.mu.Unlock()
	for x := range l.slots.all {
		if x.state == resting {
			n++
		}
	}
	return n
}
