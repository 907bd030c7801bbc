package lab

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

	"cottonwell/internal/emulator"
	"cottonwell/internal/net/httpio"
	"cottonwell/internal/rig"
	"cottonwell/internal/shopfront"
)

// Options are how an experiment is run.
type Options struct {
	Quick     bool
	Seed      uint64 // of the first day
	Scheduler string // the program
	Out       string // folder for the schedulers' logs
	Log       *slog.Logger
	Step      func(done, all int) // after each day; may be nil
}

// Do runs an experiment.
func (e *Experiment) Do(ctx context.Context, o Options) (*Summary, error) {
	s := &Summary{Title: e.Title, About: e.About, Engine: e.Engine, Quick: o.Quick}
	n := e.Seeds
	if o.Quick {
		n = e.QuickSeeds
	}
	for i := range n {
		s.Seeds = append(s.Seeds, o.Seed+uint64(i))
	}
	for _, v := range e.Variants {
		s.Order = append(s.Order, v.Name)
	}
	// Variants of one cell and seed follow one another, so that a machine that gets slower
	// does so for all.
	for _, c := range e.cells(o.Quick) {
		for _, seed := range s.Seeds {
			for _, v := range e.Variants {
				s.Runs = append(s.Runs, Run{Variant: v.Name, Cell: c, Seed: seed, Wrong: v.Tags != ""})
			}
		}
	}
	programs, err := e.build(ctx)
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(programs)
	if err := e.days(ctx, o, programs, s); err != nil {
		return nil, err
	}
	s.check(e)
	return s, nil
}

