package backfill

import (
	"math"
)

const (
	tickInterval       = 10.0   // ms between timers, while a large flow is queued or slots are reserved
	maxSearchesPerTick = 4      // large flows for which a target is searched in a tick
	maxReviewsPerTick  = 32     // reservations reviewed in a tick, round robin
	maxTargetsChecked  = 8      // targets checked for one flow
	endQuantile        = 0.6    // of a run time: when a running job is expected to end
	slotTolerance      = 0.05   // slots that may be missing, as estimates of targets are noisy
	memoryTolerance    = 0.02   // memory units that may be missing
	adjustInterval     = 500.0  // ms between adjustments of the scale
	dropDecay          = 0.9993 // per small flow, of the share that is unserved because of reservations
	unservedDecay      = 0.999  // per flow, of the shares that are unserved with and without reservations
	minSmallSamples    = 200    // small flows before such a share is used
	minLargeSamples    = 40     // large flows before such a share is used
	initialScale       = 0.3    // initial scale of the share that may be reserved
	trialPeriod        = 6000   // ms between the starts of two trials
	trialDuration      = 800    // ms at the start of each trial period in which nothing is reserved
	trialSettleTime    = 300    // ms from the start of a trial; flows that arrive in it are not part of the sample
	scaleIncrement     = 0.025  // added to the scale in one adjustment
	maxDropRatio       = 2.0    // multiple of MaxSmallUnserved from which the scale falls without a trial
	shrinkFactor       = 0.5    // applied to the scale in one adjustment
	quantileGain       = 0.02   // step of the backfill quantile for each backfilled job that ended too late
	minScale           = 0.05   // lower limit of the scale
)

// flow is a request while it is queued, or while an attempt of it is running.
type flow struct {
	id                uint64
	class             int
	size              int // index of its number of slots in Planner.sizes
	tenant            *tenant
	need, memory      float64
	latestStart       float64
	machineKind       string
	large             bool
	queued            bool
	queuedAt          float64
	queueIndex        int // in the queue of large flows, or -1
	reservation       *reservation
	reservationCount  int     // reservations made for it so far
	target            *target // of the running attempt; nil if none runs
	startedAt         float64 // when the attempt started, or was sent if no start is reported
	started           bool
	backfillEnd       float64 // when the reservation begins before which it was backfilled; 0: it was not
	besideReservation bool    // slots were reserved while it was queued for the running attempt
	inTrial           bool    // it arrived during a trial
	trialSettling     bool    // it arrived so early in a trial that earlier reservations may still affect it
	done              bool    // it ended, and is removed once its attempt ends
}

// tenant is the account of a tenant's reserved slots.
type tenant struct{ reservedSlots float64 }

// target is the planner's state of a target.
type target struct {
	id               string
	hash             uint32
	machineKind      string
	allowedClasses   string
	up               bool
	measured         bool
	slots            float64
	busy             float64
	memory           float64 // free units; below 0: unknown
	slowdown         float64
	cold             bool
	usableFrom       float64
	attempts         []*flow           // running attempts of this scheduler
	reservation      *reservation      // the effective one, of this or another scheduler
	ownReservation   *reservation      // of this scheduler: effective, or about to be released
	peerReservations []*reservation    // of other schedulers
	readyAt          [maxSizes]float64 // by size, when that many slots are expected to be free, ms
	heapIndex        [maxSizes]int
	dirty            bool   // changed since readyAt was computed
	order            uint64 // position in the order of listing, to break ties
}

// reservation is a number of slots reserved at a target for one flow.
type reservation struct {
	target        *target
	flow          *flow // nil: a flow of another scheduler
	scheduler     int
	slots         float64
	neededAt      float64 // when its flow is expected to start, ms
	since         float64 // ms
	spareSlots    float64
	backfillUntil []float64
	notified      bool // the host knows its current state
	index         int  // in Planner.reservations
}

