package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"cottonwell/balance"
	"cottonwell/internal/faults"
	"cottonwell/internal/units"
)

// MaxSchedulers is the maximum number of schedulers of a site.
const MaxSchedulers = 1000

// Spec describes an emulated site and its load, as an experiment file gives them.
type Spec struct {
	Schedulers           int             `toml:"schedulers"`
	Zones                []string        `toml:"zones"`
	WorkersPerCell       int             `toml:"pod"` // workers that share one memory of idempotency keys
	Kinds                []KindSpec      `toml:"kind"`
	Classes              []ClassSpec     `toml:"class"`
	Tenants              []TenantSpec    `toml:"tenant"`
	BeyondAllowanceValue units.Share     `toml:"beyond_worth"` // fraction of its value that a request keeps beyond its tenant's allowance
	SiteFaults           []SiteFaultSpec `toml:"trouble"`
	Level                units.Share     `toml:"level"` // offered load as a share of the workers' capacity
	WideShare            *units.Share    `toml:"wide"`  // share of the work in jobs of the maximum number of slots; nil: given by the classes
	Length               units.Millis    `toml:"length"`
	Warmup               units.Millis    `toml:"warmup"`       // initial period whose requests are not recorded
	ReportInterval       units.Millis    `toml:"report_every"` // time between two load samples of a worker
	ReportDelay          units.Millis    `toml:"report_delay"`
	ReportNoise          units.Share     `toml:"report_noise"`
	NetDelay             units.Millis    `toml:"net_delay"`
	DatagramDelay        units.Millis    `toml:"datagram_delay"`
	DatagramLoss         units.Share     `toml:"datagram_loss"`
	SchedulerFaults      faults.Script   `toml:"fault"`       // faults of the schedulers and of the links between them
	DiscoveryDelay       units.Millis    `toml:"list_delay"`  // from a change at a worker to its announcement by discovery
	DiscoverySpread      units.Millis    `toml:"list_spread"` // maximum additional delay, drawn for each scheduler
	DepartureShare       units.Share     `toml:"leave"`       // share of the clients that disconnect early
	Retries              int             `toml:"retries"`     // maximum immediate retries by a client
	Isolated             bool            `toml:"apart"`       // schedulers exchange no messages, and only probe responses report load
	// OverloadByRequests makes cold workers collapse by the number of requests, as the platform counts, instead of by their work.
	OverloadByRequests bool `toml:"fall_by_requests"`
	// newPolicy returns the policy of one scheduler. If it is nil, each scheduler uses decision.Decider.
	newPolicy func(s balance.Settings, seed uint64) Policy
}

// KindSpec describes the workers of one kind.
type KindSpec struct {
	Name         string       `toml:"name"`
	Count        int          `toml:"count"`
	Slots        int          `toml:"slots"`
	Memory       float64      `toml:"memory_units"`
	Speed        float64      `toml:"speed"`
	Queue        int          `toml:"queue"`
	Order        string       `toml:"order"`
	ColdSpeed    units.Share  `toml:"cold_from"` // share of Speed right after a start
	ColdDuration units.Millis `toml:"cold_for"`  // from a start until full speed
}

// ClassSpec describes one class of jobs.
type ClassSpec struct {
	Name             string       `toml:"name"`
	Share            units.Share  `toml:"share"`  // share of all jobs
	RunTime          units.Millis `toml:"runs"`   // mean at speed 1
	RunTimeVariation units.Share  `toml:"spread"` // coefficient of variation of the run time
	Slots            []SlotShare  `toml:"slots"`
	Memory           float64      `toml:"memory_units"` // per slot
	LatencyTarget    units.Millis `toml:"aim"`
	TargetStretch    float64      `toml:"stretch"` // added to LatencyTarget per ms of run time at speed 1
	ClientTimeout    units.Millis `toml:"patience"`
	Value            float64      `toml:"worth"`
	Keyed            bool         `toml:"keyed"`
	KeyWindow        units.Millis `toml:"window"` // Keyed: how long a cell detects a repeated key
	Priority         int          `toml:"priority"`
}

