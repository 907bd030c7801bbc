package backfill

import (
	"slices"
)

// This file processes the start and end of attempts, and the end of flows.

// attemptSent records an attempt at a target and releases the reservation of its flow. It also
// records whether the attempt is backfilled before another reservation there.
func (p *Planner) attemptSent(now float64, ev *Event) {
	f, t := p.flowOf(now, ev), p.targets[ev.Target]
	if f == nil || t == nil || f.target != nil {
		return
	}
	f.besideReservation = f.queued && p.reservedSince(f.queuedAt)
	f.queued = false
	if f.queueIndex >= 0 {
		p.queue.remove(f.queueIndex)
	}
	if r := f.reservation; r != nil {
		reason := Elsewhere
		if r.target == t {
			reason = Placed
		}
		p.release(now, r, reason)
	}
	f.backfillEnd = 0
	if r := t.reservation; r != nil && f.need > r.spareSlots && now <= r.backfillUntil[f.class] {
		f.backfillEnd = r.neededAt
		p.Counts.Backfilled++
	}
	if t.reservation != nil {
		t.reservation.notified = false // the host lowers SpareSlots when it sends a job, until it is notified again
	}
	f.target, f.startedAt, f.started = t, now, false
	t.attempts = append(t.attempts, f)
	t.busy += f.need // until the next measurement
	p.markChanged(now, t)
}

// attemptEnded learns the run time of an attempt, adjusts the quantile if it was backfilled, and
// frees its slots.
func (p *Planner) attemptEnded(now float64, ev *Event) {
	f := p.flows[ev.Flow]
	if f == nil || f.target == nil {
		return
	}
	t := f.target
	if ev.OK {
		p.runTimes.add(f.class, f.size, (now-f.startedAt)/t.slowdown)
	}
	if f.backfillEnd > 0 {
		// The quantile rises with each job that ended too late and falls with each other one. So the
		// share of late ones approaches what the operator allows.
		if now > f.backfillEnd {
			p.Counts.BackfilledLate++
			p.backfillQuantile += quantileGain * p.config.Confidence
		} else {
			p.backfillQuantile -= quantileGain * (1 - p.config.Confidence)
		}
		p.backfillQuantile = min(maxQuantile, max(0.5, p.backfillQuantile))
		f.backfillEnd = 0
	}
	t.attempts = slices.DeleteFunc(t.attempts, func(x *flow) bool { return x == f })
	t.busy = max(0, t.busy-f.need)
	f.target = nil
	p.markChanged(now, t)
	p.removeUnused(t)
	if f.done {
		p.removeFlow(f)
	}
}

// flowDone counts the outcome of a flow, adjusts the scale when that is due, and removes the flow
// unless an attempt of it is still running.
func (p *Planner) flowDone(now float64, ev *Event) {
	f := p.flows[ev.Flow]
	if f == nil {
		return
	}
	group, unserved := 0, 0.0
	if f.inTrial {
		group = 1
	}
	if f.trialSettling {
		group = 2
	}
	if !ev.OK {
		unserved = 1
	}
	if f.large {
		p.largeUnserved[group].add(unserved)
	} else {
		p.smallUnserved[group].add(unserved)
		p.Counts.SmallDone++
		affected := 0.0
		if !ev.OK && (f.besideReservation || f.queued && p.reservedSince(f.queuedAt)) {
			affected = 1
			p.Counts.SmallUnserved++
		}
		p.unservedShare = dropDecay*p.unservedShare + (1-dropDecay)*affected
		if now >= p.adjustAt {
			p.adjustAt = now + adjustInterval
			p.adjustScale()
		}
	}
	if f.queueIndex >= 0 {
		p.queue.remove(f.queueIndex)
	}
	f.queued = false
	if f.reservation != nil {
		p.release(now, f.reservation, Answered)
	}
	if f.done = true; f.target == nil {
		p.removeFlow(f)
	}
}

// reservedSince reports whether any slots were reserved at or after the given time.
func (p *Planner) reservedSince(at float64) bool {
	return len(p.reservations) > 0 || p.lastReservedAt >= at
}

// removeFlow removes a flow and recycles its memory. A flow that is done while an attempt of it runs is
// removed when the attempt ends.
func (p *Planner) removeFlow(f *flow) {
	delete(p.flows, f.id)
	p.freeFlows = append(p.freeFlows, f)
}
