package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"cottonwell/internal/emulatedsite"
	"cottonwell/internal/emulator"
	"cottonwell/internal/logcheck"
	"cottonwell/internal/net/httpio"
)

// Options configure a run of an experiment or a testbed.
type Options struct {
	Quick     bool
	Seed      uint64 // seed of the first run; the next runs use the numbers after it
	Scheduler string // path of the scheduler program
	Out       string // folder for the schedulers' logs; empty: the logs are discarded
	Log       *slog.Logger
	Progress  func(done, all int) // called after each run; nil if disabled
}

// Run runs all variants of the experiment in all cells with all seeds, and evaluates the checks.
func (e *Experiment) Run(ctx context.Context, options Options) (*Summary, error) {
	s := &Summary{Title: e.Title, About: e.About, Engine: e.Engine, Quick: options.Quick}
	seedCount := e.Seeds
	if options.Quick {
		seedCount = e.QuickSeeds
	}
	for i := range seedCount {
		s.Seeds = append(s.Seeds, options.Seed+uint64(i))
	}
	for _, v := range e.Variants {
		s.Variants = append(s.Variants, v.Name)
	}
	// The variants of one cell and seed run directly after each other, so that a slowdown of the machine affects
	// all of them.
	for _, c := range e.cells(options.Quick) {
		for _, seed := range s.Seeds {
			for _, v := range e.Variants {
				s.Runs = append(s.Runs, Run{Variant: v.Name, Cell: c, Seed: seed, FaultyBuild: v.Tags != ""})
			}
		}
	}
	programs, err := e.buildVariants(ctx)
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(programs)
	if err := e.runAll(ctx, options, programs, s); err != nil {
		return nil, err
	}
	s.evaluateChecks(e)
	return s, nil
}

// buildVariants builds the scheduler programs of variants with build tags, each under the name of its tags, and
// returns their folder.
func (e *Experiment) buildVariants(ctx context.Context) (dir string, err error) {
	if dir, err = os.MkdirTemp("", "cottonlab-programs-"); err != nil {
		return "", err
	}
	for _, v := range e.Variants {
		if v.Tags == "" {
			continue
		}
		out, err := exec.CommandContext(ctx, "go", "build", "-tags", v.Tags, "-o", filepath.Join(dir, v.Tags), "cottonwell/cmd/cottonwell").CombinedOutput()
		if err != nil {
			os.RemoveAll(dir)
			return "", fmt.Errorf("variant %q: build with tags %s: %w: %s", v.Name, v.Tags, err, out)
		}
	}
	return dir, nil
}

