package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Requests from their arrival until they are over: what is known of them, the order of their keys, and the
// budget of further attempts.

func (b *Balancer) arrived(now time.Duration, ev *Event) {
	c := b.classes[ev.Class]
	if c == nil {
		b.do(Action{Kind: Refuse, Request: ev.Request, Reason: UnknownClass})
		return
	}
	r := &request{id: ev.Request, class: c, slots: max(ev.Slots, 1), hint: ev.Hint.Seconds(),
		home: b.newHome(), arrived: now, priority: ev.Priority, tenant: ev.Tenant}
	if b.s.Prices.Fetch > 0 && ev.Key != "" {
		r.key = hash(ev.Key)
	}
	// A budget under the usual one is what is left to a later try. Where each try has only a part of the
	// deadline, first tries would else be taken for old ones and refused.
	if !ev.First {
		c.budget = max(c.budget, ev.Budget)
		if ev.Budget < c.budget*49/50 && (ev.Repeat || !b.s.MarksRepeat) {
			r.arrived = now - max(0, c.Deadline-ev.Budget)
		}
	}
	r.answerBy = now + max(0, ev.Budget-2*b.s.Tick)
	b.estimate(r)
	b.reqs[r.id] = r
	b.paid += b.s.ExtraRatio
	if c.InOrder && ev.Key != "" {
		b.join(now, r, ev.Key)
	}
	b.retries = min(retryBurst, b.retries+retryShare)
	b.slotMean += 0.02 * (r.slots - b.slotMean)
	if b.cameAt > 0 { // or the age of the clock, decades on a real one, would be taken for a gap
		b.gap += 0.05 * ((now - b.cameAt).Seconds() - b.gap)
	}
	b.cameAt = now
	b.hold(now, r)
	b.place(now)
	b.probe(now)
}

// estimate sets what is expected of the request's work, and so how long it may wait.
func (b *Balancer) estimate(r *request) {
	c := r.class
	r.work = cmp.Or(r.hint, c.work/c.runs)
	if r.hint > 0 && c.hints > 0 {
		r.work *= c.work / c.hints
	}
	r.aimBy = min(r.answerBy, r.arrived+c.Aim+seconds(max(0, c.Stretch-b.pace())*r.work))
	if r.hopeBy = r.aimBy; c.Late > 0 {
		r.hopeBy = r.answerBy
	}
}

// newHome draws a home about this dispatcher's own place on the ring, among twice as many workers as it has
// jobs running: a small dispatcher would else never meet a worker that it knows, or has a connection to.
func (b *Balancer) newHome() float64 {
	place, spread := b.placeOf(b.s.Self)
	return math.Mod(1+place+spread*(b.rng.Float64()-0.5), 1)
}

// placeOf is a dispatcher's place on the ring, and the share of the ring in which this one has its homes.
func (b *Balancer) placeOf(who int) (place, spread float64) {
	own := max(1, 2*b.runMean/max(b.gap, 1e-6))
	return (float64(who) + 0.5) / float64(b.s.Fleet), min(1, own/float64(max(1, len(b.ring))))
}

func (b *Balancer) hold(now time.Duration, r *request) {
	r.held, b.held = true, append(b.held, r)
	b.wake(now, r, min(r.hopeBy, r.answerBy))
}

// wake asks for a review of r at the given time, unless an earlier one is on its way.
func (b *Balancer) wake(now time.Duration, r *request, at time.Duration) {
	at = max(at, now).Truncate(time.Microsecond) + time.Microsecond // hosts count in whole microseconds
	if r.wakeAt > now && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	b.do(Action{Kind: Wake, Timer: r.id, After: at - now})
}

// close ends what the dispatcher owes for r and stops its attempts.
func (b *Balancer) close(now time.Duration, r *request, reason Reason) {
	r.done = true
	for i := range r.attempts {
		b.cancel(r, i, reason)
	}
	if r.held {
		r.held = false
		b.held = slices.DeleteFunc(b.held, func(x *request) bool { return x == r })
	}
	b.forget(r)
}

// forget drops a request that is over once nothing of it is out; the next one of its key may go then. An
// attempt that was given up counts until its end is told, as it may run until then.
func (b *Balancer) forget(r *request) {
	if !r.done || r.outs > 0 {
		return
	}
	delete(b.reqs, r.id)
	if l := r.line; l != nil {
		l.reqs = slices.DeleteFunc(l.reqs, func(x *request) bool { return x == r })
		l.rest = max(l.rest, r.doubt)
	}
}

// join puts r at the end of its key's line. Lines empty and rested go, or memory would grow with the day.
func (b *Balancer) join(now time.Duration, r *request, key string) {
	maps.DeleteFunc(b.lines, func(_ string, l *line) bool { return len(l.reqs) == 0 && now >= l.rest })
	if b.lines[key] == nil {
		b.lines[strings.Clone(key)] = &line{} // the host's text may be part of something longer
	}
	r.line = b.lines[key]
	r.line.reqs = append(r.line.reqs, r)
}

// mayGo says whether the order of its key and the budget of further attempts let r go, to any worker.
func (b *Balancer) mayGo(now time.Duration, r *request) bool {
	l := r.line
	return (l == nil || l.reqs[0] == r && now >= l.rest) && (len(r.attempts) == 0 || b.mayRetry(now))
}

// mayRetry keeps the stated budget of further attempts in any window, also one that begins after the requests
// that paid: those since each of the latest, one more included, stay within what was paid since then.
func (b *Balancer) mayRetry(now time.Duration) bool {
	from := now - b.s.ExtraWindow - b.s.Tick
	b.extras = slices.DeleteFunc(b.extras, func(x mark) bool { return x.at < from })
	n := len(b.extras) + 1
	for k, x := range append(b.extras, mark{now, b.paid}) {
		if b.s.ExtraWindow > 0 && float64(n-k) > b.s.ExtraFree+b.paid-x.x {
			return false
		}
	}
	return true
}
