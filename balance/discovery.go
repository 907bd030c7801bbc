package balance

import (
	"math/rand/v2"
	"time"
)

// Pacing of the queries for the worker list. Discovery is one service for the whole fleet. It processes
// queries one after the other, abandoned ones too. A fleet that queries at once, or faster than discovery can
// respond, keeps discovery busy with queries that fail.
const (
	// After the end of a watch the next query waits at least watchReopenMin. The longest wait is
	// watchReopenPerDispatcher for each dispatcher, between watchReopenMaxSmall and watchReopenMaxLarge.
	watchReopenMin           = 100 * time.Millisecond
	watchReopenMaxSmall      = 300 * time.Millisecond
	watchReopenPerDispatcher = 100 * time.Millisecond
	watchReopenMaxLarge      = 6 * time.Second

	// Isolated dispatchers spread their first query if there are at least firstQuerySpreadFleet of them. The
	// longest wait is firstQueryPerDispatcher for each dispatcher, but not over firstQueryMax.
	firstQuerySpreadFleet   = 20
	firstQueryPerDispatcher = 50 * time.Millisecond
	firstQueryMax           = 3 * time.Second

	// After a failed query the mean wait is queryRetryMean. Where dispatchers exchange messages it doubles
	// with each further failure, up to queryRetryPerDispatcher for each dispatcher.
	queryRetryMean          = 4 * time.Second
	queryRetryPerDispatcher = 100 * time.Millisecond
	queryRetryJitter        = 0.5 // largest random deviation, as a share of the mean

	timerTolerance = time.Millisecond // a timer may fire this much early, as hosts round
)

// discoveryPacer decides when this dispatcher queries discovery for the worker list.
type discoveryPacer struct {
	outstanding  bool // a query is in flight or its watch is open
	listReceived bool // discovery sent a list, and the watch has not ended since
	peerHintUsed bool // a hint was received since discovery last sent this dispatcher a list
	failures     int  // failed queries in a row
	nextAt       time.Duration
}

// firstDelay returns the wait before the first query. It spreads the queries of many isolated dispatchers
// that start at once, as each of them needs its own response.
func (p *discoveryPacer) firstDelay(now time.Duration, s *Settings, rng *rand.Rand) time.Duration {
	if !s.isolated() || s.Fleet < firstQuerySpreadFleet {
		return 0
	}
	wait := time.Duration(rng.Float64() *
		float64(min(time.Duration(s.Fleet)*firstQueryPerDispatcher, firstQueryMax)))
	p.nextAt = now + wait
	return wait
}

// begin records the start of a query. It returns false if one is outstanding already.
func (p *discoveryPacer) begin() bool {
	if p.outstanding {
		return false
	}
	p.outstanding = true
	return true
}

// received records a list sent by discovery.
func (p *discoveryPacer) received() {
	*p = discoveryPacer{outstanding: p.outstanding, listReceived: true}
}

// failed records that a query failed or its watch ended, and returns the wait before the next query. If
// MaxQueryInterval is 0, discovery is an agent on this machine and is queried again soon.
func (p *discoveryPacer) failed(now time.Duration, s *Settings, rng *rand.Rand) time.Duration {
	wait := p.retryDelay(s, rng)
	if p.listReceived {
		wait = watchReopenDelay(s.Fleet, rng)
	}
	p.outstanding, p.listReceived = false, false
	wait = min(wait, max(time.Second/10, 2*s.MaxQueryInterval))
	p.nextAt = now + wait
	return wait
}

// retryDelay returns the wait after one more failed query.
func (p *discoveryPacer) retryDelay(s *Settings, rng *rand.Rand) time.Duration {
	longest := queryRetryMean
	if !s.isolated() {
		longest = max(longest, time.Duration(s.Fleet)*queryRetryPerDispatcher)
	}
	mean := queryRetryMean
	for n := 0; n < p.failures && mean < longest; n++ {
		mean *= 2
	}
	p.failures++
	return jitter(min(mean, longest), queryRetryJitter, rng)
}

// watchReopenDelay returns the wait after a watch ended. It is random, as the watches of all dispatchers end
// together.
func watchReopenDelay(fleet int, rng *rand.Rand) time.Duration {
	longest := max(watchReopenMaxSmall,
		min(time.Duration(fleet)*watchReopenPerDispatcher, watchReopenMaxLarge))
	return watchReopenMin + time.Duration(rng.Float64()*float64(longest-watchReopenMin))
}

// isDue reports whether it is time for the next query.
func (p *discoveryPacer) isDue(now time.Duration) bool { return now >= p.nextAt-timerTolerance }

// peerHint records that discovery responded to another dispatcher. If this brings the next query forward, it
// returns the new wait and true. It does so only once between two lists from discovery, as discovery may
// respond to few dispatchers and not to this one.
func (p *discoveryPacer) peerHint(
	now time.Duration, fleet int, rng *rand.Rand,
) (wait time.Duration, sooner bool) {
	if p.outstanding || p.listReceived || p.peerHintUsed || p.failures == 0 {
		return 0, false
	}
	p.peerHintUsed, p.failures = true, 0
	if wait = watchReopenDelay(fleet, rng); now+wait >= p.nextAt {
		return 0, false
	}
	p.nextAt = now + wait
	return wait, true
}

// jitter returns a random duration that differs from mean by at most share x mean.
func jitter(mean time.Duration, share float64, rng *rand.Rand) time.Duration {
	return time.Duration(float64(mean) * (1 - share + 2*share*rng.Float64()))
}
