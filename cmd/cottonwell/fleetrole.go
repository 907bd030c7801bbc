package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync"

	"cottonwell/internal/net/handover"
	"cottonwell/internal/net/processlock"
)

// This file decides which process of a scheduler acts for it in the fleet: votes, claims duties, and adopts agreed rules.
// Votes and promises are given by a scheduler, and two processes cannot give them independently of one another.

// fleetRolePollInterval is the time between two tries of a process to become the active one, in milliseconds.
const fleetRolePollInterval = 50.0

// newRunID returns a random number for a run of the fleet's machine. Two processes may have the same configuration, seed
// included, and their messages must still differ.
func newRunID() uint32 {
	var raw [4]byte
	_, _ = rand.Read(raw[:]) // never fails
	return binary.LittleEndian.Uint32(raw[:])
}

// fleetRole is this process's part in the fleet. The lock names the address of datagrams, which only processes of one
// scheduler share.
type fleetRole struct {
	scheduler *scheduler
	lockName  string

	mu      sync.Mutex
	stepped bool               // it has stepped down for good
	stop    context.CancelFunc // ends the machine; nil while it does not run
	stopped chan struct{}      // closed when run returns
}

func newFleetRole(s *scheduler, peerListen string) *fleetRole {
	return &fleetRole{scheduler: s, lockName: "cottonwell-fleet-" + peerListen, stopped: make(chan struct{})}
}

// run waits until no other process of this scheduler can be active, and then runs the fleet's machine until ctx ends or
// stepDown is called. The machine is silent as a voter for as long as what the last active process granted may be valid.
func (r *fleetRole) run(ctx context.Context) {
	defer close(r.stopped)
	s := r.scheduler
	s.duties.ApplyStrictRules()
	lock := r.waitForLock(ctx)
	if lock == nil {
		return
	}
	defer lock.Release()
	machineCtx, stop := context.WithCancel(ctx)
	defer stop()
	r.mu.Lock()
	stepped := r.stepped
	r.stop = stop
	r.mu.Unlock()
	if !stepped {
		s.log.Info("acting for this scheduler in the fleet")
		s.duties.Run(machineCtx)
		s.duties.ApplyStrictRules()
	}
}

// waitForLock returns the lock once this process has it and each other process is passive or has ended, or nil if ctx ended
// or this process stepped down before.
func (r *fleetRole) waitForLock(ctx context.Context) *processlock.Lock {
	s := r.scheduler
	for ctx.Err() == nil && !r.hasStepped() {
		lock, err := processlock.TryAcquire(r.lockName)
		switch {
		case err == nil && (s.handover == nil || s.handover.OthersPassive()):
			return lock
		case err == nil: // the other process is of a version without the lock, or does not respond
			lock.Release()
		case !errors.Is(err, processlock.ErrHeld):
			s.log.Error("no part in the fleet", "cause", err)
			return nil
		}
		s.sleepUntilDone(ctx, fleetRolePollInterval)
	}
	return nil
}

func (r *fleetRole) hasStepped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stepped
}

// stepDown ends this process's part in the fleet for good, so that another process can take it over. It returns once nothing
// is held, voted or claimed here any more.
func (r *fleetRole) stepDown() {
	r.mu.Lock()
	r.stepped = true
	stop := r.stop
	r.mu.Unlock()
	if stop != nil {
		stop()
	}
	<-r.stopped
}

// sleepUntilDone waits for a time in milliseconds, or until ctx ends.
func (s *scheduler) sleepUntilDone(ctx context.Context, ms float64) {
	alarm := s.clock.NewAlarm()
	defer alarm.Stop()
	alarm.Set(s.clock.Now() + ms)
	select {
	case <-alarm.C():
	case <-ctx.Done():
	}
}

// receiveFleetDatagram passes a datagram to the fleet's machine. If another process runs it, the datagram is forwarded
// there: the kernel delivers it to either process.
func (s *scheduler) receiveFleetDatagram(sender int, raw string) {
	if !s.duties.Receive(sender, raw) && s.handover != nil {
		s.handover.ForwardDatagram(handover.Datagram{Sender: sender, Raw: []byte(raw)})
	}
}