// SlotShare is the share of a class's jobs that take a given number of slots.
type SlotShare struct {
	Slots int         `toml:"slots"`
	Share units.Share `toml:"share"`
}

// TenantSpec describes one tenant of the site.
type TenantSpec struct {
	Name      string      `toml:"name"`
	Share     units.Share `toml:"share"`     // share of all requests
	Allowance float64     `toml:"allowance"` // requests per second of full value; 0: no limit
}

// SiteFaultSpec describes one fault of the workers or schedulers, or one change of the load.
type SiteFaultSpec struct {
	Kind     string       `toml:"kind"` // crash, errors, pauses, late-reports, drain, wide, scheduler, flood
	At       units.Millis `toml:"at"`
	Duration units.Millis `toml:"lasts"`
	Fraction units.Share  `toml:"part"`  // share of the workers; wide: share of the work in the widest jobs; flood: additional request rate
	Delay    units.Millis `toml:"size"`  // pauses: length of each pause; late-reports: additional delay
	Interval units.Millis `toml:"every"` // pauses: mean time between two pauses; wide: time until the share changes back
}

var queueOrders = map[string]QueueOrder{"": FIFO, "fifo": FIFO, "backfill": Backfill, "priority": ByPriority}

var siteFaultKinds = map[string]bool{"crash": true, "errors": true, "pauses": true, "late-reports": true, "drain": true,
	"wide": true, "scheduler": true, "flood": true}

// Check sets the defaults of omitted values and returns an error for the first invalid value.
func (s *Spec) Check() error {
	if s.Schedulers == 0 {
		s.Schedulers = 2
	}
	if len(s.Zones) == 0 {
		s.Zones = []string{"colombo-1"}
	}
	if s.WorkersPerCell == 0 {
		s.WorkersPerCell = 6
	}
	if s.ReportInterval == 0 {
		s.ReportInterval = 200
	}
	workers := 0
	for i := range s.Kinds {
		k := &s.Kinds[i]
		workers += k.Count
		if k.Speed == 0 {
			k.Speed = 1
		}
		if k.ColdDuration > 0 && k.ColdSpeed == 0 {
			k.ColdSpeed = 0.15
		}
		if _, ok := queueOrders[k.Order]; !ok {
			return fmt.Errorf("kind %q: order %q; must be fifo, backfill or priority", k.Name, k.Order)
		}
		if k.Name == "" || k.Count < 0 || k.Count > 5000 || k.Slots < 1 || k.Slots > 256 || k.Speed <= 0 || k.Queue < 1 {
			return fmt.Errorf("kind %q: requires a name, a count of 0 to 5000, 1 to 256 slots, a positive speed and a queue of at least 1", k.Name)
		}
	}
	switch {
	case workers == 0:
		return fmt.Errorf("a fleet of no workers: no kind has a count")
	case s.Schedulers < 1 || s.Schedulers > MaxSchedulers:
		return fmt.Errorf("schedulers is %d; must be 1 to %d", s.Schedulers, MaxSchedulers)
	case s.Level <= 0:
		return fmt.Errorf("level is not set: the offered load as a share of the workers' capacity")
	case s.Length < 1000 || s.Length > 600_000 || s.Warmup >= s.Length:
		return fmt.Errorf("length is %gms and warmup is %gms; length must be 1s to 10m, and warmup less than length", float64(s.Length), float64(s.Warmup))
	case len(s.Classes) == 0:
		return fmt.Errorf("no job class is defined")
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.ClientTimeout == 0 {
			c.ClientTimeout = 5000
		}
		if c.Value == 0 {
			c.Value = 1
		}
		if c.Keyed && c.KeyWindow == 0 {
			c.KeyWindow = 7500
		}
		if len(c.Slots) == 0 {
			c.Slots = []SlotShare{{1, 1}}
		}
		if c.Name == "" || c.Share <= 0 || c.RunTime <= 0 || c.LatencyTarget <= 0 {
			return fmt.Errorf("class %q: requires a name and a positive share, runs and aim", c.Name)
		}
		for _, x := range c.Slots {
			if x.Slots < 1 || x.Share <= 0 {
				return fmt.Errorf("class %q: %d slots with a share of %g%%; both must be positive", c.Name, x.Slots, 100*float64(x.Share))
			}
		}
	}
	for _, t := range s.SiteFaults {
		if !siteFaultKinds[t.Kind] {
			return fmt.Errorf("unknown kind of trouble %q", t.Kind)
		}
	}
	if err := s.SchedulerFaults.Check(s.Schedulers); err != nil {
		return err
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []TenantSpec{{Name: "cricket-league", Share: 1}}
	}
	return nil
}

