package balance

import (
	"cmp"
	"slices"
	"time"
)

// The worker list: who is on the ring, and the call for it.

func (b *Balancer) ask() {
	if b.s.Subscribe && b.asking.begin() {
		b.do(Action{Kind: Subscribe})
	}
}

func (b *Balancer) list(now time.Duration, ev *Event) {
	if ev.List == AskFailed {
		b.do(Action{Kind: Wake, Timer: askTimer, After: b.asking.failed(now, &b.s, b.rng)})
		return
	}
	b.gen++
	for i := range ev.Members {
		b.member(now, &ev.Members[i])
	}
	if ev.List != Changes {
		for _, w := range slices.Clone(b.ring) {
			if w.gen != b.gen {
				b.unlist(w)
			}
		}
	}
	switch {
	case ev.List == FromDisk:
		if wait := b.asking.start(now, &b.s, b.rng); wait > 0 {
			b.do(Action{Kind: Wake, Timer: askTimer, After: wait})
		} else {
			b.ask()
		}
	case !ev.Local:
		b.asking.heard()
	}
	b.place(now)
}

func (b *Balancer) member(now time.Duration, m *Member) {
	w := b.workers[m.ID]
	if w == nil {
		w = &worker{}
		if m.State == Ready || m.State == Suspended {
			b.workers[m.ID] = w
		}
	}
	if w.ID == "" || m.Started != w.Started { // new, or restarted: nothing known of an old process holds
		*w = worker{Member: *m, listed: w.listed, own: w.own, outs: w.outs, marks: w.marks, slots: w.slots,
			heardAt: now, offset: hash(m.ID)}
		for _, had := range b.tells {
			delete(had, m.ID)
		}
	}
	w.Member, w.gen = *m, b.gen
	if m.State != Ready && m.State != Suspended {
		b.unlist(w)
		return
	}
	if !w.listed {
		w.listed = true
		i, _ := slices.BinarySearchFunc(b.ring, w, func(x, y *worker) int { return cmp.Compare(x.ID, y.ID) })
		b.ring = slices.Insert(b.ring, i, w)
	}
}

func (b *Balancer) unlist(w *worker) {
	w.listed, w.keep = false, nil
	b.ring = slices.DeleteFunc(b.ring, func(x *worker) bool { return x == w })
	b.drop(w)
}

// drop forgets a worker neither listed nor holding work of ours, or memory would grow with the day.
func (b *Balancer) drop(w *worker) {
	if !w.listed && w.outs == 0 {
		delete(b.workers, w.ID)
	}
}
