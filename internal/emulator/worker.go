// Package emulator simulates a site with its load: workers with slots, memory and a queue, clients,
// discovery, and a network that delays and drops messages.
//
// A Spec, read from an experiment file, describes the site. Simulation runs it in virtual time against
// schedulers in the same process and returns a Result: served requests, latencies, reservation
// counters and rule violations. The same Spec and seed give the same Result.
//
// The package does no I/O. Package emulatedsite runs the same workers and load on loopback sockets,
// against real scheduler processes.
package emulator

import (
	"math"
	"math/rand/v2"
)

// QueueOrder is the order in which a worker starts its queued jobs.
type QueueOrder int

// The queue orders.
const (
	FIFO       QueueOrder = iota // first come, first served; the first job waits until it fits
	Backfill                     // the first queued job that fits
	ByPriority                   // higher priority first; the first job waits until it fits
)

// WorkerSpec describes one worker.
type WorkerSpec struct {
	ID, Zone, Kind, Cell string
	Slots                int
	Memory               float64 // units; 0: unlimited
	Speed                float64
	Queue                int // maximum number of queued jobs; further jobs are rejected
	Order                QueueOrder
	ColdSpeed            float64 // share of Speed right after a start
	ColdDuration         float64 // ms after a start until full speed; the share rises linearly
	OverloadMultiple     float64 // a cold worker collapses above this multiple of its current capacity
	OverloadWindow       float64 // ms over which the offered work is summed for OverloadMultiple
	// WorkPerRequest, if positive, is the work (ms at speed 1) that each request counts for in the overload check. The
	// check then allows for random variation as the platform does. 0: the check sums the actual work of the jobs.
	WorkPerRequest float64
}

// Job is one attempt to run on a worker.
type Job struct {
	Ref        uint64 // the host's identifier of the attempt
	Slots      int
	Memory     float64 // units used while it runs
	Work       float64 // run time in ms at speed 1
	Priority   int
	StartKnown bool // discovery had announced the worker's last start to the scheduler
}

// JobEvent reports a change of state of a job.
type JobEvent struct {
	Ref  uint64
	Kind JobEventKind
}

// JobEventKind is the kind of a JobEvent.
type JobEventKind int

// The kinds of job events.
const (
	Started JobEventKind = iota
	Done
	Lost // the worker's process was killed
)

type runningJob struct {
	Job
	endsAt float64
}

type offer struct {
	at, work   float64
	startKnown bool
}

// Worker is the state of one emulated worker. It starts no goroutine and takes no lock; its host must
// serialize all calls and pass times that don't decrease. Times are milliseconds on the host's clock.
type Worker struct {
	WorkerSpec
	Up             bool
	Draining       bool
	Collapsed      bool
	FailShare      float64 // share of the offered jobs that fail immediately
	StartedAt      float64 // ms, last start; 0: long ago, so the worker is warm
	rng            *rand.Rand
	running        []runningJob
	queue          []Job
	pausedUntil    float64 // ms
	recentOffers   []offer // within OverloadWindow, while cold
	BusySlotMillis float64 // run time of the finished jobs times their slots, at this worker's full speed
}

// NewWorker returns a warm worker that is up.
func NewWorker(s WorkerSpec, seed uint64) *Worker {
	return &Worker{WorkerSpec: s, Up: true, rng: rand.New(rand.NewPCG(seed, 0xa076))}
}

// SpeedShare returns the current share of the full speed: less than 1 while the worker is cold.
func (w *Worker) SpeedShare(now float64) float64 {
	if w.StartedAt == 0 || w.ColdDuration <= 0 || now-w.StartedAt >= w.ColdDuration {
		return 1
	}
	return w.ColdSpeed + (1-w.ColdSpeed)*max(0, now-w.StartedAt)/w.ColdDuration
}

// OfferResult is the worker's response to an offered job.
type OfferResult int

// The offer results.
const (
	Accepted    OfferResult = iota
	Rejected                // the job doesn't fit, the queue is full or the worker drains; the job never ran
	Failed                  // an error of the worker; the job may have run
	Unreachable             // the process is down or collapsed
)

// Offer offers a job to the worker. Advance or Kill reports the end of an accepted job.
func (w *Worker) Offer(now float64, j Job) OfferResult {
	switch {
	case !w.Up || w.Collapsed:
		return Unreachable
	case w.overloads(now, j):
		w.Collapsed = true
		return Unreachable
	case w.FailShare > 0 && w.rng.Float64() < w.FailShare:
		return Failed
	case w.Draining || j.Slots > w.Slots || w.Memory > 0 && j.Memory > w.Memory || len(w.queue) >= w.Queue:
		return Rejected
	}
	at := len(w.queue)
	if w.Order == ByPriority {
		for at > 0 && w.queue[at-1].Priority < j.Priority {
			at--
		}
	}
	w.queue = append(w.queue, Job{})
	copy(w.queue[at+1:], w.queue[at:])
	w.queue[at] = j
	return Accepted
}

