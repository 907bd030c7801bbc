// Package shared listens at addresses that another process of the same scheduler may listen at, too.
package shared

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// quiet is for how long nothing has to come to a listener before it is taken for empty.
const quiet = 20 * time.Millisecond

var config = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	return errors.Join(err, set)
}}

// Listen listens at a TCP address.
func Listen(address string) (net.Listener, error) {
	return config.Listen(context.Background(), "tcp", address)
}

// ListenPacket listens at a UDP address.
func ListenPacket(address string) (*net.UDPConn, error) {
	c, err := config.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}

// Stop has a listener's Accept fail with a timeout once nothing has come for a moment; then it may be closed with hardly any
// connection reset that waits to be accepted.
func Stop(ln net.Listener) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return ln.Close()
	}
	return tcp.SetDeadline(time.Now().Add(quiet))
}
