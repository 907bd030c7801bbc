package backfill

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// testHost drives a planner on a virtual clock and records its reservations, as the decision module would.
type testHost struct {
	testing.TB
	p              *Planner
	now            float64
	wakeAt         float64
	reservations   map[string]Action
	releaseReasons map[string]Reason
	lastID         uint64
}

// newHost returns a host with two classes whose planner may reserve all slots. change may alter the
// configuration.
func newHost(t testing.TB, change func(*Config)) *testHost {
	c := Default()
	c.Classes, c.Share, c.TenantShare, c.Fleet = []string{"view", "buy"}, 1, 1, 2
	if change != nil {
		change(&c)
	}
	p, err := New(c)
	require.NoError(t, err)
	p.scale = 1 // the value after some seconds without unserved flows
	return &testHost{TB: t, p: p, now: 1e6, wakeAt: math.Inf(1), reservations: map[string]Action{}, releaseReasons: map[string]Reason{}, lastID: 1}
}

func (h *testHost) handle(ev Event) {
	for _, a := range h.p.Step(h.now, &ev, nil) {
		switch a.Kind {
		case Reserve:
			a.BackfillUntil = append([]float64(nil), a.BackfillUntil...)
			h.reservations[a.Target] = a
		case Release:
			delete(h.reservations, a.Target)
			h.releaseReasons[a.Target] = a.Reason
		case Wake:
			h.wakeAt = a.At
		}
	}
}

// elapse advances the clock by a time in ms and fires the timers that come due.
func (h *testHost) elapse(ms float64) {
	for end := h.now + ms; ; {
		if h.wakeAt > end {
			h.now = end
			return
		}
		h.now, h.wakeAt = h.wakeAt, math.Inf(1)
		h.handle(Event{Kind: TimerDue})
	}
}

// addTargets lists n targets of 4 slots.
func (h *testHost) addTargets(n int) *testHost {
	for i := range n {
		id := fmt.Sprintf("t%d", i)
		h.handle(Event{Kind: TargetUp, Target: id, Hash: uint32(i)})
		h.measure(id, 4, 0)
	}
	return h
}

func (h *testHost) measure(id string, slots, busy float64) {
	h.handle(Event{Kind: TargetMeasured, Target: id, Slots: slots, Busy: busy, Memory: -1, Slowdown: 1})
}

// start sends a new small job to a target, where it starts at once.
func (h *testHost) start(class, target string, need float64) uint64 {
	id := h.nextID()
	h.handle(Event{Kind: AttemptSent, Flow: id, Class: class, Need: need, Target: target})
	h.handle(Event{Kind: AttemptStarted, Flow: id})
	return id
}

func (h *testHost) endJob(id uint64) {
	h.handle(Event{Kind: AttemptEnded, Flow: id, OK: true})
	h.handle(Event{Kind: FlowDone, Flow: id, OK: true})
}

func (h *testHost) nextID() uint64 { h.lastID++; return h.lastID }

// queueLarge queues a job of 4 slots that must start within the given time in ms.
func (h *testHost) queueLarge(within float64) uint64 { return h.queueJob("", 4, within) }

func (h *testHost) queueJob(tenant string, need, within float64) uint64 {
	id := h.nextID()
	h.handle(Event{Kind: FlowQueued, Flow: id, Class: "buy", Tenant: tenant, Need: need, LatestStart: h.now + within})
	return id
}

// learnRunTimes runs jobs of a class for the given times in ms, repeatedly, at a separate target.
func (h *testHost) learnRunTimes(class string, need float64, times ...float64) {
	h.handle(Event{Kind: TargetUp, Target: "training"})
	h.measure("training", 4, 0)
	for range 4 * minSamples / len(times) {
		for _, ms := range times {
			id := h.start(class, "training", need)
			h.elapse(ms)
			h.endJob(id)
		}
	}
	h.handle(Event{Kind: TargetDown, Target: "training"})
}

// fillTargets sends four small jobs to each target, with 10 ms between targets, and returns their ids.
func (h *testHost) fillTargets(targets ...string) (ids []uint64) {
	for _, id := range targets {
		for range 4 {
			ids = append(ids, h.start("view", id, 1))
		}
		h.elapse(10)
	}
	return ids
}

