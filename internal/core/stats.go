package core

import (
	"fmt"
	"log/slog"
	"maps"
	"strings"

	"cottonwell/balance"
)

// Stats are the counters of a Core since its start.
type Stats struct {
	Accepted, Served, Refused, Failed, ClientsLeft int // flows: accepted, then by how they ended
	DuplicateID, TooManyOpen                       int // flows not admitted: id in use; too many open
	Dispatches, Cancels                            int
	Probes, ProbesEnded                            int            // requested; ended with any result
	Lists, ListFailures                            int            // lists and changes received; watches that failed
	Heartbeats                                     int            // heartbeats on watches, between lists
	Withheld                                       int            // targets withheld now: the lease on the list expired, or they reported that they drain
	ListMessagesSent, ForwardedConfirmations       int            // datagrams sent about the list; those received that renewed the lease
	Lapses, RefusedLapsed                          int            // expiries of the lease; refusals while it was expired
	LapsedMS                                       float64        // milliseconds without a valid lease, up to its last renewal; includes the time before the first list
	Outcomes                                       [8]int         // ended attempts, indexed by balance.Result
	Dropped                                        map[string]int // events dropped because they came too late, by description
	Open, Targets                                  int
	Reservations                                   slog.Value // state of the reservation planner; empty if disabled
	UnreadableDatagrams                            int        // datagrams that could not be parsed
	Reasons                                        Reasons
}

func (s *Stats) countOutcome(r balance.Result) {
	if r >= 0 && int(r) < len(s.Outcomes) {
		s.Outcomes[r]++
	}
}

// LogValue returns a flow's history for the log: each attempt with its target, its start and end in milliseconds since the
// flow was accepted, and its result.
func (f *flow) LogValue() slog.Value {
	var attempts strings.Builder
	acceptedAt := f.deadline - f.ClientTimeoutMS
	for _, a := range f.attempts {
		fmt.Fprintf(&attempts, " %s %.0f", a.target, a.sentAt-acceptedAt)
		if a.ended {
			fmt.Fprintf(&attempts, "-%.0f=%v", a.endedAt-acceptedAt, a.result)
		}
	}
	return slog.GroupValue(slog.String("id", f.ID), slog.String("class", f.Class), slog.Float64("slots", f.Slots), slog.Float64("patience", f.ClientTimeoutMS),
		slog.String("attempts", strings.TrimSpace(attempts.String())))
}

// closeForClient marks a flow as finished for its client.
func (c *Core) closeForClient(f *flow) {
	f.clientDone = true
	c.openFlows--
	if c.openFlows == 0 {
		for _, ch := range c.idleWaiters {
			close(ch)
		}
		c.idleWaiters = nil
	}
	c.removeIfDone(f)
}

// removeIfDone removes a flow that is finished for its client and has no outstanding attempt.
func (c *Core) removeIfDone(f *flow) {
	if !f.clientDone || f.outstanding >= 0 {
		return
	}
	if c.flows[f.number] == f {
		delete(c.flows, f.number)
		delete(c.flowsByID, f.ID)
		c.unregisterKey(f)
		c.releaseBody(f)
	}
}

// releaseBody releases the core's reference to a flow's body.
func (c *Core) releaseBody(f *flow) {
	if f.Job.Body != nil {
		f.Job.Body.Release()
		f.Job.Body = nil
	}
}

// countDropped counts an event that came too late to have an effect.
func (c *Core) countDropped(what string) { c.stats.Dropped[what]++ }

// Stats returns the counters, or what they were if the core has stopped.
func (c *Core) Stats() Stats {
	ch := make(chan Stats, 1)
	c.post(statsQuery{ch})
	select {
	case stats := <-ch:
		return stats
	case <-c.done:
		return Stats{}
	}
}

type statsQuery struct{ reply chan Stats }

func (e statsQuery) apply(c *Core) {
	stats := c.stats
	stats.Dropped = maps.Clone(stats.Dropped)
	stats.Reasons = c.trace.reasons.clone()
	stats.Open, stats.Targets, stats.UnreadableDatagrams, stats.Withheld = c.openFlows, len(c.sourceByTarget), c.module.Unreadable+c.unreadableMessages, c.withheldCount()
	if p := c.module.Planner(); p != nil {
		stats.Reservations = p.LogValue()
	}
	e.reply <- stats
}
