package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
	"cottonwell/internal/listlease"
)

const listLeaseMS = 5700.0

// newLeasedHarness returns a harness with a watched source and a lease on its list of the targets a, b and so on.
func newLeasedHarness(t *testing.T, targets int) *harness {
	h := newHarness(t, targets)
	for _, s := range h.core.sources {
		s.Watch = func() {}
	}
	h.core.cfg.ListLease, h.core.listReady = listLeaseMS, make(chan struct{})
	require.NoError(t, h.core.startLease())
	h.core.afterLeaseEvent(h.core.leasedSource, h.core.updateLeaseList(h.core.leasedSource, &TargetList{Scope: balance.FromDisk}))
	h.core.route()
	return h
}

// receiveChanges applies an empty set of changes from the source, read now. It renews the lease.
func (h *harness) receiveChanges() {
	h.apply(listEvent{"test", TargetList{Scope: balance.Changes, ReadAt: h.clock.Now()}})
}

func (h *harness) loseWatch() { h.apply(listEvent{"test", TargetList{Scope: balance.RequestFailed}}) }

func (h *harness) serve(id string) {
	last := h.started[len(h.started)-1]
	h.apply(targetUpdateEvent{TargetCallback{ID: id, From: last.Target, Result: balance.OK}})
}

// expireLease lets a lease expire that was just renewed. A request is served 1 ms before the end, and another one is queued
// 1 ms after it.
func (h *harness) expireLease() {
	h.t.Helper()
	h.advance(listLeaseMS - 1)
	h.accept("x", "c")
	require.Len(h.t, h.started, 1)
	h.serve("x")
	h.advance(2)
	h.accept("y", "c")
	require.Len(h.t, h.started, 1, "the request is queued")
}

// No attempt is started before discovery has confirmed the list for the first time, even right after the start.
func TestNothingIsSentBeforeTheFirstList(t *testing.T) {
	h := newLeasedHarness(t, 2)
	h.accept("x", "c")
	require.Empty(t, h.started, "the request is queued")
	h.apply(probeEndedEvent{ProbeResult{Target: "b", SentAt: h.clock.Now(), Result: balance.OK}})
	require.Empty(t, h.started, "a probe does not confirm the list")
	select {
	case <-h.core.ListReady():
		require.Fail(t, "ready for clients before the first list")
	default:
	}
	h.receiveChanges()
	require.Len(t, h.started, 1)
	<-h.core.ListReady()
}

// No attempt is started after the lease has expired. Queued requests are dispatched once it is renewed. The decision module
// keeps its state of the targets meanwhile.
func TestNothingGoesOutWithoutALease(t *testing.T) {
	h := newLeasedHarness(t, 2)
	h.receiveChanges()
	h.loseWatch()
	h.expireLease()
	require.Equal(t, 2, h.core.withheldCount())
	require.Equal(t, 1, h.core.stats.Lapses)
	h.apply(probeEndedEvent{ProbeResult{Target: "b", SentAt: h.clock.Now(), Result: balance.OK}})
	require.Len(t, h.started, 1)
	h.advance(9)
	h.receiveChanges()
	require.Len(t, h.started, 2)
	require.Zero(t, h.core.withheldCount())
	require.Equal(t, 9.0, h.core.stats.LapsedMS, "counted from the detection of the expiry")
}

// A request that reaches its deadline while the lease is expired is refused, and counted as such a refusal.
func TestRefusalsWithoutALeaseAreCounted(t *testing.T) {
	h := newLeasedHarness(t, 1)
	h.accept("x", "c")
	h.advance(60_000)
	require.Equal(t, 1, h.core.stats.Refused)
	require.Equal(t, 1, h.core.stats.RefusedLapsed)
}

// Only heartbeats and lists renew the lease on an open watch. A silent watch lets it expire.
func TestSilentWatchLetsTheLeaseRunOut(t *testing.T) {
	h := newLeasedHarness(t, 1)
	h.receiveChanges()
	h.advance(2000)
	h.apply(heartbeatEvent{"test", h.clock.Now()})
	h.expireLease()
	h.apply(heartbeatEvent{"test", h.clock.Now()})
	require.Len(t, h.started, 2)
}

// An attempt carries the time by which it must be sent, since its connection may take long to establish. The limit of its
// class still applies.
func TestAttemptStartIsBoundedByLease(t *testing.T) {
	h := newLeasedHarness(t, 1)
	h.receiveChanges()
	heardAt := h.clock.Now()
	h.advance(100)
	h.accept("open", "c")
	require.Equal(t, heardAt+listLeaseMS, h.started[0].SendBy)
}

