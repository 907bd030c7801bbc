package target

import "sync"

// idleStats learns for how long a connection may be idle before reuse becomes risky. Targets and intermediaries may
// drop an idle connection without notice, long before the limit in the settings. The next request on it then ends
// as a reset, and a purchase that may have run can no longer move to another pod. Breaks that occur at any idle
// time are no evidence about idleness, so idle times are compared with one another.
type idleStats struct {
	mu       sync.Mutex
	buckets  [len(bucketEnds) + 1]idleBucket
	halvedAt float64
}

// idleBucket counts the requests on connections of similar idle time, by whether the connection broke.
type idleBucket struct{ intact, broken float64 }

// bucketEnds are the upper bounds of the idle-time buckets, in milliseconds.
var bucketEnds = [...]float64{25, 50, 100, 200, 400, 800, 1600, 3200, 6400}

const (
	statsHalfLife  = 10_000.0 // milliseconds after which all counts are halved, so that long idle times are tried again
	maxExtraBroken = 0.15     // share of breaks above the first bucket's share, from which the risk outweighs a saved handshake
	minBroken      = 3.0      // breaks in a bucket before it limits the idle time
)

func bucketIndex(idleTime float64) int {
	for i, end := range bucketEnds {
		if idleTime < end {
			return i
		}
	}
	return len(bucketEnds)
}

// record counts a request on a connection that had been idle for idleTime milliseconds, and whether the connection
// broke.
func (r *idleStats) record(now, idleTime float64, broke bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.halvedAt > statsHalfLife {
		r.halvedAt = now
		for i := range r.buckets {
			r.buckets[i].intact /= 2
			r.buckets[i].broken /= 2
		}
	}
	if bucket := &r.buckets[bucketIndex(idleTime)]; broke {
		bucket.broken++
	} else {
		bucket.intact++
	}
}

// limit returns the idle time in milliseconds up to which a connection may be reused, at most longest.
func (r *idleStats) limit(longest float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	baseline := r.buckets[0].brokenShare()
	for i := 1; i < len(r.buckets); i++ {
		if bucket := r.buckets[i]; bucket.broken >= minBroken && bucket.brokenShare() > baseline+maxExtraBroken {
			return min(longest, bucketEnds[i-1])
		}
	}
	return longest
}

// brokenShare is the share of requests whose connection broke. The 1 in the divisor lowers it while there are few.
func (r idleBucket) brokenShare() float64 { return r.broken / (r.intact + r.broken + 1) }
