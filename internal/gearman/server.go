package gearman

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"

	"cottonwell/internal/buffer"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

// Function says what jobs of a Gearman function are to the scheduler.
type Function struct {
	Name     string  `toml:"name"`
	Class    string  `toml:"class"`
	Patience float64 `toml:"patience_ms"` // the deadline: how long a job may take in all
	Slots    float64 `toml:"slots"`
	Tenant   string  `toml:"tenant"`
	Path     string  `toml:"path"` // at HTTP targets; by default the class
	Keyed    bool    `toml:"-"`    // the class's key is the job's unique
}

// Worker says where a worker stands that names itself so.
type Worker struct {
	ID   string `toml:"id"`
	Zone string `toml:"zone"`
	Pod  string `toml:"pod"`
	Kind string `toml:"kind"`
}

// Config is the Gearman part of the operator's file.
type Config struct {
	Listen      string     `toml:"listen"`
	Connections int        `toml:"connections"`
	Functions   []Function `toml:"function"`
	Workers     []Worker   `toml:"worker"`
}

// Source is the name under which the core knows this front's targets.
const Source = "gearman"

// Scheduler is what the front needs of the core.
type Scheduler interface {
	TakeIn(*core.Request) core.Ticket
	Ended(core.Outcome)
	News(core.TargetNews)
	List(from string, g core.Group)
	ProbeEnded(core.ProbeResult)
}

const (
	idleFor   = 3_600_000.0 // milliseconds: a sleeping worker may stay silent for long
	packetIn  = 10_000.0    // from a packet's first byte to its last
	writeFor  = 5_000.0
	lingerFor = 1_000.0 // for the other side to read why its packet is no packet
	outbox    = 512     // packets that a connection may be behind
	version   = "cottonwell"
)

// Server is the Gearman front. It is a listener and a target transport at once.
type Server struct {
	cfg     Config
	name    string // part of every handle and id, new with each start
	core    Scheduler
	clock   clock.Clock
	log     *slog.Logger
	pool    *buffer.Pool
	sockets *httpio.Budget

	// mu guards what follows. It is never held while the core is called: the core's
	// goroutine may be waiting for it.
	mu      sync.Mutex
	closing bool // no job is taken any more
	conns   map[*conn]bool
	jobs    map[string]*job // by handle
	joined  map[string]*job // by function and unique
	workers map[string]*worker
	last    uint64
}

// New returns a server for a checked configuration.
func New(cfg Config, name string, sched Scheduler, clk clock.Clock, log *slog.Logger, pool *buffer.Pool) *Server {
	return &Server{cfg: cfg, name: name, core: sched, clock: clk, log: log.With("front", "gearman"), pool: pool,
		sockets: httpio.NewBudget(cfg.Connections), conns: map[*conn]bool{}, jobs: map[string]*job{},
		joined: map[string]*job{}, workers: map[string]*worker{}}
}

func (s *Server) function(name string) *Function {
	for i := range s.cfg.Functions {
		if s.cfg.Functions[i].Name == name {
			return &s.cfg.Functions[i]
		}
	}
	return nil
}

// conn is one connection, of a client, a worker, or both.
type conn struct {
	net.Conn
	out        chan outgoing
	gone       chan struct{} // closed once nothing more is written
	exceptions bool          // the client asked for WORK_EXCEPTION
	worker     *worker
}

// outgoing is a packet on its way; written, if there, is called once its last byte is out.
type outgoing struct {
	data    []byte
	written func()
	last    bool // close the connection behind it
}

// send puts a packet in the outbox. One that is so far behind is cut off: the core's
// goroutine waits for nobody.
func (c *conn) send(o outgoing) {
	select {
	case c.out <- o:
	default:
		c.Close()
	}
}

func (c *conn) respond(t Type, args ...string) { c.send(outgoing{data: Response(t, args...)}) }

// Serve accepts connections until ctx ends, then closes them.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	var all sync.WaitGroup
	defer all.Wait()
	defer context.AfterFunc(ctx, func() {
		ln.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.Close()
		}
	})()
	for {
		if !s.sockets.Take(ctx.Done()) {
			return nil
		}
		nc, err := ln.Accept()
		if err != nil {
			s.sockets.Give()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("gearman: accept: %w", err)
		}
		all.Go(func() {
			defer s.sockets.Give()
			s.serve(ctx, nc)
		})
	}
}

