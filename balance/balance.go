// The interface (settings, events, actions) is in balance/api.go. This file holds the state of a Balancer and
// passes each event to its handler.
//
// Vocabulary: a request is queued (it waits at this dispatcher), in flight (an attempt at a worker has not
// ended) or done (it has its final response). The ring is the sorted list of ready workers. The home of a
// request is its position on the ring. A worker is ejected while it is considered unhealthy.
//
// Short names in this package: b is the Balancer, r a request, a an attempt, w a worker and c a class.

package balance

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

const (
	neighbours         = 5    // k: the candidates are the home and k workers on each side
	inverseTemperature = 16.0 // theta of the softmax: the weight of a worker is exp(-theta x cost)

	// The load that other dispatchers are assumed to have at a worker is limited to a share of its slots.
	assumedLoadStart      = 0.5  // limit at the start
	assumedLoadStep       = 0.05 // added to the limit for each job that did not start promptly
	promptStartsPerMissed = 2.0  // prompt starts that undo one step
	assumedLoadMax        = 0.9  // below 1: a dispatcher that assumes that all workers are full serves none

	slotTolerance     = 0.05 // slots that may be missing: reports are noisy and estimates never decay to 0
	workerSpeedDecay  = 0.9  // part of a worker's speed record that is kept at each new sample
	servedSmoothing   = 0.02 // weight of the newest request in the served share of its class
	worstClassGain    = 16.0 // added weight of a class for each unit that its served share is below the best
	shortageSmoothing = 0.05 // weight of the newest request in the share recently refused
	cheapValueShare   = 0.25 // a request is cheap if its value is below this share of the highest value
	reserveMax        = 0.4  // largest share of a worker's slots kept for valuable requests in a shortage

	fleetSpeedDecay = 0.95  // part of the speed record of all workers that is kept at each new sample
	classWorkDecay  = 0.998 // part of the record of a class's run times that is kept at each new sample
	speedPriorJobs  = 4.0   // weight of the average speed in a worker's speed, in jobs
	priceWeight     = 35.0  // cost of crossing zones or of a new connection, for each unit of its price

	ejectionTime = time.Second / 2
	// ejectionDoublings limits the growth of the ejection time. It is small, as a trial costs at most one
	// attempt and an idle worker costs many.
	ejectionDoublings = 2
	classBlockTime    = 60 * ejectionTime // blocks a class at a worker after 'full'
	// probeBudget is in points of the score. Its cost counts the price of a probe and the time of workers.
	probeBudget = 0.008 // for each request

	retryRatio       = 0.2  // retries after failures for each request
	retryBurst       = 10.0 // largest number of unused retries
	unsafeOvercommit = 0.3  // slots by which an unsafe request may exceed the slots that count as free

	coldBudgetShare = 0.4 // part of a cold worker's limit that is used where dispatchers exchange messages
	isolatedFactor  = 1.5 // multiplies that part for isolated dispatchers, as few use up so small a share

	queueTimer     = uint64(1) << 60
	discoveryTimer = queueTimer + 1
)

// reportAges are the ages that a report may have on arrival.
var reportAges = [...]time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second}

type class struct {
	Class
	servedShare float64 // share of recent requests that were served
	// Sums over served attempts, with decay: their number, run time and hinted time.
	sampleCount, workSeconds, hintSeconds float64
	longestBudget                         time.Duration         // longest budget of a request so far
	maxAttempts                           int                   // attempts of one request
	blocked                               map[string]classBlock // by worker: 'full' and none served since
}

// classBlock keeps the jobs of one class away from a worker.
type classBlock struct {
	until time.Duration
	count int // 'full' responses in a row
}

type attempt struct {
	worker *worker
	// Times of events, the time of the next check for missing updates, and the expected wait at the worker.
	sentAt, startedAt, lastUpdateAt, checkAt, expectedWait time.Duration
	inFlight, cancelled, startMissed                       bool
	result                                                 Result
}

