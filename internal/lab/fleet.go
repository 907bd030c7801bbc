package lab

import (
	"context"
	"errors"
	"fmt"
	"image/color"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"cottonwell/internal/emulator"
	"cottonwell/internal/faults"
	"cottonwell/internal/rig"
	"cottonwell/internal/units"
)

// Drawn has faults drawn from each day's seed, beside those that the shop names.
type Drawn struct {
	Faults int `toml:"faults"`
	Beside int `toml:"beside"` // and so many on the ways to discovery and to targets, and starts with old lists
	// Documents are so many files of rules, one after the other, that contradict one another, for variants in
	// which schedulers agree on them. Reloaded: all schedulers are told of each, not one of them.
	Documents int          `toml:"documents"`
	Quiet     units.Millis `toml:"quiet"` // without faults at the beginning and the end; none lasts longer
}

// script is what goes wrong on a day: clocks of real processes are not set.
func (e *Experiment) script(spec *emulator.Spec, seed uint64) faults.Script {
	s := slices.Clone(spec.Faults)
	if e.Drawn.Faults > 0 {
		s = append(s, faults.Draw(seed, spec.Schedulers, e.Drawn.Faults, float64(spec.Length), float64(e.Drawn.Quiet))...)
	}
	if e.Drawn.Beside > 0 {
		s = append(s, faults.DrawConnectionFaults(seed, spec.Schedulers, len(spec.Workers()), e.Drawn.Beside, float64(spec.Length), float64(e.Drawn.Quiet))...)
	}
	return slices.DeleteFunc(s, func(f faults.Fault) bool { return f.Kind == faults.Step })
}

// now is the machine's clock, which the processes' logs go by.
func now() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// disturb plays the faults of processes from now on, and returns once all are over.
func (t *Tier) disturb(ctx context.Context, script faults.Script) error {
	var all sync.WaitGroup
	errs := make(chan error, 1)
	fail := func(err error) {
		select {
		case errs <- err:
		default:
		}
	}
	begin := time.Now()
	for _, f := range script {
		if f.Kind.OfWay() {
			continue
		}
		for _, i := range f.From {
			n := t.nodes[i]
			all.Go(func() {
				if !sleep(ctx, time.Until(begin.Add(time.Duration(f.At)*time.Millisecond))) {
					return
				}
				// One fault at a time for a process: a second one waits for the first.
				n.busy.Lock()
				defer n.busy.Unlock()
				lasts := time.Duration(f.Lasts) * time.Millisecond
				switch f.Kind {
				case faults.Stall:
					// A process that ended by itself is found by Dead.
					_ = n.cmd.Process.Signal(syscall.SIGSTOP)
					sleep(ctx, lasts)
					t.Shop.Woke(i)
					_ = n.cmd.Process.Signal(syscall.SIGCONT)
				case faults.Kill, faults.Term:
					n.down.Store(true)
					if f.Kind == faults.Term {
						_ = n.cmd.Process.Signal(syscall.SIGTERM)
						select {
						case <-n.done:
						case <-time.After(8 * time.Second):
						}
					}
					_ = n.cmd.Process.Kill()
					<-n.done
					t.seen(rig.Event{At: now(), Scheduler: i, Kind: rig.ProcessEnded})
					if !sleep(ctx, lasts) {
						return
					}
					if err := t.again(i, f.Old); err != nil {
						fail(err)
					}
				}
			})
		}
	}
	all.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (t *Tier) seen(e rig.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
}

// fleetDay plays a day under faults and reads off the logs what the schedulers believed.
func (t *Tier) fleetDay(ctx context.Context, script faults.Script, seed uint64, duties []string, e *Experiment, v *Variant) (*emulator.Result, *rig.Result, error) {
	begin := now()
	disturbed := make(chan error, 1)
	go func() {
		var all sync.WaitGroup
		var err error
		if v.Fleet != nil && v.Fleet.Rules != nil {
			all.Go(func() { err = t.publish(ctx, e, v, seed) })
		}
		disturbed <- errors.Join(t.disturb(ctx, script), func() error { all.Wait(); return err }())
	}()
	res := t.Shop.Play(ctx, seed, nil)
	if err := <-disturbed; err != nil {
		return nil, nil, err
	}
	if err := t.Dead(); err != nil {
		return nil, nil, err
	}
	end := now()
	events := t.events
	for i, n := range t.nodes {
		if v.Fleet == nil { // then nothing is believed, and no log kept
			break
		}
		f, err := os.Open(filepath.Join(t.dir, n.name+".log"))
		if err != nil {
			return nil, nil, err
		}
		read, err := rig.Read(i, f)
		f.Close()
		if err != nil {
			return nil, nil, err
		}
		events = append(events, read...)
	}
	events = slices.DeleteFunc(events, func(e rig.Event) bool { return e.At > end })
	r := rig.Check(events, duties, begin, end)
	r.Script = script
	return res, r, nil
}

// publish puts documents of rules in their place at drawn moments, and tells one scheduler of each that lives; all
// of them, one after the other, where each goes by what it reads.
func (t *Tier) publish(ctx context.Context, e *Experiment, v *Variant, seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 0xd0c))
	begin, quiet := time.Now(), float64(e.Drawn.Quiet)
	length := float64(t.Shop.Length())
	for i := range e.Drawn.Documents {
		at := quiet + (length-2*quiet)*float64(i)/float64(e.Drawn.Documents)
		if !sleep(ctx, time.Until(begin.Add(time.Duration(at*1e6)))) {
			return nil
		}
		if err := writeRules(filepath.Join(t.dir, v.Fleet.Rules.File), e.Shop.Classes[0].Name, 1+i%3, i); err != nil {
			return err
		}
		order := rng.Perm(len(t.nodes))
		for _, n := range order {
			if t.nodes[n].down.Load() {
				continue
			}
			_ = t.nodes[n].cmd.Process.Signal(syscall.SIGHUP) // one that ended is found by Dead
			if !v.Reloaded {
				break
			}
			if !sleep(ctx, time.Duration(1e9*rng.ExpFloat64()/float64(len(order)))) {
				return nil
			}
		}
	}
	return nil
}

