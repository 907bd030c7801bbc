package listlease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const leaseMS = 5700.0

func newLease(t require.TestingT) *Lease {
	l, err := NewLease(leaseMS, leaseMS)
	require.NoError(t, err)
	l.Load(0, serving("a", "b"))
	return l
}

func serving(names ...string) (targets []Target) {
	for _, name := range names {
		targets = append(targets, Target{Name: name})
	}
	return targets
}

func TestInvalidLeaseDurations(t *testing.T) {
	for _, lasts := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		_, err := NewLease(lasts, lasts)
		require.Error(t, err)
	}
	_, err := NewLease(1, 2)
	require.Error(t, err, "a longer lease without a watch than with one")
}

// A new process has no confirmation by discovery, whatever list it was given.
func TestLeaseStartsExpired(t *testing.T) {
	l := newLease(t)
	require.False(t, l.Review(0))
	require.True(t, l.Withheld("a"))
	require.Less(t, l.MaySendUntil("a"), 0.0)
	l.ConfirmList(10, 5, serving("a", "b"))
	require.False(t, l.Withheld("a"))
	require.Equal(t, 5+leaseMS, l.MaySendUntil("a"))
}

// A lease runs from the time at which a confirmation was read, not from the time at which it was processed. An older
// confirmation that arrives later does not shorten it. A silent watch does not renew it.
func TestLeaseRunsFromReadTime(t *testing.T) {
	l := newLease(t)
	l.ConfirmList(1000, 10, serving("a", "b"))
	require.False(t, l.Heartbeat(2100, 2000))
	require.Equal(t, 2000+leaseMS, l.Until())
	require.False(t, l.Heartbeat(2200, 1500))
	require.Equal(t, 2000+leaseMS, l.Until())
	require.False(t, l.Review(1999+leaseMS))
	require.True(t, l.Review(2000+leaseMS))
	require.True(t, l.Withheld("a"))
	require.False(t, l.Heartbeat(9000, 2100), "it was read too long ago")
	require.True(t, l.Heartbeat(9000, 8990))
	require.False(t, l.Withheld("a"))
	// A failed request changes nothing.
	require.False(t, l.WatchEnded(9000))
	require.Equal(t, 8990+leaseMS, l.MaySendUntil("a"))
}

// After a change of the discovery address, confirmations from the old address expire earlier. Those from the new address
// last as usual.
func TestLimitToShortensLease(t *testing.T) {
	l := newLease(t)
	l.ConfirmList(1000, 1000, serving("a"))
	require.False(t, l.LimitTo(1500, 5200))
	require.Equal(t, 5200.0, l.MaySendUntil("a"))
	require.False(t, l.LimitTo(1600, 9000), "LimitTo never extends the lease")
	require.Equal(t, 5200.0, l.Until())
	require.False(t, l.Heartbeat(2000, 1990))
	require.Equal(t, 1990+leaseMS, l.Until())
	require.True(t, l.LimitTo(3000, 3000))
	require.True(t, l.Withheld("a"))
}

// A probe never renews the lease. While no watch is open, it withholds a target that reports that it drains.
func TestProbesOnlyTakeAway(t *testing.T) {
	l := newLease(t)
	l.ConfirmList(0, 0, serving("a", "b"))
	require.False(t, l.Probed(1, "a", NotReady), "the list decides while the watch is open")
	l.WatchEnded(1)
	require.False(t, l.Probed(1, "b", Serving))
	require.False(t, l.Probed(1, "b", NoResponse), "no response does not mean a drain")
	require.True(t, l.Probed(1, "a", NotReady))
	require.False(t, l.Probed(1, "a", NotReady))
	require.True(t, l.Withheld("a"))
	require.Less(t, l.MaySendUntil("a"), 0.0)
	require.False(t, l.Withheld("b"))
	require.True(t, l.Probed(1, "a", Serving))
	require.False(t, l.Withheld("a"))
	require.True(t, l.Review(leaseMS))
	require.False(t, l.Probed(leaseMS, "a", Serving))
	require.True(t, l.Withheld("a"), "the target may have left the list meanwhile")
	require.False(t, l.Probed(leaseMS, "b", NotReady))
	l.ConfirmList(9000, 9000, serving("a", "b"))
	require.False(t, l.Withheld("b"), "the new list contains it")
}

