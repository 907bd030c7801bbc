package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file holds the queue of requests at this dispatcher and the order in which they are sent.

// placeQueued sends the queued requests for which a worker has capacity, by priority and then by value.
func (b *Balancer) placeQueued(now time.Duration) {
	for _, r := range b.queued {
		r.value = b.value(now, r)
		b.topValue = max(b.topValue*0.999, r.value)
	}
	slices.SortStableFunc(b.queued, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(y.value, x.value))
	})
	remaining, misses := b.queued[:0], 0
	for _, r := range b.queued {
		if (misses < 4 || r.reservedAt != nil) && b.maySendNow(now, r) {
			if w := b.draw(now, r); w != nil {
				r.queued = false
				b.send(now, r, w)
				continue
			}
			misses++
		}
		remaining = append(remaining, r)
	}
	clear(b.queued[len(remaining):])
	b.queued = remaining
	if len(remaining) > 0 && !b.queueTimerSet {
		b.queueTimerSet = true
		b.emit(Action{Kind: Wake, Timer: queueTimer, After: max(2*b.settings.Tick, 10*time.Millisecond)})
	}
}

// value returns the value of r for each second of a slot that it takes, times the probability that it is
// still within its latency target.
func (b *Balancer) value(now time.Duration, r *request) float64 {
	c := r.class
	value := c.Value / r.slots
	if !b.settings.ByWork {
		value /= max(r.work, 1e-3)
	}
	// Which of a tenant's requests are beyond its share is unknown, so each gets the average value.
	if part, beyond := b.tenantParts[r.tenant]; beyond && now < b.tenantPartsUntil {
		value *= part + (1-part)*b.settings.BeyondShareValue
	}
	// The score also depends on the worst-served class, so a class that is served worse has more weight.
	bestServed := c.servedShare
	for _, x := range b.classes {
		bestServed = max(bestServed, x.servedShare)
	}
	value *= 1 + b.settings.Goal.WorstClass/max(1e-9, b.settings.Goal.Whole+b.settings.Goal.WorstClass)*
		min(3, worstClassGain*(bestServed-c.servedShare))
	probability := b.onTimeProbability(r, (now - r.firstTryAt).Seconds())
	return value * (probability + (1-probability)*c.LateShare)
}

// onTimeProbability returns the probability that r meets its latency target if it starts after it waited the
// given number of seconds. Its work is assumed to be exponentially distributed. While all workers run slowly
// because of a shared fault, only short jobs can meet the target.
func (b *Balancer) onTimeProbability(r *request, waited float64) float64 {
	slack, gain := r.class.LatencyTarget.Seconds()-waited, (r.class.Stretch-b.slowdown())*max(r.work, 1e-3)
	switch {
	case slack >= 0 && gain >= 0:
		return 1
	case gain > 0:
		return math.Exp(slack / gain)
	case slack > 0:
		return 1 - math.Exp(slack/gain)
	}
	return 0
}

// slowdown returns the recent run time of jobs as a multiple of the usual one.
func (b *Balancer) slowdown() float64 {
	return (b.ranSeconds + b.meanJobSeconds) / (b.expectedSeconds + b.meanJobSeconds + 1e-9)
}
