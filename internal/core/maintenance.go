package core

import (
	"maps"
	"slices"

	"cottonwell/balance"
)

// Offline has nothing more sent to a target, whatever its source lists, until Online. It says whether there is a target of
// that name. Once it has returned no attempt leaves for it any more.
func (c *Core) Offline(target string) bool {
	return c.maintain(maintained{target: target, offline: true})
}

// Online ends what Offline began. It says whether there is a target of that name, listed or offline.
func (c *Core) Online(target string) bool { return c.maintain(maintained{target: target}) }

// Inherit is Offline by the word of another process of this scheduler, which had that target listed.
func (c *Core) Inherit(target string) {
	c.maintain(maintained{target: target, offline: true, inherited: true})
}

func (c *Core) maintain(e maintained) bool {
	e.known = make(chan bool, 1)
	c.post(e)
	select {
	case known := <-e.known:
		return known
	case <-c.done:
		return false
	}
}

// Maintained returns the targets that are offline.
func (c *Core) Maintained() []string {
	targets := make(chan []string, 1)
	c.post(readMaintained{targets})
	select {
	case t := <-targets:
		return t
	case <-c.done:
		return nil
	}
}

type readMaintained struct{ targets chan []string }

func (e readMaintained) apply(c *Core) { e.targets <- slices.Sorted(maps.Keys(c.offline)) }

type maintained struct {
	target    string
	offline   bool
	inherited bool // it need not be known here
	known     chan bool
}

func (e maintained) apply(c *Core) {
	s, was := c.targets[e.target], c.offline[e.target]
	known := s != nil || was || e.inherited
	if known && was != e.offline {
		if e.offline {
			c.offline[e.target] = true
		} else {
			delete(c.offline, e.target)
		}
		if s != nil {
			c.tellOf(s, s.members[e.target])
		}
	}
	e.known <- known
}

// tellOf tells the module and the transport how listed targets of a source may be used now.
func (c *Core) tellOf(s *source, targets ...Target) {
	changed := Group{Scope: balance.Changes}
	ev := balance.Event{Kind: balance.Listed, List: balance.Changes, Local: true}
	for _, t := range targets {
		t.Member = c.member(t)
		changed.Targets = append(changed.Targets, t)
		ev.Members = append(ev.Members, t.Member)
	}
	sortMembers(ev.Members)
	s.Transport.Listed(changed)
	c.step(ev)
}

// maintainedGroup is what a source tells, with the targets that are offline as draining.
func (c *Core) maintainedGroup(g Group) Group {
	if len(c.offline) == 0 {
		return g
	}
	targets := make([]Target, len(g.Targets))
	for i, t := range g.Targets {
		if c.offline[t.ID] && t.State == balance.Ready {
			t.State = balance.Draining
		}
		targets[i] = t
	}
	g.Targets = targets
	return g
}
