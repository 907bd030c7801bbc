package config

import (
	"fmt"
	"maps"
	"slices"

	"cottonwell/balance"
	"cottonwell/internal/fleet"
	"cottonwell/internal/fleet/health"
	"cottonwell/internal/fleet/lease"
	"cottonwell/internal/fleet/members"
	"cottonwell/internal/fleet/rules"
	"cottonwell/internal/fleet/usage"
	"cottonwell/internal/units"
)

// Fleet is the section [fleet] of the operator's file. It sets up membership among the schedulers and
// the leases of duties. docs/DUTIES.md explains the keys; a key that is left out has its default.
type Fleet struct {
	Voters          *int          `toml:"voters,omitempty"`
	Lease           *units.Millis `toml:"lease,omitempty"`
	Quiet           *units.Millis `toml:"quiet,omitempty"`
	Drift           *units.Share  `toml:"drift,omitempty"`
	Period          *units.Millis `toml:"period,omitempty"`
	ResponseTimeout *units.Millis `toml:"answer_in,omitempty"`
	Duties          []Duty        `toml:"duty,omitempty"`
	Examiner        *Examiner     `toml:"examiner,omitempty"`
	// Accountant makes one scheduler add up the demand of each tenant; docs/DUTIES.md explains its keys, too.
	Accountant *Accountant `toml:"accountant,omitempty"`
	Rules      *Rules      `toml:"rules,omitempty"`
}

// Rules sets up the agreement of the schedulers on a rules document; docs/RULES.md explains it. Its duty is
// added to the listed ones.
type Rules struct {
	File        string        `toml:"file"` // relative to the directory of the operator's file
	AgreeWithin *units.Millis `toml:"agree_within,omitempty"`

	doc *rules.Doc
}

// Load reads the rules document and checks it against the settings. Each call reads the file again.
func (r *Rules) Load(s *balance.Settings) (*rules.Doc, error) {
	doc, err := rules.Load(r.File)
	if err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	if err := checkRules(s)(doc); err != nil {
		return nil, fmt.Errorf("rules: %s: %w", r.File, err)
	}
	return doc, nil
}

// checkRules returns a check that rejects rules for unknown classes or tenants, and rules that exceed the
// platform's settings.
func checkRules(s *balance.Settings) func(*rules.Doc) error {
	return func(doc *rules.Doc) error {
		for _, name := range slices.Sorted(maps.Keys(doc.Classes)) {
			if !slices.ContainsFunc(s.Classes, func(c balance.Class) bool { return c.Name == name }) {
				return fmt.Errorf("class.%s: the settings have no such class", name)
			}
			if attempts := doc.Classes[name].Attempts; attempts != nil && *attempts > s.MaxAttempts {
				return fmt.Errorf("class.%s.attempts is %d, and the settings allow %d", name, *attempts, s.MaxAttempts)
			}
		}
		for _, name := range slices.Sorted(maps.Keys(doc.Tenants)) {
			if !slices.ContainsFunc(s.Tenants, func(t balance.Tenant) bool { return t.Name == name }) {
				return fmt.Errorf("tenant.%s: the settings have no such tenant", name)
			}
		}
		return nil
	}
}

// newConfig returns the configuration of the rules agreement among that number of schedulers.
func (r *Rules) newConfig(s *balance.Settings, schedulers int, leaseConfig *lease.Config) *rules.Config {
	cfg := rules.Default()
	cfg.Self, cfg.Fleet, cfg.RunID, cfg.Seed, cfg.Drift = s.Self, schedulers, leaseConfig.RunID, leaseConfig.Seed, leaseConfig.Drift
	cfg.InitialDoc, cfg.Check = r.doc, checkRules(s)
	if cfg.InitialDoc == nil { // only LoadOperator reads the document
		cfg.InitialDoc = &rules.Doc{}
	}
	for _, class := range s.Classes {
		cfg.Classes = append(cfg.Classes, class.Name)
	}
	setTimes(map[*float64]*units.Millis{&cfg.PermissionTime: r.AgreeWithin})
	return &cfg
}

// Accountant sets up how the demand of each tenant is added up over the fleet. Its duty is added to the listed ones.
type Accountant struct {
	Interval *units.Millis `toml:"every,omitempty"`
	ValidFor *units.Millis `toml:"lasts,omitempty"`
}

// newConfig returns the configuration of the tenants' shares among that number of schedulers.
func (a *Accountant) newConfig(s *balance.Settings, schedulers int, life uint32) *usage.Config {
	cfg := usage.Default()
	cfg.Self, cfg.Fleet, cfg.RunID = s.Self, schedulers, life
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, usage.Tenant{Name: t.Name, Allowance: t.Allowance})
	}
	setTimes(map[*float64]*units.Millis{&cfg.Interval: a.Interval, &cfg.ValidFor: a.ValidFor})
	return &cfg
}

