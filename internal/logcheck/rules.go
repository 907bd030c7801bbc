package logcheck

import (
	"cmp"
	"math"
	"slices"
)

// RulesResult holds the version changes of the agreed rules in a run and the counts of violations.
type RulesResult struct {
	Changes         int       `json:"changes"`         // times that a scheduler switched to another version
	Contradictions  []float64 `json:"contradict_ms"`   // periods in which two schedulers applied contradicting versions
	Regressions     int       `json:"falling"`         // times that a scheduler went back to an older number
	NumberConflicts int       `json:"two_of_a_number"` // versions with the number of a different version
	StrictTime      float64   `json:"strict_ms"`       // total time that schedulers applied a strict form, in ms
	Documents       int       `json:"documents"`       // distinct documents that some scheduler applied
	FinalVersions   int       `json:"last_versions"`   // distinct versions that are applied at the end
}

// Violations returns how often a guarantee about rules was violated.
func (r *RulesResult) Violations() int {
	return len(r.Contradictions) + r.Regressions + r.NumberConflicts
}

// rulesPeriod is a period in which a scheduler applies one version.
type rulesPeriod struct {
	scheduler    int
	from, to     float64 // ms
	number, a, b uint64
	strict       bool
}

// compatible reports whether two versions share a document: one is then the strict form of the other, or
// the transition to it.
func (x *rulesPeriod) compatible(y *rulesPeriod) bool {
	shared := func(d uint64) bool { return d != 0 && (d == y.a || d == y.b) }
	return shared(x.a) || shared(x.b)
}

// checkRules derives the periods in which each scheduler reported that it applied a version, and finds periods
// that overlap with contradicting versions. It assumes that any two documents contradict each other, as those
// of an experiment do. A strict form contradicts no version.
func checkRules(events []Event, end float64) (r RulesResult) {
	var periods []*rulesPeriod
	current, versions, documents := map[int]*rulesPeriod{}, map[uint64][2]uint64{}, map[uint64]bool{}
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	for _, e := range sorted {
		period := current[e.Scheduler]
		if e.Kind == ProcessEnded && period != nil {
			period.to = min(period.to, e.At)
			delete(current, e.Scheduler)
		}
		if e.Kind != RulesInForce {
			continue
		}
		until := e.Until
		if e.Strict {
			until = end
		}
		if period != nil && period.number == e.Number && period.a == e.DocumentA && period.b == e.DocumentB && period.strict == e.Strict {
			period.to = max(period.to, until)
			continue
		}
		if period != nil {
			period.to = min(period.to, e.At)
			if e.Number < period.number {
				r.Regressions++
			}
		}
		r.Changes++
		if earlier, known := versions[e.Number]; e.Number > 0 && known && earlier != [2]uint64{e.DocumentA, e.DocumentB} {
			r.NumberConflicts++
		}
		versions[e.Number] = [2]uint64{e.DocumentA, e.DocumentB}
		documents[e.DocumentA] = true
		period = &rulesPeriod{scheduler: e.Scheduler, from: e.At, to: until, number: e.Number, a: e.DocumentA, b: e.DocumentB, strict: e.Strict}
		current[e.Scheduler] = period
		periods = append(periods, period)
	}
	r.Documents = len(documents)
	finalVersions := map[[2]uint64]bool{}
	for i, x := range periods {
		x.to = min(x.to, end)
		if x.strict {
			r.StrictTime += max(0, x.to-x.from)
		} else if x.to >= end {
			finalVersions[[2]uint64{x.a, x.b}] = true
		}
		for _, y := range periods[:i] {
			overlap := math.Min(x.to, y.to) - math.Max(x.from, y.from)
			if overlap > 0 && x.scheduler != y.scheduler && !x.strict && !y.strict && !x.compatible(y) {
				r.Contradictions = append(r.Contradictions, overlap)
			}
		}
	}
	r.FinalVersions = len(finalVersions)
	return r
}
