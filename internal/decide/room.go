package decide

import (
	"time"

	"cottonwell/balance"
	"cottonwell/internal/room"
	"cottonwell/internal/tell"
)

type roomers struct{}

func (d *Decider) startRoom(plan *room.Config) error                { return nil }
func (d *Decider) before(now time.Duration, ev *balance.Event) bool { return false }
func (d *Decider) after(now time.Duration, ev *balance.Event, late bool, from int, acts []balance.Action) []balance.Action {
	return acts
}
func (d *Decider) roomDue(now time.Duration, acts []balance.Action) []balance.Action { return acts }
func (d *Decider) holds(now time.Duration)                                           {}
func (d *Decider) told(now time.Duration, who int, holds []tell.Hold, acts []balance.Action) []balance.Action {
	d.ev = balance.Event{Kind: balance.PeerSpoke, Who: who, Loads: d.loads}
	return d.module.Step(now, &d.ev, acts)
}
