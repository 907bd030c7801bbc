// Package freshness bounds how long a list of targets is acted on without word of discovery.
//
// The list is held under a lease. Only discovery renews it, as nobody else knows which targets are listed: by a list, by
// changes, and by a sign of life on a watch whose first list has come. Another scheduler may pass such a word on, with its
// age (Peers). What a target answers to a probe shows that it runs, and not that it is still listed; a probe can only take
// a target away, when the target says that it drains.
//
// Lease and Peers are state machines without I/O, clock or goroutine. Times are milliseconds on the caller's clock.
package freshness

import (
	"fmt"
	"math"
	"slices"

	"cottonwell/internal/gossip"
)

// Answer is what came of a probe.
type Answer int

// The answers to a probe.
const (
	Serving  Answer = iota // the target takes new work
	NotReady               // the target runs and takes no new work: it drains
	Silent                 // no answer, or no connection
)

// Target is a target that serves by the list.
type Target struct {
	Name      string
	StartedMS float64 // its last start, in milliseconds since the Unix epoch; 0: long ago
}

// entry is what is known of a listed target.
type entry struct {
	key         gossip.Key
	confirmedAt float64 // the youngest word that names this target, though not all of the list
	notReady    bool    // it said so since the last list, while no watch was open
	cut         bool    // it does not serve any more by a word that another scheduler passed on
	withheld    bool    // as last reviewed
}

// Lease is the lease on the list of one discovery source. It begins as run out: however a list was come by, discovery
// has not said yet that it holds.
type Lease struct {
	watched  float64 // how long a renewal lasts while a watch is open, in ms
	apart    float64 // and while none is
	wordAt   float64 // the youngest word that names the whole list
	valid    bool    // as last reviewed
	lapsed   bool    // nothing is confirmed, neither the list nor any target of it; as last reviewed
	watching bool    // a watch is open, and its first list has come
	targets  map[string]*entry
	byKey    map[gossip.Key]*entry
	keys     []gossip.Key // sorted
	digest   uint64       // of keys
	past     []pastList   // that this one replaced, the oldest first
}

// pastList is a list that was held once.
type pastList struct {
	digest uint64
	keys   []gossip.Key // sorted
}

// pastLists is how many lists are remembered: other schedulers may hold an old one still.
const pastLists = 16

var never = math.Inf(-1)

// NewLease returns a lease on an empty list that has run out. Each renewal lasts so many milliseconds while a watch is open,
// and so many, no more, while none is.
func NewLease(watched, apart float64) (*Lease, error) {
	if !(apart > 0 && apart <= watched) || math.IsInf(watched, 1) {
		return nil, fmt.Errorf("freshness: a lease of %g ms, and of %g ms without a watch", watched, apart)
	}
	return &Lease{watched: watched, apart: apart, wordAt: never, lapsed: true, digest: gossip.DigestOf(nil)}, nil
}

// Load takes over a list that is no word of discovery: that of the start. Like all events it says whether a target is
// withheld or released by it that was not, or was, before.
func (l *Lease) Load(now float64, serving []Target) (changed bool) {
	old := l.targets
	l.targets, l.byKey = make(map[string]*entry, len(serving)), make(map[gossip.Key]*entry, len(serving))
	before := pastList{l.digest, l.keys}
	l.keys = make([]gossip.Key, 0, len(serving))
	for _, t := range serving {
		e := &entry{key: gossip.KeyOf(t.Name, t.StartedMS), confirmedAt: never}
		if was := old[t.Name]; was != nil {
			e.withheld = was.withheld
		}
		l.targets[t.Name], l.byKey[e.key] = e, e
		l.keys = append(l.keys, e.key)
	}
	slices.Sort(l.keys)
	if l.digest = gossip.DigestOf(l.keys); l.digest != before.digest {
		l.past = append(l.past, before)
		l.past = l.past[max(0, len(l.past)-pastLists):]
	}
	return l.Review(now)
}

// Listed takes over the list as discovery has just told it or changed it, by what was read at a time.
func (l *Lease) Listed(now, readAt float64, serving []Target) (changed bool) {
	l.watching = true
	l.wordAt = max(l.wordAt, readAt)
	return l.Load(now, serving)
}

// SignOfLife tells of one that was read at a time on the open watch.
func (l *Lease) SignOfLife(now, readAt float64) (changed bool) {
	if readAt > l.wordAt {
		l.wordAt = readAt
		for _, e := range l.targets { // what others had heard before is in the list, if it is so
			e.cut = false
		}
	}
	return l.Review(now)
}

// EndBy has the lease end at a time at the latest, unless a younger word comes: what was told before counts no longer.
func (l *Lease) EndBy(now, until float64) (changed bool) {
	l.wordAt = min(l.wordAt, until-l.watched)
	for _, e := range l.targets {
		e.confirmedAt = min(e.confirmedAt, until-l.watched)
	}
	return l.Review(now)
}

