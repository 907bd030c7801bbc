package main

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"cottonwell/internal/net/processlock"
	"cottonwell/internal/net/reuseport"
)

// This file decides which process of a scheduler accepts Gearman connections. A connection that reached a new process while all
// workers are still connected to the old one would find no worker. So the new process begins to accept when the old one requests
// it, at SIGTERM, or has ended.

// Times in milliseconds.
const (
	gearmanPollInterval  = 20.0  // between two tries to listen
	gearmanFlushTimeout  = 200.0 // for the last packets to be written
	gearmanFlushInterval = 2.0   // between two checks of it
)

// gearmanFront is this process's listener for Gearman.
type gearmanFront struct {
	scheduler *scheduler
	address   string
	shared    bool // another process of this scheduler may listen, too
	requested chan struct{}
	request   sync.Once

	mu         sync.Mutex
	listener   net.Listener      // nil before open
	lock       *processlock.Lock // nil unless this process has it
	handedOver bool              // this process accepts no connections any more
}

func newGearmanFront(s *scheduler, address string, shared bool) *gearmanFront {
	return &gearmanFront{scheduler: s, address: address, shared: shared, requested: make(chan struct{})}
}

// open listens if no other process accepts Gearman connections, or if it has requested this one to. It reports whether this
// process listens.
func (g *gearmanFront) open() (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil || g.handedOver {
		return g.listener != nil && !g.handedOver, nil
	}
	if !g.shared {
		listener, err := net.Listen("tcp", g.address)
		g.listener = listener
		return err == nil, err
	}
	lock, err := processlock.TryAcquire(g.lockName())
	if err != nil && (!errors.Is(err, processlock.ErrHeld) || !g.wasRequested()) {
		return false, err
	}
	listener, err := reuseport.Listen(g.address)
	if err != nil {
		if lock != nil {
			lock.Release()
		}
		return false, err
	}
	g.listener, g.lock = listener, lock
	return true, nil
}

func (g *gearmanFront) wasRequested() bool {
	select {
	case <-g.requested:
		return true
	default:
		return false
	}
}

// takeOver makes this process listen at the request of another one, and reports whether it does.
func (g *gearmanFront) takeOver() bool {
	g.request.Do(func() { close(g.requested) })
	opened, err := g.open()
	if err != nil {
		g.scheduler.log.Warn("cannot take the Gearman address over", "cause", err)
	}
	return opened
}

// mayFreeUp reports whether an error of open ends when another process ends. A version without the lock listens alone.
func mayFreeUp(err error) bool {
	return errors.Is(err, processlock.ErrHeld) || errors.Is(err, syscall.EADDRINUSE)
}

// run serves Gearman connections until ctx ends, as soon as this process listens.
func (g *gearmanFront) run(ctx context.Context) {
	s := g.scheduler
	for {
		opened, err := g.open()
		if opened {
			break
		}
		if ctx.Err() != nil || err == nil { // handed over before it was opened
			return
		}
		if !mayFreeUp(err) {
			s.log.Error("Gearman front failed", "cause", err)
			return
		}
		s.sleepUntilDone(ctx, gearmanPollInterval)
	}
	g.mu.Lock()
	listener := g.listener
	g.mu.Unlock()
	s.log.Info("accepting Gearman connections", "listen", listener.Addr())
	keepLock, stopKeeping := context.WithCancel(ctx)
	defer stopKeeping()
	go g.acquireLock(keepLock)
	if err := s.gearman.Serve(ctx, listener); err != nil {
		s.log.Error("Gearman front failed", "cause", err)
	}
}

// acquireLock takes the lock of the process that listened before, once that has released it.
func (g *gearmanFront) acquireLock(ctx context.Context) {
	for g.shared && ctx.Err() == nil && !g.tryLock() {
		g.scheduler.sleepUntilDone(ctx, gearmanPollInterval)
	}
}

// tryLock takes the lock, and reports whether nothing is left to do.
func (g *gearmanFront) tryLock() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lock != nil || g.handedOver {
		return true
	}
	lock, err := processlock.TryAcquire(g.lockName())
	if err != nil {
		return false
	}
	g.lock = lock
	return true
}

func (g *gearmanFront) lockName() string { return "cottonwell-gearman-" + g.address }

// handOver stops accepting connections once a successor accepts them, or at once if it cannot be reached. The lock is released
// in any case.
func (g *gearmanFront) handOver() {
	s := g.scheduler
	if !s.handover.TakeOverGearman() {
		s.log.Warn("the successor did not take the Gearman address over yet")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handedOver = true
	if g.listener != nil {
		if err := reuseport.Stop(g.listener); err != nil {
			s.log.Warn("cannot stop accepting Gearman connections", "cause", err)
		}
	}
	if g.lock != nil {
		g.lock.Release()
	}
}

// flush waits until all packets to Gearman connections are written, for a limited time.
func (g *gearmanFront) flush(ctx context.Context) {
	s := g.scheduler
	for end := s.clock.Now() + gearmanFlushTimeout; !s.gearman.Flushed() && s.clock.Now() < end; {
		s.sleepUntilDone(ctx, gearmanFlushInterval)
	}
}
