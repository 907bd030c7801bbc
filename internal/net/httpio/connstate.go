package httpio

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection, with the numbers of the kernel.
const (
	tcpClose     = 7 // reset, or never connected
	tcpCloseWait = 8 // the other side has closed its sending side
)

// PeerClosed reports whether the other side of a connection has closed it or its sending side, also behind data that is not read
// yet. It reports false if the system does not tell.
func PeerClosed(c net.Conn) bool {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return closed
}

// DataPending reports whether data of the other side has arrived that is not read yet. It does not block.
func DataPending(c net.Conn) bool {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	received := 0
	_ = raw.Control(func(fd uintptr) {
		received, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return received > 0
}

// ClientGone reports whether the client of a connection has closed it, before or behind what was read. It does not block, and
// clears the read deadline. The system is asked for the state only if data is left that hides the end.
func (c *Conn) ClientGone() bool {
	received, err := c.Peek()
	if err != nil {
		return true
	}
	return received && PeerClosed(c.Conn)
}
