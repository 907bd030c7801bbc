package balance

import (
	"math"
	"slices"
	"strings"
	"time"
)

// The draw of a worker for a request: the candidates about its home, and their weights.

// draw picks the worker for r: the softmax over its home and the k neighbours on each side.
func (b *Balancer) draw(now time.Duration, r *request) *worker {
	b.cand = b.cand[:0]
	for pass := 0; pass < 3 && len(b.cand) == 0; pass++ {
		b.gather(now, r, pass)
	}
	if w := r.kept; w != nil && w.listed && w.owns(r) && b.fits(now, r, w, 0) && !slices.Contains(b.cand, w) {
		b.cand = append(b.cand, w)
	}
	best, top := (*worker)(nil), math.Inf(-1)
	for i, w := range b.cand {
		if !b.room(now, r, w) {
			continue
		}
		price := 0.0
		if i > 0 && r.key > 0 {
			price = b.s.Prices.Fetch
		}
		// The largest of Gumbel noise less theta x cost is a draw with weights exp(-theta x cost).
		if x := -math.Log(b.rng.ExpFloat64()) - theta*b.cost(now, w, price); x > top {
			best, top = w, x
		}
	}
	return best
}

// gather collects the home of r and its neighbours, alternating sides, passing over workers that r may
// not use. Pass 1 takes in workers already tried, pass 2 ejected ones too.
func (b *Balancer) gather(now time.Duration, r *request, pass int) {
	n := len(b.ring)
	home := int(r.home * float64(n))
	for i, top := 0, uint32(0); r.key > 0 && i < n; i++ { // the same one at every dispatcher
		if x := (r.key ^ b.ring[i].offset) * 0x85ebca6b; (x^x>>15)*0xc2b2ae35 >= top {
			top, home = (x^x>>15)*0xc2b2ae35, i
		}
	}
	for i := 0; i < n && len(b.cand) < 2*neighbours+1; i++ {
		at := home + (i+1)/2*(2*(i%2)-1)
		w := b.ring[(at+n)%n]
		if b.fits(now, r, w, pass) {
			b.cand = append(b.cand, w)
		}
	}
}

func (b *Balancer) fits(now time.Duration, r *request, w *worker, pass int) bool {
	return w.State == Ready && (r.class.Kind == "" || r.class.Kind == w.Kind) &&
		(w.Classes == "" || strings.Contains(w.Classes, ","+r.class.Name+",")) &&
		(len(r.attempts) == 0 || b.maySend(now, r, w)) &&
		(pass == 2 || now >= w.ejectedTo) && (pass > 0 || now >= r.class.shut[w.ID].until) &&
		(pass > 0 || !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == w }))
}

func (b *Balancer) room(now time.Duration, r *request, w *worker) bool {
	if now < w.fullTo || w.trial && w.outs > 0 || !b.coldRoom(now, r, w) || !w.leaves(now, r) {
		return false
	}
	// While requests are refused, cheap jobs leave some slots to dear ones, or these would come too late.
	kept := min(reserveMost, b.shed) * b.slots(now, w) * max(0, 1-r.value/max(cheapShare*b.top, 1e-9))
	if r.class.Effect == Unsafe && b.s.TellsStart { // it cannot leave a queue: careful in need
		kept += b.shed - unsafeSpare
	}
	return b.wait(now, w, r.slots+kept-slotSlack) <= 0
}

// cost is the Q of the softmax: the load, scaled by the speed of w, and the prices of what choosing w brings.
func (b *Balancer) cost(now time.Duration, w *worker, price float64) float64 {
	if w.Zone != b.s.Zone {
		price += b.s.Prices.CrossZone
	}
	if w.outs >= w.conns || now-w.endedAt >= b.s.ConnIdle {
		price += b.s.Prices.Handshake // all open connections are busy, or were closed as idle
	}
	return b.slow(w)/b.warmth(now, w)*(1+b.load(now, w)/max(b.slots(now, w), 0.1)) + priceWeight*price
}
