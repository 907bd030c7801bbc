package control

import (
	"net"
	"sync"
)

// limitedListener is a listener that accepts a connection only while fewer than a fixed number of them are open.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(ln net.Listener, maxOpen int) *limitedListener {
	return &limitedListener{Listener: ln, slots: make(chan struct{}, maxOpen), closed: make(chan struct{})}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its slot when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

func (p *limitedConn) Close() error {
	defer p.release()
	return p.Conn.Close()
}
