package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
)

func load(t *testing.T) *Config {
	data, err := os.ReadFile("../../cmd/cottonwell/testdata/config.json")
	require.NoError(t, err)
	c, err := Parse([]byte(strings.Replace(string(data), "TARGETS", "", 1)))
	require.NoError(t, err)
	return c
}

func TestSettingsComeThrough(t *testing.T) {
	s := load(t).Settings
	require.Equal(t, 5*time.Millisecond, s.Tick)
	require.True(t, s.ReportsFree, "a space in a value becomes an underscore, as on the wire")
	require.True(t, s.TellsStart && s.Subscribe && s.Cancel)
	require.Equal(t, 7500*time.Millisecond, s.Classes[1].Window)
	require.Equal(t, balance.ScopeCell, s.Classes[1].Scope)
	require.Equal(t, 2.5, s.Classes[1].Stretch)
}

// Failure (short days of a site whose lists are pushed): the settings say that nothing is to be asked for, so no watch was
// ever opened, and drains were never heard of. On sockets the agent has to be asked, too.
func TestListsAreWatchedAlsoWhereTheyArePushed(t *testing.T) {
	require.False(t, load(t).Pushed)
	data, err := os.ReadFile("../../cmd/cottonwell/testdata/config.json")
	require.NoError(t, err)
	c, err := Parse([]byte(strings.NewReplacer("TARGETS", "", `"registry-mode":"subscribe"`, `"registry-mode":"automatic"`).Replace(string(data))))
	require.NoError(t, err)
	require.True(t, c.Pushed && c.Settings.Subscribe)
	require.Zero(t, c.Settings.AskWithin, "between two calls to the agent lies the shortest wait that there is")
}

func TestFlatten(t *testing.T) {
	for _, c := range []struct {
		in   map[string]any
		want []string
	}{
		{map[string]any{"a": map[string]any{"b": true, "none": nil}}, []string{"a.b=true"}},
		{map[string]any{"l": []any{"x y", "u,v"}}, []string{"l=x_y,u_v"}},
		{map[string]any{"l": []any{map[string]any{"n": "q"}, map[string]any{}}}, []string{"l.0.n=q", "l.count=2"}},
		{map[string]any{"f": 0.25, "i": 3e6}, []string{"f=0.25", "i=3000000"}},
	} {
		got, err := Flatten(c.in)
		require.NoError(t, err)
		require.Equal(t, c.want, got)
	}
	_, err := Flatten(map[string]any{"a": struct{}{}})
	require.ErrorContains(t, err, "a: a value of an unknown form")
}

func TestOperatorsFile(t *testing.T) {
	s := load(t).Settings
	op, err := LoadOperator("../../deploy/operator.toml", &s)
	require.NoError(t, err)
	require.True(t, op.Gearman.Functions[1].Keyed)
	require.Equal(t, "/purchase", op.Gearman.Functions[1].Path)
	_, err = LoadOperator("../../deploy/duties.toml", &s)
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "rules.toml"), []byte("[class.purchase]\nattempts = 2\n"), 0o600))
	path := filepath.Join(dir, "operator.toml")
	require.NoError(t, os.WriteFile(path, []byte("[fleet.rules]\nfile = 'rules.toml'\n"), 0o600))
	op, err = LoadOperator(path, &s)
	require.NoError(t, err)
	require.Equal(t, 2, *op.Fleet.Plan(&s, []string{"a"}, 1).Rules.First.Classes["purchase"].Attempts)
	for text, want := range map[string]string{
		"[class.dance]\nattempts = 2":    "class.dance: the settings have no such class",
		"[class.purchase]\nattempts = 9": "the settings allow 3",
		"[class.purchase]\ntries = 9":    "rules.toml:2: unknown key",
		"[tenant.x]\nallowance = 9.0":    "tenant.x: the settings have no such tenant",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "rules.toml"), []byte(text), 0o600))
		_, err = LoadOperator(path, &s)
		require.ErrorContains(t, err, want)
	}
	none, err := LoadOperator("", &s)
	require.NoError(t, err)
	require.Nil(t, none)
	for text, want := range map[string]string{
		"":                                "sets nothing up",
		"[gearman]\n":                     "gearman.listen",
		"[room]\nshare = '25'":            "not a share of 0%",
		"[room]\nlongest = 100":           ":2: ",
		"[room]\nconfidence = '30%'":      "room.confidence",
		"[room]\nmode = 'fill'":           "room.mode",
		"[room]\nrows = 1":                "unknown key room.rows",
		"[gearman]\nlisten = ':1'\nx = 1": "unknown key",
		"[fleet]\nvoters = 99":            "voters is 99",
		"[fleet]\nlease = '50ms'":         "lease is 50ms",
		"[fleet]\nlease = 2":              ":2: ",
		"[fleet]\nquiet = '1s'":           "quiet is 1000ms",
		"[fleet]\nrows = 1":               "unknown key fleet.rows",
		"[fleet.accountant]\n":            "the settings name no tenants",
		"[fleet.rules]\nfile = 'none'\n":  "no such file",
		"[[fleet.duty]]\nzone = 'a'":      "has no name",
		"[gearman]\nlisten = ':1'":        "none is given",
		"[gearman]\nlisten = ':1'\n[[gearman.function]]\nname = 'f'\nclass = 'dance'":                                  `no class "dance"`,
		"[gearman]\nlisten = ':1'\n[[gearman.function]]\nname = 'f'\nclass = 'purchase'\n[[gearman.worker]]\nid = 'w'": "needs zone, pod and kind",
	} {
		f := filepath.Join(t.TempDir(), "o.toml")
		require.NoError(t, os.WriteFile(f, []byte(text), 0o600))
		_, err := LoadOperator(f, &s)
		require.ErrorContains(t, err, want, text)
	}
}
