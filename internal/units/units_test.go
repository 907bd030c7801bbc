package units

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestValuesRequireUnits(t *testing.T) {
	var m Millis
	for text, want := range map[string]float64{"250ms": 250, "1.5s": 1500, "0s": 0, "80us": 0.08} {
		require.NoError(t, m.UnmarshalText([]byte(text)))
		require.InDelta(t, want, float64(m), 1e-9)
	}
	var s Share
	for text, want := range map[string]float64{"40%": 0.4, "0%": 0, "100%": 1, "2.5%": 0.025} {
		require.NoError(t, s.UnmarshalText([]byte(text)))
		require.InDelta(t, want, float64(s), 1e-9)
	}
	for _, text := range []string{"", "0", "250", "-1s", "1 s", "ms"} {
		require.ErrorContains(t, m.UnmarshalText([]byte(text)), "unit", text)
	}
	for _, text := range []string{"", "%", "0.4", "40", "-1%", "101%", "NaN%"} {
		require.ErrorContains(t, s.UnmarshalText([]byte(text)), "not a share", text)
	}
}
