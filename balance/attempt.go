package balance

import (
	"cmp"
	"slices"
	"time"
)

// This file handles attempts from start to end.

// cancel cancels attempt i of r if the settings allow it and workers report starts. An attempt that is not in
// flight or is already cancelled is left as it is.
func (b *Balancer) cancel(r *request, i int, reason Reason) {
	a := &r.attempts[i]
	if a.inFlight && b.settings.Cancel && !a.cancelled && b.settings.ReportsStart {
		a.cancelled = true
		b.emit(Action{Kind: Cancel, Request: r.id, Attempt: i, Reason: reason})
	}
}

// maySend reports whether a further attempt of r may go to w without the risk of running a request twice.
func (b *Balancer) maySend(now time.Duration, r *request, w *worker) bool {
	c := r.class
	previous := b.firstMayHaveRun(r)
	if previous == nil || c.Effect == Safe {
		return true
	}
	return b.mayRepeat(now, r) && (c.Scope == ScopeAll ||
		w.Zone == previous.worker.Zone && (c.Scope == ScopeZone || w.Cell == previous.worker.Cell))
}

// mayRepeat reports whether r, which may have run, may be sent at all: its workers still drop a repeat.
func (b *Balancer) mayRepeat(now time.Duration, r *request) bool {
	c := r.class
	return c.Effect != Unsafe && now-b.firstMayHaveRun(r).sentAt+2*b.settings.Tick <= c.Window
}

// send starts an attempt of r at w, updates the load records and schedules the first check of the attempt.
func (b *Balancer) send(now time.Duration, r *request, w *worker) {
	wait := b.queueWait(now, w, r.slots)
	b.addOwnLoad(now, w, r, 1)
	w.tokens -= r.work * r.slots
	if w.reservation != nil && !w.reservedFor(r) {
		w.reservation.SpareSlots -= r.slots // until the reservation is updated
	}
	// The attempt may have to connect first. The delay of a prompt start is at least one tick, as a faster
	// report does not reveal a free slot any earlier.
	promptStart := max(cmp.Or(b.startDelays[w.Zone], b.settings.DialTimeout/4), b.settings.Tick)
	a := attempt{worker: w, sentAt: now, expectedWait: wait, inFlight: true,
		checkAt: now + wait + 4*promptStart + 2*b.settings.Tick}
	if !b.settings.ReportsStart {
		b.recordShortage(now > r.onTimeStartBy)
		a.checkAt = now + 2*wait + seconds(5*r.work*b.slowness(w)) + b.settings.ProgressEvery*5/2
	}
	if len(r.attempts) > 0 {
		b.furtherAttempts = append(b.furtherAttempts, sample{now, b.earnedAttempts})
	}
	r.attempts = append(r.attempts, a)
	b.emit(Action{Kind: Send, Request: r.id, Worker: w.ID})
	b.scheduleReview(now, r, min(a.checkAt, r.respondBy))
}

// review rejects a request whose time is over, or checks its attempts and schedules the next review.
func (b *Balancer) review(now time.Duration, r *request) {
	next := r.respondBy
	running := func(a attempt) bool { return a.inFlight && a.startedAt > 0 }
	// A job that waits at a worker is rejected early only if this dispatcher receives messages about others'
	// jobs. An isolated one cannot rule out that the job still starts in time.
	if r.queued ||
		!b.settings.isolated() && b.settings.ReportsStart && !slices.ContainsFunc(r.attempts, running) {
		next = r.usefulStartBy
	}
	if now >= next {
		b.recordShortage(true)
		b.reject(now, r, b.lateReason(now, r))
		return
	}
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			next = min(next, b.checkAttempt(now, r, i))
		}
	}
	b.scheduleReview(now, r, next)
}

// recordShortage updates the shortage with one request, which did or did not find capacity too late.
func (b *Balancer) recordShortage(late bool) {
	b.shortage -= shortageSmoothing * b.shortage
	if late {
		b.shortage += shortageSmoothing
	}
}

