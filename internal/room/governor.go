package room

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
)

// How much may be held, the ticks by which that is judged, and the planner's account.

// governor holds less while small flows lose more by it than the operator allows. Those that
// went unserved after they waited beside held room are the most that it can have cost. Only
// where that is too much does it look closer: for a part of the time nothing is held, and
// what goes unserved then would have anyway. Large flows that fare no better with held room
// than without are a reason to hold less, too.
func (p *Planner) governor() {
	if p.drop <= p.c.SmallDrop {
		p.doubt, p.scale = false, min(1, p.scale+growStep)
		return
	}
	if !p.doubt {
		p.doubt, p.miss, p.lack = true, [3]missed{}, [3]missed{}
	}
	if p.drop > dropMost*p.c.SmallDrop {
		p.scale = max(leastScale, p.scale*shrinkStep)
		return
	}
	if p.miss[0].n < missEnough || p.miss[1].n < missEnough {
		return
	}
	cost := p.miss[0].share - p.miss[1].share
	vain := p.lack[0].n >= lackEnough && p.lack[1].n >= lackEnough && p.lack[0].share >= p.lack[1].share
	// What is held now shows in what goes unserved a while later, so it turns back early.
	if cost > 0.6*p.c.SmallDrop || vain {
		p.scale = max(leastScale, p.scale*shrinkStep)
	} else if cost < 0.3*p.c.SmallDrop {
		p.scale = min(1, p.scale+growStep/2)
	}
}

// onTrial says whether nothing is held now, so that it shows what held room costs.
func (p *Planner) onTrial(now float64) bool {
	return p.doubt && math.Mod(now, trialEvery) < trialFor
}

// heard takes in all that another scheduler holds now.
func (p *Planner) heard(now float64, ev *Event) {
	old := p.foreign[ev.Who]
	for i := len(old) - 1; i >= 0; i-- {
		h := old[i]
		if !slices.ContainsFunc(ev.Holds, func(x Foreign) bool { return x.Target == h.target.id && x.Slots == h.slots }) {
			p.unhold(now, h, Unheard)
			old = p.foreign[ev.Who]
		}
	}
	for _, x := range ev.Holds {
		t := p.targets[x.Target]
		if t == nil || !t.up {
			continue
		}
		if i := slices.IndexFunc(t.others, func(h *hold) bool { return h.who == ev.Who }); i >= 0 {
			h := t.others[i]
			h.from = x.From
			if t.hold == h {
				p.review(now, h)
			}
			continue
		}
		h := &hold{target: t, who: ev.Who, slots: x.Slots, from: x.From, since: now, last: make([]float64, len(p.c.Classes))}
		t.others = append(t.others, h)
		p.foreign[ev.Who] = append(p.foreign[ev.Who], h)
		p.held += h.slots
		p.settle(now, t)
	}
}

// tick looks again at what is held and at the large flows that wait, the most urgent first.
func (p *Planner) tick(now float64) {
	// News of a target has its hold looked at; this is for time that goes by without any.
	for range min(reviewMost, len(p.holds)) {
		if len(p.holds) == 0 {
			break
		}
		p.turn = (p.turn + 1) % len(p.holds)
		p.review(now, p.holds[p.turn])
	}
	var again [4 * tryMost]*flow
	n := 0
	for sought := 0; n < len(again) && len(p.queue.items) > 0 && sought < tryMost; {
		f := p.queue.remove(0)
		if now > f.latest || f.moves > maxMoves { // no room can serve it any more
			continue
		}
		if f.hold == nil {
			p.seek(now, f)
			sought++
		}
		again[n] = f
		n++
	}
	for _, f := range again[:n] {
		if f.waits && f.at < 0 {
			p.queue.put(f)
		}
	}
}

// inOrder lists the targets in the order of their coming, not of the map: the same events
// must give the same actions.
func (p *Planner) inOrder() []*target {
	return slices.SortedFunc(maps.Values(p.targets), func(a, b *target) int { return cmp.Compare(a.number, b.number) })
}

// Targets names the targets that are up, in the order of their coming.
func (p *Planner) Targets() (ids []string) {
	for _, t := range p.inOrder() {
		if t.up {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// Trials is what share of the small flows went unserved while room was held and, in trials,
// while none was; doubt says whether the governor makes any.
func (p *Planner) Trials() (held, without float64, doubt bool) {
	return p.miss[0].share, p.miss[1].share, p.doubt
}

// LogValue is the planner's account for the books. docs/ROOM.md explains the words.
func (p *Planner) LogValue() slog.Value {
	c := &p.Counts
	held, without, doubt := p.Trials()
	attrs := []slog.Attr{slog.Int("held", c.Held), slog.Int("moved", c.Moved), slog.Int("now", len(p.holds)), slog.Int("gaps", c.Gaps), slog.Int("wrong", c.Wrong),
		slog.Int("too_large", c.TooLarge), slog.Int("untenable", c.Untenable), slog.Int("refused", c.Refused), slog.Int("bounded", c.Bounded),
		slog.Float64("scale", round(p.scale)), slog.Float64("drop", round(p.drop)), slog.Bool("doubt", doubt),
		slog.Float64("unserved_held", round(held)), slog.Float64("unserved_without", round(without)), slog.Float64("quantile", round(p.quant))}
	for why, n := range c.LetGo {
		if n > 0 {
			attrs = append(attrs, slog.Int(Reason(why).String(), n))
		}
	}
	return slog.GroupValue(attrs...)
}

func round(x float64) float64 { return math.Round(1000*x) / 1000 }
