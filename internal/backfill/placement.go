package backfill

import (
	"cmp"
	"math"
	"slices"
)

// This file decides at which target, and from when, slots are reserved for a queued flow.

// flowOf returns the flow of an event and creates it if it is new. It returns nil if the class is
// unknown or the limit on flows is reached.
func (p *Planner) flowOf(now float64, ev *Event) *flow {
	if f := p.flows[ev.Flow]; f != nil {
		return f
	}
	class, ok := p.classes[ev.Class]
	if !ok || len(p.flows) >= MaxFlows {
		p.Counts.OverLimit++
		return nil
	}
	var f *flow
	if n := len(p.freeFlows); n > 0 {
		f, p.freeFlows = p.freeFlows[n-1], p.freeFlows[:n-1]
	} else {
		f = &flow{}
	}
	*f = flow{id: ev.Flow, class: class, need: max(ev.Need, 1), memory: ev.Memory, machineKind: ev.MachineKind, queueIndex: -1}
	f.size, f.inTrial = p.addSize(f.need), p.inTrial(now)
	f.trialSettling = f.inTrial && math.Mod(now, trialPeriod) < trialSettleTime
	f.large = f.need >= p.config.LargeSlots
	p.flows[f.id] = f
	return f
}

// tenantOf returns the account of a tenant. Tenants beyond maxTenants share one.
func (p *Planner) tenantOf(name string) *tenant {
	t := p.tenants[name]
	if t == nil {
		if len(p.tenants) >= maxTenants {
			name = ""
			if t = p.tenants[name]; t != nil {
				return t
			}
		}
		t = &tenant{}
		p.tenants[name] = t
	}
	return t
}

// flowQueued records a flow that waits for a target, and reserves slots for it if it is large.
func (p *Planner) flowQueued(now float64, ev *Event) {
	f := p.flowOf(now, ev)
	if f == nil || f.done || f.target != nil {
		return // the flow is done, or an attempt of it is running
	}
	f.queued, f.queuedAt, f.latestStart, f.besideReservation = true, now, ev.LatestStart, false
	f.tenant = p.tenantOf(ev.Tenant)
	if !f.large {
		return
	}
	if f.queueIndex < 0 {
		p.queue.push(f)
	} else {
		p.queue.fix(f.queueIndex)
	}
	p.reserve(now, f)
}

// reserve reserves slots for a large flow at the target where it can start first, if that is before
// its latest useful start and the limits allow it.
func (p *Planner) reserve(now float64, f *flow) {
	if f.reservation != nil || f.reservationCount > maxReservationRetries || now > f.latestStart {
		return
	}
	if p.inTrial(now) {
		return
	}
	budget := p.config.Share * p.scale * p.totalSlots
	if p.reservedSlots == 0 && p.scale >= initialScale { // in a small group, one reservation may exceed the scaled budget
		budget = p.config.Share * p.totalSlots
	}
	if p.reservedSlots+f.need > budget || f.tenant.reservedSlots > 0 && f.tenant.reservedSlots+f.need > p.config.TenantShare*budget {
		p.Counts.Refused++
		return
	}
	t, neededAt := p.earliestTarget(now, f)
	if t == nil {
		return
	}
	var r *reservation
	if n := len(p.freeReservations); n > 0 {
		r, p.freeReservations = p.freeReservations[n-1], p.freeReservations[:n-1]
	} else {
		r = &reservation{backfillUntil: make([]float64, len(p.config.Classes))}
	}
	*r = reservation{target: t, flow: f, scheduler: p.config.Self, slots: f.need, neededAt: neededAt, since: now, backfillUntil: r.backfillUntil}
	f.reservation = r
	f.reservationCount++
	r.index, t.ownReservation = len(p.reservations), r
	p.reservations = append(p.reservations, r)
	p.reservedSlots += r.slots
	f.tenant.reservedSlots += r.slots
	p.lastReservedAt = now
	p.Counts.Reserved++
	if f.reservationCount > 1 {
		p.Counts.Moved++
	}
	p.resolve(now, t)
}

// earliestTarget returns the target at which f can start first, and that time; nil if there is none.
// The targets are in a heap by the time at which enough slots are expected to be free. That time is as
// old as the last change at the target, so it is recomputed before it is used.
func (p *Planner) earliestTarget(now float64, f *flow) (best *target, neededAt float64) {
	for _, t := range p.dirty {
		t.dirty = false
		for i, slots := range p.sizes {
			if slots >= p.config.LargeSlots {
				t.readyAt[i] = p.readyAt(now, t, slots)
				p.byReadyTime[i].fix(t.heapIndex[i])
			}
		}
	}
	p.dirty = p.dirty[:0]
	targets, need := p.byReadyTime[f.size], max(f.need, p.sizes[f.size])
	p.rejected = p.rejected[:0]
	for checked := 0; checked < maxTargetsChecked && len(targets.items) > 0; checked++ {
		t := targets.items[0]
		if t.readyAt[f.size] > f.latestStart {
			break
		}
		if readyAt := p.readyAt(now, t, need); readyAt > t.readyAt[f.size]+0.5 {
			t.readyAt[f.size] = readyAt
			targets.fix(0)
			continue
		}
		if p.canServe(now, t, f) {
			best, neededAt = t, max(now, t.readyAt[f.size])
			break
		}
		p.rejected = append(p.rejected, targets.remove(0))
	}
	for _, t := range p.rejected {
		targets.push(t)
	}
	if best == nil && len(targets.items) > 0 && f.need > p.largestTargetSlots(now) {
		p.Counts.TooLarge++
		f.reservationCount = maxReservationRetries + 1
	} else if best == nil {
		p.Counts.NoUsefulStart++
	}
	return best, neededAt
}

