package core

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"cottonwell/balance"
)

// Rules are what the schedulers agreed on, over what the platform's settings and lists say.
type Rules struct {
	Attempts map[string]int     // by class, of a request, at most; none: as the settings have it
	ComeBack map[string]float64 // by class, ms: the advice on a refusal for which there is none better
	Cold     float64            // part of what a cold target may be sent
	Targets  map[string]bool    // that get nothing new
	Zones    map[string]bool    // whose targets get nothing new
}

// drains says whether a target gets nothing new.
func (r *Rules) drains(t *Target) bool { return r.Targets[t.ID] || r.Zones[t.Zone] }

// ruling is what is in force at this scheduler. Its clock is looked at before each step: a process may
// have stood still.
type ruling struct {
	rules  Rules
	to     float64 // until then; infinite: there is nothing that they could lapse into
	strict Rules   // from then on
}

// Rule tells of rules that hold until a time, and what holds from then on.
func (c *Core) Rule(now Rules, until float64, strict Rules) { c.post(ruled{now, until, strict}) }

type ruled struct {
	now    Rules
	until  float64
	strict Rules
}

func (e ruled) apply(c *Core) {
	c.to, c.strict = e.until, e.strict
	c.rule(e.now)
}

// lapse goes over to the strict rules once the others' time is over.
func (c *Core) lapse() {
	if c.to > 0 && c.clock.Now() >= c.to {
		c.to = math.Inf(1)
		c.rule(c.strict)
	}
}

// rule puts rules in force. The module is told first of all, so that what it does next is done by them.
func (c *Core) rule(r Rules) {
	had := c.rules
	c.rules = r
	if had.Cold != r.Cold || !maps.Equal(had.Attempts, r.Attempts) {
		c.steps = slices.Insert(c.steps, 0, balance.Event{Kind: balance.Ruled, Caps: r.Attempts, Cold: r.Cold})
	}
	ev := balance.Event{Kind: balance.Listed, List: balance.Changes, Local: true}
	for _, s := range c.sources {
		for _, t := range s.members {
			if had.drains(&t) != r.drains(&t) {
				ev.Members = append(ev.Members, c.member(t))
			}
		}
	}
	if len(ev.Members) > 0 {
		sortMembers(ev.Members)
		c.steps = slices.Insert(c.steps, 0, ev)
	}
}

// member is a target as the module is told of it: operators' and the schedulers' own drains, and a lease that has run out, go over
// its list.
func (c *Core) member(t Target) balance.Member {
	switch {
	case t.State != balance.Ready:
	case c.offline[t.ID], c.rules.drains(&t):
		t.State = balance.Draining
	case c.withheld(t.ID):
		t.State = balance.Suspended
	}
	return t.Member
}

func sortMembers(members []balance.Member) {
	slices.SortFunc(members, func(x, y balance.Member) int { return cmp.Compare(x.ID, y.ID) })
}

// comeBack is the advice for a request that is refused without any of the module's.
func (c *Core) comeBack(flow uint64) float64 {
	if f := c.flows[flow]; f != nil {
		if back, ruled := c.rules.ComeBack[f.Class]; ruled {
			return back
		}
	}
	return c.cfg.ComeBack
}