// Planner plans the reservations of one scheduler.
type Planner struct {
	config           Config
	classes          map[string]int
	runTimes         *runTimeTable
	tenants          map[string]*tenant
	flows            map[uint64]*flow
	targets          map[string]*target
	sizes            []float64                // distinct needs of large flows, ascending
	byReadyTime      [maxSizes]*heap[*target] // by size, targets ordered by readyAt
	dirty            []*target                // targets that changed since readyAt was computed
	queue            heap[*flow]              // queued large flows, by their latest start
	reservations     []*reservation           // of this scheduler
	peerReservations map[int][]*reservation   // by scheduler
	totalSlots       float64                  // of all targets that are up
	reservedSlots    float64                  // by all schedulers, as far as reported
	lastReservedAt   float64                  // last time at which any slots were reserved, ms
	backfillQuantile float64                  // quantile of run times by which jobs are backfilled
	scale            float64                  // part of the configured share that may be reserved now
	unservedShare    float64                  // share of the small flows that are unserved because of reservations
	adjustAt         float64                  // when the scale is adjusted next, ms
	trials           bool                     // trials without reservations are being run
	smallUnserved    [3]decayingShare         // share of the small flows unserved: with reservations, in trials, at the start of trials
	largeUnserved    [3]decayingShare         // the same of the large flows
	ticking          bool                     // a timer is requested
	nextReview       int                      // index of the last reservation reviewed in a tick
	largestSlots     float64                  // slots of the largest target
	largestExpiresAt float64                  // when largestSlots is computed again, ms
	lastOrder        uint64
	freeFlows        []*flow        // recycled
	freeReservations []*reservation // recycled
	expectedEnds     []expectedEnd  // of the jobs at the target evaluated last
	rejected         []*target      // buffer of earliestTarget
	actions          []Action       // of the current step

	Counts Counts
}

// decayingShare is a share in which older samples lose weight.
type decayingShare struct{ share, samples float64 }

func (s *decayingShare) add(value float64) {
	s.samples++
	s.share += max(1/s.samples, 1-unservedDecay) * (value - s.share)
}

// expectedEnd is when a job is expected to end, with the slots and the memory that it frees.
type expectedEnd struct{ at, slots, memory float64 }

// New returns a planner, or an error that names the invalid setting.
func New(c Config) (*Planner, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	p := &Planner{config: c, classes: map[string]int{}, runTimes: newRunTimeTable(len(c.Classes)), tenants: map[string]*tenant{},
		flows: map[uint64]*flow{}, targets: map[string]*target{}, peerReservations: map[int][]*reservation{},
		backfillQuantile: c.Confidence, scale: initialScale, lastReservedAt: math.Inf(-1)}
	for i, name := range c.Classes {
		p.classes[name] = i
	}
	p.queue = heap[*flow]{
		less: func(a, b *flow) bool {
			return a.latestStart < b.latestStart || a.latestStart == b.latestStart && a.id < b.id
		},
		setIndex: func(f *flow, at int) { f.queueIndex = at }}
	return p, nil
}

// Step processes one event at the given time, appends the resulting actions and returns the slice.
func (p *Planner) Step(now float64, ev *Event, actions []Action) []Action {
	p.actions = actions
	switch ev.Kind {
	case TargetUp:
		p.targetUp(now, ev)
	case TargetDown:
		if t := p.targets[ev.Target]; t != nil {
			p.targetDown(now, t)
		}
	case TargetMeasured:
		p.measured(now, ev)
	case FlowQueued:
		p.flowQueued(now, ev)
	case AttemptSent:
		p.attemptSent(now, ev)
	case AttemptStarted:
		if f := p.flows[ev.Flow]; f != nil && f.target != nil && !f.started {
			f.started, f.startedAt = true, now
			p.markChanged(now, f.target)
		}
	case AttemptEnded:
		p.attemptEnded(now, ev)
	case FlowDone:
		p.flowDone(now, ev)
	case PeerReserved:
		p.peerReserved(now, ev)
	case TimerDue:
		p.ticking = false
		p.tick(now)
	}
	if !p.ticking && (len(p.queue.items) > 0 || len(p.reservations) > 0) {
		p.ticking = true
		p.actions = append(p.actions, Action{Kind: Wake, At: now + tickInterval})
	}
	actions, p.actions = p.actions, nil
	return actions
}

// OwnReservations calls yield with each reservation of this scheduler, and with the slots that its
// running attempts use at the same target.
func (p *Planner) OwnReservations(yield func(target string, slots, out, from float64)) {
	for _, r := range p.reservations {
		yield(r.target.id, r.slots, r.target.ownSlots(), r.neededAt)
	}
}

// Scale returns the part of the configured share that may be reserved now, and the recent share of the
// small flows that went unserved beside a reservation.
func (p *Planner) Scale() (scale, unserved float64) { return p.scale, p.unservedShare }

// Confidence returns the current quantile of run times by which jobs are backfilled.
func (p *Planner) Confidence() float64 { return p.backfillQuantile }
