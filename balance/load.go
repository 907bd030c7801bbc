package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What the workers have to do: by their own reports, by what other dispatchers tell, and by the own attempts
// that are out.

// slots is how many slots w has for work now: fewer while it is cold.
func (b *Balancer) slots(now time.Duration, w *worker) float64 {
	return cmp.Or(w.slots, b.slotsMean) * b.warmth(now, w)
}

// note keeps what a dispatcher has out at each worker by its word: nothing, where it names none. The cost
// grows with what was named, not with the workers: with many dispatchers these are most of all events. less
// says that there may be room now.
func (b *Balancer) note(now time.Duration, who int, loads map[string]float64) (less bool) {
	if b.tells[who] == nil {
		b.tells[who] = map[string]float64{}
	}
	had := b.tells[who]
	for id := range had {
		if loads[id] == 0 {
			less = b.noteAt(now, had, id, 0) || less
		}
	}
	for id, slots := range loads {
		less = b.noteAt(now, had, id, slots) || less
	}
	return less
}

func (b *Balancer) noteAt(now time.Duration, had map[string]float64, id string, slots float64) (less bool) {
	less = slots < had[id]
	if w := b.workers[id]; w != nil && had[id] != slots {
		w.told += slots - had[id]
		if less {
			b.backOff(now, w)
		}
		if more := slots - had[id]; more > 0 && b.warmth(now, w) < 1 {
			b.refill(now, w)
			w.tokens -= more * b.runMean
		}
		w.mark(now)
		had[id] = slots
	}
	if slots == 0 {
		delete(had, id)
	}
	return less
}

// owns says whether room is held at w for r.
func (w *worker) owns(r *request) bool { return w.keep != nil && w.keep.Request == r.id }

// leaves says whether r at w leaves alone what is held there for another.
func (w *worker) leaves(now time.Duration, r *request) bool {
	k := w.keep
	return k == nil || w.owns(r) || r.slots <= k.Spare || r.slots <= k.Most && now <= k.Last[r.class.Name]
}

// load is how many slots of w are taken or waited for: own work, and others' as last reported. Old reports
// fade into the mean of all workers, which may not say that all are full, or dispatchers with late reports
// would stop and start together; it fades when no report comes at all. Nor is w taken for emptier than
// learned caution says, short of one slot: others see the same report, and go there too. Cheap jobs wait.
func (b *Balancer) load(now time.Duration, w *worker) float64 {
	tau := max(b.runMean*b.pace(), 0.2)
	n := b.slots(now, w)
	mean := n * max(0, min(b.others, b.blind)) * math.Exp(-(now-b.heardAt).Seconds()/(3*tau))
	if w.repAt == 0 {
		return w.own + w.told + mean
	}
	fresh := math.Exp(-(now - w.repAt + b.lag).Seconds() / tau)
	floor := min(n-1, n*(b.blind-blindShare)/(blindMost-blindShare))
	return w.own + max(0, floor, w.told+mean+(w.others-mean)*fresh)
}

// slow is how much longer than the average worker w needs for a job.
func (b *Balancer) slow(w *worker) float64 {
	prior := speedPrior * max(b.runMean, 1e-3)
	return (w.ran + prior*b.pace()) / (w.expected + prior)
}

// wait is how long a job of so many slots would wait in w's queue. However cold, w runs one job at a time:
// one with a single slot would else stand idle until it is warm. What it may be sent is coldRoom's to bound.
func (b *Balancer) wait(now time.Duration, w *worker, slots float64) time.Duration {
	n := max(1, b.slots(now, w))
	return seconds(max(0, b.load(now, w)+slots-n) / n * b.runMean * b.slow(w))
}

// own notes a change of this dispatcher's own work at w.
func (b *Balancer) own(now time.Duration, w *worker, r *request, n int) {
	w.own = max(0, w.own+float64(n)*r.slots)
	w.outs, r.outs = w.outs+n, r.outs+n
	w.conns = max(w.conns, w.outs)
	w.mark(now)
}

// mark notes what is known to be at w: own work and what others told of theirs.
func (w *worker) mark(now time.Duration) {
	if len(w.marks) >= 64 {
		w.marks = slices.Delete(w.marks, 0, 32)
	}
	w.marks = append(w.marks, mark{now, w.own + w.told})
}

func (w *worker) ownAt(at time.Duration) float64 {
	for i := len(w.marks) - 1; i >= 0; i-- {
		if w.marks[i].at <= at {
			return w.marks[i].x
		}
	}
	return 0
}

// report takes in a worker's figures. Own work at the time they were taken is subtracted, so that it
// counts once.
func (b *Balancer) report(now time.Duration, w *worker, rep *Report) {
	if !rep.Present {
		return
	}
	b.heardAt = now
	total := rep.InFlight * b.slotMean
	if b.s.ReportsFree && rep.Free >= 0 && rep.InFlight >= 0 {
		n := rep.Free + max(0, rep.InFlight-max(0, rep.Waiting))*b.slotMean
		had := cmp.Or(w.slots, max(n, 1))
		w.slots = max(1, had+0.1*(n-had))
		b.slotsMean += 0.02 * (w.slots - b.slotsMean)
		total = w.slots - rep.Free + max(0, rep.Waiting)*b.slotMean
	}
	if total < 0 {
		return
	}
	if w.rep != *rep || w.repAt == 0 { // else the same figures again, perhaps of the same moment
		b.fit(now, w, total)
		w.others = total - w.ownAt(now-b.lag)
	}
	w.rep, w.repAt = *rep, now
	b.others += 0.05 * (w.others/max(w.slots, 1) - b.others)
}

// fit finds the age of the reports: the one at which own work explains most of what they say. Reports that
// come seconds late would else have their old load counted as others' (and good workers refused).
func (b *Balancer) fit(now time.Duration, w *worker, total float64) {
	best := 0
	for i, lag := range lags {
		d := (total - w.ownAt(now-lag) - w.mean) / max(w.slots, 1)
		b.misfit[i] += 0.03 * (d*d - b.misfit[i])
		if b.misfit[i] < 0.98*b.misfit[best] {
			best = i
		}
	}
	b.lag = lags[best]
	w.mean += 0.1 * (total - w.ownAt(now-b.lag) - w.mean)
}