// writeRules writes a document, whole or not at all. Those of two numbers contradict each other.
func writeRules(path, class string, attempts, n int) error {
	text := fmt.Sprintf("[class.%q]\nattempts = %d\n\n[cold]\nshare = \"%d%%\"\n", class, attempts, 50+n%50)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// rulesTable tells of how versions were gone over to, and draws for how long two contradicted each other.
func (s *Summary) rulesTable(dir string, b *strings.Builder) error {
	head := false
	var names []string
	var boxes []plotter.Values
	for i := range s.Runs {
		r := &s.Runs[i]
		if r.Fleet == nil || r.Fleet.Rules.Documents == 0 {
			continue
		}
		if !head {
			b.WriteString("\n| variant | schedulers | seed | documents acted on | changes of version | contradictions: n, p50, longest ms | falling numbers | two of a number | by a strict form, s in all | versions at the end |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
			head = true
		}
		f := &r.Fleet.Rules
		fmt.Fprintf(b, "| %s | %d | %d | %d | %d | %d, %.0f, %.0f | %d | %d | %.1f | %d |\n", r.Variant, r.Cell.Schedulers, r.Seed, f.Documents, f.Changes,
			len(f.Contradictions), rig.Quantile(f.Contradictions, 0.5), rig.Quantile(f.Contradictions, 1), f.Regressions, f.NumberConflicts, f.StrictTime/1000, f.FinalVersions)
		k := slices.Index(names, r.Variant)
		if k < 0 {
			k = len(names)
			names, boxes = append(names, r.Variant), append(boxes, nil)
		}
		sum := 0.0
		for _, x := range f.Contradictions {
			sum += x / 1000
		}
		boxes[k] = append(boxes[k], sum)
	}
	if !head {
		return nil
	}
	p := plot.New()
	p.Title.Text = "for how long two schedulers contradicted each other, over all pairs"
	p.Y.Label.Text = "seconds in a day, the mean of the days"
	means := make(plotter.Values, len(boxes))
	for i, x := range boxes {
		for _, y := range x {
			means[i] += y / float64(len(x))
		}
	}
	bars, err := plotter.NewBarChart(means, vg.Points(40))
	if err != nil {
		return err
	}
	p.Add(bars)
	p.NominalX(names...)
	b.WriteString("\n![for how long two contradicted each other](contradictions.svg)\n")
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, "contradictions.svg"))
}

