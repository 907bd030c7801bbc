package control

import (
	"net"
	"sync"
)

// limited is a listener that takes a connection only while fewer than so many that it has taken are open.
type limited struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimited(ln net.Listener, most int) *limited {
	return &limited{Listener: ln, places: make(chan struct{}, most), closed: make(chan struct{})}
}

func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &placed{Conn: c, give: sync.OnceFunc(func() { <-l.places })}, nil
}

func (l *limited) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// placed gives its place back as it closes.
type placed struct {
	net.Conn
	give func()
}

func (p *placed) Close() error {
	defer p.give()
	return p.Conn.Close()
}