// If the process is paused and the lease expires meanwhile, no attempt is started. The lease is checked at the start of each
// attempt, before any timer fires.
func TestLeaseIsCheckedAtAttemptStart(t *testing.T) {
	h := newLeasedHarness(t, 1)
	h.receiveChanges()
	h.clock.Advance(listLeaseMS + 1)
	h.accept("x", "c")
	require.Empty(t, h.started)
}

// A target that reports not ready in a probe gets no attempts while no watch is open, even if the lease is valid. While the
// watch is open, the list decides.
func TestTargetThatIsNotReady(t *testing.T) {
	h := newLeasedHarness(t, 2)
	h.receiveChanges()
	notReady := ProbeResult{Target: "a", SentAt: h.clock.Now(), Result: balance.Failed, NotReady: true}
	h.apply(probeEndedEvent{notReady})
	require.Zero(t, h.core.withheldCount())
	h.loseWatch()
	require.Zero(t, h.core.withheldCount(), "the probe ended while the watch was open")
	h.apply(probeEndedEvent{notReady})
	require.Equal(t, 1, h.core.withheldCount())
	for range 5 {
		h.accept(string(rune('k'+len(h.started))), "c")
		require.Equal(t, "b", h.started[len(h.started)-1].Target)
		h.serve(h.started[len(h.started)-1].ID)
	}
	require.Len(t, h.started, 5)
}

// If AddressChangeLease is set, no attempt is started after it has expired, until the new discovery address confirms the list.
func TestLeaseAfterDiscoveryAddressChange(t *testing.T) {
	h := newLeasedHarness(t, 1)
	h.core.cfg.AddressChangeLease = 3700
	h.receiveChanges()
	h.apply(addressChangedEvent{"test"})
	h.advance(3699)
	h.accept("x", "c")
	require.Len(t, h.started, 1)
	h.serve("x")
	h.advance(2)
	h.accept("y", "c")
	require.Len(t, h.started, 1)
	h.receiveChanges()
	require.Len(t, h.started, 2)
}

// A scheduler that gets no response from discovery uses the confirmation that another scheduler forwards, and polls
// discovery soon.
func TestServesOnForwardedConfirmation(t *testing.T) {
	h := newLeasedHarness(t, 2)
	var sent []string
	h.core.cfg.SendToPeers = func(to []int, raw string) {
		require.Equal(t, []int{1}, to)
		sent = append(sent, raw)
	}
	h.core.cfg.Settings.Peers, h.core.cfg.Settings.Fleet, h.core.listReady = true, 2, make(chan struct{})
	require.NoError(t, h.core.startLease())
	h.apply(listEvent{"test", TargetList{Scope: balance.FromDisk, Targets: []Target{h.core.leasedSource.targets["a"], h.core.leasedSource.targets["b"]}}})
	h.accept("x", "c")
	h.advance(200)
	require.Len(t, sent, 1)
	other, err := listlease.NewLease(listLeaseMS, listLeaseMS)
	require.NoError(t, err)
	other.ConfirmList(7000, 7000, []listlease.Target{{Name: "b"}})
	peers, err := listlease.NewPeers(7000, listlease.PeersConfig{Self: 1, Fleet: 2, QueryIntervalMS: 1, PeersPerQuery: 1, MinAgeGainMS: 1}, other)
	require.NoError(t, err)
	answers, _, err := peers.Receive(7100, 0, sent[0])
	require.NoError(t, err)
	require.Len(t, answers, 1)
	h.apply(peerMessageEvent{1, answers[0].Raw})
	require.Len(t, h.started, 1)
	require.Equal(t, "b", h.started[0].Target)
	require.Equal(t, 1, h.core.withheldCount(), "the other target has left the list")
	require.Equal(t, 1, h.core.stats.ForwardedConfirmations)
	h.apply(peerMessageEvent{1, answers[0].Raw[:9]})
	require.Equal(t, 1, h.core.unreadableMessages)
}

// UnwatchedLease shortens the lease while no watch is open. If a watch was silent for longer than that, no attempt is started
// after it ends.
func TestLeaseIsShorterWithoutWatch(t *testing.T) {
	h := newLeasedHarness(t, 1)
	h.core.cfg.UnwatchedLease, h.core.listReady = 2700, make(chan struct{})
	require.NoError(t, h.core.startLease())
	h.core.afterLeaseEvent(h.core.leasedSource, h.core.updateLeaseList(h.core.leasedSource, &TargetList{Scope: balance.FromDisk}))
	h.receiveChanges()
	h.advance(2800)
	h.accept("x", "c")
	require.Len(t, h.started, 1)
	h.serve("x")
	h.loseWatch()
	require.Equal(t, 1, h.core.withheldCount())
	h.accept("y", "c")
	require.Len(t, h.started, 1, "the request is queued")
	h.receiveChanges()
	require.Len(t, h.started, 2)
}
