package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/gossip"
)

func told(acts []balance.Action) (out []balance.Action) {
	for _, a := range acts {
		if a.Kind == balance.Tell {
			out = append(out, a)
		}
	}
	return out
}

func large(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("s-%08x", uint32(i)*2654435761))
	}
	return ids
}

// busyAt makes a Decider that has one job out at each of n of the targets, by its own choice, and
// returns where.
func busyAt(t *testing.T, s balance.Settings, n int, ids []string) (*host, map[string]float64) {
	d, err := New(s, 3, nil)
	require.NoError(t, err)
	h := start(t, d, ids...)
	for _, id := range ids {
		h.step(balance.Event{Kind: balance.Probed, Worker: id, Report: balance.Report{Present: true, Free: 4}})
	}
	out := map[string]float64{}
	for id := uint64(1); len(out) < n; id++ {
		h.now += 100 * time.Microsecond // much traffic: homes all over the ring
		if a := find(h.step(balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Budget: 5 * time.Second, Slots: 1}), balance.Send); a != nil {
			out[a.Worker]++
		}
		require.Less(t, id, uint64(20_000))
	}
	return h, out
}

// Failure (found in reading, 200 targets): a whole datagram held 85 targets, and what was left out was
// taken for idle. Whatever arrives, and in whatever order, nothing that is out is read as nothing.
func TestNothingThatIsOutIsReadAsNothing(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	ids := large(200)
	one, out := busyAt(t, settings(0, 2), 150, ids)
	d, err := New(settings(1, 2), 2, nil)
	require.NoError(t, err)
	two := start(t, d, ids...)
	for _, w := range told(one.elapse(tellEvery)) {
		two.step(balance.Event{Kind: balance.PeerSpoke, Who: 0, Raw: w.Raw})
	}
	for id, n := range out {
		require.InDelta(t, n, d.heard[0][id], 0.01, id)
	}
	words := told(one.elapse(wholeEvery))
	require.Greater(t, len(words), 1)
	for range 200 {
		w := words[rng.IntN(len(words))] // some twice, some not at all
		require.LessOrEqual(t, len(w.Raw), gossip.MaxSize)
		two.step(balance.Event{Kind: balance.PeerSpoke, Who: 0, Raw: w.Raw})
		require.Len(t, d.heard[0], len(out))
	}
	// What ended and was not told ends with the whole words, piece by piece.
	stale := ""
	for _, id := range ids {
		if out[id] == 0 {
			stale = id
		}
	}
	d.set(0, stale, 3)
	for _, w := range words {
		two.step(balance.Event{Kind: balance.PeerSpoke, Who: 0, Raw: w.Raw})
	}
	require.Zero(t, d.heard[0][stale])
	require.Len(t, d.heard[0], len(out))
}

// twins finds two ids that share the two bytes by which short datagrams call them.
func twins() (a, b string) {
	seen := map[gossip.Name]string{}
	for i := 0; ; i++ {
		b = fmt.Sprintf("s-%05d", i)
		if a = seen[gossip.NameOf(b).Short()]; a != "" {
			return a, b
		}
		seen[gossip.NameOf(b).Short()] = b
	}
}

// Failure (more than a quarter of fleets of 200): of two targets that share a short name, each had the
// work of both.
func TestWorkAtOneOfTwoThatShareAShortName(t *testing.T) {
	a, b := twins()
	one := func() *host {
		d, err := New(settings(0, 2), 5, nil)
		require.NoError(t, err)
		return start(t, d, a, b)
	}()
	at := find(one.step(balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Budget: time.Second, Slots: 1}), balance.Send).Worker
	other := a
	if at == a {
		other = b
	}
	d, err := New(settings(1, 2), 2, nil)
	require.NoError(t, err)
	two := start(t, d, a, b)
	for _, w := range told(one.elapse(tellEvery)) {
		two.step(balance.Event{Kind: balance.PeerSpoke, Who: 0, Raw: w.Raw})
	}
	require.Equal(t, map[string]float64{at: 1}, d.heard[0])
	require.Less(t, two.load(other), two.load(at))
	for _, w := range told(one.elapse(wholeEvery)) {
		two.step(balance.Event{Kind: balance.PeerSpoke, Who: 0, Raw: w.Raw})
	}
	require.Equal(t, map[string]float64{at: 1}, d.heard[0])
	one.step(balance.Event{Kind: balance.Ended, Request: 1, Worker: at, Result: balance.OK, Final: true})
	for _, w := range told(one.elapse(tellEvery)) {
		two.step(balance.Event{Kind: balance.PeerSpoke, Who: 0, Raw: w.Raw})
	}
	require.Empty(t, d.heard[0])
	// An old scheduler speaks of both, and cannot do else.
	two.step(balance.Event{Kind: balance.PeerSpoke, Who: 0, Raw: string(gossip.AppendPart(nil, []gossip.Load{{Target: gossip.NameOf(a), Slots: 1}}))})
	require.Equal(t, map[string]float64{a: 1, b: 1}, d.heard[0])
}

