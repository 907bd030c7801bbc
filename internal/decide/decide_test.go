package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/gossip"
	"cottonwell/internal/room"
)

const ms = time.Millisecond

func settings(self, fleet int) balance.Settings {
	return balance.Settings{Self: self, Fleet: fleet, Zone: "a", Tick: 5 * ms, Peers: true, MaxAttempts: 3, TellsStart: true,
		Cancel: true, ReportsFree: true, ColdFrom: 0.15, ColdFor: 24 * time.Second, FallMultiple: 3, FallWindow: time.Second,
		Classes: []balance.Class{
			{Name: "view", Aim: 75 * ms, Stretch: 2, Deadline: 5 * time.Second, Worth: 5},
			{Name: "buy", Effect: balance.Keyed, Scope: balance.ScopeCell, Window: 7500 * ms, Aim: 75 * ms, Stretch: 2.5, Deadline: 5 * time.Second, Worth: 3},
		}}
}

func members(ids ...string) []balance.Member {
	var out []balance.Member
	for _, id := range ids {
		out = append(out, balance.Member{ID: id, Zone: "a", Kind: "m", Cell: "0", Weight: 1})
	}
	return out
}

// host drives a Decider on a time of its own.
type host struct {
	*testing.T
	d    *Decider
	now  time.Duration
	due  map[uint64]time.Duration
	acts []balance.Action // of the last step
}

func start(t *testing.T, d *Decider, ids ...string) *host {
	h := &host{T: t, d: d, now: time.Hour, due: map[uint64]time.Duration{}}
	h.step(balance.Event{Kind: balance.Listed, List: balance.FromDisk, Members: members(ids...)})
	return h
}

func (h *host) step(ev balance.Event) []balance.Action {
	h.acts = h.d.Step(h.now, &ev, nil)
	for _, a := range h.acts {
		if a.Kind == balance.Wake {
			h.due[a.Timer] = h.now + a.After
		}
	}
	return h.acts
}

// elapse moves time on and rings the timers that come due, collecting all actions.
func (h *host) elapse(d time.Duration) (all []balance.Action) {
	end := h.now + d
	for {
		first, at := uint64(0), end+1
		for id, x := range h.due {
			if x < at || x == at && id < first {
				first, at = id, x
			}
		}
		if at > end {
			h.now = end
			return all
		}
		delete(h.due, first)
		h.now = max(h.now, at)
		all = append(all, h.step(balance.Event{Kind: balance.TimerDue, Timer: first})...)
	}
}

func find(acts []balance.Action, kind balance.ActionKind) *balance.Action {
	for i := range acts {
		if acts[i].Kind == kind {
			return &acts[i]
		}
	}
	return nil
}

func (h *host) load(id string) float64 {
	v, ok := h.d.module.View(h.now, id)
	require.True(h, ok)
	return v.Load
}

func TestWhatIsOutIsToldAndForgotten(t *testing.T) {
	make := func(self int) *Decider {
		d, err := New(settings(self, 3), uint64(self), nil)
		require.NoError(t, err)
		return d
	}
	one, two := start(t, make(0), "s-1", "s-2"), start(t, make(1), "s-1", "s-2")
	at := find(one.step(balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Budget: time.Second, Slots: 1}), balance.Send).Worker
	word := find(one.elapse(tellEvery), balance.Tell)
	require.NotNil(t, word, "a change is told at once")
	require.Nil(t, find(one.elapse(tellEvery), balance.Tell), "and once")
	require.NotNil(t, find(one.elapse(wholeEvery), balance.Tell), "but now and then all is told anew, as words are lost")
	one.step(balance.Event{Kind: balance.Ended, Request: 1, Worker: at, Result: balance.OK, Final: true})
	ends := 0
	for range 8 {
		for _, a := range one.elapse(wholeEvery) {
			if a.Kind == balance.Tell {
				ends++
			}
		}
	}
	require.Equal(t, 1+owedWholes, ends, "an end is told, and again for the case that a word is lost; then there is nothing to say")

	before := two.load(at)
	two.step(balance.Event{Kind: balance.PeerSpoke, Who: 0, Raw: word.Raw})
	require.InDelta(t, before+1, two.load(at), 0.01)
	// What is no word, or of nobody, changes nothing and is counted.
	for _, ev := range []balance.Event{{Who: -1, Raw: word.Raw}, {Who: 3, Raw: word.Raw}, {Who: 1, Raw: word.Raw}, {Who: 2, Raw: ""}, {Who: 2, Raw: "\x03"}, {Who: 2, Raw: "\x01ab"}} {
		ev.Kind = balance.PeerSpoke
		two.step(ev)
	}
	require.Equal(t, 6, two.d.Unreadable)
	require.InDelta(t, before+1, two.load(at), 0.01)
	// The word of one that falls silent holds for a stated time.
	two.elapse(toldFor)
	require.InDelta(t, before+1, two.load(at), 0.01)
	two.elapse(2 * tellEvery)
	require.InDelta(t, before, two.load(at), 0.01, "a silent scheduler's word still holds")
}

