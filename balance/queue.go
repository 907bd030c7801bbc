package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The requests that are held here, and which of them goes first.

// place sends what is held and has room: by priority, then the most worth for the work first.
func (b *Balancer) place(now time.Duration) {
	for _, r := range b.held {
		r.value = b.value(now, r)
		b.top = max(b.top*0.999, r.value)
	}
	slices.SortStableFunc(b.held, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(y.value, x.value))
	})
	kept, misses := b.held[:0], 0
	for _, r := range b.held {
		if (misses < 4 || r.kept != nil) && b.mayGo(now, r) {
			if w := b.draw(now, r); w != nil {
				r.held = false
				b.send(now, r, w)
				continue
			}
			misses++
		}
		kept = append(kept, r)
	}
	clear(b.held[len(kept):])
	b.held = kept
	if len(kept) > 0 && !b.ticking {
		b.ticking = true
		b.do(Action{Kind: Wake, Timer: tickTimer, After: max(2*b.s.Tick, 10*time.Millisecond)})
	}
}

// value is the worth of r for each second of a slot that it takes, times the chance that it is still in time.
func (b *Balancer) value(now time.Duration, r *request) float64 {
	c := r.class
	v := c.Worth / r.slots
	if !b.s.ByWork {
		v /= max(r.work, 1e-3)
	}
	if p, beyond := b.parts[r.tenant]; beyond && now < b.partsTo { // of any of them, as nothing tells which
		v *= p + (1-p)*b.s.BeyondWorth
	}
	// The result hangs on the worst-served class, too: the worse one is served, the sooner its jobs go.
	best := c.met
	for _, x := range b.classes {
		best = max(best, x.met)
	}
	v *= 1 + b.s.Goal.WorstClass/max(1e-9, b.s.Goal.Whole+b.s.Goal.WorstClass)*min(3, metGain*(best-c.met))
	p := b.chance(r, (now - r.arrived).Seconds())
	return v * (p + (1-p)*c.Late)
}

// chance is how likely r is in time if it starts after so many seconds, its work taken as exponential about
// the mean. While all run slowly (a fault that all share), only short jobs have a chance.
func (b *Balancer) chance(r *request, waited float64) float64 {
	spare, gain := r.class.Aim.Seconds()-waited, (r.class.Stretch-b.pace())*max(r.work, 1e-3)
	switch {
	case spare >= 0 && gain >= 0:
		return 1
	case gain > 0:
		return math.Exp(spare / gain)
	case spare > 0:
		return 1 - math.Exp(spare/gain)
	}
	return 0
}

// pace is how much longer than usual jobs run now.
func (b *Balancer) pace() float64 { return (b.ran + b.runMean) / (b.expected + b.runMean + 1e-9) }
