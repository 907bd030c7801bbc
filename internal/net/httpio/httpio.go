// Package httpio is the HTTP framing that all sides of the scheduler share. It is given connections and reads
// requests and responses within limits, writes messages, and keeps the budget of sockets. It also maps the exchange
// of an attempt to its outcome. It does no routing and keeps no connection pools.
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
	maxMessage = buffer.Size + 2*buffer.MaxBody // bytes of one message; the second MaxBody is for the framing of a chunked body
)

// Errors of a message. Any other error is one of the connection.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = buffer.ErrTooLarge
	// ErrNoMemory means that the bodies of requests hold as much memory as they may.
	ErrNoMemory = buffer.ErrNoMemory
	// ErrHeadTooLarge means that a request's head is longer than one buffer, and ErrTooManyFields that it has more than maxFields
	// fields, each of which needs many times its length in memory.
	ErrHeadTooLarge  = errors.New("head is longer than 8 KiB")
	ErrTooManyFields = errors.New("head has more than 100 fields")
)

// Stack wraps connections that share one pool of buffers.
type Stack struct {
	Buffers *buffer.Pool
	// RequestBodies limits the memory of the bodies of requests that are received; nil: unlimited.
	RequestBodies *buffer.Limit
}

// NewStack returns a stack with a buffer pool of its own.
func NewStack() *Stack { return &Stack{Buffers: buffer.NewPool()} }

// Conn is a connection that carries HTTP messages, one at a time.
type Conn struct {
	net.Conn
	stack *Stack
	limit io.LimitedReader
	br    *bufio.Reader
}

// Wrap returns a Conn on c.
func (s *Stack) Wrap(c net.Conn) *Conn {
	conn := &Conn{Conn: c, stack: s}
	conn.limit = io.LimitedReader{R: c, N: maxMessage}
	conn.br = bufio.NewReaderSize(&conn.limit, buffer.Size)
	return conn
}

// Await blocks until the next byte has arrived, without consuming it.
func (c *Conn) Await() error {
	c.limit.N = maxMessage
	_, err := c.br.Peek(1)
	return err
}

// Buffered reports whether bytes were read from the connection and not consumed yet.
func (c *Conn) Buffered() bool { return c.br.Buffered() > 0 }

// Peek reports whether an unconsumed byte has arrived, or returns the error that ended the connection. It does not
// block. It clears the read deadline: when a wait times out, an expired deadline would hide data that arrives at
// that moment.
func (c *Conn) Peek() (received bool, err error) {
	if c.Buffered() {
		return true, nil
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false, err
	}
	c.limit = io.LimitedReader{R: nonblockingConn{c.Conn}, N: maxMessage}
	defer func() { c.limit.R = c.Conn }()
	if _, err = c.br.Peek(1); errors.Is(err, errNoData) {
		return false, nil
	}
	return err == nil, err
}

var errNoData = errors.New("no data has arrived")

// nonblockingConn reads what has arrived on a connection, or returns errNoData.
type nonblockingConn struct{ net.Conn }

func (c nonblockingConn) Read(b []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNoData
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	if err := raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), b)
		return true
	}); err != nil {
		return 0, err
	}
	switch {
	case errors.Is(readErr, syscall.EAGAIN), errors.Is(readErr, syscall.EWOULDBLOCK), errors.Is(readErr, syscall.EINTR):
		return 0, errNoData
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// WatchClose reads ahead while a request is in progress, so that the caller notices when the other side closes,
// even behind data that it has sent ahead. It returns a nil error on Wake or at the read deadline, and otherwise
// the error that ended the connection. It drops what does not fit the buffer, as no client may send that much
// ahead. It then returns overflowed, and what is read from then on is no message. Beyond maxMessage bytes it
// returns ErrTooLarge.
func (c *Conn) WatchClose() (overflowed bool, err error) {
	for dropped := 0; ; {
		c.limit.N = maxMessage
		n := c.br.Buffered()
		if n >= buffer.Size {
			if dropped += n; dropped > maxMessage {
				return true, ErrTooLarge
			}
			_, _ = c.br.Discard(n)
			overflowed, n = true, 0
		}
		if _, err := c.br.Peek(n + 1); err != nil {
			if TimedOut(err) {
				return overflowed, nil
			}
			return overflowed, err
		}
	}
}

// Wake ends a blocked read, and each later one until a new deadline is set.
func (c *Conn) Wake() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// TimedOut reports whether an error is an expired deadline.
func TimedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// ReadRequest reads one request with its whole body. The caller sets the read deadline before. The response to
// 'Expect' is written until writeBy.
func (c *Conn) ReadRequest(writeBy time.Time) (*http.Request, *buffer.Body, error) {
	c.limit.N = maxMessage
	if err := c.checkHead(); err != nil {
		return nil, nil, err
	}
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, nil, c.messageError(err)
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
	body, err := c.stack.Buffers.ReadWithin(c.stack.RequestBodies, req.Body)
	if err != nil {
		return req, nil, c.messageError(err)
	}
	return req, body, nil
}

// maxInterim is the number of 1xx responses accepted before the final response.
const maxInterim = 4

// ReadHead reads the head of the final response to a request of the given method, until the deadline. It skips 1xx
// responses. ReadBody reads the body.
func (c *Conn) ReadHead(method string, deadline time.Time) (*http.Response, error) {
	c.limit.N = maxMessage
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, c.messageError(err)
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", ErrMalformed, maxInterim)
}

// ReadBody reads the body of a response, up to buffer.MaxBody, until the deadline.
func (c *Conn) ReadBody(resp *http.Response, deadline time.Time) (*buffer.Body, error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	body, err := c.stack.Buffers.Read(resp.Body)
	if err != nil {
		return nil, c.messageError(err)
	}
	return body, nil
}

// BodyBuffered reports whether the whole body of a response is buffered, so that reading it does not block.
func (c *Conn) BodyBuffered(resp *http.Response) bool {
	return resp.ContentLength >= 0 && resp.ContentLength <= int64(c.br.Buffered())
}

// ReadStreamHead reads the head of a response whose body is a stream. The caller reads Body line by line and sets
// the deadlines. ExtendStream allows further bytes.
func (c *Conn) ReadStreamHead(method string, deadline time.Time) (*http.Response, error) {
	c.ExtendStream()
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, c.messageError(err)
	}
	return resp, nil
}

