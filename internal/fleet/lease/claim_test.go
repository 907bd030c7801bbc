package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A number that was only requested, and granted by a voter to a scheduler without a majority, must not
// cause the holder's acts to be refused. A number under which a scheduler acted must.
func TestOnlyNumbersThatWereHeldRefuseActs(t *testing.T) {
	c := Default()
	c.Self, c.Fleet, c.Duties = 6, 7, []Duty{{Name: "examiner"}}
	m, err := New(c, 0)
	require.NoError(t, err)
	now := 10.0
	receive := func(from int, x Msg) (kinds []ActionKind) {
		now++
		x.Duty = ID("examiner")
		for _, a := range m.Step(now, &Event{Kind: MessageReceived, From: from, Msg: x}, nil) {
			if a.Kind == ActAccepted || a.Kind == ActRefused {
				kinds = append(kinds, a.Kind)
			}
		}
		return kinds
	}
	receive(0, Msg{Kind: Held, Holder: 5, Number: 20, Remaining: 1900})
	who, number, _ := m.Holder(0, now)
	require.Equal(t, 5, who, "a voter's report counts while no better source is known")
	require.EqualValues(t, 20, number)
	require.Equal(t, []ActionKind{ActAccepted}, receive(1, Msg{Kind: Announce, Number: 10, Remaining: 1000}))
	who, number, _ = m.Holder(0, now)
	require.Equal(t, 1, who)
	require.EqualValues(t, 10, number)
	receive(0, Msg{Kind: Held, Holder: 5, Number: 20, Remaining: 1900})
	who, _, _ = m.Holder(0, now)
	require.Equal(t, 1, who, "the holder's own announcement overrides a voter's report")
	require.Equal(t, []ActionKind{ActAccepted}, receive(2, Msg{Kind: Announce, Number: 12, Remaining: 1000}))
	require.Equal(t, []ActionKind{ActRefused}, receive(1, Msg{Kind: Announce, Number: 10, Remaining: 1000}))
	require.EqualValues(t, 12, m.NewestNumber(0))
}