// Examiner sets up how one scheduler decides for the whole fleet whether a target is unhealthy; docs/DUTIES.md
// explains the keys. Its duty is added to the listed ones.
type Examiner struct {
	Reporters *int          `toml:"tellers,omitempty"`
	Window    *units.Millis `toml:"window,omitempty"`
	ValidFor  *units.Millis `toml:"lasts,omitempty"`
	Interval  *units.Millis `toml:"every,omitempty"`
	MaxShare  *units.Share  `toml:"most,omitempty"`
}

// setTimes sets the times that the file contains, in milliseconds.
func setTimes(times map[*float64]*units.Millis) {
	for dest, value := range times {
		if value != nil {
			*dest = float64(*value)
		}
	}
}

// newConfig returns the configuration of the targets' health checks among that number of schedulers.
func (e *Examiner) newConfig(self, schedulers int) *health.Config {
	cfg := health.Default()
	cfg.Self, cfg.Fleet = self, schedulers
	if e.Reporters != nil {
		cfg.Reporters = *e.Reporters
	}
	setTimes(map[*float64]*units.Millis{&cfg.Window: e.Window, &cfg.ValidFor: e.ValidFor, &cfg.Interval: e.Interval})
	if e.MaxShare != nil {
		cfg.MaxUnhealthyShare = float64(*e.MaxShare)
	}
	return &cfg
}

// Duty is a duty that at most one scheduler holds at a time.
type Duty struct {
	Name string `toml:"name"`
	Zone string `toml:"zone,omitempty"`
}

// MachineConfig returns the configuration of the fleet's state machine, for schedulers with the given addresses.
func (f *Fleet) MachineConfig(s *balance.Settings, peers []string, seed uint64, runID uint32) fleet.Config {
	self := s.Self
	cfg := fleet.Config{Members: members.Default(), Lease: lease.Default(), Addresses: peers}
	cfg.Members.Self, cfg.Members.Fleet, cfg.Members.Seed = self, len(peers), seed
	cfg.Lease.Self, cfg.Lease.Fleet, cfg.Lease.Seed, cfg.Lease.RunID = self, len(peers), seed, runID
	cfg.Lease.Voters = min(cfg.Lease.Voters, max(1, len(peers)))
	if f.Voters != nil {
		cfg.Lease.Voters = *f.Voters
	}
	setTimes(map[*float64]*units.Millis{&cfg.Lease.Lease: f.Lease, &cfg.Lease.Quiet: f.Quiet, &cfg.Members.Period: f.Period, &cfg.Members.PingTimeout: f.ResponseTimeout})
	if f.Quiet == nil {
		cfg.Lease.Quiet = 1.25 * cfg.Lease.Lease
	}
	if f.ResponseTimeout == nil {
		cfg.Members.PingTimeout = min(cfg.Members.PingTimeout, 0.3*cfg.Members.Period)
	}
	if f.Drift != nil {
		cfg.Lease.Drift = float64(*f.Drift)
	}
	for _, d := range f.Duties {
		cfg.Lease.Duties = append(cfg.Lease.Duties, lease.Duty{Name: d.Name, Zone: d.Zone})
	}
	requireDuty := func(duty string) {
		if !slices.ContainsFunc(cfg.Lease.Duties, func(d lease.Duty) bool { return d.Name == duty }) {
			cfg.Lease.Duties = append(cfg.Lease.Duties, lease.Duty{Name: duty})
		}
	}
	if f.Examiner != nil {
		cfg.Health = f.Examiner.newConfig(self, len(peers))
		requireDuty(health.Duty)
	}
	if f.Accountant != nil {
		cfg.Usage = f.Accountant.newConfig(s, len(peers), cfg.Lease.RunID)
		requireDuty(usage.Duty)
	}
	if f.Rules != nil {
		cfg.Rules = f.Rules.newConfig(s, len(peers), &cfg.Lease)
		requireDuty(rules.Duty)
	}
	return cfg
}

// Check returns an error if the section is invalid for any addresses of the peers. Values that depend on the
// peers are checked at the start.
func (f *Fleet) Check(s *balance.Settings) error {
	if f.Rules != nil {
		var err error
		if f.Rules.doc, err = f.Rules.Load(s); err != nil {
			return err
		}
	}
	cfg := f.MachineConfig(s, make([]string, max(1, s.Fleet)), 0, 0)
	if err := cfg.Check(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
