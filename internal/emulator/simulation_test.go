package emulator

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/internal/backfill"
	"cottonwell/internal/faults"
	"cottonwell/internal/units"
)

// smallSite returns a small site on which jobs of many slots rarely find enough free slots.
func smallSite() *Spec {
	return &Spec{Schedulers: 2, Level: 0.7, Length: 8000, Warmup: 1000, NetDelay: 0.5, DatagramDelay: 3, ReportDelay: 60, ReportNoise: 0.08,
		DiscoveryDelay: 300, DepartureShare: 0.03, Retries: 1,
		Kinds: []KindSpec{{Name: "fast", Count: 6, Slots: 8, Speed: 1.5, Queue: 16, ColdDuration: 10_000}, {Name: "slow", Count: 6, Slots: 8, Speed: 0.9, Queue: 16, ColdDuration: 10_000}},
		Classes: []ClassSpec{
			{Name: "shop-view", Share: 0.7, RunTime: 60, RunTimeVariation: 0.5, LatencyTarget: 75, TargetStretch: 2, Value: 5},
			{Name: "purchase", Share: 0.3, RunTime: 60, RunTimeVariation: 0.4, Slots: []SlotShare{{1, 0.7}, {4, 0.3}}, LatencyTarget: 150, TargetStretch: 2.5, Value: 3, Keyed: true}},
		Tenants: []TenantSpec{{Name: "cricket-league", Share: 0.5}, {Name: "tuk-race", Share: 0.5}}}
}

func simulate(t *testing.T, s *Spec, seed uint64, plannerConfig *backfill.Config) *Result {
	w, err := NewSimulation(s, seed, plannerConfig)
	require.NoError(t, err)
	return w.Run()
}

func TestSameSeedGivesSameResult(t *testing.T) {
	plannerConfig := backfill.Default()
	s := smallSite()
	s.SiteFaults = []SiteFaultSpec{{Kind: "crash", At: 2000, Duration: 3500, Fraction: 0.22}, {Kind: "late-reports", At: 2000, Duration: 3500, Delay: 1500}}
	one, two := simulate(t, s, 5, &plannerConfig), simulate(t, s, 5, &plannerConfig)
	for _, r := range []*Result{one, two} {
		r.Small.latencies, r.Large.latencies, r.WithinAllowance.latencies = nil, nil, nil
	}
	require.Equal(t, one, two)
}

// With reservations, no fault leads to a rule violation.
func TestRulesHoldUnderFaults(t *testing.T) {
	for name, change := range map[string]func(*Spec){
		"no fault": func(s *Spec) {},
		"22% crash while reports are late": func(s *Spec) {
			s.SiteFaults = []SiteFaultSpec{{Kind: "crash", At: 2000, Duration: 3500, Fraction: 0.22}, {Kind: "late-reports", At: 2000, Duration: 3500, Delay: 4900}}
		},
		"half pause for 80 ms": func(s *Spec) {
			s.SiteFaults = []SiteFaultSpec{{Kind: "pauses", At: 2000, Duration: 3500, Fraction: 0.5, Delay: 80, Interval: 900}}
		},
		"a quarter drains and returns": func(s *Spec) {
			s.SiteFaults = []SiteFaultSpec{{Kind: "drain", At: 2000, Duration: 3500, Fraction: 0.25}}
		},
		"a scheduler is killed": func(s *Spec) {
			s.Schedulers = 3
			s.SiteFaults = []SiteFaultSpec{{Kind: "scheduler", At: 2000, Duration: 3500}}
		},
		"fast errors": func(s *Spec) {
			s.SiteFaults = []SiteFaultSpec{{Kind: "errors", At: 2000, Duration: 3500, Fraction: 0.2}}
		},
		"the share of wide jobs alternates": func(s *Spec) {
			s.SiteFaults = []SiteFaultSpec{{Kind: "wide", At: 0, Duration: 8000, Fraction: 0.4, Interval: 1500}}
			w := units.Share(0.05)
			s.WideShare = &w
		},
		"memory is short, 30% of datagrams lost": func(s *Spec) {
			s.DatagramLoss = 0.3
			s.Kinds[0].Memory, s.Kinds[1].Memory = 8, 8
			s.Classes[0].Memory, s.Classes[1].Memory = 0.9, 1.2
		},
		"overload": func(s *Spec) { s.Level = 1.2 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plannerConfig := backfill.Default()
			s := smallSite()
			change(s)
			r := simulate(t, s, 11, &plannerConfig)
			require.Empty(t, r.Violations)
			require.Greater(t, r.Small.Requests, 1000)
			if name != "overload" {
				require.Positive(t, r.Reservations.Reserved)
			}
		})
	}
}

func TestWorkerQueueOrder(t *testing.T) {
	for order, want := range map[QueueOrder][]uint64{FIFO: {1, 2, 3, 4}, Backfill: {1, 3, 2, 4}, ByPriority: {1, 4, 2, 3}} {
		w := NewWorker(WorkerSpec{Slots: 4, Speed: 1, Queue: 9, Order: order}, 1)
		for i, j := range []Job{{Slots: 2, Work: 10}, {Slots: 4, Work: 10}, {Slots: 1, Work: 10}, {Slots: 4, Work: 10, Priority: 1}} {
			j.Ref = uint64(i + 1)
			require.Equal(t, Accepted, w.Offer(0, j))
			if i == 0 {
				w.Advance(0, func(float64, JobEvent) {})
			}
		}
		got := []uint64{1}
		for now := 0.0; now < 100; now++ {
			w.Advance(now, func(_ float64, n JobEvent) {
				if n.Kind == Started {
					got = append(got, n.Ref)
				}
			})
		}
		require.Equal(t, want, got, "order %d", order)
	}
}

