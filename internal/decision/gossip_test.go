package decision

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/gossip"
)

func sentMessages(acts []balance.Action) (out []balance.Action) {
	for _, a := range acts {
		if a.Kind == balance.SendToPeers {
			out = append(out, a)
		}
	}
	return out
}

func manyIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("s-%08x", uint32(i)*2654435761))
	}
	return ids
}

// hostWithJobs makes a Decider and sends it jobs until it uses n of the targets, by its own choice.
// It returns the number of jobs at each of them.
func hostWithJobs(t *testing.T, s balance.Settings, n int, ids []string) (*testHost, map[string]float64) {
	d, err := New(s, 3, nil)
	require.NoError(t, err)
	h := startHost(t, d, ids...)
	for _, id := range ids {
		h.handle(balance.Event{Kind: balance.Probed, Worker: id, Report: balance.Report{Present: true, Free: 4}})
	}
	out := map[string]float64{}
	for id := uint64(1); len(out) < n; id++ {
		h.now += 100 * time.Microsecond // much traffic, so that the homes spread over the whole ring
		if a := findAction(h.handle(balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Budget: 5 * time.Second, Slots: 1}), balance.Send); a != nil {
			out[a.Worker]++
		}
		require.Less(t, id, uint64(20_000))
	}
	return h, out
}

// Guards against omitted targets being read as idle: a full state of 200 targets named only 85 of them in
// its datagram. Whichever datagrams arrive, and in any order, a target in use is never read as idle.
func TestOutstandingLoadIsNeverReadAsIdle(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	ids := manyIDs(200)
	sender, out := hostWithJobs(t, settings(0, 2), 150, ids)
	d, err := New(settings(1, 2), 2, nil)
	require.NoError(t, err)
	receiver := startHost(t, d, ids...)
	for _, message := range sentMessages(sender.elapse(changesInterval)) {
		receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 0, Raw: message.Raw})
	}
	for id, n := range out {
		require.InDelta(t, n, d.peerLoads[0][id], 0.01, id)
	}
	messages := sentMessages(sender.elapse(fullStateInterval))
	require.Greater(t, len(messages), 1)
	for range 200 {
		message := messages[rng.IntN(len(messages))] // some arrive several times, some not at all
		require.LessOrEqual(t, len(message.Raw), gossip.MaxSize)
		receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 0, Raw: message.Raw})
		require.Len(t, d.peerLoads[0], len(out))
	}
	// A load whose end was lost is cleared by the full state, range by range of the names.
	stale := ""
	for _, id := range ids {
		if out[id] == 0 {
			stale = id
		}
	}
	d.setPeerLoad(0, stale, 3)
	for _, message := range messages {
		receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 0, Raw: message.Raw})
	}
	require.Zero(t, d.peerLoads[0][stale])
	require.Len(t, d.peerLoads[0], len(out))
}

// idsWithSameShortName finds two ids with the same two-byte short name.
func idsWithSameShortName() (a, b string) {
	seen := map[gossip.Name]string{}
	for i := 0; ; i++ {
		b = fmt.Sprintf("s-%05d", i)
		if a = seen[gossip.NameOf(b).Short()]; a != "" {
			return a, b
		}
		seen[gossip.NameOf(b).Short()] = b
	}
}

// Guards against the load of one target being added to another with the same short name. More than a
// quarter of fleets of 200 targets have such a pair.
func TestLoadOfTargetsWithTheSameShortName(t *testing.T) {
	a, b := idsWithSameShortName()
	sender := func() *testHost {
		d, err := New(settings(0, 2), 5, nil)
		require.NoError(t, err)
		return startHost(t, d, a, b)
	}()
	at := findAction(sender.handle(balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Budget: time.Second, Slots: 1}), balance.Send).Worker
	other := a
	if at == a {
		other = b
	}
	d, err := New(settings(1, 2), 2, nil)
	require.NoError(t, err)
	receiver := startHost(t, d, a, b)
	for _, message := range sentMessages(sender.elapse(changesInterval)) {
		receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 0, Raw: message.Raw})
	}
	require.Equal(t, map[string]float64{at: 1}, d.peerLoads[0])
	require.Less(t, receiver.believedLoad(other), receiver.believedLoad(at))
	for _, message := range sentMessages(sender.elapse(fullStateInterval)) {
		receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 0, Raw: message.Raw})
	}
	require.Equal(t, map[string]float64{at: 1}, d.peerLoads[0])
	sender.handle(balance.Event{Kind: balance.Ended, Request: 1, Worker: at, Result: balance.OK, Final: true})
	for _, message := range sentMessages(sender.elapse(changesInterval)) {
		receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 0, Raw: message.Raw})
	}
	require.Empty(t, d.peerLoads[0])
	// A message with short names, as an old scheduler sends it, refers to both targets.
	receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 0, Raw: string(gossip.AppendChanges(nil, []gossip.Load{{Target: gossip.NameOf(a), Slots: 1}}))})
	require.Equal(t, map[string]float64{a: 1, b: 1}, d.peerLoads[0])
}

