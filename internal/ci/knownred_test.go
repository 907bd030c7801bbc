// Package ci tests what the project's own test command does with KNOWN-RED.txt.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const tests = `package x

import "testing"

func TestGood(t *testing.T) {}
func TestBad(t *testing.T)  { t.Fatal("bad") }
func TestPart(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad", func(t *testing.T) { t.Fatal("part") })
}
`

// The test command passes over just what KNOWN-RED.txt names, and prints that. Any other failure fails it, and so does a
// list that is too long, unreadable or out of date.
func TestKnownRed(t *testing.T) {
	if testing.Short() {
		t.Skip("runs the whole test command on a small module")
	}
	t.Parallel()
	script, err := os.ReadFile("../../test.sh")
	require.NoError(t, err)
	// The small module has the tools that the test command calls, so it is made from this one's.
	modules, err := os.ReadFile("../../go.mod")
	require.NoError(t, err)
	sums, err := os.ReadFile("../../go.sum")
	require.NoError(t, err)
	small := strings.Replace(string(modules), "module cottonwell\n", "module x\n", 1)
	const bad, part = "./x TestBad | it is bad | issue 1\n", "./x TestPart/bad | a part is bad | issue 2\n"
	for name, c := range map[string]struct {
		known, says string
		passes      bool
	}{
		"both known":    {"# two\n" + bad + "\n" + part, "known red, passed over: ./x TestPart/bad | a part is bad | issue 2", true},
		"one not known": {bad, "--- FAIL: TestPart/bad", false},
		"none known":    {"", "--- FAIL: TestBad", false},
		"four":          {bad + part + bad + part, "4 tests; three at most", false},
		"no such test":  {bad + part + "./x TestGone | was mended | issue 3\n", "KNOWN-RED.txt:3: x/x has no TestGone", false},
		"no cause":      {bad + "./x TestPart\n", "KNOWN-RED.txt:2: wanted", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			require.NoError(t, os.Mkdir(filepath.Join(dir, "x"), 0o700))
			for file, text := range map[string]string{"go.mod": small, "go.sum": string(sums), "x/x_test.go": tests, "KNOWN-RED.txt": c.known, "test.sh": string(script)} {
				require.NoError(t, os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600))
			}
			out, err := exec.Command("bash", filepath.Join(dir, "test.sh")).CombinedOutput()
			require.Equal(t, c.passes, err == nil, "%s", out)
			require.Contains(t, string(out), c.says)
		})
	}
}
