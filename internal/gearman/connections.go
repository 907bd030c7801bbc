package gearman

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"cottonwell/internal/net/httpio"
)

// This file accepts connections and decides which one has a place.

const (
	maxOverBudget   = 8     // evicted connections that may be closing beyond the budget; as many more may be told that there is no place
	acceptRetryMS   = 20.0  // after an error
	rejectTimeoutMS = 400.0 // for the other side to close a connection that is rejected or evicted
)

// ExtraConnections is the number of connections beyond the configured one that may be closing.
const ExtraConnections = 2 * maxOverBudget

// errEvicted is the end of a connection whose place belongs to another one.
const errEvicted = protocolError("no_place all connections are in use; connect again later")

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// conn is the connection of a client, a worker, or a peer that is both.
type conn struct {
	net.Conn
	outbox     *outbox
	writerDone chan struct{} // closed when writeOutbox returns
	exceptions bool          // the client requested WORK_EXCEPTION
	worker     *worker

	// The server's mu guards the fields below.
	idleSince float64 // ms; when it began to wait for its next packet
	reading   bool    // a packet has begun and is not handled
	evicted   bool    // its place belongs to another connection
}

// send puts a packet in the outbox. It closes a connection whose outbox is full.
func (c *conn) send(o outgoing) {
	if !c.outbox.put(o) {
		c.Close()
	}
}

// respond puts a response packet in the outbox.
func (c *conn) respond(t Type, args ...string) { c.send(outgoing{data: Response(t, args...)}) }

// Serve accepts connections until ctx ends, or until the deadline of the listener. Once ctx has ended, it closes the connections
// and waits for their goroutines.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	defer s.closeAll()
	defer func() { <-ctx.Done() }() // connections outlive the listener
	connections.Go(func() { s.runRetries(ctx) })
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		netConn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) { // another process accepts connections from now on
				return ln.Close()
			}
			s.log.Error("cannot accept", "cause", err)
			s.pauseAccepting(ctx) // perhaps out of file descriptors: an immediate retry would only use up the CPU
			continue
		}
		if !s.takePlace() {
			s.reject(&connections, netConn)
			continue
		}
		connections.Go(func() { s.serveConn(ctx, netConn) })
	}
}

// pauseAccepting waits for acceptRetryMS, or until ctx ends.
func (s *Server) pauseAccepting(ctx context.Context) {
	alarm := s.clock.NewAlarm()
	defer alarm.Stop()
	alarm.Set(s.clock.Now() + acceptRetryMS)
	select {
	case <-alarm.C():
	case <-ctx.Done():
	}
}

// takePlace takes a place for a new connection, if necessary that of an idle client.
func (s *Server) takePlace() bool { return s.sockets.TryAcquire() || s.evictIdle() }

// evictIdle gives the place of the client that is idle longest to a new connection. A client is idle if it is sent everything and
// waits for no job; it can connect again. Workers stay, as jobs run there. It reports false if there is no such client, or if too
// many evicted ones are not closed yet.
func (s *Server) evictIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *conn
	for c := range s.conns {
		if c.worker == nil && !c.reading && !c.evicted && c.outbox.idle() && (longest == nil || c.idleSince < longest.idleSince) {
			longest = c
		}
	}
	if longest == nil || s.evicting >= maxOverBudget {
		return false
	}
	longest.evicted = true
	s.evicting++
	_ = longest.SetReadDeadline(longAgo) // wakes its reader, which closes it
	return true
}

// reject tells a connection for which there is no place so, and closes it. If too many come at once, the others are only closed.
func (s *Server) reject(connections *sync.WaitGroup, netConn net.Conn) {
	if s.rejecting.Add(1) > maxOverBudget {
		s.rejecting.Add(-1)
		netConn.Close()
		return
	}
	connections.Go(func() {
		defer s.rejecting.Add(-1)
		if netConn.SetWriteDeadline(s.clock.Deadline(writeTimeoutMS)) == nil {
			_, _ = netConn.Write(Response(Error, "no_place", "all connections are in use; connect again later"))
		}
		httpio.CloseGently(netConn, s.clock.Deadline(rejectTimeoutMS))
	})
}

// awaitPacket waits for the first byte of the next packet.
func (s *Server) awaitPacket(ctx context.Context, c *conn, reader *bufio.Reader) (first byte, err error) {
	if err := s.beginIdle(c); err != nil {
		return 0, err
	}
	if ctx.Err() != nil { // closeAll may have set its deadline before this one
		return 0, ctx.Err()
	}
	begin, err := reader.Peek(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.evicted && (err == nil || httpio.DataPending(c.Conn)) { // its packet crossed the eviction, and is answered
		return 0, errEvicted
	}
	if err != nil {
		return 0, err
	}
	c.reading = true
	return begin[0], c.SetReadDeadline(s.clock.Deadline(packetTimeoutMS))
}

// beginIdle records that a connection waits for its next packet. The deadline is set under the lock, or it could undo the wake-up
// of evictIdle.
func (s *Server) beginIdle(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.reading, c.idleSince = false, s.clock.Now()
	if c.evicted {
		return c.SetReadDeadline(longAgo)
	}
	return c.SetReadDeadline(s.clock.Deadline(idleTimeoutMS))
}

// releasePlace returns the place of a connection that is closed, unless it was evicted.
func (s *Server) releasePlace(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.evicted {
		s.evicting--
		return
	}
	s.sockets.Release()
}

// serveConn reads and handles the packets of one connection. A protocol error closes that
// connection and affects no other.
func (s *Server) serveConn(ctx context.Context, netConn net.Conn) {
	c := &conn{Conn: netConn, writerDone: make(chan struct{}), idleSince: s.clock.Now()}
	c.outbox = newOutbox(s.memory, func() { go s.evict(c) })
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	go s.writeOutbox(c)
	err := s.readPackets(ctx, c)
	var fault protocolError
	if errors.As(err, &fault) {
		code, text, _ := strings.Cut(string(fault), " ")
		s.log.Warn("bad packet", "peer", netConn.RemoteAddr(), "cause", err)
		c.send(outgoing{data: Response(Error, code, text), closeAfter: true})
		<-c.writerDone
		httpio.CloseGently(netConn, s.clock.Deadline(lingerTimeoutMS))
	} else {
		c.outbox.close()
		<-c.writerDone
	}
	s.closeConn(c)
	s.workerDisconnected(c)
	s.clientDisconnected(c)
}

// closeConn closes a connection and returns its place. One that was evicted may still send: that is read for a moment, as closing
// over unread bytes would reset the connection.
func (s *Server) closeConn(c *conn) {
	s.mu.Lock()
	evicted := c.evicted
	s.mu.Unlock()
	if evicted {
		httpio.CloseGently(c.Conn, s.clock.Deadline(rejectTimeoutMS))
	}
	c.Close()
	s.releasePlace(c)
}

// evict closes a connection that holds more memory than any other while the limit is reached.
func (s *Server) evict(c *conn) {
	s.log.Warn("connection closed: it holds the most memory, and the limit is reached", "peer", c.RemoteAddr())
	c.Close()
}

// closeAll ends all connections. Their sending sides are closed at once; what still arrives is read for a moment, as closing
// over unread bytes would reset the connection before the other side has read its last packets.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		half, ok := c.Conn.(interface{ CloseWrite() error })
		if !ok || half.CloseWrite() != nil || c.SetReadDeadline(s.clock.Deadline(closeTimeoutMS)) != nil {
			c.Close()
		}
	}
}
