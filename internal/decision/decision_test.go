package decision

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
	"cottonwell/internal/gossip"
)

const ms = time.Millisecond

func settings(self, fleet int) balance.Settings {
	return balance.Settings{Self: self, Fleet: fleet, Zone: "a", Tick: 5 * ms, Peers: true, MaxAttempts: 3, ReportsStart: true,
		Cancel: true, ReportsFree: true, ColdFrom: 0.15, ColdFor: 24 * time.Second, CollapseMultiple: 3, CollapseWindow: time.Second,
		Classes: []balance.Class{
			{Name: "view", LatencyTarget: 75 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 5},
			{Name: "buy", Effect: balance.Keyed, Scope: balance.ScopeCell, Window: 7500 * ms, LatencyTarget: 75 * ms, Stretch: 2.5, Deadline: 5 * time.Second, Value: 3},
		}}
}

func members(ids ...string) []balance.Member {
	var out []balance.Member
	for _, id := range ids {
		out = append(out, balance.Member{ID: id, Zone: "a", Kind: "m", Cell: "0", Weight: 1})
	}
	return out
}

// testHost drives a Decider on a virtual clock.
type testHost struct {
	*testing.T
	d       *Decider
	now     time.Duration
	timers  map[uint64]time.Duration
	actions []balance.Action // of the last step
}

func startHost(t *testing.T, d *Decider, ids ...string) *testHost {
	h := &testHost{T: t, d: d, now: time.Hour, timers: map[uint64]time.Duration{}}
	h.handle(balance.Event{Kind: balance.Listed, List: balance.FromDisk, Members: members(ids...)})
	return h
}

func (h *testHost) handle(ev balance.Event) []balance.Action {
	h.actions = h.d.Step(h.now, &ev, nil)
	for _, a := range h.actions {
		if a.Kind == balance.Wake {
			h.timers[a.Timer] = h.now + a.After
		}
	}
	return h.actions
}

// elapse advances the clock, fires the timers that come due and returns all actions.
func (h *testHost) elapse(d time.Duration) (actions []balance.Action) {
	end := h.now + d
	for {
		next, at := uint64(0), end+1
		for id, due := range h.timers {
			if due < at || due == at && id < next {
				next, at = id, due
			}
		}
		if at > end {
			h.now = end
			return actions
		}
		delete(h.timers, next)
		h.now = max(h.now, at)
		actions = append(actions, h.handle(balance.Event{Kind: balance.TimerDue, Timer: next})...)
	}
}

func findAction(acts []balance.Action, kind balance.ActionKind) *balance.Action {
	for i := range acts {
		if acts[i].Kind == kind {
			return &acts[i]
		}
	}
	return nil
}

func (h *testHost) believedLoad(id string) float64 {
	v, ok := h.d.module.WorkerEstimate(h.now, id)
	require.True(h, ok)
	return v.Load
}

func TestLoadsAreSentAndExpire(t *testing.T) {
	make := func(self int) *Decider {
		d, err := New(settings(self, 3), uint64(self), nil)
		require.NoError(t, err)
		return d
	}
	sender, receiver := startHost(t, make(0), "s-1", "s-2"), startHost(t, make(1), "s-1", "s-2")
	at := findAction(sender.handle(balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Budget: time.Second, Slots: 1}), balance.Send).Worker
	message := findAction(sender.elapse(changesInterval), balance.SendToPeers)
	require.NotNil(t, message, "a change is sent at once")
	require.Nil(t, findAction(sender.elapse(changesInterval), balance.SendToPeers), "and only once")
	require.NotNil(t, findAction(sender.elapse(fullStateInterval), balance.SendToPeers), "the full state is sent periodically, as messages can be lost")
	sender.handle(balance.Event{Kind: balance.Ended, Request: 1, Worker: at, Result: balance.OK, Final: true})
	messages := 0
	for range 8 {
		for _, a := range sender.elapse(fullStateInterval) {
			if a.Kind == balance.SendToPeers {
				messages++
			}
		}
	}
	require.Equal(t, 1+trailingFullStates, messages, "an end is sent, and repeated in case a message is lost; after that nothing is sent")

	before := receiver.believedLoad(at)
	receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 0, Raw: message.Raw})
	require.InDelta(t, before+1, receiver.believedLoad(at), 0.01)
	// A malformed message, or one with an invalid sender, changes nothing and is counted.
	for _, ev := range []balance.Event{{Peer: -1, Raw: message.Raw}, {Peer: 3, Raw: message.Raw}, {Peer: 1, Raw: message.Raw}, {Peer: 2, Raw: ""}, {Peer: 2, Raw: "\x03"}, {Peer: 2, Raw: "\x01ab"}} {
		ev.Kind = balance.PeerLoads
		receiver.handle(ev)
	}
	require.Equal(t, 6, receiver.d.Unreadable)
	require.InDelta(t, before+1, receiver.believedLoad(at), 0.01)
	// The loads of a scheduler that falls silent expire after peerTimeout.
	receiver.elapse(peerTimeout)
	require.InDelta(t, before+1, receiver.believedLoad(at), 0.01)
	receiver.elapse(2 * changesInterval)
	require.InDelta(t, before, receiver.believedLoad(at), 0.01, "the loads of a silent scheduler still count")
}

