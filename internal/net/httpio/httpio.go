// Package httpio is the framing that every HTTP side of the scheduler shares: reading
// requests and answers within limits, writing messages, and the budget of sockets.
package httpio

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"cottonwell/internal/buffer"
)

const (
	maxOnTheAir = buffer.Size + 2*buffer.MaxBody // a chunked body has some framing
)

// What is wrong with a message. Any other error is the connection's.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = buffer.ErrTooLarge
	// ErrHeadTooLarge says that a request's head is longer than one buffer.
	ErrHeadTooLarge = errors.New("head is longer than 8 KiB")
)

// Stack makes connections that share one pool of buffers.
type Stack struct {
	Buffers *buffer.Pool
}

// NewStack returns a stack with a pool of its own.
func NewStack() *Stack { return &Stack{Buffers: buffer.NewPool()} }

// Conn is a connection that carries HTTP messages, one at a time.
type Conn struct {
	net.Conn
	stack *Stack
	limit io.LimitedReader
	br    *bufio.Reader
}

// Wrap makes a Conn of c.
func (s *Stack) Wrap(c net.Conn) *Conn {
	conn := &Conn{Conn: c, stack: s}
	conn.limit = io.LimitedReader{R: c, N: maxOnTheAir}
	conn.br = bufio.NewReaderSize(&conn.limit, buffer.Size)
	return conn
}

// Await blocks until the next byte has come, without taking it.
func (c *Conn) Await() error {
	c.limit.N = maxOnTheAir
	_, err := c.br.Peek(1)
	return err
}

// Ahead says whether bytes that nobody has taken yet were read from the connection.
func (c *Conn) Ahead() bool { return c.br.Buffered() > 0 }

// Look says whether a byte has come that nobody has taken, or what ended the connection. It does not wait, and
// passes over the read deadline, which is then gone: at the end of a wait a deadline hides what came in that moment.
func (c *Conn) Look() (come bool, err error) {
	if c.Ahead() {
		return true, nil
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false, err
	}
	c.limit = io.LimitedReader{R: nowait{c.Conn}, N: maxOnTheAir}
	defer func() { c.limit.R = c.Conn }()
	if _, err = c.br.Peek(1); errors.Is(err, errNothing) {
		return false, nil
	}
	return err == nil, err
}

var errNothing = errors.New("nothing has come")

// nowait reads what has come on a connection, or says that there is nothing.
type nowait struct{ net.Conn }

func (c nowait) Read(b []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNothing
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	if err := raw.Read(func(fd uintptr) bool {
		n, failed = syscall.Read(int(fd), b)
		return true
	}); err != nil {
		return 0, err
	}
	switch {
	case errors.Is(failed, syscall.EAGAIN), errors.Is(failed, syscall.EWOULDBLOCK), errors.Is(failed, syscall.EINTR):
		return 0, errNothing
	case failed != nil:
		return 0, failed
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// Watch reads ahead while a request is in work, so that it is seen when the other side goes, also behind
// whatever it has sent ahead. It returns nil once it is woken or the read deadline has passed, else what ended
// the connection. What does not fit the buffer is dropped, as nobody may send so much ahead: flooded says so,
// and nothing that is read from then on is a message. Beyond maxOnTheAir it is ErrTooLarge.
func (c *Conn) Watch() (flooded bool, err error) {
	for dropped := 0; ; {
		c.limit.N = maxOnTheAir
		n := c.br.Buffered()
		if n >= buffer.Size {
			if dropped += n; dropped > maxOnTheAir {
				return true, ErrTooLarge
			}
			_, _ = c.br.Discard(n)
			flooded, n = true, 0
		}
		if _, err := c.br.Peek(n + 1); err != nil {
			if TimedOut(err) {
				return flooded, nil
			}
			return flooded, err
		}
	}
}

// Wake ends a read that waits, and each further one until a new deadline is set.
func (c *Conn) Wake() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// TimedOut says whether an error is a deadline's.
func TimedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// ReadRequest reads one request with its whole body. The read deadline is the caller's to set before; answers
// to 'Expect' are written until writeBy.
func (c *Conn) ReadRequest(writeBy time.Time) (*http.Request, *buffer.Body, error) {
	c.limit.N = maxOnTheAir
	if err := c.checkHead(); err != nil {
		return nil, nil, err
	}
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, nil, c.fault(err)
	}
	if req.ContentLength > buffer.MaxBody {
		return req, nil, ErrTooLarge
	}
	if req.Header.Get("Expect") == "100-continue" {
		if err := c.SetWriteDeadline(writeBy); err != nil {
			return req, nil, err
		}
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return req, nil, err
		}
	}
	body, err := c.stack.Buffers.Read(req.Body)
	if err != nil {
		return req, nil, c.fault(err)
	}
	return req, body, nil
}

