package listener

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cottonwell/internal/clock"
	"cottonwell/internal/net/httpio"
)

const (
	upRequest      = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
	readyResponse  = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n"
	lastResponse   = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nready\n"
	noSlotResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 18\r\n\r\nrefused: no place\n"
)

// crossingConn is the listener's end of a connection. When a read on it times out, the other side sends.
type crossingConn struct {
	*net.TCPConn
	cross chan func()
	reads chan struct{}
}

func (c *crossingConn) Read(b []byte) (int, error) {
	select {
	case c.reads <- struct{}{}:
	default:
	}
	n, err := c.TCPConn.Read(b)
	if n == 0 && httpio.TimedOut(err) {
		select {
		case send := <-c.cross:
			send()
			c.await()
		default:
		}
	}
	return n, err
}

// await waits until the sent bytes have arrived.
func (c *crossingConn) await() {
	raw, _ := c.SyscallConn()
	for n := 0; n <= 0; time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) {
			n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		})
	}
}

// crossingListener accepts crossingConns. The client sends the function in cross at the first read that times out.
type crossingListener struct {
	net.Listener
	cross chan func()
	reads chan struct{} // receives once a connection is being read, and so waits for a request
}

func (l *crossingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossingConn{c.(*net.TCPConn), l.cross, l.reads}, nil
}

// A request arrives on a connection that is being closed: it gets its whole response, and then the connection is
// closed. The fault: the listener closed the connection over a request that had arrived before and was not read
// yet.
func TestRequestThatCrossesTheEndOfItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		used bool // the connection has carried a request
		end  func(l *Listener, dial func() net.Conn)
		want string
	}{
		"idle, during graceful shutdown":  {true, func(l *Listener, _ func() net.Conn) { l.StartShutdown() }, lastResponse},
		"idle, as its slot is evicted":    {true, func(_ *Listener, dial func() net.Conn) { dial() }, noSlotResponse},
		"awaiting its first, at shutdown": {false, func(l *Listener, _ func() net.Conn) { l.FinishShutdown() }, lastResponse},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			cross, reads := make(chan func(), 1), make(chan struct{}, 1)
			l := New(nil, clock.NewManual(1e6), slog.New(slog.NewTextHandler(io.Discard, nil)), httpio.NewStack(), nil, httpio.NewBudget(1))
			l.SetReady(true)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); _ = l.Serve(ctx, &crossingListener{ln, cross, reads}) }()
			t.Cleanup(func() { cancel(); <-done })
			dial := func() net.Conn { return dialed(t, ln) }

			client := dial()
			if c.used {
				require.NoError(t, roundTrip(client, upRequest, readyResponse))
				require.Eventually(t, func() bool { return l.idleCount() == 1 }, 10*time.Second, time.Millisecond)
			} else {
				<-reads // before that the connection is not waiting, and may be closed without a request
			}
			cross <- func() { _, _ = io.WriteString(client, upRequest) }
			c.end(l, dial)
			require.NoError(t, roundTrip(client, "", c.want))
			_, err = client.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF, "closed, not reset")
		})
	}
}

// A connection that arrives during the shutdown may already carry its request.
func TestRequestThatComesAfterTheEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client := dialed(t, ln)
	_, err = io.WriteString(client, upRequest)
	require.NoError(t, err)
	l := New(nil, clock.NewManual(1e6), slog.New(slog.NewTextHandler(io.Discard, nil)), httpio.NewStack(), nil, httpio.NewBudget(1))
	l.SetReady(true)
	l.FinishShutdown()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Serve(ctx, &arrivedListener{ln}) }()
	t.Cleanup(func() { cancel(); <-done })
	require.NoError(t, roundTrip(client, "", lastResponse))
}

// arrivedListener accepts a connection once its first bytes have arrived.
type arrivedListener struct{ net.Listener }

func (l *arrivedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		(&crossingConn{TCPConn: c.(*net.TCPConn)}).await()
	}
	return c, err
}

func dialed(t *testing.T, ln net.Listener) net.Conn {
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// roundTrip sends, and returns an error if the received bytes differ from want.
func roundTrip(c net.Conn, send, want string) error {
	if _, err := io.WriteString(c, send); err != nil {
		return err
	}
	got := make([]byte, len(want))
	n, err := io.ReadFull(c, got)
	if string(got[:n]) != want {
		return &mismatch{string(got[:n]), err}
	}
	return nil
}

type mismatch struct {
	got string
	err error
}

func (o *mismatch) Error() string { return "received: " + o.got + ": " + o.err.Error() }