// Guards against sending every change to every scheduler: with 80 schedulers that took 65 datagrams
// for each request. A change concerns only schedulers that may have jobs for the target. The first
// full state goes to all.
func TestChangesGoToSchedulersThatShareTheTarget(t *testing.T) {
	var ids []string
	for i := range 60 {
		ids = append(ids, fmt.Sprintf("s-%02d", i))
	}
	d, err := New(settings(40, 80), 1, nil)
	require.NoError(t, err)
	h := startHost(t, d, ids...)
	sent := func(acts []balance.Action) (out []balance.Action) {
		for _, a := range acts {
			if a.Kind == balance.SendToPeers {
				out = append(out, a)
			}
		}
		return out
	}
	full := sent(h.actions)
	require.Len(t, full, 1, "the start is reported")
	require.Nil(t, full[0].To, "to all")
	// A scheduler that is distant on the ring, but has work at the target of the next job, is notified too.
	at := findAction(h.handle(balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Budget: time.Second, Slots: 1}), balance.Send).Worker
	h.handle(balance.Event{Kind: balance.PeerLoads, Peer: 3, Raw: string(gossip.AppendChanges(nil, []gossip.Load{{Target: gossip.NameOf(at), Slots: 1}}))})
	changes := sent(h.elapse(changesInterval))
	require.Len(t, changes, 1)
	require.Contains(t, changes[0].To, 3)
	require.Contains(t, changes[0].To, 41)
	require.NotContains(t, changes[0].To, 40, "itself")
	require.NotContains(t, changes[0].To, 79)
	require.InDelta(t, 20, len(changes[0].To), 6)

	// Changes are applied on top of the state so far. A full state corrects it after a loss.
	other, err := New(settings(41, 80), 1, nil)
	require.NoError(t, err)
	receiver := startHost(t, other, ids...)
	before := receiver.believedLoad(at)
	receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 40, Raw: changes[0].Raw})
	require.InDelta(t, before+1, receiver.believedLoad(at), 0.01)
	receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 40, Raw: string(gossip.AppendChanges(nil, []gossip.Load{{Target: gossip.NameOf("s-00"), Slots: 2}}))})
	require.InDelta(t, before+1, receiver.believedLoad(at), 0.01, "a target that is not in the message keeps its load")
	receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 40, Raw: string(gossip.AppendChanges(nil, []gossip.Load{{Target: gossip.NameOf(at)}}))})
	require.InDelta(t, before, receiver.believedLoad(at), 0.01, "no slots clear the load")
	h.handle(balance.Event{Kind: balance.Ended, Request: 1, Worker: at, Result: balance.OK, Final: true})
	all := sent(h.elapse(fullStateInterval))
	last := all[len(all)-1]
	require.Contains(t, last.To, 41, "a scheduler that received changes also receives the full state")
	require.Less(t, len(last.To), 40, "and not every scheduler")
	receiver.handle(balance.Event{Kind: balance.PeerLoads, Peer: 40, Raw: last.Raw})
	require.InDelta(t, before, receiver.believedLoad(at), 0.01)
	require.Empty(t, other.peerLoads[40])
}

