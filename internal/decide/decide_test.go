package decide

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/tell"
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
	require.NotNil(t, find(one.elapse(3*tellEvery), balance.Tell), "but now and then all is told anew, as words are lost")

	before := two.load(at)
	two.step(balance.Event{Kind: balance.PeerSpoke, Who: 0, Raw: word.Raw})
	require.InDelta(t, before+1, two.load(at), 0.01)
	// What is no word, or of nobody, changes nothing and is counted.
	for _, ev := range []balance.Event{{Who: -1, Raw: word.Raw}, {Who: 3, Raw: word.Raw}, {Who: 1, Raw: word.Raw}, {Who: 2, Raw: ""}, {Who: 2, Raw: "\x02"}, {Who: 2, Raw: "\x01ab"}} {
		ev.Kind = balance.PeerSpoke
		two.step(ev)
	}
	require.Equal(t, 6, two.d.Strange)
	require.InDelta(t, before+1, two.load(at), 0.01)
	// The word of one that falls silent holds for a stated time.
	two.elapse(toldFor)
	require.InDelta(t, before+1, two.load(at), 0.01)
	two.elapse(2 * tellEvery)
	require.InDelta(t, before, two.load(at), 0.01, "a silent scheduler's word still holds")
}

func TestNamesFollowTheList(t *testing.T) {
	d, err := New(settings(0, 2), 1, nil)
	require.NoError(t, err)
	h := start(t, d, "s-1", "s-2")
	gone := members("s-2")
	gone[0].State = balance.Gone
	h.step(balance.Event{Kind: balance.Listed, List: balance.Changes, Members: append(gone, members("s-3", "s-1")...)})
	require.Equal(t, map[tell.Name][]string{tell.NameOf("s-1"): {"s-1"}, tell.NameOf("s-3"): {"s-3"}}, d.names)
	h.step(balance.Event{Kind: balance.Listed, List: balance.Whole, Members: members("s-4")})
	require.Equal(t, map[tell.Name][]string{tell.NameOf("s-4"): {"s-4"}}, d.names)
}
