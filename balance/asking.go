package balance

import (
	"math/rand/v2"
	"time"
)

// How calls for the worker list are paced. Discovery is one service for the whole fleet, takes calls in
// turn, and works on those that were given up, too: a fleet that calls at once, or more often than it can
// answer, keeps it busy with calls that fail.
const (
	reopenLeast = 100 * time.Millisecond // from the end of a watch to the next call, up to
	reopenMost  = 300 * time.Millisecond // in a small fleet, and in a large one
	reopenEach  = 100 * time.Millisecond // for each dispatcher, up to
	reopenLast  = 6 * time.Second
	startMany   = 20                    // dispatchers, from which on first calls are spread
	startEach   = 50 * time.Millisecond // for each dispatcher, up to
	startLast   = 3 * time.Second
	repeatMean  = 4 * time.Second        // from a call that failed to the next; doubled with each further,
	repeatEach  = 100 * time.Millisecond // up to this for each dispatcher, where others pass words on
	repeatShare = 0.5                    // of the mean, at random less or more
	early       = time.Millisecond       // by which a timer may ring: hosts round
)

// asking is when this dispatcher calls discovery for the list.
type asking struct {
	out      bool // a call is out, or its watch is open
	answered bool // by discovery, and the watch has not ended since
	hinted   bool // another dispatcher was answered since this one was
	failures int  // calls in a row that failed
	due      time.Duration
}

// start returns how long to wait before the first call: many may start at once, where each has to be
// answered itself.
func (a *asking) start(now time.Duration, s *Settings, rng *rand.Rand) time.Duration {
	if !s.apart() || s.Fleet < startMany {
		return 0
	}
	wait := time.Duration(rng.Float64() * float64(min(time.Duration(s.Fleet)*startEach, startLast)))
	a.due = now + wait
	return wait
}

// begin notes that a call goes out, and says whether it may.
func (a *asking) begin() bool {
	if a.out {
		return false
	}
	a.out = true
	return true
}

// heard notes a list of discovery's.
func (a *asking) heard() { *a = asking{out: a.out, answered: true} }

// failed notes that a call failed or its watch ended, and returns how long to wait before the next one.
// Without a time to ask within the agent that answers is this machine's, and is asked again soon.
func (a *asking) failed(now time.Duration, s *Settings, rng *rand.Rand) time.Duration {
	wait := a.repeat(s, rng)
	if a.answered {
		wait = reopen(s.Fleet, rng)
	}
	a.out, a.answered = false, false
	wait = min(wait, max(time.Second/10, 2*s.AskWithin))
	a.due = now + wait
	return wait
}

// repeat is the wait after one more call that failed.
func (a *asking) repeat(s *Settings, rng *rand.Rand) time.Duration {
	most := repeatMean
	if !s.apart() {
		most = max(most, time.Duration(s.Fleet)*repeatEach)
	}
	mean := repeatMean
	for n := 0; n < a.failures && mean < most; n++ {
		mean *= 2
	}
	a.failures++
	return between(min(mean, most), repeatShare, rng)
}

// reopen is the wait after a watch ended: that of the others ended with it.
func reopen(fleet int, rng *rand.Rand) time.Duration {
	most := max(reopenMost, min(time.Duration(fleet)*reopenEach, reopenLast))
	return reopenLeast + time.Duration(rng.Float64()*float64(most-reopenLeast))
}

// isDue says whether it is time for the next call.
func (a *asking) isDue(now time.Duration) bool { return now >= a.due-early }

// hint notes that another dispatcher was answered, and returns how long to wait before the next call if
// that is sooner now. Once between two answers of its own: discovery may answer few, and not this one.
func (a *asking) hint(now time.Duration, fleet int, rng *rand.Rand) (wait time.Duration, sooner bool) {
	if a.out || a.answered || a.hinted || a.failures == 0 {
		return 0, false
	}
	a.hinted, a.failures = true, 0
	if wait = reopen(fleet, rng); now+wait >= a.due {
		return 0, false
	}
	a.due = now + wait
	return wait, true
}

func between(mean time.Duration, share float64, rng *rand.Rand) time.Duration {
	return time.Duration(float64(mean) * (1 - share + 2*share*rng.Float64()))
}
