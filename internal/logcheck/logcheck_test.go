package logcheck

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const holderLog = `time=2026-12-01T00:00:00Z level=INFO msg="duty gained" node=n0 duty=examiner number=7 at=1000 until=3000
time=2026-12-01T00:00:00Z level=INFO msg=books open=3
time=2026-12-01T00:00:00Z level=DEBUG msg="duty kept" node=n0 duty=examiner number=7 at=2000 until=4000
time=2026-12-01T00:00:00Z level=INFO msg="duty lost" node=n0 duty=examiner number=7 at=6500.5 cause="not granted anew in time"
`

func holderEvent(scheduler int, kind Kind, atMS float64, number uint64, until float64) Event {
	return Event{At: atMS, Scheduler: scheduler, Kind: kind, Duty: "examiner", Number: number, Until: until}
}

// A holding ends when its lease expires, even if the holder notices that only later.
func TestReadAndCheckHoldings(t *testing.T) {
	events, err := Read(0, strings.NewReader(holderLog))
	require.NoError(t, err)
	require.Len(t, events, 3)
	r := Check(append(events, holderEvent(1, DutyGained, 4100, 8, 9000)), []string{"examiner", "accountant"}, 500, 8500)
	require.Equal(t, []Holding{{"examiner", 0, 7, 500, 3500, false}, {"examiner", 1, 8, 3600, 8000, false}}, r.Holdings)
	require.Equal(t, []float64{100}, r.Gaps)
	require.Zero(t, r.Violations())
	require.Equal(t, 1, r.Unheld, "the accountant duty never had a holder")
}

func TestCheckFindsViolations(t *testing.T) {
	duties := []string{"examiner"}
	for name, c := range map[string]struct {
		events                       []Event
		doubleHolders, nonIncreasing int
	}{
		"one after the other":                 {[]Event{holderEvent(0, DutyGained, 0, 1, 10), holderEvent(1, DutyGained, 11, 2, 20)}, 0, 0},
		"two holders at once":                 {[]Event{holderEvent(0, DutyGained, 0, 1, 10), holderEvent(1, DutyGained, 9, 2, 20)}, 1, 0},
		"two holders at once after a renewal": {[]Event{holderEvent(0, DutyGained, 0, 1, 10), holderEvent(0, DutyKept, 5, 1, 15), holderEvent(1, DutyGained, 12, 2, 20)}, 1, 0},
		"the first holder was killed":         {[]Event{holderEvent(0, DutyGained, 0, 1, 10), holderEvent(0, ProcessEnded, 5, 0, 0), holderEvent(1, DutyGained, 6, 2, 20)}, 0, 0},
		"a number is reused":                  {[]Event{holderEvent(0, DutyGained, 0, 3, 10), holderEvent(1, DutyGained, 11, 3, 20)}, 0, 1},
		"a number decreases":                  {[]Event{holderEvent(0, DutyGained, 0, 3, 10), holderEvent(1, DutyGained, 11, 2, 20)}, 0, 1},
		"a stale act is accepted":             {[]Event{holderEvent(2, ActTaken, 1, 5, 0), holderEvent(2, ActTaken, 2, 4, 0)}, 0, 0},
		"one holding overlaps two others":     {[]Event{holderEvent(0, DutyGained, 0, 1, 90), holderEvent(1, DutyGained, 11, 2, 20), holderEvent(2, DutyGained, 30, 3, 40)}, 2, 0},
	} {
		r := Check(c.events, duties, 0, 100)
		require.Equal(t, c.doubleHolders, r.DoubleHolders, name)
		require.Equal(t, c.nonIncreasing, r.NonIncreasing, name)
		require.Equal(t, name == "a stale act is accepted", r.StaleActs > 0, name)
	}
}

func TestReadRejectsMalformedRecord(t *testing.T) {
	_, err := Read(3, strings.NewReader("msg=start\n"+strings.Replace(holderLog, "until=3000", "until=soon", 1)))
	require.ErrorContains(t, err, "scheduler 3, line 2: until")
	require.Equal(t, 5.0, Quantile([]float64{9, 1, 5}, 0.5))
	require.Zero(t, Quantile(nil, 0.5))
}
