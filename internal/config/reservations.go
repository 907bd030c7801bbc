package config

import (
	"fmt"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
	"cottonwell/internal/units"
)

// Reservations is the section [room] of the operator's file. It sets up reservations for large jobs.
// docs/ROOM.md explains the keys; a key that is left out has its default.
type Reservations struct {
	Mode        string        `toml:"mode,omitempty"`
	LargeSlots  *float64      `toml:"large_slots,omitempty"`
	Share       *units.Share  `toml:"share,omitempty"`
	TenantShare *units.Share  `toml:"tenant_share,omitempty"`
	MaxDuration *units.Millis `toml:"longest,omitempty"`
	Confidence  *units.Share  `toml:"confidence,omitempty"`
	SmallDrop   *units.Share  `toml:"small_drop,omitempty"`
}

var backfillModes = map[string]backfill.Mode{"": backfill.Backfill, "backfill": backfill.Backfill, "no-backfill": backfill.NoBackfill, "emptying": backfill.Emptying}

// PlannerConfig returns the planner's configuration without the classes and the scheduler's number, which
// come from the settings.
func (r *Reservations) PlannerConfig() *backfill.Config {
	cfg := backfill.Default()
	cfg.Mode = backfillModes[r.Mode]
	if r.LargeSlots != nil {
		cfg.LargeSlots = *r.LargeSlots
	}
	if r.MaxDuration != nil {
		cfg.MaxDuration = float64(*r.MaxDuration)
	}
	for dest, share := range map[*float64]*units.Share{&cfg.Share: r.Share, &cfg.TenantShare: r.TenantShare, &cfg.Confidence: r.Confidence, &cfg.MaxSmallUnserved: r.SmallDrop} {
		if share != nil {
			*dest = float64(*share)
		}
	}
	return &cfg
}

// check returns an error if the section is invalid with these settings.
func (r *Reservations) check(s *balance.Settings) error {
	if _, ok := backfillModes[r.Mode]; !ok {
		return fmt.Errorf("room.mode is %q, and may be backfill, no-backfill or emptying", r.Mode)
	}
	cfg := r.PlannerConfig()
	cfg.Self, cfg.Fleet = s.Self, s.Fleet
	for _, class := range s.Classes {
		cfg.Classes = append(cfg.Classes, class.Name)
	}
	return cfg.Check()
}