// Workers returns the specification of every worker of the site.
func (s *Spec) Workers() (out []WorkerSpec) {
	meanWork := 0.0
	if s.OverloadByRequests {
		for _, c := range s.Classes {
			meanWork += float64(c.Share) * float64(c.RunTime)
		}
	}
	for _, k := range s.Kinds {
		for range k.Count {
			n := len(out)
			out = append(out, WorkerSpec{ID: fmt.Sprintf("s-%04x%04x", n*40503&0xffff, n), Zone: s.Zones[n%len(s.Zones)], Kind: k.Name,
				Cell: fmt.Sprint(n / s.WorkersPerCell), Slots: k.Slots, Memory: k.Memory, Speed: k.Speed, Queue: k.Queue, Order: queueOrders[k.Order],
				ColdSpeed: float64(k.ColdSpeed), ColdDuration: float64(k.ColdDuration), OverloadMultiple: 3, OverloadWindow: 1000, WorkPerRequest: meanWork})
		}
	}
	return out
}

// Capacity returns the work, in slot-milliseconds at speed 1, that all workers complete per millisecond.
func (s *Spec) Capacity() (sum float64) {
	for _, k := range s.Kinds {
		sum += float64(k.Count*k.Slots) * k.Speed
	}
	return sum
}

// Arrival is one client request. Arrivals are drawn before the run (an open load), so that their times
// don't depend on the outcomes of other requests.
type Arrival struct {
	At              float64 // ms since the start of the load
	Class           int
	Tenant          string
	BeyondAllowance bool // the tenant exceeded its allowance at that time
	Slots           int
	Memory          float64
	Work            float64
	Scheduler       int
	DepartsAfter    float64 // ms after which the client disconnects; 0: it waits until its timeout
}

// MaxSlots returns the number of slots of the widest job.
func (s *Spec) MaxSlots() (slots int) {
	for _, c := range s.Classes {
		for _, x := range c.Slots {
			slots = max(slots, x.Slots)
		}
	}
	return slots
}

// meanWork returns the mean work per job of the class, in slot-milliseconds, that comes from its widest jobs
// (widestOnly) or from its other jobs, and the share of the class's jobs that those are.
func (c *ClassSpec) meanWork(widest int, widestOnly bool) (work, share float64) {
	for _, x := range c.Slots {
		if (x.Slots == widest) == widestOnly {
			work += float64(x.Share) * float64(x.Slots) * float64(c.RunTime)
			share += float64(x.Share)
		}
	}
	return work, share
}

