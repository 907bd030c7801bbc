package room

import (
	"cmp"
	"math"
	"slices"
)

// Where and from when room is held for a flow that waits.

// flow returns the flow of an id, new if need be; nil where the planner keeps no more.
func (p *Planner) flow(now float64, ev *Event) *flow {
	if f := p.flows[ev.Flow]; f != nil {
		return f
	}
	class, ok := p.classes[ev.Class]
	if !ok || len(p.flows) >= MaxFlows {
		p.Counts.Bounded++
		return nil
	}
	var f *flow
	if n := len(p.free); n > 0 {
		f, p.free = p.free[n-1], p.free[:n-1]
	} else {
		f = &flow{}
	}
	*f = flow{id: ev.Flow, class: class, need: max(ev.Need, 1), mem: ev.Memory, sort: ev.Sort, at: -1}
	f.size, f.trial = p.size(f.need), p.onTrial(now)
	f.unclear = f.trial && math.Mod(now, trialEvery) < trialAfter
	f.large = f.need >= p.c.Large
	p.flows[f.id] = f
	return f
}

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

func (p *Planner) waits(now float64, ev *Event) {
	f := p.flow(now, ev)
	if f == nil || f.done || f.on != nil {
		return // it is over, or not waiting at all
	}
	f.waits, f.waitFrom, f.latest, f.besideHold = true, now, ev.Latest, false
	f.tenant = p.tenantOf(ev.Tenant)
	if !f.large {
		return
	}
	if f.at < 0 {
		p.queue.put(f)
	} else {
		p.queue.fix(f.at)
	}
	p.seek(now, f)
}

// seek holds room for a large flow where it can start earliest, if that is of use to it and
// the bounds allow it.
func (p *Planner) seek(now float64, f *flow) {
	if f.hold != nil || f.moves > maxMoves || now > f.latest {
		return
	}
	if p.onTrial(now) {
		return
	}
	budget := p.c.Share * p.scale * p.slots
	if p.held == 0 && p.scale >= firstScale { // in a small group, one hold may be more than that
		budget = p.c.Share * p.slots
	}
	if p.held+f.need > budget || f.tenant.held > 0 && f.tenant.held+f.need > p.c.TenantShare*budget {
		p.Counts.Refused++
		return
	}
	t, from := p.earliest(now, f)
	if t == nil {
		return
	}
	var h *hold
	if n := len(p.spare); n > 0 {
		h, p.spare = p.spare[n-1], p.spare[:n-1]
	} else {
		h = &hold{last: make([]float64, len(p.c.Classes))}
	}
	*h = hold{target: t, flow: f, who: p.c.Self, slots: f.need, from: from, since: now, last: h.last}
	f.hold = h
	f.moves++
	h.at, t.mine = len(p.holds), h
	p.holds = append(p.holds, h)
	p.held += h.slots
	f.tenant.held += h.slots
	p.anyHeld = now
	p.Counts.Held++
	if f.moves > 1 {
		p.Counts.Moved++
	}
	p.settle(now, t)
}

// earliest finds the target at which f can start first. Targets stand in a heap by when so
// many slots are expected to be free; what that says of one is as old as the last news of it,
// so that it is reckoned anew before it is believed.
func (p *Planner) earliest(now float64, f *flow) (best *target, from float64) {
	for _, t := range p.dirty {
		t.dirty = false
		for i, s := range p.sizes {
			if s >= p.c.Large {
				t.ready[i] = p.readyAt(now, t, s)
				p.ready[i].fix(t.pos[i])
			}
		}
	}
	p.dirty = p.dirty[:0]
	h, need := p.ready[f.size], max(f.need, p.sizes[f.size])
	p.tried = p.tried[:0]
	for looks := 0; looks < lookMost && len(h.items) > 0; looks++ {
		t := h.items[0]
		if t.ready[f.size] > f.latest {
			break
		}
		if at := p.readyAt(now, t, need); at > t.ready[f.size]+0.5 {
			t.ready[f.size] = at
			h.fix(0)
			continue
		}
		if p.serves(now, t, f) {
			best, from = t, max(now, t.ready[f.size])
			break
		}
		p.tried = append(p.tried, h.remove(0))
	}
	for _, t := range p.tried {
		h.put(t)
	}
	if best == nil && len(h.items) > 0 && f.need > p.largest(now) {
		p.Counts.TooLarge++
		f.moves = maxMoves + 1
	} else if best == nil {
		p.Counts.Untenable++
	}
	return best, from
}