// interim is how many 1xx answers may come before the one that counts.
const interim = 4

// ReadHead reads the head of an answer to a request of the given method, until the deadline. 1xx answers before
// it are passed over. The body is ReadRest's to read.
func (c *Conn) ReadHead(method string, deadline time.Time) (*http.Response, error) {
	c.limit.N = maxOnTheAir
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	for range interim + 1 {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, c.fault(err)
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim answers", ErrMalformed, interim)
}

// ReadRest reads the body of an answer, up to buffer.MaxBody, until the deadline.
func (c *Conn) ReadRest(resp *http.Response, deadline time.Time) (*buffer.Body, error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	body, err := c.stack.Buffers.Read(resp.Body)
	if err != nil {
		return nil, c.fault(err)
	}
	return body, nil
}

// RestIsHere says whether the whole body of an answer has come already, so that to read it waits for nothing.
func (c *Conn) RestIsHere(resp *http.Response) bool {
	return resp.ContentLength >= 0 && resp.ContentLength <= int64(c.br.Buffered())
}

// Stream reads the head of an answer whose body goes on; the caller reads Body line by
// line and sets deadlines itself. Grant allows for the next bytes.
func (c *Conn) Stream(method string, deadline time.Time) (*http.Response, error) {
	c.Grant()
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, c.fault(err)
	}
	return resp, nil
}

// Grant lets a stream carry so much more that a list of targets surely fits.
func (c *Conn) Grant() { c.limit.N = 4 << 20 }

// fault tells what is wrong with the message from what happened to the connection.
func (c *Conn) fault(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrTooLarge), c.limit.N <= 0:
		return ErrTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr), errors.Is(err, net.ErrClosed):
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// Head begins a message in the form of its first line; Field and End go on.
type Head struct{ b []byte }

// Start begins a message in a buffer.
func Start(buf *[buffer.Size]byte, line ...string) *Head {
	h := &Head{buf[:0]}
	for _, s := range line {
		h.b = append(h.b, s...)
	}
	h.b = append(h.b, "\r\n"...)
	return h
}

// Field adds a header field, unless its value is empty.
func (h *Head) Field(name, value string) *Head {
	if value != "" {
		h.b = append(append(append(append(h.b, name...), ": "...), value...), "\r\n"...)
	}
	return h
}

// Send writes the message with a body until the deadline. It returns how many bytes
// are missing: 0 says that the last byte was written, and the other side may have it.
func (c *Conn) Send(h *Head, body [][]byte, deadline time.Time) (missing int64, err error) {
	n := 0
	for _, s := range body {
		n += len(s)
	}
	h.b = append(h.b, "Content-Length: "...)
	h.b = strconv.AppendInt(h.b, int64(n), 10)
	h.b = append(h.b, "\r\n\r\n"...)
	total := int64(len(h.b) + n)
	if err := c.SetWriteDeadline(deadline); err != nil {
		return total, err
	}
	if len(body) <= 1 && n+len(h.b) <= cap(h.b) { // one segment where it fits
		for _, s := range body {
			h.b = append(h.b, s...)
		}
		m, err := c.Conn.Write(h.b)
		return total - int64(m), err
	}
	all := append(net.Buffers{h.b}, body...)
	m, err := all.WriteTo(c.Conn)
	return total - m, err
}

// Buffer lends a buffer for a head; the caller gives it back with Done.
func (c *Conn) Buffer() *[buffer.Size]byte { return c.stack.Buffers.Get() }

// Done takes back what Buffer lent.
func (c *Conn) Done(b *[buffer.Size]byte) { c.stack.Buffers.Put(b) }

// Budget bounds how many sockets one side holds.
type Budget struct{ slots chan struct{} }

// NewBudget returns a budget of n sockets.
func NewBudget(n int) *Budget { return &Budget{make(chan struct{}, max(1, n))} }

// Size is the number of sockets.
func (b *Budget) Size() int { return cap(b.slots) }

// TryTake takes a socket's place if there is one.
func (b *Budget) TryTake() bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// Take waits for a socket's place, or for stop.
func (b *Budget) Take(stop <-chan struct{}) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	case <-stop:
		return false
	}
}

// Give gives a place back.
func (b *Budget) Give() { <-b.slots }

// CloseGently closes a connection on which the other side may still be writing: it ends its own side, then
// takes and drops what still comes, until the other side ends too or the deadline has passed. To close it with
// bytes unread would reset it, and the last answer could be lost on the way. Nothing that is read here may be
// acted on: no answer can follow any more.
func CloseGently(c net.Conn, deadline time.Time) {
	defer c.Close()
	if conn, ok := c.(*Conn); ok {
		c = conn.Conn
	}
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(deadline) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c, maxOnTheAir)) // whatever it was, nobody wants it
}
