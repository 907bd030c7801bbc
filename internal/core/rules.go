package core

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"cottonwell/balance"
)

// Rules are the settings that the schedulers agreed on. They take precedence over the platform's settings and lists.
type Rules struct {
	Attempts       map[string]int     // maximum attempts of a request, by class; unset: as in the settings
	RetryAfterMS   map[string]float64 // milliseconds, by class: retry-after of a refusal for which the decision module sets none
	ColdFactor     float64            // factor on the load that a cold target may be sent, 0 to 1
	DrainedTargets map[string]bool    // drained: they get no new attempts
	DrainedZones   map[string]bool    // drained: their targets get no new attempts
}

// drains reports whether the rules drain a target.
func (r *Rules) drains(t *Target) bool { return r.DrainedTargets[t.ID] || r.DrainedZones[t.Zone] }

// activeRules are the rules in force at this scheduler. Their expiry is checked against the clock before each step of the
// decision module, since the process may have been paused.
type activeRules struct {
	rules       Rules
	rulesUntil  float64 // end of rules, in milliseconds; infinite: they do not expire
	strictRules Rules   // in force from rulesUntil on
}

// ApplyRules puts rules in force until a time in milliseconds, and the strict rules from then on.
func (c *Core) ApplyRules(now Rules, until float64, strict Rules) {
	c.post(rulesEvent{now, until, strict})
}

type rulesEvent struct {
	now    Rules
	until  float64
	strict Rules
}

func (e rulesEvent) apply(c *Core) {
	c.rulesUntil, c.strictRules = e.until, e.strict
	c.applyRules(e.now)
}

// applyRuleExpiry puts the strict rules in force once the current rules have expired.
func (c *Core) applyRuleExpiry() {
	if c.rulesUntil > 0 && c.clock.Now() >= c.rulesUntil {
		c.rulesUntil = math.Inf(1)
		c.applyRules(c.strictRules)
	}
}

// applyRules puts rules in force. Their events are inserted before all pending ones, so that the decision module applies
// the rules to its next decisions.
func (c *Core) applyRules(r Rules) {
	previous := c.rules
	c.rules = r
	if previous.ColdFactor != r.ColdFactor || !maps.Equal(previous.Attempts, r.Attempts) {
		c.pendingEvents = slices.Insert(c.pendingEvents, 0, balance.Event{Kind: balance.RulesChanged, MaxAttempts: r.Attempts, ColdFactor: r.ColdFactor})
	}
	ev := balance.Event{Kind: balance.Listed, List: balance.Changes, Local: true}
	for _, s := range c.sources {
		for _, t := range s.targets {
			if previous.drains(&t) != r.drains(&t) {
				ev.Members = append(ev.Members, c.memberOf(t))
			}
		}
	}
	if len(ev.Members) > 0 {
		sortMembers(ev.Members)
		c.pendingEvents = slices.Insert(c.pendingEvents, 0, ev)
	}
}

// memberOf returns a target as reported to the decision module. Maintenance, drains by the rules and an expired lease take
// precedence over the listed state.
func (c *Core) memberOf(t Target) balance.Member {
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

// defaultRetryAfter returns the retry-after of a refusal for which the decision module set none, in milliseconds.
func (c *Core) defaultRetryAfter(flow uint64) float64 {
	if f := c.flows[flow]; f != nil {
		if retryAfter, found := c.rules.RetryAfterMS[f.Class]; found {
			return retryAfter
		}
	}
	return c.cfg.RetryAfterMS
}
