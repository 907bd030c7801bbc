// Command cottonlab runs experiments on schedulers in front of an emulated site. It also starts such a site
// with schedulers for manual requests, and reports and compares the results of experiments. It reads TOML files,
// and writes a summary, reports and charts to folders.
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

	"cottonwell/internal/experiment"
)

const usage = `cottonlab, an emulated site and experiments on schedulers

usage: cottonlab COMMAND [flags] [arguments]

  up [FILE]             start a site and schedulers on loopback, generate a mild load and print counters
  run FILE --out DIR    run an experiment; exit 1 if one of its checks fails
  report DIR            write tables and charts of the results in DIR
  diff DIR1 DIR2        print the changes between two results beyond the noise
  check FILE            validate the file of an experiment or a site

'cottonlab COMMAND --help' lists the flags of a command.
`

var (
	errUsage = errors.New("usage error")
	errCheck = errors.New("a check failed")
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command in args and returns the exit code: 0 for success, 1 if a check or anything else fails,
// 2 for a usage error.
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

// usageError marks err as a usage error.
func usageError(err error) error { return fmt.Errorf("%w: %w", errUsage, err) }

// command parses the flags of a command and executes it.
func command(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: no command; 'cottonlab help' lists them", errUsage)
	}
	name, args := args[0], args[1:]
	flags := pflag.NewFlagSet("cottonlab "+name, pflag.ContinueOnError)
	flags.SetOutput(stdout)
	flags.Usage = func() { fmt.Fprintf(stdout, "usage: cottonlab %s [flags]\n%s", name, flags.FlagUsages()) }
	var options experiment.Options
	argumentCounts := map[string]int{"run": 1, "report": 1, "diff": 2, "check": 1, "help": 0}
	switch name {
	case "run":
		flags.StringVar(&options.Out, "out", "", "folder for the results")
		flags.BoolVar(&options.Quick, "quick", false, "run the quick form of the experiment")
		flags.Uint64Var(&options.Seed, "seed", 1, "seed of the first run")
	case "up":
		flags.Uint64Var(&options.Seed, "seed", 1, "seed of the load")
		flags.StringVar(&options.Out, "logs", "", "folder for the schedulers' logs")
	case "--help", "-h":
		name = "help"
	}
	if name == "run" || name == "up" {
		flags.StringVar(&options.Scheduler, "scheduler", siblingProgram("cottonwell"), "path of the scheduler program")
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return err
		}
		return usageError(err)
	}
	if n, ok := argumentCounts[name]; ok && flags.NArg() != n {
		return fmt.Errorf("%w: %s takes %d arguments, got %d", errUsage, name, n, flags.NArg())
	}
	options.Log = slog.New(slog.NewTextHandler(stderr, nil))
	switch name {
	case "help":
		fmt.Fprint(stdout, usage)
		return nil
	case "run":
		return runExperiment(ctx, flags.Arg(0), options, stdout, stderr)
	case "up":
		return up(ctx, flags.Args(), options, stdout)
	case "check":
		e, err := experiment.Load(flags.Arg(0))
		if err != nil {
			return usageError(err)
		}
		fmt.Fprintf(stdout, "%s is valid: %d variants, %d checks\n", flags.Arg(0), len(e.Variants), len(e.Checks))
		return nil
	case "report":
		s, err := experiment.Read(flags.Arg(0))
		if err != nil {
			return usageError(err)
		}
		path, err := s.Report(flags.Arg(0))
		if err != nil {
			return err
		}
		fmt.Fprintln(stdout, path)
		return nil
	case "diff":
		a, err := experiment.Read(flags.Arg(0))
		if err != nil {
			return usageError(err)
		}
		b, err := experiment.Read(flags.Arg(1))
		if err != nil {
			return usageError(err)
		}
		fmt.Fprint(stdout, experiment.Diff(a, b))
		return nil
	}
	return fmt.Errorf("%w: unknown command %q; 'cottonlab help' lists them", errUsage, name)
}

// siblingProgram returns the path of a program in the folder of this one, or the name alone if that folder is unknown.
func siblingProgram(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// runExperiment runs the experiment in file, writes the summary to options.Out and prints the checks. It returns
// errCheck if one fails.
func runExperiment(ctx context.Context, file string, options experiment.Options, stdout, stderr io.Writer) error {
	if options.Out == "" {
		return fmt.Errorf("%w: run needs --out, a folder for the results", errUsage)
	}
	e, err := experiment.Load(file)
	if err != nil {
		return usageError(err)
	}
	if err := os.MkdirAll(options.Out, 0o755); err != nil {
		return usageError(err)
	}
	if f, ok := stderr.(*os.File); ok && isTerminal(f) {
		var bar *progressbar.ProgressBar
		options.Progress = func(done, all int) {
			if bar == nil {
				bar = progressbar.NewOptions(all, progressbar.OptionSetWriter(stderr), progressbar.OptionShowCount(),
					progressbar.OptionSetDescription("runs completed"), progressbar.OptionClearOnFinish())
			}
			_ = bar.Set(done) // a failure to draw the progress bar is harmless
		}
	}
	s, err := e.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := s.Write(options.Out); err != nil {
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

// isTerminal reports whether f is a terminal or another character device.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