// ExtendStream allows 4 MiB more on a stream, which is enough for a list of targets.
func (c *Conn) ExtendStream() { c.limit.N = 4 << 20 }

// messageError returns the error of a message, given the error of reading it.
func (c *Conn) messageError(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrNoMemory):
		return err
	case errors.Is(err, ErrTooLarge), c.limit.N <= 0:
		return ErrTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr), errors.Is(err, net.ErrClosed):
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// Head is the head of a message. Start begins it, Field adds to it and Send completes it.
type Head struct{ b []byte }

// Start begins a message in a buffer with the parts of its first line.
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

// Send writes the message with a body until the deadline. It returns the number of missing bytes: 0 means that the
// last byte was written, and the other side may have received it.
func (c *Conn) Send(h *Head, body [][]byte, deadline time.Time) (missing int64, err error) {
	bodySize := 0
	for _, s := range body {
		bodySize += len(s)
	}
	h.b = append(h.b, "Content-Length: "...)
	h.b = strconv.AppendInt(h.b, int64(bodySize), 10)
	h.b = append(h.b, "\r\n\r\n"...)
	total := int64(len(h.b) + bodySize)
	if err := c.SetWriteDeadline(deadline); err != nil {
		return total, err
	}
	if len(body) <= 1 && bodySize+len(h.b) <= cap(h.b) { // one segment if it fits
		for _, s := range body {
			h.b = append(h.b, s...)
		}
		written, err := c.Conn.Write(h.b)
		return total - int64(written), err
	}
	buffers := append(net.Buffers{h.b}, body...)
	written, err := buffers.WriteTo(c.Conn)
	return total - written, err
}

// Buffer lends a buffer for a head. The caller returns it with Done.
func (c *Conn) Buffer() *[buffer.Size]byte { return c.stack.Buffers.Get() }

// Done returns a buffer lent by Buffer.
func (c *Conn) Done(b *[buffer.Size]byte) { c.stack.Buffers.Put(b) }

// Budget limits the number of sockets of one side.
type Budget struct{ slots chan struct{} }

// NewBudget returns a budget of n sockets.
func NewBudget(n int) *Budget { return &Budget{make(chan struct{}, max(1, n))} }

// Size returns the number of sockets.
func (b *Budget) Size() int { return cap(b.slots) }

// TryAcquire takes a socket from the budget, and returns false if none is left.
func (b *Budget) TryAcquire() bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// Acquire waits for a socket from the budget, and returns false if stop is closed first.
func (b *Budget) Acquire(stop <-chan struct{}) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	case <-stop:
		return false
	}
}

// Release returns a socket to the budget.
func (b *Budget) Release() { <-b.slots }

// CloseGently closes a connection on which the other side may still be sending. It closes its own sending side,
// then discards what arrives until the other side closes too or the deadline has passed. Closing with unread bytes
// would reset the connection, and the last response could be lost. What is read here must not be acted on, as no
// response can follow.
func CloseGently(c net.Conn, deadline time.Time) {
	defer c.Close()
	if conn, ok := c.(*Conn); ok {
		c = conn.Conn
	}
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(deadline) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c, maxMessage)) // the result does not matter: the data is discarded
}
