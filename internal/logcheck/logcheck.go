// Package logcheck checks the guarantees of a fleet of real scheduler processes that ran under fault injection.
//
// Read extracts events from the log of one scheduler. Check merges the events of all schedulers on one
// timeline. It returns the periods in which each scheduler believed that it held a duty, and counts
// violations: two holders at once, lease numbers that do not increase, acts under stale numbers, and
// rules that contradict each other. The package starts no processes and injects no faults.
//
// docs/DUTIES.md describes the log records: slog's text format, with the time in the key at, in ms of the
// machine's clock. Times of different processes on one machine are comparable because they share that clock.
package logcheck

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"

	"github.com/go-logfmt/logfmt"

	"cottonwell/internal/faults"
)

// Kind is the type of an event.
type Kind string

// The kinds of events. All but the last two are the messages of log records.
const (
	DutyGained     Kind = "duty gained"
	DutyKept       Kind = "duty kept"
	DutyLost       Kind = "duty lost"
	ActTaken       Kind = "duty act taken"
	ActRefused     Kind = "duty act refused"
	TargetVerdict  Kind = "target judged"
	TenantVerdict  Kind = "tenant judged"
	RulesInForce   Kind = "rules in force"
	ProcessStarted Kind = "process began"
	ProcessEnded   Kind = "process ended"
)

// Event is one entry of the timeline.
type Event struct {
	At                   float64 // ms
	Scheduler            int
	Kind                 Kind
	Duty                 string
	Number               uint64
	Until                float64 // ms
	Cause                string
	DocumentA, DocumentB uint64 // RulesInForce: the documents of the version
	Strict               bool   // RulesInForce: the version is the strict form
}

// Read returns the events of one scheduler's log and ignores all other records. A malformed event is an
// error, because a skipped one could hide a violation.
func Read(scheduler int, log io.Reader) (events []Event, err error) {
	decoder := logfmt.NewDecoder(log)
	for line := 1; decoder.ScanRecord(); line++ {
		event, fields := Event{Scheduler: scheduler}, map[string]string{}
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
		switch event.Kind = Kind(fields["msg"]); event.Kind {
		case DutyGained, DutyKept, DutyLost, ActTaken, ActRefused, TargetVerdict, TenantVerdict, RulesInForce:
		default:
			continue
		}
		event.Duty, event.Cause = fields["duty"], fields["cause"]
		var parseErr error
		parseFloat := func(name string, required bool) float64 {
			x, err := strconv.ParseFloat(fields[name], 64)
			if err != nil && required {
				parseErr = cmp.Or(parseErr, fmt.Errorf("log of scheduler %d, line %d: %s: %w", scheduler, line, name, err))
			}
			return x
		}
		event.At, event.Until = parseFloat("at", true), parseFloat("until", event.Kind == DutyGained || event.Kind == DutyKept || event.Kind == RulesInForce)
		if event.Kind == RulesInForce {
			var errs [3]error
			event.DocumentA, errs[0] = strconv.ParseUint(fields["a"], 10, 64)
			event.DocumentB, errs[1] = strconv.ParseUint(fields["b"], 10, 64)
			event.Strict, errs[2] = strconv.ParseBool(fields["strict"])
			if err := errors.Join(errs[:]...); err != nil {
				parseErr = fmt.Errorf("log of scheduler %d, line %d: %w", scheduler, line, err)
			}
		}
		if event.Number, err = strconv.ParseUint(fields["number"], 10, 64); err != nil {
			parseErr = cmp.Or(parseErr, fmt.Errorf("log of scheduler %d, line %d: number: %w", scheduler, line, err))
		}
		if parseErr != nil {
			return nil, parseErr
		}
		events = append(events, event)
	}
	if err := decoder.Err(); err != nil {
		return nil, fmt.Errorf("log of scheduler %d: %w", scheduler, err)
	}
	return events, nil
}

// Holding is a period in which a scheduler believed that it held a duty.
type Holding struct {
	Duty       string  `json:"duty"`
	Scheduler  int     `json:"who"`
	Number     uint64  `json:"number"`
	From       float64 `json:"from_ms"` // since the beginning of the script
	To         float64 `json:"to_ms"`
	HandedOver bool    `json:"handed"` // ended by a handover
}

