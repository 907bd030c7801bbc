// Command cottonwell is the job scheduler of Lanka Play Commons Trust. It accepts jobs from HTTP clients and, if the operator's
// file enables it, from Gearman clients, sends each to a target, and delivers the response.
//
// It reads the platform's configuration (JSON), an optional operator's file (TOML), and the list of targets from discovery. It
// logs to standard error and exits with 0, with 1 after a failure, or with 2 for invalid usage or configuration.
//
// The package parses the command line, connects the other packages, and handles start, reload, graceful shutdown and the
// takeover by a new process. It does not choose the targets: package balance does.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/pflag"

	"cottonwell/internal/config"
)

const usage = `cottonwell, a job scheduler

usage: cottonwell COMMAND [flags]

  serve     run the scheduler until SIGTERM; on SIGHUP, read the configuration again
  check     read the configuration and the operator's file, and report errors in them
  rules     check, format, diff or publish a file of the rules that the schedulers agree on
  version   print the version

'cottonwell COMMAND --help' lists the flags of a command.
`

// errUsage marks errors in the command line or in the configuration.
var errUsage = errors.New("bad use")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Handled from the start, because a SIGHUP without a handler ends the program.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	os.Exit(run(ctx, hup, os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

// run executes the command in args and returns the exit code: 0, 1 for a failure, 2 for invalid usage or configuration.
func run(ctx context.Context, hup <-chan os.Signal, args []string, env func(string) string, stdout, stderr io.Writer) int {
	err := runCommand(ctx, hup, args, env, stdout, stderr)
	switch {
	case err == nil, errors.Is(err, pflag.ErrHelp):
		return 0
	case errors.Is(err, errUsage):
		fmt.Fprintf(stderr, "cottonwell: %v\n", err)
		return 2
	}
	fmt.Fprintf(stderr, "cottonwell: %v\n", err)
	return 1
}

// options holds the flags of the commands serve and check.
type options struct {
	configPath, operatorPath, logLevel string
}

// runCommand parses the flags of the command that args begins with, and executes it.
func runCommand(ctx context.Context, hup <-chan os.Signal, args []string, env func(string) string, stdout, stderr io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: no command; 'cottonwell help' lists them", errUsage)
	}
	name, args := args[0], args[1:]
	if name == "rules" {
		return runRulesCommand(args, stdout)
	}
	opts := options{}
	flags := pflag.NewFlagSet("cottonwell "+name, pflag.ContinueOnError)
	flags.SetOutput(stdout)
	flags.Usage = func() {
		fmt.Fprintf(stdout, "usage: cottonwell %s [flags]\n%s", name, flags.FlagUsages())
	}
	if name == "serve" || name == "check" {
		flags.StringVarP(&opts.configPath, "config", "c", env("RELAY_CONFIG"), "the platform's configuration, as JSON")
		flags.StringVarP(&opts.operatorPath, "operator", "o", env("RELAY_OPERATOR"), "the operator's file, as TOML; without it the Gearman front is disabled")
	}
	if name == "serve" {
		flags.StringVar(&opts.logLevel, "log", "info", "lowest level to log: debug, info, warn or error")
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return err
		}
		return fmt.Errorf("%w: %s: %w", errUsage, name, err)
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("%w: %s takes no argument %q", errUsage, name, flags.Arg(0))
	}
	switch name {
	case "help", "--help", "-h":
		fmt.Fprint(stdout, usage)
		return nil
	case "version":
		fmt.Fprintln(stdout, "cottonwell", version())
		return nil
	case "check":
		cfg, err := config.Load(opts.configPath, env)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		operator, err := config.LoadOperator(opts.operatorPath, &cfg.Settings)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		fmt.Fprintf(stdout, "configuration of %s is valid: %d classes, %d known targets\n",
			cfg.Name, len(cfg.Settings.Classes), len(cfg.Known.Endpoints))
		if operator != nil && operator.Reservations != nil {
			reservation := operator.PlannerConfig()
			fmt.Fprintf(stdout, "operator's file is valid: slots are reserved for jobs of %g slots, at most %g%% of the slots\n", reservation.LargeSlots, 100*reservation.Share)
		}
		if operator != nil && operator.Gearman != nil {
			fmt.Fprintf(stdout, "operator's file is valid: Gearman at %s, %d functions, %d workers\n",
				operator.Gearman.Listen, len(operator.Gearman.Functions), len(operator.Gearman.Workers))
		}
		return nil
	case "serve":
		return serve(ctx, hup, opts, env, stderr)
	}
	return fmt.Errorf("%w: unknown command %q; 'cottonwell help' lists them", errUsage, name)
}

// version returns the module version and the Go version from the build information.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version + " " + info.GoVersion
	}
	return "unknown"
}
