package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("[shop]\nlevel = 60\n"), 0o600))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{nil, 2, "no command"},
		{[]string{"help"}, 0, "usage: cottonlab"},
		{[]string{"dance"}, 2, `unknown command "dance"`},
		{[]string{"run", "x.toml"}, 2, "needs --out"},
		{[]string{"run", "--out", dir}, 2, "takes 1 arguments"},
		{[]string{"run", "--out", dir, "--speed", "9", "x"}, 2, "unknown flag"},
		{[]string{"run", "--out", dir, filepath.Join(dir, "none.toml")}, 2, "none.toml"},
		{[]string{"run", "--out", dir, bad}, 2, "bad.toml:2: "},
		{[]string{"check", bad}, 2, "bad.toml:2: "},
		{[]string{"check", "../../experiments/room.toml"}, 0, "4 variants, 3 checks"},
		{[]string{"check", "../../experiments/room-sweep.toml"}, 0, "2 variants, 1 checks"},
		{[]string{"report", dir}, 2, "summary.json"},
		{[]string{"diff", dir}, 2, "takes 2 arguments"},
		{[]string{"up", bad}, 2, "bad.toml:2: "},
	} {
		var out, errs bytes.Buffer
		require.Equal(t, c.code, run(context.Background(), c.args, &out, &errs), "%v: %s", c.args, errs.String())
		require.Contains(t, out.String()+errs.String(), c.want)
	}
}
