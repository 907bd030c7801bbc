package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// This file handles requests from their arrival until they are done: their estimates, the order of their keys
// and the budget of further attempts.

// handleArrival queues a new request and sends it if a worker has capacity.
func (b *Balancer) handleArrival(now time.Duration, ev *Event) {
	c := b.classes[ev.Class]
	if c == nil {
		b.emit(Action{Kind: Refuse, Request: ev.Request, Reason: UnknownClass})
		return
	}
	r := &request{id: ev.Request, class: c, slots: max(ev.Slots, 1), hint: ev.Hint.Seconds(),
		home: b.drawHome(), firstTryAt: now, priority: ev.Priority, tenant: ev.Tenant}
	if b.settings.Prices.Fetch > 0 && ev.Key != "" {
		r.keyHash = hash(ev.Key)
	}
	// A budget below the usual one belongs to a later try, which has only the rest of the deadline. The usual
	// budget is learned: where each try gets only a part of the deadline, first tries would otherwise count
	// as late ones and be refused.
	if !ev.FirstTry {
		c.longestBudget = max(c.longestBudget, ev.Budget)
		if ev.Budget < c.longestBudget*49/50 && (ev.MarkedRetry || !b.settings.ClientsMarkRetries) {
			r.firstTryAt = now - max(0, c.Deadline-ev.Budget)
		}
	}
	r.respondBy = now + max(0, ev.Budget-2*b.settings.Tick)
	b.estimate(r)
	b.requests[r.id] = r
	if ev.Earlier != nil && c.Effect != Safe {
		r.earlier = ev.Earlier.attempt()
		if !b.mayRepeat(now, r) {
			b.reject(now, r, MayHaveRun)
			return
		}
	}
	b.earnedAttempts += b.settings.RetryBudgetRatio
	if c.InOrder && ev.Key != "" {
		b.joinKeyQueue(now, r, ev.Key)
	}
	b.retryTokens = min(retryBurst, b.retryTokens+retryRatio)
	b.meanJobSlots += 0.02 * (r.slots - b.meanJobSlots)
	if b.lastArrivalAt > 0 { // else the age of the clock, decades on a real one, would count as a gap
		b.arrivalGap += 0.05 * ((now - b.lastArrivalAt).Seconds() - b.arrivalGap)
	}
	b.lastArrivalAt = now
	b.enqueue(now, r)
	b.placeQueued(now)
	b.probeCandidates(now)
}

// attempt returns an attempt that stands for the earlier run.
func (e *EarlierRun) attempt() *attempt {
	member := Member{Zone: e.Zone, Cell: e.Cell}
	return &attempt{worker: &worker{Member: member}, sentAt: e.SentAt, result: Reset}
}

// estimate sets the expected work of r and, from it, the latest times of its start.
func (b *Balancer) estimate(r *request) {
	c := r.class
	r.work = cmp.Or(r.hint, c.workSeconds/c.sampleCount)
	if r.hint > 0 && c.hintSeconds > 0 {
		r.work *= c.workSeconds / c.hintSeconds
	}
	r.onTimeStartBy = min(r.respondBy,
		r.firstTryAt+c.LatencyTarget+seconds(max(0, c.Stretch-b.slowdown())*r.work))
	if r.usefulStartBy = r.onTimeStartBy; c.LateShare > 0 {
		r.usefulStartBy = r.respondBy
	}
}

// drawHome draws a home around this dispatcher's own position on the ring, among twice as many workers as it
// has jobs running. Otherwise a dispatcher with little traffic would rarely use a worker of which it has
// recent figures or an open connection.
func (b *Balancer) drawHome() float64 {
	position, spread := b.ringPosition(b.settings.Self)
	return math.Mod(1+position+spread*(b.rng.Float64()-0.5), 1)
}