func TestReservationAtEarliestTarget(t *testing.T) {
	h := newHost(t, nil).addTargets(2)
	h.learnRunTimes("view", 1, 90, 100, 110)
	h.fillTargets("t1", "t0")
	id := h.queueLarge(300)
	require.Equal(t, id, h.reservations["t1"].Flow, "the jobs at t1 started earlier")
	require.Len(t, h.reservations, 1)
	h.elapse(20)
	h.handle(Event{Kind: AttemptSent, Flow: id, Target: "t1"})
	require.Empty(t, h.reservations)
	require.Equal(t, Placed, h.releaseReasons["t1"])
}

func TestBackfillTakesJobsThatEndBeforeReservation(t *testing.T) {
	h := newHost(t, nil).addTargets(1)
	h.learnRunTimes("view", 1, 200)
	h.learnRunTimes("buy", 1, 20)
	h.fillTargets("t0")
	h.queueLarge(500)
	a := h.reservations["t0"]
	require.Greater(t, a.BackfillUntil[1], h.now, "a job of 20 ms ends before the reservation")
	require.Less(t, a.BackfillUntil[0], h.now, "a job of 200 ms does not")
	require.Zero(t, a.SpareSlots)
	for mode, name := range map[Mode]string{NoBackfill: "no backfill", Emptying: "emptying"} {
		h := newHost(t, func(c *Config) { c.Mode = mode }).addTargets(1)
		h.learnRunTimes("buy", 1, 20)
		h.fillTargets("t0")
		h.queueLarge(500)
		require.Len(t, h.reservations, 1, name)
		require.Contains(t, h.reservations, "t0", "%s", name)
		require.Less(t, h.reservations["t0"].BackfillUntil[1], h.now, name)
	}
}

func TestJobsThatFitBesideReservationAreAllowed(t *testing.T) {
	h := newHost(t, nil)
	h.handle(Event{Kind: TargetUp, Target: "t0"})
	h.measure("t0", 8, 0)
	h.learnRunTimes("view", 1, 100)
	for range 8 {
		h.start("view", "t0", 1)
	}
	h.elapse(10)
	h.queueJob("", 4, 400)
	require.Equal(t, 4.0, h.reservations["t0"].SpareSlots, "all eight jobs end by then, and four slots are reserved")
}

// Covers a backfilled job that runs ten times its usual time. It is counted, later backfilling needs a
// higher quantile, and a reservation that would come too late is moved or released.
func TestLateBackfillRaisesConfidence(t *testing.T) {
	h := newHost(t, nil).addTargets(1)
	h.learnRunTimes("view", 1, 100)
	h.learnRunTimes("buy", 1, 20)
	ids := h.fillTargets("t0")
	before := h.p.Confidence()
	large := h.queueLarge(150)
	h.endJob(ids[0])
	backfilled := h.start("buy", "t0", 1)
	require.Equal(t, 1, h.p.Counts.Backfilled)
	h.elapse(80)
	for _, id := range ids[1:] {
		h.endJob(id)
	}
	h.elapse(70)
	require.Empty(t, h.reservations, "the latest useful start is over")
	require.Contains(t, []Reason{TooLate}, h.releaseReasons["t0"])
	h.elapse(50)
	h.endJob(backfilled)
	require.Equal(t, 1, h.p.Counts.BackfilledLate)
	require.Greater(t, h.p.Confidence(), before)
	h.handle(Event{Kind: FlowDone, Flow: large})
	for range 200 {
		h.p.backfillQuantile -= quantileGain * (1 - h.p.config.Confidence) // jobs that end before the reservation lower the quantile
	}
	require.Less(t, h.p.backfillQuantile, before)
}

func TestReservationIsReleased(t *testing.T) {
	for name, c := range map[string]struct {
		event func(h *testHost, id uint64)
		want  Reason
	}{
		"final response":              {func(h *testHost, id uint64) { h.handle(Event{Kind: FlowDone, Flow: id}) }, Answered},
		"sent elsewhere":              {func(h *testHost, id uint64) { h.handle(Event{Kind: AttemptSent, Flow: id, Target: "t1"}) }, Elsewhere},
		"the target drains":           {func(h *testHost, _ uint64) { h.handle(Event{Kind: TargetDown, Target: "t0"}) }, TargetLeft},
		"the target restarts smaller": {func(h *testHost, _ uint64) { h.measure("t0", 2, 0) }, TargetLeft},
		"the target is ejected": {func(h *testHost, _ uint64) {
			h.handle(Event{Kind: TargetMeasured, Target: "t0", Slots: 4, Busy: 4, Memory: -1, Slowdown: 1, UsableFrom: h.now + 5000})
		}, TargetUnhealthy},
		"the target is cold": {func(h *testHost, _ uint64) {
			h.handle(Event{Kind: TargetMeasured, Target: "t0", Slots: 4, Busy: 4, Memory: -1, Slowdown: 1, Cold: true})
		}, TargetCold},
		"the longest duration is over": {func(h *testHost, _ uint64) { h.p.config.MaxDuration = 50; h.elapse(70) }, Expired},
		"all jobs there are replaced":  {func(h *testHost, _ uint64) { h.elapse(90); h.fillTargets("t0"); h.elapse(10) }, TooLate},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, nil).addTargets(2)
			h.learnRunTimes("view", 1, 100)
			h.fillTargets("t0", "t1")
			id := h.queueLarge(180)
			require.Equal(t, id, h.reservations["t0"].Flow)
			c.event(h, id)
			require.NotEqual(t, id, h.reservations["t0"].Flow)
			require.Equal(t, c.want, h.releaseReasons["t0"])
		})
	}
}

