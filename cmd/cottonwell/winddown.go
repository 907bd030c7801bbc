package main

import (
	"context"
	"net"

	"cottonwell/internal/net/shared"
)

// windDown ends the scheduler's work once it was told to end: it returns when all that it took is answered, or just before
// the platform would kill it.
func (s *scheduler) windDown(ctx context.Context, clients net.Listener) {
	begin := s.clock.Now() // the platform's time runs from here, however long the successor is asked for
	succeeded := clients != nil && s.handover != nil && s.handover.OtherReady()
	s.log.Info("winding down", "successor", succeeded)
	if succeeded {
		if err := shared.Stop(clients); err != nil {
			s.log.Warn("cannot stop listening", "cause", err)
		}
	}
	s.listener.SetReady(false)
	if s.duties != nil {
		s.duties.Resign(ctx) // others have them while this one still serves
	}
	// Clients use the connections that they have for as long as these stay open, and have no
	// other scheduler, so they are served for as long as the platform allows.
	if !succeeded {
		s.sleep(begin + max(graceFor, s.killAt-windFor) - s.clock.Now())
	}
	s.listener.Wind()
	if s.gearman != nil {
		s.gearman.Wind() // or clients that stay on their connections would keep the program from its end
	}
	last, end, again := s.clock.NewAlarm(), s.clock.NewAlarm(), s.clock.NewAlarm()
	defer again.Stop()
	defer last.Stop()
	defer end.Stop()
	last.Set(begin + max(graceFor, s.killAt-lastFor))
	end.Set(begin + max(graceFor, s.killAt-endFor))
	shut := false
	for idle := s.core.Idle(); ; {
		select {
		case <-end.C():
			s.log.Warn("ending with connections open", "busy", s.listener.Busy())
			return
		case <-last.C():
			s.core.Finish() // what SIGKILL finds unanswered is lost
			s.listener.Shut()
			shut = true
		case <-again.C():
			idle = s.core.Idle()
		case <-idle:
			if s.listener.Busy() == 0 {
				if shut {
					return
				}
				// What waits for a first request may have it on the way; the next round sees whether.
				s.listener.Shut()
				shut = true
			}
			idle = nil // until the next round; the end is not kept waiting for it
			again.Set(s.clock.Now() + 20)
		}
	}
}
