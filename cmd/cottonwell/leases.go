package main

import (
	"cottonwell/internal/clock"
	"cottonwell/internal/config"
)

// Durations of the lease on discovery's list, in milliseconds.
const (
	// assumedNotifiedAfter is the time from a change in discovery until the platform considers each scheduler notified of it.
	assumedNotifiedAfter = 6000.0
	// leaseMargin covers two pauses of the process of 150 ms each: one between the arrival of a message from discovery and
	// the reading of the clock, the other between the last check of the lease and the first byte of an attempt.
	leaseMargin = 300.0
	// assumedNotifiedAfterReload is the time from SIGHUP until the platform considers the scheduler notified of the list of
	// a pushing agent, whether or not it has read that list.
	assumedNotifiedAfterReload = 4000.0
	// minLease applies if the settings give less time than the margin.
	minLease = 1.0
)

// listLease returns the time in milliseconds for which a list is valid after the last message from discovery. It is 0, for no
// limit, without discovery. It applies to agents that push their lists as well: the scheduler counts as notified even of
// changes that a silent watch there has missed.
func listLease(cfg *config.Config) float64 {
	if cfg.Discovery == "" {
		return 0
	}
	return assumedNotifiedAfter - leaseMargin
}

// unwatchedLease returns the time in milliseconds for which a list is valid while no watch is open. The platform considers a
// scheduler that neither watches nor polls notified after the time that the settings give. That time applies to discovery
// that is polled, and not to an agent that pushes.
func unwatchedLease(cfg *config.Config) float64 {
	notifiedWithin := clock.Millis(cfg.Settings.MaxQueryInterval)
	if cfg.Discovery == "" || cfg.ListsPushed || notifiedWithin <= 0 || notifiedWithin >= assumedNotifiedAfter {
		return listLease(cfg)
	}
	return max(minLease, notifiedWithin-leaseMargin)
}

// previousAddressLease returns the time in milliseconds for which the list of the previous discovery address is valid after
// SIGHUP has changed the address. It is 0 if the list is valid for as long as any other.
func previousAddressLease(cfg *config.Config) float64 {
	if !cfg.ListsPushed {
		return 0
	}
	return assumedNotifiedAfterReload - leaseMargin
}
