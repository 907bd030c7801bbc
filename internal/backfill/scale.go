package backfill

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
)

// This file adjusts how many slots may be reserved, receives the reservations of other schedulers,
// processes the timer, and reports the planner's state.

// adjustScale reduces the share of the slots that may be reserved while reservations cost more small
// flows than the operator allows. The small flows that went unserved after they waited beside a
// reservation are an upper bound of that cost. Only if that bound is too high does it run trials:
// during a part of the time nothing is reserved, and flows that go unserved then would have gone
// unserved anyway. It also reduces the share if large flows fare no better with reservations than
// without.
func (p *Planner) adjustScale() {
	if p.unservedShare <= p.config.MaxSmallUnserved {
		p.trials, p.scale = false, min(1, p.scale+scaleIncrement)
		return
	}
	if !p.trials {
		p.trials, p.smallUnserved, p.largeUnserved = true, [3]decayingShare{}, [3]decayingShare{}
	}
	if p.unservedShare > maxDropRatio*p.config.MaxSmallUnserved {
		p.scale = max(minScale, p.scale*shrinkFactor)
		return
	}
	if p.smallUnserved[0].samples < minSmallSamples || p.smallUnserved[1].samples < minSmallSamples {
		return
	}
	cost := p.smallUnserved[0].share - p.smallUnserved[1].share
	noBenefit := p.largeUnserved[0].samples >= minLargeSamples && p.largeUnserved[1].samples >= minLargeSamples && p.largeUnserved[0].share >= p.largeUnserved[1].share
	// Reservations show in the unserved flows only after a delay, so the scale falls well before the
	// cost reaches the limit.
	if cost > 0.6*p.config.MaxSmallUnserved || noBenefit {
		p.scale = max(minScale, p.scale*shrinkFactor)
	} else if cost < 0.3*p.config.MaxSmallUnserved {
		p.scale = min(1, p.scale+scaleIncrement/2)
	}
}

// inTrial reports whether reservations are suspended now to measure their cost.
func (p *Planner) inTrial(now float64) bool {
	return p.trials && math.Mod(now, trialPeriod) < trialDuration
}

// peerReserved replaces the known reservations of another scheduler by those in the event.
func (p *Planner) peerReserved(now float64, ev *Event) {
	previous := p.peerReservations[ev.Peer]
	for i := len(previous) - 1; i >= 0; i-- {
		r := previous[i]
		if !slices.ContainsFunc(ev.Reservations, func(reported PeerReservation) bool {
			return reported.Target == r.target.id && reported.Slots == r.slots
		}) {
			p.release(now, r, NotReported)
			previous = p.peerReservations[ev.Peer]
		}
	}
	for _, reported := range ev.Reservations {
		t := p.targets[reported.Target]
		if t == nil || !t.up {
			continue
		}
		if i := slices.IndexFunc(t.peerReservations, func(r *reservation) bool { return r.scheduler == ev.Peer }); i >= 0 {
			r := t.peerReservations[i]
			r.neededAt = reported.From
			if t.reservation == r {
				p.review(now, r)
			}
			continue
		}
		r := &reservation{target: t, scheduler: ev.Peer, slots: reported.Slots, neededAt: reported.From, since: now, backfillUntil: make([]float64, len(p.config.Classes))}
		t.peerReservations = append(t.peerReservations, r)
		p.peerReservations[ev.Peer] = append(p.peerReservations[ev.Peer], r)
		p.reservedSlots += r.slots
		p.resolve(now, t)
	}
}

// tick reviews the reservations, and searches a target for the queued large flows without one, the
// most urgent first.
func (p *Planner) tick(now float64) {
	// A change at a target triggers a review of its reservation. This covers reservations whose targets
	// do not change while time passes.
	for range min(maxReviewsPerTick, len(p.reservations)) {
		if len(p.reservations) == 0 {
			break
		}
		p.nextReview = (p.nextReview + 1) % len(p.reservations)
		p.review(now, p.reservations[p.nextReview])
	}
	var requeue [4 * maxSearchesPerTick]*flow
	n := 0
	for searches := 0; n < len(requeue) && len(p.queue.items) > 0 && searches < maxSearchesPerTick; {
		f := p.queue.remove(0)
		if now > f.latestStart || f.reservationCount > maxReservationRetries { // no reservation can serve it any more
			continue
		}
		if f.reservation == nil {
			p.reserve(now, f)
			searches++
		}
		requeue[n] = f
		n++
	}
	for _, f := range requeue[:n] {
		if f.queued && f.queueIndex < 0 {
			p.queue.push(f)
		}
	}
}

// targetsInOrder returns the targets in the order in which they were first listed. Map order would
// make the actions differ for the same events.
func (p *Planner) targetsInOrder() []*target {
	return slices.SortedFunc(maps.Values(p.targets), func(a, b *target) int { return cmp.Compare(a.order, b.order) })
}

// Targets returns the names of the targets that are up, in the order in which they were first listed.
func (p *Planner) Targets() (ids []string) {
	for _, t := range p.targetsInOrder() {
		if t.up {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// Trials returns the share of the small flows that went unserved with reservations, and without them
// during trials. active reports whether trials are being run.
func (p *Planner) Trials() (withReservations, withoutReservations float64, active bool) {
	return p.smallUnserved[0].share, p.smallUnserved[1].share, p.trials
}

// LogValue returns the planner's counters for the stats in the log. docs/ROOM.md explains the keys.
func (p *Planner) LogValue() slog.Value {
	c := &p.Counts
	withReservations, withoutReservations, trialsActive := p.Trials()
	attrs := []slog.Attr{slog.Int("held", c.Reserved), slog.Int("moved", c.Moved), slog.Int("now", len(p.reservations)), slog.Int("gaps", c.Backfilled), slog.Int("wrong", c.BackfilledLate),
		slog.Int("too_large", c.TooLarge), slog.Int("untenable", c.NoUsefulStart), slog.Int("refused", c.Refused), slog.Int("bounded", c.OverLimit),
		slog.Float64("scale", round(p.scale)), slog.Float64("drop", round(p.unservedShare)), slog.Bool("doubt", trialsActive),
		slog.Float64("unserved_held", round(withReservations)), slog.Float64("unserved_without", round(withoutReservations)), slog.Float64("quantile", round(p.backfillQuantile))}
	for reason, n := range c.Released {
		if n > 0 {
			attrs = append(attrs, slog.Int(Reason(reason).String(), n))
		}
	}
	return slog.GroupValue(attrs...)
}

// round rounds to three decimal places.
func round(x float64) float64 { return math.Round(1000*x) / 1000 }