// fleetTable tells what the fleets did, and draws the time line of the first day of each variant.
func (s *Summary) fleetTable(dir string, b *strings.Builder) error {
	head := false
	drawn := map[string]bool{}
	for i := range s.Runs {
		r := &s.Runs[i]
		if r.Fleet == nil {
			continue
		}
		if !head {
			b.WriteString("\n| variant | schedulers | seed | holdings | two holders | falling numbers | acts taken, refused, old ones taken | verdicts | held by nobody at the end | without a holder: n, p50, p99 ms | handed on: n, p50, p99 ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
			head = true
		}
		f := r.Fleet
		fmt.Fprintf(b, "| %s | %d | %d | %d | %d | %d | %d, %d, %d | %d | %d | %d, %.0f, %.0f | %d, %.0f, %.0f |\n", r.Variant, r.Cell.Schedulers, r.Seed, len(f.Holdings), f.DoubleHolders, f.NonIncreasing, f.ActsTaken, f.ActsRefused, f.StaleActs, f.Verdicts, f.Unheld,
			len(f.Gaps), rig.Quantile(f.Gaps, 0.5), rig.Quantile(f.Gaps, 0.99), len(f.HandoverGaps), rig.Quantile(f.HandoverGaps, 0.5), rig.Quantile(f.HandoverGaps, 0.99))
	}
	for i := range s.Runs {
		r := &s.Runs[i]
		name := fmt.Sprintf("timeline-%s-%d.svg", r.Variant, r.Cell.Schedulers)
		if r.Fleet == nil || drawn[name] {
			continue
		}
		drawn[name] = true
		if err := timeline(r, filepath.Join(dir, name)); err != nil {
			return err
		}
		fmt.Fprintf(b, "\n![who held what, when, and under which fault](%s)\n", name)
	}
	return nil
}

// timeline draws who held what and when: a line for each scheduler, coloured by duty, and grey where it
// was killed, stopped, asked to end or cut off.
func timeline(r *Run, path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d: who held what", r.Variant, r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "scheduler"
	p.Y.Min, p.Y.Max = -1, float64(r.Cell.Schedulers)
	line := func(who int, from, to, shift float64, width vg.Length, c color.Color) error {
		l, err := plotter.NewLine(plotter.XYs{{X: from / 1000, Y: float64(who) + shift}, {X: to / 1000, Y: float64(who) + shift}})
		if err != nil {
			return err
		}
		l.Width, l.Color = width, c
		p.Add(l)
		return nil
	}
	for _, f := range r.Fleet.Script {
		shade := color.Gray{Y: 200}
		if f.Kind.OfWay() {
			shade = color.Gray{Y: 235}
		}
		who := slices.Concat(f.From, f.To)
		if f.Ways != "" { // then these are targets
			who = f.From
		}
		for _, who := range who {
			if err := line(who, float64(f.At), float64(f.At+f.Lasts), 0, 9, shade); err != nil {
				return err
			}
		}
	}
	colours := []color.Color{color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 214, G: 39, B: 40, A: 255}, color.RGBA{R: 44, G: 160, B: 44, A: 255}, color.RGBA{R: 148, G: 103, B: 189, A: 255}}
	var duties []string
	for _, h := range r.Fleet.Holdings {
		d := slices.Index(duties, h.Duty)
		if d < 0 {
			d = len(duties)
			duties = append(duties, h.Duty)
		}
		if err := line(h.Scheduler, h.From, h.To, 0.12*float64(d%len(colours))-0.18, 2.5, colours[d%len(colours)]); err != nil {
			return err
		}
	}
	return p.Save(22*vg.Centimeter, vg.Length(4+r.Cell.Schedulers)*vg.Centimeter, path)
}
