// Package peers carries the short messages by which schedulers of one tier tell one another
// what they have out. They are datagrams: late, or lost, and nobody waits for them.
package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"

	"cottonwell/internal/net/shared"
)

// MaxSize is the longest datagram that the platform allows.
const MaxSize = 256

// Config is what the configuration says of the tier.
type Config struct {
	Listen string   // where datagrams arrive; they are sent from there, too
	Peers  []string // an address per scheduler, this one included, in the order of their numbers
	All    string   // the address that reaches every one of them
	Shared bool     // another process of this scheduler may listen there, too
}

// Link sends to the other schedulers and hears them.
type Link struct {
	conn *net.UDPConn
	log  *slog.Logger
	all  netip.AddrPort
	who  map[netip.AddrPort]int
	each []netip.AddrPort // by number

	Sent, Heard, Unreadable, Failed atomic.Int64
}

// Open binds the address. Without one, or without anybody to send to, it returns nil.
func Open(cfg Config, log *slog.Logger) (*Link, error) {
	if cfg.Listen == "" || cfg.All == "" {
		return nil, nil
	}
	l := &Link{log: log, who: map[netip.AddrPort]int{}}
	var err error
	if l.all, err = netip.ParseAddrPort(cfg.All); err != nil {
		return nil, fmt.Errorf("peers_all: %w", err)
	}
	for i, s := range cfg.Peers {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		l.who[a] = i
		l.each = append(l.each, a)
	}
	at, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if cfg.Shared {
		l.conn, err = shared.ListenPacket(cfg.Listen)
	} else {
		l.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	}
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return l, nil
}

// Addr is the address that is bound.
func (l *Link) Addr() net.Addr { return l.conn.LocalAddr() }

// Tell sends raw to the schedulers of these numbers, or to every other one where to is nil. What
// cannot be sent is lost, like any other; a later message says all anew.
func (l *Link) Tell(to []int, raw string) {
	if len(raw) > MaxSize {
		l.Failed.Add(1)
		return
	}
	if to == nil {
		l.send(raw, l.all)
		return
	}
	for _, n := range to {
		if n >= 0 && n < len(l.each) {
			l.send(raw, l.each[n])
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

// Run passes on what the others say until ctx ends, then closes the socket. What comes from
// an address that is no scheduler's is counted and passed over.
func (l *Link) Run(ctx context.Context, hear func(who int, raw string)) {
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
		who, ok := l.who[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > MaxSize {
			l.Unreadable.Add(1)
			continue
		}
		l.Heard.Add(1)
		hear(who, string(buf[:n]))
	}
}
