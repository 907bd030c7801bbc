package experiment

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/internal/units"
)

const smallExperiment = `title = "small"
engine = "model"
seeds = 3
[shop]
level = "80%"
wide = "10%"
length = "3s"
warmup = "500ms"
[[shop.kind]]
name = "fast"
count = 6
slots = 8
queue = 16
[[shop.class]]
name = "buy"
share = "100%"
runs = "40ms"
aim = "75ms"
stretch = 2.0
slots = [{slots = 1, share = "70%"}, {slots = 4, share = "30%"}]
[[variant]]
name = "none"
[[variant]]
name = "room"
room = {large_slots = 4.0}
`

func writeExperiment(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "x.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadReportsOneErrorPerMistake(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":                {`seeds = 3`, `seed = 3`, ":3: unknown key seed"},
		"unknown key in a table":     {`queue = 16`, `queues = 16`, ":13: unknown key shop.kind.queues"},
		"time without unit":          {`length = "3s"`, `length = "3000"`, `:7: shop.length: "3000" is not a time with its unit`},
		"share without percent sign": {`level = "80%"`, `level = "0.8"`, `:5: shop.level: "0.8" is not a share`},
		"no workers":                 {`count = 6`, `count = 0`, "a fleet of no workers"},
		"malformed TOML":             {`[shop]`, `[shop`, ":5: expected"},
		"duplicate variant":          {`name = "room"`, `name = "none"`, `variant "none": name is empty or used twice`},
		"invalid room setting":       {`large_slots = 4.0`, `confidence = "10%"`, `variant "room": room.confidence`},
		"unknown engine":             {`"model"`, `"paper"`, `engine "paper": want sockets or model`},
		"unknown order":              {`queue = 16`, "queue = 16\norder = \"lifo\"", `order "lifo"`},
		"unknown trouble":            {`[[variant]]`, "[[shop.trouble]]\nkind = \"flood2\"\n[[variant]]", `unknown kind of trouble "flood2"`},
		"unknown variant":            {`[[variant]]`, "[[check]]\nname = \"c\"\nfigure = \"broken\"\nvariant = \"x\"\nmax = \"1%\"\n[[variant]]", `check "c": unknown variant`},
		"unknown figure":             {`[[variant]]`, "[[check]]\nname = \"c\"\nfigure = \"joy\"\nvariant = \"none\"\nmax = \"1%\"\n[[variant]]", `unknown figure "joy"`},
		"check without bound":        {`[[variant]]`, "[[check]]\nname = \"c\"\nfigure = \"broken\"\nvariant = \"none\"\n[[variant]]", "want either min or max"},
	} {
		require.Contains(t, smallExperiment, c.old, name)
		_, err := Load(writeExperiment(t, strings.Replace(smallExperiment, c.old, c.new, 1)))
		require.ErrorContains(t, err, c.want, name)
		require.NotContains(t, err.Error(), "\n", name)
	}
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestRunReportAndDiff(t *testing.T) {
	text := smallExperiment + `[[check]]
name = "few large ones are in time"
figure = "large_in_time"
variant = "none"
max = "1%"
[[check]]
name = "small ones keep their service"
figure = "small_in_time"
variant = "room"
against = "none"
most_drop = "100%"
`
	e, err := Load(writeExperiment(t, text))
	require.NoError(t, err)
	s, err := e.Run(context.Background(), Options{Seed: 4})
	require.NoError(t, err)
	require.Len(t, s.Runs, 6)
	require.Len(t, s.Checks, 3)
	require.False(t, s.Checks[0].OK, "the bound of the check is not met")
	require.True(t, s.Checks[1].OK && s.Checks[2].OK)
	require.False(t, s.OK())
	dir := t.TempDir()
	require.NoError(t, s.Write(dir))
	back, err := Read(dir)
	require.NoError(t, err)
	require.Equal(t, s.Checks, back.Checks)
	page, err := back.Report(dir)
	require.NoError(t, err)
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(data), "**fails**")
	require.FileExists(t, filepath.Join(dir, "in-time.svg"))
	require.Contains(t, Diff(s, back), "within the noise")
	// The same seeds give the same results; other seeds have no run in common.
	again, err := e.Run(context.Background(), Options{Seed: 4})
	require.NoError(t, err)
	for i := range s.Runs {
		require.Equal(t, s.Runs[i].Large.WithinTarget, again.Runs[i].Large.WithinTarget)
	}
	other, err := e.Run(context.Background(), Options{Seed: 40})
	require.NoError(t, err)
	require.Contains(t, Diff(s, other), "no run in common")
}

func TestSweepExpandsEachCombination(t *testing.T) {
	e, err := Load(writeExperiment(t, smallExperiment+"[sweep]\nlevel = [\"60%\", \"90%\"]\nschedulers = [1, 2, 4]\n[quick_sweep]\nlevel = [\"70%\"]\n"))
	require.NoError(t, err)
	require.Len(t, e.cells(false), 6)
	quick := e.cells(true)
	require.Len(t, quick, 1)
	require.Equal(t, units.Share(0.7), e.spec(quick[0], true).Level)
	require.Equal(t, units.Share(0.8), e.Site.Level, "spec does not change the experiment")
}

func TestConfidenceInterval(t *testing.T) {
	mean, half := confidenceInterval([]float64{0.1, 0.2, 0.3})
	require.InDelta(t, 0.2, mean, 1e-9)
	require.InDelta(t, 4.30*0.1/math.Sqrt(3), half, 1e-9)
	_, half = confidenceInterval([]float64{1})
	require.True(t, math.IsInf(half, 1))
}
