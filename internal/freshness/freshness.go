// Package freshness decides which targets of the last known list may be sent to while discovery does not answer.
//
// Each target holds a lease. News on an open watch renews the leases of all targets; a probe that the target answers as
// ready renews that target's own. A target whose lease has run out is withheld until it is confirmed again, and so is
// one that answers a probe as not ready. While the watch is open there is nothing to decide, and nothing is withheld.
//
// The table is a state machine without I/O, clock or goroutine: events go in with the time at which they happened, and
// actions come out. Times are milliseconds on the caller's clock. It holds one entry for each listed target, and begins
// few probes in ReviewEvery: all schedulers lose discovery in the same moment, and targets that
// are probed by all at once look busy to everybody.
package freshness

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Config sets a Table up.
type Config struct {
	// LeaseFor is for how long a target may be sent to after it was known to serve, in milliseconds.
	LeaseFor float64
	// StartFor is for how long the list that a new process starts with is trusted while its first call to discovery is
	// under way, in milliseconds. A first call that fails ends that trust at once.
	StartFor float64
	// RenewAhead is how long before the end of a lease a probe is sent to renew it, in milliseconds.
	RenewAhead float64
	// RetryAfter is the pause before a target that was not confirmed is probed again, in milliseconds.
	RetryAfter float64
	// ProbesAtOnce bounds the probes that are out.
	ProbesAtOnce int
	// Confirmed is how many targets are kept confirmed, nearest on the ring to Place first.
	Confirmed int
	// Place is this scheduler's place on the sorted ring of targets, from 0 to 1.
	Place float64
}

// check returns an error that names the first impossible figure.
func (c *Config) check() error {
	switch {
	case !(c.LeaseFor > 0) || !(c.StartFor >= 0):
		return fmt.Errorf("freshness: leases of %g ms, %g ms at the start", c.LeaseFor, c.StartFor)
	case !(c.RenewAhead >= 0) || c.RenewAhead >= c.LeaseFor:
		return fmt.Errorf("freshness: renewed %g ms ahead of the end of a lease of %g ms", c.RenewAhead, c.LeaseFor)
	case !(c.RetryAfter > 0):
		return fmt.Errorf("freshness: a pause of %g ms between probes", c.RetryAfter)
	case c.ProbesAtOnce < 1 || c.Confirmed < 1:
		return errors.New("freshness: no probe, or no target to keep confirmed")
	case !(c.Place >= 0 && c.Place < 1):
		return fmt.Errorf("freshness: the place %g on the ring", c.Place)
	}
	return nil
}

// Answer is what came of a probe.
type Answer int

// The answers to a probe.
const (
	Serving  Answer = iota // the target takes new work
	NotReady               // the target runs and takes no new work: it drains
	Silent                 // no answer, or no connection
)

// ActionKind tells actions apart.
type ActionKind int

// The kinds of actions.
const (
	Probe    ActionKind = iota // ask the target whether it serves; Probed is owed for it
	Withhold                   // send nothing new to the target
	Release                    // the target may be sent to again
)

// Action is one thing that the caller must do.
type Action struct {
	Kind   ActionKind
	Target string
}

// target is what is known of one listed target.
type target struct {
	id          string
	confirmedAt float64 // when the last probe that it answered as serving was sent
	probedAt    float64 // when the last probe was sent
	probing     bool    // a probe of this table is out
	notReady    bool    // the last answer said so
	withheld    bool
}

// Table holds the leases of one discovery source.
type Table struct {
	cfg     Config
	ring    []*target // sorted by name
	open    bool      // a watch is open
	heardAt float64   // the last sign of life on a watch
	startAt float64   // when the first list was loaded
	called  bool      // the first call to discovery has ended
	probing int       // probes out
}

var never = math.Inf(-1)

// New returns an empty Table, or an error that says which figure is impossible.
func New(cfg Config) (*Table, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Table{cfg: cfg, heardAt: never, startAt: never}, nil
}

// Loaded tells of the list that a new process starts with, before discovery was asked.
func (t *Table) Loaded(now float64, names []string) []Action {
	t.startAt = now
	t.replace(names)
	return t.review(now)
}

// Heard tells that discovery has answered and its watch is open, and which targets are to be sent to by its list.
func (t *Table) Heard(now float64, serving []string) []Action {
	t.open, t.called, t.heardAt = true, true, now
	t.replace(serving)
	for _, x := range t.ring {
		x.notReady = false
	}
	return t.review(now)
}

// Lost tells that a call to discovery failed or that its watch ended, and when the last sign of life came on it (0 if
// none came).
func (t *Table) Lost(now, lastSign float64) []Action {
	t.open, t.called = false, true
	if lastSign > 0 {
		t.heardAt = max(t.heardAt, lastSign)
	}
	return t.review(now)
}

