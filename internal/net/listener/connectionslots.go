package listener

import (
	"sync"

	"cottonwell/internal/clock"
	"cottonwell/internal/net/httpio"
)

// slotState is the state of a connection.
type slotState int

const (
	awaitingFirst slotState = iota // no byte is received yet
	reading                        // a request is being received
	serving                        // a request is received and has no response yet
	idle                           // between requests
	closing                        // nothing more is accepted from it, and it is about to close
)

// connectionSlot is a connection's slot in the listener's socket budget.
type connectionSlot struct {
	conn           *httpio.Conn
	state          slotState
	stateSince     float64 // start of the state, in ms; until the first request is received, start of the connection
	hadJob         bool    // it has carried a job
	evicted        bool    // its slot now belongs to another connection
	closeRequested bool    // it was idle too long, or the process is shutting down
	// reason is why the connection closes. Only the connection's own goroutine writes it.
	reason httpio.CloseReason
}

// connectionSlots manages the connections of a listener. When all slots are taken, a new connection gets the slot
// of an inactive one rather than wait: callbacks arrive at the same address, and without them no job ends.
//
// Only a connection's own goroutine closes it, except at the very end. Other goroutines mark the slot and wake the
// reader, which first checks whether a request has arrived. If they closed the connection themselves, a request that
// is just being read would be accepted and get no response.
type connectionSlots struct {
	clock   clock.Clock
	budget  *httpio.Budget
	counts  *Counts
	maxIdle int // connections that may be idle between jobs

	mu              sync.Mutex
	shuttingDown    bool // set by drain
	outOfService    bool // set by setOutOfService
	noFirstRequests bool // connections may no longer wait for a first request
	open            map[*connectionSlot]bool
	evicting        int // slots that were evicted and whose connections are not closed yet
}

// acquire takes a slot for a connection, if necessary that of the connection with the lowest eviction rank.
func (s *connectionSlots) acquire(c *httpio.Conn) (*connectionSlot, bool) {
	if !s.budget.TryAcquire() && !s.evict() {
		return nil, false
	}
	slot := &connectionSlot{conn: c, stateSince: s.clock.Now(), reason: closedByClient}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[slot] = true
	return slot, true
}

// release closes a connection and returns its slot to the budget, unless the slot was evicted.
func (s *connectionSlots) release(slot *connectionSlot) {
	s.mu.Lock()
	delete(s.open, slot)
	evicted := slot.evicted
	if evicted {
		s.evicting--
	}
	s.mu.Unlock()
	if evicted && slot.reason == closedByClient { // evict closed it in this process
		slot.reason = closedEvicted
	}
	s.counts.Closes.Add(slot.reason)
	slot.conn.Close()
	if !evicted {
		s.budget.Release()
	}
}

// setState sets the state of a slot and the time in milliseconds in which the next bytes must arrive. It returns
// false if the connection has to close: its slot was evicted, or it becomes idle or waits for a first request when
// that is no longer allowed.
func (s *connectionSlots) setState(slot *connectionSlot, state slotState, job bool, timeout float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state != reading || slot.hadJob {
		slot.stateSince = s.clock.Now()
	}
	slot.state = state
	slot.hadJob = slot.hadJob || job
	if state == idle && slot.hadJob {
		s.limitIdle()
	}
	// The deadline is set under the lock, or it could undo a Wake.
	return !slot.evicted && !(state == idle && (s.closesIdle() || slot.closeRequested)) && !(state == awaitingFirst && s.noFirstRequests) &&
		slot.conn.SetReadDeadline(s.clock.Deadline(timeout)) == nil
}

// close records that nothing more is accepted from a connection, and reports whether it may be closed gently. An
// evicted connection exceeds the socket budget until it is closed, and at most maxOverBudget of them may.
func (s *connectionSlots) close(slot *connectionSlot) (gently bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot.state = closing
	return !slot.evicted || s.evicting <= maxOverBudget
}

