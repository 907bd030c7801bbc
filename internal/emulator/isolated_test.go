package emulator

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cottonwell/balance"
)

// randomPolicy sends each request immediately to a random ready worker. It tries again if a worker rejects the request
// or is unreachable.
type randomPolicy struct {
	settings balance.Settings
	rng      *rand.Rand
	ready    []string
	attempts map[uint64]int
}

func newRandomPolicy(s balance.Settings, seed uint64) Policy {
	return &randomPolicy{settings: s, rng: rand.New(rand.NewPCG(seed, 5)), attempts: map[uint64]int{}}
}

func (p *randomPolicy) Step(_ time.Duration, ev *balance.Event, acts []balance.Action) []balance.Action {
	switch ev.Kind {
	case balance.Listed:
		for _, m := range ev.Members {
			p.ready = slices.DeleteFunc(p.ready, func(id string) bool { return id == m.ID })
			if m.State == balance.Ready {
				p.ready = append(p.ready, m.ID)
			}
		}
		if ev.List == balance.FromDisk {
			acts = append(acts, balance.Action{Kind: balance.Subscribe})
		}
	case balance.Arrived:
		return p.send(ev.Request, acts)
	case balance.Ended:
		if ev.Final {
			delete(p.attempts, ev.Request)
			break
		}
		if ev.Result == balance.Full || ev.Result == balance.NoConnection {
			return p.send(ev.Request, acts)
		}
		delete(p.attempts, ev.Request)
		acts = append(acts, balance.Action{Kind: balance.Fail, Request: ev.Request})
	}
	return acts
}

func (p *randomPolicy) send(request uint64, acts []balance.Action) []balance.Action {
	if len(p.ready) == 0 || p.attempts[request] >= p.settings.MaxAttempts {
		delete(p.attempts, request)
		return append(acts, balance.Action{Kind: balance.Refuse, Request: request})
	}
	p.attempts[request]++
	return append(acts, balance.Action{Kind: balance.Send, Request: request, Worker: p.ready[p.rng.IntN(len(p.ready))]})
}

// isolatedSite returns a site of few workers and many isolated schedulers. Each scheduler receives one or two requests per
// second and learns the workers' load only from its own probes. Workers crash and restart cold.
func isolatedSite(seed uint64) *Spec {
	rng := rand.New(rand.NewPCG(seed, 32))
	return &Spec{Schedulers: 32, Level: 0.55, Length: 25_000, Warmup: 1000, NetDelay: 0.2, DatagramDelay: 3, ReportInterval: 600, ReportDelay: 300,
		ReportNoise: 0.03, DiscoveryDelay: 300, Retries: 2, Isolated: true, OverloadByRequests: true,
		Kinds: []KindSpec{
			{Name: "fast-box", Count: 6, Slots: 3, Speed: 1.5 + 0.6*rng.Float64(), Queue: 24, ColdSpeed: 0.27, ColdDuration: 15_000},
			{Name: "slow-box", Count: 6, Slots: 3, Speed: 0.77 + 0.2*rng.Float64(), Queue: 20, ColdSpeed: 0.25, ColdDuration: 16_000}},
		Classes: []ClassSpec{
			{Name: "bed-check", Share: 0.38, RunTime: 300, RunTimeVariation: 2, LatencyTarget: 250, TargetStretch: 2, ClientTimeout: 5000, Value: 1},
			{Name: "stay-quote", Share: 0.33, RunTime: 620, RunTimeVariation: 1.8, LatencyTarget: 500, TargetStretch: 2.5, ClientTimeout: 7500, Value: 3},
			{Name: "confirm-booking", Share: 0.29, RunTime: 1900, RunTimeVariation: 1.8, LatencyTarget: 1000, TargetStretch: 2.5, ClientTimeout: 20_000, Value: 10, Keyed: true, KeyWindow: 30_000}},
		SiteFaults: []SiteFaultSpec{{Kind: "crash", At: 5000, Duration: 1500, Fraction: 0.4}}}
}

// Guards against a failure seen with 32 isolated schedulers and 12 workers, as in the second deployment: the decision module
// served less value than the random policy. A scheduler with one job at a worker treated the wait behind the jobs of
// other schedulers as a missing response. It excluded healthy workers and cancelled jobs that were queued there, and their
// clients retried. In each run the module must serve more value than the random policy, and the schedulers together must not
// overload a cold worker, which the random policy does.
func TestIsolatedSchedulersBeatRandomPolicy(t *testing.T) {
	for seed := range uint64(8) {
		spec := isolatedSite(seed)
		module := simulate(t, spec, seed, nil)
		spec = isolatedSite(seed)
		spec.newPolicy = newRandomPolicy
		random := simulate(t, spec, seed, nil)
		t.Logf("seed %d: value %.3f, random policy %.3f; cold workers overloaded: %d and %d", seed, module.Value, random.Value,
			module.Violations["cold-pushed-over"], random.Violations["cold-pushed-over"])
		assert.Greater(t, module.Value, random.Value, "seed %d", seed)
		assert.Empty(t, module.Violations, "seed %d", seed)
	}
}

// testColdWorkers runs sites with 20 and with 30 schedulers on which workers restart cold. Discovery announces a restart to
// the schedulers within a spread of 4 s.
func testColdWorkers(t *testing.T, isolated bool) {
	if testing.Short() {
		t.Skip("twelve runs with each policy")
	}
	collapsesUnderRandom := 0
	for seed := range uint64(6) {
		for _, schedulers := range []int{20, 30} {
			newSpec := func() *Spec {
				spec := isolatedSite(seed)
				spec.Schedulers, spec.Isolated, spec.DiscoverySpread, spec.Level = schedulers, isolated, 4000, 0.7
				for i := range spec.Kinds {
					spec.Kinds[i].ColdSpeed = 0.18
				}
				return spec
			}
			assert.Empty(t, simulate(t, newSpec(), seed, nil).Violations, "seed %d, %d schedulers", seed, schedulers)
			randomSpec := newSpec()
			randomSpec.newPolicy = newRandomPolicy
			collapsesUnderRandom += simulate(t, randomSpec, seed, nil).Violations["cold-pushed-over"]
		}
	}
	require.Positive(t, collapsesUnderRandom, "without collapses under the random policy, these runs do not test the ramp of cold workers")
}

// The limit of a cold worker must hold for the sum of the requests of isolated schedulers.
func TestColdWorkersSurviveIsolatedSchedulers(t *testing.T) { testColdWorkers(t, true) }

// The limit of a cold worker must also hold for schedulers that exchange messages. Their messages take some milliseconds, so
// that many schedulers compete for a slot that was reported as free.
func TestColdWorkersSurviveCommunicatingSchedulers(t *testing.T) { testColdWorkers(t, false) }
