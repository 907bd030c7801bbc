// Package lab runs experiments: one shop, several variants of settings side by side on the
// same seeds, and checks of what came of them.
package lab

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"cottonwell/balance"
	"cottonwell/internal/config"
	"cottonwell/internal/emulator"
	"cottonwell/internal/rig"
	"cottonwell/internal/room"
	"cottonwell/internal/tomlfile"
	"cottonwell/internal/units"
)

// Experiment is an experiment file.
type Experiment struct {
	Title      string        `toml:"title"`
	About      string        `toml:"about"`
	Engine     string        `toml:"engine"` // sockets: real processes; model: virtual time
	Seeds      int           `toml:"seeds"`
	QuickSeeds int           `toml:"quick_seeds"`
	QuickFor   units.Millis  `toml:"quick_length"` // of a day in the quick form
	Shop       emulator.Spec `toml:"shop"`
	Drawn      Drawn         `toml:"drawn"`
	Variants   []Variant     `toml:"variant"`
	Sweep      Sweep         `toml:"sweep"`
	QuickSweep Sweep         `toml:"quick_sweep"`
	Checks     []Check       `toml:"check"`

	file string
}

// Variant is one way to run the schedulers.
type Variant struct {
	Name  string        `toml:"name"`
	Room  *config.Room  `toml:"room"`
	Fleet *config.Fleet `toml:"fleet"`
	// Tags build the scheduler anew, as a program that is made wrong on purpose: what its runs break counts
	// for nothing but the checks that name it. The experiment is then run from the project's folder.
	Tags string `toml:"tags"`
	// Reloaded: all schedulers are told of a new file of rules, not one of them.
	Reloaded bool `toml:"reloaded"`
}

// Sweep multiplies the shop by each combination of what is listed.
type Sweep struct {
	Level      []units.Share `toml:"level"`
	Wide       []units.Share `toml:"wide"`
	Schedulers []int         `toml:"schedulers"`
	Loss       []units.Share `toml:"datagram_loss"`
}

// Check is what an experiment must show.
type Check struct {
	Name    string       `toml:"name"`
	Figure  string       `toml:"figure"` // large_in_time, small_in_time, worth, broken, unheld, two_holders, old_acts, contradictions or last_versions
	Variant string       `toml:"variant"`
	Min     *units.Share `toml:"min"`
	Max     *units.Share `toml:"max"`
	Against string       `toml:"against"`   // another variant: its figure less this one's,
	Drop    *units.Share `toml:"most_drop"` // in every cell, at most so much
}

// Cell is one combination of a sweep.
type Cell struct {
	Level      float64 `json:"level"`
	Wide       float64 `json:"wide"` // below 0: as the classes say
	Schedulers int     `json:"schedulers"`
	Loss       float64 `json:"datagram_loss"`
}

// Run is one day of one variant.
type Run struct {
	Variant string      `json:"variant"`
	Cell    Cell        `json:"cell"`
	Seed    uint64      `json:"seed"`
	Wrong   bool        `json:"wrong,omitempty"` // a program made wrong on purpose
	Fleet   *rig.Result `json:"fleet,omitempty"` // where schedulers share out duties
	emulator.Result
}

// Rules is how often any rule or promise was broken.
func (r *Run) Rules() int {
	n := r.Result.Rules()
	if r.Fleet != nil {
		n += r.Fleet.Violations()
	}
	return n
}

// Outcome of a check.
type Outcome struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	OK    bool    `json:"ok"`
}

// Summary is what an experiment leaves behind.
type Summary struct {
	Title  string    `json:"title"`
	About  string    `json:"about"`
	Engine string    `json:"engine"`
	Quick  bool      `json:"quick"`
	Seeds  []uint64  `json:"seeds"`
	Order  []string  `json:"variants"`
	Runs   []Run     `json:"runs"`
	Checks []Outcome `json:"checks"`
}

