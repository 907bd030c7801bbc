package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Which workers are fit to be sent to.

// probe asks those candidates of the latest job whose figures are oldest, if they have half faded: the next
// homes are near. Its price, and the time of the quickest so far as a worker's, bound the number.
func (b *Balancer) probe(now time.Duration) {
	for spent := 0.0; b.s.Probes && len(b.cand) > 0 && spent < probeSpend; {
		spent += max(b.s.Prices.Probe, 0.001) + b.probeTakes.Seconds()/b.runMean
		w := slices.MinFunc(b.cand, func(x, y *worker) int { return cmp.Compare(x.newsAt(), y.newsAt()) })
		if (now - w.newsAt()).Seconds() < max(b.runMean*b.pace(), 0.2)/2 {
			return
		}
		w.probedAt = now
		b.do(Action{Kind: Probe, Worker: w.ID})
	}
}

func (w *worker) newsAt() time.Duration { return max(w.repAt, w.probedAt) }

// heard notes that w is alive; one ejected for its silence comes back.
func (b *Balancer) heard(now time.Duration, w *worker) {
	w.heardAt = now
	if now < w.ejectedTo && !w.hard && w.streak == 0 {
		w.ejectedTo = now
	}
}

// judge draws from a result what it says about the worker's health.
func (b *Balancer) judge(now time.Duration, w *worker, c *class, res Result) {
	switch res {
	case OK:
		b.heard(now, w)
		w.streak, w.trial, w.hard = 0, false, false
		delete(c.shut, w.ID)
		if now > w.ejectedTo+16*ejectFor {
			w.ejections = 0
		}
	case Failed, Reset:
		b.heard(now, w)
		// A connection may break though the worker is well: of such breaks it takes twice as many.
		if w.streak++; res == Failed {
			w.streak++
		}
		if w.streak >= 4 {
			b.eject(now, w, false)
		}
	case Full:
		b.heard(now, w)
		// None of its class while others are there, as some shed one class alone; and for longer each time,
		// as a worker that turns all away looks idle.
		maps.DeleteFunc(c.shut, func(_ string, x rest) bool { return now >= x.until+shutFor })
		x := rest{now + shutFor, c.shut[w.ID].times + 1}
		if b.neverRan(Full) {
			w.fullTo = now + b.turnover(now, w)
			x.until = now + b.turnover(now, w)<<min(x.times, 6)
		}
		c.shut[w.ID] = x
	case NoConnection:
		b.eject(now, w, true)
	}
}

// eject takes w from the ring for a while, longer each time. A fault that most workers share ejects no
// more than half of them; one that cannot be reached at all is no use to anybody.
func (b *Balancer) eject(now time.Duration, w *worker, hard bool) {
	out := 0
	for _, x := range b.ring {
		if now < x.ejectedTo && !x.hard {
			out++
		}
	}
	if now < w.ejectedTo || !hard && 2*(out+1) > len(b.ring) {
		return
	}
	b.do(Action{Kind: Doubt, Worker: w.ID, Failing: w.streak >= 4})
	w.hard, w.trial, w.streak = hard, true, min(w.streak, 2) // in the trial half as much is enough
	w.ejectedTo = now + ejectFor<<min(w.ejections, ejectMost)
	w.ejections++
}
