package core

import (
	"maps"
	"slices"

	"cottonwell/balance"
)

// Offline stops new attempts at a target until Online is called, whatever its source lists. It reports whether a target of
// that name is known. No attempt at the target is sent after Offline has returned.
func (c *Core) Offline(target string) bool {
	return c.setMaintenance(maintenanceEvent{target: target, offline: true})
}

// Online undoes Offline. It reports whether a target of that name is listed or offline.
func (c *Core) Online(target string) bool { return c.setMaintenance(maintenanceEvent{target: target}) }

// InheritOffline applies the Offline of another process of this scheduler. That process had the target listed, so this one need
// not know it.
func (c *Core) InheritOffline(target string) {
	c.setMaintenance(maintenanceEvent{target: target, offline: true, inherited: true})
}

// setMaintenance posts the event and returns its reply: whether the target is known. It returns false if Run has returned.
func (c *Core) setMaintenance(e maintenanceEvent) bool {
	e.reply = make(chan bool, 1)
	c.post(e)
	select {
	case known := <-e.reply:
		return known
	case <-c.done:
		return false
	}
}

// OfflineTargets returns the targets that are offline.
func (c *Core) OfflineTargets() []string {
	targets := make(chan []string, 1)
	c.post(maintainedQuery{targets})
	select {
	case t := <-targets:
		return t
	case <-c.done:
		return nil
	}
}

type maintainedQuery struct{ reply chan []string }

func (e maintainedQuery) apply(c *Core) { e.reply <- slices.Sorted(maps.Keys(c.offline)) }

type maintenanceEvent struct {
	target    string
	offline   bool
	inherited bool // the target need not be known here
	reply     chan bool
}

func (e maintenanceEvent) apply(c *Core) {
	s, wasOffline := c.sourceByTarget[e.target], c.offline[e.target]
	known := s != nil || wasOffline || e.inherited
	if known && wasOffline != e.offline {
		if e.offline {
			c.offline[e.target] = true
		} else {
			delete(c.offline, e.target)
		}
		if s != nil {
			c.publishTargets(s, s.targets[e.target])
		}
	}
	e.reply <- known
}

// publishTargets passes the usable state of listed targets of a source to the decision module and the transport.
func (c *Core) publishTargets(s *source, targets ...Target) {
	list := TargetList{Scope: balance.Changes}
	ev := balance.Event{Kind: balance.Listed, List: balance.Changes, Local: true}
	for _, t := range targets {
		t.Member = c.memberOf(t)
		list.Targets = append(list.Targets, t)
		ev.Members = append(ev.Members, t.Member)
	}
	sortMembers(ev.Members)
	s.Transport.UpdateTargets(list)
	c.enqueue(ev)
}

// applyMaintenance returns a source's list or changes, with the targets that are offline marked as draining.
func (c *Core) applyMaintenance(list TargetList) TargetList {
	if len(c.offline) == 0 {
		return list
	}
	targets := make([]Target, len(list.Targets))
	for i, t := range list.Targets {
		if c.offline[t.ID] && t.State == balance.Ready {
			t.State = balance.Draining
		}
		targets[i] = t
	}
	list.Targets = targets
	return list
}
