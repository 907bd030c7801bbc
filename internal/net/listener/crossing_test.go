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
	ask   = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
	ready = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n"
	last  = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nready\n"
	full  = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 18\r\n\r\nrefused: no place\n"
)

// crossing is the listener's end of a connection. As a read on it has run out of time, the other side sends.
type crossing struct {
	*net.TCPConn
	cross chan func()
	reads chan struct{}
}

func (c *crossing) Read(b []byte) (int, error) {
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

// await waits until what was sent is there.
func (c *crossing) await() {
	raw, _ := c.SyscallConn()
	for n := 0; n <= 0; time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) {
			n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		})
	}
}

// crossings accepts connections of that kind. Whatever the client sends in cross, it sends at the first wait that ends.
type crossings struct {
	net.Listener
	cross chan func()
	reads chan struct{} // told once a connection is being read, and so waits for a request
}

func (l *crossings) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossing{c.(*net.TCPConn), l.cross, l.reads}, nil
}

// A connection is ended while a request arrives on it: it is answered whole, and then closed. Before, it was closed
// over the request, which had been there for as long as the program was late.
func TestRequestThatCrossesTheEndOfItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		asked bool // the connection has been used
		end   func(l *Listener, dial func() net.Conn)
		want  string
	}{
		"at rest, as the program winds down":         {true, func(l *Listener, _ func() net.Conn) { l.Wind() }, last},
		"at rest, as its place goes to another":      {true, func(_ *Listener, dial func() net.Conn) { dial() }, full},
		"waiting for its first, as the program ends": {false, func(l *Listener, _ func() net.Conn) { l.Shut() }, last},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			cross, reads := make(chan func(), 1), make(chan struct{}, 1)
			l := New(nil, clock.NewManual(1e6), slog.New(slog.NewTextHandler(io.Discard, nil)), httpio.NewStack(), nil, httpio.NewBudget(1))
			l.SetReady(true)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); _ = l.Serve(ctx, &crossings{ln, cross, reads}) }()
			t.Cleanup(func() { cancel(); <-done })
			dial := func() net.Conn { return dialed(t, ln) }

			client := dial()
			if c.asked {
				require.NoError(t, talk(client, ask, ready))
				require.Eventually(t, func() bool { return l.resting() == 1 }, 10*time.Second, time.Millisecond)
			} else {
				<-reads // before that it is not waiting, and may be ended without a request
			}
			cross <- func() { _, _ = io.WriteString(client, ask) }
			c.end(l, dial)
			require.NoError(t, talk(client, "", c.want))
			_, err = client.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF, "ended, and not reset")
		})
	}
}

// A connection that comes as the program ends may bring its request with it.
func TestRequestThatComesAfterTheEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client := dialed(t, ln)
	_, err = io.WriteString(client, ask)
	require.NoError(t, err)
	l := New(nil, clock.NewManual(1e6), slog.New(slog.NewTextHandler(io.Discard, nil)), httpio.NewStack(), nil, httpio.NewBudget(1))
	l.SetReady(true)
	l.Shut()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Serve(ctx, &arrived{ln}) }()
	t.Cleanup(func() { cancel(); <-done })
	require.NoError(t, talk(client, "", last))
}

// arrived accepts a connection once its first bytes are there.
type arrived struct{ net.Listener }

func (l *arrived) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		(&crossing{TCPConn: c.(*net.TCPConn)}).await()
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

// talk sends, and says what is wrong with what comes back.
func talk(c net.Conn, send, want string) error {
	if _, err := io.WriteString(c, send); err != nil {
		return err
	}
	got := make([]byte, len(want))
	n, err := io.ReadFull(c, got)
	if string(got[:n]) != want {
		return &other{string(got[:n]), err}
	}
	return nil
}

type other struct {
	got string
	err error
}

func (o *other) Error() string { return "came: " + o.got + ": " + o.err.Error() }