// requestClose makes the goroutine of the connection close it, unless a request has arrived by then.
func (x *connectionSlot) requestClose() {
	x.closeRequested = true
	x.conn.Wake()
}

// limitIdle requests the close of the connection that has been idle longest between jobs, if there are more than
// maxIdle. A client may hold a limited number of connections, and some clients never reuse theirs. Left open,
// those leave none for the requests that wait at the client. A close that crosses a request costs the client a new
// connection.
func (s *connectionSlots) limitIdle() {
	n := 0
	var oldest *connectionSlot
	for slot := range s.open {
		if slot.state == idle && slot.hadJob && !slot.evicted && !slot.closeRequested {
			if n++; oldest == nil || slot.stateSince < oldest.stateSince {
				oldest = slot
			}
		}
	}
	if n > s.maxIdle {
		oldest.requestClose()
		s.counts.ClosedExcessIdle.Add(1)
	}
}

// evictionRank returns in which order slots may be evicted, the lowest first; 0 means never. Rank 1 is a
// connection that got its responses and never carried a job: its client loses nothing. Rank 2 has not sent a whole
// request yet, although clients send at once after connecting. Rank 3 is idle between jobs: its client may keep
// the connection, so it goes last.
func (x *connectionSlot) evictionRank() int {
	switch {
	case (x.state == idle || x.state == closing) && !x.hadJob:
		return 1
	case !x.hadJob && (x.state == awaitingFirst || x.state == reading):
		return 2
	case x.state == idle:
		return 3
	}
	return 0
}

// evict ends the connection with the lowest rank, among equals the one longest in its state, and leaves its place
// in the budget to the caller.
func (s *connectionSlots) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidate *connectionSlot
	for slot := range s.open {
		if rank := slot.evictionRank(); rank > 0 && !slot.evicted && !slot.closeRequested &&
			(candidate == nil || rank < candidate.evictionRank() || rank == candidate.evictionRank() && slot.stateSince < candidate.stateSince) {
			candidate = slot
		}
	}
	if candidate == nil {
		return false
	}
	candidate.evicted = true
	s.evicting++
	s.counts.Evicted.Add(1)
	if s.evicting > 2*maxOverBudget {
		candidate.conn.Close() // too many close slowly, and the limit on file descriptors takes precedence
		return true
	}
	candidate.conn.Wake()
	return true
}

// busy returns the number of connections on which a request is read or served, or that are closing. Once first
// requests are no longer awaited, it includes those that still wait for one.
func (s *connectionSlots) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for slot := range s.open {
		if slot.state == reading || slot.state == serving || slot.state == closing || slot.state == awaitingFirst && s.noFirstRequests {
			n++
		}
	}
	return n
}

// closesIdle reports whether connections may no longer become idle.
func (s *connectionSlots) closesIdle() bool { return s.shuttingDown || s.outOfService }

// drain closes the idle connections, and makes setState return false for each that becomes idle later. With
// endFirstRequests it does the same for those that wait for a first request.
func (s *connectionSlots) drain(endFirstRequests bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown, s.noFirstRequests = true, s.noFirstRequests || endFirstRequests
	s.closeIdle()
}

// setOutOfService closes the idle connections, and each that becomes idle later, until it is called with false.
func (s *connectionSlots) setOutOfService(outOfService bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outOfService = outOfService; outOfService {
		s.closeIdle()
	}
}

func (s *connectionSlots) closeIdle() {
	for slot := range s.open {
		if slot.state == idle || slot.state == awaitingFirst && s.noFirstRequests {
			slot.requestClose()
		}
	}
}

// isShuttingDown reports whether drain was called.
func (s *connectionSlots) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown
}

// isOutOfService reports whether the scheduler is out of service.
func (s *connectionSlots) isOutOfService() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outOfService
}

// mustClose reports whether the connection has to close after the response to its request.
func (s *connectionSlots) mustClose(slot *connectionSlot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closesIdle() || slot.closeRequested || slot.evicted
}

// closeAll closes every connection.
func (s *connectionSlots) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for slot := range s.open {
		slot.conn.Close()
	}
}