// ringPosition returns a dispatcher's position on the ring and the share of the ring over which this
// dispatcher spreads its homes.
func (b *Balancer) ringPosition(dispatcher int) (position, spread float64) {
	homes := max(1, 2*b.meanJobSeconds/max(b.arrivalGap, 1e-6))
	return (float64(dispatcher) + 0.5) / float64(b.settings.Fleet), min(1, homes/float64(max(1, len(b.ring))))
}

// enqueue adds r to the queue and schedules a review for its latest useful start.
func (b *Balancer) enqueue(now time.Duration, r *request) {
	r.queued, b.queued = true, append(b.queued, r)
	b.scheduleReview(now, r, min(r.usefulStartBy, r.respondBy))
}

// scheduleReview sets a timer for a review of r at the given time, unless an earlier one is set.
func (b *Balancer) scheduleReview(now time.Duration, r *request, at time.Duration) {
	at = max(at, now).Truncate(time.Microsecond) + time.Microsecond // hosts round to microseconds
	if r.reviewAt > now && r.reviewAt <= at {
		return
	}
	r.reviewAt = at
	b.emit(Action{Kind: Wake, Timer: r.id, After: at - now})
}

// close marks r as done, cancels its attempts and takes it from the queue.
func (b *Balancer) close(now time.Duration, r *request, reason Reason) {
	r.done = true
	for i := range r.attempts {
		b.cancel(r, i, reason)
	}
	if r.queued {
		r.queued = false
		b.queued = slices.DeleteFunc(b.queued, func(x *request) bool { return x == r })
	}
	b.removeFinished(r)
}

// removeFinished deletes a request that is done and has no attempt in flight. The next request of its key may
// then go. A cancelled attempt counts as in flight until its end is reported, as it may run until then.
func (b *Balancer) removeFinished(r *request) {
	if !r.done || r.inFlight > 0 {
		return
	}
	delete(b.requests, r.id)
	if queue := r.keyQueue; queue != nil {
		queue.requests = slices.DeleteFunc(queue.requests, func(x *request) bool { return x == r })
		queue.pausedUntil = max(queue.pausedUntil, r.mayRunUntil)
	}
}

// joinKeyQueue appends r to the queue of its key. It deletes queues that are empty and whose pause is over,
// as memory would otherwise grow without limit.
func (b *Balancer) joinKeyQueue(now time.Duration, r *request, key string) {
	maps.DeleteFunc(b.keyQueues, func(_ string, queue *keyQueue) bool {
		return len(queue.requests) == 0 && now >= queue.pausedUntil
	})
	if b.keyQueues[key] == nil {
		b.keyQueues[strings.Clone(key)] = &keyQueue{} // cloned, as key may share a larger buffer
	}
	r.keyQueue = b.keyQueues[key]
	r.keyQueue.requests = append(r.keyQueue.requests, r)
}

// maySendNow reports whether the order of its key and the budget of further attempts allow r to go to any
// worker.
func (b *Balancer) maySendNow(now time.Duration, r *request) bool {
	queue := r.keyQueue
	return (queue == nil || queue.requests[0] == r && now >= queue.pausedUntil) &&
		(len(r.attempts) == 0 || b.mayRetry(now))
}

// mayRetry reports whether one more further attempt stays within the budget of every window that ends now,
// including windows that start after the requests that earned the attempts. For each recent further attempt,
// the number since then, one more included, must not exceed what was earned since then.
func (b *Balancer) mayRetry(now time.Duration) bool {
	windowStart := now - b.settings.RetryBudgetWindow - b.settings.Tick
	b.furtherAttempts = slices.DeleteFunc(b.furtherAttempts, func(earlier sample) bool {
		return earlier.at < windowStart
	})
	count := len(b.furtherAttempts) + 1
	for index, earlier := range append(b.furtherAttempts, sample{now, b.earnedAttempts}) {
		if b.settings.RetryBudgetWindow > 0 &&
			float64(count-index) > b.settings.RetryBudgetFree+b.earnedAttempts-earlier.value {
			return false
		}
	}
	return true
}