// Arrivals draws a load from a seed: Poisson arrivals whose work amounts to Level.
// If WideShare is set, jobs of the maximum number of slots make up that share of the work.
func (s *Spec) Arrivals(seed uint64) (out []Arrival) {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	widest := s.MaxSlots()
	narrow, wide := 0.0, 0.0
	for i := range s.Classes {
		c := &s.Classes[i]
		n, _ := c.meanWork(widest, false)
		w, _ := c.meanWork(widest, true)
		narrow, wide = narrow+float64(c.Share)*n, wide+float64(c.Share)*w
	}
	if narrow == 0 || wide == 0 {
		widest = -1 // all jobs are wide, or none: there is no mix to adjust
	}
	allowances := newAllowanceBuckets(s.Tenants)
	for now := 0.0; ; {
		wideShare := wide / (narrow + wide)
		if s.WideShare != nil && widest > 0 {
			wideShare = float64(*s.WideShare)
		}
		for _, t := range s.SiteFaults {
			if t.Kind == "wide" && now >= float64(t.At) && now < float64(t.At+t.Duration) && int((now-float64(t.At))/float64(max(t.Interval, 1)))%2 == 0 {
				wideShare = float64(t.Fraction)
			}
		}
		// The weights set the share of wide work. Among wide jobs and among narrow jobs, the mix of the classes is unchanged.
		wideWeight, narrowWeight := 1.0, 1.0
		if widest > 0 {
			wideWeight, narrowWeight = wideShare/wide, (1-wideShare)/narrow
		}
		jobs, work := 0.0, 0.0
		for i := range s.Classes {
			c := &s.Classes[i]
			n, ns := c.meanWork(widest, false)
			w, ws := c.meanWork(widest, true)
			jobs += float64(c.Share) * (narrowWeight*ns + wideWeight*ws)
			work += float64(c.Share) * (narrowWeight*n + wideWeight*w)
		}
		rate := float64(s.Level) * s.Capacity() * jobs / work
		for _, t := range s.SiteFaults {
			if t.Kind == "flood" && now >= float64(t.At) && now < float64(t.At+t.Duration) {
				rate *= 1 + float64(t.Fraction)
			}
		}
		now += rng.ExpFloat64() / rate
		if now >= float64(s.Length) {
			return out
		}
		a := Arrival{At: now, Scheduler: rng.IntN(s.Schedulers), Tenant: s.drawTenant(rng)}
		a.BeyondAllowance = !allowances.allow(a.Tenant, now)
		remaining := rng.Float64() * jobs
	pick:
		for i := range s.Classes {
			for _, k := range s.Classes[i].Slots {
				share := narrowWeight
				if k.Slots == widest {
					share = wideWeight
				}
				a.Class, a.Slots = i, k.Slots
				if remaining -= share * float64(s.Classes[i].Share*k.Share); remaining < 0 {
					break pick
				}
			}
		}
		c := &s.Classes[a.Class]
		a.Work, a.Memory = lognormal(rng, float64(c.RunTime), float64(c.RunTimeVariation)), c.Memory*float64(a.Slots)
		if rng.Float64() < float64(s.DepartureShare) {
			a.DepartsAfter = rng.Float64() * 500
		}
		out = append(out, a)
	}
}

// allowanceBuckets hold a token bucket for each tenant with an allowance. A bucket holds at most the tokens of one second.
type allowanceBuckets map[string]*tokenBucket

type tokenBucket struct{ rate, tokens, refilledAt float64 }

func newAllowanceBuckets(tenants []TenantSpec) allowanceBuckets {
	out := allowanceBuckets{}
	for _, t := range tenants {
		if t.Allowance > 0 {
			out[t.Name] = &tokenBucket{rate: t.Allowance, tokens: t.Allowance}
		}
	}
	return out
}

func (buckets allowanceBuckets) allow(tenant string, now float64) bool {
	x := buckets[tenant]
	if x == nil {
		return true
	}
	x.tokens, x.refilledAt = min(x.rate, x.tokens+x.rate*(now-x.refilledAt)/1000), now
	if x.tokens < 1 {
		return false
	}
	x.tokens--
	return true
}

func (s *Spec) drawTenant(rng *rand.Rand) string {
	x := rng.Float64()
	for _, t := range s.Tenants {
		if x -= float64(t.Share); x < 0 {
			return t.Name
		}
	}
	return s.Tenants[len(s.Tenants)-1].Name
}

// lognormal draws from a lognormal distribution with a given mean and coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// LatencyTarget returns the latency target of a request in milliseconds. It is at most the client timeout.
func (s *Spec) LatencyTarget(a *Arrival) float64 {
	c := &s.Classes[a.Class]
	return min(float64(c.ClientTimeout), float64(c.LatencyTarget)+c.TargetStretch*a.Work)
}