// Failure (vast days): what each of 80 schedulers had out was told to all others, 65 datagrams for
// a request. A change concerns those that may have jobs for the target; all is told to all.
func TestChangesGoToThoseThatShareTheTarget(t *testing.T) {
	var ids []string
	for i := range 60 {
		ids = append(ids, fmt.Sprintf("s-%02d", i))
	}
	d, err := New(settings(40, 80), 1, nil)
	require.NoError(t, err)
	h := start(t, d, ids...)
	tells := func(acts []balance.Action) (out []balance.Action) {
		for _, a := range acts {
			if a.Kind == balance.Tell {
				out = append(out, a)
			}
		}
		return out
	}
	whole := tells(h.acts)
	require.Len(t, whole, 1, "the start is told")
	require.Nil(t, whole[0].To, "to all")
	// One that is far away has work at the target that gets the next job: it is told, too.
	at := find(h.step(balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Budget: time.Second, Slots: 1}), balance.Send).Worker
	h.step(balance.Event{Kind: balance.PeerSpoke, Who: 3, Raw: string(gossip.AppendPart(nil, []gossip.Load{{Target: gossip.NameOf(at), Slots: 1}}))})
	part := tells(h.elapse(tellEvery))
	require.Len(t, part, 1)
	require.Contains(t, part[0].To, 3)
	require.Contains(t, part[0].To, 41)
	require.NotContains(t, part[0].To, 40, "itself")
	require.NotContains(t, part[0].To, 79)
	require.InDelta(t, 20, len(part[0].To), 6)

	// What a change says is added to what was said before, and a whole datagram mends what was lost.
	other, err := New(settings(41, 80), 1, nil)
	require.NoError(t, err)
	o := start(t, other, ids...)
	before := o.load(at)
	o.step(balance.Event{Kind: balance.PeerSpoke, Who: 40, Raw: part[0].Raw})
	require.InDelta(t, before+1, o.load(at), 0.01)
	o.step(balance.Event{Kind: balance.PeerSpoke, Who: 40, Raw: string(gossip.AppendPart(nil, []gossip.Load{{Target: gossip.NameOf("s-00"), Slots: 2}}))})
	require.InDelta(t, before+1, o.load(at), 0.01, "a target that is not named has what it had")
	o.step(balance.Event{Kind: balance.PeerSpoke, Who: 40, Raw: string(gossip.AppendPart(nil, []gossip.Load{{Target: gossip.NameOf(at)}}))})
	require.InDelta(t, before, o.load(at), 0.01, "none is none")
	h.step(balance.Event{Kind: balance.Ended, Request: 1, Worker: at, Result: balance.OK, Final: true})
	all := tells(h.elapse(wholeEvery))
	last := all[len(all)-1]
	require.Contains(t, last.To, 41, "whoever was told gets a whole word, too")
	require.Less(t, len(last.To), 40, "and not everybody")
	o.step(balance.Event{Kind: balance.PeerSpoke, Who: 40, Raw: last.Raw})
	require.InDelta(t, before, o.load(at), 0.01)
	require.Empty(t, other.heard[40])
}

