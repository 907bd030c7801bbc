package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/config"
)

// The platform considers a scheduler without an open watch notified after the time that the settings give, if that is shorter
// than the usual time. The lease must end before it.
func TestUnwatchedLeaseFollowsSettings(t *testing.T) {
	for _, c := range []struct {
		discovery string
		pushed    bool
		within    time.Duration
		want      float64
	}{
		{"a", false, 10 * time.Second, 5700},
		{"a", false, 6 * time.Second, 5700},
		{"a", false, 3 * time.Second, 2700},
		{"a", false, 200 * time.Millisecond, 1},
		{"a", false, 0, 5700},
		{"a", true, 3 * time.Second, 5700},
		{"", false, 3 * time.Second, 0},
	} {
		cfg := &config.Config{Discovery: c.discovery, ListsPushed: c.pushed, Settings: balance.Settings{MaxQueryInterval: c.within}}
		require.Equal(t, c.want, unwatchedLease(cfg), "%+v", c)
		require.LessOrEqual(t, unwatchedLease(cfg), listLease(cfg))
	}
}