// When a target drains, its reservation moves to another target within the same step.
func TestReservationMovesWhenItsTargetDrains(t *testing.T) {
	h := newHost(t, nil).addTargets(2)
	h.learnRunTimes("view", 1, 100)
	h.fillTargets("t0", "t1")
	id := h.queueLarge(250)
	at := h.now
	h.handle(Event{Kind: TargetDown, Target: "t0"})
	require.Equal(t, at, h.now)
	require.Equal(t, id, h.reservations["t1"].Flow)
	require.Equal(t, 1, h.p.Counts.Moved)
}

// No slots are reserved at a target without the memory to use them, and a reservation is released when
// its target runs short of memory.
func TestReservationNeedsMemory(t *testing.T) {
	measure := func(h *testHost, id string, busy, free float64) {
		h.handle(Event{Kind: TargetMeasured, Target: id, Slots: 4, Busy: busy, Memory: free, Slowdown: 1})
	}
	h := newHost(t, nil).addTargets(2)
	h.learnRunTimes("view", 1, 100)
	measure(h, "t0", 1, 0.5) // three slots are free, but almost no memory: the one job uses it
	measure(h, "t1", 4, 4)
	queue := func() uint64 {
		id := h.nextID()
		h.handle(Event{Kind: FlowQueued, Flow: id, Class: "buy", Need: 3, Memory: 2, LatestStart: h.now + 300})
		return id
	}
	id := queue()
	require.Equal(t, id, h.reservations["t1"].Flow, "t0 has slots but no memory")
	measure(h, "t1", 0, 1) // no job runs there that could free memory
	require.Equal(t, NoMemory, h.releaseReasons["t1"])
	require.NotContains(t, h.reservations, "t1")
}

func TestNoReservationForFlowsThatCannotUseIt(t *testing.T) {
	h := newHost(t, nil).addTargets(3)
	h.learnRunTimes("view", 1, 100)
	h.fillTargets("t0", "t1", "t2")
	h.queueJob("", 8, 300) // larger than any target
	require.Empty(t, h.reservations)
	require.Equal(t, 1, h.p.Counts.TooLarge)
	h.elapse(100)
	require.Equal(t, 1, h.p.Counts.TooLarge, "the search is not repeated")
	h.queueLarge(20) // no slots are free that soon
	require.Empty(t, h.reservations)
	h.queueLarge(-5)
	require.Empty(t, h.reservations)
}

// Many large jobs of one tenant do not exceed the limits, and leave slots for another tenant.
func TestReservationLimits(t *testing.T) {
	h := newHost(t, func(c *Config) { c.Share, c.TenantShare = 0.5, 0.5 }).addTargets(8)
	h.learnRunTimes("view", 1, 100)
	h.fillTargets("t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7")
	for range 50 {
		h.queueJob("a", 4, 400)
	}
	require.Len(t, h.reservations, 2, "a quarter of 32 slots for one tenant")
	for range 50 {
		h.queueJob("b", 4, 400)
	}
	require.Len(t, h.reservations, 4, "half of 32 slots in all")
	h.elapse(500)
	require.Empty(t, h.reservations)
	require.Zero(t, h.p.reservedSlots)
	for _, x := range h.p.tenants {
		require.Zero(t, x.reservedSlots)
	}
}

