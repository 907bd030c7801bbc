// Package decide puts the decision module together with what is planned and told beside it:
// the planner of held room, and the datagrams among schedulers. Like the module it is a state
// machine without I/O, and it takes the module's place for whoever hosts one: the core on
// sockets, and the adapter on the simulator's wire.
package decide

import (
	"time"

	"cottonwell/balance"
	"cottonwell/internal/gossip"
	"cottonwell/internal/room"
)

const (
	tellEvery  = 10 * time.Millisecond   // schedulers tell one another what they have out,
	wholeEvery = 600 * time.Millisecond  // all of it is said now and then to those whom it concerns,
	holdEvery  = 40 * time.Millisecond   // and nothing but all while room is held,
	toldFor    = 1400 * time.Millisecond // and some of it may be lost
	owedWholes = 2                       // whole words for one whom nothing concerns any more
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
	names   map[string]gossip.Name   // of the listed targets
	short   map[gossip.Name][]string // and these by what datagrams call them
	long    map[gossip.Name][]string
	toldAt  []time.Duration      // when each other scheduler last spoke; 0: silent
	heard   []map[string]float64 // what each of them has out
	at      map[string][]int     // who of them has work at a target
	owed    []int                // whole words that each of them is still to get
	said    []gossip.Load        // what this one has told of its own
	wholeAt time.Duration        // when it last told all; 0: never
	part    []gossip.Load        // changes since
	in      gossip.Message
	out     gossip.Message
	raw     []byte
	held    bool          // the last whole datagram told of held room
	ev      balance.Event // the module's event in hand, or one made here

	Unreadable int // datagrams that could not be read

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
	d := &Decider{s: s, module: module, names: map[string]gossip.Name{}, short: map[gossip.Name][]string{}, long: map[gossip.Name][]string{},
		at: map[string][]int{}, toldAt: make([]time.Duration, s.Fleet),
		heard: make([]map[string]float64, s.Fleet), owed: make([]int, s.Fleet)}
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

// View is what the module believes of a target.
func (d *Decider) View(now time.Duration, target string) (balance.View, bool) {
	return d.module.View(now, target)
}