// runAll runs s.Runs and stores their results there. Runs in virtual time use all processors; runs with
// processes follow one another.
func (e *Experiment) runAll(ctx context.Context, options Options, programs string, s *Summary) error {
	parallel := 1
	if e.Engine == "model" {
		parallel = runtime.NumCPU()
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var running sync.WaitGroup
	var mu sync.Mutex
	next, done := 0, 0
	for range parallel {
		running.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(s.Runs) || runCtx.Err() != nil {
					return
				}
				options := options
				if v := e.variant(s.Runs[i].Variant); v.Tags != "" {
					options.Scheduler = filepath.Join(programs, v.Tags)
				}
				res, err := e.runOne(runCtx, options, &s.Runs[i])
				if err != nil {
					cancel(fmt.Errorf("%s, %v, seed %d: %w", s.Runs[i].Variant, s.Runs[i].Cell, s.Runs[i].Seed, err))
					return
				}
				s.Runs[i].Result = *res
				mu.Lock()
				done++
				if options.Progress != nil {
					options.Progress(done, len(s.Runs))
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	if runCtx.Err() != nil {
		return context.Cause(runCtx)
	}
	return nil
}

// variant returns the variant with a name, or nil if it is unknown.
func (e *Experiment) variant(name string) *Variant {
	for i := range e.Variants {
		if e.Variants[i].Name == name {
			return &e.Variants[i]
		}
	}
	return nil
}

// runOne runs one variant with one seed and returns the result of the emulation. It sets r.Fleet.
func (e *Experiment) runOne(ctx context.Context, options Options, r *Run) (*emulator.Result, error) {
	v, spec := e.variant(r.Variant), e.spec(r.Cell, options.Quick)
	if e.Engine == "model" {
		w, err := emulator.NewSimulation(spec, r.Seed, v.plannerConfig())
		if err != nil {
			return nil, err
		}
		return w.Run(), nil
	}
	spec.SchedulerFaults = e.script(spec, r.Seed)
	testbed, err := StartReady(ctx, spec, r.Seed, v, options)
	if err != nil {
		return nil, err
	}
	defer testbed.Kill()
	if v.Fleet != nil || len(spec.SchedulerFaults) > 0 {
		var duties []string
		if v.Fleet != nil {
			for _, d := range v.Fleet.Duties {
				duties = append(duties, d.Name)
			}
		}
		result, fleet, err := testbed.runUnderFaults(ctx, spec.SchedulerFaults, r.Seed, duties, e, v)
		r.Fleet = fleet
		return result, err
	}
	result := testbed.Site.RunLoad(ctx, r.Seed, nil)
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if err := testbed.UnexpectedExit(); err != nil {
		return nil, err
	}
	return result, nil
}

// Testbed is an emulated site with real scheduler processes in front of it.
type Testbed struct {
	Site      *emulatedsite.Site
	options   Options
	seed      uint64
	args      []string
	logDir    string // folder of the schedulers' logs; empty: the logs are discarded
	tempDir   string // folder of configuration files and, with a fleet, of logs
	processes []*process

	mu     sync.Mutex
	events []logcheck.Event // restarts and ends of processes that faults caused
}

// process is a scheduler process and its restarts.
type process struct {
	name    string
	starts  int
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
	log     *os.File
	faultMu sync.Mutex  // serializes the faults of the process
	stopped atomic.Bool // a fault ended the process and will restart it
}

// StartReady starts a testbed and waits until it is ready. A scheduler's port is free when it is chosen, but it
// cannot be reserved for another process. If another program takes it meanwhile, StartReady starts over. It
// makes at most three attempts.
func StartReady(ctx context.Context, spec *emulator.Spec, seed uint64, v *Variant, options Options) (*Testbed, error) {
	for try := 1; ; try++ {
		t, err := StartTestbed(spec, seed, v, options)
		if err != nil {
			return nil, err
		}
		if err = t.Ready(ctx); err == nil {
			return t, nil
		}
		t.Kill()
		if try == 3 || ctx.Err() != nil {
			return nil, err
		}
	}
}

// StartTestbed starts an emulated site and its schedulers. The variant v may be nil.
func StartTestbed(spec *emulator.Spec, seed uint64, v *Variant, options Options) (t *Testbed, err error) {
	t = &Testbed{options: options, seed: seed, logDir: options.Out}
	defer func() {
		if err != nil {
			t.Kill()
		}
	}()
	if t.tempDir, err = os.MkdirTemp("", "cottonlab-"); err != nil {
		return nil, err
	}
	if t.Site, err = emulatedsite.Open(spec, seed, options.Log); err != nil {
		return nil, err
	}
	t.Site.Run()
	t.args = []string{"serve", "--log", "warn"}
	if v != nil && v.Fleet != nil { // logcheck reads the debug log
		t.args, t.logDir = []string{"serve", "--log", "debug"}, t.tempDir
	}
	if v != nil && (v.Reservations != nil || v.Fleet != nil) {
		if v.Fleet != nil && v.Fleet.Rules != nil {
			if err := writeRules(filepath.Join(t.tempDir, v.Fleet.Rules.File), spec.Classes[0].Name, 3, 0); err != nil {
				return nil, err
			}
		}
		path := filepath.Join(t.tempDir, "operator.toml")
		operatorFile, err := os.Create(path)
		if err != nil {
			return nil, err
		}
		sections := map[string]any{}
		if v.Reservations != nil {
			sections["room"] = v.Reservations
		}
		if v.Fleet != nil {
			sections["fleet"] = v.Fleet
		}
		err = toml.NewEncoder(operatorFile).Encode(sections)
		if closeErr := operatorFile.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, fmt.Errorf("operator's file: %w", err)
		}
		t.args = append(t.args, "--operator", path)
	}
	for i := range t.Site.Nodes() {
		t.processes = append(t.processes, &process{name: t.Site.Nodes()[i].Name})
		if err := t.startProcess(i, false); err != nil {
			t.processes = t.processes[:i]
			return nil, err
		}
	}
	return t, nil
}

// restart starts an ended scheduler again, with the same name and addresses. If old is set, it starts with the
// target list of its first start.
func (t *Testbed) restart(i int, old bool) error {
	proc := t.processes[i]
	if proc.log != nil {
		proc.log.Close()
	}
	if err := t.startProcess(i, old); err != nil {
		return err
	}
	proc.stopped.Store(false)
	t.recordEvent(logcheck.Event{At: nowMS(), Scheduler: i, Kind: logcheck.ProcessStarted})
	return nil
}

// startProcess starts the process of a scheduler with a new seed. The process starts with the current target
// list, or with that of its first start if old is set.
func (t *Testbed) startProcess(i int, old bool) error {
	proc := t.processes[i]
	data, err := t.Site.Config(i, t.seed+1000*uint64(proc.starts), old)
	if err != nil {
		return err
	}
	proc.starts++
	path := filepath.Join(t.tempDir, proc.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	proc.cmd, proc.done = exec.Command(t.options.Scheduler, append(slices.Clone(t.args), "--config", path)...), make(chan struct{})
	proc.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	if t.logDir != "" {
		if proc.log, err = os.OpenFile(filepath.Join(t.logDir, proc.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return err
		}
		proc.cmd.Stdout, proc.cmd.Stderr = proc.log, proc.log
	} else {
		proc.cmd.Stdout, proc.cmd.Stderr = io.Discard, io.Discard
	}
	if err := proc.cmd.Start(); err != nil {
		return fmt.Errorf("scheduler: %w", err)
	}
	cmd, done := proc.cmd, proc.done
	go func() {
		proc.err = cmd.Wait()
		close(done)
	}()
	return nil
}

// Ready waits up to 15 s until every scheduler accepts requests.
func (t *Testbed) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for i, n := range t.Site.Nodes() {
		for !httpio.CheckReady(n.Listen, time.Second) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("scheduler %s is not ready: %w", n.Name, ctx.Err())
			case <-t.processes[i].done:
				return fmt.Errorf("scheduler %s exited during startup: %v", n.Name, t.processes[i].err)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// UnexpectedExit returns an error if a scheduler exited by itself, not because of a fault.
func (t *Testbed) UnexpectedExit() error {
	for i, n := range t.processes {
		if n.stopped.Load() {
			continue
		}
		select {
		case <-n.done:
			return fmt.Errorf("scheduler n%d exited unexpectedly: %v", i, n.err)
		default:
		}
	}
	return nil
}

// Stop shuts the schedulers down gracefully, as a planned restart does, and then stops the site.
func (t *Testbed) Stop() {
	for _, n := range t.processes {
		// Signal fails for a process that has already exited, which needs no signal.
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, n := range t.processes {
		select {
		case <-n.done:
		case <-time.After(6 * time.Second):
		}
	}
	t.Kill()
}

// Kill kills the schedulers, stops the site and removes the temporary folder.
func (t *Testbed) Kill() {
	for _, n := range t.processes {
		_ = n.cmd.Process.Kill() // fails for a process that has already exited
		<-n.done
		if n.log != nil {
			n.log.Close()
		}
	}
	if t.Site != nil {
		t.Site.Close()
	}
	if t.tempDir != "" {
		os.RemoveAll(t.tempDir)
	}
}

// Write writes the summary to summary.json in a folder.
func (s *Summary) Write(dir string) error {
	data, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "summary.json"), append(data, '\n'), 0o644)
}

// Read reads summary.json from a folder.
func Read(dir string) (*Summary, error) {
	path := filepath.Join(dir, "summary.json")
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Summary{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
