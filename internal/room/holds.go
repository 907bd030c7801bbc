package room

import (
	"math"
	"slices"
)

// Holds once they stand: looked at again, told, moved, let go.

// review looks at held room anew: whether it still can come in time, and what fits beside it.
func (p *Planner) review(now float64, h *hold) {
	t := h.target
	if f := h.flow; f != nil {
		why := reasons
		switch {
		case !t.up:
			why = TargetLeft
		case t.cold:
			why = TargetCold
		case t.usable > f.latest || t.usable > now+1000:
			why = TargetIll
		case h.slots > t.slots+slack:
			why = TargetLeft // it restarted as a smaller one
		case now-h.since > p.c.Longest:
			why = TooLong
		case now > f.latest:
			why = Slipped
		}
		if why == reasons && p.c.Mode != Emptying {
			at := p.freeAt(now, t, h.slots, h.since)
			if max(at, t.usable) > f.latest {
				why = Slipped
			}
			if p.short(f, t, at) {
				why = NoMemory
			}
			h.from = max(at, t.usable, now)
		}
		if why != reasons {
			p.move(now, h, why)
			return
		}
	}
	p.tell(now, h)
}

// short says whether memory will be missing at t for f at the given time: what is reported
// free now, and what those give back that end till then. p.ends must be t's.
func (p *Planner) short(f *flow, t *target, at float64) bool {
	if f.mem <= 0 || t.memory < 0 {
		return false
	}
	free := t.memory
	for _, e := range p.ends {
		if e.at <= at {
			free += e.mem
		}
	}
	return free < f.mem-shortMemory
}

// tell gives the host the hold as it is now, if it is another than told before.
func (p *Planner) tell(now float64, h *hold) {
	t, spare, most := h.target, 0.0, 0.0
	if p.c.Mode == Backfill {
		free := t.slots - t.busy
		for _, f := range t.runs {
			if p.endOf(now, t, f, p.quant) <= h.from {
				free += f.need
			}
		}
		if others := math.Round(t.busy - t.own()); others > 0 && p.times.all.known {
			free += math.Floor(others * p.times.all.share((h.from-min(now, h.since))/t.slow))
		}
		spare = max(0, math.Floor(free-h.slots+slack))
		most = p.c.Large - slack
	}
	same := h.told && h.spare == spare
	for c := range h.last {
		last := math.Inf(-1)
		if p.c.Mode == Backfill {
			last = h.from - p.longest(c)*t.slow
		}
		if d := last - h.last[c]; d > 2 || d < -2 {
			same = false
		}
		h.last[c] = last
	}
	if same {
		return
	}
	h.told, h.spare = true, spare
	a := Action{Kind: Hold, Target: t.id, Spare: spare, Most: most, Last: h.last}
	if h.flow != nil {
		a.Flow = h.flow.id
	}
	p.acts = append(p.acts, a)
}

// longest is the running time that a small job of a class stays under with the confidence
// that gaps need; infinite while nothing is known.
func (p *Planner) longest(class int) (ms float64) {
	for i, s := range p.sizes {
		if i > 0 && s >= p.c.Large {
			break
		}
		b := p.times.of(class, i)
		if b == nil {
			return math.Inf(1)
		}
		ms = max(ms, b.at(p.quant))
	}
	return ms
}

// move lets a hold go and seeks room for its flow elsewhere.
func (p *Planner) move(now float64, h *hold, why Reason) {
	f := h.flow
	p.unhold(now, h, why)
	if why == TooLong {
		f.moves = maxMoves + 1 // it had its time, wherever it would be now
	}
	if f != nil && f.waits && f.at >= 0 {
		p.seek(now, f)
	}
}

// unhold lets a hold go.
func (p *Planner) unhold(now float64, h *hold, why Reason) {
	t := h.target
	p.Counts.LetGo[why]++
	p.held -= h.slots
	p.anyHeld = now
	if f := h.flow; f != nil {
		f.hold = nil
		f.tenant.held -= h.slots
		last := len(p.holds) - 1
		p.holds[h.at], p.holds[last].at = p.holds[last], h.at
		p.holds[last] = nil
		p.holds, t.mine = p.holds[:last], nil
	} else {
		t.others = slices.DeleteFunc(t.others, func(x *hold) bool { return x == h })
		p.foreign[h.who] = slices.DeleteFunc(p.foreign[h.who], func(x *hold) bool { return x == h })
	}
	if t.hold == h {
		t.hold = nil
		a := Action{Kind: LetGo, Target: t.id, Why: why}
		if h.flow != nil {
			a.Flow = h.flow.id
		}
		p.acts = append(p.acts, a)
		if len(t.others) > 0 && t.up {
			p.settle(now, t)
		}
	}
	p.spare = append(p.spare, h)
	if !t.dirty {
		t.dirty = true
		p.dirty = append(p.dirty, t)
	}
	p.prune(t)
}

// right says whether a goes before b at one target: the larger, then by the schedulers'
// numbers, turned by the target's hash so that no scheduler always gives way. Both
// schedulers know all of it once they have heard one another, and so agree without a word.
func (p *Planner) right(a, b *hold) bool {
	if x, y := math.Ceil(a.slots), math.Ceil(b.slots); x != y {
		return x > y
	}
	n, turn := p.c.Fleet, int(a.target.hash%uint32(p.c.Fleet))
	return (a.who+turn)%n < (b.who+turn)%n
}

// settle puts in force the hold at t that has most right. An own one that has less is let
// go, and its flow looks elsewhere.
func (p *Planner) settle(now float64, t *target) {
	own := t.mine
	best := own
	for _, h := range t.others {
		if best == nil || p.right(h, best) {
			best = h
		}
	}
	if t.hold = best; best != nil {
		best.told = false
		p.review(now, best)
	}
	if own != nil && best != own {
		p.move(now, own, Settled)
	}
}
