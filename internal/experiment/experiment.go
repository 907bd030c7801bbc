// Package experiment runs experiments that compare variants of scheduler settings on an emulated site.
//
// Load reads an experiment file. Experiment.Run runs every variant with the same seeds, either with real
// scheduler processes on loopback sockets or with the decision module in virtual time, and returns a Summary with
// the results of all runs and of the file's checks. A Summary can be written, read back, turned into a report with
// charts, and compared with another one. StartReady starts a Testbed alone, an emulated site with scheduler
// processes, without an experiment. The package does not emulate the site itself (see emulator and
// emulatedsite) and defines no faults (see faults).
package experiment

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
	"cottonwell/internal/config"
	"cottonwell/internal/emulator"
	"cottonwell/internal/logcheck"
	"cottonwell/internal/tomlfile"
	"cottonwell/internal/units"
)

// Experiment is an experiment file.
type Experiment struct {
	Title        string        `toml:"title"`
	About        string        `toml:"about"`
	Engine       string        `toml:"engine"` // sockets: real processes; model: virtual time without processes
	Seeds        int           `toml:"seeds"`
	QuickSeeds   int           `toml:"quick_seeds"`
	QuickLength  units.Millis  `toml:"quick_length"` // length of a run in the quick form
	Site         emulator.Spec `toml:"shop"`
	RandomFaults RandomFaults  `toml:"drawn"`
	Variants     []Variant     `toml:"variant"`
	Sweep        Sweep         `toml:"sweep"`
	QuickSweep   Sweep         `toml:"quick_sweep"`
	Checks       []Check       `toml:"check"`

	file string
}

// Variant is one configuration of the schedulers.
type Variant struct {
	Name         string               `toml:"name"`
	Reservations *config.Reservations `toml:"room"`
	Fleet        *config.Fleet        `toml:"fleet"`
	// Tags are build tags for a scheduler program that is faulty on purpose. Violations in its runs count only in
	// checks that name the variant. The experiment must run in the project's folder, where the program is built.
	Tags string `toml:"tags"`
	// Reloaded notifies all schedulers of a new rules file. Otherwise one scheduler is notified.
	Reloaded bool `toml:"reloaded"`
}

// Sweep lists values for parameters of the site. The experiment runs each combination of them.
type Sweep struct {
	Level      []units.Share `toml:"level"`
	Wide       []units.Share `toml:"wide"`
	Schedulers []int         `toml:"schedulers"`
	Loss       []units.Share `toml:"datagram_loss"`
}

// Check is a condition on the results of an experiment.
type Check struct {
	Name    string       `toml:"name"`
	Figure  string       `toml:"figure"` // large_in_time, small_in_time, worth, broken, unheld, two_holders, old_acts, contradictions or last_versions
	Variant string       `toml:"variant"`
	Min     *units.Share `toml:"min"`
	Max     *units.Share `toml:"max"`
	Against string       `toml:"against"`   // the variant to compare with
	MaxDrop *units.Share `toml:"most_drop"` // upper bound, in every cell, of Against's figure minus Variant's
}

// Cell is one combination of a sweep.
type Cell struct {
	Level      float64 `json:"level"`
	Wide       float64 `json:"wide"` // negative: as the classes define it
	Schedulers int     `json:"schedulers"`
	Loss       float64 `json:"datagram_loss"`
}

// Run is the result of one run of one variant with one seed.
type Run struct {
	Variant     string           `json:"variant"`
	Cell        Cell             `json:"cell"`
	Seed        uint64           `json:"seed"`
	FaultyBuild bool             `json:"wrong,omitempty"` // the scheduler program is faulty on purpose
	Fleet       *logcheck.Result `json:"fleet,omitempty"` // nil without a fleet and without faults
	emulator.Result
}

// Violations returns how often a rule of the protocol or a guarantee of the fleet was violated.
func (r *Run) Violations() int {
	n := r.Result.ViolationCount()
	if r.Fleet != nil {
		n += r.Fleet.Violations()
	}
	return n
}

// Outcome is the result of a check.
type Outcome struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	OK    bool    `json:"ok"`
}

// Summary holds the results of an experiment.
type Summary struct {
	Title    string    `json:"title"`
	About    string    `json:"about"`
	Engine   string    `json:"engine"`
	Quick    bool      `json:"quick"`
	Seeds    []uint64  `json:"seeds"`
	Variants []string  `json:"variants"`
	Runs     []Run     `json:"runs"`
	Checks   []Outcome `json:"checks"`
}

