package gearman

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"

	"cottonwell/balance"
	"cottonwell/internal/buffer"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
	"cottonwell/internal/net/pacer"
)

// Function maps a Gearman function to a class of the scheduler and sets its jobs' properties.
type Function struct {
	Name       string         `toml:"name"`
	Class      string         `toml:"class"`
	DeadlineMS float64        `toml:"patience_ms"` // the client's deadline for the whole job
	Slots      float64        `toml:"slots"`
	Tenant     string         `toml:"tenant"`
	Path       string         `toml:"path"` // at HTTP targets; "/" and the class by default
	Effect     balance.Effect `toml:"-"`    // of the class; if it is keyed, the key is the job's unique
}

// Worker is the placement of the worker that connects with this client ID.
type Worker struct {
	ID   string `toml:"id"`
	Zone string `toml:"zone"`
	Pod  string `toml:"pod"`
	Kind string `toml:"kind"`
}

// Config is the Gearman section of the operator's file.
type Config struct {
	Listen      string     `toml:"listen"`
	Connections int        `toml:"connections"`
	Functions   []Function `toml:"function"`
	Workers     []Worker   `toml:"worker"`
}

// SourceName is the name of this front as a source of targets at the core.
const SourceName = "gearman"

// Scheduler is the part of the core that this front uses.
type Scheduler interface {
	Accept(*core.Request) core.Ticket
	AttemptEnded(core.Outcome)
	ReceiveCallback(core.TargetCallback)
	UpdateTargets(from string, g core.TargetList)
	ProbeEnded(core.ProbeResult)
}

const (
	idleTimeoutMS   = 3_600_000.0 // long, since a sleeping worker sends nothing
	packetTimeoutMS = 2_400.0     // between a packet's first byte and its last
	writeTimeoutMS  = 5_000.0
	closeTimeoutMS  = 25.0    // for the other side to close a connection at the end of the program
	leftPollMS      = 25.0    // between two checks of a connection that is not read, whether its client left
	lingerTimeoutMS = 1_000.0 // for the other side to read the ERROR packet before the connection is closed
	version         = "cottonwell"
)

// Server is the Gearman front. It is both a front for clients and a target transport.
type Server struct {
	cfg       Config
	name      string // part of every handle and id; differs after each start
	core      Scheduler
	clock     clock.Clock
	log       *slog.Logger
	pool      *buffer.Pool
	sockets   *httpio.Budget
	memory    *memoryBudget
	rejecting atomic.Int64  // connections that are being told that there is no place
	wake      chan struct{} // wakes runRetries after a change of retries or successor

	// mu guards the fields below. It must not be held during a call of the core, whose
	// goroutine may be waiting for it.
	mu                sync.Mutex
	closing           bool // no further jobs are accepted
	refusesBackground bool // no further background jobs are accepted
	evicting          int  // connections that were evicted and are not closed yet
	conns             map[*conn]bool
	jobs              map[string]*job // by handle
	jobsByKey         map[jobKey]*job // jobs that others may join
	retries           retryQueue      // background jobs that wait for their next flow
	successor         string          // address of the process that takes over background jobs; empty if there is none
	workers           map[string]*worker
	lastID            uint64
}

// New returns a server for a configuration that LoadOperator of package config has checked.
// The name must differ from that of earlier starts, since it makes handles unique. memoryLimit is the number of bytes that
// packets and workloads on all connections may hold together.
func New(cfg Config, name string, scheduler Scheduler, clk clock.Clock, log *slog.Logger, pool *buffer.Pool, memoryLimit int) *Server {
	return &Server{cfg: cfg, name: idPart(name), core: scheduler, clock: clk, log: log.With("front", "gearman"), pool: pool,
		sockets: httpio.NewBudget(cfg.Connections), memory: newMemoryBudget(memoryLimit), conns: map[*conn]bool{}, jobs: map[string]*job{},
		jobsByKey: map[jobKey]*job{}, retries: newRetryQueue(name), workers: map[string]*worker{}, wake: make(chan struct{}, 1)}
}

// maxIDPartLen is the length in bytes up to which a scheduler's name is part of IDs unchanged.
const maxIDPartLen = 64

// idPart returns the part of all handles and IDs that stands for a scheduler's name. IDs are part of HTTP requests, so a
// name that is not an ID itself is replaced by its digest.
func idPart(name string) string {
	if len(name) <= maxIDPartLen && httpio.ValidID(name) {
		return name
	}
	digest := sha256.Sum256([]byte(name))
	return hex.EncodeToString(digest[:16])
}

// function returns the configured function of that name, or nil.
func (s *Server) function(name string) *Function {
	for i := range s.cfg.Functions {
		if s.cfg.Functions[i].Name == name {
			return &s.cfg.Functions[i]
		}
	}
	return nil
}

// Flushed reports whether all packets to all connections are written.
func (s *Server) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.outbox.written() {
			return false
		}
	}
	return true
}