func TestColdWorkerCollapses(t *testing.T) {
	w := NewWorker(WorkerSpec{Slots: 4, Speed: 1, Queue: 1000, ColdSpeed: 0.2, ColdDuration: 10_000, OverloadMultiple: 3, OverloadWindow: 1000}, 1)
	w.Restart(1000)
	require.InDelta(t, 0.2, w.SpeedShare(1000), 1e-9)
	require.InDelta(t, 0.6, w.SpeedShare(6000), 1e-9)
	taken := 0
	for w.Offer(1100, Job{Slots: 1, Work: 100}) == Accepted {
		taken++
	}
	require.True(t, w.Collapsed)
	require.InDelta(t, 26, taken, 2, "3 x 0.2 x 4 slots x 1000 ms / 100 ms, and two jobs of slack")
}

var runFullMinute = flag.Bool("emulator.minute", false, "simulate a whole minute of the full-size site")

// Simulating a minute of the full-size site must take at most a minute on an otherwise idle machine. The test runs
// only with -emulator.minute, as it is a measurement.
func TestFullSizeMinute(t *testing.T) {
	if !*runFullMinute {
		t.Skip("a measurement; run with -emulator.minute")
	}
	begin := time.Now()
	r := simulate(t, fullSizeSite(), 3, nil)
	took := time.Since(begin)
	t.Logf("%d requests, %d datagrams in %v", r.Small.Requests+r.Large.Requests, r.Datagrams, took)
	require.Empty(t, r.Violations)
	require.Less(t, took, time.Minute)
}

// Requests beyond a tenant's allowance have less value. A burst of the allowance of one second is within it.
func TestAllowances(t *testing.T) {
	s := smallSite()
	s.Tenants, s.BeyondAllowanceValue = []TenantSpec{{Name: "a", Share: 0.8, Allowance: 100}, {Name: "b", Share: 0.2}}, 0.1
	require.NoError(t, s.Check())
	within := map[string]int{}
	all := s.Arrivals(3)
	for _, a := range all {
		if !a.BeyondAllowance {
			within[a.Tenant]++
		}
	}
	require.InDelta(t, 100*9, within["a"], 2, "the allowance of eight seconds, and the burst of one second")
	require.Greater(t, within["b"], len(all)/6, "a tenant without an allowance never exceeds it")
	r := simulate(t, s, 3, nil)
	require.Greater(t, r.WithinAllowance.Requests, r.WithinAllowance.Served-1)
	require.Less(t, r.WithinAllowance.Requests, r.Small.Requests+r.Large.Requests)
	require.Greater(t, r.Value, 0.5)
	require.LessOrEqual(t, r.Value, 1.0)
}

// The full-size site has 300 schedulers and 200 workers in four zones, and each scheduler receives some requests per
// second. Datagrams are lost, and 70% of the schedulers are killed at the same time.
func TestFullSize(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	s := fullSizeSite()
	s.Length, s.Warmup = 6000, 2000
	s.SchedulerFaults = faults.Script{{Kind: faults.Loss, Lasts: 6000, Share: 0.05}, {Kind: faults.Kill, At: 3000, Lasts: 500}}
	for i := range s.Schedulers * 7 / 10 {
		s.SchedulerFaults[1].From = append(s.SchedulerFaults[1].From, i)
	}
	r := simulate(t, s, 3, nil)
	require.Empty(t, r.Violations)
	require.Greater(t, r.Small.Requests, 5000)
	require.Greater(t, r.Small.Share(), 0.8)
	perSend := float64(r.Datagrams) / float64(r.Sends)
	t.Logf("%d requests: %.3f within the latency target, %.0f%% of sends cross zones, %.1f datagrams per send", r.Small.Requests, r.Small.Share(), 100*float64(r.CrossZone)/float64(r.Sends), perSend)
	require.Less(t, perSend, 60.0)
	require.Less(t, float64(r.CrossZone), 0.3*float64(r.Sends))
}

func fullSizeSite() *Spec {
	return &Spec{Schedulers: 300, Zones: []string{"a", "b", "c", "d"}, Level: 0.6, Length: 60_000, Warmup: 2000, NetDelay: 0.5, DatagramDelay: 3,
		ReportDelay: 60, ReportNoise: 0.08, DiscoveryDelay: 300,
		Kinds: []KindSpec{{Name: "fast", Count: 100, Slots: 4, Speed: 1.5, Queue: 16, ColdDuration: 10_000}, {Name: "slow", Count: 100, Slots: 4, Speed: 0.9, Queue: 16, ColdDuration: 10_000}},
		Classes: []ClassSpec{
			{Name: "shop-view", Share: 0.7, RunTime: 100, RunTimeVariation: 0.5, LatencyTarget: 75, TargetStretch: 2, Value: 5},
			{Name: "purchase", Share: 0.3, RunTime: 100, RunTimeVariation: 0.4, Slots: []SlotShare{{1, 0.7}, {2, 0.3}}, LatencyTarget: 75, TargetStretch: 2.5, Value: 3, Keyed: true}}}
}
