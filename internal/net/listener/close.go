package listener

import "cottonwell/internal/net/httpio"

// Why a client's connection was closed.
const (
	closedByClient  httpio.CloseReason = "closed by the client"
	closedIdle      httpio.CloseReason = "idle"
	closedSpared    httpio.CloseReason = "too many idle"
	closedPlace     httpio.CloseReason = "its place is needed"
	closedEnding    httpio.CloseReason = "the program ends"
	closedAway      httpio.CloseReason = "out of service"
	closedNoPlace   httpio.CloseReason = "no place"
	closedBad       httpio.CloseReason = "request cannot be read"
	closedFlood     httpio.CloseReason = "more sent than may wait"
	closedLate      httpio.CloseReason = "no answer in time"
	closedUnwritten httpio.CloseReason = "answer not written"
	closedAsked     httpio.CloseReason = "asked for by the client"
)

// part closes a connection of which nothing more is taken.
func (l *Listener) part(x *connectionSlot, reason httpio.CloseReason) {
	x.reason = reason
	if l.slots.close(x) {
		httpio.CloseGently(x.conn, l.Clock.Deadline(lingerFor))
	}
}

// whyEnded says why a connection is closed between requests.
func (s *connectionSlots) whyEnded(x *connectionSlot) httpio.CloseReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case x.taken:
		return closedPlace
	case s.ending:
		return closedEnding
	case s.away:
		return closedAway
	case x.ended:
		return closedSpared
	}
	return closedIdle
}

// whyLast says why a connection is closed once its request is answered.
func (s *connectionSlots) whyLast(x *connectionSlot, asked, flooded bool) httpio.CloseReason {
	switch {
	case flooded:
		return closedFlood
	case asked:
		return closedAsked
	}
	return s.whyEnded(x)
}