// Guards against two faults. Changes were collected in map order, so the same events gave datagrams
// with different bytes. And of two targets with the same name, one always seemed changed, and was
// sent each time.
func TestSameEventsGiveTheSameMessages(t *testing.T) {
	var ids []string
	byName := map[gossip.Name]string{}
	for i := 0; len(ids) == 0; i++ { // two ids with the same short name
		id := fmt.Sprintf("s-%05d", i)
		if other := byName[gossip.NameOf(id).Short()]; other != "" {
			ids = []string{other, id}
		}
		byName[gossip.NameOf(id).Short()] = id
	}
	for i := range 12 {
		ids = append(ids, fmt.Sprintf("t-%02d", i))
	}
	play := func() (messages []string) {
		d, err := New(settings(1, 2), 7, nil)
		require.NoError(t, err)
		h := startHost(t, d, ids...)
		sent := map[uint64]string{}
		for id := range uint64(40) {
			if a := findAction(h.handle(balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Budget: time.Second, Slots: 1}), balance.Send); a != nil {
				sent[id] = a.Worker
			}
		}
		jobsAt := map[string]int{}
		for _, at := range sent {
			jobsAt[at]++
		}
		require.True(t, jobsAt[ids[0]] > 0 && jobsAt[ids[1]] > 0 && jobsAt[ids[0]] == jobsAt[ids[1]], "%v", jobsAt)
		for id := range uint64(40) {
			if id%8 == 0 {
				for _, a := range h.elapse(changesInterval) {
					if a.Kind == balance.SendToPeers {
						messages = append(messages, a.Raw)
					}
				}
				require.Nil(t, findAction(h.elapse(changesInterval), balance.SendToPeers), "sent again though nothing changed")
			}
			if sent[id] != "" && sent[id] != ids[0] {
				h.handle(balance.Event{Kind: balance.Ended, Request: id, Worker: sent[id], Result: balance.OK, Final: true})
			}
		}
		return messages
	}
	first := play()
	require.Greater(t, len(first), 3)
	for range 5 {
		require.Equal(t, first, play())
	}
}

// In a small fleet each target is near each scheduler on the ring, so changes go to all.
func TestSmallFleetsSendToAll(t *testing.T) {
	d, err := New(settings(1, 6), 1, nil)
	require.NoError(t, err)
	h := startHost(t, d, "s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8", "s-9")
	h.handle(balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Budget: time.Second, Slots: 1})
	message := findAction(h.elapse(changesInterval), balance.SendToPeers)
	require.NotNil(t, message)
	require.Nil(t, message.To)
}

func TestNamesFollowTheTargetList(t *testing.T) {
	d, err := New(settings(0, 2), 1, nil)
	require.NoError(t, err)
	h := startHost(t, d, "s-1", "s-2")
	gone := members("s-2")
	gone[0].State = balance.Gone
	h.handle(balance.Event{Kind: balance.Listed, List: balance.Changes, Members: append(gone, members("s-3", "s-1")...)})
	require.Equal(t, map[gossip.Name][]string{gossip.NameOf("s-1").Short(): {"s-1"}, gossip.NameOf("s-3").Short(): {"s-3"}}, d.byShortName)
	require.Equal(t, map[gossip.Name][]string{gossip.NameOf("s-1"): {"s-1"}, gossip.NameOf("s-3"): {"s-3"}}, d.byName)
	h.handle(balance.Event{Kind: balance.Listed, List: balance.Complete, Members: members("s-4")})
	require.Equal(t, map[gossip.Name][]string{gossip.NameOf("s-4").Short(): {"s-4"}}, d.byShortName)
	require.Equal(t, map[gossip.Name][]string{gossip.NameOf("s-4"): {"s-4"}}, d.byName)
}

// reserveAll returns a planner configuration that may reserve all slots, even for one tenant.
func reserveAll() *backfill.Config {
	c := backfill.Default()
	c.Share, c.TenantShare = 1, 1
	return &c
}