type request struct {
	id                       uint64
	tenant                   string
	class                    *class
	slots, work, hint, value float64       // work and hint in seconds
	home                     float64       // position on the ring, 0 to 1, drawn at random
	keyHash                  uint32        // hash of the key if what the key needs must be fetched, else 0
	firstTryAt               time.Duration // arrival of the client's first try, as far as known
	// Latest start within the latency target, and latest start that still has value.
	onTimeStartBy, usefulStartBy time.Duration
	respondBy, reviewAt          time.Duration // latest final response; time of the next review
	attempts                     []attempt
	earlier                      *attempt // of an earlier request that this one repeats; nil if there is none
	inFlight                     int      // attempts in flight
	queued, done                 bool
	priority                     int
	keyQueue                     *keyQueue     // of its key, if its class requires order
	reservedAt                   *worker       // worker that has or had a reservation for it
	mayRunUntil                  time.Duration // until then an ended attempt may still run
}

// keyQueue holds the requests of one key in the order in which they were accepted. A request stays in it
// until it is done and has no attempt in flight.
type keyQueue struct {
	requests    []*request
	pausedUntil time.Duration // until then the next request is not sent
}

// sample is a value at a point in time.
type sample struct {
	at    time.Duration
	value float64
}

type worker struct {
	Member
	// hardEjected: ejected as unreachable or by a decision for all; progress reports do not end the ejection.
	// trial: at most one attempt at a time.
	listed, hardEjected, trial bool
	// failureScore grows with failures in a row; recentEjections counts ejections.
	listVersion, failureScore, recentEjections int
	ownSlots, peerSlots                        float64  // taken by own attempts, and by others' as announced
	inFlight, openConns                        int      // own attempts; open connections, as far as known
	loadHistory                                []sample // recent sums of ownSlots and peerSlots
	otherSlots, meanOtherSlots                 float64  // taken by others at the last report, and on average
	slots                                      float64  // total, as reports show; 0 if unknown
	lastReport                                 Report
	reportedAt, lastSeenAt, probedAt           time.Duration
	lastEndAt, refilledAt                      time.Duration // last end of an attempt; last update of tokens
	ranSeconds, expectedSeconds                float64       // run time observed, and of an average worker
	ejectedUntil, fullUntil                    time.Duration
	backOffUntil                               time.Duration // applies while it is cold
	tokens                                     float64       // seconds of work that it may be sent while cold
	idHash                                     uint32
	reservation                                *Reservation // nil if none
}

// Balancer decides for one dispatcher.
type Balancer struct {
	settings      Settings
	rng           *rand.Rand
	classes       map[string]*class
	workers       map[string]*worker
	ring          []*worker
	requests      map[uint64]*request
	peerLoads     map[int]map[string]float64 // by dispatcher and worker: slots of attempts in flight
	queued        []*request
	listVersion   int
	discovery     discoveryPacer
	queueTimerSet bool
	// Retries that may still be sent; further attempts that the requests so far have earned.
	retryTokens, earnedAttempts float64
	furtherAttempts             []sample             // recent further attempts, each with earnedAttempts then
	keyQueues                   map[string]*keyQueue // by key
	// Slots and run time of an average job; slots of an average worker.
	meanJobSlots, meanJobSeconds, meanWorkerSlots float64
	// Highest value of a request, share of requests recently refused, agreed part of a cold worker's load.
	topValue, shortage, coldFactor float64
	ranSeconds, expectedSeconds    float64 // recent run time of all workers, as for one worker
	otherShare, assumedLoad        float64 // mean share of slots that others take; its upper limit
	// Arrival of the last report; estimated age of reports on arrival.
	lastReportAt, reportAge time.Duration
	tenantParts             map[string]float64       // parts of tenants' demand, valid until tenantPartsUntil
	ageErrors               [len(reportAges)]float64 // mean squared error of reports for each age
	startDelays             map[string]time.Duration // by zone: time from sending to a prompt start
	arrivalGap              float64                  // mean seconds between requests
	// Arrival of the last request; shortest duration of a probe; end of the validity of tenantParts.
	lastArrivalAt, fastestProbe, tenantPartsUntil time.Duration
	actions                                       []Action
	candidates                                    []*worker
}

