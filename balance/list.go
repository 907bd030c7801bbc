package balance

import (
	"cmp"
	"slices"
	"time"
)

// This file maintains the worker list and the ring, and queries discovery for the list.

// queryDiscovery starts a query for the worker list if the settings require queries and none is outstanding.
func (b *Balancer) queryDiscovery() {
	if b.settings.Subscribe && b.discovery.begin() {
		b.emit(Action{Kind: Subscribe})
	}
}

// handleList applies a received worker list, or schedules the next query after a failed one.
func (b *Balancer) handleList(now time.Duration, ev *Event) {
	if ev.List == RequestFailed {
		b.emit(Action{Kind: Wake, Timer: discoveryTimer, After: b.discovery.failed(now, &b.settings, b.rng)})
		return
	}
	b.listVersion++
	for i := range ev.Members {
		b.updateMember(now, &ev.Members[i])
	}
	if ev.List != Changes {
		for _, w := range slices.Clone(b.ring) {
			if w.listVersion != b.listVersion {
				b.unlist(w)
			}
		}
	}
	switch {
	case ev.List == FromDisk:
		if wait := b.discovery.firstDelay(now, &b.settings, b.rng); wait > 0 {
			b.emit(Action{Kind: Wake, Timer: discoveryTimer, After: wait})
		} else {
			b.queryDiscovery()
		}
	case !ev.Local:
		b.discovery.received()
	}
	b.placeQueued(now)
}

// updateMember applies one entry of a worker list.
func (b *Balancer) updateMember(now time.Duration, m *Member) {
	w := b.workers[m.ID]
	if w == nil {
		w = &worker{}
		if m.State == Ready || m.State == Suspended {
			b.workers[m.ID] = w
		}
	}
	// A new or restarted worker: records of an earlier process no longer apply.
	if w.ID == "" || m.Started != w.Started {
		*w = worker{Member: *m, listed: w.listed, ownSlots: w.ownSlots, inFlight: w.inFlight,
			loadHistory: w.loadHistory, slots: w.slots, lastSeenAt: now, idHash: hash(m.ID)}
		for _, loads := range b.peerLoads {
			delete(loads, m.ID)
		}
	}
	w.Member, w.listVersion = *m, b.listVersion
	if m.State != Ready && m.State != Suspended {
		b.unlist(w)
		return
	}
	if !w.listed {
		w.listed = true
		i, _ := slices.BinarySearchFunc(b.ring, w, func(x, y *worker) int { return cmp.Compare(x.ID, y.ID) })
		b.ring = slices.Insert(b.ring, i, w)
	}
}

// unlist removes w from the ring and ends its reservation.
func (b *Balancer) unlist(w *worker) {
	w.listed, w.reservation = false, nil
	b.ring = slices.DeleteFunc(b.ring, func(x *worker) bool { return x == w })
	b.dropIfUnused(w)
}

// dropIfUnused deletes w if it is not listed and has no attempt of this dispatcher in flight. Otherwise
// memory would grow without limit.
func (b *Balancer) dropIfUnused(w *worker) {
	if !w.listed && w.inFlight == 0 {
		delete(b.workers, w.ID)
	}
}