// Result holds the holdings of a run under faults and the counts of violations.
type Result struct {
	Script        faults.Script `json:"script"`
	Holdings      []Holding     `json:"holdings"`
	DoubleHolders int           `json:"double"`       // times that two schedulers believed at once that they held a duty
	NonIncreasing int           `json:"falling"`      // holdings whose number is not above all earlier ones of the duty
	ActsTaken     int           `json:"acts"`         // acts of holders that other schedulers accepted
	ActsRefused   int           `json:"refused_acts"` // acts that were refused because of their number
	StaleActs     int           `json:"old_acts"`     // acts accepted under an older number than that scheduler had accepted before
	Verdicts      int           `json:"judged"`       // new verdicts on targets and tenants that a scheduler accepted
	Unheld        int           `json:"unheld"`       // duties without a holder at the end
	Gaps          []float64     `json:"gaps_ms"`      // periods without a holder that did not begin with a handover
	HandoverGaps  []float64     `json:"handed_ms"`    // periods without a holder that began with a handover
	Rules         RulesResult   `json:"rules"`
}

// Violations returns how often a guarantee was violated.
func (r *Result) Violations() int {
	return r.DoubleHolders + r.NonIncreasing + r.StaleActs + r.Rules.Violations()
}

// Check derives the holdings from the events of all schedulers and counts violations of the guarantees: at
// any instant at most one scheduler believes that it holds a duty, the numbers of a duty increase, and no
// scheduler accepts an act under a stale number. Times in the result are relative to begin, in ms. duties
// lists the duties that must have a holder at end.
func Check(events []Event, duties []string, begin, end float64) *Result {
	r := &Result{Rules: checkRules(events, end)}
	slices.SortStableFunc(events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	type key struct {
		duty      string
		scheduler int
	}
	openHoldings := map[key]int{}
	newestNumber := map[key]uint64{}
	validUntil := map[key]float64{}
	closeHolding := func(k key, at float64, handedOver bool) {
		if i, ok := openHoldings[k]; ok {
			h := &r.Holdings[i]
			h.To, h.HandedOver = max(h.From, min(at, validUntil[k])-begin), handedOver
			delete(openHoldings, k)
		}
	}
	for _, e := range events {
		k := key{e.Duty, e.Scheduler}
		switch e.Kind {
		case DutyGained:
			closeHolding(k, e.At, false)
			newestNumber[k] = max(newestNumber[k], e.Number) // a holder has also seen its own number
			openHoldings[k], validUntil[k] = len(r.Holdings), e.Until
			r.Holdings = append(r.Holdings, Holding{Duty: e.Duty, Scheduler: e.Scheduler, Number: e.Number, From: e.At - begin})
		case DutyKept:
			validUntil[k] = max(validUntil[k], e.Until)
		case DutyLost:
			closeHolding(k, e.At, e.Cause == "handed on")
		case ActTaken:
			r.ActsTaken++
			if e.Number < newestNumber[k] {
				r.StaleActs++
			}
			newestNumber[k] = max(newestNumber[k], e.Number)
		case TargetVerdict, TenantVerdict:
			r.Verdicts++
			if e.Number < newestNumber[k] {
				r.StaleActs++
			}
		case ActRefused:
			r.ActsRefused++
		case ProcessEnded:
			for k := range newestNumber { // a restarted process has lost its state
				if k.scheduler == e.Scheduler {
					delete(newestNumber, k)
				}
			}
			for k := range openHoldings {
				if k.scheduler == e.Scheduler {
					closeHolding(k, e.At, false)
				}
			}
		}
	}
	for k := range openHoldings {
		closeHolding(k, end, false)
	}
	for _, duty := range duties {
		latest, newest := -1, uint64(0)
		heldAtEnd := false
		for i, h := range r.Holdings {
			if h.Duty != duty {
				continue
			}
			if h.Number <= newest {
				r.NonIncreasing++
			}
			newest = max(newest, h.Number)
			if latest >= 0 {
				switch gap := h.From - r.Holdings[latest].To; {
				case gap < 0:
					r.DoubleHolders++
				case r.Holdings[latest].HandedOver:
					r.HandoverGaps = append(r.HandoverGaps, gap)
				default:
					r.Gaps = append(r.Gaps, gap)
				}
			}
			if latest < 0 || h.To > r.Holdings[latest].To {
				latest = i
			}
			heldAtEnd = heldAtEnd || h.To >= end-begin-1
		}
		if !heldAtEnd {
			r.Unheld++
		}
	}
	return r
}

// Quantile returns the q-quantile of x, or 0 if x is empty.
func Quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(x))
	return s[min(len(s)-1, int(math.Floor(q*float64(len(s)))))]
}
