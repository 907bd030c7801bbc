package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDurationRoundTrip(t *testing.T) {
	for _, d := range []time.Duration{0, time.Microsecond, 5 * time.Second, 1_796_122_800 * time.Second} {
		require.InDelta(t, float64(d), float64(Duration(Millis(d))), 1000, "%v", d)
	}
}

func TestManualAlarms(t *testing.T) {
	c := NewManual(100)
	a, past := c.NewAlarm(), c.NewAlarm()
	a.Set(150)
	require.True(t, c.IsSetFor(150))
	past.Set(50)
	<-past.C() // set to a time in the past
	c.Advance(49)
	require.Empty(t, a.C())
	c.Advance(1)
	<-a.C()
	require.False(t, c.IsSetFor(150))
	c.Advance(100)
	require.Empty(t, a.C(), "an alarm signals once")
}

func TestSystemAlarmRings(t *testing.T) {
	c := NewSystem()
	a := c.NewAlarm()
	defer a.Stop()
	before := c.Now()
	a.Set(before + 1)
	<-a.C()
	require.GreaterOrEqual(t, c.Now(), before+1)
}
