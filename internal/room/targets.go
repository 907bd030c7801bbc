package room

import (
	"math"
	"slices"
)

// Targets as the planner knows them: their size, what runs there, and which sizes of job they take.

func (p *Planner) targetUp(now float64, ev *Event) {
	t := p.targets[ev.Target]
	if t == nil {
		if len(p.targets) >= MaxTargets {
			p.Counts.Bounded++
			return
		}
		p.number++
		t = &target{id: ev.Target, number: p.number, memory: -1, slow: 1}
		p.targets[t.id] = t
		for i := range t.pos {
			t.pos[i], t.ready[i] = -1, math.Inf(1)
			if i < len(p.sizes) {
				p.ready[i].put(t)
			}
		}
	}
	t.hash, t.sort, t.can = ev.Hash, ev.Sort, ev.Can
	if !t.up {
		t.up = true
		p.slots += t.slots
	}
	p.touch(now, t)
}

func (p *Planner) targetDown(now float64, t *target) {
	if !t.up {
		return
	}
	t.up = false
	p.slots -= t.slots
	for len(t.others) > 0 {
		p.unhold(now, t.others[0], TargetLeft)
	}
	if h := t.hold; h != nil {
		p.move(now, h, TargetLeft)
	}
	p.touch(now, t)
	p.prune(t)
}

// prune forgets a target that is neither up nor has work of ours.
func (p *Planner) prune(t *target) {
	if t.up || len(t.runs) > 0 || t.hold != nil {
		return
	}
	for i := range p.sizes {
		if t.pos[i] >= 0 {
			p.ready[i].remove(t.pos[i])
		}
	}
	if t.dirty {
		p.dirty = slices.DeleteFunc(p.dirty, func(x *target) bool { return x == t })
	}
	delete(p.targets, t.id)
}

func (p *Planner) measured(now float64, ev *Event) {
	t := p.targets[ev.Target]
	if t == nil {
		return
	}
	if t.up {
		p.slots += ev.Slots - t.slots
	}
	t.slots, t.busy, t.slow, t.cold, t.usable = ev.Slots, ev.Busy, max(ev.Slow, 0.01), ev.Cold, ev.Usable
	if ev.Memory >= 0 {
		t.memory = ev.Memory
	}
	t.measured = true
	p.widest = max(p.widest, t.slots+slack)
	p.touch(now, t)
}

// touch notes that something is new at a target, and looks at what is held there at once.
func (p *Planner) touch(now float64, t *target) {
	if !t.dirty {
		t.dirty = true
		p.dirty = append(p.dirty, t)
	}
	if t.hold != nil {
		p.review(now, t.hold)
	}
}

func (t *target) own() (slots float64) {
	for _, f := range t.runs {
		slots += f.need
	}
	return slots
}

func (p *Planner) sizeOf(need float64) int {
	i, ok := slices.BinarySearch(p.sizes, need)
	switch {
	case ok:
		return i
	case len(p.sizes) < maxSizes:
		return -1
	}
	return min(i, maxSizes-1)
}

// size returns the place of a number of slots among those that are told apart, and makes
// one while there is room. As places move, the targets' heaps are made anew: six times at most.
func (p *Planner) size(need float64) int {
	if i := p.sizeOf(need); i >= 0 {
		return i
	}
	p.sizes = append(p.sizes, need)
	slices.Sort(p.sizes)
	at, _ := slices.BinarySearch(p.sizes, need)
	for _, f := range p.flows {
		if f.size >= at {
			f.size++
		}
	}
	for c := range p.times.by {
		copy(p.times.by[c][at+1:], p.times.by[c][at:])
		p.times.by[c][at] = nil
	}
	clear(p.ready[:])
	for i := range p.sizes {
		p.ready[i] = &heap[*target]{
			less: func(a, b *target) bool {
				return a.ready[i] < b.ready[i] || a.ready[i] == b.ready[i] && a.number < b.number
			},
			place: func(t *target, at int) { t.pos[i] = at }}
	}
	p.dirty = p.dirty[:0]
	for _, t := range p.inOrder() {
		for i := range p.sizes {
			t.ready[i] = math.Inf(1)
			p.ready[i].put(t)
		}
		t.dirty = true
		p.dirty = append(p.dirty, t)
	}
	return at
}