// Small flows that go unserved beside reservations lower the scale. It rises again when they no longer
// do.
func TestScaleFollowsCost(t *testing.T) {
	h := newHost(t, nil).addTargets(4)
	small := func(ok bool) {
		id := h.nextID()
		h.handle(Event{Kind: FlowQueued, Flow: id, Class: "view", Need: 1, LatestStart: h.now + 100})
		h.handle(Event{Kind: FlowDone, Flow: id, OK: ok})
		h.elapse(5)
	}
	for range 500 {
		small(false)
	}
	scale, _ := h.p.Scale()
	require.Equal(t, 1.0, scale, "nothing was reserved, so reservations are not the cause")
	h.learnRunTimes("view", 1, 100)
	var ids []uint64
	queueLargeJob := func(n int) { // the targets run jobs of the usual length, and large jobs are queued
		if n%10 == 0 {
			for _, id := range ids {
				h.endJob(id)
			}
			ids = h.fillTargets("t0", "t1", "t2", "t3")
		}
		h.queueLarge(200)
	}
	for n := range 3000 { // outside of trials, every second one goes unserved
		queueLargeJob(n)
		small(h.p.inTrial(h.now) || n%2 > 0)
	}
	scale, _ = h.p.Scale()
	require.Less(t, scale, 0.3)
	// A few go unserved in trials as well, and would have done so anyway, so the scale rises.
	for n := range 9000 {
		queueLargeJob(n)
		small(n%33 > 0)
	}
	scale, _ = h.p.Scale()
	require.Greater(t, scale, 0.5)
	for range 4000 {
		small(true)
	}
	scale, _ = h.p.Scale()
	require.Equal(t, 1.0, scale)
}

// Two schedulers that reserve the same slots resolve the conflict in the same way, whichever receives
// the other's reservation first, and without further messages. A reservation that a scheduler no longer
// reports is released.
func TestSchedulersResolveConflictingReservations(t *testing.T) {
	for hash := range uint32(4) {
		var hosts [2]*testHost
		for self := range hosts {
			h := newHost(t, func(c *Config) { c.Self = self })
			h.handle(Event{Kind: TargetUp, Target: "t", Hash: hash})
			h.measure("t", 4, 0)
			h.learnRunTimes("view", 1, 100)
			for range 4 {
				h.start("view", "t", 1)
			}
			h.queueLarge(250)
			require.Len(t, h.reservations, 1)
			hosts[self] = h
		}
		for self, h := range hosts {
			h.handle(Event{Kind: PeerReserved, Peer: 1 - self, Reservations: []PeerReservation{{Target: "t", Slots: 4, From: h.now + 90}}})
		}
		own := 0
		for _, h := range hosts {
			require.Len(t, h.reservations, 1, "the slots are reserved in either case")
			if h.reservations["t"].Flow != 0 {
				own++
			}
		}
		require.Equal(t, 1, own, "exactly one of them keeps its reservation")
		for self, h := range hosts {
			flow := h.reservations["t"].Flow
			h.handle(Event{Kind: PeerReserved, Peer: 1 - self})
			require.Equal(t, flow != 0, len(h.reservations) == 1, "the other's reservation ends when it reports none")
		}
	}
	// The larger reservation takes precedence, whichever scheduler it belongs to.
	h := newHost(t, nil).addTargets(1)
	h.learnRunTimes("view", 1, 100)
	h.fillTargets("t0")
	h.queueJob("", 2, 250)
	h.handle(Event{Kind: PeerReserved, Peer: 1, Reservations: []PeerReservation{{Target: "t0", Slots: 4, From: h.now + 90}}})
	require.Zero(t, h.reservations["t0"].Flow)
	require.Equal(t, 1, h.p.Counts.Released[Superseded])
}

func TestInvalidSettings(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"room.large":      func(c *Config) { c.LargeSlots = 0 },
		"room.share":      func(c *Config) { c.Share = 1.1 },
		"room.longest":    func(c *Config) { c.MaxDuration = math.NaN() },
		"room.confidence": func(c *Config) { c.Confidence = 0.3 },
		"scheduler 2":     func(c *Config) { c.Self = 2; c.Fleet = 2 },
		"classes":         func(c *Config) { c.Classes = nil },
		"twice":           func(c *Config) { c.Classes = []string{"a", "a"} },
	} {
		c := Default()
		c.Classes = []string{"a"}
		change(&c)
		_, err := New(c)
		require.ErrorContains(t, err, want)
	}
}