// largest is the most slots that any target has, or had a moment ago.
func (p *Planner) largest(now float64) float64 {
	if now >= p.widestAt {
		p.widest, p.widestAt = 0, now+governEvery
		for _, t := range p.targets {
			if t.up {
				p.widest = max(p.widest, t.slots+slack)
			}
		}
	}
	return p.widest
}

// serves says whether f may wait for room at t at all.
func (p *Planner) serves(now float64, t *target, f *flow) bool {
	return t.hold == nil && (f.sort == "" || f.sort == t.sort) && t.runsClass(p.c.Classes[f.class]) &&
		!p.short(f, t, p.readyAt(now, t, f.need))
}

func (t *target) runsClass(class string) bool {
	if t.can == "" {
		return true
	}
	for rest := t.can; len(rest) > len(class)+1; rest = rest[1:] {
		if rest[0] == ',' && rest[1:len(class)+1] == class && rest[len(class)+1] == ',' {
			return true
		}
	}
	return false
}

// readyAt is when so many slots are expected to be free at t, infinite for a target that
// takes nothing or is held. It leaves the expected ends in p.ends, the earliest first.
func (p *Planner) readyAt(now float64, t *target, slots float64) float64 {
	p.ends = p.ends[:0]
	if !t.up || !t.measured || t.cold || t.hold != nil || slots > t.slots+slack || t.usable > now+1000 {
		return math.Inf(1)
	}
	if p.c.Mode == Emptying { // the emptiest first, whatever it runs
		return now + max(0, t.busy+slots-t.slots)*0.001
	}
	return max(p.freeAt(now, t, slots, now), t.usable)
}

// freeAt reckons when so many slots are free at t. Others' work was there at least since the
// given time, as far as known.
func (p *Planner) freeAt(now float64, t *target, slots, since float64) float64 {
	p.ends = p.ends[:0]
	free, own, mem := t.slots-t.busy, 0.0, 0.0
	for i, f := range t.runs {
		own, mem = own+f.need, mem+f.mem
		if i >= maxRuns {
			continue
		}
		p.ends = append(p.ends, end{p.endOf(now, t, f, endQuantile), f.need, f.mem})
	}
	if others := min(math.Round(t.busy-own), maxRuns); others > 0 {
		// Of others' jobs nothing is known but how many slots they take. Where they are in
		// their runs is taken as evenly spread.
		each := 0.0
		if t.memory >= 0 {
			each = max(0, t.slots-t.memory-mem) / others
		}
		for i := 1.0; i <= others; i++ {
			left := 200.0 * i / (others + 1)
			if b := p.times.all; b.known {
				left = b.left(i/(others+1), (now-since)/t.slow) * t.slow
			}
			p.ends = append(p.ends, end{now + left, 1, each})
		}
	}
	if free >= slots-slack {
		return now
	}
	slices.SortFunc(p.ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	for _, e := range p.ends {
		if free += e.slots; free >= slots-slack {
			return e.at
		}
	}
	return math.Inf(1)
}

// endOf is when the attempt of f at t ends, at a quantile of what is learned.
func (p *Planner) endOf(now float64, t *target, f *flow, q float64) float64 {
	if b := p.times.of(f.class, f.size); b != nil {
		return now + b.left(q, (now-f.ranFrom)/t.slow)*t.slow
	}
	return now + 200*t.slow
}
