package main

import (
	"context"
	"net"

	"cottonwell/internal/net/reuseport"
)

// shutDown does the graceful shutdown after SIGTERM. It returns once each accepted request has its response, or shortly before
// the platform may kill the process.
func (s *scheduler) shutDown(ctx context.Context, clients net.Listener) {
	startedAt := s.clock.Now() // the platform's time starts here, however long the query for a successor takes
	hasSuccessor := clients != nil && s.handover != nil && s.handover.OtherReady()
	s.log.Info("winding down", "successor", hasSuccessor)
	if hasSuccessor {
		if err := reuseport.Stop(clients); err != nil {
			s.log.Warn("cannot stop accepting clients", "cause", err)
		}
	}
	if hasSuccessor && s.gearmanFront != nil {
		s.gearmanFront.handOver()
	}
	if !hasSuccessor && s.gearman != nil {
		s.gearman.RefuseBackground()
	}
	s.listener.SetReady(false)
	if s.duties != nil {
		s.duties.Resign(ctx) // other schedulers take the duties over while this one still serves
		if hasSuccessor || !s.duties.Running() {
			s.fleetRole.stepDown() // another process votes from now on
		}
	}
	// Without a successor, clients have no other scheduler and use their connections for as long as these are open. They are
	// served for as long as the platform allows.
	if !hasSuccessor {
		s.sleep(startedAt + max(minGracePeriod, s.killDelay-closeLead) - s.clock.Now())
	}
	s.listener.StartShutdown()
	if s.gearman != nil {
		s.gearman.StartShutdown() // otherwise clients that keep their connections would delay the exit
		if hasSuccessor {
			s.gearman.TransferBackground(s.gearmanFront.address)
		}
	}
	finishAlarm, exitAlarm, pollAlarm := s.clock.NewAlarm(), s.clock.NewAlarm(), s.clock.NewAlarm()
	defer pollAlarm.Stop()
	defer finishAlarm.Stop()
	defer exitAlarm.Stop()
	finishAlarm.Set(startedAt + max(minGracePeriod, s.killDelay-finishLead))
	exitAlarm.Set(startedAt + max(minGracePeriod, s.killDelay-exitLead))
	idleClosed := false
	for idle := s.core.Idle(); ; {
		select {
		case <-exitAlarm.C():
			s.log.Warn("exiting with open connections", "busy", s.listener.Busy(), "gearman_jobs", s.openGearmanJobs())
			return
		case <-finishAlarm.C():
			s.core.EndOpenFlows() // a request without a response at SIGKILL is lost
			s.listener.FinishShutdown()
			idleClosed = true
		case <-pollAlarm.C():
			idle = s.core.Idle()
		case <-idle:
			if s.listener.Busy() == 0 && s.openGearmanJobs() == 0 {
				if idleClosed {
					s.flushGearman(ctx)
					return
				}
				// A connection without a request so far may have its first one on the way; the next poll finds it.
				s.listener.FinishShutdown()
				idleClosed = true
			}
			idle = nil                        // until the next poll; meanwhile the other alarms are still handled
			pollAlarm.Set(s.clock.Now() + 20) // milliseconds
		}
	}
}

// openGearmanJobs returns the number of Gearman jobs that have not ended. Background jobs among them may wait for their next
// flow, so that the core is idle.
func (s *scheduler) openGearmanJobs() int {
	if s.gearman == nil {
		return 0
	}
	return s.gearman.OpenJobs()
}

// flushGearman waits until the final packets of all Gearman jobs are written, for a limited time.
func (s *scheduler) flushGearman(ctx context.Context) {
	if s.gearmanFront != nil {
		s.gearmanFront.flush(ctx)
	}
}
