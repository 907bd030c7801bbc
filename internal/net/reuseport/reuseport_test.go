package reuseport

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two listeners share an address. Once one of them has stopped, each connection goes to the other.
func TestListenersShareAnAddress(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer first.Close()
	address := first.Addr().String()
	second, err := Listen(address)
	require.NoError(t, err)
	defer second.Close()
	accepted := 0
	for range 20 { // some wait to be accepted by the listener that stops
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
	}
	require.NoError(t, Stop(first))
	for {
		c, err := first.Accept()
		if err != nil {
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			break
		}
		accepted++
		c.Close()
	}
	require.NoError(t, first.Close())
	for range 10 {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
	}
	for range 30 - accepted {
		require.NoError(t, second.(*net.TCPListener).SetDeadline(time.Now().Add(8*time.Second)))
		c, err := second.Accept()
		require.NoError(t, err)
		c.Close()
	}
}

func TestPacketsShareAnAddress(t *testing.T) {
	first, err := ListenPacket("127.0.0.1:0")
	require.NoError(t, err)
	defer first.Close()
	second, err := ListenPacket(first.LocalAddr().String())
	require.NoError(t, err)
	require.NoError(t, second.Close())
}
