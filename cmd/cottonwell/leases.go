package main

import (
	"cottonwell/internal/clock"
	"cottonwell/internal/config"
)

// Figures of the lease on discovery's list, in milliseconds.
const (
	toldAfter = 6000.0 // the platform counts a change as told so long after discovery had it
	// leaseMargin is kept for a process that stands still, for 150 ms each, between the arrival of discovery's word and
	// the reading of the clock, and between the last check and the first byte of an attempt.
	leaseMargin = 300.0
	// movedAfter is when what a pushing agent has counts after SIGHUP, whether or not it was read.
	movedAfter = 4000.0
	// shortestLease is what is left where the settings give less time than the margin.
	shortestLease = 1.0
)

// listLease returns for how long a list is acted on after discovery's last word; 0: for ever, as there is no discovery. It
// holds for agents that push their lists, too: what a watch there has missed since it fell silent counts as well.
func listLease(cfg *config.Config) float64 {
	if cfg.Discovery == "" {
		return 0
	}
	return toldAfter - leaseMargin
}

// unwatchedLease returns the same while no watch is open: a scheduler that neither watches nor asks counts as told after a time
// that the settings give. Discovery that is asked has one; an agent that pushes has none.
func unwatchedLease(cfg *config.Config) float64 {
	within := clock.Millis(cfg.Settings.AskWithin)
	if cfg.Discovery == "" || cfg.Pushed || within <= 0 || within >= toldAfter {
		return listLease(cfg)
	}
	return max(shortestLease, within-leaseMargin)
}

// movedLease returns for how long the list of the address before is acted on after SIGHUP has moved discovery; 0: as long
// as any list.
func movedLease(cfg *config.Config) float64 {
	if !cfg.Pushed {
		return 0
	}
	return movedAfter - leaseMargin
}