// Failure (found in reading): changes were collected from a map, so that the same events gave datagrams of other
// bytes; and of two targets that share a name, one always seemed changed, and was told each time.
func TestSameEventsGiveTheSameWords(t *testing.T) {
	var ids []string
	byName := map[gossip.Name]string{}
	for i := 0; len(ids) == 0; i++ { // two that share a name
		id := fmt.Sprintf("s-%05d", i)
		if other := byName[gossip.NameOf(id).Short()]; other != "" {
			ids = []string{other, id}
		}
		byName[gossip.NameOf(id).Short()] = id
	}
	for i := range 12 {
		ids = append(ids, fmt.Sprintf("t-%02d", i))
	}
	play := func() (words []string) {
		d, err := New(settings(1, 2), 7, nil)
		require.NoError(t, err)
		h := start(t, d, ids...)
		sent := map[uint64]string{}
		for id := range uint64(40) {
			if a := find(h.step(balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Budget: time.Second, Slots: 1}), balance.Send); a != nil {
				sent[id] = a.Worker
			}
		}
		had := map[string]int{}
		for _, at := range sent {
			had[at]++
		}
		require.True(t, had[ids[0]] > 0 && had[ids[1]] > 0 && had[ids[0]] == had[ids[1]], "%v", had)
		for id := range uint64(40) {
			if id%8 == 0 {
				for _, a := range h.elapse(tellEvery) {
					if a.Kind == balance.Tell {
						words = append(words, a.Raw)
					}
				}
				require.Nil(t, find(h.elapse(tellEvery), balance.Tell), "told again though nothing changed")
			}
			if sent[id] != "" && sent[id] != ids[0] {
				h.step(balance.Event{Kind: balance.Ended, Request: id, Worker: sent[id], Result: balance.OK, Final: true})
			}
		}
		return words
	}
	first := play()
	require.Greater(t, len(first), 3)
	for range 5 {
		require.Equal(t, first, play())
	}
}

// In a small fleet all targets are near to all, so that nothing is kept from anybody.
func TestSmallFleetsTellAll(t *testing.T) {
	d, err := New(settings(1, 6), 1, nil)
	require.NoError(t, err)
	h := start(t, d, "s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8", "s-9")
	h.step(balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Budget: time.Second, Slots: 1})
	word := find(h.elapse(tellEvery), balance.Tell)
	require.NotNil(t, word)
	require.Nil(t, word.To)
}

func TestNamesFollowTheList(t *testing.T) {
	d, err := New(settings(0, 2), 1, nil)
	require.NoError(t, err)
	h := start(t, d, "s-1", "s-2")
	gone := members("s-2")
	gone[0].State = balance.Gone
	h.step(balance.Event{Kind: balance.Listed, List: balance.Changes, Members: append(gone, members("s-3", "s-1")...)})
	require.Equal(t, map[gossip.Name][]string{gossip.NameOf("s-1").Short(): {"s-1"}, gossip.NameOf("s-3").Short(): {"s-3"}}, d.short)
	require.Equal(t, map[gossip.Name][]string{gossip.NameOf("s-1"): {"s-1"}, gossip.NameOf("s-3"): {"s-3"}}, d.long)
	h.step(balance.Event{Kind: balance.Listed, List: balance.Whole, Members: members("s-4")})
	require.Equal(t, map[gossip.Name][]string{gossip.NameOf("s-4").Short(): {"s-4"}}, d.short)
	require.Equal(t, map[gossip.Name][]string{gossip.NameOf("s-4"): {"s-4"}}, d.long)
}

func plan() *room.Config {
	c := room.Default()
	c.Share, c.TenantShare = 1, 1
	return &c
}

