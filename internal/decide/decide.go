// Package decide puts the decision module together with what is planned and told beside it:
// the planner of held room, and the datagrams among schedulers. Like the module it is a state
// machine without I/O, and it takes the module's place for whoever hosts one: the core on
// sockets, and the adapter on the simulator's wire.
package decide

import (
	"time"

	"cottonwell/balance"
	"cottonwell/internal/room"
	"cottonwell/internal/tell"
)

const (
	tellEvery = 40 * time.Millisecond // schedulers tell one another what they have out,
	toldFor   = 10 * tellEvery        // and some of it may be lost
)

// Timers of this package; the module's own are below.
const (
	tellTimer = uint64(1)<<61 + iota
	roomTimer
)

// Decider decides for one scheduler.
type Decider struct {
	s      balance.Settings
	module *balance.Balancer
	names  map[tell.Name][]string // listed targets by what datagrams call them
	toldAt []time.Duration        // when each other scheduler last spoke; 0: silent
	loads  map[string]float64     // what the one heard last has out
	said   string                 // the last datagram
	saidAt time.Duration
	in     tell.Message
	out    tell.Message
	raw    []byte
	ev     balance.Event // the module's event in hand, or one made here

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
		loads: map[string]float64{}}
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

// tell says to the other schedulers what this one has out and holds; if nothing changed, each
// third time. A datagram is whole by itself, so that none has to arrive. Whoever was silent
// for too long has nothing out and holds nothing: only reports tell of its work.
func (d *Decider) tell(now time.Duration, acts []balance.Action) []balance.Action {
	if !d.s.Peers || d.s.Fleet < 2 {
		return acts
	}
	for who, at := range d.toldAt {
		if at > 0 && now-at > toldFor {
			d.toldAt[who] = 0
			clear(d.loads)
			acts = d.told(now, who, nil, acts)
		}
	}
	d.out.Loads = d.out.Loads[:0]
	d.module.Out(func(id string, slots float64) {
		d.out.Loads = append(d.out.Loads, tell.Load{Target: tell.NameOf(id), Slots: slots})
	})
	d.holds(now)
	d.raw = tell.Append(d.raw[:0], &d.out)
	if string(d.raw) != d.said || now-d.saidAt >= 3*tellEvery {
		d.said, d.saidAt = string(d.raw), now
		acts = append(acts, balance.Action{Kind: balance.Tell, Raw: d.said})
	}
	return append(acts, balance.Action{Kind: balance.Wake, Timer: tellTimer, After: tellEvery})
}

// hear takes in what another scheduler says. What cannot be read is counted and passed over.
func (d *Decider) hear(now time.Duration, ev *balance.Event, acts []balance.Action) []balance.Action {
	if ev.Who < 0 || ev.Who >= d.s.Fleet || ev.Who == d.s.Self || tell.Parse(ev.Raw, &d.in) != nil {
		d.Strange++
		return acts
	}
	d.toldAt[ev.Who] = now
	clear(d.loads)
	for _, l := range d.in.Loads {
		for _, id := range d.names[l.Target] {
			d.loads[id] = l.Slots
		}
	}
	return d.told(now, ev.Who, d.in.Holds, acts)
}

// View is what the module believes of a target.
func (d *Decider) View(now time.Duration, target string) (balance.View, bool) {
	return d.module.View(now, target)
}
