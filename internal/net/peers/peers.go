// Package peers carries datagrams between the schedulers of one fleet. It is given their addresses, sends short
// messages to some or all of them, and passes on what it receives together with the sender's number. Datagrams may
// be late or lost: the package neither repeats nor acknowledges them, and does not look into them.
package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"

	"cottonwell/internal/net/reuseport"
)

// MaxSize is the longest datagram that the platform allows, in bytes.
const MaxSize = 256

// Config is the peer part of the configuration.
type Config struct {
	Listen    string   // local address for receiving and sending
	Peers     []string // the address of each scheduler, this one included, in the order of their numbers
	Broadcast string   // the address that reaches all schedulers
	Shared    bool     // another process of this scheduler may listen on the same address
}

// Link sends to the other schedulers and receives from them.
type Link struct {
	conn      *net.UDPConn
	log       *slog.Logger
	broadcast netip.AddrPort
	numbers   map[netip.AddrPort]int
	addresses []netip.AddrPort // by number

	Sent, Received, Unreadable, Failed atomic.Int64
}

// Open binds the local address. It returns nil if the configuration has no local address or none for all
// schedulers.
func Open(cfg Config, log *slog.Logger) (*Link, error) {
	if cfg.Listen == "" || cfg.Broadcast == "" {
		return nil, nil
	}
	l := &Link{log: log, numbers: map[netip.AddrPort]int{}}
	var err error
	if l.broadcast, err = netip.ParseAddrPort(cfg.Broadcast); err != nil {
		return nil, fmt.Errorf("peers_all: %w", err)
	}
	for i, s := range cfg.Peers {
		address, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		l.numbers[address] = i
		l.addresses = append(l.addresses, address)
	}
	local, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if cfg.Shared {
		l.conn, err = reuseport.ListenPacket(cfg.Listen)
	} else {
		l.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	}
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return l, nil
}

// Addr returns the bound address.
func (l *Link) Addr() net.Addr { return l.conn.LocalAddr() }

// Send sends raw to the schedulers with these numbers, or to all others if to is nil. A failed send counts as a
// lost datagram: a later message repeats its content.
func (l *Link) Send(to []int, raw string) {
	if len(raw) > MaxSize {
		l.Failed.Add(1)
		return
	}
	if to == nil {
		l.send(raw, l.broadcast)
		return
	}
	for _, n := range to {
		if n >= 0 && n < len(l.addresses) {
			l.send(raw, l.addresses[n])
		}
	}
}

func (l *Link) send(raw string, to netip.AddrPort) {
	if _, err := l.conn.WriteToUDPAddrPort([]byte(raw), to); err != nil {
		l.Failed.Add(1)
		return
	}
	l.Sent.Add(1)
}

// Run passes on the received datagrams until ctx ends, then closes the socket. Datagrams from an unknown address
// are counted and ignored.
func (l *Link) Run(ctx context.Context, receive func(sender int, raw string)) {
	defer context.AfterFunc(ctx, func() { l.conn.Close() })()
	buf := make([]byte, MaxSize+1)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Failed.Add(1)
			continue
		}
		sender, ok := l.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > MaxSize {
			l.Unreadable.Add(1)
			continue
		}
		l.Received.Add(1)
		receive(sender, string(buf[:n]))
	}
}
