package emulatedsite

import (
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cottonwell/internal/faults"
)

// errLinkBroken is returned for a connection whose link is broken by a fault.
var errLinkBroken = errors.New("link is broken by a fault")

// linkListener accepts the connections of one scheduler to discovery or to a target, and applies the faults of the
// script to them.
type linkListener struct {
	net.Listener
	site              *Site
	linkKind          string // faults.Discovery or faults.Targets
	scheduler, target int
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: c, link: l, closed: make(chan struct{})}, nil
}

// linkConn is a connection that is subject to the faults of its link.
type linkConn struct {
	net.Conn
	link       *linkListener
	once       sync.Once
	closed     chan struct{}
	receivedAt atomic.Uint64 // Float64bits of the time (ms) of the last read, before any delay by a fault
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Read implements net.Conn. It returns data once the faults of the link permit it.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.receivedAt.Store(math.Float64bits(c.link.site.now()))
	if err == nil {
		err = c.waitForLink()
	}
	if err != nil {
		n = 0
	}
	return n, err
}

// Write implements net.Conn. It writes data once the faults of the link permit it.
func (c *linkConn) Write(b []byte) (int, error) {
	if err := c.waitForLink(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// waitForLink waits until data may pass. If the link is broken, it resets the connection.
func (c *linkConn) waitForLink() error {
	err := c.link.site.waitForLink(c.link.linkKind, c.link.scheduler, c.link.target, c.closed)
	if errors.Is(err, errLinkBroken) {
		closeWithReset(c)
	}
	return err
}

// closeWithReset closes a connection with a TCP reset and no response.
func closeWithReset(c net.Conn) {
	underlying := c
	if w, ok := c.(*linkConn); ok {
		underlying = w.Conn
	}
	if t, ok := underlying.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // on an error the connection closes in order, which is acceptable
	}
	c.Close()
}

// waitForLink waits until data may pass on a link. It returns errLinkBroken if a fault breaks the link, and net.ErrClosed if
// the connection or the site is closed. Before the load starts there are no faults.
func (s *Site) waitForLink(linkKind string, scheduler, target int, closed <-chan struct{}) error {
	for delayed := false; ; {
		s.mu.Lock()
		loadStarted, link := s.loadStart > 0, faults.LinkState{}
		if loadStarted {
			link = s.links.Script.ConnectionState(s.now()-s.loadStart, linkKind, scheduler, target)
		}
		s.mu.Unlock()
		wait := 5 * time.Millisecond
		switch {
		case link.Broken:
			return errLinkBroken
		case link.Cut:
		case link.Delay > 0 && !delayed:
			delayed, wait = true, time.Duration(link.Delay*1e6)
		default:
			return nil
		}
		select {
		case <-closed:
			return net.ErrClosed
		case <-s.ctx.Done():
			return net.ErrClosed
		case <-time.After(wait):
		}
	}
}
