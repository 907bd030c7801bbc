package backfill

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	quantilePoints   = 33      // points of a table of quantiles
	maxQuantile      = 0.995   // quantile of the last point
	histogramUnit    = 0.1     // ms
	maxRunTime       = 600_000 // in histogram units; longer run times count as this
	minSamples       = 20      // before a table is used
	samplesPerWindow = 512     // samples older than two windows are discarded
)

// runTimes learns how long jobs run at a target of average speed. It has a streaming histogram and a
// table of its quantiles. The table is refreshed periodically, as quantiles are needed often and
// computing one from the histogram is expensive.
type runTimes struct {
	histogram *hdrhistogram.WindowedHistogram
	samples   int
	table     [quantilePoints]float64 // ms, at the quantiles 0 to maxQuantile
	known     bool                    // the table has enough samples
}

func newRunTimes() *runTimes {
	return &runTimes{histogram: hdrhistogram.NewWindowed(2, 1, maxRunTime, 2)}
}

// add records a run time in ms, converted to that at an average target.
func (t *runTimes) add(ms float64) {
	// The histogram rejects values out of its range, so they are clamped.
	_ = t.histogram.Current.RecordValue(int64(min(maxRunTime, max(1, ms/histogramUnit))))
	t.samples++
	if t.samples%samplesPerWindow == 0 {
		t.refreshTable()
		t.histogram.Rotate()
	} else if t.samples == minSamples || t.samples < samplesPerWindow && t.samples%64 == 0 || t.samples%256 == 0 {
		t.refreshTable()
	}
}

// refreshTable computes the table of quantiles from the histogram.
func (t *runTimes) refreshTable() {
	merged := t.histogram.Merge()
	t.known = true
	for i := range t.table {
		t.table[i] = float64(merged.ValueAtQuantile(100*maxQuantile*float64(i)/(quantilePoints-1))) * histogramUnit
	}
}

// quantile returns the run time, in ms, below which a share q of the jobs stay.
func (t *runTimes) quantile(q float64) float64 {
	position := min(1, max(0, q/maxQuantile)) * (quantilePoints - 1)
	i := min(int(position), quantilePoints-2)
	return t.table[i] + (position-float64(i))*(t.table[i+1]-t.table[i])
}

// cumulative returns the share of the jobs that end within the given time.
func (t *runTimes) cumulative(ms float64) float64 {
	lo, hi := 0, quantilePoints-1
	if ms < t.table[0] {
		return 0
	}
	if ms >= t.table[hi] {
		return maxQuantile
	}
	for hi-lo > 1 {
		if mid := (lo + hi) / 2; t.table[mid] <= ms {
			lo = mid
		} else {
			hi = mid
		}
	}
	fraction := 0.0
	if d := t.table[hi] - t.table[lo]; d > 0 {
		fraction = (ms - t.table[lo]) / d
	}
	return maxQuantile * (float64(lo) + fraction) / (quantilePoints - 1)
}

// remaining returns how much longer a job runs, in ms, at the quantile q, given the time elapsed since its
// start. If that exceeds all known run times the end is unknown, and a quarter of the elapsed time is
// assumed.
func (t *runTimes) remaining(q, elapsed float64) float64 {
	elapsedShare := t.cumulative(elapsed)
	if elapsedShare >= maxQuantile {
		return max(elapsed/4, 1)
	}
	return max(t.quantile(elapsedShare+q*(1-elapsedShare))-elapsed, 0)
}

// runTimeTable contains the learned run times by class and size, and of all jobs.
type runTimeTable struct {
	byClass [][maxSizes]*runTimes
	all     *runTimes
}

func newRunTimeTable(classes int) *runTimeTable {
	return &runTimeTable{byClass: make([][maxSizes]*runTimes, classes), all: newRunTimes()}
}

// add records a run time in ms of a job of the given class and size. It ignores invalid values.
func (b *runTimeTable) add(class, size int, ms float64) {
	if !(ms > 0) || math.IsInf(ms, 0) {
		return
	}
	if b.byClass[class][size] == nil {
		b.byClass[class][size] = newRunTimes()
	}
	b.byClass[class][size].add(ms)
	b.all.add(ms)
}

// find returns the run times of a class and size, or of all jobs if those are not known yet. It
// returns nil if neither is known.
func (b *runTimeTable) find(class, size int) *runTimes {
	if learned := b.byClass[class][size]; learned != nil && learned.known {
		return learned
	}
	if b.all.known {
		return b.all
	}
	return nil
}
