// Package listlease limits how long a scheduler uses a list of targets that discovery no longer confirms.
//
// Lease is the lease on the list. The caller passes it the lists and changes of discovery, the heartbeats of the watch, the
// end of the watch and the results of probes. Lease returns which targets may be sent to, and until when. Only discovery
// can confirm that a target is still listed. So the lease is renewed by a list, by changes, and by a heartbeat on a watch
// that has received its first list. A response to a probe shows that a target runs, but not that it is listed. So a probe
// never renews the lease. It only withholds a target that reports that it drains.
//
// Peers exchanges confirmations between schedulers. A scheduler that gets no response from discovery queries others and
// uses a confirmation that they forward with its age. The caller sends and receives the datagrams.
//
// Lease and Peers are state machines without I/O, clock or goroutine, and not safe for concurrent use. The package does not
// poll discovery and does not probe targets. Times are milliseconds on the caller's clock, and durations are milliseconds.
package listlease

import (
	"fmt"
	"math"
	"slices"

	"cottonwell/internal/gossip"
)

// ProbeStatus is the result of a probe.
type ProbeStatus int

// The results of a probe.
const (
	Serving    ProbeStatus = iota // the target accepts new work
	NotReady                      // the target runs and accepts no new work: it drains
	NoResponse                    // no response, or no connection
)

// Target is a target that is listed as serving.
type Target struct {
	Name      string
	StartedMS float64 // its last start, in milliseconds since the Unix epoch; 0: long ago
}

// entry is the state of a listed target.
type entry struct {
	key         gossip.Key
	confirmedAt float64 // time of the latest confirmation of this target alone, not of the whole list
	notReady    bool    // a probe reported NotReady since the last list, while no watch was open
	removed     bool    // a confirmation forwarded by another scheduler excludes it
	withheld    bool    // as of the last review
}

// Lease is the lease on the list of one discovery source. It starts as expired, since discovery has not confirmed the
// initial list yet, wherever that list is from.
type Lease struct {
	watchedDuration   float64 // duration of a renewal while a watch is open, in milliseconds
	unwatchedDuration float64 // duration of a renewal while no watch is open, in milliseconds
	confirmedAt       float64 // time of the latest confirmation of the whole list
	valid             bool    // the lease on the whole list is valid, as of the last review
	lapsed            bool    // the leases on the list and on each single target have expired, as of the last review
	watching          bool    // a watch is open, and its first list was received
	entries           map[string]*entry
	entryByKey        map[gossip.Key]*entry
	sortedKeys        []gossip.Key   // sorted
	digest            uint64         // of sortedKeys
	previousLists     []previousList // lists replaced by later ones, the oldest first
}

// previousList is a replaced list.
type previousList struct {
	digest uint64
	keys   []gossip.Key // sorted
}

// maxPreviousLists is the number of replaced lists that are kept, since other schedulers may still use an old one.
const maxPreviousLists = 16

var never = math.Inf(-1)

// NewLease returns an expired lease on an empty list. A renewal lasts watchedDuration milliseconds while a watch is open and
// unwatchedDuration milliseconds while none is open. unwatchedDuration must not exceed watchedDuration.
func NewLease(watchedDuration, unwatchedDuration float64) (*Lease, error) {
	if !(unwatchedDuration > 0 && unwatchedDuration <= watchedDuration) || math.IsInf(watchedDuration, 1) {
		return nil, fmt.Errorf("listlease: invalid lease durations: %g ms with a watch, %g ms without", watchedDuration, unwatchedDuration)
	}
	return &Lease{watchedDuration: watchedDuration, unwatchedDuration: unwatchedDuration, confirmedAt: never, lapsed: true, digest: gossip.DigestOf(nil)}, nil
}

// Load sets the list without a confirmation by discovery, such as the stored list at the start. Like all methods for events,
// it reports whether the withheld state of any target changed.
func (l *Lease) Load(now float64, serving []Target) (changed bool) {
	oldEntries := l.entries
	l.entries, l.entryByKey = make(map[string]*entry, len(serving)), make(map[gossip.Key]*entry, len(serving))
	previous := previousList{l.digest, l.sortedKeys}
	l.sortedKeys = make([]gossip.Key, 0, len(serving))
	for _, t := range serving {
		e := &entry{key: gossip.KeyOf(t.Name, t.StartedMS), confirmedAt: never}
		if oldEntry := oldEntries[t.Name]; oldEntry != nil {
			e.withheld = oldEntry.withheld
		}
		l.entries[t.Name], l.entryByKey[e.key] = e, e
		l.sortedKeys = append(l.sortedKeys, e.key)
	}
	slices.Sort(l.sortedKeys)
	if l.digest = gossip.DigestOf(l.sortedKeys); l.digest != previous.digest {
		l.previousLists = append(l.previousLists, previous)
		l.previousLists = l.previousLists[max(0, len(l.previousLists)-maxPreviousLists):]
	}
	return l.Review(now)
}

// ConfirmList sets the list after discovery sent it, or changes to it, that were read at readAt. It renews the lease.
func (l *Lease) ConfirmList(now, readAt float64, serving []Target) (changed bool) {
	l.watching = true
	l.confirmedAt = max(l.confirmedAt, readAt)
	return l.Load(now, serving)
}

// Heartbeat renews the lease by a heartbeat that was read at readAt on the open watch.
func (l *Lease) Heartbeat(now, readAt float64) (changed bool) {
	if readAt > l.confirmedAt {
		l.confirmedAt = readAt
		for _, e := range l.entries { // the watch would have reported a removal that other schedulers received before
			e.removed = false
		}
	}
	return l.Review(now)
}

