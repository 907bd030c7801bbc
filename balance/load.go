package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file estimates the load and speed of workers from their reports, from the announcements of other
// dispatchers and from this dispatcher's attempts in flight.

// capacity returns how many slots w has for work now. A cold worker has fewer.
func (b *Balancer) capacity(now time.Duration, w *worker) float64 {
	return cmp.Or(w.slots, b.meanWorkerSlots) * b.warmShare(now, w)
}

// updatePeerLoads stores the slots that a dispatcher announced for its attempts at each worker. A worker that
// it does not name has none. The cost grows with the number of named workers, not with all workers: with many
// dispatchers these are most of all events. It reports whether some load decreased, so that there may be
// capacity.
func (b *Balancer) updatePeerLoads(now time.Duration, dispatcher int, loads map[string]float64) (freed bool) {
	if b.peerLoads[dispatcher] == nil {
		b.peerLoads[dispatcher] = map[string]float64{}
	}
	previous := b.peerLoads[dispatcher]
	for id := range previous {
		if loads[id] == 0 {
			freed = b.updatePeerLoad(now, previous, id, 0) || freed
		}
	}
	for id, slots := range loads {
		freed = b.updatePeerLoad(now, previous, id, slots) || freed
	}
	return freed
}

// updatePeerLoad stores the slots that a dispatcher announced for one worker, and reports whether they
// decreased.
func (b *Balancer) updatePeerLoad(
	now time.Duration, previous map[string]float64, id string, slots float64,
) (freed bool) {
	freed = slots < previous[id]
	if w := b.workers[id]; w != nil && previous[id] != slots {
		w.peerSlots += slots - previous[id]
		if freed {
			b.backOff(now, w)
		}
		if added := slots - previous[id]; added > 0 && b.warmShare(now, w) < 1 {
			b.refillTokens(now, w)
			w.tokens -= added * b.meanJobSeconds
		}
		w.recordLoad(now)
		previous[id] = slots
	}
	if slots == 0 {
		delete(previous, id)
	}
	return freed
}

// reservedFor reports whether capacity of w is reserved for r.
func (w *worker) reservedFor(r *request) bool {
	return w.reservation != nil && w.reservation.Request == r.id
}

// reservationAllows reports whether r may go to w without using capacity that is reserved for another
// request.
func (w *worker) reservationAllows(now time.Duration, r *request) bool {
	reservation := w.reservation
	return reservation == nil || w.reservedFor(r) || r.slots <= reservation.SpareSlots ||
		r.slots <= reservation.BackfillSlots && now <= reservation.BackfillUntil[r.class.Name]
}

// load returns how many slots of w are taken or waited for, by own work and by others' work as last reported.
//
// The weight of a report decays with its age in favour of the mean of all workers. That mean is limited to
// assumedLoad, as otherwise dispatchers with late reports would stop and start together. It decays while no
// report arrives at all.
//
// The load of others is never below a floor that grows with assumedLoad and leaves one slot. Other
// dispatchers see the same report of a free slot and send there too. With the floor, cheap requests wait.
func (b *Balancer) load(now time.Duration, w *worker) float64 {
	timeConstant := max(b.meanJobSeconds*b.slowdown(), 0.2)
	slots := b.capacity(now, w)
	meanOther := slots * max(0, min(b.otherShare, b.assumedLoad)) *
		math.Exp(-(now-b.lastReportAt).Seconds()/(3*timeConstant))
	if w.reportedAt == 0 {
		return w.ownSlots + w.peerSlots + meanOther
	}
	freshness := math.Exp(-(now - w.reportedAt + b.reportAge).Seconds() / timeConstant)
	floor := min(slots-1, slots*(b.assumedLoad-assumedLoadStart)/(assumedLoadMax-assumedLoadStart))
	return w.ownSlots + max(0, floor, w.peerSlots+meanOther+(w.otherSlots-meanOther)*freshness)
}