// WatchLost tells that a call to discovery failed, or that the watch has ended.
func (l *Lease) WatchLost(now float64) (changed bool) {
	l.watching = false
	return l.Review(now)
}

// lasts is for how long a word holds now.
func (l *Lease) lasts() float64 {
	if l.watching {
		return l.watched
	}
	return l.apart
}

// Watching says whether a watch is open.
func (l *Lease) Watching() bool { return l.watching }

// Probed tells of a target's answer to a probe. While a watch is open the list decides.
func (l *Lease) Probed(now float64, target string, answer Answer) (changed bool) {
	e := l.targets[target]
	if e == nil || l.watching || answer == Silent {
		return false
	}
	e.notReady = answer == NotReady
	return l.Review(now)
}

// PassedOn tells of discovery's word at a time, or later, that another scheduler has passed on. One that is older than the
// own says nothing new.
func (l *Lease) PassedOn(now, wordAt float64, a *gossip.ListAnswer) (changed bool) {
	switch {
	case !a.Except:
		for _, k := range a.Keys {
			if e := l.byKey[k]; e != nil && wordAt > max(l.wordAt, e.confirmedAt) {
				e.confirmedAt, e.cut = wordAt, false
			}
		}
	case a.Digest == l.digest && wordAt > l.wordAt:
		l.wordAt = wordAt
		for _, e := range l.byKey {
			e.cut = e.cut && e.confirmedAt > wordAt
		}
		for _, k := range a.Keys {
			if e := l.byKey[k]; e != nil && e.confirmedAt <= wordAt {
				e.cut = true
			}
		}
	}
	return l.Review(now)
}

// answer says which targets serve, to a scheduler of some place on the ring that holds the list of a digest.
func (l *Lease) answer(digest uint64, place float64) (except bool, keys []gossip.Key) {
	held := l.keys
	known := digest == l.digest
	for i := len(l.past) - 1; i >= 0 && !known; i-- {
		if known = l.past[i].digest == digest; known {
			held = l.past[i].keys
		}
	}
	if known {
		for _, k := range held {
			if e := l.byKey[k]; e == nil || e.cut {
				keys = append(keys, k)
			}
		}
	}
	if known && len(keys) <= gossip.MaxKeys {
		return true, keys
	}
	return false, l.near(place)
}

// Review takes the time into account. It is to be called at Next at the latest.
func (l *Lease) Review(now float64) (changed bool) {
	l.valid = now < l.Until()
	l.lapsed = !l.valid
	for _, e := range l.targets {
		was := e.withheld
		l.lapsed = l.lapsed && now >= e.confirmedAt+l.lasts()
		e.withheld = now >= l.maySendUntil(e)
		changed = changed || was != e.withheld
	}
	return changed
}

// Next is when the next of what holds now will have run out; infinite if nothing does.
func (l *Lease) Next(now float64) float64 {
	next := math.Inf(1)
	if now < l.Until() {
		next = l.Until()
	}
	for _, e := range l.targets {
		if until := l.maySendUntil(e); now < until {
			next = min(next, until)
		}
	}
	return next
}

// Valid says whether the lease on the whole list had not run out when it was last reviewed.
func (l *Lease) Valid() bool { return l.valid }

// Lapsed says whether neither the list nor any target of it was confirmed lately, as of the last review.
func (l *Lease) Lapsed() bool { return l.lapsed }

// Until is the end of the lease on the whole list.
func (l *Lease) Until() float64 { return l.wordAt + l.lasts() }

// Age is how old the youngest word on the whole list is.
func (l *Lease) Age(now float64) float64 { return now - l.wordAt }

// MaySendUntil is until when an attempt may leave for a target. It holds without a review, so that a caller that stood
// still finds out.
func (l *Lease) MaySendUntil(target string) float64 {
	if e := l.targets[target]; e != nil {
		return l.maySendUntil(e)
	}
	return never
}

func (l *Lease) maySendUntil(e *entry) float64 {
	if e.notReady || e.cut {
		return never
	}
	return max(l.wordAt, e.confirmedAt) + l.lasts()
}

// Withheld says whether nothing may be sent to a target, as of the last review.
func (l *Lease) Withheld(target string) bool {
	e := l.targets[target]
	return e == nil || e.withheld
}

// near returns the keys of the targets that serve nearest to a place on the ring of them, from 0 to 1: as many as an answer
// holds.
func (l *Lease) near(place float64) []gossip.Key {
	names := make([]string, 0, len(l.targets))
	for name, e := range l.targets {
		if !e.cut {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	n := len(names)
	first, many := int(place*float64(n))-gossip.MaxKeys/2, min(gossip.MaxKeys, n)
	keys := make([]gossip.Key, 0, many)
	for i := range many {
		keys = append(keys, l.targets[names[((first+i)%n+n)%n]].key)
	}
	return keys
}