// build makes the programs of variants with tags, in a folder that it returns.
func (e *Experiment) build(ctx context.Context) (dir string, err error) {
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

func (e *Experiment) days(ctx context.Context, o Options, programs string, s *Summary) error {
	lanes := 1
	if e.Engine == "model" {
		lanes = runtime.NumCPU()
	}
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var all sync.WaitGroup
	var mu sync.Mutex
	next, done := 0, 0
	for range lanes {
		all.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(s.Runs) || inner.Err() != nil {
					return
				}
				o := o
				if v := e.variant(s.Runs[i].Variant); v.Tags != "" {
					o.Scheduler = filepath.Join(programs, v.Tags)
				}
				res, err := e.day(inner, o, &s.Runs[i])
				if err != nil {
					cancel(fmt.Errorf("%s, %v, seed %d: %w", s.Runs[i].Variant, s.Runs[i].Cell, s.Runs[i].Seed, err))
					return
				}
				s.Runs[i].Result = *res
				mu.Lock()
				done++
				if o.Step != nil {
					o.Step(done, len(s.Runs))
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if inner.Err() != nil {
		return context.Cause(inner)
	}
	return nil
}

func (e *Experiment) variant(name string) *Variant {
	for i := range e.Variants {
		if e.Variants[i].Name == name {
			return &e.Variants[i]
		}
	}
	return nil
}

func (e *Experiment) day(ctx context.Context, o Options, r *Run) (*emulator.Result, error) {
	v, spec := e.variant(r.Variant), e.spec(r.Cell, o.Quick)
	if e.Engine == "model" {
		w, err := emulator.NewWorld(spec, r.Seed, v.plan())
		if err != nil {
			return nil, err
		}
		return w.Run(), nil
	}
	spec.Faults = e.script(spec, r.Seed)
	t, err := StartReady(ctx, spec, r.Seed, v, o)
	if err != nil {
		return nil, err
	}
	defer t.Kill()
	if v.Fleet != nil || len(spec.Faults) > 0 {
		var duties []string
		if v.Fleet != nil {
			for _, d := range v.Fleet.Duties {
				duties = append(duties, d.Name)
			}
		}
		res, fleet, err := t.fleetDay(ctx, spec.Faults, r.Seed, duties, e, v)
		r.Fleet = fleet
		return res, err
	}
	res := t.Shop.Play(ctx, r.Seed, nil)
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if err := t.Dead(); err != nil {
		return nil, err
	}
	return res, nil
}

// Tier is an emulated shop with real scheduler processes before it.
type Tier struct {
	Shop  *shopfront.Shop
	o     Options
	seed  uint64
	args  []string
	logs  string // where the schedulers' logs go; empty: nowhere
	dir   string
	nodes []*node

	mu     sync.Mutex
	events []rig.Event // what was done to the processes
}

type node struct {
	name string
	life int
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	log  *os.File
	busy sync.Mutex  // one fault at a time
	down atomic.Bool // it was ended, and is to start anew
}

// StartReady starts a tier and waits until it is ready. A scheduler's port is free when it is
// chosen, but nobody can hold it for another process: where it was taken, all is tried anew.
func StartReady(ctx context.Context, spec *emulator.Spec, seed uint64, v *Variant, o Options) (*Tier, error) {
	for try := 1; ; try++ {
		t, err := StartTier(spec, seed, v, o)
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

// StartTier opens a shop and starts its schedulers.
func StartTier(spec *emulator.Spec, seed uint64, v *Variant, o Options) (t *Tier, err error) {
	t = &Tier{o: o, seed: seed, logs: o.Out}
	defer func() {
		if err != nil {
			t.Kill()
		}
	}()
	if t.dir, err = os.MkdirTemp("", "cottonlab-"); err != nil {
		return nil, err
	}
	if t.Shop, err = shopfront.Open(spec, seed, o.Log); err != nil {
		return nil, err
	}
	t.Shop.Run()
	t.args = []string{"serve", "--log", "warn"}
	if v != nil && v.Fleet != nil { // the time line is made of the logs
		t.args, t.logs = []string{"serve", "--log", "debug"}, t.dir
	}
	if v != nil && (v.Room != nil || v.Fleet != nil) {
		if v.Fleet != nil && v.Fleet.Rules != nil {
			if err := writeRules(filepath.Join(t.dir, v.Fleet.Rules.File), spec.Classes[0].Name, 3, 0); err != nil {
				return nil, err
			}
		}
		path := filepath.Join(t.dir, "operator.toml")
		f, err := os.Create(path)
		if err != nil {
			return nil, err
		}
		parts := map[string]any{}
		if v.Room != nil {
			parts["room"] = v.Room
		}
		if v.Fleet != nil {
			parts["fleet"] = v.Fleet
		}
		err = toml.NewEncoder(f).Encode(parts)
		if cerr := f.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			return nil, fmt.Errorf("operator's file: %w", err)
		}
		t.args = append(t.args, "--operator", path)
	}
	for i := range t.Shop.Nodes() {
		t.nodes = append(t.nodes, &node{name: t.Shop.Nodes()[i].Name})
		if err := t.begin(i, false); err != nil {
			t.nodes = t.nodes[:i]
			return nil, err
		}
	}
	return t, nil
}

// again starts a scheduler that was ended anew, under its name and addresses.
func (t *Tier) again(i int, old bool) error {
	n := t.nodes[i]
	if n.log != nil {
		n.log.Close()
	}
	if err := t.begin(i, old); err != nil {
		return err
	}
	n.down.Store(false)
	t.seen(rig.Event{At: now(), Scheduler: i, Kind: rig.ProcessStarted})
	return nil
}

// begin starts a scheduler's process, with a seed that is new at each start, and the list as it is now or as it
// was at the first start.
func (t *Tier) begin(i int, old bool) error {
	n := t.nodes[i]
	data, err := t.Shop.Config(i, t.seed+1000*uint64(n.life), old)
	if err != nil {
		return err
	}
	n.life++
	path := filepath.Join(t.dir, n.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	n.cmd, n.done = exec.Command(t.o.Scheduler, append(slices.Clone(t.args), "--config", path)...), make(chan struct{})
	n.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	if t.logs != "" {
		if n.log, err = os.OpenFile(filepath.Join(t.logs, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return err
		}
		n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	} else {
		n.cmd.Stdout, n.cmd.Stderr = io.Discard, io.Discard
	}
	if err := n.cmd.Start(); err != nil {
		return fmt.Errorf("scheduler: %w", err)
	}
	cmd, done := n.cmd, n.done
	go func() {
		n.err = cmd.Wait()
		close(done)
	}()
	return nil
}

// Ready waits until every scheduler takes requests.
func (t *Tier) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for i, n := range t.Shop.Nodes() {
		for !httpio.Up(n.Listen, time.Second) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("scheduler %s is not ready: %w", n.Name, ctx.Err())
			case <-t.nodes[i].done:
				return fmt.Errorf("scheduler %s ended at its start: %v", n.Name, t.nodes[i].err)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Dead says which scheduler ended by itself.
func (t *Tier) Dead() error {
	for i, n := range t.nodes {
		if n.down.Load() {
			continue
		}
		select {
		case <-n.done:
			return fmt.Errorf("scheduler n%d ended by itself: %v", i, n.err)
		default:
		}
	}
	return nil
}

// Stop ends the schedulers as a planned restart would, and then the shop.
func (t *Tier) Stop() {
	for _, n := range t.nodes {
		// One that has ended cannot be told, and need not be.
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, n := range t.nodes {
		select {
		case <-n.done:
		case <-time.After(6 * time.Second):
		}
	}
	t.Kill()
}

// Kill ends the schedulers at once, and then the shop.
func (t *Tier) Kill() {
	for _, n := range t.nodes {
		_ = n.cmd.Process.Kill() // likewise
		<-n.done
		if n.log != nil {
			n.log.Close()
		}
	}
	if t.Shop != nil {
		t.Shop.Close()
	}
	if t.dir != "" {
		os.RemoveAll(t.dir)
	}
}

// Write leaves the summary in a folder.
func (s *Summary) Write(dir string) error {
	data, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "summary.json"), append(data, '\n'), 0o644)
}

// Read reads the summary that a folder holds.
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
