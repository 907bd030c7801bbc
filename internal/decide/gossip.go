package decide

import (
	"cmp"
	"slices"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/gossip"
)

// list keeps the names of the listed targets.
func (d *Decider) list(ev *balance.Event) {
	if ev.List != balance.Changes {
		clear(d.names)
		clear(d.short)
		clear(d.long)
	}
	for i := range ev.Members {
		id := ev.Members[i].ID
		n, had := d.names[id]
		switch gone := ev.Members[i].State == balance.Gone; {
		case had && gone:
			delete(d.names, id)
			without(d.short, n.Short(), id)
			without(d.long, n, id)
		case !had && !gone:
			n = gossip.NameOf(id)
			d.names[id] = n
			d.short[n.Short()] = append(d.short[n.Short()], id)
			d.long[n] = append(d.long[n], id)
		}
	}
}

func without(names map[gossip.Name][]string, n gossip.Name, id string) {
	ids := slices.DeleteFunc(names[n], func(x string) bool { return x == id })
	if names[n] = ids; len(ids) == 0 {
		delete(names, n)
	}
}

// tell says to the other schedulers what this one has out and holds: what changed, and now and
// then all of it, so that no datagram has to arrive. Whoever was silent for too long has nothing
// out and holds nothing: only reports tell of its work.
func (d *Decider) tell(now time.Duration, acts []balance.Action) []balance.Action {
	if !d.s.Peers || d.s.Fleet < 2 {
		return acts
	}
	for who, at := range d.toldAt {
		if at > 0 && now-at > toldFor {
			d.toldAt[who] = 0
			for id := range d.heard[who] {
				d.set(who, id, 0)
			}
			acts = d.told(now, who, nil, acts)
		}
	}
	d.collect()
	d.holds(now)
	// A datagram of changes holds no room, so that none is sent while some is held, or was by the last word.
	holding, every := len(d.out.Holds) > 0 || d.held, wholeEvery
	if holding {
		every = holdEvery
	}
	first := d.wholeAt == 0
	if whole := first || now-d.wholeAt >= every; whole || !holding && len(d.part) > 0 {
		to, some := d.audience(whole)
		m := &gossip.Message{Part: true, Loads: d.part}
		if whole {
			d.wholeAt, d.held, m = max(now, 1), len(d.out.Holds) > 0, &d.out
		}
		if first || holding { // a start ends whatever its name had out; room is planned for by all
			to, some = nil, true
		}
		if d.said = append(d.said[:0], d.out.Loads...); some {
			acts = d.say(m, to, acts)
		}
	}
	return append(acts, balance.Action{Kind: balance.Wake, Timer: tellTimer, After: tellEvery})
}

// collect lists what is out, in the order of the names, and what of it changed since the last word.
func (d *Decider) collect() {
	d.out.Loads, d.part = d.out.Loads[:0], d.part[:0]
	d.module.Out(func(id string, slots float64) {
		if n, ok := d.names[id]; ok {
			d.out.Loads = append(d.out.Loads, gossip.Load{Target: n, Slots: slots})
		}
	})
	slices.SortFunc(d.out.Loads, func(x, y gossip.Load) int { return cmp.Compare(x.Target, y.Target) })
	n := 0
	for _, l := range d.out.Loads { // targets that share a whole name are told as one
		if n > 0 && d.out.Loads[n-1].Target == l.Target {
			d.out.Loads[n-1].Slots += l.Slots
			continue
		}
		d.out.Loads[n] = l
		n++
	}
	d.out.Loads = d.out.Loads[:n]
	old := d.said
	for _, l := range d.out.Loads {
		for ; len(old) > 0 && old[0].Target < l.Target; old = old[1:] {
			d.part = append(d.part, gossip.Load{Target: old[0].Target})
		}
		if len(old) > 0 && old[0].Target == l.Target {
			if old[0].Slots != l.Slots {
				d.part = append(d.part, l)
			}
			old = old[1:]
			continue
		}
		d.part = append(d.part, l)
	}
	for _, l := range old {
		d.part = append(d.part, gossip.Load{Target: l.Target})
	}
}