// RefuseBackground rejects further background jobs, since the process may end before they are done.
func (s *Server) RefuseBackground() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusesBackground = true
}

// OpenJobs returns the number of jobs that have not ended.
func (s *Server) OpenJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.jobs)
}

// StartShutdown begins a graceful shutdown: the server rejects further jobs, finishes the accepted ones
// and keeps its workers connected.
func (s *Server) StartShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// writeOutbox writes the packets of the outbox until it is closed, a packet with closeAfter was written, or a write failed. A
// client that does not read is closed when a packet could not be written in writeTimeoutMS.
func (s *Server) writeOutbox(c *conn) {
	defer close(c.writerDone)
	defer c.outbox.close()
	for {
		packet, ok := c.outbox.take()
		if !ok {
			return
		}
		if c.SetWriteDeadline(s.clock.Deadline(writeTimeoutMS)) != nil {
			c.Close()
			return
		}
		if _, err := c.Write(packet.data); err != nil {
			c.Close()
			return
		}
		if packet.onWritten != nil {
			packet.onWritten()
		}
		if packet.closeAfter {
			return
		}
	}
}

// readPackets reads and handles packets and administrative lines until ctx ends. It returns
// the first error of the connection or the protocol.
func (s *Server) readPackets(ctx context.Context, c *conn) error {
	reader, pace := bufio.NewReaderSize(c, buffer.Size/2), pacer.New(s.clock)
	for ctx.Err() == nil {
		if err := s.waitForRoom(ctx, c); err != nil {
			return err
		}
		first, err := s.awaitPacket(ctx, c, reader)
		if err != nil {
			return err
		}
		if first != 0 { // a binary packet begins with NUL, an administrative line does not
			line, err := reader.ReadSlice('\n')
			if errors.Is(err, bufio.ErrBufferFull) {
				return protocolError("too_large line has no end")
			}
			if err != nil {
				return err
			}
			c.send(outgoing{data: []byte(s.adminResponse(strings.TrimSpace(string(line))))})
			pace.Pause(len(line), ctx.Done())
			continue
		}
		size, err := s.readAndHandlePacket(c, reader)
		if err != nil {
			return err
		}
		pace.Pause(size, ctx.Done())
	}
	return ctx.Err()
}

// readAndHandlePacket reads and handles one packet, and returns the length of its arguments. While it does, the packet counts
// against the memory of all packets.
func (s *Server) readAndHandlePacket(c *conn, reader io.Reader) (size int, err error) {
	defer c.outbox.releaseRead()
	p, err := ReadPacket(reader, c.outbox.chargeRead)
	if err != nil {
		return 0, err
	}
	if isForeground(p.Type) && httpio.PeerClosed(c.Conn) {
		return 0, errClientLeft
	}
	return p.size(), s.handlePacket(c, p)
}

// errClientLeft is the end of a connection whose client left before its job was read.
var errClientLeft = errors.New("the client left")

// waitForRoom waits until the connection may be read. As its end is not seen while it is not read, the system is asked for it.
func (s *Server) waitForRoom(ctx context.Context, c *conn) error {
	if c.outbox.hasRoom() {
		return nil
	}
	waiting, done := context.WithCancel(ctx)
	defer done()
	go s.closeIfClientLeaves(waiting, c)
	return c.outbox.waitForRoom()
}

// closeIfClientLeaves ends the use of a connection once its client has left, until ctx ends.
func (s *Server) closeIfClientLeaves(ctx context.Context, c *conn) {
	alarm := s.clock.NewAlarm()
	defer alarm.Stop()
	for !httpio.PeerClosed(c.Conn) {
		alarm.Set(s.clock.Now() + leftPollMS)
		select {
		case <-ctx.Done():
			return
		case <-alarm.C():
		}
	}
	c.outbox.close()
}

// handlePacket handles one packet. An error that it returns ends the connection.
func (s *Server) handlePacket(c *conn, p Packet) error {
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
		if strings.ContainsRune(p.Args[0], 0) { // the response has arguments behind the handle
			return errArguments
		}
		c.respond(StatusRes, s.statusArgs(p.Args[0])...)
	case SetClientID:
		return s.setClientID(c, p.Args[0])
	case CanDo, CanDoTimeout:
		return s.canDo(c, p.Args[0])
	case CantDo:
		s.cantDo(c, p.Args[0])
	case ResetAbilities:
		s.cantDo(c, "")
	case PreSleep:
		s.preSleep(c)
	case GrabJob:
		s.assignNext(c, JobAssign)
	case GrabJobUniq:
		s.assignNext(c, JobAssignUniq)
	case GrabJobAll:
		s.assignNext(c, JobAssignAll)
	case WorkStatus, WorkComplete, WorkFail, WorkData, WorkWarning, WorkException:
		s.handleWork(c, p)
	case AllYours: // a hint that this server ignores: it is meant for servers that keep workers waiting
	}
	return nil
}