// checkAttempt reacts to an attempt that is missing its start or a progress report, and returns the time of
// the next check. It may mark the worker full, eject it or retry the request elsewhere.
func (b *Balancer) checkAttempt(now time.Duration, r *request, i int) time.Duration {
	a := &r.attempts[i]
	if now < a.checkAt {
		return a.checkAt
	}
	a.checkAt = now + 4*b.settings.Tick + time.Millisecond
	w, silenceLimit := a.worker, seconds(5*r.work*b.slowness(a.worker))
	if b.settings.ReportsStart && a.startedAt == 0 {
		// The attempt waits though it was sent to a free slot: w has more load than its late reports show.
		w.fullUntil = max(w.fullUntil, now+b.slotTurnover(now, w))
		if !a.startMissed {
			a.startMissed = true
			b.assumedLoad = min(assumedLoadMax, b.assumedLoad+assumedLoadStep)
		}
		// The more own jobs are at w, the sooner one of them should report. A dispatcher with a single job
		// there must not take a wait behind others' jobs for silence, or it would eject healthy workers.
		silenceLimit = seconds(4 * b.meanJobSeconds * b.slowness(w) / float64(max(1, w.inFlight)))
		if b.settings.isolated() && w.inFlight < 3 { // no other dispatcher announces those jobs
			silenceLimit *= 3
		}
	} else if b.settings.ProgressEvery > 0 {
		silenceLimit = b.settings.ProgressEvery * 5 / 2
	}
	silentSince := max(a.lastUpdateAt, a.sentAt+2*a.expectedWait)
	if now >= silentSince+silenceLimit && w.lastSeenAt <= silentSince {
		b.eject(now, w, false) // it accepts work and sends no responses
	}
	if b.settings.ReportsStart && a.startedAt == 0 {
		b.retryElsewhere(now, r, i) // last, as sending a duplicate may reallocate r.attempts
	}
	return r.attempts[i].checkAt
}

// slotTurnover returns the mean time until w frees a slot.
func (b *Balancer) slotTurnover(now time.Duration, w *worker) time.Duration {
	return seconds(b.meanJobSeconds * b.slowness(w) / max(b.capacity(now, w), 1))
}

// retryElsewhere moves a request that waits in a worker's queue if another worker has capacity: it sends a
// duplicate, or cancels the attempt if its worker is ejected. Cancelling at a healthy worker may not stop the
// job, which would then run without a client and lengthen the queue that was the reason to move.
func (b *Balancer) retryElsewhere(now time.Duration, r *request, i int) {
	a, duplicates := &r.attempts[i], b.settings.Duplicates
	if len(r.attempts) >= r.class.maxAttempts || r.class.Effect == Unsafe || a.cancelled ||
		!b.mayRetry(now) || b.retryTokens < 0 || duplicates && b.retryTokens < retryBurst/2 ||
		!duplicates && now >= a.worker.ejectedUntil {
		return
	}
	w := b.draw(now, r)
	if w == nil {
		return
	}
	b.retryTokens-- // returned if the duplicate starts promptly
	if b.settings.Duplicates {
		b.send(now, r, w)
	} else {
		b.cancel(r, i, TargetEjected)
	}
}

// findAttempt returns the request and the attempt of an event, or nil if they are unknown.
func (b *Balancer) findAttempt(ev *Event) (*request, *attempt) {
	if r := b.requests[ev.Request]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		return r, &r.attempts[ev.Attempt]
	}
	return nil, nil
}

// handleProgress processes a start or progress report of an attempt.
func (b *Balancer) handleProgress(now time.Duration, ev *Event) {
	r, a := b.findAttempt(ev)
	if a == nil || !a.inFlight {
		return
	}
	a.lastUpdateAt, a.checkAt = now, now+b.settings.ProgressEvery*5/2
	b.markAlive(now, a.worker)
	if ev.Started && a.startedAt == 0 {
		a.startedAt = now
		b.handleStart(now, r, a)
	}
	if !r.done {
		b.scheduleReview(now, r, min(a.checkAt, r.respondBy))
	}
}

