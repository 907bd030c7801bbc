package listener

import "cottonwell/internal/net/httpio"

// Reasons for closing a client's connection. The texts are labels in the log and the counters.
const (
	closedByClient     httpio.CloseReason = "closed by the client"
	closedIdle         httpio.CloseReason = "idle"
	closedExcessIdle   httpio.CloseReason = "too many idle"
	closedEvicted      httpio.CloseReason = "its place is needed"
	closedShutdown     httpio.CloseReason = "the program ends"
	closedOutOfService httpio.CloseReason = "out of service"
	closedNoSlot       httpio.CloseReason = "no place"
	closedUnreadable   httpio.CloseReason = "request cannot be read"
	closedOverflow     httpio.CloseReason = "more sent than may wait"
	closedTimeout      httpio.CloseReason = "no answer in time"
	closedWriteFailed  httpio.CloseReason = "answer not written"
	closedOnRequest    httpio.CloseReason = "asked for by the client"
)

// closeGently closes a connection from which nothing more is accepted.
func (l *Listener) closeGently(slot *connectionSlot, reason httpio.CloseReason) {
	slot.reason = reason
	if l.slots.close(slot) {
		httpio.CloseGently(slot.conn, l.Clock.Deadline(lingerTimeout))
	}
}

// idleCloseReason returns why a connection is closed between requests.
func (s *connectionSlots) idleCloseReason(slot *connectionSlot) httpio.CloseReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case slot.evicted:
		return closedEvicted
	case s.shuttingDown:
		return closedShutdown
	case s.outOfService:
		return closedOutOfService
	case slot.closeRequested:
		return closedExcessIdle
	}
	return closedIdle
}

// lastCloseReason returns why a connection is closed after the response to its request.
func (s *connectionSlots) lastCloseReason(slot *connectionSlot, requested, overflowed bool) httpio.CloseReason {
	switch {
	case overflowed:
		return closedOverflow
	case requested:
		return closedOnRequest
	}
	return s.idleCloseReason(slot)
}
