package config

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
	"cottonwell/internal/clock"
	"cottonwell/internal/gearman"
	"cottonwell/internal/net/httpio"
	"cottonwell/internal/tomlfile"
)

// Operator is the content of the operator's file.
type Operator struct {
	Gearman      *gearman.Config `toml:"gearman"` // nil if the Gearman front is disabled
	Reservations *Reservations   `toml:"room"`    // nil if nothing is reserved for large jobs
	Fleet        *Fleet          `toml:"fleet"`   // nil if there is no membership and there are no duties
}

// PlannerConfig returns the planner's configuration, or nil if it is disabled.
func (o *Operator) PlannerConfig() *backfill.Config {
	if o == nil || o.Reservations == nil {
		return nil
	}
	return o.Reservations.PlannerConfig()
}

// LoadOperator reads the operator's file and checks it against the settings. If path is empty it
// returns nil: the Gearman front, reservations and the fleet are disabled.
func LoadOperator(path string, s *balance.Settings) (*Operator, error) {
	operator, err := ReadOperator(path)
	if operator == nil || err != nil {
		return nil, err
	}
	if err := operator.check(s); err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, err)
	}
	return operator, nil
}

// ReadOperator reads the operator's file without checking it against settings.
func ReadOperator(path string) (*Operator, error) {
	if path == "" {
		return nil, nil
	}
	operator := &Operator{}
	if err := tomlfile.Load(path, operator); err != nil {
		return nil, fmt.Errorf("operator's file %w", err)
	}
	if operator.Fleet != nil && operator.Fleet.Rules != nil && !filepath.IsAbs(operator.Fleet.Rules.File) {
		operator.Fleet.Rules.File = filepath.Join(filepath.Dir(path), operator.Fleet.Rules.File)
	}
	return operator, nil
}

// check returns an error if the file is invalid with these settings. It fills in the defaults of
// the Gearman section.
func (o *Operator) check(s *balance.Settings) error {
	if o.Reservations != nil {
		if err := o.Reservations.check(s); err != nil {
			return err
		}
	}
	if o.Fleet != nil {
		if err := o.Fleet.Check(s); err != nil {
			return err
		}
	}
	gearmanConfig := o.Gearman
	if gearmanConfig == nil && o.Reservations == nil && o.Fleet == nil {
		return fmt.Errorf("no section is set: it needs one of [gearman], [room] and [fleet]")
	}
	if gearmanConfig == nil {
		return nil
	}
	if _, _, err := net.SplitHostPort(gearmanConfig.Listen); err != nil {
		return fmt.Errorf("gearman.listen: %w", err)
	}
	if gearmanConfig.Connections < 0 {
		return fmt.Errorf("gearman.connections is %d, and may not be negative", gearmanConfig.Connections)
	}
	if gearmanConfig.Connections == 0 {
		gearmanConfig.Connections = 128
	}
	if len(gearmanConfig.Functions) == 0 {
		return fmt.Errorf("gearman.function: no function is set")
	}
	for i := range gearmanConfig.Functions {
		f := &gearmanConfig.Functions[i]
		classIndex := slices.IndexFunc(s.Classes, func(c balance.Class) bool { return c.Name == f.Class })
		switch {
		case f.Name == "" || strings.ContainsAny(f.Name, "\x00 \t\n"):
			return fmt.Errorf("gearman.function %d has the invalid name %q", i+1, f.Name)
		case slices.ContainsFunc(gearmanConfig.Functions[:i], func(x gearman.Function) bool { return x.Name == f.Name }):
			return fmt.Errorf("gearman.function %q is defined twice", f.Name)
		case classIndex < 0:
			return fmt.Errorf("gearman.function %q: the settings have no class %q", f.Name, f.Class)
		case f.DeadlineMS < 0 || f.Slots < 0:
			return fmt.Errorf("gearman.function %q: patience_ms or slots is negative", f.Name)
		case f.Path != "" && !strings.HasPrefix(f.Path, "/"):
			return fmt.Errorf("gearman.function %q: path does not begin with a slash", f.Name)
		}
		if f.DeadlineMS == 0 {
			f.DeadlineMS = clock.Millis(s.Classes[classIndex].Deadline)
		}
		if f.Slots == 0 {
			f.Slots = 1
		}
		if f.Path == "" {
			f.Path = "/" + f.Class
		}
		if !httpio.ValidRequestTarget(f.Path) {
			return fmt.Errorf("gearman.function %q: the path %q must be plain, with %%XX for anything else", f.Name, f.Path)
		}
		f.Effect = s.Classes[classIndex].Effect
	}
	for i, w := range gearmanConfig.Workers {
		switch {
		case w.ID == "" || strings.ContainsAny(w.ID, "\x00 \t\n"):
			return fmt.Errorf("gearman.worker %d has the invalid id %q", i+1, w.ID)
		case slices.ContainsFunc(gearmanConfig.Workers[:i], func(x gearman.Worker) bool { return x.ID == w.ID }):
			return fmt.Errorf("gearman.worker %q is defined twice", w.ID)
		case w.Zone == "" || w.Pod == "" || w.Kind == "":
			return fmt.Errorf("gearman.worker %q needs zone, pod and kind", w.ID)
		}
	}
	return nil
}
