package experiment

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
	"cottonwell/internal/logcheck"
	"cottonwell/internal/units"
)

// RandomFaults configures faults that are generated from the seed of each run, in addition to those that the
// site lists.
type RandomFaults struct {
	Faults           int `toml:"faults"`
	ConnectionFaults int `toml:"beside"` // faults of links to discovery and to targets, and restarts with an old target list
	// Documents is the number of rules files that are published one after the other in variants with agreed
	// rules. The files contradict each other. If Variant.Reloaded is set, all schedulers are notified of each
	// file, otherwise one scheduler.
	Documents int          `toml:"documents"`
	Quiet     units.Millis `toml:"quiet"` // length of the fault-free periods at the beginning and the end; also the longest fault
}

// script returns the faults of one run. It leaves out clock steps, because the clocks of real processes are not
// changed.
func (e *Experiment) script(spec *emulator.Spec, seed uint64) faults.Script {
	s := slices.Clone(spec.SchedulerFaults)
	if e.RandomFaults.Faults > 0 {
		s = append(s, faults.Draw(seed, spec.Schedulers, e.RandomFaults.Faults, float64(spec.Length), float64(e.RandomFaults.Quiet))...)
	}
	if e.RandomFaults.ConnectionFaults > 0 {
		s = append(s, faults.DrawConnectionFaults(seed, spec.Schedulers, len(spec.Workers()), e.RandomFaults.ConnectionFaults, float64(spec.Length), float64(e.RandomFaults.Quiet))...)
	}
	return slices.DeleteFunc(s, func(f faults.Fault) bool { return f.Kind == faults.Step })
}

