package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRulesCommand(t *testing.T) {
	dir := t.TempDir()
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	runRules := func(exitCode int, args ...string) (string, string) {
		var stdout, stderr bytes.Buffer
		require.Equal(t, exitCode, run(context.Background(), nil, append([]string{"rules"}, args...), func(string) string { return "" }, &stdout, &stderr), stderr.String())
		return stdout.String(), stderr.String()
	}
	original, changed := writeFile("one.toml", "[class.buy]\nattempts=3\n[[drain]]\nzone = 'b'\n[[drain]]\nzone = 'a'\n"), writeFile("two.toml", "[class.buy]\nattempts = 2\n")
	invalid := writeFile("bad.toml", "[class.buy]\ntries = 2\n")
	stdout, _ := runRules(0, "check", original)
	require.Contains(t, stdout, "is valid: 1 classes, 0 tenants, 2 drains")
	_, stderr := runRules(2, "check", invalid)
	require.Contains(t, stderr, "bad.toml:2: unknown key class.buy.tries")
	stdout, _ = runRules(0, "format", original)
	reformatted, _ := runRules(0, "format", writeFile("again.toml", stdout))
	require.Equal(t, stdout, reformatted)
	stdout, _ = runRules(0, "diff", original, changed)
	require.Contains(t, stdout, "a request of buy: attempts falls from 3 to 2")
	stdout, _ = runRules(0, "diff", original, original)
	require.Equal(t, "no changes\n", stdout)
	for _, args := range [][]string{{}, {"dance"}, {"check"}, {"diff", original}, {"publish", original, changed}, {"check", "/nonexistent"}, {"--nope"}} {
		runRules(2, args...)
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	destination := filepath.Join(dir, "rules.toml")
	stdout, _ = runRules(0, "publish", changed, destination, "--pid", strconv.Itoa(os.Getpid()))
	require.Contains(t, stdout, "was notified")
	<-hup
	text, err := os.ReadFile(destination)
	require.NoError(t, err)
	require.Contains(t, string(text), "attempts = 2")
	runRules(2, "publish", invalid, destination, "--pid", strconv.Itoa(os.Getpid()))
	kept, err := os.ReadFile(destination)
	require.NoError(t, err)
	require.Equal(t, text, kept, "an invalid document must not replace the file")
	tempFiles, err := filepath.Glob(filepath.Join(dir, ".rules-*"))
	require.NoError(t, err)
	require.Empty(t, tempFiles)
}
