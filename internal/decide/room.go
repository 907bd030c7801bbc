package decide

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/gossip"
	"cottonwell/internal/room"
)

// roomers is what the Decider keeps for the planner.
type roomers struct {
	classes []string
	plans   []room.Action
	foreign []room.Foreign
	had     [][]string // targets of each scheduler's last word
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// span turns the planner's unit into the module's. A time on a real clock, from the Unix
// epoch, lies within these limits, and the infinite one without.
func span(ms float64) time.Duration {
	return time.Duration(max(-9e12, min(9e12, ms)) * float64(time.Millisecond))
}

// startRoom sets the planner up. What the settings say wins over what the plan says of them.
func (d *Decider) startRoom(plan *room.Config) (err error) {
	if plan == nil {
		return nil
	}
	c := *plan
	c.Self, c.Fleet = d.s.Self, d.s.Fleet
	c.Classes = nil
	for _, x := range d.s.Classes {
		c.Classes = append(c.Classes, x.Name)
	}
	if d.room, err = room.New(c); err != nil {
		return fmt.Errorf("planner of held room: %w", err)
	}
	d.classes = c.Classes
	d.had = make([][]string, d.s.Fleet)
	return nil
}

// Room returns the planner to be looked at, or nil.
func (d *Decider) Room() *room.Planner { return d.room }

// plan hands the planner an event; what it wants is done by settle.
func (d *Decider) plan(now time.Duration, ev room.Event) {
	d.plans = d.room.Step(millis(now), &ev, d.plans)
}

// before says whether a request that this event finishes as served comes too late for its
// aim; afterwards the module has forgotten it.
func (d *Decider) before(now time.Duration, ev *balance.Event) (late bool) {
	return d.room != nil && ev.Kind == balance.Ended && ev.Final && !d.module.InTime(now, ev.Request)
}

// after tells the planner what an event and the module's answer to it mean, and the module
// what the planner holds, until neither has anything to say.
func (d *Decider) after(now time.Duration, ev *balance.Event, late bool, from int, acts []balance.Action) []balance.Action {
	if d.room == nil {
		return acts
	}
	switch ev.Kind {
	case balance.Listed:
		d.roomList(now, ev)
	case balance.Noted:
		if ev.Started {
			d.plan(now, room.Event{Kind: room.Started, Flow: ev.Request})
		}
	case balance.Probed:
		d.measure(now, ev.Worker, &ev.Report)
	case balance.Ended:
		d.plan(now, room.Event{Kind: room.Ended, Flow: ev.Request, OK: ev.Result == balance.OK})
		d.measure(now, ev.Worker, &ev.Report)
		if ev.Final {
			d.plan(now, room.Event{Kind: room.Over, Flow: ev.Request, OK: ev.Result == balance.OK && !late})
		}
	case balance.Departed:
		d.plan(now, room.Event{Kind: room.Over, Flow: ev.Request})
	}
	acts = d.settle(now, ev, from, acts)
	if ev.Kind == balance.Arrived || ev.Kind == balance.Ended && !ev.Final {
		if latest, anywhere, held := d.module.Held(now, ev.Request); held && anywhere {
			e := room.Event{Kind: room.Waits, Flow: ev.Request, Latest: millis(latest)}
			if ev.Kind == balance.Arrived {
				e.Class, e.Tenant, e.Need, e.Memory, e.Sort = ev.Class, ev.Tenant, ev.Slots, ev.Memory, d.sortOf(ev.Class)
			}
			from = len(acts)
			d.plan(now, e)
			acts = d.settle(now, ev, from, acts)
		}
	}
	return acts
}

func (d *Decider) sortOf(class string) string {
	for i := range d.s.Classes {
		if d.s.Classes[i].Name == class {
			return d.s.Classes[i].Kind
		}
	}
	return ""
}

// settle carries the module's actions from the given place on to the planner, and the
// planner's to the module. Each round sends or answers a request, or changes what is held,
// which the planner does a bounded number of times for each event.
func (d *Decider) settle(now time.Duration, ev *balance.Event, from int, acts []balance.Action) []balance.Action {
	for i := from; i < len(acts) || len(d.plans) > 0; {
		for ; i < len(acts); i++ {
			d.act(now, ev, &acts[i])
		}
		plans := d.plans
		d.plans = nil
		for k := range plans {
			acts = d.obey(now, &plans[k], acts)
		}
		if len(d.plans) == 0 {
			d.plans = plans[:0]
		}
	}
	return acts
}

// act tells the planner of one thing that the module does.
func (d *Decider) act(now time.Duration, ev *balance.Event, a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		e := room.Event{Kind: room.Begun, Flow: a.Request, Target: a.Worker}
		if ev.Kind == balance.Arrived && ev.Request == a.Request {
			e.Class, e.Need, e.Memory = ev.Class, ev.Slots, ev.Memory
		}
		d.plan(now, e)
		d.measure(now, a.Worker, nil)
	case balance.Refuse, balance.Fail:
		d.plan(now, room.Event{Kind: room.Over, Flow: a.Request})
	}
}

