package balance

import (
	"cmp"
	"slices"
	"time"
)

// Attempts from their begin to their end.

func (b *Balancer) cancel(r *request, i int, reason Reason) {
	a := &r.attempts[i]
	if a.out && b.s.Cancel && !a.cancelled && b.s.TellsStart {
		a.cancelled = true
		b.do(Action{Kind: Cancel, Request: r.id, Attempt: i, Reason: reason})
	}
}

// maySend says whether the rules let a further attempt of r go to w.
func (b *Balancer) maySend(now time.Duration, r *request, w *worker) bool {
	c := r.class
	ran := b.mayHaveRun(r)
	if ran == nil || c.Effect == Safe {
		return true
	}
	if c.Effect == Unsafe || now-ran.sentAt+2*b.s.Tick > c.Window {
		return false
	}
	return c.Scope == ScopeAll || w.Zone == ran.to.Zone && (c.Scope == ScopeZone || w.Cell == ran.to.Cell)
}

func (b *Balancer) send(now time.Duration, r *request, w *worker) {
	wait := b.wait(now, w, r.slots)
	b.own(now, w, r, 1)
	w.tokens -= r.work * r.slots
	if w.keep != nil && !w.owns(r) {
		w.keep.Spare -= r.slots // until it is told anew
	}
	// It may have to connect first. Notes that come at once tell of no slot sooner than a tick's would.
	prompt := max(cmp.Or(b.startDelay[w.Zone], b.s.DialTimeout/4), b.s.Tick)
	a := attempt{to: w, sentAt: now, wait: wait, out: true, lookAt: now + wait + 4*prompt + 2*b.s.Tick}
	if !b.s.TellsStart {
		b.short(now > r.aimBy)
		a.lookAt = now + 2*wait + seconds(5*r.work*b.slow(w)) + b.s.ProgressEvery*5/2
	}
	if len(r.attempts) > 0 {
		b.extras = append(b.extras, mark{now, b.paid})
	}
	r.attempts = append(r.attempts, a)
	b.do(Action{Kind: Send, Request: r.id, Worker: w.ID})
	b.wake(now, r, min(a.lookAt, r.answerBy))
}

// review looks at a request whose timer came due.
func (b *Balancer) review(now time.Duration, r *request) {
	next := r.answerBy
	running := func(a attempt) bool { return a.out && a.startAt > 0 }
	// Without word of others' jobs nobody knows that one which waits at a worker has no chance any more.
	if r.held || !b.s.apart() && b.s.TellsStart && !slices.ContainsFunc(r.attempts, running) {
		next = r.hopeBy
	}
	if now >= next {
		b.short(true)
		b.answer(now, r, b.whyLate(now, r))
		return
	}
	for i := range r.attempts {
		if r.attempts[i].out {
			next = min(next, b.look(now, r, i))
		}
	}
	b.wake(now, r, next)
}

// short notes whether a job found capacity too late.
func (b *Balancer) short(late bool) {
	b.shed -= shedShare * b.shed
	if late {
		b.shed += shedShare
	}
}

// look judges an attempt of which nothing more was heard in time, and says when to look again.
func (b *Balancer) look(now time.Duration, r *request, i int) time.Duration {
	a := &r.attempts[i]
	if now < a.lookAt {
		return a.lookAt
	}
	a.lookAt = now + 4*b.s.Tick + time.Millisecond
	w, patience := a.to, seconds(5*r.work*b.slow(a.to))
	if b.s.TellsStart && a.startAt == 0 {
		// It waits though it was sent to a free slot: w is fuller than its late reports say.
		w.fullTo = max(w.fullTo, now+b.turnover(now, w))
		if !a.missed {
			a.missed = true
			b.blind = min(blindMost, b.blind+blindStep)
		}
		// The more is out there, the sooner some word is due. A dispatcher with one job there that took the
		// wait behind others' jobs for silence would eject workers that are well.
		patience = seconds(4 * b.runMean * b.slow(w) / float64(max(1, w.outs)))
		if b.s.apart() && w.outs < 3 { // nor does anybody tell it of those jobs
			patience *= 3
		}
	} else if b.s.ProgressEvery > 0 {
		patience = b.s.ProgressEvery * 5 / 2
	}
	since := max(a.heardAt, a.sentAt+2*a.wait)
	if now >= since+patience && w.heardAt <= since {
		b.eject(now, w, false) // it takes work and answers nothing
	}
	if b.s.TellsStart && a.startAt == 0 {
		b.move(now, r, i) // last, as a copy that it sends moves the attempts
	}
	return r.attempts[i].lookAt
}

