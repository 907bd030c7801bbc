// Package processlock lets at most one process of a machine act under a name at a time.
//
// The lock is a Unix socket in Linux's abstract namespace. The kernel refuses to bind a name twice in one network namespace,
// and frees it when the process that bound it has died, however it died. A process that is stopped or hangs keeps it. No
// file is involved.
package processlock

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// maxNameLen is the longest name of a lock in bytes: that of an abstract socket, less its prefix.
const maxNameLen = 100

// ErrHeld is returned by TryAcquire while another process has the lock.
var ErrHeld = errors.New("another process has the lock")

// Lock is a lock that this process has.
type Lock struct {
	socket  *net.UnixConn
	release sync.Once
}

// TryAcquire takes the lock of a name without waiting. It returns ErrHeld while another process has it.
func TryAcquire(name string) (*Lock, error) {
	if name == "" || len(name) > maxNameLen {
		return nil, fmt.Errorf("lock name of %d bytes; it must be 1 to %d", len(name), maxNameLen)
	}
	socket, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: "@" + name, Net: "unixgram"})
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, ErrHeld
	}
	if err != nil {
		return nil, fmt.Errorf("lock %s: %w", name, err)
	}
	return &Lock{socket: socket}, nil
}

// Release gives the lock up. What it protects must have ended before.
func (l *Lock) Release() { l.release.Do(func() { l.socket.Close() }) }
