package target

import "cottonwell/internal/net/httpio"

// Reasons for closing a connection to a target. The texts are labels in the log and the counters.
const (
	closedIdle           httpio.CloseReason = "idle"
	closedStale          httpio.CloseReason = "closed or written to by the target while idle"
	closedTargetReplaced httpio.CloseReason = "target gone or restarted"
	closedEvicted        httpio.CloseReason = "its socket is needed"
	closedByTarget       httpio.CloseReason = "target closes"
	closedExtraData      httpio.CloseReason = "more than one answer"
	closedBroken         httpio.CloseReason = "broken"
	closedMalformed      httpio.CloseReason = "spoilt answer"
	closedTimeout        httpio.CloseReason = "no answer in time"
	closedCancelled      httpio.CloseReason = "attempt given up"
	closedWriteFailed    httpio.CloseReason = "request not written whole"
	closedBodyIncomplete httpio.CloseReason = "rest of the answer did not come"
)

// discard closes a connection and returns its socket to the budget.
func (t *Transport) discard(c *httpio.Conn, reason httpio.CloseReason) {
	t.Counts.Closes.Add(reason)
	t.Log.Debug("connection closed", "target", c.RemoteAddr(), "reason", reason)
	c.Close()
	t.Sockets.Release()
}

// closeReasonFor returns the reason to close a connection on which waiting for a response ended in err.
func closeReasonFor(err error) httpio.CloseReason {
	if httpio.TimedOut(err) {
		return closedTimeout
	}
	return closedBroken
}