// largestTargetSlots returns the number of slots of the largest target. The value may be up to
// adjustInterval old.
func (p *Planner) largestTargetSlots(now float64) float64 {
	if now >= p.largestExpiresAt {
		p.largestSlots, p.largestExpiresAt = 0, now+adjustInterval
		for _, t := range p.targets {
			if t.up {
				p.largestSlots = max(p.largestSlots, t.slots+slotTolerance)
			}
		}
	}
	return p.largestSlots
}

// canServe reports whether slots at t may be reserved for f.
func (p *Planner) canServe(now float64, t *target, f *flow) bool {
	return t.reservation == nil && (f.machineKind == "" || f.machineKind == t.machineKind) && t.runsClass(p.config.Classes[f.class]) &&
		!p.memoryShort(f, t, p.readyAt(now, t, f.need))
}

// runsClass reports whether a target runs jobs of a class.
func (t *target) runsClass(class string) bool {
	if t.allowedClasses == "" {
		return true
	}
	for rest := t.allowedClasses; len(rest) > len(class)+1; rest = rest[1:] {
		if rest[0] == ',' && rest[1:len(class)+1] == class && rest[len(class)+1] == ',' {
			return true
		}
	}
	return false
}

// readyAt returns when the given number of slots is expected to be free at t. It is infinite for a
// target that accepts no jobs or has a reservation. It leaves the expected ends in p.expectedEnds, the
// earliest first.
func (p *Planner) readyAt(now float64, t *target, slots float64) float64 {
	p.expectedEnds = p.expectedEnds[:0]
	if !t.up || !t.measured || t.cold || t.reservation != nil || slots > t.slots+slotTolerance || t.usableFrom > now+1000 {
		return math.Inf(1)
	}
	if p.config.Mode == Emptying { // the emptiest target first, whatever it runs
		return now + max(0, t.busy+slots-t.slots)*0.001
	}
	return max(p.freeAt(now, t, slots, now), t.usableFrom)
}

// freeAt estimates when the given number of slots is free at t. The work of other schedulers is known to
// have been there since the given time, at least.
func (p *Planner) freeAt(now float64, t *target, slots, since float64) float64 {
	p.expectedEnds = p.expectedEnds[:0]
	free, ownSlots, ownMemory := t.slots-t.busy, 0.0, 0.0
	for i, f := range t.attempts {
		ownSlots, ownMemory = ownSlots+f.need, ownMemory+f.memory
		if i >= maxRunsPerTarget {
			continue
		}
		p.expectedEnds = append(p.expectedEnds, expectedEnd{p.expectedEndOf(now, t, f, endQuantile), f.need, f.memory})
	}
	if otherJobs := min(math.Round(t.busy-ownSlots), maxRunsPerTarget); otherJobs > 0 {
		// Only the number of slots is known of the jobs of other schedulers. Their progress is assumed to
		// be evenly distributed.
		memoryEach := 0.0
		if t.memory >= 0 {
			memoryEach = max(0, t.slots-t.memory-ownMemory) / otherJobs
		}
		for i := 1.0; i <= otherJobs; i++ {
			remaining := 200.0 * i / (otherJobs + 1)
			if learned := p.runTimes.all; learned.known {
				remaining = learned.remaining(i/(otherJobs+1), (now-since)/t.slowdown) * t.slowdown
			}
			p.expectedEnds = append(p.expectedEnds, expectedEnd{now + remaining, 1, memoryEach})
		}
	}
	if free >= slots-slotTolerance {
		return now
	}
	slices.SortFunc(p.expectedEnds, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
	for _, e := range p.expectedEnds {
		if free += e.slots; free >= slots-slotTolerance {
			return e.at
		}
	}
	return math.Inf(1)
}

// expectedEndOf returns when the attempt of f at t is expected to end, at a quantile of the learned run
// times.
func (p *Planner) expectedEndOf(now float64, t *target, f *flow, quantile float64) float64 {
	if learned := p.runTimes.find(f.class, f.size); learned != nil {
		return now + learned.remaining(quantile, (now-f.startedAt)/t.slowdown)*t.slowdown
	}
	return now + 200*t.slowdown
}
