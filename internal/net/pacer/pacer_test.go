package pacer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cottonwell/internal/clock"
)

// Over any time, a connection is handled no faster than its burst and its rate allow, and one that stays under the rate never
// pauses.
func TestPacerLimitsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now, units := New(clock.NewManual(1000)), 1000.0, 0.0
		for range rapid.IntRange(1, 500).Draw(t, "messages") {
			bytes := rapid.IntRange(0, 64<<10).Draw(t, "bytes")
			pause := p.charge(now, bytes)
			units += 1 + float64(bytes/messageBytes)
			now += pause
			require.LessOrEqual(t, units, burst+perMillisecond*(now-1000)+1e-6)
		}
	})
	slow := New(clock.NewManual(0))
	for i := range 1000 {
		require.Zero(t, slow.charge(float64(i)/perMillisecond, 0))
	}
}

// A pause ends with the program.
func TestPauseEndsAtStop(t *testing.T) {
	p, stop := New(clock.NewManual(0)), make(chan struct{})
	close(stop)
	for range 1000 {
		p.Pause(0, stop)
	}
}