// nowMS returns the time of the machine's clock in ms, the time base of the processes' logs.
func nowMS() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// injectProcessFaults carries out the process faults of a script, which begins now, and returns when all have
// ended.
func (t *Testbed) injectProcessFaults(ctx context.Context, script faults.Script) error {
	var running sync.WaitGroup
	errs := make(chan error, 1)
	fail := func(err error) {
		select {
		case errs <- err:
		default:
		}
	}
	begin := time.Now()
	for _, fault := range script {
		if fault.Kind.IsLinkFault() {
			continue
		}
		for _, i := range fault.From {
			proc := t.processes[i]
			running.Go(func() {
				if !sleep(ctx, time.Until(begin.Add(time.Duration(fault.At)*time.Millisecond))) {
					return
				}
				// A process has one fault at a time: a second one waits for the first to end.
				proc.faultMu.Lock()
				defer proc.faultMu.Unlock()
				lasts := time.Duration(fault.Lasts) * time.Millisecond
				switch fault.Kind {
				case faults.Stall:
					// UnexpectedExit reports a process that exited by itself.
					_ = proc.cmd.Process.Signal(syscall.SIGSTOP)
					sleep(ctx, lasts)
					t.Site.Resumed(i)
					_ = proc.cmd.Process.Signal(syscall.SIGCONT)
				case faults.Kill, faults.Term:
					proc.stopped.Store(true)
					if fault.Kind == faults.Term {
						_ = proc.cmd.Process.Signal(syscall.SIGTERM)
						select {
						case <-proc.done:
						case <-time.After(8 * time.Second):
						}
					}
					_ = proc.cmd.Process.Kill()
					<-proc.done
					t.recordEvent(logcheck.Event{At: nowMS(), Scheduler: i, Kind: logcheck.ProcessEnded})
					if !sleep(ctx, lasts) {
						return
					}
					if err := t.restart(i, fault.OldList); err != nil {
						fail(err)
					}
				}
			})
		}
	}
	running.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (t *Testbed) recordEvent(e logcheck.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
}

// runUnderFaults runs the load of one run under faults. It then reads the logs of the schedulers and checks
// which duties each believed that it held.
func (t *Testbed) runUnderFaults(ctx context.Context, script faults.Script, seed uint64, duties []string, e *Experiment, v *Variant) (*emulator.Result, *logcheck.Result, error) {
	begin := nowMS()
	injected := make(chan error, 1)
	go func() {
		var publishing sync.WaitGroup
		var err error
		if v.Fleet != nil && v.Fleet.Rules != nil {
			publishing.Go(func() { err = t.publishRules(ctx, e, v, seed) })
		}
		injected <- errors.Join(t.injectProcessFaults(ctx, script), func() error { publishing.Wait(); return err }())
	}()
	res := t.Site.RunLoad(ctx, seed, nil)
	if err := <-injected; err != nil {
		return nil, nil, err
	}
	if err := t.UnexpectedExit(); err != nil {
		return nil, nil, err
	}
	end := nowMS()
	events := t.events
	for i, proc := range t.processes {
		if v.Fleet == nil { // without a fleet there are no duties and no logs to read
			break
		}
		f, err := os.Open(filepath.Join(t.tempDir, proc.name+".log"))
		if err != nil {
			return nil, nil, err
		}
		read, err := logcheck.Read(i, f)
		f.Close()
		if err != nil {
			return nil, nil, err
		}
		events = append(events, read...)
	}
	events = slices.DeleteFunc(events, func(e logcheck.Event) bool { return e.At > end })
	r := logcheck.Check(events, duties, begin, end)
	r.Script = script
	return res, r, nil
}

// publishRules replaces the rules file at the scheduled times and notifies one live scheduler, chosen at random,
// of each new file. If the variant sets Reloaded, it notifies all live schedulers one after the other, in
// random order and with random delays.
func (t *Testbed) publishRules(ctx context.Context, e *Experiment, v *Variant, seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 0xd0c))
	begin, quiet := time.Now(), float64(e.RandomFaults.Quiet)
	length := float64(t.Site.Length())
	for i := range e.RandomFaults.Documents {
		at := quiet + (length-2*quiet)*float64(i)/float64(e.RandomFaults.Documents)
		if !sleep(ctx, time.Until(begin.Add(time.Duration(at*1e6)))) {
			return nil
		}
		if err := writeRules(filepath.Join(t.tempDir, v.Fleet.Rules.File), e.Site.Classes[0].Name, 1+i%3, i); err != nil {
			return err
		}
		order := rng.Perm(len(t.processes))
		for _, n := range order {
			if t.processes[n].stopped.Load() {
				continue
			}
			_ = t.processes[n].cmd.Process.Signal(syscall.SIGHUP) // UnexpectedExit reports a process that exited by itself
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

// writeRules replaces the rules file atomically. Documents with different indices contradict each other.
func writeRules(path, class string, attempts, index int) error {
	text := fmt.Sprintf("[class.%q]\nattempts = %d\n\n[cold]\nshare = \"%d%%\"\n", class, attempts, 50+index%50)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// rulesTable writes a table of the version changes of rules, and a chart of the time that schedulers applied
// contradicting versions.
func (s *Summary) rulesTable(dir string, b *strings.Builder) error {
	headerWritten := false
	var variants []string
	var totals []plotter.Values
	for i := range s.Runs {
		r := &s.Runs[i]
		if r.Fleet == nil || r.Fleet.Rules.Documents == 0 {
			continue
		}
		if !headerWritten {
			b.WriteString("\n| variant | schedulers | seed | documents applied | version changes | contradictions: n, p50, max ms | number decreases | number conflicts | total time on a strict form, s | versions at the end |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
			headerWritten = true
		}
		f := &r.Fleet.Rules
		fmt.Fprintf(b, "| %s | %d | %d | %d | %d | %d, %.0f, %.0f | %d | %d | %.1f | %d |\n", r.Variant, r.Cell.Schedulers, r.Seed, f.Documents, f.Changes,
			len(f.Contradictions), logcheck.Quantile(f.Contradictions, 0.5), logcheck.Quantile(f.Contradictions, 1), f.Regressions, f.NumberConflicts, f.StrictTime/1000, f.FinalVersions)
		variant := slices.Index(variants, r.Variant)
		if variant < 0 {
			variant = len(variants)
			variants, totals = append(variants, r.Variant), append(totals, nil)
		}
		sum := 0.0
		for _, x := range f.Contradictions {
			sum += x / 1000
		}
		totals[variant] = append(totals[variant], sum)
	}
	if !headerWritten {
		return nil
	}
	p := plot.New()
	p.Title.Text = "time that two schedulers applied contradicting rules, sum over all pairs"
	p.Y.Label.Text = "seconds per run, mean over all runs"
	means := make(plotter.Values, len(totals))
	for i, x := range totals {
		for _, y := range x {
			means[i] += y / float64(len(x))
		}
	}
	bars, err := plotter.NewBarChart(means, vg.Points(40))
	if err != nil {
		return err
	}
	p.Add(bars)
	p.NominalX(variants...)
	b.WriteString("\n![time that two schedulers applied contradicting rules](contradictions.svg)\n")
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, "contradictions.svg"))
}

// fleetTable writes a table of holdings and violations, and a timeline chart of the first run of each
// variant and number of schedulers.
func (s *Summary) fleetTable(dir string, b *strings.Builder) error {
	headerWritten := false
	drawn := map[string]bool{}
	for i := range s.Runs {
		r := &s.Runs[i]
		if r.Fleet == nil {
			continue
		}
		if !headerWritten {
			b.WriteString("\n| variant | schedulers | seed | holdings | two holders | numbers not increasing | acts accepted, refused, stale accepted | verdicts | duties unheld at the end | gaps without a holder: n, p50, p99 ms | handovers: n, p50, p99 ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
			headerWritten = true
		}
		f := r.Fleet
		fmt.Fprintf(b, "| %s | %d | %d | %d | %d | %d | %d, %d, %d | %d | %d | %d, %.0f, %.0f | %d, %.0f, %.0f |\n", r.Variant, r.Cell.Schedulers, r.Seed, len(f.Holdings), f.DoubleHolders, f.NonIncreasing, f.ActsTaken, f.ActsRefused, f.StaleActs, f.Verdicts, f.Unheld,
			len(f.Gaps), logcheck.Quantile(f.Gaps, 0.5), logcheck.Quantile(f.Gaps, 0.99), len(f.HandoverGaps), logcheck.Quantile(f.HandoverGaps, 0.5), logcheck.Quantile(f.HandoverGaps, 0.99))
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
		fmt.Fprintf(b, "\n![duty holders and faults over time](%s)\n", name)
	}
	return nil
}

// timeline draws the holdings of a run over time, one line per scheduler, coloured by duty. Grey marks the
// schedulers that a fault affects: dark for process faults, light for link faults.
func timeline(r *Run, path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d: duty holders", r.Variant, r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "scheduler"
	p.Y.Min, p.Y.Max = -1, float64(r.Cell.Schedulers)
	addLine := func(scheduler int, from, to, shift float64, width vg.Length, c color.Color) error {
		l, err := plotter.NewLine(plotter.XYs{{X: from / 1000, Y: float64(scheduler) + shift}, {X: to / 1000, Y: float64(scheduler) + shift}})
		if err != nil {
			return err
		}
		l.Width, l.Color = width, c
		p.Add(l)
		return nil
	}
	for _, f := range r.Fleet.Script {
		shade := color.Gray{Y: 200}
		if f.Kind.IsLinkFault() {
			shade = color.Gray{Y: 235}
		}
		affected := slices.Concat(f.From, f.To)
		if f.Links != "" { // To may contain targets
			affected = f.From
		}
		for _, scheduler := range affected {
			if err := addLine(scheduler, float64(f.At), float64(f.At+f.Lasts), 0, 9, shade); err != nil {
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
		if err := addLine(h.Scheduler, h.From, h.To, 0.12*float64(d%len(colours))-0.18, 2.5, colours[d%len(colours)]); err != nil {
			return err
		}
	}
	return p.Save(22*vg.Centimeter, vg.Length(4+r.Cell.Schedulers)*vg.Centimeter, path)
}