// fill sends and starts up to n jobs of one slot, numbered from first, and returns the ids of those
// that found a target.
func (h *testHost) fill(first uint64, n int) (ids []uint64) {
	for id := first; id < first+uint64(n); id++ {
		a := findAction(h.handle(balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Tenant: "t", Budget: 5 * time.Second, Slots: 1}), balance.Send)
		if a == nil {
			break
		}
		h.handle(balance.Event{Kind: balance.Progressed, Request: id, Worker: a.Worker, Started: true})
		ids = append(ids, id)
	}
	return ids
}

// endJob ends a job at target s-1, which then reports the given free slots out of four.
func (h *testHost) endJob(id uint64, free float64) {
	h.handle(balance.Event{Kind: balance.Ended, Request: id, Worker: "s-1", Result: balance.OK, Final: true,
		Report: balance.Report{Present: true, InFlight: 4 - free, Free: free}})
}

// Guards against times of a real clock being cut off at thirty years: timers came due at once, and
// the program did nothing else. It also covers a reservation from end to end: a large job is queued,
// slots are reserved for it and reported, small jobs do not take them, and the large job is sent.
func TestReservationOnARealClock(t *testing.T) {
	d, err := New(settings(0, 2), 1, reserveAll())
	require.NoError(t, err)
	h := &testHost{T: t, d: d, now: time.Duration(1.8e18), timers: map[uint64]time.Duration{}}
	h.handle(balance.Event{Kind: balance.Listed, List: balance.FromDisk, Members: members("s-1")})
	h.handle(balance.Event{Kind: balance.Probed, Worker: "s-1", Report: balance.Report{Present: true, Free: 4}})
	for round := range uint64(8) { // the planner learns run times
		for _, id := range h.fill(100+10*round, 4) {
			h.elapse(20 * ms)
			h.endJob(id, 4)
		}
	}
	ids := h.fill(1000, 4)
	require.Len(t, ids, 4)
	acts := h.handle(balance.Event{Kind: balance.Arrived, Request: 2000, Class: "buy", Tenant: "t", Budget: 5 * time.Second, Slots: 4})
	require.Nil(t, findAction(acts, balance.Send))
	require.Equal(t, 1, d.Planner().Counts.Reserved)
	for _, a := range acts {
		if a.Kind == balance.Wake {
			require.Greater(t, a.After, 4*ms, "timer %x", a.Timer)
		}
	}
	message := findAction(h.elapse(changesInterval), balance.SendToPeers)
	require.NotNil(t, message)
	var parsed gossip.Message
	require.NoError(t, gossip.Parse(message.Raw, &parsed))
	require.Equal(t, []gossip.Reservation{{Target: gossip.NameOf("s-1").Short(), Slots: 4, From: parsed.Reservations[0].From}}, parsed.Reservations)
	h.endJob(ids[0], 1)
	require.Nil(t, findAction(h.handle(balance.Event{Kind: balance.Arrived, Request: 3000, Class: "view", Tenant: "t", Budget: 5 * time.Second, Slots: 1}), balance.Send),
		"a small job took a reserved slot")
	h.endJob(ids[1], 2)
	h.endJob(ids[2], 3)
	h.endJob(ids[3], 4)
	require.Equal(t, 1, d.Planner().Counts.Released[backfill.Placed])

	// Another scheduler receives the reservation, and respects it until the message is too old.
	two, err := New(settings(1, 2), 2, reserveAll())
	require.NoError(t, err)
	other := startHost(t, two, "s-1")
	other.handle(balance.Event{Kind: balance.Probed, Worker: "s-1", Report: balance.Report{Present: true, Free: 4}})
	other.handle(balance.Event{Kind: balance.PeerLoads, Peer: 0, Raw: message.Raw})
	small := balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Tenant: "t", Budget: 5 * time.Second, Slots: 1}
	require.Nil(t, findAction(other.handle(small), balance.Send))
	require.NotNil(t, findAction(other.elapse(peerTimeout+2*changesInterval), balance.Refuse), "a small job is refused while the slots stay reserved")
	small.Request = 2
	require.NotNil(t, findAction(other.handle(small), balance.Send), "a silent scheduler still has a reservation")
}
