package balance

import (
	"slices"
	"time"
)

// Final answers: which one may be given.

// answer gives the final answer: a refusal where it may be given, else a failure.
func (b *Balancer) answer(now time.Duration, r *request, reason Reason) {
	r.class.met -= metShare * r.class.met
	if b.mayRefuse(r) {
		b.do(Action{Kind: Refuse, Request: r.id, After: b.s.MaxRetryAfter, Reason: reason})
	} else {
		b.do(Action{Kind: Fail, Request: r.id, Reason: reason})
	}
	b.close(now, r, AnswerGiven)
}

func (b *Balancer) mayRefuse(r *request) bool {
	c := r.class
	return c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll || b.mayHaveRun(r) == nil
}

// mayHaveRun returns the first attempt that may have run or still may.
func (b *Balancer) mayHaveRun(r *request) *attempt {
	i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.out || !b.neverRan(a.result) })
	if i < 0 {
		return nil
	}
	return &r.attempts[i]
}

// neverRan says whether a result proves that the attempt did not run. Workers that shed work which they had
// begun make 'full' no proof; the settings say so.
func (b *Balancer) neverRan(res Result) bool {
	return res == Full && !b.s.FullMayHaveRun || res == NoConnection || res == NeverSent
}

// whyLate says why a request has to be answered whose time for a start, or for an answer, is over.
func (b *Balancer) whyLate(now time.Duration, r *request) Reason {
	mayBeSentTo := func(w *worker) bool { return w.State == Ready }
	switch {
	case r.held && !slices.ContainsFunc(b.ring, mayBeSentTo):
		return NoTarget
	case r.held:
		return NoRoom
	case now >= r.answerBy:
		return OutOfTime
	}
	return NotStarted
}

// whyNoFurther says why there may be no further attempt after one that ended with a result; empty if there
// may be.
func (b *Balancer) whyNoFurther(now time.Duration, r *request, last Result) Reason {
	switch {
	case now >= r.answerBy:
		return OutOfTime
	case r.outs > 0:
		return ""
	case len(r.attempts) >= r.class.attempts:
		return AttemptsOver
	case now >= r.hopeBy:
		return NoRoom
	case b.retries < 0:
		return BudgetOver
	case r.class.Effect == Unsafe && b.mayHaveRun(r) != nil:
		return MayHaveRun
	case last == Full && !b.s.TellsStart:
		// Where no start is told, to try on would fill every queue until all answers are late.
		return TargetFull
	}
	return ""
}