// LimitTo shortens the lease so that the confirmations received so far expire at until at the latest. It never extends the
// lease. A later confirmation renews the lease as usual.
func (l *Lease) LimitTo(now, until float64) (changed bool) {
	l.confirmedAt = min(l.confirmedAt, until-l.watchedDuration)
	for _, e := range l.entries {
		e.confirmedAt = min(e.confirmedAt, until-l.watchedDuration)
	}
	return l.Review(now)
}

// WatchEnded records that a request to discovery failed or that the watch ended.
func (l *Lease) WatchEnded(now float64) (changed bool) {
	l.watching = false
	return l.Review(now)
}

// duration returns how long a confirmation is valid now.
func (l *Lease) duration() float64 {
	if l.watching {
		return l.watchedDuration
	}
	return l.unwatchedDuration
}

// Watching reports whether a watch is open and has received its first list.
func (l *Lease) Watching() bool { return l.watching }

// Probed records the result of a probe. It has no effect while a watch is open, since the list decides then.
func (l *Lease) Probed(now float64, target string, status ProbeStatus) (changed bool) {
	e := l.entries[target]
	if e == nil || l.watching || status == NoResponse {
		return false
	}
	e.notReady = status == NotReady
	return l.Review(now)
}

// ConfirmByPeer applies a confirmation by discovery that another scheduler forwarded. The confirmation was valid at
// confirmedAt or later. One that is older than the own confirmation has no effect.
func (l *Lease) ConfirmByPeer(now, confirmedAt float64, a *gossip.ListResponse) (changed bool) {
	switch {
	case !a.Except:
		for _, k := range a.Keys {
			if e := l.entryByKey[k]; e != nil && confirmedAt > max(l.confirmedAt, e.confirmedAt) {
				e.confirmedAt, e.removed = confirmedAt, false
			}
		}
	case a.Digest == l.digest && confirmedAt > l.confirmedAt:
		l.confirmedAt = confirmedAt
		for _, e := range l.entryByKey {
			e.removed = e.removed && e.confirmedAt > confirmedAt
		}
		for _, k := range a.Keys {
			if e := l.entryByKey[k]; e != nil && e.confirmedAt <= confirmedAt {
				e.removed = true
			}
		}
	}
	return l.Review(now)
}

// servingKeys returns which targets serve, for a scheduler at a position on the ring that uses the list of the given digest.
// If that list is known and the difference is small enough for a response, excluding is true and keys are its targets that no
// longer serve. Otherwise, keys are the serving targets nearest to the position.
func (l *Lease) servingKeys(digest uint64, position float64) (excluding bool, keys []gossip.Key) {
	keysOfList := l.sortedKeys
	found := digest == l.digest
	for i := len(l.previousLists) - 1; i >= 0 && !found; i-- {
		if found = l.previousLists[i].digest == digest; found {
			keysOfList = l.previousLists[i].keys
		}
	}
	if found {
		for _, k := range keysOfList {
			if e := l.entryByKey[k]; e == nil || e.removed {
				keys = append(keys, k)
			}
		}
	}
	if found && len(keys) <= gossip.MaxKeys {
		return true, keys
	}
	return false, l.nearestKeys(position)
}

// Review updates the state to the current time. The caller must call it at Next at the latest.
func (l *Lease) Review(now float64) (changed bool) {
	l.valid = now < l.Until()
	l.lapsed = !l.valid
	for _, e := range l.entries {
		wasWithheld := e.withheld
		l.lapsed = l.lapsed && now >= e.confirmedAt+l.duration()
		e.withheld = now >= l.maySendUntil(e)
		changed = changed || wasWithheld != e.withheld
	}
	return changed
}

// Next returns when the next valid confirmation expires; infinite if none is valid.
func (l *Lease) Next(now float64) float64 {
	next := math.Inf(1)
	if now < l.Until() {
		next = l.Until()
	}
	for _, e := range l.entries {
		if until := l.maySendUntil(e); now < until {
			next = min(next, until)
		}
	}
	return next
}

// Valid reports whether the lease on the whole list was valid at the last review.
func (l *Lease) Valid() bool { return l.valid }

// Lapsed reports whether no confirmation was valid at the last review, neither of the list nor of any single target.
func (l *Lease) Lapsed() bool { return l.lapsed }

// Until returns the end of the lease on the whole list.
func (l *Lease) Until() float64 { return l.confirmedAt + l.duration() }

// Age returns the age of the latest confirmation of the whole list.
func (l *Lease) Age(now float64) float64 { return now - l.confirmedAt }

// MaySendUntil returns the time by which an attempt at a target must be sent. The result does not depend on the last review,
// so it is correct after a pause of the caller.
func (l *Lease) MaySendUntil(target string) float64 {
	if e := l.entries[target]; e != nil {
		return l.maySendUntil(e)
	}
	return never
}

func (l *Lease) maySendUntil(e *entry) float64 {
	if e.notReady || e.removed {
		return never
	}
	return max(l.confirmedAt, e.confirmedAt) + l.duration()
}

// Withheld reports whether a target must not be sent to, as of the last review.
func (l *Lease) Withheld(target string) bool {
	e := l.entries[target]
	return e == nil || e.withheld
}

// nearestKeys returns the keys of the serving targets nearest to a position on their ring, from 0 to 1. It returns as many as
// fit into a response.
func (l *Lease) nearestKeys(position float64) []gossip.Key {
	names := make([]string, 0, len(l.entries))
	for name, e := range l.entries {
		if !e.removed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	n := len(names)
	first, count := int(position*float64(n))-gossip.MaxKeys/2, min(gossip.MaxKeys, n)
	keys := make([]gossip.Key, 0, count)
	for i := range count {
		keys = append(keys, l.entries[names[((first+i)%n+n)%n]].key)
	}
	return keys
}
