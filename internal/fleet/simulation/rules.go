package simulation

import (
	"fmt"
	"maps"
	"slices"

	"cottonwell/internal/fleet"
	"cottonwell/internal/fleet/rules"
	"cottonwell/internal/units"
)

// Rules say what is published in a run.
type Rules struct {
	Agree    float64 // ms
	Publish  int     // documents, at drawn moments, by drawn schedulers
	From, To float64 // in this time
	Unsafe   rules.Unsafe
}

// RulesResult is what came of it.
type RulesResult struct {
	Offered, Adopted, Dropped, Alarms int
	Contradict                        int       // somebody began to act on a version that contradicts one that another acts on
	Longest                           float64   // ms for which two such were acted on
	Falling                           int       // a scheduler went back to an older number
	Twice                             int       // two versions under one number
	Apart                             int       // schedulers that act on another version than the newest, or a strict form, at the end
	Took                              []float64 // ms from a document's being offered to its being adopted by all that live
}

// rulesOf is how a process is set up.
func (w *World) rulesOf(p *proc) *rules.Config {
	c := rules.Default()
	c.Self, c.Fleet, c.Life, c.Seed = p.n, p.list, w.rng.Uint32(), w.rng.Uint64()
	c.Agree, c.Drift, c.Classes, c.Unsafe = w.o.Rules.Agree, max(w.o.Drift, 0.001), []string{"view", "buy"}, w.o.Rules.Unsafe
	three := 3
	c.First = &rules.Doc{Classes: map[string]rules.Class{"view": {Attempts: &three}}}
	return &c
}

// drawRules has documents published.
func (w *World) drawRules() {
	w.offered, w.numbers = map[rules.Digest]float64{}, map[uint64]rules.Version{}
	for range w.o.Rules.Publish {
		w.After(w.o.Rules.From+(w.o.Rules.To-w.o.Rules.From)*w.rng.Float64(), func() {
			doc := w.document()
			_, digest, err := doc.Pack()
			if err != nil {
				panic(fmt.Sprintf("simulation: a document that cannot be packed: %v", err))
			}
			p := w.procs[w.rng.IntN(len(w.procs))]
			if p.m == nil {
				return
			}
			w.does(p, p.life, func() {
				w.Result.Rules.Offered++
				if _, known := w.offered[digest]; !known {
					w.offered[digest] = w.Now
				}
				w.note("%.3f %d publishes %x", w.Now, p.n, digest)
				w.step(p, fleet.Event{Kind: fleet.Publish, Doc: doc})
			})
		})
	}
}

// document draws one: limits that go up and down, drains set and taken back.
func (w *World) document() *rules.Doc {
	d := &rules.Doc{Classes: map[string]rules.Class{}, Tenants: map[string]rules.Tenant{}}
	for _, name := range []string{"view", "buy"} {
		if n := 1 + w.rng.IntN(5); n < 5 {
			d.Classes[name] = rules.Class{Attempts: &n}
		}
	}
	for _, name := range []string{"cricket-league", "tuk-race"} {
		x := 100 * float64(1+w.rng.IntN(4))
		d.Tenants[name] = rules.Tenant{Allowance: &x}
	}
	if w.rng.IntN(2) == 0 {
		x := units.Share(w.rng.Float64())
		d.Cold.Share = &x
	}
	for i := range 40 {
		if w.rng.IntN(8) == 0 {
			d.Drains = append(d.Drains, rules.Drain{Target: fmt.Sprintf("s-%08x", i*2654435761)})
		}
	}
	return d
}

// governed takes in what a process does about the rules.
func (w *World) governed(p *proc, a *fleet.Action) {
	r := &w.Result.Rules
	switch a.Kind {
	case fleet.Adopted:
		w.note("%.3f %d says that all act on %d", w.Now, p.n, a.Version.Number)
		r.Adopted++
		if at, known := w.offered[a.Version.A]; known && a.Version.B == 0 {
			r.Took = append(r.Took, w.Now-at)
			delete(w.offered, a.Version.A)
		}
		return
	case fleet.Dropped:
		w.note("%.3f %d drops %x: %s", w.Now, p.n, a.Digest, a.Note)
		r.Dropped++
		return
	case fleet.Alarm:
		w.note("%.3f %d alarm: %s", w.Now, p.n, a.Note)
		r.Alarms++
		return
	}
	if a.Version != p.ruled || a.Strict != p.strict {
		w.note("%.3f %d acts on %d %v", w.Now, p.n, a.Version.Number, a.Strict)
	}
	if a.Version.Number < p.ruled.Number {
		r.Falling++
	}
	began := !a.Strict && (a.Version != p.ruled || p.strict)
	p.ruled, p.strict = a.Version, a.Strict
	if !began {
		return
	}
	if had, known := w.numbers[a.Version.Number]; known && had != a.Version {
		r.Twice++
	}
	w.numbers[a.Version.Number] = a.Version
	for _, q := range w.procs {
		if q == p || q.m == nil {
			continue
		}
		at := w.Now
		for bad := false; ; at += 50 { // for how long, if nothing is heard any more
			v, doc, strict := q.m.InForce(q.clock(at))
			if strict || at > w.Now+5*w.o.Rules.Agree || between(v, a.Version) || len(rules.Contradicts(doc, a.Doc)) == 0 {
				if bad {
					r.Longest = max(r.Longest, at-w.Now)
				}
				break
			}
			if !bad {
				bad = true
				r.Contradict++
				w.note("%.3f %d acts on %d, and %d on %d", w.Now, p.n, a.Version.Number, q.n, v.Number)
			}
		}
	}
}

// between says whether one of two versions is the other one made stricter, or leads to it.
func between(a, b rules.Version) bool {
	docs := []rules.Digest{b.A, b.B}
	return slices.Contains(docs, a.A) || a.B != 0 && slices.Contains(docs, a.B)
}

// agreed looks at the end whether all that live act on the newest version.
func (w *World) agreed() {
	newest := uint64(0)
	if len(w.numbers) > 0 {
		newest = slices.Max(slices.Collect(maps.Keys(w.numbers)))
	}
	for _, p := range w.procs {
		if p.m == nil {
			continue
		}
		if v, _, strict := p.m.InForce(p.clock(w.Now)); strict || v.Number != newest || v.B != 0 {
			w.Result.Rules.Apart++
		}
	}
}