// say puts a message into as many datagrams as it takes. Those of old say it in one, unless it
// does not fit, or a target's short name is another's too: what they left out would be taken for
// idle, and the other target would have the work as well.
func (d *Decider) say(m *gossip.Message, to []int, acts []balance.Action) []balance.Action {
	tells := func() { acts = append(acts, balance.Action{Kind: balance.Tell, Raw: string(d.raw), To: to}) }
	shared := func(n gossip.Name) bool { return len(d.short[n.Short()]) > 1 }
	if m.Fits() && !slices.ContainsFunc(m.Loads, func(l gossip.Load) bool { return shared(l.Target) }) &&
		!slices.ContainsFunc(m.Holds, func(h gossip.Hold) bool { return shared(h.Target) }) {
		if d.raw = d.raw[:0]; m.Part {
			d.raw = gossip.AppendPart(d.raw, m.Loads)
		} else {
			d.raw = gossip.Append(d.raw, m)
		}
		tells()
		return acts
	}
	rest := *m
	for first := gossip.Name(0); ; {
		told := 0
		d.raw, told, first = gossip.AppendLong(d.raw[:0], &rest, first)
		tells()
		if rest.Loads = rest.Loads[told:]; len(rest.Loads) == 0 {
			return acts
		}
	}
}

// audience is whom a word is for: those that may have jobs for the targets in question, by their
// place on the ring or because they have some there. So what is spent on telling grows with the
// schedulers that share a target, not with all of them. Whoever was told of changes gets whole
// words, too, and some more after the last that concerned it, so that what it believes ends even if
// one is lost; beyond that it takes this scheduler for silent there, which it is. nil stands for all.
func (d *Decider) audience(whole bool) (to []int, some bool) {
	share, n := make([]bool, d.s.Fleet), 0
	add := func(who int) {
		if who != d.s.Self && !share[who] {
			share[who] = true
			n++
		}
	}
	about := d.part
	if whole {
		about = append(about, d.out.Loads...)
		d.part = about[:len(d.part)]
	}
	for _, l := range about {
		for _, id := range d.long[l.Target] {
			for k, last := d.module.Near(id); k <= last; k++ {
				add((k + d.s.Fleet) % d.s.Fleet)
			}
			for _, who := range d.at[id] {
				add(who)
			}
		}
	}
	for who := range d.owed {
		switch {
		case share[who]:
			d.owed[who] = owedWholes
		case whole && d.owed[who] > 0:
			d.owed[who]--
			add(who)
		}
	}
	if n == d.s.Fleet-1 {
		return nil, true
	}
	to = make([]int, 0, n)
	for who, yes := range share {
		if yes {
			to = append(to, who)
		}
	}
	return to, n > 0
}

// set notes what another scheduler has out at a target.
func (d *Decider) set(who int, id string, slots float64) {
	has := d.heard[who]
	had := has[id] > 0
	switch {
	case slots > 0:
		if has[id] = slots; !had {
			d.at[id] = append(d.at[id], who)
		}
	case had:
		delete(has, id)
		at := d.at[id]
		i := slices.Index(at, who)
		at[i] = at[len(at)-1]
		if d.at[id] = at[:len(at)-1]; len(at) == 1 {
			if _, listed := d.names[id]; !listed {
				delete(d.at, id)
			}
		}
	}
}

// called lists the targets that the datagram in hand means by a name.
func (d *Decider) called(n gossip.Name) []string {
	if d.in.Long {
		return d.long[n]
	}
	return d.short[n]
}

// hear takes in what another scheduler says. What cannot be read is counted and passed over.
func (d *Decider) hear(now time.Duration, ev *balance.Event, acts []balance.Action) []balance.Action {
	if ev.Who < 0 || ev.Who >= d.s.Fleet || ev.Who == d.s.Self || gossip.Parse(ev.Raw, &d.in) != nil {
		d.Unreadable++
		return acts
	}
	d.toldAt[ev.Who] = now
	if d.heard[ev.Who] == nil {
		d.heard[ev.Who] = map[string]float64{}
	}
	if !d.in.Part {
		for id := range d.heard[ev.Who] {
			if d.in.Long {
				if n := gossip.NameOf(id); n < d.in.First || n > d.in.Final {
					continue
				}
			}
			d.set(ev.Who, id, 0)
		}
	}
	for _, l := range d.in.Loads {
		for _, id := range d.called(l.Target) {
			d.set(ev.Who, id, l.Slots)
		}
	}
	return d.told(now, ev.Who, d.in.Holds, acts)
}
