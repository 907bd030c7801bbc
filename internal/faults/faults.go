// Package faults defines schedules of faults for a fleet of schedulers: faults of datagrams between
// schedulers, of connections to discovery and to targets, and of the scheduler processes. Each
// direction of a link has its own faults.
//
// Draw and DrawConnectionFaults generate a Script from a seed. DatagramFaults applies a script to datagrams and
// returns when and with which bytes each arrives. Script.ConnectionState returns the state of a connection's
// link. The package opens no sockets, reads no clock and controls no processes: the caller gives it
// the time and carries out the process faults. The simulation in virtual time and the tests with
// real processes, which pass their datagrams through a proxy, use the same scripts. A failure found
// in one can therefore be examined in the other.
package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"cottonwell/internal/units"
)

// Kind is the type of a fault.
type Kind string

// The kinds of faults. Link faults apply from At for Lasts. Process faults begin at At.
const (
	Loss      Kind = "loss"      // drops Share of the datagrams
	Runs      Kind = "runs"      // drops all datagrams in bursts that last Size on average and cover Share of the time
	Delay     Kind = "delay"     // delays by Size
	Jitter    Kind = "jitter"    // delays by a random time up to Size, which reorders datagrams
	Duplicate Kind = "duplicate" // delivers Share of the datagrams twice, the second up to Size later
	Corrupt   Kind = "corrupt"   // changes one byte of Share of the datagrams, or truncates them
	Cut       Kind = "cut"       // drops everything from From to To; the opposite direction is a separate fault
	Split     Kind = "split"     // drops everything between the Parts
	Break     Kind = "break"     // resets existing and new connections to discovery or targets

	Kill  Kind = "kill"  // kills the process and restarts it after Lasts
	Stall Kind = "stall" // suspends the process for Lasts
	Term  Kind = "term"  // terminates the process gracefully and restarts it after Lasts
	Step  Kind = "step"  // sets the wall clock of the process forward by Size, or backward if Back is set
)

// IsLinkFault reports whether k is a link fault; otherwise k is a process fault.
func (k Kind) IsLinkFault() bool {
	return slices.Contains([]Kind{Loss, Runs, Delay, Jitter, Duplicate, Corrupt, Cut, Split, Break}, k)
}

// Discovery and Targets are the values of Fault.Links for links that carry connections, not datagrams.
// Cut stalls such a connection in both directions; transfer resumes when the fault ends.
const (
	Discovery = "discovery"
	Targets   = "targets"
)

// Fault is one scheduled fault.
type Fault struct {
	Kind     Kind         `toml:"kind" json:"kind"`
	At       units.Millis `toml:"at" json:"at_ms"`
	Lasts    units.Millis `toml:"lasts" json:"lasts_ms"`
	From     []int        `toml:"from" json:"from,omitempty"` // link faults: senders, all if empty; process faults: the affected schedulers
	To       []int        `toml:"to" json:"to,omitempty"`     // receivers, all if empty; targets if Links is Targets
	Parts    [][]int      `toml:"parts" json:"parts,omitempty"`
	Share    units.Share  `toml:"share" json:"share,omitempty"`
	Backward bool         `toml:"back" json:"back,omitempty"` // step: set the clock backward
	Size     units.Millis `toml:"size" json:"size_ms,omitempty"`
	Links    string       `toml:"ways" json:"ways,omitempty"` // the affected links: Discovery, Targets, or empty for those between schedulers
	OldList  bool         `toml:"old" json:"old,omitempty"`   // kill, term: restart with the target list of the first start
}

// Script is the schedule of faults of one run.
type Script []Fault

// Check returns an error for the first fault that is invalid in a fleet of the given number of schedulers.
func (s Script) Check(schedulers int) error {
	for i, f := range s {
		named := slices.Concat(f.From, f.To, slices.Concat(f.Parts...))
		if f.Links == Targets {
			named = f.From
		}
		outOfRange := slices.ContainsFunc(named, func(x int) bool { return x < 0 || x >= schedulers })
		switch {
		case !f.Kind.IsLinkFault() && !slices.Contains([]Kind{Kill, Stall, Term, Step}, f.Kind):
			return fmt.Errorf("fault %d: unknown kind %q", i+1, f.Kind)
		case f.Links != "" && f.Links != Discovery && f.Links != Targets:
			return fmt.Errorf("fault %d (%s): unknown ways %q: want discovery or targets", i+1, f.Kind, f.Links)
		case f.Links == "" && f.Kind == Break || f.Links != "" && !slices.Contains([]Kind{Break, Cut, Delay}, f.Kind):
			return fmt.Errorf("fault %d (%s): links to discovery and targets allow only cut, delay and break; break is allowed only there", i+1, f.Kind)
		case f.OldList && f.Kind != Kill && f.Kind != Term:
			return fmt.Errorf("fault %d (%s): old applies only to kill and term", i+1, f.Kind)
		case outOfRange:
			return fmt.Errorf("fault %d (%s): unknown scheduler: indices are 0 to %d", i+1, f.Kind, schedulers-1)
		case f.At < 0 || f.Lasts < 0:
			return fmt.Errorf("fault %d (%s): at or lasts is negative", i+1, f.Kind)
		case f.Share < 0 || f.Share > 1:
			return fmt.Errorf("fault %d (%s): share %g%% is not between 0%% and 100%%", i+1, f.Kind, 100*float64(f.Share))
		case !f.Kind.IsLinkFault() && len(f.From) == 0:
			return fmt.Errorf("fault %d (%s): from names no scheduler", i+1, f.Kind)
		case f.Kind == Split && len(f.Parts) < 2:
			return fmt.Errorf("fault %d (split): fewer than two parts", i+1)
		}
	}
	return nil
}

