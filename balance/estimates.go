package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file gives read-only access to the estimates of a Balancer, for planners.

// InFlight calls yield for each listed worker that has attempts of this dispatcher in flight, with the slots that they
// take. The order is that of the ring.
func (b *Balancer) InFlight(yield func(worker string, slots float64)) {
	for _, w := range b.ring {
		if w.ownSlots > 0 {
			yield(w.ID, w.ownSlots)
		}
	}
}

// WorkerEstimate holds the estimates for one worker.
type WorkerEstimate struct {
	Slots      float64 // slots for work now, fewer while it is cold
	Load       float64 // slots taken or waited for, by the work of all dispatchers
	Slowness   float64 // run time of a job as a multiple of the average worker's
	Cold       bool
	UsableFrom time.Duration // earliest time of a send, as it is ejected or refused work
}

// WorkerEstimate returns the estimates for a listed worker; ok is false for any other.
func (b *Balancer) WorkerEstimate(now time.Duration, worker string) (v WorkerEstimate, ok bool) {
	w := b.workers[worker]
	if w == nil || !w.listed {
		return WorkerEstimate{}, false
	}
	return WorkerEstimate{Slots: b.capacity(now, w), Load: b.load(now, w), Slowness: b.slowness(w), Cold: b.warmShare(now, w) < 1,
		UsableFrom: max(w.ejectedUntil, w.fullUntil)}, true
}

// Queued reports whether a request is queued at this dispatcher, and returns the latest start that still has value.
// The result anywhere reports whether the request may go to any worker.
func (b *Balancer) Queued(now time.Duration, request uint64) (latestStart time.Duration, anywhere, queued bool) {
	r := b.requests[request]
	if r == nil || !r.queued {
		return 0, false, false
	}
	return min(r.usefulStartBy, r.respondBy), b.firstMayHaveRun(r) == nil && b.maySendNow(now, r), true
}

// OnTime reports whether a request that is being served meets its latency target if it ends now.
func (b *Balancer) OnTime(now time.Duration, request uint64) bool {
	r := b.requests[request]
	return r != nil && now <= min(r.respondBy, r.firstTryAt+r.class.LatencyTarget+seconds(r.class.Stretch*r.work))
}

// NearbyDispatchers returns the first and the last number of the dispatchers that usually have a listed worker among their
// candidates. This is an estimate: all dispatchers place their homes by the same rule, and this one's spread is used
// for the others. The numbers may be negative or beyond the fleet and wrap around it. With few workers, every
// dispatcher is near to every worker.
func (b *Balancer) NearbyDispatchers(id string) (first, last int) {
	i, _ := slices.BinarySearchFunc(b.ring, id, func(w *worker, id string) int { return cmp.Compare(w.ID, id) })
	workers, dispatchers := float64(max(1, len(b.ring))), float64(b.settings.Fleet)
	position := (float64(i) + 0.5) / workers
	_, spread := b.ringPosition(b.settings.Self)
	reach := (neighbours+1)/workers + spread/2
	if 2*reach*dispatchers >= dispatchers-1 {
		return 0, b.settings.Fleet - 1
	}
	return int(math.Ceil((position-reach)*dispatchers - 0.5)), int(math.Floor((position+reach)*dispatchers - 0.5))
}
