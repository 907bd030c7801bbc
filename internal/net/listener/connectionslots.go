package listener

import (
	"sync"

	"cottonwell/internal/clock"
	"cottonwell/internal/net/httpio"
)

// standing is what a connection stands for at a moment.
type standing int

const (
	fresh   standing = iota // nothing has come on it yet
	reading                 // a request is coming
	serving                 // a request is there and not yet answered
	resting                 // between requests
	closing                 // nothing that comes is taken any more; it closes in a moment
)

// connectionSlot is a connection's place in the listener's budget of sockets.
type connectionSlot struct {
	conn  *httpio.Conn
	state standing
	since float64 // of that state; for one without a request so far, of the connection
	job   bool    // it has brought a job
	taken bool    // the place went to another connection
	ended bool    // told to close, as it rested too long or the program ends
	// reason is why it closes; only its own goroutine writes it.
	reason httpio.CloseReason
}

// connectionSlots are the connections of a listener. A full house never keeps a new one waiting
// while some places are held by connections that bring nothing: call-backs come to the
// same address, and without them no job ends.
//
// Nobody but its own goroutine closes a connection (at the very end apart): whoever wants it closed marks the
// slot and wakes the reader, which looks whether a request had come by then. Were it closed from outside, a
// request that was just being read would be taken and never answered.
type connectionSlots struct {
	clock  clock.Clock
	budget *httpio.Budget
	counts *Counts
	rests  int // so many connections may rest between jobs

	mu     sync.Mutex
	ending bool // the program ends
	away   bool // the scheduler is out of service
	shut   bool // none may wait for a first request any more
	all    map[*connectionSlot]bool
	going  int // slots whose places are taken and whose connections still close
}

// sit takes a place, if need be that of the connection that is worth least.
func (s *connectionSlots) acquire(c *httpio.Conn) (*connectionSlot, bool) {
	if !s.budget.TryTake() && !s.evict() {
		return nil, false
	}
	x := &connectionSlot{conn: c, since: s.clock.Now(), reason: closedByClient}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[x] = true
	return x, true
}

// release closes a connection and gives its place back.
func (s *connectionSlots) release(x *connectionSlot) {
	s.mu.Lock()
	delete(s.all, x)
	taken := x.taken
	if taken {
		s.going--
	}
	s.mu.Unlock()
	if taken && x.reason == closedByClient { // it was closed from here, by evict
		x.reason = closedPlace
	}
	s.counts.Closes.Note(x.reason)
	x.conn.Close()
	if !taken {
		s.budget.Give()
	}
}

// move notes what x stands for now, and until when, in milliseconds from now, what comes next must have come.
// It returns false if x should rather be closed: its place is taken, or it comes to rest or waits for a first
// request when the program no longer lets it.
func (s *connectionSlots) move(x *connectionSlot, to standing, job bool, within float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to != reading || x.job {
		x.since = s.clock.Now()
	}
	x.state = to
	x.job = x.job || job
	if to == resting && x.job {
		s.spare()
	}
	// The deadline is set under the lock, or it could undo a waking.
	return !x.taken && !(to == resting && (s.drains() || x.ended)) && !(to == fresh && s.shut) &&
		x.conn.SetReadDeadline(s.clock.Deadline(within)) == nil
}

// close notes that nothing more is taken from x, and says whether there is time to close it gently: a place
// that is taken soon makes one connection too many, and there may be only so many of them.
func (s *connectionSlots) close(x *connectionSlot) (gently bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.state = closing
	return !x.taken || s.going <= overMost
}

// end has the owner of x close it, unless a request has come by then.
func (x *connectionSlot) end() {
	x.ended = true
	x.conn.Wake()
}

// spare ends the connection that has rested longest between jobs, if too many do. Clients
// may only hold so many, and some never use theirs again; left open, those leave none for the
// requests that wait there. A closing that crosses a request costs the client a new connection.
func (s *connectionSlots) spare() {
	n := 0
	var oldest *connectionSlot
	for x := range s.all {
		if x.state == resting && x.job && !x.taken && !x.ended {
			if n++; oldest == nil || x.since < oldest.since {
				oldest = x
			}
		}
	}
	if n > s.rests {
		oldest.end()
		s.counts.Spared.Add(1)
	}
}

// worth ranks connections whose place may be taken; 0 is none of them. One that has been
// answered and never brought a job loses nothing. One that has not sent a whole request yet
// is next, as clients send at once when they connect. A client that brings jobs keeps its
// connection between them by right, so it goes last.
func (x *connectionSlot) worth() int {
	switch {
	case (x.state == resting || x.state == closing) && !x.job:
		return 1
	case !x.job && (x.state == fresh || x.state == reading):
		return 2
	case x.state == resting:
		return 3
	}
	return 0
}

// evict ends the connection that is worth least, among equals the one that has stood so
// for longest, and keeps its place in the budget.
func (s *connectionSlots) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var least *connectionSlot
	for x := range s.all {
		if w := x.worth(); w > 0 && !x.taken && !x.ended &&
			(least == nil || w < least.worth() || w == least.worth() && x.since < least.since) {
			least = x
		}
	}
	if least == nil {
		return false
	}
	least.taken = true
	s.going++
	s.counts.Evicted.Add(1)
	if s.going > 2*overMost {
		least.conn.Close() // too many that close slowly: descriptors come first
		return true
	}
	least.conn.Wake()
	return true
}

// busy is how many requests are being read, served or answered, and how many connections close.
func (s *connectionSlots) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for x := range s.all {
		if x.state == reading || x.state == serving || x.state == closing || x.state == fresh && s.shut {
			n++
		}
	}
	return n
}

// drains says whether none may come to rest any more.
func (s *connectionSlots) drains() bool { return s.ending || s.away }

// drain ends what rests as the program ends, and makes move say so of each further one that comes to rest; at last also
// what waits for a first request.
func (s *connectionSlots) drain(last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending, s.shut = true, s.shut || last
	s.endResting()
}

// leave ends what rests, and each further one that comes to rest, until the scheduler is back.
func (s *connectionSlots) leave(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away = away; away {
		s.endResting()
	}
}

func (s *connectionSlots) endResting() {
	for x := range s.all {
		if x.state == resting || x.state == fresh && s.shut {
			x.end()
		}
	}
}

// isEnding says whether drain was called.
func (s *connectionSlots) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// isAway says whether the scheduler is out of service.
func (s *connectionSlots) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// parting says whether x should close once what has come on it is answered.
func (s *connectionSlots) parting(x *connectionSlot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains() || x.ended || x.taken
}

// closeAll closes every connection.
func (s *connectionSlots) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.all {
		x.conn.Close()
	}
}