// affectsDatagram reports whether f is a fault of links between schedulers that is active at now, in ms,
// on the link from one scheduler to another.
func (f *Fault) affectsDatagram(now float64, from, to int) bool {
	return f.Kind.IsLinkFault() && f.Links == "" && now >= float64(f.At) && now < float64(f.At+f.Lasts) &&
		(len(f.From) == 0 || slices.Contains(f.From, from)) && (len(f.To) == 0 || slices.Contains(f.To, to))
}

// Draw generates a script with the given number of faults from a seed. All faults lie between quiet and
// length-quiet, in ms, so that a run begins and ends without faults.
func Draw(seed uint64, schedulers, faults int, length, quiet float64) (s Script) {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	subset := func(limit int) []int { return rng.Perm(schedulers)[:1+rng.IntN(max(1, min(limit, schedulers)))] }
	for range faults {
		f := Fault{At: units.Millis(quiet + rng.Float64()*(length-3*quiet)), Lasts: units.Millis((0.05 + 0.95*rng.Float64()) * quiet)}
		switch rng.IntN(15) {
		case 0:
			f.Kind, f.Share = Loss, units.Share(0.6*rng.Float64())
		case 1:
			f.Kind, f.Share, f.Size = Runs, units.Share(0.5*rng.Float64()), units.Millis(20+400*rng.Float64())
		case 2:
			f.Kind, f.Size, f.From = Delay, units.Millis(5000*rng.Float64()), subset(3)
		case 3:
			f.Kind, f.Size = Jitter, units.Millis(500*rng.Float64())
		case 4:
			f.Kind, f.Share, f.Size = Duplicate, units.Share(rng.Float64()), units.Millis(3000*rng.Float64())
		case 5:
			f.Kind, f.Share = Corrupt, units.Share(0.5*rng.Float64())
		case 6:
			f.Kind, f.From = Cut, subset(2)
		case 7:
			f.Kind, f.To = Cut, subset(2)
		case 8, 9:
			parts := 2 + rng.IntN(2)
			f.Kind, f.Parts = Split, make([][]int, parts)
			for i, scheduler := range rng.Perm(schedulers) {
				f.Parts[i%parts] = append(f.Parts[i%parts], scheduler)
			}
		case 10:
			f.Kind, f.From = Kill, subset(max(1, schedulers*7/10))
		case 11:
			f.Kind, f.From = Kill, subset(1)
		case 12:
			f.Kind, f.From = Stall, subset(2)
		case 13:
			f.Kind, f.From = Term, subset(1)
		case 14:
			f.Kind, f.From, f.Size, f.Backward = Step, subset(2), units.Millis(2000*rng.Float64()), rng.IntN(2) == 0
		}
		s = append(s, f)
	}
	slices.SortStableFunc(s, func(x, y Fault) int { return int(1000 * (x.At - y.At)) })
	return s
}

// DrawConnectionFaults generates a script with the given number of faults from a seed, in the same period
// as Draw. The faults are those of links to discovery and to targets, and restarts with an old target list.
func DrawConnectionFaults(seed uint64, schedulers, targets, faults int, length, quiet float64) (s Script) {
	rng := rand.New(rand.NewPCG(seed, 0xbe51de))
	for range faults {
		f := Fault{At: units.Millis(quiet + rng.Float64()*(length-3*quiet)), Lasts: units.Millis((0.05 + 0.95*rng.Float64()) * quiet)}
		f.From = rng.Perm(schedulers)[:1+rng.IntN(schedulers)]
		f.Kind, f.Links = []Kind{Cut, Delay, Break}[rng.IntN(3)], Discovery
		if f.Kind == Delay {
			f.Size = units.Millis(200 * rng.Float64())
		}
		switch rng.IntN(4) {
		case 0, 1:
			f.Links, f.To = Targets, rng.Perm(targets)[:1+rng.IntN(max(1, targets/3))]
		case 2:
			f = Fault{Kind: Kill, At: f.At, Lasts: f.Lasts, From: f.From[:1], OldList: true}
		}
		s = append(s, f)
	}
	slices.SortStableFunc(s, func(x, y Fault) int { return int(1000 * (x.At - y.At)) })
	return s
}

