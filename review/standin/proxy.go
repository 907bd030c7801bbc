package standin

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// CallProxy stands between a shop worker and a scheduler. While Lose is set, it passes calls on and loses the answer to those
// for which Lose returns true: it resets the connection instead.
type CallProxy struct {
	Address, To string
	// Lose is given the bytes of a call.
	Lose   func(call []byte) bool
	record *Record
}

// StartCallProxy starts a proxy to an address.
func StartCallProxy(r *Record, to string, lose func([]byte) bool) (*CallProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &CallProxy{Address: ln.Addr().String(), To: to, Lose: lose, record: r}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *CallProxy) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", p.To)
	if err != nil {
		return
	}
	defer out.Close()
	var mu sync.Mutex
	var call []byte // what has come since the last answer
	go func() {
		defer out.Close()
		buf := make([]byte, 64<<10)
		for {
			n, err := in.Read(buf)
			if n > 0 {
				mu.Lock()
				call = append(call, buf[:n]...)
				mu.Unlock()
				if _, err := out.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := out.Read(buf)
		if n > 0 {
			mu.Lock()
			lost := p.Lose != nil && p.Lose(call)
			_, body, _ := bytes.Cut(call, []byte("\r\n\r\n"))
			text := string(body)
			call = nil
			mu.Unlock()
			if lost {
				p.record.Log("proxy: the answer to %s is lost, and the connection is reset", text)
				_ = in.(*net.TCPConn).SetLinger(0)
				return
			}
			if _, err := in.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = in.SetDeadline(time.Now())
			}
			return
		}
	}
}
