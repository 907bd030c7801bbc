// Package decide puts the decision module together with what is planned and told beside it:
// the planner of held room, and the datagrams among schedulers. Like the module it is a state
// machine without I/O, and it takes the module's place for whoever hosts one: the core on
// sockets, and the adapter on the simulator's wire.
package decide

import (
	"slices"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/room"
	"cottonwell/internal/tell"
)

const (
	tellEvery  = 10 * time.Millisecond   // schedulers tell one another what they have out,
	wholeEvery = 600 * time.Millisecond  // all of it is said to everybody now and then,
	holdEvery  = 40 * time.Millisecond   // and nothing but all while room is held,
	toldFor    = 1400 * time.Millisecond // and some of it may be lost
)

// Timers of this package; the module's own are below.
const (
	tellTimer = uint64(1)<<61 + iota
	roomTimer
)

// Decider decides for one scheduler.
type Decider struct {
	s       balance.Settings
	module  *balance.Balancer
	names   map[tell.Name][]string // listed targets by what datagrams call them
	toldAt  []time.Duration        // when each other scheduler last spoke; 0: silent
	heard   []map[string]float64   // what each of them has out
	said    []tell.Load            // what this one has told of its own
	wholeAt time.Duration          // when it last told all
	part    []tell.Load            // changes since
	in      tell.Message
	out     tell.Message
	raw     []byte
	held    bool          // the last whole datagram told of held room
	ev      balance.Event // the module's event in hand, or one made here

	Strange int // datagrams that could not be read

	room *room.Planner // nil while it is off
	roomers
}

// New returns a Decider, or says which of the settings is impossible. Without a plan no room
// is held, here; what others hold is respected all the same.
func New(s balance.Settings, seed uint64, plan *room.Config) (*Decider, error) {
	module, err := balance.New(s, seed)
	if err != nil {
		return nil, err
	}
	d := &Decider{s: s, module: module, names: map[tell.Name][]string{}, toldAt: make([]time.Duration, s.Fleet),
		heard: make([]map[string]float64, s.Fleet)}
	if err := d.startRoom(plan); err != nil {
		return nil, err
	}
	return d, nil
}

// Step takes one event at the given time and appends the actions that answer it.
func (d *Decider) Step(now time.Duration, ev *balance.Event, acts []balance.Action) []balance.Action {
	from := len(acts)
	switch {
	case ev.Kind == balance.TimerDue && ev.Timer == tellTimer:
		return d.tell(now, acts)
	case ev.Kind == balance.TimerDue && ev.Timer == roomTimer:
		return d.roomDue(now, acts)
	case ev.Kind == balance.PeerSpoke:
		return d.hear(now, ev, acts)
	case ev.Kind == balance.Listed && ev.List != balance.AskFailed:
		d.list(ev)
	}
	late := d.before(now, ev)
	acts = d.module.Step(now, ev, acts)
	acts = d.after(now, ev, late, from, acts)
	if ev.Kind == balance.Listed && ev.List == balance.FromDisk {
		acts = d.tell(now, acts)
	}
	return acts
}

// list keeps the names of the listed targets.
func (d *Decider) list(ev *balance.Event) {
	if ev.List != balance.Changes {
		clear(d.names)
	}
	for i := range ev.Members {
		id := ev.Members[i].ID
		n := tell.NameOf(id)
		at := -1
		for k, x := range d.names[n] {
			if x == id {
				at = k
			}
		}
		switch gone := ev.Members[i].State == balance.Gone; {
		case at < 0 && !gone:
			d.names[n] = append(d.names[n], id)
		case at >= 0 && gone:
			d.names[n] = append(d.names[n][:at], d.names[n][at+1:]...)
			if len(d.names[n]) == 0 {
				delete(d.names, n)
			}
		}
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
			clear(d.heard[who])
			acts = d.told(now, who, nil, acts)
		}
	}
	d.out.Loads, d.part = d.out.Loads[:0], d.part[:0]
	d.module.Out(func(id string, slots float64) { // targets that share a name are told as one
		n := tell.NameOf(id)
		if i := index(d.out.Loads, n); i >= 0 {
			d.out.Loads[i].Slots += slots
			return
		}
		d.out.Loads = append(d.out.Loads, tell.Load{Target: n, Slots: slots})
	})
	d.holds(now)
	for _, l := range d.out.Loads {
		if i := index(d.said, l.Target); i < 0 || d.said[i].Slots != l.Slots {
			d.part = append(d.part, l)
		}
	}
	for _, l := range d.said {
		if index(d.out.Loads, l.Target) < 0 {
			d.part = append(d.part, tell.Load{Target: l.Target})
		}
	}
	// A datagram of changes holds no room, so that none is sent while some is held, or was by the last word.
	holding, every := len(d.out.Holds) > 0 || d.held, wholeEvery
	if holding {
		every = holdEvery
	}
	if whole := now-d.wholeAt >= every; whole || !holding && len(d.part) > 0 {
		to := []int(nil)
		if whole {
			d.wholeAt, d.held = now, len(d.out.Holds) > 0
			d.raw = tell.Append(d.raw[:0], &d.out)
		} else {
			to = d.audience()
			d.raw = tell.AppendPart(d.raw[:0], d.part)
		}
		d.said = append(d.said[:0], d.out.Loads...)
		if to == nil || len(to) > 0 {
			acts = append(acts, balance.Action{Kind: balance.Tell, Raw: string(d.raw), To: to})
		}
	}
	return append(acts, balance.Action{Kind: balance.Wake, Timer: tellTimer, After: tellEvery})
}

// index is where loads tell of a target, or -1.
func index(loads []tell.Load, n tell.Name) int {
	return slices.IndexFunc(loads, func(l tell.Load) bool { return l.Target == n })
}

// audience is whom changes are for: those that may have jobs for the targets in question, by their
// place on the ring or because they have some there. So what is spent on telling grows with the
// schedulers that share a target, not with all of them. nil stands for all.
func (d *Decider) audience() []int {
	share, n := make([]bool, d.s.Fleet), 0
	for _, l := range d.part {
		for _, id := range d.names[l.Target] {
			near := d.module.Near(id)
			for who := range share {
				if who != d.s.Self && !share[who] && (near(who) || d.heard[who][id] > 0) {
					share[who] = true
					n++
				}
			}
		}
	}
	if n == d.s.Fleet-1 {
		return nil
	}
	to := make([]int, 0, n)
	for who, yes := range share {
		if yes {
			to = append(to, who)
		}
	}
	return to
}

// hear takes in what another scheduler says. What cannot be read is counted and passed over.
func (d *Decider) hear(now time.Duration, ev *balance.Event, acts []balance.Action) []balance.Action {
	if ev.Who < 0 || ev.Who >= d.s.Fleet || ev.Who == d.s.Self || tell.Parse(ev.Raw, &d.in) != nil {
		d.Strange++
		return acts
	}
	d.toldAt[ev.Who] = now
	if d.heard[ev.Who] == nil {
		d.heard[ev.Who] = map[string]float64{}
	}
	has := d.heard[ev.Who]
	if !d.in.Part {
		clear(has)
	}
	for _, l := range d.in.Loads {
		for _, id := range d.names[l.Target] {
			if has[id] = l.Slots; l.Slots == 0 {
				delete(has, id)
			}
		}
	}
	return d.told(now, ev.Who, d.in.Holds, acts)
}

// View is what the module believes of a target.
func (d *Decider) View(now time.Duration, target string) (balance.View, bool) {
	return d.module.View(now, target)
}