// LinkState is the fault state of a link that carries connections.
type LinkState struct {
	Cut, Broken bool
	Delay       float64 // ms
}

// ConnectionState returns the fault state at now, in ms, of the link from scheduler from to a service, Discovery or
// Targets. For Targets, to is the index of the target.
func (s Script) ConnectionState(now float64, service string, from, to int) (state LinkState) {
	for i := range s {
		f := &s[i]
		if f.Links != service || !f.Kind.IsLinkFault() || now < float64(f.At) || now >= float64(f.At+f.Lasts) ||
			len(f.From) > 0 && !slices.Contains(f.From, from) || service == Targets && len(f.To) > 0 && !slices.Contains(f.To, to) {
			continue
		}
		switch f.Kind {
		case Cut:
			state.Cut = true
		case Break:
			state.Broken = true
		case Delay:
			state.Delay += float64(f.Size)
		}
	}
	return state
}

// Delivery is a datagram that arrives.
type Delivery struct {
	After float64 // since it was sent, in ms
	Raw   string
}

// DatagramFaults applies the faults of links between schedulers to datagrams.
type DatagramFaults struct {
	Script    Script
	MeanDelay float64 // mean network delay without faults, in ms
	Rng       *rand.Rand

	phaseEnds map[[3]int]float64 // by fault, sender and receiver: end of the current phase of loss or of no loss, in ms
	losing    map[[3]int]bool    // by the same key: whether the current phase loses datagrams
}

// Deliver returns the deliveries of a datagram that is sent at now, in ms since the beginning of the script.
// The datagram arrives not at all, once or twice.
func (n *DatagramFaults) Deliver(now float64, from, to int, raw string) (deliveries []Delivery) {
	delay, duplicateDelay := n.MeanDelay*(0.5+n.Rng.Float64()), -1.0
	for i := range n.Script {
		f := &n.Script[i]
		if !f.affectsDatagram(now, from, to) {
			continue
		}
		switch f.Kind {
		case Cut:
			return nil
		case Split:
			if partIndex(f.Parts, from) != partIndex(f.Parts, to) {
				return nil
			}
		case Loss:
			if n.Rng.Float64() < float64(f.Share) {
				return nil
			}
		case Runs:
			if n.inLossRun(i, f, now, from, to) {
				return nil
			}
		case Delay:
			delay += float64(f.Size)
		case Jitter:
			delay += float64(f.Size) * n.Rng.Float64()
		case Duplicate:
			if n.Rng.Float64() < float64(f.Share) {
				duplicateDelay = float64(f.Size) * n.Rng.Float64()
			}
		case Corrupt:
			if n.Rng.Float64() < float64(f.Share) && len(raw) > 0 {
				b := []byte(raw)
				if n.Rng.IntN(3) == 0 {
					b = b[:n.Rng.IntN(len(b))]
				} else {
					b[n.Rng.IntN(len(b))] ^= byte(1 + n.Rng.IntN(255))
				}
				raw = string(b)
			}
		}
	}
	deliveries = append(deliveries, Delivery{delay, raw})
	if duplicateDelay >= 0 {
		deliveries = append(deliveries, Delivery{delay + duplicateDelay, raw})
	}
	return deliveries
}

// inLossRun reports whether a Runs fault drops the datagrams of a link at now. Runs of loss last Size on
// average and cover Share of the time.
func (n *DatagramFaults) inLossRun(fault int, f *Fault, now float64, from, to int) bool {
	if n.phaseEnds == nil {
		n.phaseEnds, n.losing = map[[3]int]float64{}, map[[3]int]bool{}
	}
	link := [3]int{fault, from, to}
	phaseEnd, known := n.phaseEnds[link]
	if !known {
		phaseEnd, n.losing[link] = now, n.Rng.Float64() >= float64(f.Share) // the loop below inverts this once
	}
	for now >= phaseEnd {
		n.losing[link] = !n.losing[link]
		mean := float64(f.Size)
		if !n.losing[link] {
			mean *= (1 - float64(f.Share)) / max(0.001, float64(f.Share))
		}
		phaseEnd += max(1, mean) * n.Rng.ExpFloat64()
	}
	n.phaseEnds[link] = phaseEnd
	return n.losing[link]
}

// partIndex returns the index of the part that contains a scheduler, or -1 if none does.
func partIndex(parts [][]int, scheduler int) int {
	return slices.IndexFunc(parts, func(p []int) bool { return slices.Contains(p, scheduler) })
}
