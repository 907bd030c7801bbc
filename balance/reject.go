package balance

import (
	"slices"
	"time"
)

// This file decides on final responses without a result: which kind and which reason.

// reject sends the final response for a request that was not served: a refusal if allowed, else a failure. It
// counts the request as not served for its class.
func (b *Balancer) reject(now time.Duration, r *request, reason Reason) {
	r.class.servedShare -= servedSmoothing * r.class.servedShare
	if b.mayRefuse(r) {
		b.emit(Action{Kind: Refuse, Request: r.id, After: b.settings.MaxRetryAfter, Reason: reason})
	} else {
		b.emit(Action{Kind: Fail, Request: r.id, Reason: reason})
	}
	b.close(now, r, ResponseSent)
}

// mayRefuse reports whether a client may retry r without harm, which a refusal promises.
func (b *Balancer) mayRefuse(r *request) bool {
	c := r.class
	return c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll || b.firstMayHaveRun(r) == nil
}

// firstMayHaveRun returns the first attempt that may have run or may still run, or nil if there is none. It
// may be that of an earlier request.
func (b *Balancer) firstMayHaveRun(r *request) *attempt {
	if r.earlier != nil {
		return r.earlier
	}
	i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.inFlight || !b.neverRan(a.result) })
	if i < 0 {
		return nil
	}
	return &r.attempts[i]
}

// neverRan reports whether a result proves that the attempt did not run. 'Full' is no proof if workers also
// shed work that they had begun, which FullMayHaveRun states.
func (b *Balancer) neverRan(res Result) bool {
	return res == Full && !b.settings.FullMayHaveRun || res == NoConnection || res == NeverSent
}

// lateReason returns the reason for rejecting a request whose latest start or latest response has passed.
func (b *Balancer) lateReason(now time.Duration, r *request) Reason {
	isReady := func(w *worker) bool { return w.State == Ready }
	switch {
	case r.queued && !slices.ContainsFunc(b.ring, isReady):
		return NoTarget
	case r.queued:
		return NoCapacity
	case now >= r.respondBy:
		return OutOfTime
	}
	return NotStarted
}

// noRetryReason returns why there may be no further attempt after one that ended with lastResult. It returns
// the empty Reason if there may be one.
func (b *Balancer) noRetryReason(now time.Duration, r *request, lastResult Result) Reason {
	switch {
	case now >= r.respondBy:
		return OutOfTime
	case r.inFlight > 0:
		return ""
	case len(r.attempts) >= r.class.maxAttempts:
		return AttemptsExhausted
	case now >= r.usefulStartBy:
		return NoCapacity
	case b.retryTokens < 0:
		return RetryBudgetExhausted
	case r.class.Effect == Unsafe && b.firstMayHaveRun(r) != nil:
		return MayHaveRun
	case lastResult == Full && !b.settings.ReportsStart:
		// Without start reports, further attempts would fill every queue until all responses are late.
		return TargetFull
	}
	return ""
}
