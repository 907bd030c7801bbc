package standin

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Numbers of the packets of the published Gearman protocol.
const (
	GmCanDo        = 1
	GmPreSleep     = 4
	GmNoop         = 6
	GmSubmitJob    = 7
	GmJobCreated   = 8
	GmGrabJob      = 9
	GmNoJob        = 10
	GmWorkComplete = 13
	GmWorkFail     = 14
	GmError        = 19
	GmSubmitJobBG  = 18
	GmSetClientID  = 22
	GmWorkWarning  = 29
	GmGrabJobUniq  = 30
	GmAssignUniq   = 31
)

// Packet is a Gearman packet.
type Packet struct {
	Type int
	Args []string
}

// GearmanConn is a connection that speaks the binary protocol.
type GearmanConn struct {
	net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
}

// DialGearman connects to a Gearman server.
func DialGearman(address string) (*GearmanConn, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &GearmanConn{Conn: c, reader: bufio.NewReaderSize(c, 64<<10)}, nil
}

// EncodeGearman encodes a request packet.
func EncodeGearman(kind int, args ...string) []byte {
	var data []byte
	for i, a := range args {
		if i > 0 {
			data = append(data, 0)
		}
		data = append(data, a...)
	}
	head := append([]byte("\x00REQ"), make([]byte, 8)...)
	binary.BigEndian.PutUint32(head[4:], uint32(kind))
	binary.BigEndian.PutUint32(head[8:], uint32(len(data)))
	return append(head, data...)
}

// Send writes a request packet.
func (c *GearmanConn) Send(kind int, args ...string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(EncodeGearman(kind, args...))
	return err
}

// Receive reads a response packet.
func (c *GearmanConn) Receive() (Packet, error) {
	var head [12]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return Packet{}, err
	}
	if string(head[:4]) != "\x00RES" {
		return Packet{}, fmt.Errorf("not a response: %q", head[:4])
	}
	data := make([]byte, binary.BigEndian.Uint32(head[8:]))
	if _, err := io.ReadFull(c.reader, data); err != nil {
		return Packet{}, err
	}
	p := Packet{Type: int(binary.BigEndian.Uint32(head[4:]))}
	count := map[int]int{GmAssignUniq: 4, GmWorkComplete: 2, GmWorkWarning: 2, GmError: 2}[p.Type]
	for _, part := range bytes.SplitN(data, []byte{0}, max(1, count)) {
		p.Args = append(p.Args, string(part))
	}
	return p, nil
}

// GearmanWorker is a Gearman worker: it grabs one job after the other, and sleeps while there is none.
type GearmanWorker struct {
	ID        string
	Functions []string
	// Run runs a job and returns its result.
	Run    func(handle, function, unique string, workload string) string
	record *Record
	Conn   *GearmanConn
}

// StartGearmanWorker connects a worker.
func StartGearmanWorker(r *Record, address string, w *GearmanWorker) error {
	c, err := DialGearman(address)
	if err != nil {
		return err
	}
	w.record, w.Conn = r, c
	if err := c.Send(GmSetClientID, w.ID); err != nil {
		return err
	}
	for _, f := range w.Functions {
		if err := c.Send(GmCanDo, f); err != nil {
			return err
		}
	}
	go w.work()
	return nil
}

func (w *GearmanWorker) work() {
	_ = w.Conn.Send(GmGrabJobUniq)
	for {
		p, err := w.Conn.Receive()
		if err != nil {
			w.record.Log("%s: its connection ends: %v", w.ID, err)
			return
		}
		switch p.Type {
		case GmNoJob:
			_ = w.Conn.Send(GmPreSleep)
		case GmNoop:
			_ = w.Conn.Send(GmGrabJobUniq)
		case GmAssignUniq:
			w.record.Log("%s: gets %s, unique %s", w.ID, p.Args[0], p.Args[2])
			result := w.Run(p.Args[0], p.Args[1], p.Args[2], p.Args[3])
			w.record.Log("%s: completes %s, unique %s", w.ID, p.Args[0], p.Args[2])
			_ = w.Conn.Send(GmWorkComplete, p.Args[0], result)
			_ = w.Conn.Send(GmGrabJobUniq)
		case GmError:
			w.record.Log("%s: error %q", w.ID, p.Args)
		}
	}
}
