package balance

import (
	"math"
	"slices"
	"strings"
	"time"
)

// This file chooses a worker for a request: it gathers the candidates around its home and draws by cost.

// draw chooses the worker for r by a softmax draw over its home and the k neighbours on each side. It returns
// nil if no candidate has capacity.
func (b *Balancer) draw(now time.Duration, r *request) *worker {
	b.candidates = b.candidates[:0]
	for pass := 0; pass < 3 && len(b.candidates) == 0; pass++ {
		b.gatherCandidates(now, r, pass)
	}
	if w := r.reservedAt; w != nil && w.listed && w.reservedFor(r) && b.eligible(now, r, w, 0) &&
		!slices.Contains(b.candidates, w) {
		b.candidates = append(b.candidates, w)
	}
	best, topScore := (*worker)(nil), math.Inf(-1)
	for i, w := range b.candidates {
		if !b.hasCapacity(now, r, w) {
			continue
		}
		price := 0.0
		if i > 0 && r.keyHash > 0 {
			price = b.settings.Prices.Fetch
		}
		// The largest of Gumbel noise minus theta x cost is a draw with weights exp(-theta x cost).
		if score := -math.Log(b.rng.ExpFloat64()) -
			inverseTemperature*b.cost(now, w, price); score > topScore {
			best, topScore = w, score
		}
	}
	return best
}

// gatherCandidates collects the home of r and its neighbours on alternating sides. It skips workers that r
// may not use. Pass 1 includes workers that were already tried; pass 2 also includes ejected ones.
func (b *Balancer) gatherCandidates(now time.Duration, r *request, pass int) {
	n := len(b.ring)
	home := int(r.home * float64(n))
	// A key has the same home at every dispatcher, by rendezvous hashing.
	for i, topHash := 0, uint32(0); r.keyHash > 0 && i < n; i++ {
		if mixed := (r.keyHash ^ b.ring[i].idHash) * 0x85ebca6b; (mixed^mixed>>15)*0xc2b2ae35 >= topHash {
			topHash, home = (mixed^mixed>>15)*0xc2b2ae35, i
		}
	}
	for i := 0; i < n && len(b.candidates) < 2*neighbours+1; i++ {
		index := home + (i+1)/2*(2*(i%2)-1)
		w := b.ring[(index+n)%n]
		if b.eligible(now, r, w, pass) {
			b.candidates = append(b.candidates, w)
		}
	}
}

// eligible reports whether r may use w in the given pass, apart from the capacity of w.
func (b *Balancer) eligible(now time.Duration, r *request, w *worker, pass int) bool {
	return w.State == Ready && (r.class.Kind == "" || r.class.Kind == w.Kind) &&
		(w.Classes == "" || strings.Contains(w.Classes, ","+r.class.Name+",")) &&
		(len(r.attempts) == 0 && r.earlier == nil || b.maySend(now, r, w)) &&
		(pass == 2 || now >= w.ejectedUntil) && (pass > 0 || now >= r.class.blocked[w.ID].until) &&
		(pass > 0 || !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.worker == w }))
}

// hasCapacity reports whether r would start at w without a wait and within the limits of w.
func (b *Balancer) hasCapacity(now time.Duration, r *request, w *worker) bool {
	if now < w.fullUntil || w.trial && w.inFlight > 0 ||
		!b.coldBudgetAllows(now, r, w) || !w.reservationAllows(now, r) {
		return false
	}
	// While requests are refused, cheap ones leave some slots to valuable ones, which would else be late.
	reserved := min(reserveMax, b.shortage) * b.capacity(now, w) *
		max(0, 1-r.value/max(cheapValueShare*b.topValue, 1e-9))
	// An unsafe request cannot leave a worker's queue, so it needs more certainty in a shortage.
	if r.class.Effect == Unsafe && b.settings.ReportsStart {
		reserved += b.shortage - unsafeOvercommit
	}
	return b.queueWait(now, w, r.slots+reserved-slotTolerance) <= 0
}

// cost returns the cost of w in the softmax: its load, scaled by its speed, plus the prices of choosing it.
func (b *Balancer) cost(now time.Duration, w *worker, price float64) float64 {
	if w.Zone != b.settings.Zone {
		price += b.settings.Prices.CrossZone
	}
	if w.inFlight >= w.openConns || now-w.lastEndAt >= b.settings.ConnIdle {
		price += b.settings.Prices.Handshake // all open connections are busy or were closed after ConnIdle
	}
	return b.slowness(w)/b.warmShare(now, w)*(1+b.load(now, w)/max(b.capacity(now, w), 0.1)) +
		priceWeight*price
}
