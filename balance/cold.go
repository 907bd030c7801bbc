package balance

import (
	"time"
)

// What a worker may be sent in the time after its start.

// backOffEach is the part of a back-off for each dispatcher that may send to a cold worker. In the 10 ms
// that a word between them takes a few may begin: a worker that is allowed one job stands six.
const backOffEach = 4 * time.Millisecond

func (b *Balancer) warmth(now time.Duration, w *worker) float64 {
	age := now - w.Started
	if w.Started == 0 || age >= b.s.ColdFor {
		return 1
	}
	return b.s.ColdFrom + (1-b.s.ColdFrom)*max(0, age.Seconds())/b.s.ColdFor.Seconds()
}

// coldRoom keeps what a cold worker may be sent, in seconds of work: by this dispatcher and by those whose
// words it hears. So one allowance is all dispatchers', and none of it lies idle. Who may not speak has a
// share. With others about it begins empty, is first used at different times, and in small bursts.
func (b *Balancer) coldRoom(now time.Duration, r *request, w *worker) bool {
	if b.warmth(now, w) >= 1 {
		return true
	}
	if now < w.backOffTo {
		return false
	}
	burst := b.refill(now, w)
	return burst > 0 && w.tokens >= min(burst, r.work*r.slots)
}

// refill reckons the allowance of a cold worker up to now, as must be done before anything is taken off it,
// and returns the most that it comes to.
func (b *Balancer) refill(now time.Duration, w *worker) (burst float64) {
	rate := coldSafety * b.cold * b.s.FallMultiple * b.slots(now, w) / max(1, b.slow(w))
	if b.s.apart() {
		rate *= apartShare / float64(b.s.Fleet)
	}
	burst = rate * b.s.FallWindow.Seconds()
	if b.s.Fleet > 1 {
		if burst /= 4; w.tokensAt == 0 {
			w.tokens, w.tokensAt = -b.rng.Float64()*b.runMean, now
		}
	}
	w.tokens, w.tokensAt = min(burst, w.tokens+rate*(now-w.tokensAt).Seconds()), now
	return burst
}

// backOff has this dispatcher leave a cold worker alone for a random time after another one told of a slot
// that is free there. All who hear of it may send there, and hear of one another's sends a word's way later:
// they must not send together, so the time grows with their number.
func (b *Balancer) backOff(now time.Duration, w *worker) {
	if now < w.backOffTo || b.warmth(now, w) >= 1 {
		return
	}
	first, last := b.Near(w.ID)
	most := min(b.s.FallWindow/2, time.Duration(last-first+1)*backOffEach)
	w.backOffTo = now + time.Duration(b.rng.Float64()*float64(most))
}
