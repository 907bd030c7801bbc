package backfill

import (
	"math"
	"slices"
)

// This file reviews, reports, moves and releases existing reservations.

// review checks whether the flow of a reservation can still start there by its latest useful start. If
// not, it moves the reservation. Otherwise it updates which jobs may run beside it.
func (p *Planner) review(now float64, r *reservation) {
	t := r.target
	if f := r.flow; f != nil {
		reason := reasonCount
		switch {
		case !t.up:
			reason = TargetLeft
		case t.cold:
			reason = TargetCold
		case t.usableFrom > f.latestStart || t.usableFrom > now+1000:
			reason = TargetUnhealthy
		case r.slots > t.slots+slotTolerance:
			reason = TargetLeft // the target restarted with fewer slots
		case now-r.since > p.config.MaxDuration:
			reason = Expired
		case now > f.latestStart:
			reason = TooLate
		}
		if reason == reasonCount && p.config.Mode != Emptying {
			readyAt := p.freeAt(now, t, r.slots, r.since)
			if max(readyAt, t.usableFrom) > f.latestStart {
				reason = TooLate
			}
			if p.memoryShort(f, t, readyAt) {
				reason = NoMemory
			}
			r.neededAt = max(readyAt, t.usableFrom, now)
		}
		if reason != reasonCount {
			p.move(now, r, reason)
			return
		}
	}
	p.notifyHost(now, r)
}

// memoryShort reports whether t will lack memory for f at the given time. It counts the memory that
// is reported free now and the memory of the jobs that end until then. p.expectedEnds must be that of t.
func (p *Planner) memoryShort(f *flow, t *target, at float64) bool {
	if f.memory <= 0 || t.memory < 0 {
		return false
	}
	free := t.memory
	for _, job := range p.expectedEnds {
		if job.at <= at {
			free += job.memory
		}
	}
	return free < f.memory-memoryTolerance
}

// notifyHost sends the host the current state of a reservation, if it changed since the last
// notification.
func (p *Planner) notifyHost(now float64, r *reservation) {
	t, spareSlots, backfillSlots := r.target, 0.0, 0.0
	if p.config.Mode == Backfill {
		free := t.slots - t.busy
		for _, f := range t.attempts {
			if p.expectedEndOf(now, t, f, p.backfillQuantile) <= r.neededAt {
				free += f.need
			}
		}
		if others := math.Round(t.busy - t.ownSlots()); others > 0 && p.runTimes.all.known {
			free += math.Floor(others * p.runTimes.all.cumulative((r.neededAt-min(now, r.since))/t.slowdown))
		}
		spareSlots = max(0, math.Floor(free-r.slots+slotTolerance))
		backfillSlots = p.config.LargeSlots - slotTolerance
	}
	unchanged := r.notified && r.spareSlots == spareSlots
	for class := range r.backfillUntil {
		until := math.Inf(-1)
		if p.config.Mode == Backfill {
			until = r.neededAt - p.backfillRunTime(class)*t.slowdown
		}
		if d := until - r.backfillUntil[class]; d > 2 || d < -2 {
			unchanged = false
		}
		r.backfillUntil[class] = until
	}
	if unchanged {
		return
	}
	r.notified, r.spareSlots = true, spareSlots
	action := Action{Kind: Reserve, Target: t.id, SpareSlots: spareSlots, BackfillSlots: backfillSlots, BackfillUntil: r.backfillUntil}
	if r.flow != nil {
		action.Flow = r.flow.id
	}
	p.actions = append(p.actions, action)
}

// backfillRunTime returns the run time, in ms, that a small job of a class does not exceed with the
// confidence that backfilling needs. It is infinite until run times are known.
func (p *Planner) backfillRunTime(class int) (ms float64) {
	for i, slots := range p.sizes {
		if i > 0 && slots >= p.config.LargeSlots {
			break
		}
		learned := p.runTimes.find(class, i)
		if learned == nil {
			return math.Inf(1)
		}
		ms = max(ms, learned.quantile(p.backfillQuantile))
	}
	return ms
}

// move releases a reservation and searches another target for its flow.
func (p *Planner) move(now float64, r *reservation, reason Reason) {
	f := r.flow
	p.release(now, r, reason)
	if reason == Expired {
		f.reservationCount = maxReservationRetries + 1 // the time limit of a reservation applies to its flow, at whichever target
	}
	if f != nil && f.queued && f.queueIndex >= 0 {
		p.reserve(now, f)
	}
}

// release removes a reservation and notifies the host. The next reservation at the target, if any,
// takes effect.
func (p *Planner) release(now float64, r *reservation, reason Reason) {
	t := r.target
	p.Counts.Released[reason]++
	p.reservedSlots -= r.slots
	p.lastReservedAt = now
	if f := r.flow; f != nil {
		f.reservation = nil
		f.tenant.reservedSlots -= r.slots
		last := len(p.reservations) - 1
		p.reservations[r.index], p.reservations[last].index = p.reservations[last], r.index
		p.reservations[last] = nil
		p.reservations, t.ownReservation = p.reservations[:last], nil
	} else {
		t.peerReservations = slices.DeleteFunc(t.peerReservations, func(other *reservation) bool { return other == r })
		p.peerReservations[r.scheduler] = slices.DeleteFunc(p.peerReservations[r.scheduler], func(other *reservation) bool { return other == r })
	}
	if t.reservation == r {
		t.reservation = nil
		action := Action{Kind: Release, Target: t.id, Reason: reason}
		if r.flow != nil {
			action.Flow = r.flow.id
		}
		p.actions = append(p.actions, action)
		if len(t.peerReservations) > 0 && t.up {
			p.resolve(now, t)
		}
	}
	p.freeReservations = append(p.freeReservations, r)
	if !t.dirty {
		t.dirty = true
		p.dirty = append(p.dirty, t)
	}
	p.removeUnused(t)
}

// hasPrecedence reports whether a takes precedence over b at one target. The larger reservation does.
// Ties are broken by the schedulers' numbers, rotated by the target's hash so that no scheduler always
// loses. Each scheduler knows all of these values once it has received the other's reservation, so both
// reach the same result without further messages.
func (p *Planner) hasPrecedence(a, b *reservation) bool {
	if x, y := math.Ceil(a.slots), math.Ceil(b.slots); x != y {
		return x > y
	}
	n, offset := p.config.Fleet, int(a.target.hash%uint32(p.config.Fleet))
	return (a.scheduler+offset)%n < (b.scheduler+offset)%n
}

// resolve makes the reservation at t with the highest precedence the effective one. An own reservation
// that loses is released, and another target is searched for its flow.
func (p *Planner) resolve(now float64, t *target) {
	own := t.ownReservation
	best := own
	for _, r := range t.peerReservations {
		if best == nil || p.hasPrecedence(r, best) {
			best = r
		}
	}
	if t.reservation = best; best != nil {
		best.notified = false
		p.review(now, best)
	}
	if own != nil && best != own {
		p.move(now, own, Superseded)
	}
}
