package members

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A scheduler whose refutation of its death was lost, because it was isolated at the time, refutes
// again whenever the report is repeated. Otherwise the others would take it for dead forever.
func TestLostRefutationIsRepeated(t *testing.T) {
	c := Default()
	c.Self, c.Fleet = 3, 9
	m, err := New(c, 0)
	require.NoError(t, err)
	now := 0.0
	// report has another scheduler ping this one with an update about it, and returns the incarnation
	// that this one sends in response.
	report := func(s State, inc uint32) (claimed int) {
		now += 10
		x := Msg{Kind: Ping, Seq: uint32(now)}
		x.add(3, &member{state: s, incarnation: inc, numReporters: 1})
		claimed = -1
		for _, a := range m.Step(now, &Event{Kind: MessageReceived, From: 1, Msg: &x}, nil) {
			if a.Kind == Send && a.To == 1 && a.Msg.Kind == Ack {
				for _, r := range a.Msg.Updates[:a.Msg.NumUpdates] {
					if r.Member == 3 {
						claimed = int(r.Incarnation)
					}
				}
			}
		}
		return claimed
	}
	require.Equal(t, 1, report(Dead, 0))
	for i := 0; report(Alive, 1) >= 0; i++ { // until it was forwarded often enough
		require.Less(t, i, 100)
	}
	require.Equal(t, 1, report(Dead, 0), "the refutation is repeated, under the same incarnation")
	require.Equal(t, 6, report(Suspected, 5))
}

// A scheduler that left may have restarted, and its update may have been lost. It is pinged at times,
// like a dead one.
func TestDepartedMemberIsPingedAgain(t *testing.T) {
	c := Default()
	c.Self, c.Fleet = 0, 9
	m, err := New(c, 0)
	require.NoError(t, err)
	x := Msg{Kind: Ping, Seq: 1}
	x.add(3, &member{state: Left, incarnation: 1})
	m.Step(1, &Event{Kind: MessageReceived, From: 1, Msg: &x}, nil)
	require.False(t, m.Alive(3))
	pings := 0
	for now := 10.0; now < 20*c.Period; now += 10 {
		for _, a := range m.Step(now, &Event{Kind: Due}, nil) {
			if a.Kind == Send && a.Msg.Kind == Ping && a.To != 3 {
				m.Step(now, &Event{Kind: MessageReceived, From: a.To, Msg: &Msg{Kind: Ack, Seq: a.Msg.Seq}}, nil)
			}
			if a.Kind == Send && a.To == 3 {
				pings++
				require.Equal(t, uint16(3), a.Msg.Updates[0].Member, "the first update is the state held for the recipient")
			}
		}
	}
	require.Greater(t, pings, 2)
	acts := m.Step(19.99*c.Period, &Event{Kind: Contact, From: 3}, nil)
	require.Contains(t, acts, Action{Kind: Send, To: 3, Msg: acts[0].Msg}, "it is pinged immediately on contact")
	require.Empty(t, m.Step(19.99*c.Period, &Event{Kind: Contact, From: 3}, nil), "at most once per period")
	x = Msg{Kind: Ack, Seq: 9}
	x.add(3, &member{state: Alive, incarnation: 2})
	m.Step(20*c.Period, &Event{Kind: MessageReceived, From: 3, Msg: &x}, nil)
	require.True(t, m.Alive(3))
	require.Empty(t, m.gone)
}
