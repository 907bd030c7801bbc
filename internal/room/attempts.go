package room

import (
	"slices"
)

// What attempts tell the planner: their begin, their end, the end of their flow.

func (p *Planner) begun(now float64, ev *Event) {
	f, t := p.flow(now, ev), p.targets[ev.Target]
	if f == nil || t == nil || f.on != nil {
		return
	}
	f.besideHold = f.waits && p.anyHeldSince(f.waitFrom)
	f.waits = false
	if f.at >= 0 {
		p.queue.remove(f.at)
	}
	if h := f.hold; h != nil {
		why := Elsewhere
		if h.target == t {
			why = Placed
		}
		p.unhold(now, h, why)
	}
	f.gapUntil = 0
	if h := t.hold; h != nil && f.need > h.spare && now <= h.last[f.class] {
		f.gapUntil = h.from
		p.Counts.Gaps++
	}
	if t.hold != nil {
		t.hold.told = false // the host reckons with less from now on, and is told anew
	}
	f.on, f.ranFrom, f.started = t, now, false
	t.runs = append(t.runs, f)
	t.busy += f.need // until it is measured
	p.touch(now, t)
}

func (p *Planner) ended(now float64, ev *Event) {
	f := p.flows[ev.Flow]
	if f == nil || f.on == nil {
		return
	}
	t := f.on
	if ev.OK {
		p.times.add(f.class, f.size, (now-f.ranFrom)/t.slow)
	}
	if f.gapUntil > 0 {
		// The quantile goes up with each wrong guess and down with each right one, so that
		// the share of wrong ones comes to what the operator allows.
		if now > f.gapUntil {
			p.Counts.Wrong++
			p.quant += gapGain * p.c.Confidence
		} else {
			p.quant -= gapGain * (1 - p.c.Confidence)
		}
		p.quant = min(topQuantile, max(0.5, p.quant))
		f.gapUntil = 0
	}
	t.runs = slices.DeleteFunc(t.runs, func(x *flow) bool { return x == f })
	t.busy = max(0, t.busy-f.need)
	f.on = nil
	p.touch(now, t)
	p.prune(t)
	if f.done {
		p.forget(f)
	}
}

func (p *Planner) over(now float64, ev *Event) {
	f := p.flows[ev.Flow]
	if f == nil {
		return
	}
	k, miss := 0, 0.0
	if f.trial {
		k = 1
	}
	if f.unclear {
		k = 2
	}
	if !ev.OK {
		miss = 1
	}
	if f.large {
		p.lack[k].add(miss)
	} else {
		p.miss[k].add(miss)
		p.Counts.SmallOver++
		hit := 0.0
		if !ev.OK && (f.besideHold || f.waits && p.anyHeldSince(f.waitFrom)) {
			hit = 1
			p.Counts.SmallHit++
		}
		p.drop = dropForget*p.drop + (1-dropForget)*hit
		if now >= p.govern {
			p.govern = now + governEvery
			p.governor()
		}
	}
	if f.at >= 0 {
		p.queue.remove(f.at)
	}
	f.waits = false
	if f.hold != nil {
		p.unhold(now, f.hold, Answered)
	}
	if f.done = true; f.on == nil {
		p.forget(f)
	}
}

func (p *Planner) anyHeldSince(at float64) bool { return len(p.holds) > 0 || p.anyHeld >= at }

// forget gives a flow's place back. One that is over with an attempt out is forgotten at its end.
func (p *Planner) forget(f *flow) {
	delete(p.flows, f.id)
	p.free = append(p.free, f)
}