// Load reads an experiment file and checks it.
func Load(path string) (*Experiment, error) {
	e := &Experiment{Seeds: 3, QuickSeeds: 1, Engine: "sockets", file: path}
	if err := tomlfile.Load(path, e); err != nil {
		return nil, err
	}
	if err := e.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

func (e *Experiment) check() error {
	if err := e.Shop.Check(); err != nil {
		return fmt.Errorf("shop: %w", err)
	}
	switch {
	case e.Engine != "sockets" && e.Engine != "model":
		return fmt.Errorf("engine is %q, and may be sockets or model", e.Engine)
	case e.Engine == "model" && (e.Drawn.Faults+e.Drawn.Beside+e.Drawn.Documents > 0 || slices.ContainsFunc(e.Variants, func(v Variant) bool { return v.Fleet != nil })):
		return fmt.Errorf("drawn faults and variants with a fleet need real processes: engine sockets")
	case min(e.Drawn.Faults, e.Drawn.Beside) < 0 || e.Drawn.Faults+e.Drawn.Beside > 1000 || e.Drawn.Faults+e.Drawn.Beside > 0 && 3*e.Drawn.Quiet >= min(e.Shop.Length, max(e.QuickFor, 3*e.Drawn.Quiet+1)):
		return fmt.Errorf("drawn: %d faults with quiet of %gms: up to 1000, and a third of the day at most", e.Drawn.Faults, float64(e.Drawn.Quiet))
	case e.Seeds < 1 || e.QuickSeeds < 1 || e.Seeds > 1000:
		return fmt.Errorf("seeds and quick_seeds may be 1 to 1000")
	case e.Engine == "model" && slices.ContainsFunc(e.Variants, func(v Variant) bool { return v.Tags != "" }):
		return fmt.Errorf("variants with tags need real processes: engine sockets")
	case len(e.Variants) == 0:
		return fmt.Errorf("no variant to run")
	}
	settings := e.Shop.Settings(0)
	for i, v := range e.Variants {
		if v.Name == "" || slices.ContainsFunc(e.Variants[:i], func(x Variant) bool { return x.Name == v.Name }) {
			return fmt.Errorf("variant %q has no name of its own", v.Name)
		}
		if err := v.check(settings); err != nil {
			return fmt.Errorf("variant %q: %w", v.Name, err)
		}
	}
	has := func(name string) bool {
		return slices.ContainsFunc(e.Variants, func(v Variant) bool { return v.Name == name })
	}
	for _, c := range e.Checks {
		switch {
		case !has(c.Variant) || c.Against != "" && !has(c.Against):
			return fmt.Errorf("check %q names a variant that is not there", c.Name)
		case figures[c.Figure] == nil:
			return fmt.Errorf("check %q: no figure is called %q", c.Name, c.Figure)
		case (c.Min != nil) == (c.Max != nil) && c.Drop == nil, (c.Drop != nil) != (c.Against != ""):
			return fmt.Errorf("check %q needs min, or max, or against with most_drop", c.Name)
		}
	}
	return nil
}

func (v *Variant) check(s balance.Settings) error {
	if v.Fleet != nil {
		f := *v.Fleet
		f.Rules = nil // its file is made for each day
		if err := f.Check(&s); err != nil {
			return err
		}
		if r := v.Fleet.Rules; r != nil && filepath.Base(r.File) != r.File {
			return fmt.Errorf("fleet.rules.file is %q, and may be a name alone", r.File)
		}
	}
	p := v.plan()
	if p == nil {
		return nil
	}
	for _, c := range s.Classes {
		p.Classes = append(p.Classes, c.Name)
	}
	return p.Check()
}

func (v *Variant) plan() *room.Config {
	if v.Room == nil {
		return nil
	}
	return v.Room.Plan()
}

// cells lists the combinations of a sweep; one that lists nothing is the shop as it is.
func (e *Experiment) cells(quick bool) (out []Cell) {
	s := e.Sweep
	if q := e.QuickSweep; quick && len(q.Level)+len(q.Wide)+len(q.Schedulers)+len(q.Loss) > 0 {
		s = q
	}
	base := Cell{Level: float64(e.Shop.Level), Wide: -1, Schedulers: e.Shop.Schedulers, Loss: float64(e.Shop.DatagramLoss)}
	if e.Shop.Wide != nil {
		base.Wide = float64(*e.Shop.Wide)
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
	expand(len(s.Level), func(c *Cell, i int) { c.Level = float64(s.Level[i]) })
	expand(len(s.Wide), func(c *Cell, i int) { c.Wide = float64(s.Wide[i]) })
	expand(len(s.Schedulers), func(c *Cell, i int) { c.Schedulers = s.Schedulers[i] })
	expand(len(s.Loss), func(c *Cell, i int) { c.Loss = float64(s.Loss[i]) })
	return out
}

// spec is the shop of a cell.
func (e *Experiment) spec(c Cell, quick bool) *emulator.Spec {
	s := e.Shop
	s.Level, s.Schedulers, s.DatagramLoss = units.Share(c.Level), c.Schedulers, units.Share(c.Loss)
	if c.Wide >= 0 {
		w := units.Share(c.Wide)
		s.Wide = &w
	}
	if quick && e.QuickFor > 0 {
		s.Length = e.QuickFor
	}
	return &s
}

var figures = map[string]func(r *Run) float64{
	"large_in_time": func(r *Run) float64 { return r.Large.Share() },
	"small_in_time": func(r *Run) float64 { return r.Small.Share() },
	"worth":         func(r *Run) float64 { return r.Worth },
	"broken":        func(r *Run) float64 { return float64(r.Rules()) },
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

// mean is a figure of a variant in a cell, over the seeds.
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

// cells lists the cells that were run, in their order.
func (s *Summary) cells() (out []Cell) {
	for _, r := range s.Runs {
		if !slices.Contains(out, r.Cell) {
			out = append(out, r.Cell)
		}
	}
	return out
}

// check holds the runs against the experiment's checks: each in every cell, and what is
// told is the worst. That no rule is broken in any run is always checked.
func (s *Summary) check(e *Experiment) {
	for _, c := range e.Checks {
		o := Outcome{Name: c.Name, OK: true}
		for i, cell := range s.cells() {
			x := s.mean(c.Variant, cell, c.Figure)
			bound, low := 0.0, false
			switch {
			case c.Drop != nil:
				x, bound = s.mean(c.Against, cell, c.Figure)-x, float64(*c.Drop)
			case c.Min != nil:
				bound, low = float64(*c.Min), true
			default:
				bound = float64(*c.Max)
			}
			if ok := low && x >= bound || !low && x <= bound; !ok {
				o.OK = false
			}
			if i == 0 || low && x < o.Value || !low && x > o.Value {
				o.Value, o.Bound = x, bound
			}
		}
		s.Checks = append(s.Checks, o)
	}
	broken := Outcome{Name: "no rule is broken, in any run", OK: true}
	for i := range s.Runs {
		if !s.Runs[i].Wrong {
			broken.Value += float64(s.Runs[i].Rules())
		}
	}
	broken.OK = broken.Value == 0
	s.Checks = append(s.Checks, broken)
}

// OK says whether every check held.
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