// turnover is how long w needs to free a slot.
func (b *Balancer) turnover(now time.Duration, w *worker) time.Duration {
	return seconds(b.runMean * b.slow(w) / max(b.slots(now, w), 1))
}

// move gives a request that waits in a queue another chance where there is room: by a second copy, or by
// withdrawing the first from a worker judged unfit. From one that works that may stop nothing: the job runs
// for nobody, and the queue that was the reason grows by it.
func (b *Balancer) move(now time.Duration, r *request, i int) {
	a, copies := &r.attempts[i], b.s.Duplicates
	if len(r.attempts) >= r.class.attempts || r.class.Effect == Unsafe || a.cancelled || !b.mayRetry(now) ||
		b.retries < 0 || copies && b.retries < retryBurst/2 || !copies && now >= a.to.ejectedTo {
		return
	}
	w := b.draw(now, r)
	if w == nil {
		return
	}
	b.retries-- // given back if it starts promptly where it goes
	if b.s.Duplicates {
		b.send(now, r, w)
	} else {
		b.cancel(r, i, UnfitTarget)
	}
}

func (b *Balancer) find(ev *Event) (*request, *attempt) {
	if r := b.reqs[ev.Request]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		return r, &r.attempts[ev.Attempt]
	}
	return nil, nil
}

func (b *Balancer) noted(now time.Duration, ev *Event) {
	r, a := b.find(ev)
	if a == nil || !a.out {
		return
	}
	a.heardAt, a.lookAt = now, now+b.s.ProgressEvery*5/2
	b.heard(now, a.to)
	if ev.Started && a.startAt == 0 {
		a.startAt = now
		b.started(now, r, a)
	}
	if !r.done {
		b.wake(now, r, min(a.lookAt, r.answerBy))
	}
}

// started takes from the start of an attempt that its worker had a slot, and withdraws copies that wait.
func (b *Balancer) started(now time.Duration, r *request, a *attempt) {
	b.short(now > r.aimBy)
	d := now - a.sentAt
	usual := min(d, cmp.Or(b.startDelay[a.to.Zone], d)) // by zone, or all starts far away would seem missed
	b.startDelay[a.to.Zone] = usual + (min(d, 2*usual)-usual)/64
	if !a.missed {
		b.blind = max(blindShare/2, b.blind-blindStep/blindOdds)
		if a != &r.attempts[0] {
			b.retries = min(retryBurst, b.retries+1)
		}
	}
	for i := range r.attempts {
		if r.attempts[i].startAt == 0 {
			b.cancel(r, i, OtherBegan)
		}
	}
}

func (b *Balancer) ended(now time.Duration, ev *Event) {
	r, a := b.find(ev)
	if a == nil || !a.out {
		return
	}
	w := a.to
	a.out, a.result, w.endedAt = false, ev.Result, now
	b.own(now, w, r, -1)
	if ev.Result == TimedOut || ev.Result == Reset || ev.Result == Cancelled {
		r.doubt = now + b.s.OrderRest
	}
	b.report(now, w, &ev.Report)
	b.learn(now, r, a, ev)
	b.judge(now, w, r.class, ev.Result)
	b.drop(w)
	if ev.Result != OK && ev.Result != Full && !b.neverRan(ev.Result) && !a.cancelled {
		b.retries = max(-1, b.retries-1)
	}
	switch {
	case r.done:
		b.forget(r)
	case ev.Final:
		b.close(now, r, OtherServed)
	default:
		b.goOn(now, r, ev.Result)
	}
	b.place(now)
}

// goOn holds a request for a further attempt after one has ended, or answers it if there may be none.
func (b *Balancer) goOn(now time.Duration, r *request, last Result) {
	if reason := b.whyNoFurther(now, r, last); reason != "" {
		b.answer(now, r, reason)
		return
	}
	if r.outs == 0 && !r.held {
		r.home = b.newHome()
		b.hold(now, r)
	}
}

// learn takes from a served attempt how long jobs of its class run and how fast the worker is.
func (b *Balancer) learn(now time.Duration, r *request, a *attempt, ev *Event) {
	if ev.Result != OK {
		return
	}
	c, w := r.class, a.to
	c.met += metShare * (1 - c.met)
	run := max((now - cmp.Or(a.startAt, a.sentAt+a.wait)).Seconds(), 0.1*(now-a.sentAt).Seconds(), 1e-4)
	w.ran, w.expected = w.ran*forget+run, w.expected*forget+r.work
	b.ran, b.expected = b.ran*paceForget+run, b.expected*paceForget+r.work
	c.runs, c.work, c.hints = c.runs*usualForget+1, c.work*usualForget+run, c.hints*usualForget+r.hint
	b.runMean += 0.02 * (r.work - b.runMean)
}