// obey tells the module of one thing that the planner wants.
func (d *Decider) obey(now time.Duration, a *room.Action, acts []balance.Action) []balance.Action {
	d.ev = balance.Event{Kind: balance.Kept, Worker: a.Target, Request: a.Flow}
	switch a.Kind {
	case room.Wake:
		return append(acts, balance.Action{Kind: balance.Wake, Timer: roomTimer, After: max(0, span(a.At)-now)})
	case room.Hold:
		k := &balance.Keep{Request: a.Flow, Spare: a.Spare, Most: a.Most}
		for i, last := range a.Last {
			if last > millis(now) {
				if k.Last == nil {
					k.Last = make(map[string]time.Duration, len(a.Last))
				}
				k.Last[d.classes[i]] = span(last)
			}
		}
		d.ev.Keep = k
	}
	return d.module.Step(now, &d.ev, acts)
}

func (d *Decider) roomList(now time.Duration, ev *balance.Event) {
	if ev.List == balance.AskFailed {
		return
	}
	if ev.List != balance.Changes {
		listed := map[string]bool{}
		for i := range ev.Members {
			listed[ev.Members[i].ID] = true
		}
		for _, id := range d.room.Targets() {
			if !listed[id] {
				d.plan(now, room.Event{Kind: room.Down, Target: id})
			}
		}
	}
	for i := range ev.Members {
		m := &ev.Members[i]
		if m.State == balance.Suspended {
			continue // what is planned there stands, and the module sends nothing meanwhile
		}
		if m.State != balance.Ready {
			d.plan(now, room.Event{Kind: room.Down, Target: m.ID})
			continue
		}
		h := fnv.New32a()
		h.Write([]byte(m.ID))
		d.plan(now, room.Event{Kind: room.Up, Target: m.ID, Hash: h.Sum32(), Sort: m.Kind, Can: m.Classes})
		d.measure(now, m.ID, nil)
	}
}

// measure tells the planner what the module believes of a target.
func (d *Decider) measure(now time.Duration, id string, rep *balance.Report) {
	v, ok := d.module.View(now, id)
	if !ok {
		return
	}
	e := room.Event{Kind: room.Measured, Target: id, Slots: v.Slots, Busy: v.Load, Memory: -1, Slow: v.Slow, Cold: v.Cold,
		Usable: millis(v.Usable)}
	if rep != nil && rep.Present && rep.Memory > 0 {
		e.Memory = rep.Memory
	}
	d.plan(now, e)
}

func (d *Decider) roomDue(now time.Duration, acts []balance.Action) []balance.Action {
	if d.room == nil {
		return acts
	}
	from := len(acts)
	d.plan(now, room.Event{Kind: room.Due})
	d.ev = balance.Event{Kind: balance.TimerDue}
	return d.settle(now, &d.ev, from, acts)
}

// holds collects what is held here for the next datagram.
func (d *Decider) holds(now time.Duration) {
	d.out.Holds = d.out.Holds[:0]
	if d.room == nil {
		return
	}
	d.room.Own(func(id string, slots, out, from float64) {
		d.out.Holds = append(d.out.Holds, gossip.Hold{Target: gossip.NameOf(id), Slots: slots, Out: out, From: from - millis(now)})
	})
}

// told hands the module and the planner what a scheduler has out and holds.
func (d *Decider) told(now time.Duration, who int, holds []gossip.Hold, acts []balance.Action) []balance.Action {
	from := len(acts)
	d.ev = balance.Event{Kind: balance.PeerSpoke, Who: who, Loads: d.heard[who]}
	acts = d.module.Step(now, &d.ev, acts)
	if d.room == nil {
		return acts
	}
	for _, id := range d.had[who] {
		d.measure(now, id, nil)
	}
	d.had[who] = d.had[who][:0]
	for _, id := range slices.Sorted(maps.Keys(d.heard[who])) {
		d.had[who] = append(d.had[who], id)
		d.measure(now, id, nil)
	}
	d.foreign = d.foreign[:0]
	for _, h := range holds {
		for _, id := range d.called(h.Target) {
			d.foreign = append(d.foreign, room.Foreign{Target: id, Slots: h.Slots, From: millis(now) + h.From})
		}
	}
	d.plan(now, room.Event{Kind: room.Heard, Who: who, Holds: d.foreign})
	d.ev = balance.Event{Kind: balance.PeerSpoke}
	return d.settle(now, &d.ev, from, acts)
}
