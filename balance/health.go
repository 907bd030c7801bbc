package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// This file tracks the health of workers.

// probeCandidates probes the candidates of the latest request with the oldest load figures, if these are half
// decayed. The homes of the next requests are near. The number is limited by the price of a probe and by the
// worker time that it takes, for which the shortest probe so far counts.
func (b *Balancer) probeCandidates(now time.Duration) {
	for spent := 0.0; b.settings.Probes && len(b.candidates) > 0 && spent < probeBudget; {
		spent += max(b.settings.Prices.Probe, 0.001) + b.fastestProbe.Seconds()/b.meanJobSeconds
		w := slices.MinFunc(b.candidates, func(x, y *worker) int {
			return cmp.Compare(x.figuresAt(), y.figuresAt())
		})
		if (now - w.figuresAt()).Seconds() < max(b.meanJobSeconds*b.slowdown(), 0.2)/2 {
			return
		}
		w.probedAt = now
		b.emit(Action{Kind: Probe, Worker: w.ID})
	}
}

// figuresAt returns the time of the last report or probe of w.
func (w *worker) figuresAt() time.Duration { return max(w.reportedAt, w.probedAt) }

// markAlive records a sign of life of w. It ends an ejection for silence.
func (b *Balancer) markAlive(now time.Duration, w *worker) {
	w.lastSeenAt = now
	if now < w.ejectedUntil && !w.hardEjected && w.failureScore == 0 {
		w.ejectedUntil = now
	}
}

// applyResult updates the health of w after an attempt of class c ended with res.
func (b *Balancer) applyResult(now time.Duration, w *worker, c *class, res Result) {
	switch res {
	case OK:
		b.markAlive(now, w)
		w.failureScore, w.trial, w.hardEjected = 0, false, false
		delete(c.blocked, w.ID)
		if now > w.ejectedUntil+16*ejectionTime {
			w.recentEjections = 0
		}
	case Failed, Reset:
		b.markAlive(now, w)
		// A connection may break at a healthy worker, so a reset counts half as much as a failure.
		if w.failureScore++; res == Failed {
			w.failureScore++
		}
		if w.failureScore >= 4 {
			b.eject(now, w, false)
		}
	case Full:
		b.markAlive(now, w)
		// Jobs of this class go to other workers for a while, as some workers refuse a single class. The
		// time grows with each refusal in a row, as a worker that refuses every job looks idle.
		maps.DeleteFunc(c.blocked, func(_ string, block classBlock) bool {
			return now >= block.until+classBlockTime
		})
		block := classBlock{now + classBlockTime, c.blocked[w.ID].count + 1}
		if b.neverRan(Full) {
			w.fullUntil = now + b.slotTurnover(now, w)
			block.until = now + b.slotTurnover(now, w)<<min(block.count, 6)
		}
		c.blocked[w.ID] = block
	case NoConnection:
		b.eject(now, w, true)
	}
}

// eject excludes w from the candidates for a while, longer each time, and reports the suspicion. A fault that
// most workers share ejects at most half of them. That limit does not apply if hard is set, which means that
// w cannot be reached at all and can serve no request.
func (b *Balancer) eject(now time.Duration, w *worker, hard bool) {
	ejected := 0
	for _, x := range b.ring {
		if now < x.ejectedUntil && !x.hardEjected {
			ejected++
		}
	}
	if now < w.ejectedUntil || !hard && 2*(ejected+1) > len(b.ring) {
		return
	}
	b.emit(Action{Kind: SuspectWorker, Worker: w.ID, Failing: w.failureScore >= 4})
	// During the trial, half the failure score is enough for the next ejection.
	w.hardEjected, w.trial, w.failureScore = hard, true, min(w.failureScore, 2)
	w.ejectedUntil = now + ejectionTime<<min(w.recentEjections, ejectionDoublings)
	w.recentEjections++
}
