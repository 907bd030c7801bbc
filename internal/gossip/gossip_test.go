package gossip

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
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
	a, b, c := NameOf("s-0001").Short(), NameOf("s-0002").Short(), NameOf("s-0003").Short()
	raw := string(Append(nil, &Message{Loads: []Load{{NameOf("s-0001"), 2}, {NameOf("s-0002"), 0.4}},
		Holds: []Hold{{Target: NameOf("s-0001"), Slots: 4, Out: 2, From: 120}, {Target: NameOf("s-0003"), Slots: 2, From: 9000}}}))
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
	a, b := NameOf("s-0001").Short(), NameOf("s-0002").Short()
	raw := string(AppendPart(nil, []Load{{NameOf("s-0001"), 2.5}, {NameOf("s-0002"), 0}}))
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

// Version 3: long names, in as many datagrams as it takes, each with the stretch of names that it tells all of.
func TestLongNamesInStretches(t *testing.T) {
	var m, back Message
	for i := range 120 {
		m.Loads = append(m.Loads, Load{NameOf(fmt.Sprint(i)), float64(1 + i%9)})
	}
	slices.SortFunc(m.Loads, func(x, y Load) int { return cmp.Compare(x.Target, y.Target) })
	m.Holds = []Hold{{Target: NameOf("7"), Slots: 4, From: 80}}
	require.False(t, m.Fits())
	var got []Load
	rest, first, expect := m, Name(0), Name(0)
	for len(rest.Loads) > 0 {
		raw, told, next := AppendLong(nil, &rest, first)
		require.LessOrEqual(t, len(raw), MaxSize)
		_, ok := asOld(string(raw), rest.Loads[0].Target.Short())
		require.False(t, ok, "an old one counts it as strange")
		require.NoError(t, Parse(string(raw), &back))
		require.True(t, back.Long && !back.Part)
		require.Equal(t, expect, back.First, "no gap between two stretches")
		require.Equal(t, []Hold{{Target: NameOf("7"), Slots: 4, From: 80}}, back.Holds)
		got, expect = append(got, back.Loads...), back.Final+1
		rest.Loads, first = rest.Loads[told:], next
	}
	require.Equal(t, m.Loads, got)
	require.Equal(t, Last, back.Final)
	raw, told, _ := AppendLong(nil, &Message{Part: true, Loads: []Load{{9, 0}, {70_000, 3}}}, 0)
	require.Equal(t, 2, told)
	require.NoError(t, Parse(string(raw), &back))
	require.Equal(t, Message{Part: true, Long: true, First: 1, Loads: []Load{{9, 0}, {70_000, 3}}, Holds: back.Holds}, back)
	// Every cut and every wrong byte that matters is told apart.
	raw, _, _ = AppendLong(nil, &Message{Loads: []Load{{9, 2}}, Holds: m.Holds}, 0)
	for n := range raw {
		if n != header+longLoad { // that is one that holds nothing
			require.ErrorIs(t, Parse(string(raw[:n]), &back), ErrForm, "%d", n)
		}
	}
	for at, b := range map[int]byte{1: 9, 2: 10, 14: 0, 19: 0} { // loads, first name, slots of the load, of the hold
		bad := slices.Clone(raw)
		bad[at] = b
		require.ErrorIs(t, Parse(string(bad), &back), ErrForm, "%d", at)
		require.Empty(t, back.Holds)
	}
}

func TestNonsenseIsToldApart(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	var m Message
	for _, raw := range []string{"", "\x03", "\x04ab", "\x02a", "\x02abcd", "\x01ab", "\x01ab\x00", "\x01\x00\x00\x00abcd", "\x01\x00\x00\x00ab\x00\x01\x01\x00", "\x01\x00\x00\x00ab\x02\x03\x01\x00"} {
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
