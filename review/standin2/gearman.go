package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Packet types of the published Gearman protocol.
const (
	canDo         = 1
	preSleep      = 4
	noop          = 6
	submitJob     = 7
	jobCreated    = 8
	grabJobUniq   = 30
	noJob         = 10
	workComplete  = 13
	workFail      = 14
	errorPacket   = 19
	submitJobBG   = 18
	setClientID   = 22
	workException = 25
	workData      = 28
	workWarning   = 29
	jobAssignUniq = 31
)

// packet is a response packet of the server.
type packet struct {
	kind int
	args []string
}

// link is a connection of a Gearman client or worker.
type link struct {
	net.Conn
	r *bufio.Reader
}

func dialGearman(address string) (*link, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &link{c, bufio.NewReader(c)}, nil
}

func (l *link) send(kind int, args ...string) error {
	data := strings.Join(args, "\x00")
	header := make([]byte, 12, 12+len(data))
	copy(header, "\x00REQ")
	binary.BigEndian.PutUint32(header[4:], uint32(kind))
	binary.BigEndian.PutUint32(header[8:], uint32(len(data)))
	_, err := l.Write(append(header, data...))
	return err
}

func (l *link) read() (packet, error) {
	var header [12]byte
	if _, err := io.ReadFull(l.r, header[:]); err != nil {
		return packet{}, err
	}
	if string(header[:4]) != "\x00RES" {
		return packet{}, errors.New("no response packet")
	}
	data := make([]byte, binary.BigEndian.Uint32(header[8:]))
	if _, err := io.ReadFull(l.r, data); err != nil {
		return packet{}, err
	}
	p := packet{kind: int(binary.BigEndian.Uint32(header[4:]))}
	counts := map[int]int{jobCreated: 1, jobAssignUniq: 4, workComplete: 2, workFail: 1, errorPacket: 2, workException: 2, workData: 2, workWarning: 2}
	if n := counts[p.kind]; n > 0 {
		p.args = strings.SplitN(string(data), "\x00", n)
		if len(p.args) != n {
			return p, fmt.Errorf("packet %d has %d arguments", p.kind, len(p.args))
		}
	}
	return p, nil
}

// job is a job that a worker was assigned.
type job struct {
	handle, function, unique, workload string
}

// gearmanWorker is a worker that runs one job at a time, as the published protocol describes it.
type gearmanWorker struct {
	id, zone, pod, kind string
	address             string
	functions           []string
	record              *record
	// run does a job and returns its result. ok is false if the worker is to vanish: its connection is reset, with no word.
	run func(w *gearmanWorker, l *link, j job) (result string, ok bool)

	mu      sync.Mutex
	link    *link
	stopped bool // it does not connect again until start is called
}

// serve connects and works until the connection ends.
func (w *gearmanWorker) serve() error {
	l, err := dialGearman(w.address)
	if err != nil {
		return err
	}
	defer l.Close()
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return errors.New("stopped")
	}
	w.link = l
	w.mu.Unlock()
	must(l.send(setClientID, w.id))
	for _, f := range w.functions {
		_ = l.send(canDo, f)
	}
	w.record.line("worker %s connected", w.id)
	for {
		if err := l.send(grabJobUniq); err != nil {
			return err
		}
		p, err := l.read()
		for err == nil && p.kind == noop {
			p, err = l.read()
		}
		switch {
		case err != nil:
			return err
		case p.kind == errorPacket:
			return fmt.Errorf("server reports %q", p.args)
		case p.kind == jobAssignUniq:
			j := job{p.args[0], p.args[1], p.args[2], p.args[3]}
			w.record.line("worker %s (pod %s) begins %s unique=%s", w.id, w.pod, j.function, j.unique)
			result, ok := w.run(w, l, j)
			if !ok {
				_ = l.Conn.(*net.TCPConn).SetLinger(0)
				return errors.New("vanished")
			}
			w.record.line("worker %s (pod %s) ends %s unique=%s", w.id, w.pod, j.function, j.unique)
			if err := l.send(workComplete, j.handle, result); err != nil {
				return err
			}
		case p.kind == noJob:
			if err := l.send(preSleep); err != nil {
				return err
			}
			if p, err = l.read(); err != nil {
				return err
			}
			if p.kind != noop {
				return fmt.Errorf("packet %d while asleep", p.kind)
			}
		}
	}
}

// start lets the worker connect, again whenever its connection ends, until stop.
func (w *gearmanWorker) start() {
	w.mu.Lock()
	w.stopped = false
	w.mu.Unlock()
	go func() {
		for {
			err := w.serve()
			w.mu.Lock()
			stopped := w.stopped
			w.mu.Unlock()
			w.record.line("worker %s disconnected: %v", w.id, err)
			if stopped {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

// stop ends the worker's process: its connection is closed by the system.
func (w *gearmanWorker) stop(reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.link != nil {
		if reset {
			_ = w.link.Conn.(*net.TCPConn).SetLinger(0)
		}
		w.link.Close()
	}
}

// gearmanConnections is the number of Gearman connections that the operator's file allows, as in deploy/operator.toml.
const gearmanConnections = 128

// operatorFile returns the operator's file for a Gearman front with these workers.
func operatorFile(listen string, workers []*gearmanWorker) string {
	text := fmt.Sprintf("[gearman]\nlisten = %q\nconnections = %d\n", listen, gearmanConnections)
	for _, class := range []string{"shop-view", "purchase"} {
		text += fmt.Sprintf("\n[[gearman.function]]\nname = %q\nclass = %q\npatience_ms = 5000\ntenant = \"cricket-league\"\n", class, class)
	}
	for _, w := range workers {
		text += fmt.Sprintf("\n[[gearman.worker]]\nid = %q\nzone = %q\npod = %q\nkind = %q\n", w.id, w.zone, w.pod, w.kind)
	}
	return text
}

// twelveWorkers returns the workers of a small deployment: 12 in three pods of four, two pods in one data centre.
func twelveWorkers(address string, rec *record) (workers []*gearmanWorker) {
	for i := range 12 {
		pod := i / 4
		workers = append(workers, &gearmanWorker{id: fmt.Sprintf("tool-%d", i), zone: []string{"colombo-1", "colombo-1", "kandy-1"}[pod],
			pod: []string{"a", "b", "c"}[pod], kind: []string{"fast-4", "slow-4"}[i%2], address: address, record: rec,
			functions: []string{"shop-view", "purchase"}})
	}
	return workers
}

// submit submits a job and waits for its final packet. It returns the final packet's type, or 0 with an error.
func (l *link) submit(function, unique, workload string, limit time.Duration) (kind int, data string, err error) {
	_ = l.SetDeadline(time.Now().Add(limit))
	if err := l.send(submitJob, function, unique, workload); err != nil {
		return 0, "", err
	}
	return l.awaitFinal()
}

func (l *link) awaitFinal() (kind int, data string, err error) {
	for {
		p, err := l.read()
		switch {
		case err != nil:
			return 0, data, err
		case p.kind == workData:
			data += p.args[1]
		case p.kind == workComplete:
			return p.kind, data + p.args[1], nil
		case p.kind == workFail || p.kind == errorPacket:
			return p.kind, data, nil
		}
	}
}