// serve reads the packets of one connection. Whatever is wrong with one of them ends
// this connection and nothing else.
func (s *Server) serve(ctx context.Context, nc net.Conn) {
	c := &conn{Conn: nc, out: make(chan outgoing, outbox), gone: make(chan struct{})}
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	stop := make(chan struct{})
	go s.write(c, stop)
	err := s.read(ctx, c)
	var fault protocolError
	if errors.As(err, &fault) {
		code, text, _ := strings.Cut(string(fault), " ")
		s.log.Warn("bad packet", "peer", nc.RemoteAddr(), "cause", err)
		c.send(outgoing{data: Response(Error, code, text), last: true})
		<-c.gone
		httpio.CloseGently(nc, s.clock.Deadline(lingerFor))
	} else {
		close(stop)
		<-c.gone
	}
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.workerGone(c)
	s.clientGone(c)
}

// Wind ends the taking of jobs; those that were taken go on, and workers stay.
func (s *Server) Wind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// write writes the outbox until stop, a last packet, or a failure.
func (s *Server) write(c *conn, stop <-chan struct{}) {
	defer close(c.gone)
	for {
		var o outgoing
		select {
		case o = <-c.out:
		case <-stop:
			return
		}
		if c.SetWriteDeadline(s.clock.Deadline(writeFor)) != nil {
			c.Close()
			return
		}
		if _, err := c.Write(o.data); err != nil {
			c.Close()
			return
		}
		if o.written != nil {
			o.written()
		}
		if o.last {
			return
		}
	}
}

func (s *Server) read(ctx context.Context, c *conn) error {
	br := bufio.NewReaderSize(c, buffer.Size/2)
	for ctx.Err() == nil {
		if err := c.SetReadDeadline(s.clock.Deadline(idleFor)); err != nil {
			return err
		}
		first, err := br.Peek(1)
		if err != nil {
			return err
		}
		if err := c.SetReadDeadline(s.clock.Deadline(packetIn)); err != nil {
			return err
		}
		if first[0] != 0 { // the binary protocol begins with NUL, text does not
			line, err := br.ReadSlice('\n')
			if errors.Is(err, bufio.ErrBufferFull) {
				return protocolError("too_large line has no end")
			}
			if err != nil {
				return err
			}
			c.send(outgoing{data: []byte(s.admin(strings.TrimSpace(string(line))))})
			continue
		}
		p, err := ReadPacket(br)
		if err != nil {
			return err
		}
		if err := s.take(c, p); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// take does what a packet asks for.
func (s *Server) take(c *conn, p Packet) error {
	switch p.Type {
	case EchoReq:
		c.respond(EchoRes, p.Args[0])
	case OptionReq:
		if p.Args[0] != "exceptions" {
			c.respond(Error, "unknown_option", "only exceptions is known")
			return nil
		}
		s.mu.Lock()
		c.exceptions = true
		s.mu.Unlock()
		c.respond(OptionRes, p.Args[0])
	case SubmitJob, SubmitJobHigh, SubmitJobLow, SubmitJobBG, SubmitJobHighBG, SubmitJobLowBG:
		return s.submit(c, p)
	case GetStatus:
		c.respond(StatusRes, s.status(p.Args[0])...)
	case SetClientID:
		return s.identify(c, p.Args[0])
	case CanDo, CanDoTimeout:
		return s.canDo(c, p.Args[0])
	case CantDo:
		s.cantDo(c, p.Args[0])
	case ResetAbilities:
		s.cantDo(c, "")
	case PreSleep:
		s.sleep(c)
	case GrabJob:
		s.grab(c, JobAssign)
	case GrabJobUniq:
		s.grab(c, JobAssignUniq)
	case GrabJobAll:
		s.grab(c, JobAssignAll)
	case WorkStatus, WorkComplete, WorkFail, WorkData, WorkWarning, WorkException:
		s.work(c, p)
	case AllYours: // a hint for servers that keep their workers waiting
	}
	return nil
}