// Limits of the platform's rule on drains. No attempt may be sent to a target after the change that removed it counts as
// delivered. A change counts as delivered once the scheduler received it, or 6 s after discovery had it and was reachable.
const (
	deliveryLimitMS = 6000.0
	graceMS         = 250.0
	// unwatchedDeliveryMS is the time after which a change counts as delivered to a scheduler without a watch.
	unwatchedDeliveryMS = 3000.0
)

// The rule on drains holds whatever discovery does: outages of any length, requests that are refused, time out or succeed,
// silent watches, restarts, and targets that drain or leave the list at any time but still respond to probes. A list with a
// valid confirmation is always used.
func TestDrainRuleHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		violations, idleSteps := simulateDrains(rng, correctPolicy())
		require.Zero(t, violations)
		require.Zero(t, idleSteps, "steps without a usable target although the confirmation is valid")
	})
}

// policy is the way in which a scheduler uses its lease.
type policy struct {
	watchedDuration   float64
	unwatchedDuration float64
	maySend           func(l *Lease, name string, now float64) bool
	// probed is called additionally after a probe with the result Serving, and failed after a failed request to discovery.
	probed, failed func(l *Lease, now float64)
	// started is called after the initial list was loaded.
	started func(l *Lease, now float64)
}

func correctPolicy() policy {
	noop := func(*Lease, float64) {}
	return policy{watchedDuration: leaseMS, unwatchedDuration: unwatchedDeliveryMS - 300, probed: noop, failed: noop, started: noop,
		maySend: func(l *Lease, name string, now float64) bool { return now < l.MaySendUntil(name) }}
}

// The drain simulation detects faulty policies: one that uses its list without limit, one that does so while a watch is open,
// some whose leases are longer than the time after which a change counts as delivered, and some that treat a probe, a failed
// request or the initial list as a confirmation.
func TestDrainCheckerFindsFaults(t *testing.T) {
	renew := func(l *Lease, now float64) { l.confirmedAt = now }
	faults := map[string]func(*policy){
		"no lease": func(p *policy) { p.maySend = func(*Lease, string, float64) bool { return true } },
		"trusts an open watch": func(p *policy) {
			p.maySend = func(l *Lease, name string, now float64) bool { return l.watching || now < l.MaySendUntil(name) }
		},
		"long leases":                 func(p *policy) { p.watchedDuration = deliveryLimitMS + 1500 },
		"long leases without a watch": func(p *policy) { p.unwatchedDuration = leaseMS },
		"renewed by probes":           func(p *policy) { p.probed = renew },
		"renewed by failed requests":  func(p *policy) { p.failed = renew },
		"renewed by the initial list": func(p *policy) { p.started = renew },
	}
	for name, change := range faults {
		faulty, violations := correctPolicy(), 0
		change(&faulty)
		for seed := range uint64(300) {
			n, _ := simulateDrains(rand.New(rand.NewPCG(seed, 1)), faulty)
			violations += n
		}
		require.Positive(t, violations, name)
		t.Log(name, violations)
	}
}

// drainSimulation simulates discovery and its targets for one scheduler, in virtual time. Times are in milliseconds.
type drainSimulation struct {
	rng             *rand.Rand
	names           []string
	leftAt          map[string]float64 // when each target drains or leaves the list
	reportsNotReady map[string]bool    // whether a target responds to probes as not ready from then on
	deliveredAt     map[string]float64 // when the scheduler received the change
	reachable       bool               // discovery is reachable
	reachableSince  float64            // start of the last period in which it is reachable
	watching        bool
	watchSilent     bool // the open watch receives nothing
	confirmedAt     float64
}

func newDrainSimulation(rng *rand.Rand) *drainSimulation {
	s := &drainSimulation{rng: rng, leftAt: map[string]float64{}, reportsNotReady: map[string]bool{}, deliveredAt: map[string]float64{},
		reachable: rng.IntN(2) == 0, reachableSince: -1e6, confirmedAt: math.Inf(-1)}
	for i := range 12 {
		name := fmt.Sprintf("t%02d", i)
		s.names = append(s.names, name)
		s.leftAt[name], s.reportsNotReady[name] = math.Inf(1), rng.IntN(2) == 0
		if i > 3 { // the first four never leave, and some of the others left before the process started
			s.leftAt[name] = -10_000 + 70_000*rng.Float64()
		}
	}
	return s
}

