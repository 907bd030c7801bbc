package experiment

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/internal/emulator"
)

// runThreeProcesses runs a script of faults on three scheduler processes of a program built with the given tags.
func runThreeProcesses(t *testing.T, tags string) *Summary {
	if testing.Short() {
		t.Skip("takes about 15 s")
	}
	t.Parallel()
	program := filepath.Join(t.TempDir(), "cottonwell")
	out, err := exec.Command("go", "build", "-tags", tags, "-o", program, "../../cmd/cottonwell").CombinedOutput()
	require.NoError(t, err, string(out))
	e, err := Load(writeExperiment(t, `title = "three processes"
engine = "sockets"
seeds = 1
[shop]
schedulers = 3
level = "20%"
length = "13s"
datagram_delay = "2ms"
retries = 1
beyond_worth = "10%"
[[shop.tenant]]
name = "much"
share = "80%"
allowance = 10.0
[[shop.tenant]]
name = "little"
share = "20%"
allowance = 1000.0
[[shop.kind]]
name = "fast"
count = 3
slots = 4
queue = 8
[[shop.class]]
name = "view"
share = "100%"
runs = "40ms"
aim = "75ms"
stretch = 2.0
[[shop.fault]]
kind = "stall"
at = "3s"
lasts = "2500ms"
from = [0]
[[shop.fault]]
kind = "delay"
at = "1s"
lasts = "2s"
size = "3500ms"
from = [0]
to = [2]
[[shop.fault]]
kind = "split"
at = "6s"
lasts = "1500ms"
parts = [[1], [0, 2]]
[[shop.fault]]
kind = "kill"
at = "8s"
lasts = "300ms"
from = [2]
old = true
[[shop.fault]]
kind = "cut"
at = "4s"
lasts = "1s"
from = [1]
ways = "discovery"
[[shop.fault]]
kind = "break"
at = "5s"
lasts = "500ms"
from = [2]
to = [0]
ways = "targets"
[[shop.fault]]
kind = "term"
at = "1500ms"
lasts = "100ms"
from = [1]
[[shop.trouble]]
kind = "errors"
at = "3s"
lasts = "9s"
part = "30%"
[[variant]]
name = "duties"
[variant.fleet]
lease = "800ms"
[variant.fleet.examiner]
tellers = 2
[variant.fleet.accountant]
[[variant.fleet.duty]]
name = "examiner"
[[variant.fleet.duty]]
name = "accountant"
[[variant.fleet.duty]]
name = "reporter"
`))
	require.NoError(t, err)
	s, err := e.Run(context.Background(), Options{Seed: 2, Scheduler: program, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	require.NoError(t, err)
	return s
}

// One scheduler is terminated, one suspended for longer than its lease, one partitioned, one killed. No two
// schedulers hold a duty at once, numbers increase, and all duties have a holder at the end.
func TestDutiesOnProcesses(t *testing.T) {
	s := runThreeProcesses(t, "")
	f := s.Runs[0].Fleet
	t.Logf("%d holdings, gaps without a holder %.0f ms, handovers %.0f ms, served %.2f", len(f.Holdings), f.Gaps, f.HandoverGaps, s.Runs[0].Small.Share())
	require.Zero(t, f.DoubleHolders, "two holders")
	require.Zero(t, f.NonIncreasing, "numbers not increasing")
	require.Zero(t, f.StaleActs, "acts accepted under stale numbers")
	require.Greater(t, f.ActsTaken, 20)
	require.Positive(t, f.Verdicts, "a target fails, but no scheduler received a verdict")
	require.Zero(t, f.Unheld, "duties without a holder at the end")
	require.Greater(t, len(f.Holdings), 5)
	dir := t.TempDir()
	page, err := s.Report(dir)
	require.NoError(t, err)
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(data), "timeline-duties-3.svg")
	require.FileExists(t, filepath.Join(dir, "timeline-duties-3.svg"))
}

// A program that is faulty on purpose, whose suspended holders still believe that they hold the duty after the
// lease: the checker finds two holders.
func TestCheckFindsTwoHoldersOfADuty(t *testing.T) {
	require.Positive(t, runThreeProcesses(t, "wrong_trust").Runs[0].Fleet.DoubleHolders)
}

// A program that is faulty on purpose and accepts acts under any number: the checker finds acts under stale numbers.
func TestCheckFindsStaleActs(t *testing.T) {
	require.Positive(t, runThreeProcesses(t, "wrong_fence").Runs[0].Fleet.StaleActs)
}

func TestScriptDependsOnSeed(t *testing.T) {
	e, err := Load("../../experiments/duties.toml")
	require.NoError(t, err)
	spec := e.spec(e.cells(false)[1], false)
	require.Equal(t, 9, spec.Schedulers)
	one, two := e.script(spec, 1), e.script(spec, 2)
	require.Equal(t, one, e.script(spec, 1))
	require.NotEqual(t, one, two)
	require.NoError(t, one.Check(9))
	_, err = Load(writeExperiment(t, smallExperiment+"[drawn]\nfaults = 3\nquiet = '100ms'\n"))
	require.ErrorContains(t, err, "need real processes")
	_, err = emulator.NewSimulation(&emulator.Spec{}, 1, nil)
	require.Error(t, err)
}