// Load reads and validates an experiment file.
func Load(path string) (*Experiment, error) {
	e := &Experiment{Seeds: 3, QuickSeeds: 1, Engine: "sockets", file: path}
	if err := tomlfile.Load(path, e); err != nil {
		return nil, err
	}
	if err := e.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

func (e *Experiment) validate() error {
	if err := e.Site.Check(); err != nil {
		return fmt.Errorf("shop: %w", err)
	}
	switch {
	case e.Engine != "sockets" && e.Engine != "model":
		return fmt.Errorf("engine %q: want sockets or model", e.Engine)
	case e.Engine == "model" && (e.RandomFaults.Faults+e.RandomFaults.ConnectionFaults+e.RandomFaults.Documents > 0 || slices.ContainsFunc(e.Variants, func(v Variant) bool { return v.Fleet != nil })):
		return fmt.Errorf("drawn faults and variants with a fleet need real processes: engine sockets")
	case min(e.RandomFaults.Faults, e.RandomFaults.ConnectionFaults) < 0 || e.RandomFaults.Faults+e.RandomFaults.ConnectionFaults > 1000 || e.RandomFaults.Faults+e.RandomFaults.ConnectionFaults > 0 && 3*e.RandomFaults.Quiet >= min(e.Site.Length, max(e.QuickLength, 3*e.RandomFaults.Quiet+1)):
		return fmt.Errorf("drawn: %d faults with quiet %gms: want at most 1000 faults and quiet below a third of the run", e.RandomFaults.Faults, float64(e.RandomFaults.Quiet))
	case e.Seeds < 1 || e.QuickSeeds < 1 || e.Seeds > 1000:
		return fmt.Errorf("seeds and quick_seeds must be 1 to 1000")
	case e.Engine == "model" && slices.ContainsFunc(e.Variants, func(v Variant) bool { return v.Tags != "" }):
		return fmt.Errorf("variants with tags need real processes: engine sockets")
	case len(e.Variants) == 0:
		return fmt.Errorf("no variants")
	}
	settings := e.Site.Settings(0)
	for i, v := range e.Variants {
		if v.Name == "" || slices.ContainsFunc(e.Variants[:i], func(x Variant) bool { return x.Name == v.Name }) {
			return fmt.Errorf("variant %q: name is empty or used twice", v.Name)
		}
		if err := v.validate(settings); err != nil {
			return fmt.Errorf("variant %q: %w", v.Name, err)
		}
	}
	hasVariant := func(name string) bool {
		return slices.ContainsFunc(e.Variants, func(v Variant) bool { return v.Name == name })
	}
	for _, c := range e.Checks {
		switch {
		case !hasVariant(c.Variant) || c.Against != "" && !hasVariant(c.Against):
			return fmt.Errorf("check %q: unknown variant", c.Name)
		case figures[c.Figure] == nil:
			return fmt.Errorf("check %q: unknown figure %q", c.Name, c.Figure)
		case (c.Min != nil) == (c.Max != nil) && c.MaxDrop == nil, (c.MaxDrop != nil) != (c.Against != ""):
			return fmt.Errorf("check %q: want either min or max, or against with most_drop", c.Name)
		}
	}
	return nil
}

func (v *Variant) validate(s balance.Settings) error {
	if v.Fleet != nil {
		f := *v.Fleet
		f.Rules = nil // the testbed writes the file for each run
		if err := f.Check(&s); err != nil {
			return err
		}
		if r := v.Fleet.Rules; r != nil && filepath.Base(r.File) != r.File {
			return fmt.Errorf("fleet.rules.file %q: want a file name without a folder", r.File)
		}
	}
	p := v.plannerConfig()
	if p == nil {
		return nil
	}
	for _, c := range s.Classes {
		p.Classes = append(p.Classes, c.Name)
	}
	return p.Check()
}

// plannerConfig returns the reservation settings of the variant, or nil if reservations are disabled.
func (v *Variant) plannerConfig() *backfill.Config {
	if v.Reservations == nil {
		return nil
	}
	return v.Reservations.PlannerConfig()
}

// cells returns the combinations of the sweep's values. An empty sweep yields one cell, the site as configured.
func (e *Experiment) cells(quick bool) (out []Cell) {
	sweep := e.Sweep
	if q := e.QuickSweep; quick && len(q.Level)+len(q.Wide)+len(q.Schedulers)+len(q.Loss) > 0 {
		sweep = q
	}
	base := Cell{Level: float64(e.Site.Level), Wide: -1, Schedulers: e.Site.Schedulers, Loss: float64(e.Site.DatagramLoss)}
	if e.Site.WideShare != nil {
		base.Wide = float64(*e.Site.WideShare)
	}
	out = []Cell{base}
	expand := func(n int, set func(c *Cell, i int)) {
		if n == 0 {
			return
		}
		var next []Cell
		for _, c := range out {
			for i := range n {
				x := c
				set(&x, i)
				next = append(next, x)
			}
		}
		out = next
	}
	expand(len(sweep.Level), func(c *Cell, i int) { c.Level = float64(sweep.Level[i]) })
	expand(len(sweep.Wide), func(c *Cell, i int) { c.Wide = float64(sweep.Wide[i]) })
	expand(len(sweep.Schedulers), func(c *Cell, i int) { c.Schedulers = sweep.Schedulers[i] })
	expand(len(sweep.Loss), func(c *Cell, i int) { c.Loss = float64(sweep.Loss[i]) })
	return out
}

// spec returns the configuration of the site for a cell.
func (e *Experiment) spec(c Cell, quick bool) *emulator.Spec {
	spec := e.Site
	spec.Level, spec.Schedulers, spec.DatagramLoss = units.Share(c.Level), c.Schedulers, units.Share(c.Loss)
	if c.Wide >= 0 {
		w := units.Share(c.Wide)
		spec.WideShare = &w
	}
	if quick && e.QuickLength > 0 {
		spec.Length = e.QuickLength
	}
	return &spec
}

// figures holds the figures that a check can name, by name.
var figures = map[string]func(r *Run) float64{
	"large_in_time": func(r *Run) float64 { return r.Large.Share() },
	"small_in_time": func(r *Run) float64 { return r.Small.Share() },
	"worth":         func(r *Run) float64 { return r.Value },
	"broken":        func(r *Run) float64 { return float64(r.Violations()) },
	"contradictions": func(r *Run) float64 {
		if r.Fleet == nil {
			return 0
		}
		return float64(len(r.Fleet.Rules.Contradictions))
	},
	"last_versions": func(r *Run) float64 {
		if r.Fleet == nil {
			return 0
		}
		return float64(r.Fleet.Rules.FinalVersions)
	},
	"two_holders": func(r *Run) float64 {
		if r.Fleet == nil {
			return 0
		}
		return float64(r.Fleet.DoubleHolders)
	},
	"old_acts": func(r *Run) float64 {
		if r.Fleet == nil {
			return 0
		}
		return float64(r.Fleet.StaleActs)
	},
	"unheld": func(r *Run) float64 {
		if r.Fleet == nil {
			return 0
		}
		return float64(r.Fleet.Unheld)
	},
}

// mean returns the mean of a variant's figure in a cell over all seeds, or NaN without runs.
func (s *Summary) mean(variant string, c Cell, figure string) float64 {
	sum, n := 0.0, 0
	for i := range s.Runs {
		if r := &s.Runs[i]; r.Variant == variant && r.Cell == c {
			sum += figures[figure](r)
			n++
		}
	}
	if n == 0 {
		return math.NaN()
	}
	return sum / float64(n)
}

// cells returns the cells of all runs in order.
func (s *Summary) cells() (out []Cell) {
	for _, r := range s.Runs {
		if !slices.Contains(out, r.Cell) {
			out = append(out, r.Cell)
		}
	}
	return out
}

// evaluateChecks evaluates each check of the experiment in every cell and records the worst value. It adds a
// check that no run of a correct build violates a rule.
func (s *Summary) evaluateChecks(e *Experiment) {
	for _, c := range e.Checks {
		outcome := Outcome{Name: c.Name, OK: true}
		for i, cell := range s.cells() {
			x := s.mean(c.Variant, cell, c.Figure)
			bound, isMin := 0.0, false
			switch {
			case c.MaxDrop != nil:
				x, bound = s.mean(c.Against, cell, c.Figure)-x, float64(*c.MaxDrop)
			case c.Min != nil:
				bound, isMin = float64(*c.Min), true
			default:
				bound = float64(*c.Max)
			}
			if ok := isMin && x >= bound || !isMin && x <= bound; !ok {
				outcome.OK = false
			}
			if i == 0 || isMin && x < outcome.Value || !isMin && x > outcome.Value {
				outcome.Value, outcome.Bound = x, bound
			}
		}
		s.Checks = append(s.Checks, outcome)
	}
	violations := Outcome{Name: "no rule is broken, in any run", OK: true}
	for i := range s.Runs {
		if !s.Runs[i].FaultyBuild {
			violations.Value += float64(s.Runs[i].Violations())
		}
	}
	violations.OK = violations.Value == 0
	s.Checks = append(s.Checks, violations)
}

// OK reports whether every check passed.
func (s *Summary) OK() bool {
	return !slices.ContainsFunc(s.Checks, func(o Outcome) bool { return !o.OK })
}

func (c Cell) String() string {
	parts := []string{fmt.Sprintf("load %.0f%%", 100*c.Level)}
	if c.Wide >= 0 {
		parts = append(parts, fmt.Sprintf("wide %.0f%%", 100*c.Wide))
	}
	return strings.Join(append(parts, fmt.Sprintf("%d schedulers", c.Schedulers), fmt.Sprintf("loss %.0f%%", 100*c.Loss)), ", ")
}
