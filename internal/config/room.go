package config

import (
	"fmt"

	"cottonwell/balance"
	"cottonwell/internal/room"
	"cottonwell/internal/units"
)

// Room is the part of the operator's file that sets held room up. docs/ROOM.md explains the
// keys; what is left out stands at its default.
type Room struct {
	Mode        string        `toml:"mode,omitempty"`
	Large       *float64      `toml:"large_slots,omitempty"`
	Share       *units.Share  `toml:"share,omitempty"`
	TenantShare *units.Share  `toml:"tenant_share,omitempty"`
	Longest     *units.Millis `toml:"longest,omitempty"`
	Confidence  *units.Share  `toml:"confidence,omitempty"`
	SmallDrop   *units.Share  `toml:"small_drop,omitempty"`
}

var roomModes = map[string]room.Mode{"": room.Backfill, "backfill": room.Backfill, "no-backfill": room.NoBackfill, "emptying": room.Emptying}

// Plan is what the planner is made from; classes and numbers come from the settings.
func (r *Room) Plan() *room.Config {
	c := room.Default()
	c.Mode = roomModes[r.Mode]
	if r.Large != nil {
		c.Large = *r.Large
	}
	if r.Longest != nil {
		c.Longest = float64(*r.Longest)
	}
	for to, x := range map[*float64]*units.Share{&c.Share: r.Share, &c.TenantShare: r.TenantShare, &c.Confidence: r.Confidence, &c.SmallDrop: r.SmallDrop} {
		if x != nil {
			*to = float64(*x)
		}
	}
	return &c
}

func (r *Room) check(s *balance.Settings) error {
	if _, ok := roomModes[r.Mode]; !ok {
		return fmt.Errorf("room.mode is %q, and may be backfill, no-backfill or emptying", r.Mode)
	}
	c := r.Plan()
	c.Self, c.Fleet = s.Self, s.Fleet
	for _, x := range s.Classes {
		c.Classes = append(c.Classes, x.Name)
	}
	return c.Check()
}