// deliverChanges marks all changes that discovery has as delivered to the scheduler.
func (s *drainSimulation) deliverChanges(now float64) {
	s.confirmedAt = now
	for _, name := range s.names {
		if _, delivered := s.deliveredAt[name]; !delivered && now >= s.leftAt[name] {
			s.deliveredAt[name] = now
		}
	}
}

// listedTargets returns the targets on discovery's list.
func (s *drainSimulation) listedTargets(now float64) (targets []Target) {
	for _, name := range s.names {
		if now < s.leftAt[name] {
			targets = append(targets, Target{Name: name})
		}
	}
	return targets
}

// hasUndelivered reports whether discovery has a change that the scheduler has not received.
func (s *drainSimulation) hasUndelivered(now float64) bool {
	for _, name := range s.names {
		if _, delivered := s.deliveredAt[name]; !delivered && now >= s.leftAt[name] {
			return true
		}
	}
	return false
}

// violates reports whether sending to a target at a time violates the rule. While discovery is down, no further change counts
// as delivered.
func (s *drainSimulation) violates(now float64, name string) bool {
	leftAt := s.leftAt[name]
	if now < leftAt {
		return false
	}
	limit := math.Inf(1)
	if s.reachable {
		limit = max(leftAt, s.reachableSince) + deliveryLimitMS
	}
	if s.reachable && !s.watching {
		limit = min(limit, max(leftAt, s.reachableSince)+unwatchedDeliveryMS)
	}
	if at, delivered := s.deliveredAt[name]; delivered {
		limit = min(limit, at)
	}
	return now > limit+graceMS
}

// simulateDrains simulates one minute. It returns the number of sends that violate the rule, and the number of steps in which
// no target could be used although the confirmation was valid.
func simulateDrains(rng *rand.Rand, p policy) (violations, idleSteps int) {
	const stepMS = 25.0
	s := newDrainSimulation(rng)
	l, err := NewLease(p.watchedDuration, p.unwatchedDuration)
	if err != nil {
		panic(err)
	}
	l.Load(0, serving(s.names...)) // the list may contain targets that left before
	p.started(l, 0)
	requestEndsAt := 20 + 2000*rng.Float64()
	for now := 0.0; now < 60_000; now += stepMS {
		if rng.Float64() < stepMS/15_000 {
			if s.reachable = !s.reachable; s.reachable {
				s.reachableSince = now
			}
		}
		switch {
		case s.watching && (!s.reachable || rng.Float64() < stepMS/20_000): // the watch breaks at once, or becomes silent first
			s.watchSilent = s.watchSilent || rng.IntN(2) == 0
			if !s.watchSilent || rng.Float64() < stepMS/3500 {
				s.watching, s.watchSilent, requestEndsAt = false, false, now+300+2500*rng.Float64()
				l.WatchEnded(now)
				p.failed(l, now)
			}
		case s.watching && s.watchSilent:
			if rng.Float64() < stepMS/3500 {
				s.watching, s.watchSilent, requestEndsAt = false, false, now+300+2500*rng.Float64()
				l.WatchEnded(now)
			}
		case s.watching && s.hasUndelivered(now):
			s.deliverChanges(now)
			l.ConfirmList(now, now, s.listedTargets(now))
		case s.watching && rng.Float64() < stepMS/2000:
			s.confirmedAt = now
			l.Heartbeat(now, now)
		case s.watching:
		case now >= requestEndsAt && s.reachable && rng.IntN(2) == 0:
			s.watching = true
			s.deliverChanges(now)
			l.ConfirmList(now, now, s.listedTargets(now))
		case now >= requestEndsAt:
			requestEndsAt = now + 2000 + 8000*rng.Float64()
			l.WatchEnded(now)
			p.failed(l, now)
		}
		name := s.names[rng.IntN(len(s.names))]
		switch {
		case rng.IntN(20) == 0:
			l.Probed(now, name, NoResponse)
		case now >= s.leftAt[name] && s.reportsNotReady[name]:
			l.Probed(now, name, NotReady)
		default:
			l.Probed(now, name, Serving)
			p.probed(l, now)
		}
		l.Review(now)
		canServe := false
		for _, name := range s.names {
			if _, delivered := s.deliveredAt[name]; delivered || !p.maySend(l, name, now) {
				continue
			}
			canServe = canServe || now < s.leftAt[name]
			if s.violates(now, name) {
				violations++
			}
		}
		if !canServe && now < s.confirmedAt+l.duration() {
			idleSteps++
		}
	}
	return violations, idleSteps
}
