package emulator

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"cottonwell/internal/backfill"
)

// GroupStats summarizes the outcomes and latencies of one group of requests.
type GroupStats struct {
	Requests     int     `json:"asked"`
	WithinTarget int     `json:"in_time"` // served within the latency target
	Served       int     `json:"served"`
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	latencies    *hdrhistogram.Histogram
}

// Share returns the fraction of the requests that were served within their latency targets.
// It returns 1 for an empty group.
func (g *GroupStats) Share() float64 {
	if g.Requests == 0 {
		return 1
	}
	return float64(g.WithinTarget) / float64(g.Requests)
}

// Result is the outcome of one run.
type Result struct {
	Small           GroupStats        `json:"small"`
	Large           GroupStats        `json:"large"`  // requests of the maximum number of slots; Small holds the others
	Value           float64           `json:"worth"`  // fraction of the requested value that was served within the latency targets
	WithinAllowance GroupStats        `json:"within"` // requests within their tenants' allowances
	Sends           int               `json:"sends"`
	CrossZone       int               `json:"far"`       // sends to a worker in another zone
	Datagrams       int               `json:"datagrams"` // between schedulers, counted once per receiver
	Refused         int               `json:"refused"`
	Failed          int               `json:"failed"`
	Departed        int               `json:"left"`   // requests whose clients disconnected early
	Lost            int               `json:"lost"`   // requests without a response
	Violations      map[string]int    `json:"broken"` // count by the name of the violated rule
	Reservations    ReservationCounts `json:"room"`
	maxSlots        int
	offeredValue    float64 // the value of all recorded requests
}

// ReservationCounts sums the reservation counters over the planners of all schedulers.
type ReservationCounts struct {
	Reserved       int            `json:"held"`    // reservations made
	Moved          int            `json:"moved"`   // of these, made because an earlier reservation of the flow failed
	Backfilled     int            `json:"gaps"`    // small jobs sent into a gap
	BackfilledLate int            `json:"wrong"`   // of these, jobs that ended too late
	Released       map[string]int `json:"let_go"`  // released reservations by reason
	Scale          float64        `json:"scale"`   // the lowest governor scale of any planner at the end of the run
	Refused        int            `json:"refused"` // reservations not made because of the share or the governor
}

func newResult(s *Spec) Result {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 100_000_000, 3) }
	return Result{Small: GroupStats{latencies: newHistogram()}, Large: GroupStats{latencies: newHistogram()}, WithinAllowance: GroupStats{latencies: newHistogram()}, Violations: map[string]int{}, maxSlots: s.MaxSlots(),
		Reservations: ReservationCounts{Released: map[string]int{}, Scale: 1}}
}

// NewResult returns an empty result, for a caller that records requests sent over sockets.
// After the last Add, the caller must call Finish.
func NewResult(s *Spec) *Result { r := newResult(s); return &r }

// Add records one finished request and its latency in milliseconds.
func (r *Result) Add(s *Spec, a *Arrival, latency float64, served bool) { r.add(s, a, latency, served) }

// Finish computes the value fraction and the latency quantiles from the recorded requests.
func (r *Result) Finish() { r.finish() }

func (r *Result) add(s *Spec, a *Arrival, latency float64, served bool) {
	groups := []*GroupStats{&r.Small}
	if a.Slots == r.maxSlots && r.maxSlots > 1 {
		groups[0] = &r.Large
	}
	value := s.Classes[a.Class].Value
	if a.BeyondAllowance {
		value *= float64(s.BeyondAllowanceValue)
	} else {
		groups = append(groups, &r.WithinAllowance)
	}
	r.offeredValue += value
	if served && latency <= s.LatencyTarget(a) {
		r.Value += value
	}
	for _, g := range groups {
		g.Requests++
		if !served {
			continue
		}
		g.Served++
		if latency <= s.LatencyTarget(a) {
			g.WithinTarget++
		}
		_ = g.latencies.RecordValue(int64(max(1, latency*1000))) // a latency beyond the histogram's range also exceeds its target and is counted so above
	}
}

func (r *Result) finish() {
	r.Value /= max(r.offeredValue, 1e-9)
	for _, g := range []*GroupStats{&r.Small, &r.Large, &r.WithinAllowance} {
		g.P50, g.P99 = float64(g.latencies.ValueAtQuantile(50))/1000, float64(g.latencies.ValueAtQuantile(99))/1000
	}
}

func (r *Result) addReservations(p *backfill.Planner) {
	counts := &p.Counts
	r.Reservations.Reserved += counts.Reserved
	r.Reservations.Moved += counts.Moved
	r.Reservations.Backfilled += counts.Backfilled
	r.Reservations.BackfilledLate += counts.BackfilledLate
	r.Reservations.Refused += counts.Refused
	for i, n := range counts.Released {
		if n > 0 {
			r.Reservations.Released[backfill.Reason(i).String()] += n
		}
	}
	scale, _ := p.Scale()
	r.Reservations.Scale = min(r.Reservations.Scale, scale)
}

// ViolationCount returns the number of rule violations, summed over all rules.
func (r *Result) ViolationCount() (n int) {
	for _, x := range r.Violations {
		n += x
	}
	return n
}