// Probed tells of the answer to a probe that was sent at a time, whoever asked for it.
func (t *Table) Probed(now, sentAt float64, name string, answer Answer) []Action {
	i, known := t.find(name)
	if !known {
		return nil
	}
	x := t.ring[i]
	if x.probing {
		x.probing = false
		t.probing--
	}
	x.probedAt = max(x.probedAt, sentAt)
	switch answer {
	case Serving:
		x.confirmedAt, x.notReady = max(x.confirmedAt, sentAt), false
	case NotReady:
		x.notReady = !t.open // while the watch is open the list decides
	}
	return t.review(now)
}

// Due does what time brings: leases that run out, and probes. Call it at Next at the latest. requests is how many of them
// have no final answer yet: as many more targets are kept confirmed.
func (t *Table) Due(now float64, requests int) []Action {
	actions := t.review(now)
	if starting := !t.called && now < t.startAt+t.cfg.StartFor; t.open || starting {
		return actions
	}
	return t.renew(now, t.cfg.Confirmed+requests, actions)
}

// Next is when Due has to be called at the latest; infinite while there is nothing to wait for.
func (t *Table) Next(now float64) float64 {
	if t.open || len(t.ring) == 0 {
		return math.Inf(1)
	}
	at := now + ReviewEvery
	for _, x := range t.ring {
		if end := t.until(x); !x.withheld && end > now {
			at = min(at, end)
		}
	}
	return at
}

// ReviewEvery is the pause between two reviews while no watch is open, in milliseconds. Until gives the exact end of each
// lease to whoever sends, so that a late review lets nothing through.
const ReviewEvery = 50.0

// probesPerReview bounds the probes that begin in one review.
const probesPerReview = 2

// Until is until when a target may be sent to; infinite while the watch is open, in the past if it is withheld.
func (t *Table) Until(name string) float64 {
	i, known := t.find(name)
	switch {
	case t.open:
		return math.Inf(1)
	case !known:
		return never
	}
	return t.until(t.ring[i])
}

// Withheld says whether a target was withheld and not released since.
func (t *Table) Withheld(name string) bool {
	i, known := t.find(name)
	return known && t.ring[i].withheld
}

// Withholds is how many targets are withheld.
func (t *Table) Withholds() int {
	n := 0
	for _, x := range t.ring {
		if x.withheld {
			n++
		}
	}
	return n
}

func (t *Table) until(x *target) float64 {
	if x.notReady {
		return never
	}
	byList := t.heardAt + t.cfg.LeaseFor
	if !t.called {
		byList = t.startAt + t.cfg.StartFor
	}
	return max(byList, x.confirmedAt+t.cfg.LeaseFor)
}

func (t *Table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.ring, name, func(x *target, name string) int { return strings.Compare(x.id, name) })
}

// replace takes over a list, and keeps what is known of targets that stay.
func (t *Table) replace(names []string) {
	ring := make([]*target, 0, len(names))
	names = slices.Clone(names)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if i, known := t.find(name); known {
			ring = append(ring, t.ring[i])
			continue
		}
		ring = append(ring, &target{id: name, confirmedAt: never, probedAt: never})
	}
	t.ring, t.probing = ring, 0
	for _, x := range ring {
		if x.probing {
			t.probing++
		}
	}
}

// review withholds and releases by the leases as they stand.
func (t *Table) review(now float64) []Action {
	var actions []Action
	for _, x := range t.ring {
		withheld := !t.open && now >= t.until(x)
		if withheld == x.withheld {
			continue
		}
		x.withheld = withheld
		kind := Release
		if withheld {
			kind = Withhold
		}
		actions = append(actions, Action{Kind: kind, Target: x.id})
	}
	return actions
}

// renew probes the targets nearest to this scheduler's place until so many are confirmed or being asked.
func (t *Table) renew(now float64, want int, actions []Action) []Action {
	begun, place := 0, int(t.cfg.Place*float64(len(t.ring)))
	for i := 0; i < len(t.ring) && want > 0; i++ {
		// The place itself, then alternating sides of it, as the draw of the module goes.
		at := (place + (i+1)/2*(2*(i%2)-1) + len(t.ring)) % len(t.ring)
		x := t.ring[at]
		switch {
		case t.until(x) > now+t.cfg.RenewAhead || x.probing:
			want--
		case now < x.probedAt+t.cfg.RetryAfter:
		case begun >= probesPerReview || t.probing >= t.cfg.ProbesAtOnce:
			return actions
		default:
			want--
			x.probing, x.probedAt = true, now
			t.probing++
			begun++
			actions = append(actions, Action{Kind: Probe, Target: x.id})
		}
	}
	return actions
}
