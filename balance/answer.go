package balance

import (
	"slices"
	"time"
)

// Final answers: which one may be given.

// answer gives the final answer: a refusal where it may be given, else a failure.
func (b *Balancer) answer(now time.Duration, r *request) {
	r.class.met -= metShare * r.class.met
	if b.mayRefuse(r) {
		b.do(Action{Kind: Refuse, Request: r.id, After: b.s.MaxRetryAfter})
	} else {
		b.do(Action{Kind: Fail, Request: r.id})
	}
	b.close(now, r)
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