// Failure (300 schedulers): all that is out went to all each 600 ms, 25 datagrams for a request. It goes to
// those whom it concerns, and ends some words after it concerns them no more.
func TestWholeWordsGoToThoseWhomTheyConcern(t *testing.T) {
	d, err := New(settings(150, 300), 1, nil)
	require.NoError(t, err)
	h := start(t, d, large(200)...)
	require.Nil(t, told(h.acts)[0].To, "a start is told to all")
	h.elapse(3 * wholeEvery)
	require.Empty(t, told(h.elapse(3*wholeEvery)), "one without work has nothing to say")
	at := find(h.step(balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Budget: 5 * time.Second, Slots: 1}), balance.Send).Worker
	part := told(h.elapse(tellEvery))
	require.Len(t, part, 1)
	whole := told(h.elapse(wholeEvery))
	require.Len(t, whole, 1)
	require.Equal(t, part[0].To, whole[0].To)
	require.Less(t, len(whole[0].To), 60)
	h.step(balance.Event{Kind: balance.Ended, Request: 1, Worker: at, Result: balance.OK, Final: true})
	words := told(h.elapse(10 * wholeEvery))
	require.Len(t, words, 1+owedWholes)
	for _, w := range words {
		require.Equal(t, part[0].To, w.To)
	}
}

// Lists that are empty, repeated, very long or shrinking, and words about targets that are not there.
func TestOddLists(t *testing.T) {
	d, err := New(settings(0, 300), 1, nil)
	require.NoError(t, err)
	h := start(t, d)
	arrive := func(id uint64) *balance.Action {
		return find(h.step(balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Budget: time.Second, Slots: 1}), balance.Send)
	}
	require.Nil(t, arrive(1))
	require.NotNil(t, find(h.elapse(time.Second), balance.Refuse), "nobody is listed: answered all the same")
	two := members("s-1", "s-1", "s-2", "s-1")
	for _, scope := range []balance.ListScope{balance.Whole, balance.Changes, balance.FromDisk} {
		h.step(balance.Event{Kind: balance.Listed, List: scope, Members: two})
		require.Len(t, d.long, 2)
	}
	sent := arrive(2)
	require.NotNil(t, sent)
	long := large(5000)
	h.step(balance.Event{Kind: balance.Listed, List: balance.Changes, Members: members(long...)})
	require.Len(t, d.names, 5002)
	raw := string(gossip.AppendPart(nil, []gossip.Load{{Target: gossip.NameOf(long[7]), Slots: 2}}))
	h.step(balance.Event{Kind: balance.PeerSpoke, Who: 9, Raw: raw})
	require.NotEmpty(t, d.heard[9])
	h.step(balance.Event{Kind: balance.Listed, List: balance.Whole, Members: members("s-2")})
	require.Len(t, d.names, 1)
	h.step(balance.Event{Kind: balance.PeerSpoke, Who: 9, Raw: raw}) // of one that is listed no more
	h.elapse(2 * toldFor)
	require.Empty(t, d.heard[9])
	require.Empty(t, d.at, "what is listed no more is forgotten with the last word of it")
	for range 3 {
		h.step(balance.Event{Kind: balance.Listed, List: balance.Whole})
		require.Empty(t, d.names)
		require.Empty(t, d.long)
	}
	h.step(balance.Event{Kind: balance.Ended, Request: 2, Worker: sent.Worker, Result: balance.OK, Final: true})
	h.step(balance.Event{Kind: balance.Listed, List: balance.Changes, Members: members("s-3")})
	require.NotNil(t, arrive(3))
}