// Applies arbitrary events, valid or not. The invariants hold after each, and no state is left at the end.
func TestInvariants(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 7))
		h := newHost(t, func(c *Config) { c.Mode, c.TenantShare = Mode(seed%3), 0.6 }).addTargets(6)
		for range 600 {
			id, target := uint64(rng.IntN(60)), fmt.Sprintf("t%d", rng.IntN(8))
			switch n := rng.IntN(100); {
			case n < 25:
				h.handle(Event{Kind: FlowQueued, Flow: id, Class: []string{"view", "buy", "odd"}[rng.IntN(3)], Tenant: fmt.Sprint(rng.IntN(3)),
					Need: float64(int(1) << rng.IntN(4)), Memory: rng.Float64() * 4, LatestStart: h.now + rng.Float64()*400 - 50})
			case n < 45:
				h.handle(Event{Kind: AttemptSent, Flow: id, Class: "view", Need: 1, Target: target})
			case n < 55:
				h.handle(Event{Kind: AttemptStarted, Flow: id})
			case n < 70:
				h.handle(Event{Kind: AttemptEnded, Flow: id, OK: rng.IntN(4) > 0})
			case n < 80:
				h.handle(Event{Kind: FlowDone, Flow: id, OK: rng.IntN(2) == 0})
			case n < 84:
				h.handle(Event{Kind: TargetUp, Target: target, Hash: rng.Uint32()})
			case n < 87:
				h.handle(Event{Kind: TargetDown, Target: target})
			case n < 93:
				h.handle(Event{Kind: TargetMeasured, Target: target, Slots: float64(rng.IntN(8)), Busy: rng.Float64() * 6, Memory: rng.Float64()*6 - 1,
					Slowdown: rng.Float64() * 2, Cold: rng.IntN(8) == 0, UsableFrom: h.now + float64(rng.IntN(3)-1)*700})
			case n < 97:
				var reservations []PeerReservation
				for i := range rng.IntN(3) {
					reservations = append(reservations, PeerReservation{fmt.Sprintf("t%d", (rng.IntN(4)*2+i)%8), float64(1 + rng.IntN(4)), h.now + 100})
				}
				h.handle(Event{Kind: PeerReserved, Peer: 1 + rng.IntN(2), Reservations: reservations})
			default:
				h.elapse(rng.Float64() * 60)
			}
			h.checkInvariants(seed)
		}
		for id := range uint64(60) {
			h.handle(Event{Kind: AttemptEnded, Flow: id})
			h.handle(Event{Kind: FlowDone, Flow: id})
		}
		for peer := range 3 {
			h.handle(Event{Kind: PeerReserved, Peer: peer})
		}
		for i := range 8 {
			h.handle(Event{Kind: TargetDown, Target: fmt.Sprintf("t%d", i)})
		}
		require.Empty(t, h.p.flows, "seed %d", seed)
		require.Empty(t, h.p.targets, "seed %d", seed)
		require.Empty(t, h.reservations, "seed %d", seed)
		require.InDelta(t, 0, h.p.reservedSlots, 1e-6, "seed %d", seed)
	}
}

// checkInvariants compares the planner's state with what the host was notified of.
func (h *testHost) checkInvariants(seed uint64) {
	slots, own := 0.0, 0
	for _, t := range h.p.targets {
		a, notified := h.reservations[t.id]
		require.Equal(h, t.reservation != nil, notified, "seed %d: the host has exactly the planner's reservations: %s", seed, t.id)
		if t.reservation != nil {
			if f := t.reservation.flow; f != nil {
				own++
				require.True(h, t.up && !t.cold && f.queued && f.reservation == t.reservation && a.Flow == f.id, "seed %d: reservation at %s", seed, t.id)
			} else {
				require.Zero(h, a.Flow)
			}
		}
		for _, other := range t.peerReservations {
			slots += other.slots
		}
	}
	for _, other := range h.p.reservations {
		slots += other.slots
	}
	require.Equal(h, own, len(h.p.reservations), "seed %d", seed)
	require.InDelta(h, slots, h.p.reservedSlots, 1e-6, "seed %d", seed)
	for _, f := range h.p.queue.items {
		require.True(h, f.queued && f.large, "seed %d", seed)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	play := func() string {
		h := newHost(t, nil).addTargets(12)
		h.learnRunTimes("view", 1, 50, 100, 150)
		rng := rand.New(rand.NewPCG(1, 2))
		out := ""
		var ids []uint64
		for i := range 400 {
			ids = append(ids, h.start("view", fmt.Sprintf("t%d", rng.IntN(12)), 1))
			if i%5 == 0 {
				h.queueLarge(200)
			}
			if len(ids) > 40 {
				h.endJob(ids[0])
				ids = ids[1:]
			}
			h.elapse(3)
			out += fmt.Sprint(h.reservations)
		}
		return out
	}
	require.Equal(t, play(), play())
}
