// Package ci tests how the project's test command, test.sh, treats the tests listed in KNOWN-RED.txt. It has no
// code of its own.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sampleTests = `package x

import "testing"

func TestGood(t *testing.T) {}
func TestBad(t *testing.T)  { t.Fatal("bad") }
func TestPart(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad", func(t *testing.T) { t.Fatal("part") })
}
`

// The test command skips only the tests that KNOWN-RED.txt lists, and prints them. It fails if any other test fails,
// and if the list is too long, malformed or out of date.
func TestKnownRed(t *testing.T) {
	if testing.Short() {
		t.Skip("runs the whole test command on a sample module")
	}
	t.Parallel()
	script, err := os.ReadFile("../../test.sh")
	require.NoError(t, err)
	// The sample module needs the tools that the test command calls, so its go.mod is a copy of the project's.
	modules, err := os.ReadFile("../../go.mod")
	require.NoError(t, err)
	sums, err := os.ReadFile("../../go.sum")
	require.NoError(t, err)
	moduleFile := strings.Replace(string(modules), "module cottonwell\n", "module x\n", 1)
	const badLine, partLine = "./x TestBad | it is bad | issue 1\n", "./x TestPart/bad | a part is bad | issue 2\n"
	for name, c := range map[string]struct {
		list, want string
		passes     bool
	}{
		"both listed":    {"# two\n" + badLine + "\n" + partLine, "known red, passed over: ./x TestPart/bad | a part is bad | issue 2", true},
		"one not listed": {badLine, "--- FAIL: TestPart/bad", false},
		"none listed":    {"", "--- FAIL: TestBad", false},
		"list too long":  {badLine + partLine + badLine + partLine, "4 tests; three at most", false},
		"unknown test":   {badLine + partLine + "./x TestGone | was mended | issue 3\n", "KNOWN-RED.txt:3: x/x has no TestGone", false},
		"no cause":       {badLine + "./x TestPart\n", "KNOWN-RED.txt:2: wanted", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			require.NoError(t, os.Mkdir(filepath.Join(dir, "x"), 0o700))
			for file, text := range map[string]string{"go.mod": moduleFile, "go.sum": string(sums), "x/x_test.go": sampleTests, "KNOWN-RED.txt": c.list, "test.sh": string(script)} {
				require.NoError(t, os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600))
			}
			out, err := exec.Command("bash", filepath.Join(dir, "test.sh")).CombinedOutput()
			require.Equal(t, c.passes, err == nil, "%s", out)
			require.Contains(t, string(out), c.want)
		})
	}
}
