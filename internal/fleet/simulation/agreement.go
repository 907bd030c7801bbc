package simulation

import (
	"fmt"
	"maps"
	"slices"

	"cottonwell/internal/fleet"
	"cottonwell/internal/fleet/rules"
	"cottonwell/internal/units"
)

// Rules configures the documents that are published in a run.
type Rules struct {
	PermissionTime float64 // ms that a permission is valid
	Documents      int     // number of documents, published at random times by random schedulers
	From, To       float64 // period in which documents are published, ms
	Unsafe         rules.Unsafe
}

// RulesResult holds the counters and times of the agreed settings in a run.
type RulesResult struct {
	Offered, Adopted, Dropped, Alarms int
	Contradictions                    int       // times that a scheduler began to act on a version that contradicts one that another acts on
	LongestContradiction              float64   // longest time in ms during which two contradicting versions were acted on
	DecreasingNumbers                 int       // times that a scheduler went back to an older number
	DuplicateNumbers                  int       // times that two versions had one number
	Disagreeing                       int       // schedulers that act on another version than the newest, or on a strict form, at the end
	AdoptionTimes                     []float64 // ms from the offer of a document to its adoption by all live members
}

// rulesConfig returns the configuration of the agreed settings for a process.
func (w *World) rulesConfig(p *proc) *rules.Config {
	c := rules.Default()
	c.Self, c.Fleet, c.RunID, c.Seed = p.number, p.knownSchedulers, w.rng.Uint32(), w.rng.Uint64()
	c.PermissionTime, c.Drift, c.Classes, c.Unsafe = w.options.Rules.PermissionTime, max(w.options.Drift, 0.001), []string{"view", "buy"}, w.options.Rules.Unsafe
	three := 3
	c.InitialDoc = &rules.Doc{Classes: map[string]rules.Class{"view": {Attempts: &three}}}
	return &c
}

// scheduleDocuments schedules the publication of random documents.
func (w *World) scheduleDocuments() {
	w.offeredAt, w.versionByNumber = map[rules.Digest]float64{}, map[uint64]rules.Version{}
	for range w.options.Rules.Documents {
		w.After(w.options.Rules.From+(w.options.Rules.To-w.options.Rules.From)*w.rng.Float64(), func() {
			doc := w.drawDoc()
			_, digest, err := doc.Pack()
			if err != nil {
				panic(fmt.Sprintf("simulation: cannot pack the document: %v", err))
			}
			p := w.procs[w.rng.IntN(len(w.procs))]
			if p.machine == nil {
				return
			}
			w.runInProcess(p, p.run, func() {
				w.Result.Rules.Offered++
				if _, known := w.offeredAt[digest]; !known {
					w.offeredAt[digest] = w.Now
				}
				w.traceEvent("%.3f %d publishes %x", w.Now, p.number, digest)
				w.step(p, fleet.Event{Kind: fleet.Publish, Doc: doc})
			})
		})
	}
}

// drawDoc draws a random document, with limits that rise and fall and drains that are set and removed.
func (w *World) drawDoc() *rules.Doc {
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

// onRulesAction checks and records a process's action about the agreed settings.
func (w *World) onRulesAction(p *proc, a *fleet.Action) {
	result := &w.Result.Rules
	switch a.Kind {
	case fleet.Adopted:
		w.traceEvent("%.3f %d says that all act on %d", w.Now, p.number, a.Version.Number)
		result.Adopted++
		if at, known := w.offeredAt[a.Version.A]; known && a.Version.B == 0 {
			result.AdoptionTimes = append(result.AdoptionTimes, w.Now-at)
			delete(w.offeredAt, a.Version.A)
		}
		return
	case fleet.RulesRefused:
		w.traceEvent("%.3f %d drops %x: %s", w.Now, p.number, a.Digest, a.Note)
		result.Dropped++
		return
	case fleet.Alarm:
		w.traceEvent("%.3f %d alarm: %s", w.Now, p.number, a.Note)
		result.Alarms++
		return
	}
	if a.Version != p.version || a.Strict != p.strict {
		w.traceEvent("%.3f %d acts on %d %v", w.Now, p.number, a.Version.Number, a.Strict)
	}
	if a.Version.Number < p.version.Number {
		result.DecreasingNumbers++
	}
	started := !a.Strict && (a.Version != p.version || p.strict)
	p.version, p.strict = a.Version, a.Strict
	if !started {
		return
	}
	if other, known := w.versionByNumber[a.Version.Number]; known && other != a.Version {
		result.DuplicateNumbers++
	}
	w.versionByNumber[a.Version.Number] = a.Version
	for _, q := range w.procs {
		if q == p || q.machine == nil {
			continue
		}
		at := w.Now
		for contradicting := false; ; at += 50 { // measures the duration for the case that no further messages arrive
			v, doc, strict := q.machine.InForce(q.clock(at))
			if strict || at > w.Now+5*w.options.Rules.PermissionTime || related(v, a.Version) || len(rules.Contradicts(doc, a.Doc)) == 0 {
				if contradicting {
					result.LongestContradiction = max(result.LongestContradiction, at-w.Now)
				}
				break
			}
			if !contradicting {
				contradicting = true
				result.Contradictions++
				w.traceEvent("%.3f %d acts on %d, and %d on %d", w.Now, p.number, a.Version.Number, q.number, v.Number)
			}
		}
	}
}

// related reports whether one of two versions is the intermediate of the other, or leads to it.
func related(a, b rules.Version) bool {
	docs := []rules.Digest{b.A, b.B}
	return slices.Contains(docs, a.A) || a.B != 0 && slices.Contains(docs, a.B)
}

// checkAgreement counts the live processes that do not act on the newest version at the end.
func (w *World) checkAgreement() {
	newest := uint64(0)
	if len(w.versionByNumber) > 0 {
		newest = slices.Max(slices.Collect(maps.Keys(w.versionByNumber)))
	}
	for _, p := range w.procs {
		if p.machine == nil {
			continue
		}
		if v, _, strict := p.machine.InForce(p.clock(w.Now)); strict || v.Number != newest || v.B != 0 {
			w.Result.Rules.Disagreeing++
		}
	}
}
