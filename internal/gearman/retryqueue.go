package gearman

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// Pause in milliseconds before a refused background job gets its next flow. It begins with minRetryDelayMS or the retry-after
// of the refusal, and doubles with each refusal up to maxRetryDelayMS. Up to retryJitter of it is added at random, as many
// jobs may be refused at the same moment.
const (
	minRetryDelayMS = 250.0
	maxRetryDelayMS = 4000.0
	retryJitter     = 0.5
)

// retryQueue holds the background jobs that were refused, and when each gets its next flow. It is a state machine without
// I/O, clock or goroutine. Its length is bounded by the memory that jobs may hold.
type retryQueue struct {
	rng     *rand.Rand
	entries []retryEntry // the next one first
}

// retryEntry is a job in the queue.
type retryEntry struct {
	job *job
	at  float64 // milliseconds
}

// newRetryQueue returns an empty queue. The seed decides its random pauses.
func newRetryQueue(seed string) retryQueue {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(seed))
	return retryQueue{rng: rand.New(rand.NewPCG(hash.Sum64(), 0))}
}

// add schedules the next flow of a job that was refused with a retry-after, in milliseconds, after so many tries.
func (q *retryQueue) add(now float64, j *job, retryAfter float64, tries int) {
	delay := max(minRetryDelayMS, min(retryAfter, maxRetryDelayMS))
	for ; tries > 1 && delay < maxRetryDelayMS; tries-- {
		delay *= 2
	}
	delay = min(delay, maxRetryDelayMS)
	q.insert(retryEntry{j, now + delay*(1+retryJitter*q.rng.Float64())})
}

func (q *retryQueue) insert(e retryEntry) {
	i, _ := slices.BinarySearchFunc(q.entries, e.at, func(x retryEntry, at float64) int {
		if x.at <= at {
			return -1
		}
		return 1
	})
	q.entries = slices.Insert(q.entries, i, e)
}

// remove takes a job out of the queue, and reports whether it was there.
func (q *retryQueue) remove(j *job) bool {
	length := len(q.entries)
	q.entries = slices.DeleteFunc(q.entries, func(e retryEntry) bool { return e.job == j })
	return len(q.entries) < length
}

// takeDue takes out the jobs that are due, in the order of their times.
func (q *retryQueue) takeDue(now float64) (due []*job) {
	for len(q.entries) > 0 && q.entries[0].at <= now {
		due = append(due, q.entries[0].job)
		q.entries = q.entries[1:]
	}
	return due
}

// makeAllDue makes each job due at once.
func (q *retryQueue) makeAllDue(now float64) {
	for i := range q.entries {
		q.entries[i].at = min(q.entries[i].at, now)
	}
}

// next returns when the next job is due.
func (q *retryQueue) next() (at float64, ok bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].at, true
}