// Guards against sending the full state to every scheduler each 600 ms: with 300 schedulers that took
// 25 datagrams for each request. It goes to the schedulers that it concerns, and a few more times
// after it last concerned them.
func TestFullStateGoesToConcernedSchedulers(t *testing.T) {
	d, err := New(settings(150, 300), 1, nil)
	require.NoError(t, err)
	h := startHost(t, d, manyIDs(200)...)
	require.Nil(t, sentMessages(h.actions)[0].To, "the start is reported to all")
	h.elapse(3 * fullStateInterval)
	require.Empty(t, sentMessages(h.elapse(3*fullStateInterval)), "a scheduler without work sends nothing")
	at := findAction(h.handle(balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Budget: 5 * time.Second, Slots: 1}), balance.Send).Worker
	changes := sentMessages(h.elapse(changesInterval))
	require.Len(t, changes, 1)
	full := sentMessages(h.elapse(fullStateInterval))
	require.Len(t, full, 1)
	require.Equal(t, changes[0].To, full[0].To)
	require.Less(t, len(full[0].To), 60)
	h.handle(balance.Event{Kind: balance.Ended, Request: 1, Worker: at, Result: balance.OK, Final: true})
	messages := sentMessages(h.elapse(10 * fullStateInterval))
	require.Len(t, messages, 1+trailingFullStates)
	for _, message := range messages {
		require.Equal(t, changes[0].To, message.To)
	}
}

// Covers lists that are empty, repeated, very long or shrinking, and messages about unlisted targets.
func TestUnusualTargetLists(t *testing.T) {
	d, err := New(settings(0, 300), 1, nil)
	require.NoError(t, err)
	h := startHost(t, d)
	arrive := func(id uint64) *balance.Action {
		return findAction(h.handle(balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Budget: time.Second, Slots: 1}), balance.Send)
	}
	require.Nil(t, arrive(1))
	require.NotNil(t, findAction(h.elapse(time.Second), balance.Refuse), "a request gets a response although no target is listed")
	two := members("s-1", "s-1", "s-2", "s-1")
	for _, scope := range []balance.ListScope{balance.Complete, balance.Changes, balance.FromDisk} {
		h.handle(balance.Event{Kind: balance.Listed, List: scope, Members: two})
		require.Len(t, d.byName, 2)
	}
	sent := arrive(2)
	require.NotNil(t, sent)
	long := manyIDs(5000)
	h.handle(balance.Event{Kind: balance.Listed, List: balance.Changes, Members: members(long...)})
	require.Len(t, d.names, 5002)
	raw := string(gossip.AppendChanges(nil, []gossip.Load{{Target: gossip.NameOf(long[7]), Slots: 2}}))
	h.handle(balance.Event{Kind: balance.PeerLoads, Peer: 9, Raw: raw})
	require.NotEmpty(t, d.peerLoads[9])
	h.handle(balance.Event{Kind: balance.Listed, List: balance.Complete, Members: members("s-2")})
	require.Len(t, d.names, 1)
	h.handle(balance.Event{Kind: balance.PeerLoads, Peer: 9, Raw: raw}) // about a target that is no longer listed
	h.elapse(2 * peerTimeout)
	require.Empty(t, d.peerLoads[9])
	require.Empty(t, d.peersAt, "an unlisted target is forgotten with its last load")
	for range 3 {
		h.handle(balance.Event{Kind: balance.Listed, List: balance.Complete})
		require.Empty(t, d.names)
		require.Empty(t, d.byName)
	}
	h.handle(balance.Event{Kind: balance.Ended, Request: 2, Worker: sent.Worker, Result: balance.OK, Final: true})
	h.handle(balance.Event{Kind: balance.Listed, List: balance.Changes, Members: members("s-3")})
	require.NotNil(t, arrive(3))
}