// slowness returns the run time of a job at w as a multiple of the average worker's.
func (b *Balancer) slowness(w *worker) float64 {
	prior := speedPriorJobs * max(b.meanJobSeconds, 1e-3)
	return (w.ranSeconds + prior*b.slowdown()) / (w.expectedSeconds + prior)
}

// queueWait returns how long a job of the given number of slots would wait in w's queue. The capacity counts
// as at least one slot, or a worker with a single slot would be idle until it is warm. The load of a cold
// worker is limited by coldBudgetAllows.
func (b *Balancer) queueWait(now time.Duration, w *worker, slots float64) time.Duration {
	capacity := max(1, b.capacity(now, w))
	return seconds(max(0, b.load(now, w)+slots-capacity) / capacity * b.meanJobSeconds * b.slowness(w))
}

// addOwnLoad records that n attempts of r started at w; a negative n records ended ones.
func (b *Balancer) addOwnLoad(now time.Duration, w *worker, r *request, n int) {
	w.ownSlots = max(0, w.ownSlots+float64(n)*r.slots)
	w.inFlight, r.inFlight = w.inFlight+n, r.inFlight+n
	w.openConns = max(w.openConns, w.inFlight)
	w.recordLoad(now)
}

// recordLoad adds the known load of w, own and announced by others, to its history.
func (w *worker) recordLoad(now time.Duration) {
	if len(w.loadHistory) >= 64 {
		w.loadHistory = slices.Delete(w.loadHistory, 0, 32)
	}
	w.loadHistory = append(w.loadHistory, sample{now, w.ownSlots + w.peerSlots})
}

// loadAt returns the known load of w at an earlier time, or 0 before the start of its history.
func (w *worker) loadAt(at time.Duration) float64 {
	for i := len(w.loadHistory) - 1; i >= 0; i-- {
		if w.loadHistory[i].at <= at {
			return w.loadHistory[i].value
		}
	}
	return 0
}

// applyReport updates the estimates of w from a report. It subtracts the known load at the time of the
// report, so that this load counts once.
func (b *Balancer) applyReport(now time.Duration, w *worker, rep *Report) {
	if !rep.Present {
		return
	}
	b.lastReportAt = now
	total := rep.InFlight * b.meanJobSlots
	if b.settings.ReportsFree && rep.Free >= 0 && rep.InFlight >= 0 {
		slots := rep.Free + max(0, rep.InFlight-max(0, rep.Waiting))*b.meanJobSlots
		previous := cmp.Or(w.slots, max(slots, 1))
		w.slots = max(1, previous+0.1*(slots-previous))
		b.meanWorkerSlots += 0.02 * (w.slots - b.meanWorkerSlots)
		total = w.slots - rep.Free + max(0, rep.Waiting)*b.meanJobSlots
	}
	if total < 0 {
		return
	}
	// Repeated figures may be from the same moment and are skipped.
	if w.lastReport != *rep || w.reportedAt == 0 {
		b.fitReportAge(now, w, total)
		w.otherSlots = total - w.loadAt(now-b.reportAge)
	}
	w.lastReport, w.reportedAt = *rep, now
	b.otherShare += 0.05 * (w.otherSlots/max(w.slots, 1) - b.otherShare)
}

// fitReportAge estimates the age of reports: the one at which the known load explains most of the reported
// load. Without it, own load in a report that is seconds late would count as others', and workers with
// capacity would be skipped.
func (b *Balancer) fitReportAge(now time.Duration, w *worker, total float64) {
	bestAge := 0
	for i, age := range reportAges {
		deviation := (total - w.loadAt(now-age) - w.meanOtherSlots) / max(w.slots, 1)
		b.ageErrors[i] += 0.03 * (deviation*deviation - b.ageErrors[i])
		if b.ageErrors[i] < 0.98*b.ageErrors[bestAge] {
			bestAge = i
		}
	}
	b.reportAge = reportAges[bestAge]
	w.meanOtherSlots += 0.1 * (total - w.loadAt(now-b.reportAge) - w.meanOtherSlots)
}
