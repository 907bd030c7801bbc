package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/pflag"

	"cottonwell/internal/fleet/rules"
)

const rulesUsage = `usage: cottonwell rules COMMAND

  check FILE               report errors in a file of rules
  format FILE              print it in canonical form
  diff OLD NEW             print the changes in behaviour from OLD to NEW, one per line
  publish NEW FILE --pid P replace FILE with NEW and notify the scheduler process P, which reads FILE, to publish it
`

// runRulesCommand executes 'cottonwell rules' with these arguments.
func runRulesCommand(args []string, stdout io.Writer) error {
	flags := pflag.NewFlagSet("cottonwell rules", pflag.ContinueOnError)
	flags.SetOutput(stdout)
	flags.Usage = func() { fmt.Fprint(stdout, rulesUsage) }
	pid := flags.Int("pid", 0, "process ID of a scheduler")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return err
		}
		return fmt.Errorf("%w: rules: %w", errUsage, err)
	}
	args = flags.Args()
	// Numbers of arguments, the command included.
	argCounts := map[string]int{"check": 2, "format": 2, "diff": 3, "publish": 3}
	if len(args) == 0 || argCounts[args[0]] != len(args) {
		return fmt.Errorf("%w: rules: %q; 'cottonwell rules --help' lists the commands", errUsage, strings.Join(args, " "))
	}
	var docs []*rules.Doc
	for _, path := range args[1:] {
		if args[0] == "publish" && len(docs) == 1 {
			break // the second path is the destination
		}
		doc, err := rules.Load(path)
		if err != nil {
			return fmt.Errorf("%w: rules: %w", errUsage, err)
		}
		if _, _, err := doc.Pack(); err != nil {
			return fmt.Errorf("%w: %s: %w", errUsage, path, err)
		}
		docs = append(docs, doc)
	}
	switch args[0] {
	case "check":
		fmt.Fprintf(stdout, "%s is valid: %d classes, %d tenants, %d drains\n", args[1], len(docs[0].Classes), len(docs[0].Tenants), len(docs[0].Drains))
	case "format":
		fmt.Fprint(stdout, docs[0].Text())
	case "diff":
		lines := rules.Diff(docs[0], docs[1])
		for _, l := range lines {
			fmt.Fprintln(stdout, l)
		}
		if len(lines) == 0 {
			fmt.Fprintln(stdout, "no changes")
		}
	case "publish":
		return publishRules(docs[0], args[2], *pid, stdout)
	}
	return nil
}

// publishRules replaces a file atomically with a document, and sends SIGHUP to the scheduler process that reads the file.
func publishRules(doc *rules.Doc, path string, pid int, stdout io.Writer) error {
	if pid <= 0 {
		return fmt.Errorf("%w: rules: publish requires --pid, the process ID of a scheduler that reads %s", errUsage, path)
	}
	file, err := os.CreateTemp(filepath.Dir(path), ".rules-*")
	if err != nil {
		return fmt.Errorf("rules: %w", err)
	}
	defer os.Remove(file.Name()) // after a successful rename the file no longer exists
	_, err = io.WriteString(file, doc.Text())
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return fmt.Errorf("rules: %w", err)
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return fmt.Errorf("rules: %w", err)
	}
	if err := syscall.Kill(pid, syscall.SIGHUP); err != nil {
		return fmt.Errorf("rules: %s was replaced, but process %d cannot be notified: %w", path, pid, err)
	}
	fmt.Fprintf(stdout, "%s was replaced and process %d was notified; see its log for the outcome\n", path, pid)
	return nil
}
