package room

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	points      = 33      // of a table of quantiles
	topQuantile = 0.995   // the last one
	unit        = 0.1     // milliseconds
	longestRun  = 600_000 // in units; longer ones count as this
	enough      = 20      // samples before a table is believed
	perWindow   = 512     // samples; older ones than two windows are forgotten
)

// times learns how long jobs run, at a target of average speed: a streaming histogram from
// which a table of quantiles is read now and then, as reading one is dear and asked for often.
type times struct {
	h     *hdrhistogram.WindowedHistogram
	n     int
	table [points]float64 // milliseconds, at the quantiles 0 to topQuantile
	known bool
}

func newTimes() *times { return &times{h: hdrhistogram.NewWindowed(2, 1, longestRun, 2)} }

// add takes in a running time in milliseconds, that of an average target.
func (t *times) add(ms float64) {
	// A figure out of range cannot be recorded, so it is brought into it.
	_ = t.h.Current.RecordValue(int64(min(longestRun, max(1, ms/unit))))
	t.n++
	if t.n%perWindow == 0 {
		t.read()
		t.h.Rotate()
	} else if t.n == enough || t.n < perWindow && t.n%64 == 0 || t.n%256 == 0 {
		t.read()
	}
}

func (t *times) read() {
	all := t.h.Merge()
	t.known = true
	for i := range t.table {
		t.table[i] = float64(all.ValueAtQuantile(100*topQuantile*float64(i)/(points-1))) * unit
	}
}

// at is the running time that a share q of the jobs stay under.
func (t *times) at(q float64) float64 {
	x := min(1, max(0, q/topQuantile)) * (points - 1)
	i := min(int(x), points-2)
	return t.table[i] + (x-float64(i))*(t.table[i+1]-t.table[i])
}

// share is how many of the jobs are over after so long.
func (t *times) share(ms float64) float64 {
	lo, hi := 0, points-1
	if ms < t.table[0] {
		return 0
	}
	if ms >= t.table[hi] {
		return topQuantile
	}
	for hi-lo > 1 {
		if mid := (lo + hi) / 2; t.table[mid] <= ms {
			lo = mid
		} else {
			hi = mid
		}
	}
	part := 0.0
	if d := t.table[hi] - t.table[lo]; d > 0 {
		part = (ms - t.table[lo]) / d
	}
	return topQuantile * (float64(lo) + part) / (points - 1)
}

// left is how much longer a job runs, at the quantile q, that has run for so long. One that
// outran all that was seen is given a quarter of that again: nobody knows when it ends.
func (t *times) left(q, ran float64) float64 {
	p := t.share(ran)
	if p >= topQuantile {
		return max(ran/4, 1)
	}
	return max(t.at(p+q*(1-p))-ran, 0)
}

// book holds what is learned, by class and slots.
type book struct {
	by  [][maxSizes]*times
	all *times
}

func newBook(classes int) *book {
	return &book{by: make([][maxSizes]*times, classes), all: newTimes()}
}

func (b *book) add(class, size int, ms float64) {
	if !(ms > 0) || math.IsInf(ms, 0) {
		return
	}
	if b.by[class][size] == nil {
		b.by[class][size] = newTimes()
	}
	b.by[class][size].add(ms)
	b.all.add(ms)
}

// of is what is known for a class and size; nil while nothing is.
func (b *book) of(class, size int) *times {
	if t := b.by[class][size]; t != nil && t.known {
		return t
	}
	if b.all.known {
		return b.all
	}
	return nil
}
