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
	resting                 // between requests, or closing after an error
)

// seat is a connection's place in the listener's budget of sockets.
type seat struct {
	conn  *httpio.Conn
	state standing
	since float64 // of that state; for one without a request so far, of the connection
	job   bool    // it has brought a job
	taken bool    // the place went to another connection
	ended bool    // closed as it rested too long
}

// seats are the connections of a listener. A full house never keeps a new one waiting
// while some places are held by connections that bring nothing: call-backs come to the
// same address, and without them no job ends.
type seats struct {
	clock  clock.Clock
	budget *httpio.Budget
	counts *Counts
	rests  int // so many connections may rest between jobs

	mu      sync.Mutex
	closing bool
	all     map[*seat]bool
}

// sit takes a place, if need be that of the connection that is worth least.
func (s *seats) sit(c *httpio.Conn) (*seat, bool) {
	if !s.budget.TryTake() && !s.evict() {
		return nil, false
	}
	x := &seat{conn: c, since: s.clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[x] = true
	return x, true
}

// leave closes a connection and gives its place back.
func (s *seats) leave(x *seat) {
	s.mu.Lock()
	delete(s.all, x)
	taken := x.taken
	s.mu.Unlock()
	x.conn.Close()
	if !taken {
		s.budget.Give()
	}
}

// move notes what x stands for now. It returns false if x should rather be closed: its
// place is taken, or it rests while the program winds down.
func (s *seats) move(x *seat, to standing, job bool) bool {
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
	return !x.taken && (to != resting || !s.closing)
}

// spare closes the connection that has rested longest between jobs, if too many do. Clients
// may only hold so many, and some never use theirs again; left open, those leave none for the
// requests that wait there. A closing that crosses a request costs the client a new connection.
func (s *seats) spare() {
	n := 0
	var oldest *seat
	for x := range s.all {
		if x.state == resting && x.job && !x.taken && !x.ended {
			if n++; oldest == nil || x.since < oldest.since {
				oldest = x
			}
		}
	}
	if n > s.rests {
		oldest.ended = true
		oldest.conn.Close()
		s.counts.Spared.Add(1)
	}
}

// worth ranks connections whose place may be taken; 0 is none of them. One that has been
// answered and never brought a job loses nothing. One that has not sent a whole request yet
// is next, as clients send at once when they connect. A client that brings jobs keeps its
// connection between them by right, so it goes last.
func (x *seat) worth() int {
	switch {
	case x.state == resting && !x.job:
		return 1
	case !x.job && (x.state == fresh || x.state == reading):
		return 2
	case x.state == resting:
		return 3
	}
	return 0
}

// evict closes the connection that is worth least, among equals the one that has stood so
// for longest, and keeps its place in the budget.
func (s *seats) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var least *seat
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
	s.counts.Evicted.Add(1)
	least.conn.Close()
	return true
}

// busy is how many requests are being read, served or answered.
func (s *seats) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for x := range s.all {
		if x.state == reading || x.state == serving {
			n++
		}
	}
	return n
}

// wind closes what rests, and makes move say so of each further one that comes to rest.
func (s *seats) wind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for x := range s.all {
		if x.state == resting {
			x.conn.Close()
		}
	}
}

// winding says whether wind was called.
func (s *seats) winding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// closeAll closes every connection.
func (s *seats) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.all {
		x.conn.Close()
	}
}