// handleStart learns from the start of an attempt how soon its worker had a free slot, and cancels duplicates
// that still wait.
func (b *Balancer) handleStart(now time.Duration, r *request, a *attempt) {
	b.recordShortage(now > r.onTimeStartBy)
	delay := now - a.sentAt
	// Delays are kept by zone, or every start in a distant zone would seem missed.
	usual := min(delay, cmp.Or(b.startDelays[a.worker.Zone], delay))
	b.startDelays[a.worker.Zone] = usual + (min(delay, 2*usual)-usual)/64
	if !a.startMissed {
		b.assumedLoad = max(assumedLoadStart/2, b.assumedLoad-assumedLoadStep/promptStartsPerMissed)
		if a != &r.attempts[0] {
			b.retryTokens = min(retryBurst, b.retryTokens+1)
		}
	}
	for i := range r.attempts {
		if r.attempts[i].startedAt == 0 {
			b.cancel(r, i, OtherStarted)
		}
	}
}

// handleEnd processes the end of an attempt: it updates the records of the worker, then closes, retries or
// rejects the request.
func (b *Balancer) handleEnd(now time.Duration, ev *Event) {
	r, a := b.findAttempt(ev)
	if a == nil || !a.inFlight {
		return
	}
	w := a.worker
	a.inFlight, a.result, w.lastEndAt = false, ev.Result, now
	b.addOwnLoad(now, w, r, -1)
	if ev.Result == TimedOut || ev.Result == Reset || ev.Result == Cancelled {
		r.mayRunUntil = now + b.settings.KeyPause
	}
	b.applyReport(now, w, &ev.Report)
	b.learnSpeed(now, r, a, ev)
	b.applyResult(now, w, r.class, ev.Result)
	b.dropIfUnused(w)
	if ev.Result != OK && ev.Result != Full && !b.neverRan(ev.Result) && !a.cancelled {
		b.retryTokens = max(-1, b.retryTokens-1)
	}
	switch {
	case r.done:
		b.removeFinished(r)
	case ev.Final:
		b.close(now, r, OtherServed)
	default:
		b.retryOrReject(now, r, ev.Result)
	}
	b.placeQueued(now)
}

// retryOrReject queues a request for a further attempt after one has ended, or rejects it if none is allowed.
func (b *Balancer) retryOrReject(now time.Duration, r *request, lastResult Result) {
	if reason := b.noRetryReason(now, r, lastResult); reason != "" {
		b.reject(now, r, reason)
		return
	}
	if r.inFlight == 0 && !r.queued {
		r.home = b.drawHome()
		b.enqueue(now, r)
	}
}

// learnSpeed updates the run times of the class and the speed of the worker from a served attempt.
func (b *Balancer) learnSpeed(now time.Duration, r *request, a *attempt, ev *Event) {
	if ev.Result != OK {
		return
	}
	c, w := r.class, a.worker
	c.servedShare += servedSmoothing * (1 - c.servedShare)
	runSeconds := max((now - cmp.Or(a.startedAt, a.sentAt+a.expectedWait)).Seconds(),
		0.1*(now-a.sentAt).Seconds(), 1e-4)
	w.ranSeconds, w.expectedSeconds =
		w.ranSeconds*workerSpeedDecay+runSeconds, w.expectedSeconds*workerSpeedDecay+r.work
	b.ranSeconds, b.expectedSeconds =
		b.ranSeconds*fleetSpeedDecay+runSeconds, b.expectedSeconds*fleetSpeedDecay+r.work
	c.sampleCount, c.workSeconds, c.hintSeconds = c.sampleCount*classWorkDecay+1,
		c.workSeconds*classWorkDecay+runSeconds, c.hintSeconds*classWorkDecay+r.hint
	b.meanJobSeconds += 0.02 * (r.work - b.meanJobSeconds)
}
