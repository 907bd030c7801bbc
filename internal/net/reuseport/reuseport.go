// Package reuseport opens listeners on addresses on which another process of the same scheduler may listen, too. It
// is given an address and returns a socket with SO_REUSEPORT set. It helps to close such a listener with few lost
// connections, and does not hand over open connections.
package reuseport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// quietTime is the time without a new connection after which a listener's queue counts as empty.
const quietTime = 20 * time.Millisecond

var listenConfig = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	return errors.Join(err, set)
}}

// Listen listens on a TCP address.
func Listen(address string) (net.Listener, error) {
	return listenConfig.Listen(context.Background(), "tcp", address)
}

// ListenPacket listens on a UDP address.
func ListenPacket(address string) (*net.UDPConn, error) {
	c, err := listenConfig.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}

// Stop makes a listener's Accept fail with a timeout once no connection has arrived for quietTime. Closing the
// listener then resets hardly any connection that waits to be accepted.
func Stop(ln net.Listener) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return ln.Close()
	}
	return tcp.SetDeadline(time.Now().Add(quietTime))
}