// New returns a Balancer for the settings, or an error that names an impossible setting.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: settings, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, workers: map[string]*worker{}, requests: map[uint64]*request{},
		peerLoads: map[int]map[string]float64{}, retryTokens: retryBurst, meanJobSlots: 1, meanWorkerSlots: 2,
		coldFactor: 1, meanJobSeconds: 2 * settings.Classes[0].LatencyTarget.Seconds(),
		keyQueues: map[string]*keyQueue{}, startDelays: map[string]time.Duration{},
		assumedLoad: assumedLoadStart, arrivalGap: 0.1}
	for _, c := range settings.Classes {
		// Until jobs of the class have run, their run time is estimated as twice the latency target.
		b.classes[c.Name] = &class{Class: c, servedShare: 1,
			sampleCount: 0.1, workSeconds: 0.2 * c.LatencyTarget.Seconds(),
			maxAttempts: settings.MaxAttempts, blocked: map[string]classBlock{}}
	}
	return b, nil
}

// Step processes one event at the given time, appends the resulting actions to actions and returns them. The
// host must carry them out in order.
func (b *Balancer) Step(now time.Duration, ev *Event, actions []Action) []Action {
	b.actions = actions
	switch ev.Kind {
	case Arrived:
		b.handleArrival(now, ev)
	case Departed:
		if r := b.requests[ev.Request]; r != nil && !r.done {
			b.close(now, r, ClientLeft)
			b.placeQueued(now) // another request may use its slot, or be next of its key
		}
	case Ended:
		b.handleEnd(now, ev)
	case Progressed:
		b.handleProgress(now, ev)
	case Streaming: // the client receives the response, so no further attempt may be sent
		if r := b.requests[ev.Request]; r != nil {
			r.done = true
		}
	case Listed:
		b.handleList(now, ev)
	case Probed:
		if w := b.workers[ev.Worker]; w != nil {
			b.applyReport(now, w, &ev.Report)
			b.fastestProbe = min(cmp.Or(b.fastestProbe, ev.Elapsed), ev.Elapsed)
			if ev.Result == NoConnection { // a response proves only that the process runs
				b.applyResult(now, w, nil, ev.Result)
			}
		}
	case PeerLoads:
		if b.updatePeerLoads(now, ev.Peer, ev.Loads) {
			b.placeQueued(now)
		}
	case Reserved:
		if w := b.workers[ev.Worker]; w != nil {
			w.reservation = ev.Reservation
			if r := b.requests[ev.Request]; r != nil {
				r.reservedAt = w
			}
		}
		b.placeQueued(now)
	case WorkerEjected:
		if w := b.workers[ev.Worker]; w != nil && (ev.Elapsed == 0 || now+ev.Elapsed > w.ejectedUntil) {
			w.ejectedUntil, w.hardEjected, w.trial = now+ev.Elapsed, ev.Elapsed > 0, true
		}
	case PeerGotList:
		if wait, sooner := b.discovery.peerHint(now, b.settings.Fleet, b.rng); sooner {
			b.emit(Action{Kind: Wake, Timer: discoveryTimer, After: wait})
		}
	case TenantShares:
		b.tenantParts, b.tenantPartsUntil = ev.TenantParts, now+ev.Elapsed
	case RulesChanged:
		b.coldFactor = ev.ColdFactor
		for name, c := range b.classes {
			c.maxAttempts = min(b.settings.MaxAttempts, cmp.Or(ev.MaxAttempts[name], b.settings.MaxAttempts))
		}
	case TimerDue:
		b.handleTimer(now, ev.Timer)
	}
	actions, b.actions = b.actions, nil
	return actions
}

// emit appends an action to those that Step returns.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) handleTimer(now time.Duration, timer uint64) {
	switch timer {
	case queueTimer:
		b.queueTimerSet = false
		b.placeQueued(now)
	case discoveryTimer:
		if b.discovery.isDue(now) { // false for a timer that was set before the query was brought forward
			b.queryDiscovery()
		}
	default:
		if r := b.requests[timer]; r != nil && !r.done {
			r.reviewAt = 0
			b.review(now, r)
		}
	}
}

// hash returns a hash of s that is the same at every dispatcher and never 0.
func hash(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32() | 1
}

// seconds returns x seconds as a Duration, limited to 1e9 s so that it cannot overflow.
func seconds(x float64) time.Duration {
	return time.Duration(max(-1e9, min(1e9, x)) * float64(time.Second))
}
