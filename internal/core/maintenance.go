package core

import (
	"cottonwell/balance"
)

// Offline has nothing more sent to a target, whatever its source lists, until Online. It says whether there is a target of
// that name. Once it has returned no attempt leaves for it any more.
func (c *Core) Offline(target string) bool { return c.maintain(target, true) }

// Online ends what Offline began. It says whether there is a target of that name, listed or offline.
func (c *Core) Online(target string) bool { return c.maintain(target, false) }

func (c *Core) maintain(target string, offline bool) bool {
	known := make(chan bool, 1)
	c.post(maintained{target, offline, known})
	select {
	case k := <-known:
		return k
	case <-c.done:
		return false
	}
}

type maintained struct {
	target  string
	offline bool
	known   chan bool
}

func (e maintained) apply(c *Core) {
	s, was := c.targets[e.target], c.offline[e.target]
	known := s != nil || was
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

// tellOf tells the module and the transport how a listed target may be used now.
func (c *Core) tellOf(s *source, t Target) {
	t.Member = c.member(t)
	s.Transport.Listed(Group{Scope: balance.Changes, Targets: []Target{t}})
	c.step(balance.Event{Kind: balance.Listed, List: balance.Changes, Local: true, Members: []balance.Member{t.Member}})
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
