package gossip

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// slotsReadByOldVersion returns the slots that a scheduler which knows only loads reads for a target.
func slotsReadByOldVersion(raw string, target Name) (slots float64, ok bool) {
	if len(raw)%3 != 1 || raw[0] != 1 {
		return 0, false
	}
	for m := raw[1:]; len(m) > 0; m = m[3:] {
		if decodeShortName(m) == target {
			slots = float64(m[2])
		}
	}
	return slots, true
}

func TestOldAndNewVersionsAreCompatible(t *testing.T) {
	a, b, c := NameOf("s-0001").Short(), NameOf("s-0002").Short(), NameOf("s-0003").Short()
	raw := string(AppendFull(nil, &Message{Loads: []Load{{NameOf("s-0001"), 2}, {NameOf("s-0002"), 0.4}},
		Reservations: []Reservation{{Target: NameOf("s-0001"), Slots: 4, OtherSlots: 2, From: 120}, {Target: NameOf("s-0003"), Slots: 2, From: 9000}}}))
	for n, want := range map[Name]float64{a: 6, b: 1, c: 2} {
		got, ok := slotsReadByOldVersion(raw, n)
		require.True(t, ok)
		require.Equal(t, want, got, "an old scheduler takes reserved slots for load")
	}
	var m Message
	require.NoError(t, Parse(raw, &m))
	require.Equal(t, Message{Loads: []Load{{a, 2}, {b, 1}}, Reservations: []Reservation{{Target: a, Slots: 4, From: 120}, {Target: c, Slots: 2, From: 2040}}}, m)
	// The datagram of an old scheduler has no reservations, and equals that of a new one without any.
	require.NoError(t, Parse(string([]byte{1, byte(a), byte(a >> 8), 7}), &m))
	require.Equal(t, []Load{{a, 7}}, m.Loads)
	require.Empty(t, m.Reservations)
}

// In a datagram of changes, no slots mean that a load ended, which a full state cannot express. An old
// scheduler rejects the datagram and keeps its state.
func TestChanges(t *testing.T) {
	a, b := NameOf("s-0001").Short(), NameOf("s-0002").Short()
	raw := string(AppendChanges(nil, []Load{{NameOf("s-0001"), 2.5}, {NameOf("s-0002"), 0}}))
	_, ok := slotsReadByOldVersion(raw, a)
	require.False(t, ok)
	var m Message
	require.NoError(t, Parse(raw, &m))
	require.Equal(t, Message{Changes: true, Loads: []Load{{a, 3}, {b, 0}}, Reservations: m.Reservations}, m)
	require.Empty(t, m.Reservations)
	require.LessOrEqual(t, len(AppendChanges(nil, make([]Load, 200))), MaxSize)
}

func TestFullDatagramsStayWithinTheLimit(t *testing.T) {
	var m Message
	for i := range 200 {
		m.Loads = append(m.Loads, Load{NameOf(fmt.Sprint(i)), 300})
		m.Reservations = append(m.Reservations, Reservation{Target: NameOf(fmt.Sprint(i)), Slots: 4})
		raw := AppendFull(nil, &m)
		require.LessOrEqual(t, len(raw), MaxSize)
		var parsed Message
		require.NoError(t, Parse(string(raw), &parsed))
		require.Len(t, parsed.Reservations, min(i+1, MaxReservations))
	}
}

// Version 3 uses as many datagrams as needed, each with the range of names for which it is complete.
func TestLongNamesInRanges(t *testing.T) {
	var m, parsed Message
	for i := range 120 {
		m.Loads = append(m.Loads, Load{NameOf(fmt.Sprint(i)), float64(1 + i%9)})
	}
	slices.SortFunc(m.Loads, func(x, y Load) int { return cmp.Compare(x.Target, y.Target) })
	m.Reservations = []Reservation{{Target: NameOf("7"), Slots: 4, From: 80}}
	require.False(t, m.FitsShortNames())
	var loads []Load
	rest, first, expectedFirst := m, Name(0), Name(0)
	for len(rest.Loads) > 0 {
		raw, written, next := AppendRange(nil, &rest, first)
		require.LessOrEqual(t, len(raw), MaxSize)
		_, ok := slotsReadByOldVersion(string(raw), rest.Loads[0].Target.Short())
		require.False(t, ok, "an old scheduler counts it as unreadable")
		require.NoError(t, Parse(string(raw), &parsed))
		require.True(t, parsed.LongNames && !parsed.Changes)
		require.Equal(t, expectedFirst, parsed.First, "no gap between two ranges")
		require.Equal(t, []Reservation{{Target: NameOf("7"), Slots: 4, From: 80}}, parsed.Reservations)
		loads, expectedFirst = append(loads, parsed.Loads...), parsed.Last+1
		rest.Loads, first = rest.Loads[written:], next
	}
	require.Equal(t, m.Loads, loads)
	require.Equal(t, MaxName, parsed.Last)
	raw, written, _ := AppendRange(nil, &Message{Changes: true, Loads: []Load{{9, 0}, {70_000, 3}}}, 0)
	require.Equal(t, 2, written)
	require.NoError(t, Parse(string(raw), &parsed))
	require.Equal(t, Message{Changes: true, LongNames: true, First: 1, Loads: []Load{{9, 0}, {70_000, 3}}, Reservations: parsed.Reservations}, parsed)
	// Every truncation, and every invalid byte that matters, is rejected.
	raw, _, _ = AppendRange(nil, &Message{Loads: []Load{{9, 2}}, Reservations: m.Reservations}, 0)
	for n := range raw {
		if n != rangeHeaderSize+rangeLoadSize { // a datagram cut there is valid and has no reservations
			require.ErrorIs(t, Parse(string(raw[:n]), &parsed), ErrFormat, "%d", n)
		}
	}
	for at, b := range map[int]byte{1: 9, 2: 10, 14: 0, 19: 0} { // loads, first name, slots of the load, slots of the reservation
		bad := slices.Clone(raw)
		bad[at] = b
		require.ErrorIs(t, Parse(string(bad), &parsed), ErrFormat, "%d", at)
		require.Empty(t, parsed.Reservations)
	}
}

func TestMalformedDatagramsAreRejected(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	var m Message
	for _, raw := range []string{"", "\x03", "\x04ab", "\x02a", "\x02abcd", "\x01ab", "\x01ab\x00", "\x01\x00\x00\x00abcd", "\x01\x00\x00\x00ab\x00\x01\x01\x00", "\x01\x00\x00\x00ab\x02\x03\x01\x00"} {
		require.ErrorIs(t, Parse(raw, &m), ErrFormat, "%q", raw)
		require.Empty(t, m.Reservations)
	}
	for range 20_000 {
		raw := make([]byte, rng.IntN(300))
		for i := range raw {
			raw[i] = byte(rng.UintN(4))
		}
		if Parse(string(raw), &m) != nil {
			continue
		}
		for _, h := range m.Reservations {
			require.True(t, h.Slots >= 1 && h.From >= 0)
		}
	}
}
