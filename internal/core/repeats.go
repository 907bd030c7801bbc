package core

import (
	"cottonwell/balance"
	"cottonwell/internal/clock"
)

// This file recognizes requests that repeat an earlier one. A client that leaves and comes again with the same ID, or with the same
// key in a class whose requests must not be applied twice, would otherwise get a flow that knows nothing of the attempts of the
// earlier flow, which may run on after their client has left.

const (
	// maxRemembered is the number of IDs and keys that are remembered. Beyond it the oldest are forgotten.
	maxRemembered = 16 << 10
	// clientTries is how often a client tries a request, its retries included.
	clientTries = 4
)

// repeatKey identifies a request across its tries: the ID, or the class and its key.
type repeatKey struct{ class, key string }

// idKey returns the repeat key of an ID.
func idKey(id string) repeatKey { return repeatKey{key: id} }

// keyOf returns the repeat key of a flow by its key. ok is false if a repeat of the flow by its key may run anywhere, or if it has
// no key. A class whose requests must not be repeated has keys only where a front end knows that two requests are the same job.
func (c *Core) keyOf(f *flow) (key repeatKey, ok bool) {
	class := c.classes[f.Class]
	switch {
	case class == nil:
		return repeatKey{}, false
	case class.Effect == balance.Keyed && class.Scope != balance.ScopeAll:
		return repeatKey{f.Class, f.Job.Key}, f.Job.Key != ""
	case class.Effect == balance.Unsafe:
		return repeatKey{f.Class, f.RepeatKey}, f.RepeatKey != ""
	}
	return repeatKey{}, false
}

// earlierRun is the first attempt with a repeat key that may have run or may still run.
type earlierRun struct {
	attempt    AttemptRef
	zone, cell string // of its target
	sentAt     float64
	forgetAt   float64
}

// repeatMemory remembers the attempts that may have run, by repeat key.
type repeatMemory struct {
	runs  map[repeatKey]earlierRun
	order []repeatKey // in which they were added; those forgotten early are still in it
}

func newRepeatMemory() repeatMemory { return repeatMemory{runs: map[repeatKey]earlierRun{}} }

// find returns the earlier run with a key, or nil.
func (m *repeatMemory) find(now float64, key repeatKey) *earlierRun {
	if run, ok := m.runs[key]; ok && now < run.forgetAt {
		return &run
	}
	return nil
}

// add remembers an attempt, unless an earlier one with its key is remembered.
func (m *repeatMemory) add(now float64, key repeatKey, run earlierRun) {
	if m.find(now, key) != nil {
		return
	}
	m.runs[key] = run
	m.order = append(m.order, key)
	for len(m.order) > maxRemembered || len(m.order) > 0 && now >= m.runs[m.order[0]].forgetAt {
		delete(m.runs, m.order[0])
		m.order = m.order[1:]
	}
}

// forget forgets an attempt that never ran.
func (m *repeatMemory) forget(key repeatKey, attempt AttemptRef) {
	if m.runs[key].attempt == attempt {
		delete(m.runs, key)
	}
}

// rememberAttempt remembers that an attempt of a flow is sent to a target.
func (c *Core) rememberAttempt(f *flow, ref AttemptRef, target *Target) {
	now := c.clock.Now()
	run := earlierRun{attempt: ref, zone: target.Zone, cell: target.Cell, sentAt: now, forgetAt: now + clientTries*f.ClientTimeoutMS}
	if class := c.classes[f.Class]; class != nil {
		run.forgetAt = now + clock.Millis(class.Window+clientTries*class.Deadline)
	}
	c.repeats.add(now, idKey(f.ID), run)
	if key, ok := c.keyOf(f); ok {
		c.repeats.add(now, key, run)
	}
}

// reviewMemory forgets an attempt that has ended if a repeat of its flow need not know of it: it never ran, or a job that has no key
// at targets is done, so that the next one is another job.
func (c *Core) reviewMemory(f *flow, n int) {
	ref := AttemptRef{f.number, n}
	neverRan := !c.mayHaveRun(&f.attempts[n])
	if neverRan {
		c.repeats.forget(idKey(f.ID), ref)
	}
	key, ok := c.keyOf(f)
	if ok && (neverRan || f.RepeatKey != "" && f.attempts[n].result == balance.OK) {
		c.repeats.forget(key, ref)
	}
}

// earlierRunOf returns the run that a new flow repeats by its key, or nil.
func (c *Core) earlierRunOf(f *flow) *earlierRun {
	if key, ok := c.keyOf(f); ok {
		return c.repeats.find(c.clock.Now(), key)
	}
	return nil
}

// forModule converts an earlier run for the decision module.
func (r *earlierRun) forModule() *balance.EarlierRun {
	if r == nil {
		return nil
	}
	return &balance.EarlierRun{Zone: r.zone, Cell: r.cell, SentAt: clock.Duration(r.sentAt)}
}

// mayRepeatAt reports whether a target is one of those that drop a repeat of an earlier run.
func (r *earlierRun) mayRepeatAt(class *balance.Class, target *Target) bool {
	return target.Zone == r.zone && (class.Scope == balance.ScopeZone || target.Cell == r.cell)
}

// keyInUse reports whether another flow with the key of a new one may still start an attempt. Which pod will run it is not known.
func (c *Core) keyInUse(f *flow) bool {
	key, ok := c.keyOf(f)
	other := c.flowsByKey[key]
	return ok && other != nil && !other.clientDone
}

// registerKey makes a new flow the one that holds its key.
func (c *Core) registerKey(f *flow) {
	if key, ok := c.keyOf(f); ok {
		c.flowsByKey[key] = f
	}
}

// unregisterKey releases the key of a flow that is over.
func (c *Core) unregisterKey(f *flow) {
	if key, ok := c.keyOf(f); ok && c.flowsByKey[key] == f {
		delete(c.flowsByKey, key)
	}
}
