package main

import (
	"cottonwell/internal/config"
	"cottonwell/internal/freshness"
)

// Figures of the leases under which targets are sent to while discovery does not answer, in milliseconds.
const (
	toldAfter    = 6000.0 // the platform counts a change as told so long after discovery had it
	leaseMargin  = 500.0  // for a probe's way, and a process that stands still between the check and the send
	trustAtStart = 1000.0 // for the first call of a new process
	renewAhead   = 1500.0
	probeAgain   = 1000.0
	probesAtOnce = 16
	confirmed    = 24 // targets: twice the candidates of one draw
)

// leases returns how long lists are acted on while discovery does not answer, or nil where nothing else could confirm a
// target: without probes a scheduler goes on with the list that it has. An agent that pushes its lists has no such time,
// as what it has counts at once.
func leases(cfg *config.Config) *freshness.Config {
	if cfg.Pushed || cfg.Discovery == "" || !cfg.Settings.Probes {
		return nil
	}
	return &freshness.Config{
		LeaseFor:     toldAfter - leaseMargin,
		StartFor:     trustAtStart,
		RenewAhead:   renewAhead,
		RetryAfter:   probeAgain,
		ProbesAtOnce: probesAtOnce,
		Confirmed:    confirmed,
		Place:        (float64(cfg.Settings.Self) + 0.5) / float64(cfg.Settings.Fleet),
	}
}
