package gearman

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"

	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// This file retries the background jobs that were refused. Their clients were told that they are kept, and wait for nothing. A
// process that ends transfers them to its successor, as a client that submits them there.

const (
	transferTimeoutMS = 300.0 // for the connection to the successor, the packet and its response
	// transferRetryAfterMS is the pause after a transfer that failed, in milliseconds.
	transferRetryAfterMS = 50.0
)

// retryLater schedules the next flow of a background job that was refused. The caller must hold mu.
func (s *Server) retryLater(j *job, retryAfter float64) {
	j.started = false
	s.retries.add(s.clock.Now(), j, retryAfter, j.tries)
	if s.successor != "" {
		s.retries.makeAllDue(s.clock.Now())
	}
	s.wakeRetries()
}

// TransferBackground makes this server submit background jobs that wait for their next flow to another process of the
// scheduler, which listens at the given address, until it ends.
func (s *Server) TransferBackground(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successor = address
	s.retries.makeAllDue(s.clock.Now())
	s.wakeRetries()
}

func (s *Server) wakeRetries() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runRetries starts the next flow of each background job that is due, or transfers the job to the successor, until ctx ends.
func (s *Server) runRetries(ctx context.Context) {
	alarm := s.clock.NewAlarm()
	defer alarm.Stop()
	for {
		s.mu.Lock()
		due, successor := s.retries.takeDue(s.clock.Now()), s.successor
		s.mu.Unlock()
		for _, j := range due {
			if successor == "" {
				s.startFlow(j)
			} else {
				s.transferOrKeep(j, successor)
			}
		}
		s.mu.Lock()
		at, waiting := s.retries.next()
		s.mu.Unlock()
		if waiting {
			alarm.Set(at)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-alarm.C():
		}
	}
}

// transferOrKeep transfers a background job to the successor. A job that the successor did not take is tried again. So is one
// that it may have taken, unless that could run the job twice against the rules of its class.
func (s *Server) transferOrKeep(j *job, successor string) {
	err := s.transfer(j, successor)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.removeJob(j)
		return
	}
	if errors.Is(err, errTransferUnconfirmed) && j.function.Effect == balance.Unsafe && !j.key.joinable() {
		s.log.Error("background job may not have been taken by the successor", "handle", j.handle, "cause", err)
		s.removeJob(j)
		return
	}
	s.log.Warn("background job not taken by the successor yet", "handle", j.handle, "cause", err)
	s.retries.insert(retryEntry{j, s.clock.Now() + transferRetryAfterMS})
}

// errTransferUnconfirmed means that a job was sent to the successor, which did not respond.
var errTransferUnconfirmed = errors.New("no response")

// transfer submits a background job at an address, and returns nil once it is taken there.
func (s *Server) transfer(j *job, address string) error {
	conn, err := net.DialTimeout("tcp", address, clock.Duration(transferTimeoutMS))
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(s.clock.Deadline(transferTimeoutMS)); err != nil {
		return err
	}
	workload := string(bytes.Join(j.workload.Slices(), nil))
	if _, err := conn.Write(Request(backgroundType(j.priority), j.key.function, j.key.unique, workload)); err != nil {
		return err
	}
	return readJobCreated(conn)
}

// readJobCreated reads a response packet, and returns an error if it is not JOB_CREATED.
func readJobCreated(r io.Reader) error {
	var header [headerLen]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return fmt.Errorf("%w: %w", errTransferUnconfirmed, err)
	}
	kind, size := Type(binary.BigEndian.Uint32(header[4:])), binary.BigEndian.Uint32(header[8:])
	if string(header[:4]) != responseMagic {
		return errMagic
	}
	if kind == JobCreated {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(r, int64(min(size, maxDataLen))))
	return fmt.Errorf("response %d %q", kind, text)
}
