package core

import (
	"fmt"
	"math"

	"cottonwell/balance"
	"cottonwell/internal/freshness"
)

// listLease is the core's side of the lease on the list of the source that is watched. The lease decides; here the module
// and the transport are told.
type listLease struct {
	lease    *freshness.Lease // nil: lists are acted on for ever
	leased   *source          // the source whose list it is
	ticks    bool             // a timer is set
	lapsedAt float64          // when it ran out, or the start; counts while it is not valid
}

// startLease sets the lease up for the source that is watched.
func (c *Core) startLease() (err error) {
	if c.cfg.ListLease <= 0 {
		return nil
	}
	for _, s := range c.sources {
		if s.Watch != nil {
			c.leased = s
		}
	}
	if c.leased == nil {
		return fmt.Errorf("a lease on a list that no source is asked for")
	}
	c.lapsedAt = c.clock.Now()
	c.lease, err = freshness.NewLease(c.cfg.ListLease)
	return err
}

// listHeard renews the lease by a list, or by changes to it, before they are taken over. It says whether
// targets that the list does not name may change by that.
func (c *Core) listHeard(s *source, readAt float64) (changed bool) {
	if c.lease == nil || s != c.leased {
		return false
	}
	withheld := c.withholds()
	c.lease.Listed(c.clock.Now(), readAt)
	c.leaseReviewed()
	return withheld > 0
}

// SignOfLife tells that a source gave one on its open watch, and when it was read.
func (c *Core) SignOfLife(from string, readAt float64) { c.post(signOfLife{from, readAt}) }

type signOfLife struct {
	from   string
	readAt float64
}

func (e signOfLife) apply(c *Core) {
	c.books.SignsOfLife++
	if s := c.sources[e.from]; s == nil || c.lease == nil || s != c.leased {
		return
	}
	if c.lease.SignOfLife(c.clock.Now(), e.readAt) {
		c.tellWithheld()
	}
	c.leaseReviewed()
}

// listLost tells the lease that a call failed or a watch ended.
func (c *Core) listLost(s *source) {
	if c.lease != nil && s == c.leased {
		c.lease.WatchLost()
	}
}

// probeHeard tells the lease what came of a probe.
func (c *Core) probeHeard(r ProbeResult) {
	if c.lease == nil || c.targets[r.Target] != c.leased {
		return
	}
	answer := freshness.Silent
	switch {
	case r.NotReady:
		answer = freshness.NotReady
	case r.Result == balance.OK:
		answer = freshness.Serving
	}
	if c.lease.Probed(r.Target, answer) {
		c.tellWithheld()
	}
}

func (c *Core) leaseDue() {
	c.ticks = false
	if c.lease.Review(c.clock.Now()) {
		c.tellWithheld()
	}
	c.leaseReviewed()
}

// leaseReviewed notes what became of the lease, and asks to be woken at its end.
func (c *Core) leaseReviewed() {
	now := c.clock.Now()
	switch valid := c.lease.Valid(); {
	case valid && !math.IsInf(c.lapsedAt, 1):
		c.books.LapsedFor += now - c.lapsedAt
		c.lapsedAt = math.Inf(1)
		c.log.Info("lease on the list renewed", "lapsed_ms", c.books.LapsedFor)
	case !valid && math.IsInf(c.lapsedAt, 1):
		c.books.Lapses++
		c.lapsedAt = c.lease.Until()
		c.log.Warn("lease on the list ran out, nothing is sent until discovery answers", "lasted_ms", c.cfg.ListLease)
	}
	c.books.Withheld = c.withholds()
	if !c.ticks && c.lease.Valid() {
		c.ticks = true
		c.timers.add(timer{at: c.lease.Until(), what: leaseTimer})
	}
}

// tellWithheld tells the module and the transport which targets may be sent to.
func (c *Core) tellWithheld() {
	changed := Group{Scope: balance.Changes}
	ev := balance.Event{Kind: balance.Listed, List: balance.Changes, Local: true}
	for _, t := range c.leased.members {
		t.Member = c.member(t)
		changed.Targets = append(changed.Targets, t)
		ev.Members = append(ev.Members, t.Member)
	}
	sortMembers(ev.Members)
	c.books.Withheld = c.withholds()
	c.leased.Transport.Listed(changed)
	c.step(ev)
}

// withheld says whether the lease keeps a target from being sent to.
func (c *Core) withheld(target string) bool {
	return c.lease != nil && c.targets[target] == c.leased && c.lease.Withheld(target)
}

// withholds is how many targets are withheld.
func (c *Core) withholds() (n int) {
	for id := range c.leased.members {
		if c.lease.Withheld(id) {
			n++
		}
	}
	return n
}

// maySendUntil is until when an attempt may leave for a target of a source. It is looked at again as the first byte goes,
// as a connection may be long in coming up, and a process may stand still.
func (c *Core) maySendUntil(s *source, target string) float64 {
	if c.lease == nil || s == nil || s != c.leased {
		return math.Inf(1)
	}
	return c.lease.MaySendUntil(target)
}
