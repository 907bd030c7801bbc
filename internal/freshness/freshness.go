// Package freshness bounds how long a list of targets is acted on without word of discovery.
//
// The list is held under a lease. Only discovery renews it, as nobody else knows which targets are listed: by a list, by
// changes, and by a sign of life on a watch whose first list has come. What a target answers to a probe shows that it
// runs, and not that it is still listed; a probe can only take a target away, when the target says that it drains.
//
// The lease is a state machine without I/O, clock or goroutine. Times are milliseconds on the caller's clock.
package freshness

import (
	"fmt"
	"math"
)

// Answer is what came of a probe.
type Answer int

// The answers to a probe.
const (
	Serving  Answer = iota // the target takes new work
	NotReady               // the target runs and takes no new work: it drains
	Silent                 // no answer, or no connection
)

// Lease is the lease on the list of one discovery source. It begins as run out: however a list was come by, discovery
// has not said yet that it holds.
type Lease struct {
	lasts    float64
	until    float64
	valid    bool            // as last reviewed
	watching bool            // a watch is open, and its first list has come
	notReady map[string]bool // targets that said so since the last list, while no watch was open
}

// NewLease returns a lease that has run out. Each renewal lasts so many milliseconds.
func NewLease(lasts float64) (*Lease, error) {
	if !(lasts > 0) || math.IsInf(lasts, 1) {
		return nil, fmt.Errorf("freshness: a lease of %g ms", lasts)
	}
	return &Lease{lasts: lasts, until: math.Inf(-1), notReady: map[string]bool{}}, nil
}

// Listed tells of a list, or of changes to it, whose first byte was read at a time. The others report whether any target
// is withheld or released by what they tell; after a list the caller has to look at all.
func (l *Lease) Listed(now, readAt float64) {
	l.watching = true
	clear(l.notReady)
	l.renew(readAt)
	l.Review(now)
}

// SignOfLife tells of one that was read at a time on the open watch.
func (l *Lease) SignOfLife(now, readAt float64) (changed bool) {
	l.renew(readAt)
	return l.Review(now)
}

// WatchLost tells that a call to discovery failed, or that the watch has ended.
func (l *Lease) WatchLost() { l.watching = false }

// Probed tells of a target's answer to a probe. While a watch is open the list decides.
func (l *Lease) Probed(target string, answer Answer) (changed bool) {
	was := l.notReady[target]
	switch {
	case l.watching || answer == Silent:
		return false
	case answer == NotReady:
		l.notReady[target] = true
	default:
		delete(l.notReady, target)
	}
	return was != l.notReady[target]
}

// Review takes the time into account. It is to be called at the latest at the end of the lease.
func (l *Lease) Review(now float64) (changed bool) {
	was := l.valid
	l.valid = now < l.until
	return was != l.valid
}

// Valid says whether the lease had not run out when it was last reviewed.
func (l *Lease) Valid() bool { return l.valid }

// Until is the end of the lease. In the past, and infinitely so before the first renewal, once it has run out.
func (l *Lease) Until() float64 { return l.until }

// MaySendUntil is until when an attempt may leave for a target. It holds without a review, so that a caller that stood
// still finds out.
func (l *Lease) MaySendUntil(target string) float64 {
	if l.notReady[target] {
		return math.Inf(-1)
	}
	return l.until
}

// Withheld says whether nothing may be sent to a target, as of the last review.
func (l *Lease) Withheld(target string) bool { return !l.valid || l.notReady[target] }

func (l *Lease) renew(readAt float64) { l.until = max(l.until, readAt+l.lasts) }
