package tell

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// asOld reads a datagram as a scheduler does that knows loads alone.
func asOld(raw string, target Name) (slots float64, ok bool) {
	if len(raw)%3 != 1 || raw[0] != 1 {
		return 0, false
	}
	for m := raw[1:]; len(m) > 0; m = m[3:] {
		if name(m) == target {
			slots = float64(m[2])
		}
	}
	return slots, true
}

func TestOldAndNewUnderstandOneAnother(t *testing.T) {
	a, b, c := NameOf("s-0001"), NameOf("s-0002"), NameOf("s-0003")
	raw := string(Append(nil, &Message{Loads: []Load{{a, 2}, {b, 0.4}}, Holds: []Hold{{Target: a, Slots: 4, Out: 2, From: 120}, {Target: c, Slots: 2, From: 9000}}}))
	for n, want := range map[Name]float64{a: 6, b: 1, c: 2} {
		got, ok := asOld(raw, n)
		require.True(t, ok)
		require.Equal(t, want, got, "an old one takes held room for load")
	}
	var m Message
	require.NoError(t, Parse(raw, &m))
	require.Equal(t, Message{Loads: []Load{{a, 2}, {b, 1}}, Holds: []Hold{{Target: a, Slots: 4, From: 120}, {Target: c, Slots: 2, From: 2040}}}, m)
	// What an old one says has no holds, and is byte for byte what a new one says without any.
	require.NoError(t, Parse(string([]byte{1, byte(a), byte(a >> 8), 7}), &m))
	require.Equal(t, []Load{{a, 7}}, m.Loads)
	require.Empty(t, m.Holds)
}

// Changes: no slots mean that nothing is out any more, which a whole datagram cannot say; an old
// scheduler takes them for no datagram of its own, and believes on.
func TestChanges(t *testing.T) {
	a, b := NameOf("s-0001"), NameOf("s-0002")
	raw := string(AppendPart(nil, []Load{{a, 2.5}, {b, 0}}))
	_, ok := asOld(raw, a)
	require.False(t, ok)
	var m Message
	require.NoError(t, Parse(raw, &m))
	require.Equal(t, Message{Part: true, Loads: []Load{{a, 3}, {b, 0}}, Holds: m.Holds}, m)
	require.Empty(t, m.Holds)
	require.LessOrEqual(t, len(AppendPart(nil, make([]Load, 200))), MaxSize)
}

func TestFullDatagramsStayWithinTheLimit(t *testing.T) {
	var m Message
	for i := range 200 {
		m.Loads = append(m.Loads, Load{NameOf(fmt.Sprint(i)), 300})
		m.Holds = append(m.Holds, Hold{Target: NameOf(fmt.Sprint(i)), Slots: 4})
		raw := Append(nil, &m)
		require.LessOrEqual(t, len(raw), MaxSize)
		var back Message
		require.NoError(t, Parse(string(raw), &back))
		require.Len(t, back.Holds, min(i+1, MaxHolds))
	}
}

func TestNonsenseIsToldApart(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	var m Message
	for _, raw := range []string{"", "\x03", "\x02a", "\x02abcd", "\x01ab", "\x01ab\x00", "\x01\x00\x00\x00abcd", "\x01\x00\x00\x00ab\x00\x01\x01\x00", "\x01\x00\x00\x00ab\x02\x03\x01\x00"} {
		require.ErrorIs(t, Parse(raw, &m), ErrForm, "%q", raw)
		require.Empty(t, m.Holds)
	}
	for range 20_000 {
		raw := make([]byte, rng.IntN(300))
		for i := range raw {
			raw[i] = byte(rng.UintN(4))
		}
		if Parse(string(raw), &m) != nil {
			continue
		}
		for _, h := range m.Holds {
			require.True(t, h.Slots >= 1 && h.From >= 0)
		}
	}
}
