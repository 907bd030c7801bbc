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

func loadTestConfig(t *testing.T) *Config {
	data, err := os.ReadFile("../../cmd/cottonwell/testdata/config.json")
	require.NoError(t, err)
	cfg, err := Parse([]byte(strings.Replace(string(data), "TARGETS", "", 1)))
	require.NoError(t, err)
	return cfg
}

func TestParseReadsSettings(t *testing.T) {
	s := loadTestConfig(t).Settings
	require.Equal(t, 5*time.Millisecond, s.Tick)
	require.True(t, s.ReportsFree, "a space in a value becomes an underscore, as on the wire")
	require.True(t, s.ReportsStart && s.Subscribe && s.Cancel)
	require.Equal(t, 7500*time.Millisecond, s.Classes[1].Window)
	require.Equal(t, balance.ScopeCell, s.Classes[1].Scope)
	require.Equal(t, 2.5, s.Classes[1].Stretch)
}

// Failure: at a site whose lists are pushed, the settings disable subscriptions, so the scheduler never opened a watch and
// never learned of drains. On real sockets the scheduler must open a watch at the agent, too.
func TestListsAreWatchedAlsoWhereTheyArePushed(t *testing.T) {
	require.False(t, loadTestConfig(t).ListsPushed)
	data, err := os.ReadFile("../../cmd/cottonwell/testdata/config.json")
	require.NoError(t, err)
	cfg, err := Parse([]byte(strings.NewReplacer("TARGETS", "", `"registry-mode":"subscribe"`, `"registry-mode":"automatic"`).Replace(string(data))))
	require.NoError(t, err)
	require.True(t, cfg.ListsPushed && cfg.Settings.Subscribe)
	require.Zero(t, cfg.Settings.MaxQueryInterval, "the time between two requests to the agent is minimal")
}

func TestFlatten(t *testing.T) {
	for _, test := range []struct {
		in   map[string]any
		want []string
	}{
		{map[string]any{"a": map[string]any{"b": true, "none": nil}}, []string{"a.b=true"}},
		{map[string]any{"l": []any{"x y", "u,v"}}, []string{"l=x_y,u_v"}},
		{map[string]any{"l": []any{map[string]any{"n": "q"}, map[string]any{}}}, []string{"l.0.n=q", "l.count=2"}},
		{map[string]any{"f": 0.25, "i": 3e6}, []string{"f=0.25", "i=3000000"}},
	} {
		got, err := Flatten(test.in)
		require.NoError(t, err)
		require.Equal(t, test.want, got)
	}
	_, err := Flatten(map[string]any{"a": struct{}{}})
	require.ErrorContains(t, err, "a: unsupported value type struct {}")
}

func TestLoadOperator(t *testing.T) {
	settings := loadTestConfig(t).Settings
	operator, err := LoadOperator("../../deploy/operator.toml", &settings)
	require.NoError(t, err)
	require.Equal(t, balance.Keyed, operator.Gearman.Functions[1].Effect)
	require.Equal(t, "/purchase", operator.Gearman.Functions[1].Path)
	_, err = LoadOperator("../../deploy/duties.toml", &settings)
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "rules.toml"), []byte("[class.purchase]\nattempts = 2\n"), 0o600))
	path := filepath.Join(dir, "operator.toml")
	require.NoError(t, os.WriteFile(path, []byte("[fleet.rules]\nfile = 'rules.toml'\n"), 0o600))
	operator, err = LoadOperator(path, &settings)
	require.NoError(t, err)
	require.Equal(t, 2, *operator.Fleet.MachineConfig(&settings, []string{"a"}, 1, 1).Rules.InitialDoc.Classes["purchase"].Attempts)
	for text, want := range map[string]string{
		"[class.dance]\nattempts = 2":    "class.dance: the settings have no such class",
		"[class.purchase]\nattempts = 9": "the settings allow 3",
		"[class.purchase]\ntries = 9":    "rules.toml:2: unknown key",
		"[tenant.x]\nallowance = 9.0":    "tenant.x: the settings have no such tenant",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "rules.toml"), []byte(text), 0o600))
		_, err = LoadOperator(path, &settings)
		require.ErrorContains(t, err, want)
	}
	none, err := LoadOperator("", &settings)
	require.NoError(t, err)
	require.Nil(t, none)
	for text, want := range map[string]string{
		"":                                "no section is set",
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
		"[gearman]\nlisten = ':1'":        "no function is set",
		"[gearman]\nlisten = ':1'\n[[gearman.function]]\nname = 'f'\nclass = 'dance'":                                  `no class "dance"`,
		"[gearman]\nlisten = ':1'\n[[gearman.function]]\nname = 'f'\nclass = 'purchase'\n[[gearman.worker]]\nid = 'w'": "needs zone, pod and kind",
		"[gearman]\nlisten = ':1'\n[[gearman.function]]\nname = 'f'\nclass = 'purchase'\npath = \"/a\\r\\nb: c\"":      "must be plain",
	} {
		file := filepath.Join(t.TempDir(), "o.toml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := LoadOperator(file, &settings)
		require.ErrorContains(t, err, want, text)
	}
}
