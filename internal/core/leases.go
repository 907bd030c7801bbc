package core

import (
	"math"

	"cottonwell/balance"
	"cottonwell/internal/freshness"
)

// leases is the core's side of the table that says which targets may be sent to while their source does not answer. The
// table decides; here targets are probed, and the module and the transport are told.
type leases struct {
	table  *freshness.Table // nil: lists are acted on for ever
	leased *source          // the source whose lists are watched
	ticks  bool             // a timer is set
}

// startLeases sets the table up for the source that is watched.
func (c *Core) startLeases(cfg *freshness.Config) (err error) {
	if cfg == nil {
		return nil
	}
	for _, s := range c.sources {
		if s.Watch != nil {
			c.leased = s
		}
	}
	c.table, err = freshness.New(*cfg)
	return err
}

// listHeard tells the table of a list, or of changes to it.
func (c *Core) listHeard(s *source, scope balance.ListScope) {
	if c.table == nil || s != c.leased {
		return
	}
	names := make([]string, 0, len(s.members))
	for id, t := range s.members {
		if t.State == balance.Ready {
			names = append(names, id)
		}
	}
	if now := c.clock.Now(); scope == balance.FromDisk {
		c.keepLeases(c.table.Loaded(now, names))
	} else {
		c.keepLeases(c.table.Heard(now, names))
	}
}

// listLost tells the table that a call failed or a watch ended.
func (c *Core) listLost(s *source, lastSign float64) {
	if c.table != nil && s == c.leased {
		c.keepLeases(c.table.Lost(c.clock.Now(), lastSign))
	}
}

// probeHeard tells the table what came of a probe.
func (c *Core) probeHeard(r ProbeResult) {
	if c.table == nil || c.targets[r.Target] != c.leased {
		return
	}
	answer := freshness.Silent
	switch {
	case r.NotReady:
		answer = freshness.NotReady
	case r.Result == balance.OK:
		answer = freshness.Serving
	}
	c.keepLeases(c.table.Probed(c.clock.Now(), r.SentAt, r.Target, answer))
}

func (c *Core) leasesDue() {
	c.ticks = false
	c.keepLeases(c.table.Due(c.clock.Now(), c.open))
}

// keepLeases does what the table decided, and asks to be woken for what comes next.
func (c *Core) keepLeases(actions []freshness.Action) {
	changed := Group{Scope: balance.Changes}
	ev := balance.Event{Kind: balance.Listed, List: balance.Changes, Local: true}
	for _, a := range actions {
		t, listed := c.leased.members[a.Target]
		switch {
		case !listed:
		case a.Kind == freshness.Probe:
			c.probe(a.Target)
		default:
			t.Member = c.member(t)
			changed.Targets = append(changed.Targets, t)
			ev.Members = append(ev.Members, t.Member)
		}
	}
	if len(changed.Targets) > 0 {
		c.books.Withheld = c.table.Withholds()
		c.log.Info("leases of targets changed", "targets", len(changed.Targets), "withheld", c.books.Withheld)
		c.leased.Transport.Listed(changed)
		c.step(ev)
	}
	if at := c.table.Next(c.clock.Now()); !c.ticks && !math.IsInf(at, 1) {
		c.ticks = true
		c.timers.add(timer{at: at, what: leaseTimer})
	}
}

// withheld says whether the table keeps a target from being sent to.
func (c *Core) withheld(target string) bool {
	return c.table != nil && c.targets[target] == c.leased && c.table.Withheld(target)
}

// leaseEnd is until when an attempt may leave for a target of a source. It is looked at again as the first byte goes, as
// a connection may be long in coming up, and a process may stand still.
func (c *Core) leaseEnd(s *source, target string) float64 {
	if c.table == nil || s == nil || s != c.leased {
		return math.Inf(1)
	}
	return c.table.Until(target)
}
