package target

import "cottonwell/internal/net/httpio"

// Why a connection to a target was closed.
const (
	closedIdle      httpio.CloseReason = "idle"
	closedStale     httpio.CloseReason = "closed or written to by the target while idle"
	closedGone      httpio.CloseReason = "target gone or restarted"
	closedPlace     httpio.CloseReason = "its socket is needed"
	closedLast      httpio.CloseReason = "target closes"
	closedAhead     httpio.CloseReason = "more than one answer"
	closedBroken    httpio.CloseReason = "broken"
	closedSpoilt    httpio.CloseReason = "spoilt answer"
	closedSilent    httpio.CloseReason = "no answer in time"
	closedGivenUp   httpio.CloseReason = "attempt given up"
	closedUnwritten httpio.CloseReason = "request not written whole"
	closedBody      httpio.CloseReason = "rest of the answer did not come"
)

// discard closes a connection and gives its socket back.
func (t *Transport) discard(c *httpio.Conn, reason httpio.CloseReason) {
	t.Counts.Closes.Note(reason)
	t.Log.Debug("connection closed", "target", c.RemoteAddr(), "reason", reason)
	c.Close()
	t.Sockets.Give()
}

// whyBroken is the reason to close a connection on which an answer was awaited and an error came.
func whyBroken(err error) httpio.CloseReason {
	if httpio.TimedOut(err) {
		return closedSilent
	}
	return closedBroken
}
