package balance

import (
	"time"
)

// This file limits the work that a cold worker is sent after its start.

// backOffPerDispatcher is the part of a back-off for each dispatcher that may send to a cold worker. A few of
// them may send within the 10 ms that a message takes: a worker that is allowed one job can take six.
const backOffPerDispatcher = 4 * time.Millisecond

// warmShare returns the share of its full capacity that w has now: from ColdFrom at its start up to 1.
func (b *Balancer) warmShare(now time.Duration, w *worker) float64 {
	age := now - w.Started
	if w.Started == 0 || age >= b.settings.ColdFor {
		return 1
	}
	return b.settings.ColdFrom + (1-b.settings.ColdFrom)*max(0, age.Seconds())/b.settings.ColdFor.Seconds()
}

// coldBudgetAllows reports whether r may be sent to w. A cold worker has a token bucket in seconds of work.
// Dispatchers that exchange messages subtract one another's sends, so that together they share one bucket and
// none of it stays unused. An isolated dispatcher has its own part. In a fleet of several, the bucket starts
// empty, is first usable at a random time and allows small bursts only.
func (b *Balancer) coldBudgetAllows(now time.Duration, r *request, w *worker) bool {
	if b.warmShare(now, w) >= 1 {
		return true
	}
	if now < w.backOffUntil {
		return false
	}
	burst := b.refillTokens(now, w)
	return burst > 0 && w.tokens >= min(burst, r.work*r.slots)
}

// refillTokens updates the token bucket of a cold worker to the present and returns its size. It must run
// before tokens are subtracted.
func (b *Balancer) refillTokens(now time.Duration, w *worker) (burst float64) {
	rate := coldBudgetShare * b.coldFactor * b.settings.CollapseMultiple *
		b.capacity(now, w) / max(1, b.slowness(w))
	if b.settings.isolated() {
		rate *= isolatedFactor / float64(b.settings.Fleet)
	}
	burst = rate * b.settings.CollapseWindow.Seconds()
	if b.settings.Fleet > 1 {
		if burst /= 4; w.refilledAt == 0 {
			w.tokens, w.refilledAt = -b.rng.Float64()*b.meanJobSeconds, now
		}
	}
	w.tokens, w.refilledAt = min(burst, w.tokens+rate*(now-w.refilledAt).Seconds()), now
	return burst
}

// backOff stops sends to a cold worker for a random time after another dispatcher announced a free slot
// there. Every dispatcher that receives the announcement may send there, and learns of the others' sends one
// message delay later. They must not send together, so the time grows with their number.
func (b *Balancer) backOff(now time.Duration, w *worker) {
	if now < w.backOffUntil || b.warmShare(now, w) >= 1 {
		return
	}
	first, last := b.NearbyDispatchers(w.ID)
	longest := min(b.settings.CollapseWindow/2, time.Duration(last-first+1)*backOffPerDispatcher)
	w.backOffUntil = now + time.Duration(b.rng.Float64()*float64(longest))
}