// busy fills every target of four slots with jobs that started just now, and returns them.
func (h *host) busy(first uint64, n int) (ids []uint64) {
	for id := first; id < first+uint64(n); id++ {
		a := find(h.step(balance.Event{Kind: balance.Arrived, Request: id, Class: "view", Tenant: "t", Budget: 5 * time.Second, Slots: 1}), balance.Send)
		if a == nil {
			break
		}
		h.step(balance.Event{Kind: balance.Noted, Request: id, Worker: a.Worker, Started: true})
		ids = append(ids, id)
	}
	return ids
}

func (h *host) end(id uint64, free float64) {
	h.step(balance.Event{Kind: balance.Ended, Request: id, Worker: "s-1", Result: balance.OK, Final: true,
		Report: balance.Report{Present: true, InFlight: 4 - free, Free: free}})
}

// Failure (first run on sockets): times of a real clock were cut off at thirty years, timers
// came due at once, and the program did nothing else. And the way of held room as a whole: a
// large job waits, room is held for it and told, small ones leave it alone, it is sent.
func TestRoomOnARealClock(t *testing.T) {
	d, err := New(settings(0, 2), 1, plan())
	require.NoError(t, err)
	h := &host{T: t, d: d, now: time.Duration(1.8e18), due: map[uint64]time.Duration{}}
	h.step(balance.Event{Kind: balance.Listed, List: balance.FromDisk, Members: members("s-1")})
	h.step(balance.Event{Kind: balance.Probed, Worker: "s-1", Report: balance.Report{Present: true, Free: 4}})
	for round := range uint64(8) { // running times are learned
		for _, id := range h.busy(100+10*round, 4) {
			h.elapse(20 * ms)
			h.end(id, 4)
		}
	}
	ids := h.busy(1000, 4)
	require.Len(t, ids, 4)
	acts := h.step(balance.Event{Kind: balance.Arrived, Request: 2000, Class: "buy", Tenant: "t", Budget: 5 * time.Second, Slots: 4})
	require.Nil(t, find(acts, balance.Send))
	require.Equal(t, 1, d.Room().Counts.Held)
	for _, a := range acts {
		if a.Kind == balance.Wake {
			require.Greater(t, a.After, 4*ms, "timer %x", a.Timer)
		}
	}
	word := find(h.elapse(tellEvery), balance.Tell)
	require.NotNil(t, word)
	var m gossip.Message
	require.NoError(t, gossip.Parse(word.Raw, &m))
	require.Equal(t, []gossip.Hold{{Target: gossip.NameOf("s-1").Short(), Slots: 4, From: m.Holds[0].From}}, m.Holds)
	h.end(ids[0], 1)
	require.Nil(t, find(h.step(balance.Event{Kind: balance.Arrived, Request: 3000, Class: "view", Tenant: "t", Budget: 5 * time.Second, Slots: 1}), balance.Send),
		"a small job took a slot that is held")
	h.end(ids[1], 2)
	h.end(ids[2], 3)
	h.end(ids[3], 4)
	require.Equal(t, 1, d.Room().Counts.LetGo[room.Placed])

	// Another scheduler hears of the room, and leaves it alone until the word is too old.
	two, err := New(settings(1, 2), 2, plan())
	require.NoError(t, err)
	other := start(t, two, "s-1")
	other.step(balance.Event{Kind: balance.Probed, Worker: "s-1", Report: balance.Report{Present: true, Free: 4}})
	other.step(balance.Event{Kind: balance.PeerSpoke, Who: 0, Raw: word.Raw})
	small := balance.Event{Kind: balance.Arrived, Request: 1, Class: "view", Tenant: "t", Budget: 5 * time.Second, Slots: 1}
	require.Nil(t, find(other.step(small), balance.Send))
	require.NotNil(t, find(other.elapse(toldFor+2*tellEvery), balance.Refuse), "room that is held for too long costs a small job its time")
	small.Request = 2
	require.NotNil(t, find(other.step(small), balance.Send), "a silent scheduler still holds room")
}