// overloads reports whether this job overloads a cold worker. It records the job as a recent offer.
func (w *Worker) overloads(now float64, j Job) bool {
	speedShare := w.SpeedShare(now)
	if speedShare >= 1 || w.OverloadMultiple <= 0 {
		w.recentOffers = w.recentOffers[:0]
		return false
	}
	offeredWork := 0.0
	recent := w.recentOffers[:0]
	for _, x := range w.recentOffers {
		if x.at > now-w.OverloadWindow {
			recent = append(recent, x)
			offeredWork += x.work
		}
	}
	work := j.Work * float64(j.Slots)
	if w.WorkPerRequest > 0 {
		work = w.WorkPerRequest
	}
	w.recentOffers = append(recent, offer{now, work, j.StartKnown})
	offeredWork += work
	allowed := w.OverloadMultiple * speedShare * w.Speed * float64(w.Slots) * w.OverloadWindow
	if w.WorkPerRequest > 0 {
		requests := allowed / w.WorkPerRequest
		return offeredWork/w.WorkPerRequest > requests+2*math.Sqrt(requests)+2
	}
	slack := 2 * work // allows for random variation
	return offeredWork > allowed+slack
}

// startKnownShare returns the share of the recent offers that came from schedulers to which discovery had announced
// the worker's last start.
func (w *Worker) startKnownShare() float64 {
	known := 0
	for _, x := range w.recentOffers {
		if x.startKnown {
			known++
		}
	}
	return float64(known) / float64(max(1, len(w.recentOffers)))
}

// NextEvent returns the time (ms) of the next start or end of a job, or infinity if there is none.
func (w *Worker) NextEvent(now float64) float64 {
	next := math.Inf(1)
	for i := range w.running {
		next = min(next, w.running[i].endsAt)
	}
	if len(w.queue) > 0 && w.nextStartable() >= 0 {
		next = min(next, max(now, w.pausedUntil))
	}
	return next
}

// Advance simulates the worker up to the given time and reports each start and end of a job.
// A queued job can start at the moment at which another job ends and releases its slots.
func (w *Worker) Advance(now float64, report func(at float64, n JobEvent)) {
	for {
		at := w.NextEvent(now)
		if !(at <= now) {
			return
		}
		for i := 0; i < len(w.running); i++ {
			if w.running[i].endsAt <= at {
				job := w.running[i]
				w.running = append(w.running[:i], w.running[i+1:]...)
				i--
				w.BusySlotMillis += job.Work * float64(job.Slots) / w.Speed
				report(job.endsAt, JobEvent{job.Ref, Done})
			}
		}
		for at >= w.pausedUntil {
			i := w.nextStartable()
			if i < 0 {
				break
			}
			j := w.queue[i]
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			w.running = append(w.running, runningJob{j, at + j.Work/(w.Speed*w.SpeedShare(at))})
			report(at, JobEvent{j.Ref, Started})
		}
	}
}

// nextStartable returns the queue index of the job that starts next, or -1 if no job can start.
func (w *Worker) nextStartable() int {
	slots, memory := w.freeCapacity()
	for i, j := range w.queue {
		if j.Slots <= slots && (w.Memory <= 0 || j.Memory <= memory+1e-9) {
			return i
		}
		if w.Order != Backfill {
			return -1
		}
	}
	return -1
}

func (w *Worker) freeCapacity() (slots int, memory float64) {
	slots, memory = w.Slots, w.Memory
	for i := range w.running {
		slots -= w.running[i].Slots
		memory -= w.running[i].Memory
	}
	return slots, memory
}

// Pause stops the worker for ms milliseconds. All running jobs end that much later, and none starts.
func (w *Worker) Pause(now, ms float64) {
	w.pausedUntil = max(w.pausedUntil, now+ms)
	for i := range w.running {
		w.running[i].endsAt += ms
	}
}

// Kill ends the worker's process and reports all running and queued jobs as lost.
func (w *Worker) Kill(now float64, report func(at float64, n JobEvent)) {
	w.Up = false
	for _, r := range w.running {
		report(now, JobEvent{r.Ref, Lost})
	}
	for _, j := range w.queue {
		report(now, JobEvent{j.Ref, Lost})
	}
	w.running, w.queue = nil, nil
}

// Restart starts the worker's process again, cold and without jobs.
func (w *Worker) Restart(now float64) {
	w.Up, w.Collapsed, w.Draining, w.StartedAt, w.pausedUntil, w.FailShare = true, false, false, now, 0, 0
	w.running, w.queue, w.recentOffers = nil, nil, nil
}

// Load is the current load of a worker: numbers of jobs, slots and memory units.
type Load struct{ InFlight, Queued, FreeSlots, FreeMemory float64 }

// Load returns the exact load, without delay or noise.
func (w *Worker) Load() Load {
	s, m := w.freeCapacity()
	return Load{float64(len(w.running) + len(w.queue)), float64(len(w.queue)), float64(s), m}
}
