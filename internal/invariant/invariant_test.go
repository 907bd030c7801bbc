package invariant

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBrokenInvariantPanicsOrIsCounted(t *testing.T) {
	s := New()
	require.True(t, s.Check(true, "fine", ""))
	if debug {
		require.PanicsWithValue(t, "invariant broken: 7 apples", func() { s.Check(false, "broken", "%d apples", 7) })
		return
	}
	require.False(t, s.Check(false, "broken", "%d apples", 7))
	require.Equal(t, map[string]int{"broken": 1}, s.Counts())
}
