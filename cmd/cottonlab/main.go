// Command cottonlab emulates a shop and runs experiments on schedulers before it.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/pflag"

	"cottonwell/internal/lab"
)

const usage = `cottonlab, an emulated shop and experiments on schedulers

usage: cottonlab COMMAND [flags] [arguments]

  up [FILE]             start a shop and schedulers on loopback, play a mild load and show it
  run FILE --out DIR    run an experiment; exit 1 if one of its checks fails
  report DIR            write tables and charts of what a run left in DIR
  diff DIR1 DIR2        say what changed beyond the noise
  check FILE            say what is wrong with an experiment or a shop

'cottonlab COMMAND --help' lists the flags of a command.
`

var (
	errUsage = errors.New("bad use")
	errCheck = errors.New("a check fails")
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run does what the arguments say and returns the exit code: 0, 1 if a check or something
// else fails, 2 for bad use.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := command(ctx, args, stdout, stderr)
	if err == nil || errors.Is(err, pflag.ErrHelp) {
		return 0
	}
	fmt.Fprintf(stderr, "cottonlab: %v\n", err)
	if errors.Is(err, errUsage) {
		return 2
	}
	return 1
}

func bad(err error) error { return fmt.Errorf("%w: %w", errUsage, err) }

func command(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: no command; 'cottonlab help' lists them", errUsage)
	}
	name, args := args[0], args[1:]
	flags := pflag.NewFlagSet("cottonlab "+name, pflag.ContinueOnError)
	flags.SetOutput(stdout)
	flags.Usage = func() { fmt.Fprintf(stdout, "usage: cottonlab %s [flags]\n%s", name, flags.FlagUsages()) }
	var o lab.Options
	want := map[string]int{"run": 1, "report": 1, "diff": 2, "check": 1, "help": 0}
	switch name {
	case "run":
		flags.StringVar(&o.Out, "out", "", "the folder for the results")
		flags.BoolVar(&o.Quick, "quick", false, "the quick form")
		flags.Uint64Var(&o.Seed, "seed", 1, "of the first day")
	case "up":
		flags.Uint64Var(&o.Seed, "seed", 1, "of the load")
		flags.StringVar(&o.Out, "logs", "", "a folder for the schedulers' logs")
	case "--help", "-h":
		name = "help"
	}
	if name == "run" || name == "up" {
		flags.StringVar(&o.Scheduler, "scheduler", beside("cottonwell"), "the scheduler's program")
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return err
		}
		return bad(err)
	}
	if n, ok := want[name]; ok && flags.NArg() != n {
		return fmt.Errorf("%w: %s takes %d arguments, and %d are given", errUsage, name, n, flags.NArg())
	}
	o.Log = slog.New(slog.NewTextHandler(stderr, nil))
	switch name {
	case "help":
		fmt.Fprint(stdout, usage)
		return nil
	case "run":
		return experiment(ctx, flags.Arg(0), o, stdout, stderr)
	case "up":
		return up(ctx, flags.Args(), o, stdout)
	case "check":
		e, err := lab.Load(flags.Arg(0))
		if err != nil {
			return bad(err)
		}
		fmt.Fprintf(stdout, "%s is good: %d variants, %d checks\n", flags.Arg(0), len(e.Variants), len(e.Checks))
		return nil
	case "report":
		s, err := lab.Read(flags.Arg(0))
		if err != nil {
			return bad(err)
		}
		path, err := s.Report(flags.Arg(0))
		if err != nil {
			return err
		}
		fmt.Fprintln(stdout, path)
		return nil
	case "diff":
		a, err := lab.Read(flags.Arg(0))
		if err != nil {
			return bad(err)
		}
		b, err := lab.Read(flags.Arg(1))
		if err != nil {
			return bad(err)
		}
		fmt.Fprint(stdout, lab.Diff(a, b))
		return nil
	}
	return fmt.Errorf("%w: unknown command %q; 'cottonlab help' lists them", errUsage, name)
}

// beside is a program in the folder of this one.
func beside(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

func experiment(ctx context.Context, file string, o lab.Options, stdout, stderr io.Writer) error {
	if o.Out == "" {
		return fmt.Errorf("%w: run needs --out, a folder for the results", errUsage)
	}
	e, err := lab.Load(file)
	if err != nil {
		return bad(err)
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return bad(err)
	}
	if f, ok := stderr.(*os.File); ok && terminal(f) {
		var bar *progressbar.ProgressBar
		o.Step = func(done, all int) {
			if bar == nil {
				bar = progressbar.NewOptions(all, progressbar.OptionSetWriter(stderr), progressbar.OptionShowCount(),
					progressbar.OptionSetDescription("days played"), progressbar.OptionClearOnFinish())
			}
			_ = bar.Set(done) // a line that cannot be drawn is no loss
		}
	}
	s, err := e.Do(ctx, o)
	if err != nil {
		return err
	}
	if err := s.Write(o.Out); err != nil {
		return err
	}
	for _, c := range s.Checks {
		verdict := "ok"
		if !c.OK {
			verdict = "FAILS"
		}
		fmt.Fprintf(stdout, "%-5s %s: %.4g, bound %.4g\n", verdict, c.Name, c.Value, c.Bound)
	}
	if !s.OK() {
		return errCheck
	}
	return nil
}

func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
