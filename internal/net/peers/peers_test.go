package peers

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A datagram is passed on with its sender's number. One from an unknown sender is not, as its load figures would
// be believed.
func TestOnlyPeersAreReceived(t *testing.T) {
	bind := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, stranger := bind(), bind()
	l, err := Open(Config{Listen: "127.0.0.1:0", Peers: []string{"127.0.0.1:1", peer.LocalAddr().String()},
		Broadcast: peer.LocalAddr().String()}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done, received := make(chan struct{}), make(chan string, 9)
	go func() {
		defer close(done)
		l.Run(ctx, func(who int, raw string) { received <- string(rune('0'+who)) + string(raw) })
	}()
	defer func() { cancel(); <-done }()

	_, err = stranger.WriteTo([]byte("forged"), l.Addr())
	require.NoError(t, err)
	require.Eventually(t, func() bool { return l.Unreadable.Load() == 1 }, 10*time.Second, time.Millisecond)
	_, err = peer.WriteTo([]byte("data"), l.Addr())
	require.NoError(t, err)
	require.Equal(t, "1data", <-received)

	l.Send(nil, strings.Repeat("x", MaxSize+1))
	l.Send([]int{-1, 9}, "unknown") // numbers that no scheduler has
	l.Send([]int{}, "unknown")
	l.Send([]int{1}, "mine")
	buf := make([]byte, 999)
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(10*time.Second)))
	n, from, err := peer.ReadFrom(buf)
	require.NoError(t, err)
	require.Equal(t, "mine", string(buf[:n]), "the platform does not allow the longer datagram")
	require.Equal(t, l.Addr().String(), from.String())
}

func TestNoPeersNoLink(t *testing.T) {
	l, err := Open(Config{Listen: "127.0.0.1:0"}, nil)
	require.NoError(t, err)
	require.Nil(t, l)
	_, err = Open(Config{Listen: "127.0.0.1:0", Broadcast: "nowhere"}, nil)
	require.ErrorContains(t, err, "peers_all")
}

// Unusual peer lists: without this scheduler, with an address twice, longer than the fleet, empty, or with an
// invalid address. Only the last stops a scheduler, and the error names the setting.
func TestUnusualPeerLists(t *testing.T) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer c.Close()
	at := c.LocalAddr().String()
	long := make([]string, 4000)
	for i := range long {
		long[i] = at
	}
	for name, peers := range map[string][]string{"empty": nil, "twice": {at, at}, "long": long, "without itself": {at}} {
		l, err := Open(Config{Listen: "127.0.0.1:0", Peers: peers, Broadcast: at}, quiet)
		require.NoError(t, err, name)
		ctx, cancel := context.WithCancel(context.Background())
		received, done := make(chan int, 1), make(chan struct{})
		go func() {
			defer close(done)
			l.Run(ctx, func(who int, _ string) { received <- who })
		}()
		_, err = c.WriteTo([]byte("data"), l.Addr())
		require.NoError(t, err)
		if len(peers) > 0 {
			who := <-received
			require.Equal(t, len(peers)-1, who, "%s: the last number with the address", name)
		} else {
			require.Eventually(t, func() bool { return l.Unreadable.Load() == 1 }, 10*time.Second, time.Millisecond, name)
		}
		l.Send([]int{0, len(peers), 1 << 30}, "unknown")
		cancel()
		<-done
	}
	_, err = Open(Config{Listen: "127.0.0.1:0", Peers: []string{at, "somewhere"}, Broadcast: at}, quiet)
	require.ErrorContains(t, err, "peers: ")
}
