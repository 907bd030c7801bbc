package backfill

import (
	"math"
	"slices"
)

// This file maintains the planner's targets: their slots, the attempts there, and the distinct sizes of
// jobs.

// targetUp adds a listed target, or updates it.
func (p *Planner) targetUp(now float64, ev *Event) {
	t := p.targets[ev.Target]
	if t == nil {
		if len(p.targets) >= MaxTargets {
			p.Counts.OverLimit++
			return
		}
		p.lastOrder++
		t = &target{id: ev.Target, order: p.lastOrder, memory: -1, slowdown: 1}
		p.targets[t.id] = t
		for i := range t.heapIndex {
			t.heapIndex[i], t.readyAt[i] = -1, math.Inf(1)
			if i < len(p.sizes) {
				p.byReadyTime[i].push(t)
			}
		}
	}
	t.hash, t.machineKind, t.allowedClasses = ev.Hash, ev.MachineKind, ev.AllowedClasses
	if !t.up {
		t.up = true
		p.totalSlots += t.slots
	}
	p.markChanged(now, t)
}

// targetDown moves the reservations away from a target that accepts no more jobs.
func (p *Planner) targetDown(now float64, t *target) {
	if !t.up {
		return
	}
	t.up = false
	p.totalSlots -= t.slots
	for len(t.peerReservations) > 0 {
		p.release(now, t.peerReservations[0], TargetLeft)
	}
	if r := t.reservation; r != nil {
		p.move(now, r, TargetLeft)
	}
	p.markChanged(now, t)
	p.removeUnused(t)
}

// removeUnused removes a target that is not up and has no attempts of this scheduler.
func (p *Planner) removeUnused(t *target) {
	if t.up || len(t.attempts) > 0 || t.reservation != nil {
		return
	}
	for i := range p.sizes {
		if t.heapIndex[i] >= 0 {
			p.byReadyTime[i].remove(t.heapIndex[i])
		}
	}
	if t.dirty {
		p.dirty = slices.DeleteFunc(p.dirty, func(x *target) bool { return x == t })
	}
	delete(p.targets, t.id)
}

// measured updates the estimates of a target.
func (p *Planner) measured(now float64, ev *Event) {
	t := p.targets[ev.Target]
	if t == nil {
		return
	}
	if t.up {
		p.totalSlots += ev.Slots - t.slots
	}
	t.slots, t.busy, t.slowdown, t.cold, t.usableFrom = ev.Slots, ev.Busy, max(ev.Slowdown, 0.01), ev.Cold, ev.UsableFrom
	if ev.Memory >= 0 {
		t.memory = ev.Memory
	}
	t.measured = true
	p.largestSlots = max(p.largestSlots, t.slots+slotTolerance)
	p.markChanged(now, t)
}

// markChanged marks a target as changed and reviews its reservation.
func (p *Planner) markChanged(now float64, t *target) {
	if !t.dirty {
		t.dirty = true
		p.dirty = append(p.dirty, t)
	}
	if t.reservation != nil {
		p.review(now, t.reservation)
	}
}

// ownSlots returns the slots that the attempts of this scheduler use.
func (t *target) ownSlots() (slots float64) {
	for _, f := range t.attempts {
		slots += f.need
	}
	return slots
}

// sizeIndex returns the index in p.sizes for a number of slots, or -1 if it is new and can be added.
func (p *Planner) sizeIndex(need float64) int {
	i, ok := slices.BinarySearch(p.sizes, need)
	switch {
	case ok:
		return i
	case len(p.sizes) < maxSizes:
		return -1
	}
	return min(i, maxSizes-1)
}

// addSize returns the index in p.sizes for a number of slots. It adds a new number if there are fewer
// than maxSizes. As that shifts indexes, it rebuilds the targets' heaps, which happens at most six times.
func (p *Planner) addSize(need float64) int {
	if i := p.sizeIndex(need); i >= 0 {
		return i
	}
	p.sizes = append(p.sizes, need)
	slices.Sort(p.sizes)
	index, _ := slices.BinarySearch(p.sizes, need)
	for _, f := range p.flows {
		if f.size >= index {
			f.size++
		}
	}
	for class := range p.runTimes.byClass {
		copy(p.runTimes.byClass[class][index+1:], p.runTimes.byClass[class][index:])
		p.runTimes.byClass[class][index] = nil
	}
	clear(p.byReadyTime[:])
	for i := range p.sizes {
		p.byReadyTime[i] = &heap[*target]{
			less: func(a, b *target) bool {
				return a.readyAt[i] < b.readyAt[i] || a.readyAt[i] == b.readyAt[i] && a.order < b.order
			},
			setIndex: func(t *target, position int) { t.heapIndex[i] = position }}
	}
	p.dirty = p.dirty[:0]
	for _, t := range p.targetsInOrder() {
		for i := range p.sizes {
			t.readyAt[i] = math.Inf(1)
			p.byReadyTime[i].push(t)
		}
		t.dirty = true
		p.dirty = append(p.dirty, t)
	}
	return index
}
